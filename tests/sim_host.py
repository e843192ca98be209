"""A simulated process: a real `HostCore`, its sockets and its timers."""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import host as host_core
from godwitnotch.core import ids
from godwitnotch.core import limits
from godwitnotch.core import model
from godwitnotch.core import scheduler
from tests import fakes

if TYPE_CHECKING:
    from tests import world as world_module

SECRET = b"world secret of the fleet".ljust(32)


class SimHost:
    """One process: a core, its sockets and its timers."""

    def __init__(
        self,
        world: "world_module.World",
        entry: model.HostEntry,
        *,
        policy: str,
    ) -> None:
        self.world = world
        self.entry = entry
        self.alive = True
        self.stopped = False
        self.paused = False
        self.resumed_at = 0.0
        self.clock_offset_s = 0.0
        self.drain_deadline: float | None = None
        self.attempts: dict[ids.AttemptId, fakes.Attempt] = {}
        self.calls: dict[ids.CallId, fakes.Call] = {}
        self.last_attempt: fakes.Attempt | None = None
        self.versions: dict[ids.WorkspaceId, int] = {}
        self._deferred: list[Callable[[], None]] = []
        self._pause_after_deciding = False
        self._wake_up_at: float | None = None
        self.core = host_core.HostCore(
            identity=entry,
            issuer=ids.IdIssuer(secret=SECRET),
            scheduler=scheduler.create(
                policy,
                host=entry.host,
                domain=entry.domain,
                rng=world.rng,
            ),
            rng=world.rng,
            limits=limits.HostLimits(),
        )

    def __str__(self) -> str:
        return self.entry.host

    @property
    def clock(self) -> float:
        """This host's own time."""
        return self.world.now + self.clock_offset_s

    def deliver(self, event: events.Event) -> None:
        """Hands an event to the core, or holds it while paused."""
        if not self.alive:
            return
        if self.paused:
            self._deferred.append(functools.partial(self.deliver, event))
            return
        acts = self.core.handle(event, now=self.clock)
        if self._pause_after_deciding and acts:
            self._pause_after_deciding = False
            self.paused = True
            self._deferred = [functools.partial(self._perform_all, acts)]
            self.world.close_silent_links(self)
            return
        self._perform_all(acts)

    def pause(self, *, after_deciding: bool = False) -> None:
        """Stops the process, at once or between decision and action."""
        if after_deciding:
            self._pause_after_deciding = True
            return
        self.paused = True
        self.world.close_silent_links(self)

    def resume(self) -> None:
        """Lets the process go on with all that it missed."""
        self.paused = False
        self.resumed_at = self.world.now
        self._pause_after_deciding = False
        held, self._deferred = self._deferred, []
        self._wake_up_at = None
        for act in held:
            act()
        self.deliver(events.TimePassed())
        self.world.redial(self)

    def kill(self) -> None:
        """Drops the process; what it sent is still on its way."""
        self.alive = False
        for attempt in list(self.attempts.values()):
            attempt.open = False

    def _perform_all(self, acts: list[actions.Action]) -> None:
        for act in acts:
            self._perform(act)
        self._check_versions()
        self._schedule_wake_up()

    def _schedule_wake_up(self) -> None:
        due = self.core.next_deadline()
        if due is None or (
            self._wake_up_at is not None and self._wake_up_at <= due
        ):
            return
        self._wake_up_at = due
        at = max(due - self.clock_offset_s, self.world.now)
        self.world.call_at(at, functools.partial(self._wake_up, due))

    def _wake_up(self, due: float) -> None:
        if self._wake_up_at == due:
            self._wake_up_at = None
        self.deliver(events.TimePassed())

    def _check_versions(self) -> None:
        for workspace, config in self.core.configs.items():
            before = self.versions.get(workspace, 0)
            if config.version < before:
                self.world.record_violation(
                    f"{self} went back from version {before} to "
                    f"{config.version} of {workspace}"
                )
            self.versions[workspace] = config.version

    @functools.singledispatchmethod
    def _perform(self, act: actions.Action) -> None:
        raise AssertionError(f"no fake for {act}")

    @_perform.register
    def _(self, act: actions.Reply) -> None:
        self._answer(act)

    @_perform.register
    def _(self, act: actions.ReplyReserved) -> None:
        self._answer(act)

    @_perform.register
    def _(self, act: actions.ReplyConfig) -> None:
        self._answer(act)

    @_perform.register
    def _(self, act: actions.SendPeer) -> None:
        self.world.send(self, act.host, act.message)

    @_perform.register
    def _(self, act: actions.StartAttempt) -> None:
        attempt = fakes.Attempt(self, act)
        self.attempts[act.attempt] = attempt
        self.last_attempt = attempt
        self.world.connect(attempt)

    @_perform.register
    def _(self, act: actions.AbortAttempt) -> None:
        if attempt := self.attempts.get(act.attempt):
            end = functools.partial(attempt.end, model.AttemptOutcome.ABORTED)
            self.world.call_later(0, end)

    @_perform.register
    def _(self, act: actions.StoreTransact) -> None:
        def effect() -> events.Event:
            self.world.store.writes += 1
            rows = self.world.store.rows.transact(act.writes)
            if rows:
                return events.StoreConflict(act.call, rows)
            return events.StoreCommitted(act.call)

        self.world.store_call(self, act.call, effect, writes=True)

    @_perform.register
    def _(self, act: actions.StoreRead) -> None:
        def effect() -> events.Event:
            rows = self.world.store.rows.read(act.keys)
            return events.StoreRows(act.call, rows)

        self.world.store_call(self, act.call, effect)

    @_perform.register
    def _(self, act: actions.StoreScan) -> None:
        def effect() -> events.Event:
            rows = self.world.store.rows.scan(act.prefix)
            return events.StoreRows(act.call, rows)

        self.world.store_call(self, act.call, effect)

    @_perform.register
    def _(self, act: actions.Note) -> None:
        key = (act.event, act.reason)
        self.world.note_counts[key] = self.world.note_counts.get(key, 0) + 1

    @_perform.register
    def _(self, act: actions.Stopped) -> None:
        due = self.drain_deadline
        if due is None or self.clock < due:
            waiting = [c.label for c in self.calls.values() if not c.reply]
            if waiting or self.attempts:
                self.world.record_violation(
                    f"{self} stopped and cut {waiting} and "
                    f"{len(self.attempts)} requests to upstreams"
                )
        self.stopped = True
        self.world.kill(self.entry.host)

    def _answer(
        self,
        act: actions.Reply | actions.ReplyReserved | actions.ReplyConfig,
    ) -> None:
        call = self.calls[act.call]
        if call.reply is not None:
            self.world.record_violation(f"{call.label} was answered twice")
        call.reply = act
        call.answered_at = self.world.now
        if isinstance(act, actions.ReplyConfig) and act.recorded:
            self.world.check_config_reply(call, act)
