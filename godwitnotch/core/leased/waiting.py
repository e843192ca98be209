"""The queue of jobs that wait for free resources, and its order.

Jobs that can still end in time go before those that can't; between them go jobs
that were kept though they were expected to end late. Within each group
the order weighs a job's waiting work against its slack (spare time until its
target end). By work alone, wide jobs of short tasks miss their target behind
narrow jobs that could have waited; by slack alone, an overload makes all jobs
late, since large jobs are served that small ones could have replaced.
"""

import bisect
import copy
import itertools
import math
from collections.abc import Iterable

from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import model

# Added to the slack, so that work decides between jobs that have none.
SLACK_MARGIN_S = 0.02
# The order of a longer queue is cached for SORT_CACHE_S, as sorting the queue
# takes as long as handling several jobs.
MAX_UNCACHED_JOB_COUNT = 16
SORT_CACHE_S = 0.025

_SortKey = tuple[int, float, float]


class WaitingQueue:
    """The jobs that have waiting tasks, in the order of service."""

    def __init__(self) -> None:
        self._jobs: dict[model.JobName, jobs.LeasedJob] = {}
        self._sorted_jobs: list[jobs.LeasedJob] = []
        self._sort_keys: list[_SortKey] = []
        self._cumulative_work_ms: list[float] = [0.0]
        self._sorted_at = float("-inf")
        self._added_since_sort_ms: dict[model.JobName, float] = {}

    def __len__(self) -> int:
        """Returns how many jobs wait."""
        return len(self._jobs)

    def copy(self) -> "WaitingQueue":
        """Returns a queue of the same jobs, with caches of its own."""
        twin = copy.copy(self)
        twin._jobs = dict(self._jobs)
        twin._added_since_sort_ms = dict(self._added_since_sort_ms)
        return twin

    def clear(self) -> None:
        """Removes all jobs."""
        self._jobs.clear()
        self._added_since_sort_ms.clear()
        self._sorted_at = float("-inf")

    def update(self, job: jobs.LeasedJob) -> None:
        """Adds a job, or removes it if none of its tasks waits."""
        if job.waiting_task_count:
            if job.name not in self._jobs:
                self._added_since_sort_ms[job.name] = work_left_ms(job)
            self._jobs[job.name] = job
        else:
            self.discard(job)

    def reorder(self) -> None:
        """Sorts the queue anew, as a job was kept late."""
        self._sorted_at = float("-inf")

    def discard(self, job: jobs.LeasedJob) -> None:
        """Removes a job."""
        if self._jobs.get(job.name) is job:
            del self._jobs[job.name]

    def ordered(self, *, now: float) -> Iterable[jobs.LeasedJob]:
        """Yields the jobs in the order of service.

        Jobs may be added and removed meanwhile; added ones are not yielded. A
        caller that stops early doesn't pay for the rest of a long queue.
        """
        self._sort(now=now)
        for job in self._sorted_jobs:
            if job.waiting_task_count and self._jobs.get(job.name) is job:
                yield job

    def ahead_ms(self, job: jobs.LeasedJob, *, now: float) -> float:
        """Returns the expected run time of all waiting tasks ahead of a job.

        Jobs that were added since the last sort count as ahead of the job.
        """
        self._sort(now=now)
        position = bisect.bisect_right(self._sort_keys, _sort_key(job, now))
        ahead_ms = self._cumulative_work_ms[position] + sum(
            self._added_since_sort_ms.values()
        )
        # The job itself is counted in one of the two sums.
        return max(0.0, ahead_ms - work_left_ms(job))

    def total_ms(self, *, now: float) -> float:
        """Returns the expected run time of all waiting tasks."""
        self._sort(now=now)
        return self._cumulative_work_ms[-1]

    def _sort(self, *, now: float) -> None:
        cache_s = (
            SORT_CACHE_S if len(self._jobs) > MAX_UNCACHED_JOB_COUNT else 0.0
        )
        if now < self._sorted_at + cache_s:
            return
        self._sorted_at = now
        self._added_since_sort_ms.clear()
        keyed_jobs = sorted(
            ((_sort_key(job, now), job) for job in self._jobs.values()),
            key=lambda pair: pair[0],
        )
        self._sort_keys = [key for key, _ in keyed_jobs]
        self._sorted_jobs = [job for _, job in keyed_jobs]
        self._cumulative_work_ms = [
            0.0,
            *itertools.accumulate(map(work_left_ms, self._sorted_jobs)),
        ]


def work_left_ms(job: jobs.LeasedJob) -> float:
    """Returns the expected run time of all waiting tasks of a job."""
    return job.waiting_task_count * job.base_ms


def can_end_in_time(job: jobs.LeasedJob, *, now: float) -> bool:
    """Returns whether a job would end in time if it started now."""
    return now + job.base_ms / 1_000 <= job.target_end_at


def _sort_key(job: jobs.LeasedJob, now: float) -> _SortKey:
    """Returns a job's group, its weighted slack and its arrival."""
    late = not can_end_in_time(job, now=now)
    slack_s = max(0.0, job.target_end_at - now - job.base_ms / 1_000)
    weighted = math.sqrt(work_left_ms(job)) * (slack_s + SLACK_MARGIN_S)
    return 2 * late + job.kept_late * (not late), weighted, job.arrived_at
