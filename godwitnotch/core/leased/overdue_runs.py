"""Finds runs that hang or are slow, to retry their tasks on other upstreams.

A run that takes far longer than expected indicates a slow upstream, unless
other tasks of its job take as long on other upstreams. In that case the
estimate for the job was too low.
"""

from collections.abc import Iterable

import msgspec

from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import placement as placement_module
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased.lease import RunState

# A run is overdue after OVERDUE_FACTOR times its expected run time, and not
# before the expected run time plus OVERDUE_MARGIN_S.
OVERDUE_FACTOR = 2.5
OVERDUE_MARGIN_S = 0.1
# Tasks of one job take about equally long. Until a task of the job has
# succeeded, a run isn't overdue if a run of the same job at another upstream
# has lasted for at least this share of the run's time.
SIMILAR_RUN_TIME_SHARE = 0.7


class OverdueRun(msgspec.Struct, frozen=True):
    """A run to stop, so that its task can run on another upstream."""

    lease: lease_module.Lease
    run: lease_module.Run
    job: jobs.LeasedJob
    running_s: float
    expected_s: float


class OverdueRuns:
    """Finds runs that take too long.

    Args:
        times: Learns how slow upstreams are.
        placement: Predicts run times and finds other upstreams.
    """

    def __init__(
        self, times: run_times.RunTimes, placement: placement_module.Placement
    ) -> None:
        self._times = times
        self._placement = placement

    def find(
        self,
        leases: Iterable[lease_module.Lease],
        accepting_leases: list[lease_module.Lease],
        *,
        late_s: float = 0.0,
        now: float,
    ) -> list[OverdueRun]:
        """Returns the overdue runs whose tasks can run elsewhere now.

        Each overdue run raises the slowness of its upstream, and the upstream
        is excluded for the task.

        Args:
            leases: All leases.
            accepting_leases: Leases that accept runs, the fastest first.
            late_s: How late this host handles events. A run may have ended that
                long ago without its knowing.
            now: The current time.
        """
        known_until = now - late_s
        all_leases = tuple(leases)
        found = []
        for lease in all_leases:
            for run in lease.runs.values():
                overdue = self._check_run(
                    lease, run, all_leases, now=now, known_until=known_until
                )
                if overdue is not None and self._exclude_upstream(
                    overdue, accepting_leases, now=now
                ):
                    found.append(overdue)
        return found

    def _check_run(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        leases: Iterable[lease_module.Lease],
        *,
        now: float,
        known_until: float,
    ) -> OverdueRun | None:
        """Returns the run if it is overdue; raises its upstream's slowness."""
        job = run.job
        if job is None or run.state is not RunState.RUNNING:
            return None
        running_s = known_until - run.ordered_at
        expected_s = run.expected_s
        if job.base_ms_measured:
            expected_s = self._placement.expected_ms(job, lease) / 1_000
        limit_s = max(
            expected_s * OVERDUE_FACTOR, expected_s + OVERDUE_MARGIN_S
        )
        task = job.tasks[run.key.task.index]
        limit_s = max(limit_s, task.last_overdue_run_s * OVERDUE_FACTOR)
        if running_s < limit_s:
            return None
        if not job.base_ms_measured and _others_run_as_long(
            lease, run, leases, running_s, now=known_until
        ):
            return None
        self._times.run_overdue(
            job.request, lease.upstream, running_ms=running_s * 1_000, now=now
        )
        return OverdueRun(lease, run, job, running_s, expected_s)

    def _exclude_upstream(
        self,
        overdue: OverdueRun,
        accepting_leases: list[lease_module.Lease],
        *,
        now: float,
    ) -> bool:
        """Excludes the upstream for the task; returns if another is free."""
        task = overdue.job.tasks[overdue.run.key.task.index]
        task.excluded_instances.add(overdue.lease.instance)
        verdict = self._placement.decide(
            overdue.job, task, accepting_leases, now=now
        )
        return isinstance(verdict, placement_module.Placed)


def _others_run_as_long(
    lease: lease_module.Lease,
    run: lease_module.Run,
    leases: Iterable[lease_module.Lease],
    running_s: float,
    *,
    now: float,
) -> bool:
    """Returns whether tasks of the job run about as long on other upstreams."""
    return any(
        other.job is run.job
        and now - other.ordered_at >= running_s * SIMILAR_RUN_TIME_SHARE
        for other_lease in leases
        if other_lease is not lease
        for other in other_lease.runs.values()
    )
