"""Operators' changes of workspace settings, on their way into force."""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import actions
from godwitnotch.core import configuration
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import records
from godwitnotch.core import services as services_module
from godwitnotch.core import store_calls

LOG_LENGTH = 16
NONCE_DIGITS = 10**18


@dataclass(slots=True)
class _Change:
    """One operator's change on its way into force."""

    call: ids.CallId
    config: model.WorkspaceConfig
    nonce: str
    deadline: float
    counter: int | None = None
    unconfirmed: set[ids.HostId] = field(default_factory=set)
    done: bool = False
    maybe_recorded: bool = False


class ConfigChanges:
    """Records operators' changes and waits until they are in force.

    Args:
        services: Shared services.
        keeper: The settings in force on this host.
        live_hosts: Returns the other hosts that must confirm a change.
        own_host: This host.
    """

    def __init__(
        self,
        services: services_module.Services,
        *,
        keeper: configuration.ConfigKeeper,
        live_hosts: Callable[[float], frozenset[ids.HostId]],
        own_host: ids.HostId,
    ) -> None:
        self._keeper = keeper
        self._store = services.store
        self._timers = services.timers
        self._out = services.out
        self._chance = services.chance
        self._limits = services.limits
        self._live_hosts = live_hosts
        self._own_host = own_host
        self._confirmed: collections.Counter[ids.HostId] = collections.Counter()
        self._waiting: list[_Change] = []
        self._open_count = 0
        keeper.on_applied(self._check_all)

    @property
    def open_count(self) -> int:
        """Operators who wait for an answer."""
        return self._open_count

    def put(self, event: events.ConfigPutAsked, *, now: float) -> None:
        """Records a change; answers once it is in force, or at the deadline."""
        nonce = str(self._chance.randrange(NONCE_DIGITS))
        change = _Change(event.call, event.config, nonce, event.deadline)
        self._open_count += 1
        self._timers.at(event.deadline, lambda now: self._expire(change, now))
        self._read(change)

    def peer_up(self, host: ids.HostId) -> None:
        """Asks a peer that came back to confirm what is still waiting."""
        self._confirmed.pop(host, None)
        for change in self._waiting:
            if change.counter is not None:
                message = messages.ConfigChanged(change.counter)
                self._out.add(actions.SendPeer(host, message))

    def peer_confirmed(
        self, host: ids.HostId, counter: int, *, now: float
    ) -> None:
        """Notes that a peer has all changes up to a counter in force."""
        self._confirmed[host] = max(self._confirmed[host], counter)
        self._check_all(now)

    def hosts_changed(self, *, now: float) -> None:
        """Looks again at who must confirm, after hosts left."""
        self._check_all(now)

    def _read(self, change: _Change) -> None:
        keys = [
            records.config_key(change.config.workspace),
            records.CONFIG_LOG_KEY,
        ]

        def on_rows(event: store_calls.StoreEvent, now: float) -> None:
            if change.done:
                return
            if isinstance(event, events.StoreRows):
                self._write(change, event.rows[0], event.rows[1], now)
            else:
                self._try_later(change, now)

        self._store.read(keys, on_rows)

    def _read_unless_done(self, change: _Change) -> None:
        if not change.done:
            self._read(change)

    def _write(
        self, change: _Change, row: model.Row, log: model.Row, now: float
    ) -> None:
        logged = records.decode_log(log.value)
        counter = _counter_of(change, logged, log.version)
        if counter is not None:
            self._recorded(change, counter, now)
            return
        if row.version != change.config.version - 1:
            self._conflict(change, row, now)
            return
        logged.append(
            records.LoggedChange(
                change.config.workspace, change.config.version, change.nonce
            )
        )
        self._transact(change, row, log.version, logged[-LOG_LENGTH:])

    def _transact(
        self,
        change: _Change,
        row: model.Row,
        log_version: int,
        logged: list[records.LoggedChange],
    ) -> None:
        value = records.encode_config(change.config, nonce=change.nonce)
        writes = [
            model.RowWrite(
                records.config_key(change.config.workspace),
                value,
                row.version,
            ),
            model.RowWrite(
                records.CONFIG_LOG_KEY,
                records.encode_log(logged),
                log_version,
            ),
        ]

        earlier = change.maybe_recorded

        def on_write(event: store_calls.StoreEvent, now: float) -> None:
            if isinstance(event, events.StoreCommitted):
                self._recorded(change, log_version + 1, now)
            elif isinstance(event, events.StoreConflict):
                change.maybe_recorded = earlier
                # The next read tells a conflict from a busy log.
                self._read_unless_done(change)
            elif isinstance(event, events.StoreFailed):
                change.maybe_recorded = earlier or event.uncertain
                self._try_later(change, now)

        # Until the reply comes the write may take effect unseen.
        change.maybe_recorded = True
        self._store.transact(writes, on_write)

    def _try_later(self, change: _Change, now: float) -> None:
        if change.done:
            return
        pause_s = self._limits.store_backoff_s * (
            0.5 + 0.5 * self._chance.random()
        )

        self._timers.at(now + pause_s, lambda _: self._read_unless_done(change))

    def _recorded(self, change: _Change, counter: int, now: float) -> None:
        if change.done:
            return
        change.counter = counter
        self._out.note(
            "config_recorded",
            detail=f"workspace={change.config.workspace} "
            f"version={change.config.version}",
        )
        self._waiting.append(change)
        for host in sorted(self._live_hosts(now)):
            message = messages.ConfigChanged(counter)
            self._out.add(actions.SendPeer(host, message))
        self._keeper.look_now(now=now)
        self._check_all(now)

    def _check_all(self, now: float) -> None:
        for change in list(self._waiting):
            if not self._lagging(change, now):
                self._answer(change, (), "in force on all live hosts")

    def _lagging(self, change: _Change, now: float) -> tuple[ids.HostId, ...]:
        counter = change.counter or 0
        lagging = {
            host
            for host in self._live_hosts(now)
            if self._confirmed[host] < counter
        }
        if self._keeper.counter < counter:
            lagging.add(self._own_host)
        return tuple(sorted(lagging))

    def _answer(
        self,
        change: _Change,
        lagging: tuple[ids.HostId, ...],
        detail: str,
    ) -> None:
        self._waiting.remove(change)
        self._reply(
            change,
            actions.ReplyConfig(
                change.call, True, change.config, lagging, detail
            ),
        )

    def _conflict(self, change: _Change, row: model.Row, now: float) -> None:
        if change.maybe_recorded and row.version >= change.config.version:
            recorded = None
            detail = (
                "the write's effect is unknown, and a newer version has "
                "replaced it; read the settings and decide again"
            )
        else:
            recorded = False
            detail = (
                f"version {change.config.version} is not the next one; read "
                "the current version and apply the change to it"
            )
        current = records.decode_config(row) if row.version else None
        self._reply(
            change,
            actions.ReplyConfig(change.call, recorded, current, (), detail),
        )

    def _expire(self, change: _Change, now: float) -> None:
        if change.done:
            return
        if change.counter is not None:
            lagging = self._lagging(change, now)
            detail = "recorded, not yet in force on all live hosts"
            self._answer(change, lagging, detail)
            return
        recorded = None if change.maybe_recorded else False
        detail = (
            "the table service did not answer; read the settings before "
            "trying again"
        )
        self._reply(
            change,
            actions.ReplyConfig(change.call, recorded, None, (), detail),
        )

    def _reply(self, change: _Change, reply: actions.ReplyConfig) -> None:
        change.done = True
        self._open_count -= 1
        self._out.add(reply)


def _counter_of(
    change: _Change, logged: list[records.LoggedChange], log_version: int
) -> int | None:
    """Returns the counter at which a change was recorded, if it was."""
    newest = len(logged) - 1
    for position, entry in enumerate(logged):
        if entry.nonce == change.nonce:
            return log_version - (newest - position)
    return None
