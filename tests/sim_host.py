"""A simulated process: a real `HostCore` on a simulated clock and network."""

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
    """A simulated process with a real host core.

    Args:
        world: The world that the process is part of.
        entry: Id, failure domain, incarnation and address of the host.
        policy: Name of the scheduling policy.

    Attributes:
        alive: Whether the process runs; also true while paused.
        stopped: Whether the host has completed its drain.
        paused: Whether the process is paused.
        resumed_at: When the process was last resumed; 0 if never.
        clock_offset_s: This host's clock minus the world's clock.
        drain_deadline: When a drain has to end, by this host's clock.
        attempts: Open requests to upstreams, by id.
        calls: Calls of callers and operators to this host, by id.
        last_attempt: The latest request to an upstream.
        versions: Latest configuration version seen for each workspace.
        core: The real host core.
    """

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
        """The time by this host's clock."""
        return self.world.now + self.clock_offset_s

    def deliver(self, event: events.Event) -> None:
        """Passes an event to the core; a paused process gets it on resume."""
        if not self.alive:
            return
        if self.paused:
            self._deferred.append(functools.partial(self.deliver, event))
            return
        new_actions = self.core.handle(event, now=self.clock)
        if self._pause_after_deciding and new_actions:
            self._pause_after_deciding = False
            self.paused = True
            self._deferred = [functools.partial(self._execute_all, new_actions)]
            self.world.close_silent_links(self)
            return
        self._execute_all(new_actions)

    def pause(self, *, after_deciding: bool = False) -> None:
        """Pauses the process.

        Args:
            after_deciding: Whether to pause only after the next event that
                causes actions, before any of them is executed.
        """
        if after_deciding:
            self._pause_after_deciding = True
            return
        self.paused = True
        self.world.close_silent_links(self)

    def resume(self) -> None:
        """Resumes the process and runs the deferred callbacks."""
        self.paused = False
        self.resumed_at = self.world.now
        self._pause_after_deciding = False
        deferred, self._deferred = self._deferred, []
        self._wake_up_at = None
        for callback in deferred:
            callback()
        self.deliver(events.TimePassed())
        self.world.redial(self)

    def kill(self) -> None:
        """Kills the process; requests that it sent still arrive."""
        self.alive = False
        for attempt in list(self.attempts.values()):
            attempt.open = False

    def _execute_all(self, new_actions: list[actions.Action]) -> None:
        for action in new_actions:
            self._execute(action)
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
    def _execute(self, action: actions.Action) -> None:
        raise AssertionError(f"unsupported action {action}")

    @_execute.register
    def _(self, action: actions.Reply) -> None:
        self._answer(action)

    @_execute.register
    def _(self, action: actions.ReplyReserved) -> None:
        self._answer(action)

    @_execute.register
    def _(self, action: actions.ReplyConfig) -> None:
        self._answer(action)

    @_execute.register
    def _(self, action: actions.SendPeer) -> None:
        self.world.send(self, action.host, action.message)

    @_execute.register
    def _(self, action: actions.StartAttempt) -> None:
        attempt = fakes.Attempt(self, action)
        self.attempts[action.attempt] = attempt
        self.last_attempt = attempt
        self.world.connect(attempt)

    @_execute.register
    def _(self, action: actions.AbortAttempt) -> None:
        if attempt := self.attempts.get(action.attempt):
            end = functools.partial(attempt.end, model.AttemptOutcome.ABORTED)
            self.world.call_later(0, end)

    @_execute.register
    def _(self, action: actions.StoreTransact) -> None:
        def effect() -> events.Event:
            self.world.store.writes += 1
            rows = self.world.store.rows.transact(action.writes)
            if rows:
                return events.StoreConflict(action.call, rows)
            return events.StoreCommitted(action.call)

        self.world.store_call(self, action.call, effect, writes=True)

    @_execute.register
    def _(self, action: actions.StoreRead) -> None:
        def effect() -> events.Event:
            rows = self.world.store.rows.read(action.keys)
            return events.StoreRows(action.call, rows)

        self.world.store_call(self, action.call, effect)

    @_execute.register
    def _(self, action: actions.StoreScan) -> None:
        def effect() -> events.Event:
            rows = self.world.store.rows.scan(action.prefix)
            return events.StoreRows(action.call, rows)

        self.world.store_call(self, action.call, effect)

    @_execute.register
    def _(self, action: actions.Note) -> None:
        key = (action.event, action.reason)
        self.world.note_counts[key] = self.world.note_counts.get(key, 0) + 1

    @_execute.register
    def _(self, action: actions.Stopped) -> None:
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
        action: actions.Reply | actions.ReplyReserved | actions.ReplyConfig,
    ) -> None:
        call = self.calls[action.call]
        if call.reply is not None:
            self.world.record_violation(f"{call.label} was answered twice")
        call.reply = action
        call.answered_at = self.world.now
        if isinstance(action, actions.ReplyConfig) and action.recorded:
            self.world.check_config_reply(call, action)
