"""What the logs tell about one job, and why it missed its target time."""

import enum

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model

# A run counts as slow beyond this multiple of its expected run time.
SLOW_RUN_FACTOR = 1.3


class Outcome(enum.Enum):
    """What became of a job."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    GIVEN_UP = "given up"
    CALLER_LEFT = "caller left"
    NO_ANSWER = "no answer"


class Cause(enum.Enum):
    """Why a job missed its target time."""

    CALLER_LEFT = "caller left before the target time"
    DEADLINE_TOO_NEAR = "deadline too near on arrival"
    HOST_LOST = "its host was lost"
    NO_LEADER = "no leader, or the leader changed"
    NO_LEASE = "no upstream was held"
    WAITED = "waited for a free upstream"
    WAITED_AGAIN = "waited again after a lost run"
    RUN_FAILED = "a run failed"
    RUN_LAPSED = "a run was lost with its lease"
    RUN_GONE = "a run was gone at its upstream"
    RUN_UNANSWERED = "a start order got no response"
    RUN_OVERDUE = "a run was overdue"
    RUN_SLOW = "a run took long"
    REFUSED_BY_LOAD = "refused by the expected wait"
    JOB_FAILS = "the job fails on every upstream"
    NOT_EXPLAINED = "not explained"


class TaskTrace(msgspec.Struct):
    """The runs of one task.

    Attributes:
        ordered_at: When its last run was ordered; None while none was.
        waiting_since: Since when it has had no run.
        waited_again_s: How long it had no run after a lost one, in seconds.
        lost_s: Time in lost runs by cause, in seconds.
        unanswered: Whether the start order of the last run got no response.
        overdue: Whether the last run was stopped as overdue.
        ended_at: When the run that succeeded was known to have ended.
        ran_s: How long that run took, in seconds.
        work_ms: How long it takes on an upstream of average speed, in ms.
    """

    ordered_at: float | None = None
    waiting_since: float = 0.0
    waited_again_s: float = 0.0
    lost_s: dict[Cause, float] = msgspec.field(default_factory=dict)
    unanswered: bool = False
    overdue: bool = False
    ended_at: float | None = None
    ran_s: float = 0.0
    work_ms: float = 0.0

    def run_ordered(self, *, at: float) -> None:
        """Records that a run was ordered."""
        if self.lost_s:
            self.waited_again_s += max(0.0, at - self.waiting_since)
        self.ordered_at = at
        self.unanswered = False
        self.overdue = False

    def run_lost(self, reason: str, *, at: float) -> None:
        """Records that a run has ended without success."""
        cause = Cause.RUN_LAPSED
        if self.overdue:
            cause = Cause.RUN_OVERDUE
        elif self.unanswered:
            cause = Cause.RUN_UNANSWERED
        elif reason == model.RunEnd.FAILED.value:
            cause = Cause.RUN_FAILED
        elif reason in (
            model.RunEnd.MISSING.value,
            model.RunEnd.CRASHED.value,
        ):
            cause = Cause.RUN_GONE
        lost_s = max(0.0, at - (self.ordered_at or at))
        self.lost_s[cause] = self.lost_s.get(cause, 0.0) + lost_s
        self.waiting_since = at


class JobTrace(msgspec.Struct):
    """What the logs tell about one job; times are in seconds.

    Attributes:
        name: The name that the caller gave the job.
        owner: The last host that took the job.
        route: Name of its route.
        received_at: When the first host received it.
        task_count: Number of its tasks.
        estimate_ms: The caller's estimate of a task's run time.
        stretch: Target response time as a multiple of the run time.
        target_ms: Time that is added to that multiple, in ms.
        deadline: When the caller stops waiting.
        work_ms: Run time of a task on an upstream of average speed, as far as
            the logs tell.
        tasks: The traces of the tasks that had a run.
        answered_at: When the job was answered, or its caller left.
        end: How it ended, as its owner told the caller; empty without answer.
        reason: Why it wasn't completed.
        caller_left: Whether its caller left before the answer.
        owner_lost: Whether a host was lost while it owned the job.
        refusal: The figures behind a refusal.
    """

    name: model.JobName
    owner: ids.HostId
    route: str
    received_at: float
    task_count: int
    estimate_ms: float
    stretch: float
    target_ms: float
    deadline: float
    work_ms: float
    tasks: dict[int, TaskTrace] = msgspec.field(default_factory=dict)
    answered_at: float | None = None
    end: str = ""
    reason: str = ""
    caller_left: bool = False
    owner_lost: bool = False
    refusal: str = ""

    @property
    def total_work_ms(self) -> float:
        """Expected run time of all tasks, in ms."""
        return self.work_ms * self.task_count

    @property
    def target_end_at(self) -> float:
        """When the job must have ended to meet its target response time."""
        target_s = (self.work_ms * self.stretch + self.target_ms) / 1_000
        return self.received_at + target_s

    @property
    def outcome(self) -> Outcome:
        """What became of the job."""
        if self.answered_at is None:
            return Outcome.NO_ANSWER
        if self.end == model.JobEnd.COMPLETED.value:
            in_time = self.answered_at <= self.target_end_at
            return Outcome.IN_TIME if in_time else Outcome.LATE
        if self.end == model.JobEnd.REFUSED.value:
            return Outcome.REFUSED
        if self.end == model.JobEnd.FAILED.value:
            return Outcome.FAILED
        if self.caller_left:
            return Outcome.CALLER_LEFT
        return Outcome.GIVEN_UP

    def task(self, index: int) -> TaskTrace:
        """Returns the trace of a task."""
        return self.tasks.setdefault(
            index, TaskTrace(waiting_since=self.received_at)
        )


def find_cause(
    job: JobTrace, *, leader_away_s: float, ended_at: float
) -> Cause:
    """Returns why a job missed its target time.

    The cause is the largest part of the time that its last task took.

    Args:
        job: The job.
        leader_away_s: How long its owner had no leader meanwhile, in seconds.
        ended_at: When the job was answered, given up, or lost sight of.
    """
    if job.outcome is Outcome.CALLER_LEFT and ended_at < job.target_end_at:
        return Cause.CALLER_LEFT
    if job.owner_lost:
        return Cause.HOST_LOST
    by_reason = _REASON_CAUSES.get(job.reason)
    if by_reason is not None:
        return by_reason
    parts = _time_parts(job, leader_away_s=leader_away_s, ended_at=ended_at)
    cause = max(parts, key=lambda cause: parts[cause])
    if job.deadline - job.received_at < job.work_ms / 1_000:
        return Cause.DEADLINE_TOO_NEAR
    return cause if parts[cause] > 0 else Cause.NOT_EXPLAINED


_REASON_CAUSES = {
    model.EndReason.NO_LEADER.value: Cause.NO_LEADER,
    model.EndReason.LEADER_LOST.value: Cause.NO_LEADER,
    model.EndReason.NO_UPSTREAM.value: Cause.NO_LEASE,
    model.EndReason.OVERLOADED.value: Cause.REFUSED_BY_LOAD,
    model.EndReason.CANCELLED.value: Cause.CALLER_LEFT,
    model.EndReason.TASK_FAILED.value: Cause.JOB_FAILS,
    model.EndReason.TASK_CRASHES_UPSTREAMS.value: Cause.JOB_FAILS,
    model.EndReason.UPSTREAM_LOST.value: Cause.RUN_LAPSED,
}


def _time_parts(
    job: JobTrace, *, leader_away_s: float, ended_at: float
) -> dict[Cause, float]:
    """Returns how long each cause delayed the last task, in seconds."""
    last = _last_task(job, ended_at=ended_at)
    lost_s = sum(last.lost_s.values()) + last.waited_again_s
    parts = {Cause.NO_LEADER: leader_away_s, Cause.WAITED_AGAIN: 0.0}
    parts |= last.lost_s
    parts[Cause.WAITED_AGAIN] = last.waited_again_s
    run_s = last.ran_s
    if last.ended_at is None and last.ordered_at is not None:
        open_since = max(last.ordered_at, last.waiting_since)
        open_s = ended_at - open_since
        if last.ordered_at > last.waiting_since:
            run_s = open_s
        else:
            parts[Cause.WAITED_AGAIN] += open_s
            lost_s += open_s
    parts[Cause.RUN_SLOW] = max(
        0.0, run_s - job.work_ms * SLOW_RUN_FACTOR / 1_000
    )
    end = last.ended_at or ended_at
    waited_s = end - job.received_at - lost_s - run_s - leader_away_s
    parts[Cause.WAITED] = max(0.0, waited_s)
    return parts


def _last_task(job: JobTrace, *, ended_at: float) -> TaskTrace:
    """Returns the task that ended last, or one that has not ended."""
    if len(job.tasks) < job.task_count:
        return TaskTrace(waiting_since=job.received_at)
    return max(
        job.tasks.values(),
        key=lambda task: task.ended_at if task.ended_at else ended_at + 1,
    )
