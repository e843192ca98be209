"""The host core: handles events and returns actions.

The host core does no I/O; the runtime passes it events and executes its
actions. All times are loop times: seconds on the clock of the event loop.
"""

import enum
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import get_args

import msgspec

from godwitnotch.core import actions
from godwitnotch.core import bindings
from godwitnotch.core import charts
from godwitnotch.core import config_changes
from godwitnotch.core import configuration
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import jobs
from godwitnotch.core import keyed_jobs
from godwitnotch.core import limits as limits_module
from godwitnotch.core import membership as membership_module
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import outbox
from godwitnotch.core import outcomes
from godwitnotch.core import random_source
from godwitnotch.core import remedies
from godwitnotch.core import reservations
from godwitnotch.core import scheduler as scheduler_module
from godwitnotch.core import services
from godwitnotch.core import store_calls
from godwitnotch.core import submissions
from godwitnotch.core import timers


class HostState(enum.Enum):
    """States of core/charts/host.toml."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    SEALING = "sealing"
    STOPPED = "stopped"


class HostEvent(enum.Enum):
    """Events of core/charts/host.toml."""

    CONFIGURED = "configured"
    DRAIN = "drain"
    IDLE = "idle"
    SEALED = "sealed"


_CHART = charts.load("host", HostState, HostEvent)

# How long after the drain deadline the last outcomes and the seal may still be
# written.
SEAL_TIMEOUT_S = 2.0
# A timer that is late by more than this shows that the process was paused.
PAUSE_THRESHOLD_S = 2.0
# How long starts are blocked after a pause of the process, so that a current
# directory can arrive.
UPSTREAM_REFRESH_WAIT_S = 1.5


class HostStatus(msgspec.Struct, frozen=True):
    """A summary of the state of a host.

    Attributes:
        state: State of the process.
        config_counter: Number of the last applied configuration change.
        jobs: Number of queued and running jobs.
        attempts: Number of attempts in progress.
        forwards: Number of forwarded calls without a reply.
        kept_answers: Number of final answers kept for resubmissions.
        open_ids: Number of reserved ids, used or unused, not yet marked as
            expired.
        unwritten_outcomes: Number of outcomes that are not in the store yet.
        linked_hosts: The hosts with an open peer link.
        queued_tasks: Number of tasks that wait for a slot.
    """

    state: HostState
    config_counter: int
    jobs: int
    attempts: int
    forwards: int
    kept_answers: int
    open_ids: int
    unwritten_outcomes: int
    linked_hosts: tuple[ids.HostId, ...]
    queued_tasks: int = 0


class HostCore:
    """The decision logic of one host: turns events into actions.

    Args:
        identity: This host, with the incarnation of its process.
        issuer: Issues and verifies submission ids.
        scheduler: Assigns queued tasks to upstreams.
        rng: Random numbers for jitter and nonces.
        limits: Limits of the host.
    """

    def __init__(
        self,
        *,
        identity: model.HostEntry,
        issuer: ids.IdIssuer,
        scheduler: scheduler_module.Scheduler,
        rng: random_source.RandomSource,
        limits: limits_module.HostLimits,
    ) -> None:
        self._identity = identity
        self._limits = limits
        self._scheduler = scheduler
        self._state = _CHART.initial
        self._started = False
        self._open_calls: set[ids.CallId] = set()
        self._drain_expired = False
        self._seal_finished = False
        self._starts_blocked_until = 0.0
        self._out = outbox.Outbox()
        self._timers = timers.Timers()
        self._store = store_calls.StoreCalls(self._out)
        self._membership = membership_module.Membership(identity, limits=limits)
        self._reservations = reservations.Reservations(
            open_for_s=limits.reservation_open_s
        )
        self._services = services.Services(
            self._store, self._timers, self._out, rng, limits
        )
        self._config_replica = configuration.ConfigReplica(self._services)
        self._config_changes = config_changes.ConfigChanges(
            self._services,
            config_replica=self._config_replica,
            live_hosts=self._membership.possibly_live_hosts,
            own_host=identity.host,
        )
        self._outcome_log = outcomes.OutcomeLog(
            self._services, identity.incarnation
        )
        self._binder = bindings.KeyBinder(self._services)
        self._submissions = submissions.Submissions(
            self._make_collaborators(issuer)
        )
        self._config_replica.add_listener(self._on_configured)

    def _make_collaborators(
        self, issuer: ids.IdIssuer
    ) -> submissions.Collaborators:
        return submissions.Collaborators(
            identity=self._identity,
            issuer=issuer,
            scheduler=self._scheduler,
            reservations=self._reservations,
            config_replica=self._config_replica,
            membership=self._membership,
            binder=self._binder,
            outcome_log=self._outcome_log,
            outcome_reader=outcomes.OutcomeReader(self._services),
            services=self._services,
            is_admitting=lambda: (
                self._state in (HostState.STARTING, HostState.SERVING)
            ),
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this host."""
        return self._state is HostState.SERVING

    @property
    def configs(self) -> Mapping[ids.WorkspaceId, model.WorkspaceConfig]:
        """The applied workspace settings."""
        return self._config_replica.configs

    @property
    def status(self) -> HostStatus:
        """A summary of the state of the host."""
        runner = self._submissions.runner
        return HostStatus(
            state=self._state,
            config_counter=self._config_replica.counter,
            jobs=runner.job_count,
            attempts=runner.attempt_count,
            forwards=self._submissions.owners.count,
            kept_answers=self._submissions.kept_answer_count,
            open_ids=self._reservations.open_count,
            unwritten_outcomes=self._outcome_log.unwritten_count,
            linked_hosts=tuple(entry.host for entry in self._membership.linked),
            queued_tasks=runner.queued_task_count,
        )

    @property
    def _must_wait_for_callers(self) -> bool:
        """Whether the drain must still wait for callers or operators."""
        waiting = self._open_calls or self._config_changes.unanswered_count
        return bool(waiting) and not self._drain_expired

    def heartbeat(self) -> messages.Heartbeat:
        """Returns the heartbeat to send on each peer link."""
        draining = self._state not in (HostState.STARTING, HostState.SERVING)
        return messages.Heartbeat(self._config_replica.counter, draining)

    def handle(
        self, event: events.Event, *, now: float
    ) -> list[actions.Action]:
        """Handles one event and returns the actions to execute."""
        if not self._started:
            self._started = True
            self._config_replica.start(now=now)
        self._detect_pause(now)
        self._timers.run_due(now=now)
        _HANDLERS[type(event)](self, event, now)
        if now >= self._starts_blocked_until:
            self._submissions.runner.start_assigned(now=now)
        for peer_message in self._scheduler.peer_messages(now=now):
            self._send(peer_message.host, peer_message.message)
        self._seal_when_idle(now)
        self._stop_when_sealed()
        return self._out.take()

    def next_deadline(self) -> float | None:
        """Returns when the next `TimePassed` event is due, if any."""
        scheduler_deadline = self._scheduler.next_deadline()
        if scheduler_deadline is not None:
            scheduler_deadline = max(
                scheduler_deadline, self._starts_blocked_until
            )
        deadlines = (self._timers.next_deadline(), scheduler_deadline)
        return min(
            (deadline for deadline in deadlines if deadline is not None),
            default=None,
        )

    def _send(self, host: ids.HostId, message: messages.Message) -> None:
        self._out.add(actions.SendPeer(host, message))

    def _detect_pause(self, now: float) -> None:
        """Blocks new starts for a short time after the process was paused.

        The directory is outdated after a pause, and an upstream that has left
        in the meantime must not receive new tasks.
        """
        due = self._timers.next_deadline()
        if due is None or now - due <= PAUSE_THRESHOLD_S:
            return
        self._starts_blocked_until = now + UPSTREAM_REFRESH_WAIT_S
        # Makes the runtime call this host core when the block ends.
        self._timers.call_at(self._starts_blocked_until, lambda now: None)
        self._out.note("woke_late", detail=f"late_s={now - due:.1f}")

    def _reply_callback(self, call: ids.CallId) -> jobs.AnswerCallback:
        self._open_calls.add(call)

        def on_answer(answer: model.JobAnswer, now: float) -> None:
            self._reply(actions.Reply(call, answer))

        return on_answer

    def _reply(
        self,
        reply: actions.Reply | actions.ReplyReserved,
    ) -> None:
        self._open_calls.discard(reply.call)
        self._out.add(reply)

    def _peer_reply_callback(
        self, host: ids.HostId, call: ids.CallId
    ) -> jobs.AnswerCallback:
        peer = self._membership.linked_entry(host)

        def on_answer(answer: model.JobAnswer, now: float) -> None:
            # A restarted peer numbers its calls from 1 again, so a late reply
            # to a call of its earlier process could match a new call.
            if self._membership.is_linked(peer):
                self._send(host, messages.ForwardReply(call, answer))

        return on_answer

    def _on_configured(self, now: float) -> None:
        if self._state is HostState.STARTING:
            self._transition(HostEvent.CONFIGURED)

    def _transition(self, event: HostEvent) -> None:
        self._state = _CHART.next(self._state, event)
        self._out.note("host_state", detail=f"state={self._state.value}")

    def _seal_when_idle(self, now: float) -> None:
        """Starts to write the seal once a draining host is idle."""
        if self._state is not HostState.DRAINING:
            return
        runner = self._submissions.runner
        if runner.job_count or self._must_wait_for_callers:
            return
        self._transition(HostEvent.IDLE)
        self._outcome_log.seal(self._on_sealed, now=now)

    def _update_host_count(self, now: float) -> None:
        """Updates the limits that depend on the number of linked hosts."""
        linked = self._membership.linked
        self._scheduler.update_hosts(linked, now=now)
        self._binder.set_host_count(len(linked) + 1, now=now)
        self._outcome_log.set_host_count(len(linked) + 1)

    def _expire_drain(self, now: float) -> None:
        """Aborts the remaining jobs at the drain deadline."""
        self._drain_expired = True
        self._submissions.runner.abort_all(now=now)

        self._timers.call_at(now + SEAL_TIMEOUT_S, self._give_up_sealing)

    def _give_up_sealing(self, now: float) -> None:
        if self._state is HostState.SEALING and not self._seal_finished:
            self._out.note("seal_not_written")
            self._seal_finished = True

    def _on_sealed(self, now: float) -> None:
        self._seal_finished = True

    def _stop_when_sealed(self) -> None:
        """Stops after the seal is written and the last calls are answered."""
        if self._state is not HostState.SEALING or not self._seal_finished:
            return
        if self._must_wait_for_callers:
            return
        self._transition(HostEvent.SEALED)
        self._out.add(actions.Stopped())


