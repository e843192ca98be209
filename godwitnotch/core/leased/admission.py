"""Admission control: refuses jobs early when the load is too high.

A job that is expected to miss its target response time is refused before a
quarter of that time has passed. A job that was admitted is served even if it
ends late.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased import waiting

# When a job is checked for the second and last time, as a share of its target
# response time.
RECHECK_SHARE = 0.2
# A job is admitted if it is expected to take at most this multiple of its
# target response time.
MAX_RESPONSE_FACTOR = 1.0
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class Load:
    """The work at all upstreams and in the queue.

    Attributes:
        slots: How many tasks of average size run at once; slow upstreams count
            less.
        waiting_ms: Expected run time of all waiting tasks.
        remaining_ms: Expected remaining time of all runs.
    """

    slots: float
    waiting_ms: float
    remaining_ms: float

    @property
    def backlog_s(self) -> float:
        """Expected time until all of this work has ended."""
        if self.slots <= 0:
            return MAX_RETRY_AFTER_S
        return (self.waiting_ms + self.remaining_ms) / self.slots / 1_000


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a job is admitted to the queue.

    Attributes:
        admitted: Whether the job is admitted.
        wait_s: Expected wait until its last task starts.
        retry_after_s: When a refused caller should retry.
    """

    admitted: bool
    wait_s: float
    retry_after_s: float = 0.0


def count_slots(
    leases: Iterable[lease_module.Lease],
    times: run_times.RunTimes,
    *,
    cpu_millis: float,
) -> float:
    """Returns how many tasks of one size run at once.

    An upstream counts less, the slower it is than average.

    Args:
        leases: The leases to count.
        times: Knows how slow upstreams are.
        cpu_millis: CPU need of one task, in thousandths of a core.
    """
    total = 0.0
    for lease in leases:
        if lease.accepts_work() or lease.runs:
            count = lease.upstream.capacity.cpu_millis // max(1, cpu_millis)
            count = min(count, lease.upstream.slots)
            total += count / times.slowness(lease.upstream)
    return total


def decide(
    job: jobs.LeasedJob, ahead_ms: float, load: Load, *, now: float
) -> AdmissionDecision:
    """Returns whether a job may wait behind the work ahead of it.

    Args:
        job: The job.
        ahead_ms: Expected run time of the waiting tasks ahead of it.
        load: The work at all upstreams and in the queue.
        now: The present time.
    """
    if load.slots <= 0:
        return AdmissionDecision(False, 0.0, MAX_RETRY_AFTER_S)
    # The job's tasks run in parallel; the last one starts once all others have
    # a slot.
    own_ms = max(0.0, waiting.work_left_ms(job) - load.slots * job.base_ms)
    wait_s = (ahead_ms + own_ms) / load.slots / 1_000
    end = now + wait_s + job.base_ms / 1_000
    latest = job.arrived_at + job.target_response_s * MAX_RESPONSE_FACTOR
    latest = min(latest, job.deadline)
    if not ahead_ms or end <= latest:
        return AdmissionDecision(True, wait_s)
    return AdmissionDecision(False, wait_s, retry_after_s(load))


def retry_after_s(load: Load) -> float:
    """Returns when a refused caller should retry."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, load.backlog_s))
