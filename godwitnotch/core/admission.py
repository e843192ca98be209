"""Admission control: refuses jobs that can't finish in time.

The time that a job takes is estimated from the tasks queued before it, the
learnt run times, and the slots that this host can expect to use. A refused
caller is told when to retry. The retries are spread at the rate at which the
queue empties, so that callers don't retry all at once.
"""

import msgspec

from godwitnotch.core import model
from godwitnotch.core import random_source
from godwitnotch.core import scheduler

# A job's last task is expected to take this many mean run times, however many
# slots are free.
LAST_TASK_RUN_TIMES = 1.0
# Maximum share of a job's spare time that the tasks queued before it may take.
# The spare time is the time left to the deadline minus the job's run time.
MAX_QUEUED_WORK_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 60.0
NO_UPSTREAM_RETRY_AFTER_S = 2.0


class QueueState(msgspec.Struct, frozen=True):
    """The queue and the slots at the time when a new job is checked.

    Attributes:
        has_upstream: Whether any upstream may serve the job.
        slots: Slots that this host can expect to use for the job.
        mean_s: Mean run time of the job's template in seconds.
        mean_known: Whether `mean_s` was learnt from tasks; otherwise it is a
            default.
        tasks_before: Queued tasks that are expected to start before the job's
            last task.
        max_tasks_before: Queued tasks that start before the job's last task
            if the job goes last in its workspace.
        max_wait_s: Maximum time in seconds between the queueing of a job and
            its deadline, over all jobs queued since the queue was last empty.
        workspace_queued: Queued tasks of the job's workspace on this host.
    """

    has_upstream: bool
    slots: float
    mean_s: float
    mean_known: bool
    tasks_before: int
    max_tasks_before: int
    max_wait_s: float
    workspace_queued: int


class Admission:
    """Admits or refuses the new jobs of one host.

    Args:
        rng: Source of random numbers, which spread the retries.
    """

    def __init__(self, rng: random_source.RandomSource) -> None:
        self._rng = rng
        self._next_retry_at = 0.0

    def check(
        self,
        job: scheduler.JobRequest,
        state: QueueState,
        *,
        now: float,
    ) -> scheduler.Refusal | None:
        """Returns why a job is refused, or None if it is admitted."""
        task_count = len(job.declared_ms)
        if not state.has_upstream:
            return scheduler.Refusal(
                model.Reason.NO_UPSTREAM,
                f"no live upstream may serve template {job.template.name!r}; "
                "come back later, or allow more upstreams in the template",
                NO_UPSTREAM_RETRY_AFTER_S,
            )
        if not job.workspace.max_running_tasks:
            return scheduler.Refusal(
                model.Reason.QUOTA_EXCEEDED,
                f"workspace {job.workspace.workspace!r} may run no tasks; "
                "raise its max_running_tasks",
                None,
            )
        task_s = state.mean_s / state.slots
        if state.workspace_queued + task_count > job.workspace.max_queued_tasks:
            return self._refuse_full(job, state, task_s, now)
        remaining_s = job.deadline - now
        job_s = 0.0
        if state.mean_known:
            job_s = task_count * task_s + LAST_TASK_RUN_TIMES * state.mean_s
        spare_s = max(remaining_s - job_s, 0.0)
        work_before_s = state.tasks_before * task_s
        # The whole queue is limited too, so that the jobs already admitted
        # can still finish in time.
        max_work_before_s = state.max_tasks_before * task_s
        max_remaining_s = max(state.max_wait_s, remaining_s) - job_s
        excess_s = max(
            work_before_s - MAX_QUEUED_WORK_SHARE * spare_s,
            max_work_before_s - MAX_QUEUED_WORK_SHARE * max_remaining_s,
        )
        if job_s <= remaining_s and excess_s <= 0:
            return None
        can_finish = job_s <= remaining_s
        retry_s = self._retry_after_s(excess_s, task_count * task_s, now)
        return scheduler.Refusal(
            model.Reason.DEADLINE_UNREACHABLE,
            f"{state.max_tasks_before} tasks wait on this host, some "
            f"{max_work_before_s:.1f} s of work; the job takes {job_s:.1f} s "
            f"of the {remaining_s:.1f} s left; come back when the queue is "
            "shorter, or allow more time",
            retry_s if can_finish else None,
        )

    def _refuse_full(
        self,
        job: scheduler.JobRequest,
        state: QueueState,
        task_s: float,
        now: float,
    ) -> scheduler.Refusal:
        """Refuses a job that would give its workspace too many queued tasks."""
        task_count = len(job.declared_ms)
        max_queued = job.workspace.max_queued_tasks
        excess = state.workspace_queued + task_count - max_queued
        retry_s = self._retry_after_s(excess * task_s, task_count * task_s, now)
        return scheduler.Refusal(
            model.Reason.QUEUE_FULL,
            f"{state.workspace_queued} tasks of the workspace wait on this "
            f"host, of at most {max_queued}; come back when the queue is "
            "shorter, or raise max_queued_tasks",
            retry_s if task_count <= max_queued else None,
        )

    def _retry_after_s(
        self, room_in_s: float, interval_s: float, now: float
    ) -> float:
        """Returns the seconds after which a refused caller may retry.

        Args:
            room_in_s: Seconds until the queue has room for the job.
            interval_s: Seconds between this retry and the next caller's.
            now: The current time.
        """
        retry_at = max(now + room_in_s, self._next_retry_at)
        retry_at = min(
            retry_at,
            now + MAX_RETRY_AFTER_S * (0.5 + self._rng.random() / 2),
        )
        self._next_retry_at = retry_at + interval_s
        return max(retry_at - now, MIN_RETRY_AFTER_S)