_Handler = Callable[[HostCore, Any, float], None]
_HANDLERS: dict[type, _Handler] = {}


def handled_types() -> frozenset[type]:
    """Returns the types of events and peer messages that a host handles."""
    return frozenset(_HANDLERS)


def _handles(*types: type) -> Callable[[_Handler], _Handler]:
    """Registers a handler for types of events or peer messages."""

    def register(handler: _Handler) -> _Handler:
        _HANDLERS.update(dict.fromkeys(types, handler))
        return handler

    return register


@_handles(events.ReserveAsked)
def _reserve(core: HostCore, event: events.ReserveAsked, now: float) -> None:
    refusal = _reserve_refusal(core, event)
    if refusal is not None:
        core._reply(actions.Reply(event.call, refusal))
        return
    if event.key is not None:
        _reserve_keyed(core, event, event.key, now)
        return
    reserved = core._submissions.reserve_ids(
        event.workspace, event.count, now=now
    )
    _reply_reserved(core, event.call, reserved)


def _reserve_refusal(
    core: HostCore, event: events.ReserveAsked
) -> model.JobAnswer | None:
    no_submission = keyed_jobs.NO_SUBMISSION_ID
    if core._state not in (HostState.STARTING, HostState.SERVING):
        return remedies.refusal(no_submission, model.Reason.DRAINING)
    max_count = 1 if event.key is not None else core._limits.max_reserve
    if 1 <= event.count <= max_count:
        return None
    return remedies.refusal(
        no_submission,
        model.Reason.BAD_REQUEST,
        detail=f"count is {event.count}; allowed: 1 to {max_count}",
    )


