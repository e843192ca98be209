"""Answers a short overload: jobs that end late but still of use to callers.

A job that is expected to miss its target waits behind all jobs that can be in
time, so that it starts only in room that none of them takes. It is kept only
if the work ahead of it is expected to drain in time for a useful answer, and not
in an overload that lasts: there the jobs that arrive meanwhile need the room
that its tasks take.
"""

import math

import msgspec

from godwitnotch.core.leased import admission
from godwitnotch.core.leased import jobs


class Drain(msgspec.Struct, frozen=True):
    """How fast waiting work drains.

    Attributes:
        waiting_ms: Expected run time of all waiting tasks.
        capacity_ms_per_s: Work that the upstreams do per second.
        sustained_ms_per_s: Long average of the work that arrives per second.
    """

    waiting_ms: float
    capacity_ms_per_s: float
    sustained_ms_per_s: float

    def wait_s(self) -> float:
        """Returns how long all waiting work takes."""
        if self.capacity_ms_per_s <= 0:
            return math.inf
        return self.waiting_ms / self.capacity_ms_per_s


def useful_until(job: jobs.LeasedJob) -> float:
    """Returns until when the caller has a use for the answer."""
    latest = job.arrived_at + job.target_response_s * (
        admission.MAX_USEFUL_FACTOR
    )
    return min(latest, job.deadline)


def can_be_useful(job: jobs.LeasedJob, drain: Drain, *, now: float) -> bool:
    """Returns whether a job that waits behind all others ends usefully.

    Args:
        job: A job whose tasks count as waiting work.
        drain: How fast waiting work drains.
        now: The current time.
    """
    if drain.sustained_ms_per_s > drain.capacity_ms_per_s:
        return False
    return now + drain.wait_s() + job.base_ms / 1_000 <= useful_until(job)
