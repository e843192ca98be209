"""In which order waiting jobs get room: the load is more work than room.

Jobs that can still end in time go before those that can't. Among the former
the one with the least work left goes first, scaled by how urgent it is.
"""

from collections.abc import Iterable

from godwitnotch.core.leased import jobs

# A job whose spare time is used up counts as having this part of its work.
URGENT_SHARE = 0.3


def in_order(
    waiting: Iterable[jobs.LeasedJob], *, now: float
) -> list[jobs.LeasedJob]:
    """Returns jobs with waiting tasks, the one to be served first in front."""
    return sorted(waiting, key=lambda job: _rank(job, now))


def work_left_ms(job: jobs.LeasedJob) -> float:
    """Returns the expected run time of all tasks that wait."""
    return job.waiting_count() * job.base_ms


def can_end_in_time(job: jobs.LeasedJob, *, now: float) -> bool:
    """Returns whether a job started now is expected to end in time."""
    return now + job.base_ms / 1_000 <= job.aimed_end


def _rank(job: jobs.LeasedJob, now: float) -> tuple[bool, float, float]:
    late = not can_end_in_time(job, now=now)
    spare_s = job.aimed_end - now - job.base_ms / 1_000
    whole_s = max(1e-3, job.aim_s - job.base_ms / 1_000)
    left = min(1.0, max(0.0, spare_s / whole_s))
    urgency = URGENT_SHARE + (1 - URGENT_SHARE) * left
    return late, work_left_ms(job) * urgency, job.arrived_at