def _reserve_keyed(
    core: HostCore,
    event: events.ReserveAsked,
    key: ids.IdempotencyKey,
    now: float,
) -> None:
    core._open_calls.add(event.call)

    def on_bound(result: bindings.BindResult, now: float) -> None:
        if isinstance(result, bindings.BindingUnavailable):
            refusal = remedies.refusal(
                keyed_jobs.NO_SUBMISSION_ID,
                result.reason,
                retry_after_s=result.retry_after_s,
            )
            core._reply(actions.Reply(event.call, refusal))
        else:
            _reply_reserved(core, event.call, (result.submission,))

    core._submissions.keyed.reserve(event.workspace, key, on_bound, now=now)


def _reply_reserved(
    core: HostCore,
    call: ids.CallId,
    reserved: tuple[ids.SubmissionId, ...],
) -> None:
    open_for_s = core._limits.reservation_open_s
    core._reply(actions.ReplyReserved(call, reserved, open_for_s))


@_handles(events.SubmitAsked)
def _submit(core: HostCore, event: events.SubmitAsked, now: float) -> None:
    submit_call = jobs.SubmitCall(
        event.workspace,
        event.body,
        event.deadline,
        core._reply_callback(event.call),
    )
    core._submissions.submit(submit_call, event.submission, now=now)


