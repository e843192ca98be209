"""In which order waiting jobs get room: the load is more work than room.

Jobs that can still end in time go before those that can't. Among the former
the one with the least work left goes first, scaled by how urgent it is.
"""

import bisect
import itertools
from collections.abc import Iterable

from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import model

# A job whose spare time is used up counts as having this part of its work.
URGENT_SHARE = 0.3
# With more jobs than this the order is kept for a while, as making it takes as
# long as serving some of them.
SMALL_QUEUE = 16
ORDER_KEPT_S = 0.025

_Rank = tuple[bool, float, float]


class WaitingQueue:
    """The jobs with tasks that wait for room."""

    def __init__(self) -> None:
        self._jobs: dict[model.JobName, jobs.LeasedJob] = {}
        self._order: list[jobs.LeasedJob] = []
        self._ranks: list[_Rank] = []
        self._work_ms: list[float] = [0.0]
        self._ordered_at = float("-inf")
        self._newcomers_ms: dict[model.JobName, float] = {}

    def __len__(self) -> int:
        """Returns how many jobs wait."""
        return len(self._jobs)

    def clear(self) -> None:
        """Forgets all jobs."""
        self._jobs.clear()
        self._newcomers_ms.clear()
        self._ordered_at = float("-inf")

    def update(self, job: jobs.LeasedJob) -> None:
        """Takes a job in, or out if none of its tasks waits."""
        if job.waiting_tasks:
            if job.name not in self._jobs:
                self._newcomers_ms[job.name] = work_left_ms(job)
            self._jobs[job.name] = job
        else:
            self.discard(job)

    def discard(self, job: jobs.LeasedJob) -> None:
        """Takes a job out."""
        if self._jobs.get(job.name) is job:
            del self._jobs[job.name]

    def ordered(self, *, now: float) -> Iterable[jobs.LeasedJob]:
        """Yields the jobs, the one to be served first in front."""
        self._make_order(now=now)
        for job in self._order:
            if job.waiting_tasks and self._jobs.get(job.name) is job:
                yield job

    def ahead_ms(self, job: jobs.LeasedJob, *, now: float) -> float:
        """Returns the expected run time of waiting tasks before a job's.

        What came after the order was made counts as before it.
        """
        self._make_order(now=now)
        place = bisect.bisect_right(self._ranks, _rank(job, now))
        ahead_ms = self._work_ms[place] + sum(self._newcomers_ms.values())
        return max(0.0, ahead_ms - work_left_ms(job))

    def total_ms(self, *, now: float) -> float:
        """Returns the expected run time of all waiting tasks."""
        self._make_order(now=now)
        return self._work_ms[-1]

    def _make_order(self, *, now: float) -> None:
        kept_s = ORDER_KEPT_S if len(self._jobs) > SMALL_QUEUE else 0.0
        if now < self._ordered_at + kept_s:
            return
        self._ordered_at = now
        self._newcomers_ms.clear()
        ranked = sorted(
            ((_rank(job, now), job) for job in self._jobs.values()),
            key=lambda pair: pair[0],
        )
        self._ranks = [rank for rank, _ in ranked]
        self._order = [job for _, job in ranked]
        self._work_ms = [
            0.0,
            *itertools.accumulate(map(work_left_ms, self._order)),
        ]


def work_left_ms(job: jobs.LeasedJob) -> float:
    """Returns the expected run time of all tasks that wait."""
    return job.waiting_tasks * job.base_ms


def can_end_in_time(job: jobs.LeasedJob, *, now: float) -> bool:
    """Returns whether a job started now is expected to end in time."""
    return now + job.base_ms / 1_000 <= job.aimed_end


def _rank(job: jobs.LeasedJob, now: float) -> _Rank:
    late = not can_end_in_time(job, now=now)
    spare_s = job.aimed_end - now - job.base_ms / 1_000
    whole_s = max(1e-3, job.aim_s - job.base_ms / 1_000)
    left = min(1.0, max(0.0, spare_s / whole_s))
    urgency = URGENT_SHARE + (1 - URGENT_SHARE) * left
    return late, work_left_ms(job) * urgency, job.arrived_at
