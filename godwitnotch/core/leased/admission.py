"""Admission control: refuses jobs early when the load is too high.

A job that is expected to miss its target response time is refused before a
quarter of that time has passed. A job that was not refused by then is served
even if it ends late, unless it can't end before its caller stops waiting.
"""

from collections.abc import Iterable

import msgspec

from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased import waiting

# When a job is checked for the second and last time, as a share of its target
# response time.
RECHECK_SHARE = 0.2
# A job is admitted if its expected response time is at most this multiple of
# its target response time.
MAX_RESPONSE_FACTOR = 1.0
# A job can't end by its deadline if even this share of its expected run time, at
# the fastest upstream, is longer than the time left; estimates are rough.
MIN_RUN_TIME_SHARE = 0.5
# Callers have no use for an answer after this multiple of the target response
# time, by the users' rules.
MAX_USEFUL_FACTOR = 3.0
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0


class Load(msgspec.Struct, frozen=True):
    """The work at all upstreams and in the queue.

    Attributes:
        slots: How many tasks of average size can run at once, where the slots
            of each upstream are divided by its slowness.
        waiting_ms: Expected run time of all waiting tasks.
        remaining_ms: Expected remaining time of all runs.
        used_slots: How many slots have a run, counted like them.
    """

    slots: float
    waiting_ms: float
    remaining_ms: float
    used_slots: float = 0.0

    @property
    def free_slots(self) -> float:
        """How many more tasks of average size can run now."""
        return max(0.0, self.slots - self.used_slots)

    @property
    def capacity_ms_per_s(self) -> float:
        """Work that the upstreams do in a second, in ms of run time.

        Tasks that run beside each other show how many fit, also if that is
        more than the mean size of a task lets expect.
        """
        return 1_000 * max(self.slots, self.used_slots)

    @property
    def backlog_s(self) -> float:
        """Expected time until all waiting and running tasks end, in seconds."""
        if self.slots <= 0:
            return MAX_RETRY_AFTER_S
        return (self.waiting_ms + self.remaining_ms) / self.slots / 1_000


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Whether a job is admitted to the queue.

    Attributes:
        admitted: Whether the job is admitted.
        in_time: Whether it is expected to meet its target response time.
        wait_s: Expected time until its last task starts, in seconds.
        retry_after_s: When the caller of a refused job should retry.
    """

    admitted: bool
    wait_s: float
    retry_after_s: float = 0.0
    in_time: bool = True


def count_slots(
    leases: Iterable[lease_module.Lease],
    times: run_times.RunTimes,
    *,
    cpu_millis: float,
    now: float,
) -> float:
    """Returns how many tasks of one size can run at once, now or soon.

    The slots of an upstream are divided by its slowness.

    Args:
        leases: The leases to count.
        times: Tells how slow upstreams are.
        cpu_millis: CPU cores that one task needs, in thousandths.
        now: The current time.
    """
    total = 0.0
    for lease in leases:
        if lease.counts_as_room(now=now):
            count = lease.upstream.capacity.cpu_millis // max(1, cpu_millis)
            count = min(count, lease.upstream.slots)
            total += count / times.slowness(lease.upstream)
    return total


def count_used_slots(
    leases: Iterable[lease_module.Lease], times: run_times.RunTimes
) -> float:
    """Returns the number of runs, each divided by its upstream's slowness."""
    return sum(
        len(lease.runs) / times.slowness(lease.upstream) for lease in leases
    )


def decide(
    job: jobs.LeasedJob,
    ahead_ms: float,
    load: Load,
    *,
    slack_share: float = 1.0,
    now: float,
) -> AdmissionDecision:
    """Returns whether a job may wait behind the work ahead of it.

    Without any work ahead the job is admitted, if there are slots.

    Args:
        job: The job.
        ahead_ms: Expected run time of the waiting tasks ahead of it.
        load: The work at all upstreams and in the queue.
        slack_share: Share of the job's slack that it may wait.
        now: The current time.
    """
    if load.slots <= 0:
        return AdmissionDecision(False, 0.0, MAX_RETRY_AFTER_S, False)
    # The last `slots` tasks run side by side, so only the tasks before them
    # delay the start of the last task.
    own_ms = max(0.0, waiting.work_left_ms(job) - load.slots * job.base_ms)
    wait_s = (ahead_ms + own_ms) / load.slots / 1_000
    end = now + wait_s + job.base_ms / 1_000
    latest = job.arrived_at + job.target_response_s * MAX_RESPONSE_FACTOR
    latest = min(latest, job.deadline)
    in_time = not ahead_ms or end <= latest
    slack_s = max(0.0, latest - now - job.base_ms / 1_000)
    latest -= slack_s * (1 - slack_share)
    if not ahead_ms or end <= latest:
        return AdmissionDecision(True, wait_s)
    return AdmissionDecision(False, wait_s, retry_after_s(load), in_time)


def can_end_by_deadline(
    job: jobs.LeasedJob, *, least_slowness: float, now: float
) -> bool:
    """Returns whether the waiting tasks of a job may end by its deadline.

    Args:
        job: A job with waiting tasks.
        least_slowness: Slowness of the fastest upstream.
        now: The current time.
    """
    run_s = job.base_ms * least_slowness * MIN_RUN_TIME_SHARE / 1_000
    return now + run_s <= job.deadline


def can_end_usefully(job: jobs.LeasedJob, *, now: float) -> bool:
    """Returns whether a job is still of use if its waiting tasks start now."""
    latest = job.arrived_at + job.target_response_s * MAX_USEFUL_FACTOR
    return now + job.base_ms / 1_000 <= latest


def retry_after_s(load: Load) -> float:
    """Returns when the caller of a refused job should retry."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, load.backlog_s))