@_handles(events.KeyedSubmitAsked)
def _submit_keyed(
    core: HostCore, event: events.KeyedSubmitAsked, now: float
) -> None:
    submit_call = jobs.SubmitCall(
        event.workspace,
        event.body,
        event.deadline,
        core._reply_callback(event.call),
    )
    core._submissions.keyed.submit(submit_call, event.key, now=now)


@_handles(events.StatusAsked)
def _status(core: HostCore, event: events.StatusAsked, now: float) -> None:
    core._submissions.status(
        event.workspace,
        event.submission,
        core._reply_callback(event.call),
        now=now,
    )


@_handles(events.CancelAsked)
def _cancel(core: HostCore, event: events.CancelAsked, now: float) -> None:
    core._submissions.cancel(
        event.workspace,
        event.submission,
        core._reply_callback(event.call),
        now=now,
    )


@_handles(events.PeerUp)
def _peer_up(core: HostCore, event: events.PeerUp, now: float) -> None:
    # Calls that were forwarded over an earlier link get no reply any more.
    core._submissions.owners.peer_down(event.host, now=now)
    core._membership.peer_up(event, now=now)
    core._update_host_count(now)
    core._config_replica.peer_up(event.host)
    core._config_changes.peer_up(event.host)


@_handles(events.PeerDown)
def _peer_down(core: HostCore, event: events.PeerDown, now: float) -> None:
    core._membership.peer_down(event.host, now=now)
    core._update_host_count(now)
    core._config_replica.peer_down(event.host, now=now)
    core._submissions.owners.peer_down(event.host, now=now)


@_handles(events.PeerSaid)
def _peer_said(core: HostCore, event: events.PeerSaid, now: float) -> None:
    _HANDLERS[type(event.message)](core, event, now)


@_handles(*get_args(messages.TransportMessage))
def _transport_message(
    core: HostCore, event: events.PeerSaid, now: float
) -> None:
    """Ignores the message: the peer link or the runtime has handled it."""


