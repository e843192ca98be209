"""Refuses at once what can't be done in time, and says when to come back.

The time that a job takes is estimated from the tasks queued before it, the
run times learnt, and the slots that this host can count on. Callers that are
refused are told to come back one after the other, at the rate at which the
queue drains, so that they don't return all together.
"""

from dataclasses import dataclass

from godwitnotch.core import chance
from godwitnotch.core import model
from godwitnotch.core import scheduler

# A job takes at least so many mean run times.
MIN_JOB_RUN_TIMES = 1.0
# Share of a job's time that the work queued before it may fill.
MAX_QUEUED_WORK_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 60.0
NO_UPSTREAM_RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class QueueState:
    """What the queue looks like to a new job.

    Attributes:
        served: Whether any upstream may serve it.
        slots: Slots that the host can count on for it.
        mean_s: Mean run time of its template.
        known: Whether the mean was learnt.
        before: Tasks that are expected to go before its last one.
        ahead: Tasks that go before, were it served last.
        horizon_s: Longest time that callers of the queued jobs wait.
        queued: Tasks of its workspace that wait on this host.
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
    """Decides on new jobs; one for each host."""

    def __init__(self, rng: chance.Chance) -> None:
        self._rng = rng
        self._next_retry_at = 0.0

    def check(
        self,
        job: scheduler.JobRequest,
        state: QueueState,
        *,
        now: float,
    ) -> scheduler.Refusal | None:
        """Returns why a job is refused; None admits it."""
        tasks = len(job.declared_ms)
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
        if state.workspace_queued + tasks > job.workspace.max_queued_tasks:
            return self._refuse_full(job, state, task_s, now)
        wait_s = job.deadline - now
        job_s = 0.0
        if state.mean_known:
            job_s = tasks * task_s + MIN_JOB_RUN_TIMES * state.mean_s
        spare_s = max(wait_s - job_s, 0.0)
        before_s = state.tasks_before * task_s
        # What is queued has been promised to its callers already.
        max_before_s = state.max_tasks_before * task_s
        max_wait_s = max(state.max_wait_s, wait_s) - job_s
        excess_s = max(
            before_s - MAX_QUEUED_WORK_SHARE * spare_s,
            max_before_s - MAX_QUEUED_WORK_SHARE * max_wait_s,
        )
        if job_s <= wait_s and excess_s <= 0:
            return None
        can_finish = job_s <= wait_s
        retry_s = self._retry_after_s(excess_s, tasks * task_s, now)
        return scheduler.Refusal(
            model.Reason.DEADLINE_UNREACHABLE,
            f"{state.max_tasks_before} tasks wait on this host, some {max_before_s:.1f} s "
            f"of work; the job takes {job_s:.1f} s of the {wait_s:.1f} s "
            "left; come back when the queue is shorter, or allow more time",
            retry_s if can_finish else None,
        )

    def _refuse_full(
        self,
        job: scheduler.JobRequest,
        state: QueueState,
        task_s: float,
        now: float,
    ) -> scheduler.Refusal:
        tasks = len(job.declared_ms)
        max_queued = job.workspace.max_queued_tasks
        excess = state.workspace_queued + tasks - max_queued
        retry_s = self._retry_after_s(excess * task_s, tasks * task_s, now)
        return scheduler.Refusal(
            model.Reason.QUEUE_FULL,
            f"{state.workspace_queued} tasks of the workspace wait on this host, of "
            f"at most {max_queued}; come back when the queue is shorter, or raise "
            "max_queued_tasks",
            retry_s if tasks <= max_queued else None,
        )

    def _retry_after_s(
        self, drain_s: float, interval_s: float, now: float
    ) -> float:
        """Returns the seconds until the queue has room for one more job."""
        retry_at = max(now + drain_s, self._next_retry_at)
        retry_at = min(
            retry_at,
            now + MAX_RETRY_AFTER_S * (0.5 + self._rng.random() / 2),
        )
        self._next_retry_at = retry_at + interval_s
        return max(retry_at - now, MIN_RETRY_AFTER_S)
