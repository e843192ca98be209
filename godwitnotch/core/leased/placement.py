"""Chooses upstreams for tasks; upstreams differ in size and speed.

A task goes to the upstream on which it is expected to end first. Among nearly
equal upstreams the upstream with the smallest share of free CPU is preferred,
so that large tasks still fit on the others. If the job would end too late
there, the task waits for a faster upstream, provided that a faster upstream is
expected to be free in time.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from godwitnotch.core.leased import health as health_module
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import run_times

# An upstream with a recent failure is rated as slower by this factor.
RECENT_FAILURE_FACTOR = 3.0
# An entirely free upstream costs this share more than a full one, so that free
# CPU decides between upstreams of nearly equal run time.
FREE_CPU_COST_SHARE = 0.1


class Placement:
    """Chooses upstreams for tasks.

    Args:
        times: Tells how slow upstreams are.
        health: Tells which upstreams are ejected.
    """

    def __init__(
        self, times: run_times.RunTimes, health: health_module.UpstreamHealth
    ) -> None:
        self._times = times
        self._health = health

    def choose_idle(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        leases: Iterable[lease_module.Lease],
        *,
        now: float,
    ) -> lease_module.Lease | None:
        """Returns the best upstream without runs, None if the task waits."""
        idle = [lease for lease in leases if not lease.runs]
        return self._find_cheapest(job, task, idle, now=now)

    def choose(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        leases: Sequence[lease_module.Lease],
        *,
        now: float,
    ) -> lease_module.Lease | None:
        """Returns the lease of the upstream for a task, None if the task waits.

        Args:
            job: The job of the task.
            task: The task.
            leases: The leases that accept runs, the fastest upstream first.
            now: The current time.
        """
        best = self._find_cheapest(job, task, leases, now=now)
        if best is None or self._ends_in_time(job, best, start=now):
            return best
        wait_for_faster = self._faster_available_in_time(
            job, task, leases, best, now=now
        )
        return None if wait_for_faster else best

    def _ends_in_time(
        self, job: jobs.LeasedJob, lease: lease_module.Lease, *, start: float
    ) -> bool:
        end = start + self.expected_ms(job, lease) / 1_000
        return end <= job.target_end_at

    def _faster_available_in_time(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        leases: Iterable[lease_module.Lease],
        best: lease_module.Lease,
        *,
        now: float,
    ) -> bool:
        """Returns whether a faster upstream is expected to be free in time."""
        needs = job.request.tasks.needs
        best_slowness = self._times.slowness(best.upstream)
        for lease in leases:
            # The leases are sorted by slowness: no further upstream is faster.
            if self._times.slowness(lease.upstream) >= best_slowness:
                return False
            if not self._ends_in_time(job, lease, start=now):
                return False
            if not self._is_eligible(
                job, task, lease, now=now, ignore_free_resources=True
            ):
                continue
            free_at = lease.available_at(needs, now=now)
            if self._ends_in_time(job, lease, start=free_at):
                return True
        return False

    def _find_cheapest(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        leases: Iterable[lease_module.Lease],
        *,
        now: float,
    ) -> lease_module.Lease | None:
        best = None
        best_cost = 0.0
        cpu_millis = job.request.tasks.needs.cpu_millis
        for lease in leases:
            # Checked first, since most upstreams are full at high load.
            if cpu_millis > lease.free_resources.cpu_millis:
                continue
            min_cost = job.base_ms * self._times.slowness(lease.upstream)
            # The leases are sorted by slowness: no further upstream costs less.
            if best is not None and min_cost >= best_cost:
                return best
            if not self._is_eligible(job, task, lease, now=now):
                continue
            cost = self._cost(job, task, lease)
            if best is None or cost < best_cost:
                best, best_cost = lease, cost
        return best

    def fastest_first(
        self, leases: Iterable[lease_module.Lease]
    ) -> list[lease_module.Lease]:
        """Returns the leases that accept runs, the fastest upstream first."""
        return sorted(
            (lease for lease in leases if lease.accepts_runs()),
            key=lambda lease: self._times.slowness(lease.upstream),
        )

    def expected_ms(
        self, job: jobs.LeasedJob, lease: lease_module.Lease
    ) -> float:
        """Returns the expected run time of a job's task on an upstream."""
        return job.base_ms * self._times.run_factor(job.request, lease.upstream)

    def _is_eligible(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        lease: lease_module.Lease,
        *,
        now: float,
        ignore_free_resources: bool = False,
    ) -> bool:
        group = job.request.tasks
        upstream = lease.upstream
        if (
            not lease.accepts_runs()
            or upstream.service != job.request.settings.service
        ):
            return False
        if not ignore_free_resources and not group.needs.fits_in(
            lease.free_resources
        ):
            return False
        if not self._health.usable(upstream.upstream, now=now):
            return False
        if self._health.half_open(upstream.upstream) and (
            lease.runs or task.failures
        ):
            return False
        if group.required_label and group.required_label not in upstream.labels:
            return False
        if upstream.upstream in task.excluded_upstreams:
            return False
        return _below_max_per_upstream(job, lease)

    def _cost(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        lease: lease_module.Lease,
    ) -> float:
        """Returns the expected run time, raised for failures and free CPU."""
        cost = self.expected_ms(job, lease)
        if self._health.has_recent_failure(lease.upstream.upstream):
            cost *= RECENT_FAILURE_FACTOR
        left = lease.free_resources.minus(job.request.tasks.needs).cpu_millis
        share = left / max(1, lease.upstream.capacity.cpu_millis)
        return cost * (1 + FREE_CPU_COST_SHARE * share)


def _below_max_per_upstream(
    job: jobs.LeasedJob, lease: lease_module.Lease
) -> bool:
    max_count = job.request.tasks.max_per_upstream
    if not max_count:
        return True
    return sum(run.job is job for run in lease.runs.values()) < max_count
