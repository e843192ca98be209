"""Records operators' changes of workspace settings.

An operator gets a reply when all live hosts have applied the change, or at the
deadline.
"""

import collections
from collections.abc import Callable

import msgspec

from godwitnotch.core import actions
from godwitnotch.core import configuration
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import records
from godwitnotch.core import services as services_module
from godwitnotch.core import store_calls

MAX_LOG_ENTRIES = 16
NONCE_LIMIT = 10**18


class _Change(msgspec.Struct):
    """An operator's change and its progress.

    Attributes:
        call: Id of the operator's call.
        config: The new settings.
        nonce: Identifies the change in the store's change log.
        deadline: When the operator gets a reply at the latest.
        counter: Number of the change; None until the change is known to be
            recorded.
        unconfirmed: Unused.
        answered: Whether the operator has got a reply.
        may_be_recorded: Whether a write with an unknown result may have
            recorded the change.
    """

    call: ids.CallId
    config: model.WorkspaceConfig
    nonce: str
    deadline: float
    counter: int | None = None
    unconfirmed: set[ids.HostId] = msgspec.field(default_factory=set)
    answered: bool = False
    may_be_recorded: bool = False


class ConfigChanges:
    """Records operators' changes and waits until all live hosts apply them.

    Args:
        services: Shared services.
        config_replica: The settings that this host has applied.
        live_hosts: Returns the other hosts that must confirm a change.
        own_host: Id of this host.
    """

    def __init__(
        self,
        services: services_module.Services,
        *,
        config_replica: configuration.ConfigReplica,
        live_hosts: Callable[[float], frozenset[ids.HostId]],
        own_host: ids.HostId,
    ) -> None:
        self._config_replica = config_replica
        self._store = services.store
        self._timers = services.timers
        self._out = services.out
        self._rng = services.rng
        self._limits = services.limits
        self._live_hosts = live_hosts
        self._own_host = own_host
        self._confirmed_counters: collections.Counter[ids.HostId] = (
            collections.Counter()
        )
        self._recorded_changes: list[_Change] = []
        self._unanswered_count = 0
        config_replica.add_listener(self._answer_applied)

    @property
    def unanswered_count(self) -> int:
        """Number of operators who wait for a reply."""
        return self._unanswered_count

    def put(self, event: events.ConfigPutAsked, *, now: float) -> None:
        """Records a change and replies to the operator.

        The reply is sent when all live hosts have applied the change, or at
        the deadline.
        """
        nonce = str(self._rng.randrange(NONCE_LIMIT))
        change = _Change(event.call, event.config, nonce, event.deadline)
        self._unanswered_count += 1
        self._timers.call_at(
            event.deadline, lambda now: self._on_deadline(change, now)
        )
        self._read(change)

    def peer_up(self, host: ids.HostId) -> None:
        """Asks a newly linked peer to confirm the changes in progress."""
        self._confirmed_counters.pop(host, None)
        for change in self._recorded_changes:
            if change.counter is not None:
                message = messages.ConfigChanged(change.counter)
                self._out.add(actions.SendPeer(host, message))

    def peer_confirmed(
        self, host: ids.HostId, counter: int, *, now: float
    ) -> None:
        """Records that a peer has applied all changes up to `counter`."""
        self._confirmed_counters[host] = max(
            self._confirmed_counters[host], counter
        )
        self._answer_applied(now)

    def live_hosts_changed(self, *, now: float) -> None:
        """Checks the changes in progress after the live hosts have changed."""
        self._answer_applied(now)

    def _read(self, change: _Change) -> None:
        keys = [
            records.config_key(change.config.workspace),
            records.CONFIG_LOG_KEY,
        ]

        def on_rows(event: store_calls.StoreEvent, now: float) -> None:
            if change.answered:
                return
            if isinstance(event, events.StoreRows):
                self._write(change, event.rows[0], event.rows[1], now)
            else:
                self._retry_later(change, now)

        self._store.read(keys, on_rows)

    def _read_unless_answered(self, change: _Change) -> None:
        if not change.answered:
            self._read(change)

    def _write(
        self, change: _Change, row: model.Row, log: model.Row, now: float
    ) -> None:
        """Writes a change, unless it is already recorded or conflicts."""
        logged = records.decode_log(log.value)
        counter = _find_counter(change, logged, log.version)
        if counter is not None:
            self._on_recorded(change, counter, now)
            return
        if row.version != change.config.version - 1:
            self._reply_conflict(change, row, now)
            return
        logged.append(
            records.LoggedChange(
                change.config.workspace, change.config.version, change.nonce
            )
        )
        self._transact(change, row, log.version, logged[-MAX_LOG_ENTRIES:])

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

        may_be_recorded_before = change.may_be_recorded

        def on_write(event: store_calls.StoreEvent, now: float) -> None:
            if isinstance(event, events.StoreCommitted):
                self._on_recorded(change, log_version + 1, now)
            elif isinstance(event, events.StoreConflict):
                change.may_be_recorded = may_be_recorded_before
                # Either row may have changed; the next read shows which.
                self._read_unless_answered(change)
            elif isinstance(event, events.StoreFailed):
                change.may_be_recorded = (
                    may_be_recorded_before or event.uncertain
                )
                self._retry_later(change, now)

        # The write may take effect even if its response is lost.
        change.may_be_recorded = True
        self._store.transact(writes, on_write)

    def _retry_later(self, change: _Change, now: float) -> None:
        if change.answered:
            return
        delay_s = self._limits.store_backoff_s * (
            0.5 + 0.5 * self._rng.random()
        )

        self._timers.call_at(
            now + delay_s, lambda _: self._read_unless_answered(change)
        )

    def _on_recorded(self, change: _Change, counter: int, now: float) -> None:
        if change.answered:
            return
        change.counter = counter
        self._out.note(
            "config_recorded",
            detail=f"workspace={change.config.workspace} "
            f"version={change.config.version}",
        )
        self._recorded_changes.append(change)
        for host in sorted(self._live_hosts(now)):
            message = messages.ConfigChanged(counter)
            self._out.add(actions.SendPeer(host, message))
        self._config_replica.poll_now(now=now)
        self._answer_applied(now)

    def _answer_applied(self, now: float) -> None:
        """Replies to operators whose changes all live hosts have applied."""
        for change in list(self._recorded_changes):
            if not self._lagging_hosts(change, now):
                self._answer(change, (), "in force on all live hosts")

    def _lagging_hosts(
        self, change: _Change, now: float
    ) -> tuple[ids.HostId, ...]:
        counter = change.counter or 0
        lagging = {
            host
            for host in self._live_hosts(now)
            if self._confirmed_counters[host] < counter
        }
        if self._config_replica.counter < counter:
            lagging.add(self._own_host)
        return tuple(sorted(lagging))

    def _answer(
        self,
        change: _Change,
        lagging: tuple[ids.HostId, ...],
        detail: str,
    ) -> None:
        self._recorded_changes.remove(change)
        self._reply(
            change,
            actions.ReplyConfig(
                change.call, True, change.config, lagging, detail
            ),
        )

    def _reply_conflict(
        self, change: _Change, row: model.Row, now: float
    ) -> None:
        if change.may_be_recorded and row.version >= change.config.version:
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

    def _on_deadline(self, change: _Change, now: float) -> None:
        """Replies to an operator whose change is not applied everywhere."""
        if change.answered:
            return
        if change.counter is not None:
            lagging = self._lagging_hosts(change, now)
            detail = "recorded, not yet in force on all live hosts"
            self._answer(change, lagging, detail)
            return
        recorded = None if change.may_be_recorded else False
        detail = (
            "the table service did not answer; read the settings before "
            "trying again"
        )
        self._reply(
            change,
            actions.ReplyConfig(change.call, recorded, None, (), detail),
        )

    def _reply(self, change: _Change, reply: actions.ReplyConfig) -> None:
        change.answered = True
        self._unanswered_count -= 1
        self._out.add(reply)


def _find_counter(
    change: _Change, logged: list[records.LoggedChange], log_version: int
) -> int | None:
    """Returns the number of a change, or None if the log doesn't contain it."""
    newest = len(logged) - 1
    for position, entry in enumerate(logged):
        if entry.nonce == change.nonce:
            return log_version - (newest - position)
    return None
