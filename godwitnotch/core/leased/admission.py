"""Which jobs are refused at once: the load is more than can end in time.

A job is refused as soon as it is expected to end too late for its caller,
before a quarter of its aimed response time has passed. One that was let wait
longer is served, also late.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased import waiting

# A job's second and last look, as a share of its aimed response time.
RECHECK_SHARE = 0.2
# How far beyond its aim a job may be expected to end and still be let in.
MAX_RESPONSE_FACTOR = 1.0
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class Load:
    """The work at hand.

    Attributes:
        slots: Tasks of the usual size that run at once, at average speed.
        waiting_ms: Expected run time of all tasks that wait.
        running_ms: Expected rest of all runs.
    """

    slots: float
    waiting_ms: float
    running_ms: float

    @property
    def drain_s(self) -> float:
        """Expected time until all work at hand has ended."""
        if self.slots <= 0:
            return MAX_RETRY_AFTER_S
        return (self.waiting_ms + self.running_ms) / self.slots / 1_000


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a job may wait, and what decided it.

    Attributes:
        admitted: Whether it may.
        wait_s: Expected wait for the start of its last task.
        retry_after_s: When to come back otherwise.
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
    """Returns how many tasks of a size run at once, at average speed."""
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
        ahead_ms: Expected run time of waiting tasks that go before it.
        load: The work at hand.
        now: The present time.
    """
    if load.slots <= 0:
        return AdmissionDecision(False, 0.0, MAX_RETRY_AFTER_S)
    # Tasks of the job run beside each other; the last one starts when all
    # others have found room.
    own_ms = max(0.0, waiting.work_left_ms(job) - load.slots * job.base_ms)
    wait_s = (ahead_ms + own_ms) / load.slots / 1_000
    end = now + wait_s + job.base_ms / 1_000
    latest = job.arrived_at + job.target_response_s * MAX_RESPONSE_FACTOR
    latest = min(latest, job.deadline)
    if not ahead_ms or end <= latest:
        return AdmissionDecision(True, wait_s)
    return AdmissionDecision(False, wait_s, retry_after_s(load))


def retry_after_s(load: Load) -> float:
    """Returns when a refused caller finds room, as far as is known."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, load.drain_s))
