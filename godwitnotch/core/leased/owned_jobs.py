"""The jobs that this host owns: their callers wait here for an answer.

The owner of a job answers its caller exactly once. It hands the job over to the
leader, and hands it over again whenever the leader changes.
"""

from collections.abc import Callable
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import peer_messages

# A job that was handed to no leader is refused after this time.
NO_LEADER_TIMEOUT_S = 0.3
NO_LEADER_RETRY_AFTER_S = 1.0
# After a change of the leader, all runs of the earlier leader have ended within
# this time: that leader stops the runs of owners that are no longer linked to
# it, and the runs that it doesn't stop end when their lease expires.
EARLIER_RUNS_END_S = lease.MAX_LEASE_DURATION_S + 0.2

SendMessage = Callable[[ids.HostId, peer_messages.Message], None]


@dataclass(slots=True)
class _OwnedJob:
    """A job whose caller waits at this host.

    Attributes:
        call: Id of the caller's call.
        request: The job as its caller sent it.
        arrived_at: When the job arrived.
        deadline: When the caller stops waiting.
        leader: The leader that the job was last handed to.
        handed_over: Whether the job was handed to any leader.
        had_earlier_leader: Whether the job was handed to a leader that this
            host no longer follows.
        earlier_runs_end_by: When all runs of earlier leaders have ended.
    """

    call: ids.CallId
    request: model.JobRequest
    arrived_at: float
    deadline: float
    leader: ids.HostId = ids.HostId("")
    handed_over: bool = False
    had_earlier_leader: bool = False
    earlier_runs_end_by: float = 0.0


class OwnedJobs:
    """Hands jobs over to the leader and answers their callers.

    Args:
        out: Collects the actions to execute.
        send: Sends a message to the leader, which may be this host.
    """

    def __init__(self, out: outbox_module.Outbox, *, send: SendMessage) -> None:
        self._out = out
        self._send = send
        self._leader = ids.HostId("")
        self._jobs: dict[model.JobName, _OwnedJob] = {}
        self._calls: dict[ids.CallId, model.JobName] = {}

    @property
    def open_count(self) -> int:
        """How many callers wait for an answer."""
        return len(self._jobs)

    def job_received(
        self,
        call: ids.CallId,
        request: model.JobRequest,
        deadline: float,
        *,
        now: float,
    ) -> None:
        """Handles a job that a caller has sent."""
        earlier = self._jobs.get(request.job)
        if earlier is not None:
            # A caller that sends a job again no longer waits for the first
            # call.
            self._answer(
                earlier,
                model.Answer(model.JobEnd.GIVEN_UP, model.EndReason.CANCELLED),
            )
        owned = _OwnedJob(call, request, now, deadline)
        if earlier is not None:
            owned.handed_over = earlier.handed_over
            owned.earlier_runs_end_by = earlier.earlier_runs_end_by
            owned.had_earlier_leader = earlier.had_earlier_leader
        self._jobs[request.job] = owned
        self._calls[call] = request.job
        if self._leader:
            self._hand_over(owned, now=now)

    def caller_left(self, call: ids.CallId) -> None:
        """Drops the job of a caller that has disconnected."""
        name = self._calls.pop(call, None)
        if name is None:
            return
        owned = self._jobs.pop(name)
        self._out.add_decision("caller_left", job=name)
        self._drop_at_leader(owned)

    def cancel(self, name: model.JobName) -> bool:
        """Drops a job that its caller cancels; returns whether it is owned."""
        owned = self._jobs.get(name)
        if owned is None:
            return False
        self._drop_at_leader(owned)
        self._answer(
            owned,
            model.Answer(model.JobEnd.FAILED, model.EndReason.CANCELLED),
        )
        return True

    def job_answered(self, name: model.JobName, answer: model.Answer) -> None:
        """Passes the leader's answer on to the caller."""
        owned = self._jobs.get(name)
        if owned is None:
            return
        if owned.had_earlier_leader and answer.end is model.JobEnd.REFUSED:
            # An earlier leader may have started tasks of the job.
            answer = model.Answer(model.JobEnd.GIVEN_UP, answer.reason)
        self._answer(owned, answer)

    def leader_changed(
        self, leader: ids.HostId, term: model.Term, *, now: float
    ) -> None:
        """Hands all open jobs over to the new leader, if there is one."""
        self._leader = leader
        for owned in self._jobs.values():
            if owned.handed_over and owned.leader != leader:
                owned.earlier_runs_end_by = max(
                    owned.earlier_runs_end_by, now + EARLIER_RUNS_END_S
                )
                owned.had_earlier_leader = True
        if not leader:
            return
        for owned in tuple(self._jobs.values()):
            self._hand_over(owned, now=now)
        self._send(leader, peer_messages.AllHandedOver(term))

    def tick(self, *, now: float) -> None:
        """Answers jobs past their deadline; refuses jobs without a leader."""
        for owned in tuple(self._jobs.values()):
            if now >= owned.deadline:
                self._deadline_passed(owned)
            elif (
                not owned.handed_over
                and now - owned.arrived_at >= NO_LEADER_TIMEOUT_S
            ):
                self._refuse(owned, model.EndReason.NO_LEADER)

    def _hand_over(self, owned: _OwnedJob, *, now: float) -> None:
        owned.leader = self._leader
        owned.handed_over = True
        self._send(
            self._leader,
            peer_messages.JobHandedOver(
                owned.request,
                max(0.0, owned.deadline - now),
                now - owned.arrived_at,
                max(0.0, owned.earlier_runs_end_by - now),
                owned.had_earlier_leader,
            ),
        )

    def _deadline_passed(self, owned: _OwnedJob) -> None:
        self._drop_at_leader(owned)
        if not owned.handed_over:
            self._refuse(owned, model.EndReason.NO_LEADER)
            return
        self._answer(
            owned,
            model.Answer(
                model.JobEnd.GIVEN_UP, model.EndReason.DEADLINE_PASSED
            ),
        )

    def _refuse(self, owned: _OwnedJob, reason: model.EndReason) -> None:
        self._answer(
            owned,
            model.Answer(model.JobEnd.REFUSED, reason, NO_LEADER_RETRY_AFTER_S),
        )

    def _drop_at_leader(self, owned: _OwnedJob) -> None:
        if owned.handed_over and self._leader:
            self._send(
                self._leader, peer_messages.JobDropped(owned.request.job)
            )

    def _answer(self, owned: _OwnedJob, answer: model.Answer) -> None:
        self._jobs.pop(owned.request.job, None)
        self._calls.pop(owned.call, None)
        self._out.add_decision(
            "job_answered",
            job=owned.request.job,
            reason=answer.reason.value,
            detail=f"end={answer.end.value} "
            f"route={owned.request.settings.route} "
            f"leader={owned.leader}",
        )
        self._out.add(actions.AnswerCaller(owned.call, answer))
