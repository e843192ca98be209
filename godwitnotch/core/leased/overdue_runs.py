"""Which runs are tried elsewhere: the load is upstreams that hang or slow down.

A run that takes far longer than expected shows a slow upstream, unless other
tasks of its job take as long elsewhere: then the job was estimated too short.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import placement as placement_module
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased.lease import RunState

# A run that takes so many times as long as expected is tried elsewhere.
OVERDUE_FACTOR = 2.5
OVERDUE_MARGIN_S = 0.1
ALIKE_SHARE = 0.7  # Tasks of one job run for about as long as each other.


@dataclass(frozen=True, slots=True)
class OverdueRun:
    """A run that is to be stopped, so that its task can run elsewhere."""

    lease: lease_module.Lease
    run: lease_module.Run
    job: jobs.LeasedJob
    running_s: float
    expected_s: float


class OverdueRuns:
    """Finds runs that take too long.

    Args:
        times: Learns which upstreams are slow.
        placement: Tells whether another upstream has room.
    """

    def __init__(
        self, times: run_times.RunTimes, placement: placement_module.Placement
    ) -> None:
        self._times = times
        self._placement = placement

    def find(
        self,
        leases: Iterable[lease_module.Lease],
        open_leases: list[lease_module.Lease],
        *,
        now: float,
    ) -> list[OverdueRun]:
        """Returns the runs to stop.

        Args:
            leases: All upstreams.
            open_leases: Those that take work, the fastest first.
            now: The present time.
        """
        all_leases = tuple(leases)
        found = []
        for lease in all_leases:
            for run in lease.runs.values():
                overdue = self._overdue(lease, run, all_leases, now=now)
                if overdue is not None and self._has_room(
                    overdue, open_leases, now=now
                ):
                    found.append(overdue)
        return found

    def _overdue(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        leases: Iterable[lease_module.Lease],
        *,
        now: float,
    ) -> OverdueRun | None:
        job = run.job
        if job is None or run.state is not RunState.RUNNING:
            return None
        running_s = now - run.ordered_at
        expected_s = run.expected_s
        if job.measured:
            expected_s = self._placement.expected_ms(job, lease) / 1_000
        late_s = max(expected_s * OVERDUE_FACTOR, expected_s + OVERDUE_MARGIN_S)
        task = job.tasks[run.key.task.index]
        late_s = max(late_s, task.overdue_s * OVERDUE_FACTOR)
        if running_s < late_s:
            return None
        if not job.measured and _like_others(
            lease, run, leases, running_s, now=now
        ):
            return None
        self._times.overdue(
            job.request, lease.upstream, running_ms=running_s * 1_000
        )
        return OverdueRun(lease, run, job, running_s, expected_s)

    def _has_room(
        self,
        overdue: OverdueRun,
        open_leases: list[lease_module.Lease],
        *,
        now: float,
    ) -> bool:
        task = overdue.job.tasks[overdue.run.key.task.index]
        task.avoid.add(overdue.lease.upstream.upstream)
        other = self._placement.choose(overdue.job, task, open_leases, now=now)
        return other is not None


def _like_others(
    lease: lease_module.Lease,
    run: lease_module.Run,
    leases: Iterable[lease_module.Lease],
    running_s: float,
    *,
    now: float,
) -> bool:
    """Returns whether tasks of the same job go on for as long elsewhere."""
    return any(
        other.job is run.job
        and now - other.ordered_at >= running_s * ALIKE_SHARE
        for elsewhere in leases
        if elsewhere is not lease
        for other in elsewhere.runs.values()
    )
