"""The jobs that this host owns: their callers wait here for an answer.

The owner of a job answers its caller exactly once. It hands the job over to the
leader of a cell, and hands it over again whenever that leader changes. A job
goes to the cell of this host's failure domain. It goes to another cell if its
own has no leader that can take it, or if a leader redirects it.
"""

from collections.abc import Callable

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import cancelled_jobs
from godwitnotch.core.leased import cells
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
# Time for the hosts of a cell to elect its next leader, which goes on with the
# runs of the last, before the jobs move to another cell.
CELL_ELECTION_TIMEOUT_S = 0.7

SendMessage = Callable[[ids.HostId, peer_messages.Message], None]


class _OwnedJob(msgspec.Struct):
    """A job whose caller waits at this host.

    Attributes:
        call: Id of the caller's call.
        request: The job as its caller sent it.
        arrived_at: When the job arrived.
        deadline: When the caller stops waiting.
        cell: The cell that the job was last handed to; None if none, or if the
            cell no longer exists.
        leader: The leader that the job was last handed to.
        term: The term of that leader.
        leader_lost_at: When that leader was lost; None while it leads.
        handed_over: Whether the job was handed to any leader.
        earlier_term: Highest term of the leaders that the job was handed to
            and that no longer lead its cell; 0 if there are none.
        redirected: Whether a leader has redirected the job.
        may_run_elsewhere: Whether tasks may have been started in another cell.
        earlier_runs_end_by: When all runs of earlier leaders have ended.
    """

    call: ids.CallId
    request: model.JobRequest
    arrived_at: float
    deadline: float
    cell: model.CellId | None = None
    leader: ids.HostId = ids.HostId("")
    term: model.Term = model.Term(0)
    leader_lost_at: float | None = None
    handed_over: bool = False
    earlier_term: model.Term = model.Term(0)
    redirected: bool = False
    may_run_elsewhere: bool = False
    earlier_runs_end_by: float = 0.0

    def leader_lost(self, *, now: float) -> None:
        """Records that the leader no longer leads the job's cell."""
        if self.leader_lost_at is None:
            self.leader_lost_at = now
        self.earlier_term = max(self.earlier_term, self.term)
        self.earlier_runs_end_by = max(
            self.earlier_runs_end_by, now + EARLIER_RUNS_END_S
        )