@_handles(messages.Heartbeat)
def _heartbeat(core: HostCore, event: events.PeerSaid, now: float) -> None:
    message = event.message
    assert isinstance(message, messages.Heartbeat)
    if message.draining:
        core._membership.peer_leaving(event.host)
    core._config_changes.peer_confirmed(
        event.host, message.config_counter, now=now
    )


@_handles(messages.ForwardSubmit)
def _forwarded_submit(
    core: HostCore, event: events.PeerSaid, now: float
) -> None:
    message = event.message
    assert isinstance(message, messages.ForwardSubmit)
    submit_call = jobs.SubmitCall(
        message.workspace,
        message.body,
        now + message.timeout_s,
        core._peer_reply_callback(event.host, message.call),
    )
    core._submissions.submit(submit_call, message.submission, now=now)


@_handles(messages.ForwardStatus)
def _forwarded_status(
    core: HostCore, event: events.PeerSaid, now: float
) -> None:
    message = event.message
    assert isinstance(message, messages.ForwardStatus)
    core._submissions.status(
        message.workspace,
        message.submission,
        core._peer_reply_callback(event.host, message.call),
        now=now,
    )


@_handles(messages.ForwardCancel)
def _forwarded_cancel(
    core: HostCore, event: events.PeerSaid, now: float
) -> None:
    message = event.message
    assert isinstance(message, messages.ForwardCancel)
    core._submissions.cancel(
        message.workspace,
        message.submission,
        core._peer_reply_callback(event.host, message.call),
        now=now,
    )


@_handles(messages.ForwardReply)
def _forwarded_reply(
    core: HostCore, event: events.PeerSaid, now: float
) -> None:
    message = event.message
    assert isinstance(message, messages.ForwardReply)
    core._submissions.owners.peer_replied(event.host, message, now=now)


@_handles(messages.ConfigApplied)
def _config_applied(core: HostCore, event: events.PeerSaid, now: float) -> None:
    message = event.message
    assert isinstance(message, messages.ConfigApplied)
    core._config_changes.peer_confirmed(event.host, message.counter, now=now)


@_handles(
    messages.ConfigChanged, messages.ConfigWanted, messages.ConfigSnapshot
)
def _config_message(core: HostCore, event: events.PeerSaid, now: float) -> None:
    core._config_replica.handle_peer_message(event.host, event.message, now=now)


@_handles(*get_args(messages.SchedulerMessage))
def _scheduler_message(
    core: HostCore, event: events.PeerSaid, now: float
) -> None:
    core._scheduler.handle_peer_message(event.host, event.message, now=now)


@_handles(events.AttemptEnded)
def _attempt_ended(
    core: HostCore, event: events.AttemptEnded, now: float
) -> None:
    core._submissions.runner.attempt_ended(event, now=now)


@_handles(*get_args(store_calls.StoreEvent))
def _store_ended(
    core: HostCore, event: store_calls.StoreEvent, now: float
) -> None:
    core._store.finish(event, now=now)


@_handles(events.DirectorySeen)
def _directory_seen(
    core: HostCore, event: events.DirectorySeen, now: float
) -> None:
    changed = core._membership.update_directory(event.directory, now=now)
    if changed:
        core._scheduler.update_upstreams(core._membership.upstreams, now=now)
    core._config_changes.live_hosts_changed(now=now)


@_handles(events.ConfigPutAsked)
def _config_put(
    core: HostCore, event: events.ConfigPutAsked, now: float
) -> None:
    core._config_changes.put(event, now=now)


@_handles(events.DrainAsked)
def _drain(core: HostCore, event: events.DrainAsked, now: float) -> None:
    """Starts to drain; if asked repeatedly, the earliest deadline applies."""
    if _CHART.accepts(core._state, HostEvent.DRAIN):
        core._transition(HostEvent.DRAIN)
    core._timers.call_at(event.deadline, core._expire_drain)


@_handles(events.CallerGone, events.TimePassed)
def _ignore_event(core: HostCore, event: events.Event, now: float) -> None:
    """Does nothing: `handle` has already run the timers that are due.

    The runtime drops the reply to a caller that has closed its connection.
    """
