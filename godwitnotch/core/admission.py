"""Refuses at once what can't be done in time, and says when to come back.

The time that a job takes is estimated from the tasks queued before it, the
run times learnt, and the slots that this host can count on. Callers that are
refused are told to come back one after the other, at the rate at which the
queue drains, so that they don't return all together.
"""

from dataclasses import dataclass

from godwitnotch.core import model
from godwitnotch.core import random_source
from godwitnotch.core import scheduler

# A job takes at least so many mean run times.
LEAST_RUNS = 1.0
# Share of a job's time that the work queued before it may fill.
FILL_SHARE = 0.5
LEAST_RETRY_S = 0.05
MOST_RETRY_S = 60.0
NO_UPSTREAM_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class Situation:
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

    served: bool
    slots: float
    mean_s: float
    known: bool
    before: int
    ahead: int
    horizon_s: float
    queued: int


class Admission:
    """Decides on new jobs; one for each host."""

    def __init__(self, chance: random_source.RandomSource) -> None:
        self._chance = chance
        self._next_retry = 0.0

    def check(
        self,
        job: scheduler.JobRequest,
        situation: Situation,
        *,
        now: float,
    ) -> scheduler.Refusal | None:
        """Returns why a job is refused; None admits it."""
        tasks = len(job.declared_ms)
        if not situation.served:
            return scheduler.Refusal(
                model.Reason.NO_UPSTREAM,
                f"no live upstream may serve template {job.template.name!r}; "
                "come back later, or allow more upstreams in the template",
                NO_UPSTREAM_RETRY_S,
            )
        if not job.workspace.max_running_tasks:
            return scheduler.Refusal(
                model.Reason.QUOTA_EXCEEDED,
                f"workspace {job.workspace.workspace!r} may run no tasks; "
                "raise its max_running_tasks",
                None,
            )
        task_s = situation.mean_s / situation.slots
        if situation.queued + tasks > job.workspace.max_queued_tasks:
            return self._full(job, situation, task_s, now)
        wait_s = job.deadline - now
        own_s = 0.0
        if situation.known:
            own_s = tasks * task_s + LEAST_RUNS * situation.mean_s
        spare_s = max(wait_s - own_s, 0.0)
        before_s = situation.before * task_s
        # What is queued has been promised to its callers already.
        all_s = situation.ahead * task_s
        horizon_s = max(situation.horizon_s, wait_s) - own_s
        over_s = max(
            before_s - FILL_SHARE * spare_s, all_s - FILL_SHARE * horizon_s
        )
        if own_s <= wait_s and over_s <= 0:
            return None
        possible = own_s <= wait_s
        retry_s = self._retry(over_s, tasks * task_s, now)
        return scheduler.Refusal(
            model.Reason.DEADLINE_UNREACHABLE,
            f"{situation.ahead} tasks wait on this host, some {all_s:.1f} s "
            f"of work; the job takes {own_s:.1f} s of the {wait_s:.1f} s "
            "left; come back when the queue is shorter, or allow more time",
            retry_s if possible else None,
        )

    def _full(
        self,
        job: scheduler.JobRequest,
        situation: Situation,
        task_s: float,
        now: float,
    ) -> scheduler.Refusal:
        tasks = len(job.declared_ms)
        most = job.workspace.max_queued_tasks
        over = situation.queued + tasks - most
        retry_s = self._retry(over * task_s, tasks * task_s, now)
        return scheduler.Refusal(
            model.Reason.QUEUE_FULL,
            f"{situation.queued} tasks of the workspace wait on this host, of "
            f"at most {most}; come back when the queue is shorter, or raise "
            "max_queued_tasks",
            retry_s if tasks <= most else None,
        )

    def _retry(self, drain_s: float, turn_s: float, now: float) -> float:
        """Returns the seconds until the queue has room for one more job."""
        at = max(now + drain_s, self._next_retry)
        at = min(at, now + MOST_RETRY_S * (0.5 + self._chance.random() / 2))
        self._next_retry = at + turn_s
        return max(at - now, LEAST_RETRY_S)