class OwnedJobs:
    """Hands jobs over to the leaders and answers their callers.

    Args:
        out: Collects the actions to execute.
        leaders: The known leaders of all cells.
        send: Sends a message to a leader, which may be this host.
        cancelled: The jobs that callers have cancelled; None for none.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        leaders: cells.CellLeaders,
        *,
        send: SendMessage,
        cancelled: cancelled_jobs.CancelledJobs | None = None,
    ) -> None:
        self._out = out
        self._leaders = leaders
        if cancelled is None:
            cancelled = cancelled_jobs.CancelledJobs()
        self._cancelled = cancelled
        self._send = send
        self._home = cells.WHOLE_FLEET
        self._jobs: dict[model.JobName, _OwnedJob] = {}
        self._calls: dict[ids.CallId, model.JobName] = {}
        self._cells_chosen = 0
        self._answer_by = float("inf")

    @property
    def open_count(self) -> int:
        """How many callers wait for an answer."""
        return len(self._jobs)

    def __contains__(self, name: model.JobName) -> bool:
        """Returns whether this host owns a job that is open."""
        return name in self._jobs

    def set_home(self, cell: model.CellId) -> None:
        """Sets the cell that gets the jobs of this host."""
        self._home = cell

    def job_received(
        self,
        call: ids.CallId,
        request: model.JobRequest,
        deadline: float,
        *,
        now: float,
    ) -> None:
        """Handles a job that a caller has sent."""
        deadline = min(deadline, self._answer_by)
        owned = _OwnedJob(call, request, now, deadline)
        earlier = self._jobs.get(request.job)
        if earlier is not None:
            # A caller that sends a job again no longer waits for the first
            # call.
            self._answer(
                earlier,
                model.Answer(model.JobEnd.GIVEN_UP, model.EndReason.CANCELLED),
            )
            owned.cell = earlier.cell
            owned.leader = earlier.leader
            owned.term = earlier.term
            owned.leader_lost_at = earlier.leader_lost_at
            owned.handed_over = earlier.handed_over
            owned.earlier_term = earlier.earlier_term
            owned.redirected = earlier.redirected
            owned.may_run_elsewhere = earlier.may_run_elsewhere
            owned.earlier_runs_end_by = earlier.earlier_runs_end_by
        self._jobs[request.job] = owned
        self._calls[call] = request.job
        if request.job in self._cancelled:
            self.cancel(request.job)
        elif owned.cell is None:
            self._hand_to_any(owned, now=now)
        elif owned.leader_lost_at is None:
            self._hand_over(owned, owned.cell, now=now)

    def drain(self, *, answer_by: float, now: float) -> None:
        """Answers all jobs by a time, as this host ends soon after it.

        Their leaders refuse at once those that can't end by then, and have not
        begun.
        """
        self._answer_by = answer_by
        for owned in self._jobs.values():
            if owned.deadline <= answer_by:
                continue
            owned.deadline = answer_by
            if owned.leader and owned.leader_lost_at is None:
                # Not handed over again: its leader may have redirected it.
                moved = peer_messages.JobDeadlineMoved(
                    owned.request.job, max(0.0, answer_by - now)
                )
                self._send(owned.leader, moved)

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

    def job_answered(
        self, leader: ids.HostId, name: model.JobName, answer: model.Answer
    ) -> None:
        """Passes a leader's answer on to the caller."""
        owned = self._jobs.get(name)
        if owned is None:
            return
        final = answer.end in (model.JobEnd.COMPLETED, model.JobEnd.FAILED)
        if not final and leader != owned.leader:
            # The leader that the job is with now will answer it.
            return
        if owned.earlier_term and answer.end is model.JobEnd.REFUSED:
            # An earlier leader may have started tasks of the job.
            answer = msgspec.structs.replace(answer, end=model.JobEnd.GIVEN_UP)
        self._answer(owned, answer)

    def job_redirected(
        self,
        leader: ids.HostId,
        name: model.JobName,
        to: ids.HostId,
        *,
        now: float,
    ) -> None:
        """Hands a job that its leader hasn't started to another leader.

        A leader redirects no job that had an earlier leader. If this job had
        one, it was handed over again after the leader had redirected it.
        """
        owned = self._jobs.get(name)
        if owned is None or owned.leader != leader or owned.cell is None:
            return
        if owned.earlier_term:
            return
        owned.redirected = True
        cell = self._leaders.cell_of(to)
        if cell is None:
            cell = owned.cell
        if self._leaders.get(cell) is not None:
            self._hand_over(owned, cell, now=now)

    def leader_changed(
        self,
        cell: model.CellId,
        leader: ids.HostId,
        term: model.Term,
        *,
        now: float,
    ) -> None:
        """Hands the jobs of a cell over to its new leader, if there is one.

        A host that leads again in a new term has forgotten its jobs. One that
        this host follows again after a pause may have dropped or refused some.
        """
        for owned in self._jobs.values():
            if owned.cell == cell:
                owned.leader_lost(now=now)
        if not leader:
            return
        for owned in tuple(self._jobs.values()):
            if owned.cell == cell:
                self._hand_over(owned, cell, now=now)
            elif owned.cell is None:
                self._hand_to_any(owned, now=now)
        self._send(leader, peer_messages.AllHandedOver(term))

    def fleet_divided(self, home: model.CellId, *, now: float) -> None:
        """Gives up the leader of the whole fleet; its jobs move to cells."""
        self._home = home
        for owned in self._jobs.values():
            if owned.cell is not None:
                self._drop_at_leader(owned)
                owned.leader_lost(now=now)
                owned.cell = None
                owned.may_run_elsewhere = True

    def tick(self, *, now: float) -> None:
        """Answers or refuses jobs whose time is over; moves stranded jobs."""
        for owned in tuple(self._jobs.values()):
            if now >= owned.deadline:
                self._deadline_passed(owned)
            elif owned.cell is None:
                self._hand_to_any(owned, now=now)
                if (
                    not owned.handed_over
                    and now - owned.arrived_at >= NO_LEADER_TIMEOUT_S
                ):
                    self._refuse(owned, model.EndReason.NO_LEADER)
            elif (
                owned.leader_lost_at is not None
                and now - owned.leader_lost_at >= CELL_ELECTION_TIMEOUT_S
            ):
                self._move(owned, now=now)

    def _hand_to_any(self, owned: _OwnedJob, *, now: float) -> None:
        """Hands a job to the home cell, or to another while that has no leader.

        Jobs go to the other cells by turns.
        """
        cell = self._next_cell()
        if cell is None:
            return
        if cell != self._home:
            self._cells_chosen += 1
        self._hand_over(owned, cell, now=now)

    def next_leader(self) -> ids.HostId:
        """Returns the leader that gets the next new job; empty if none."""
        cell = self._next_cell()
        return ids.HostId("") if cell is None else self._leaders.host(cell)

    def _next_cell(self) -> model.CellId | None:
        """Returns the cell that gets the next new job; None if there is none."""
        serving = self._leaders.serving_cells()
        if self._home in serving:
            return self._home
        if serving:
            cells_in_turn = self._leaders.open_cells()
            return cells_in_turn[(self._cells_chosen + 1) % len(cells_in_turn)]
        return self._home if self._leaders.host(self._home) else None

    def _move(self, owned: _OwnedJob, *, now: float) -> None:
        """Hands a job whose cell has no leader to another cell, if any."""
        others = [
            cell
            for cell in self._leaders.open_cells()
            if cell != owned.cell or self._leaders.host(cell) != owned.leader
        ]
        if not others:
            return
        owned.leader_lost(now=now)
        if owned.deadline <= owned.earlier_runs_end_by:
            # No task may start there before the deadline.
            self._answer(
                owned,
                model.Answer(
                    model.JobEnd.GIVEN_UP, model.EndReason.LEADER_LOST
                ),
            )
            return
        owned.may_run_elsewhere = True
        self._cells_chosen += 1
        cell = others[self._cells_chosen % len(others)]
        self._hand_over(owned, cell, now=now)

    def _hand_over(
        self, owned: _OwnedJob, cell: model.CellId, *, now: float
    ) -> None:
        owned.cell = cell
        leader = self._leaders.get(cell)
        assert leader is not None
        owned.leader = leader.host
        owned.term = leader.term
        owned.leader_lost_at = None
        owned.handed_over = True
        message = peer_messages.JobHandedOver(
            owned.request,
            max(0.0, owned.deadline - now),
            now - owned.arrived_at,
            max(0.0, owned.earlier_runs_end_by - now),
            owned.earlier_term,
        )
        if owned.redirected or owned.may_run_elsewhere:
            moved = peer_messages.JobMoved(
                message, owned.redirected, owned.may_run_elsewhere
            )
            self._send(owned.leader, moved)
        else:
            self._send(owned.leader, message)

    def _deadline_passed(self, owned: _OwnedJob) -> None:
        self._drop_at_leader(owned)
        if not owned.handed_over:
            self._refuse(owned, model.EndReason.NO_LEADER)
            return
        reason = model.EndReason.DEADLINE_PASSED
        if owned.deadline == self._answer_by:
            reason = model.EndReason.DRAINING
        self._answer(owned, model.Answer(model.JobEnd.GIVEN_UP, reason))

    def _refuse(self, owned: _OwnedJob, reason: model.EndReason) -> None:
        self._answer(
            owned,
            model.Answer(model.JobEnd.REFUSED, reason, NO_LEADER_RETRY_AFTER_S),
        )

    def _drop_at_leader(self, owned: _OwnedJob) -> None:
        if owned.leader and owned.leader_lost_at is None:
            dropped = peer_messages.JobDropped(owned.request.job)
            self._send(owned.leader, dropped)

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
