"""Chooses upstreams for tasks; upstreams differ in size and speed.

A task goes to the upstream on which it is expected to end first. Among nearly
equal upstreams the upstream with the smallest share of free CPU is preferred,
so that large tasks still fit on the others. If the job would end too late
there, should the run be a long one (`run_spread`), the task waits for a faster
upstream, provided that one is expected to be free in time. A task that names a
rack also waits for a place there, as `locality` decides.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import cold_upstreams
from godwitnotch.core.leased import health as health_module
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import run_spread
from godwitnotch.core.leased import run_times

# An upstream with a recent failure is rated as slower by this factor.
RECENT_FAILURE_FACTOR = 3.0
# A cold upstream is rated as slower by this factor: more than the slowest
# upstreams take compared with the fastest (1.6 to 0.6 on the users' platform).
COLD_FACTOR = 3.0
# An entirely free upstream costs this share more than a full one, so that free
# CPU decides between upstreams of nearly equal run time.
FREE_CPU_COST_SHARE = 0.1
# A task that waits for a faster upstream is decided on anew this often, or as soon
# as a faster one has room. Each event starts a pass over the queue, some thousand
# in a second at high load.
FASTER_CHECK_INTERVAL_S = 0.01


class Placed(msgspec.Struct, frozen=True):
    """The task goes to an upstream now."""

    lease: lease_module.Lease


class NoRoom(msgspec.Struct, frozen=True):
    """No upstream that can run the task has a free place."""


class WaitsForRack(msgspec.Struct, frozen=True):
    """The task waits for a place in the rack of its data."""

    wait: locality.RackWait


class WaitsForFaster(msgspec.Struct, frozen=True):
    """The task may end late now, and in time at a place to come.

    Attributes:
        place: The place to come.
        instead_of: The lease of the best upstream with a free place.
    """

    place: locality.Place
    instead_of: lease_module.Lease


Verdict = Placed | NoRoom | WaitsForRack | WaitsForFaster


class Placement:
    """Chooses upstreams for tasks.

    Args:
        times: Tells how slow upstreams are.
        health: Tells which upstreams are ejected.
        cold: Tells which upstreams are still slow after their start; None
            for none.
        spread: Tells how far runs go past their expected time; None if nothing
            was learnt.
        out: Collects the decisions for the log; None for none.
    """

    def __init__(
        self,
        times: run_times.RunTimes,
        health: health_module.UpstreamHealth,
        *,
        cold: cold_upstreams.ColdUpstreams | None = None,
        spread: run_spread.RunSpread | None = None,
        out: outbox_module.Outbox | None = None,
    ) -> None:
        self._times = times
        self._health = health
        self._cold = cold or cold_upstreams.ColdUpstreams()
        self._spread = spread or run_spread.RunSpread()
        # The leases by rack, of the list that they were last looked up in.
        self._indexed_leases: Sequence[lease_module.Lease] = ()
        self._leases_by_rack: dict[str, list[lease_module.Lease]] = {}
        self._waits = locality.RackWaits(out or outbox_module.Outbox())

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

        Records the wait for a rack, and its end, and when the job is next looked
        at if it waits for a faster upstream.

        Args:
            job: The job of the task.
            task: The task.
            leases: The leases that accept runs, the fastest upstream first.
            now: The current time.
        """
        match self.decide(job, task, leases, now=now):
            case Placed(lease=lease):
                if task.rack_wait is not None:
                    end_at = now + self.expected_ms(job, lease) / 1_000
                    self._waits.end(task.key, task.rack_wait, end_at, now=now)
                return lease
            case WaitsForRack(wait=wait):
                if wait is not task.rack_wait:
                    self._waits.begin(task.key, wait, now=now)
                    task.rack_wait = wait
                    job.rack_wait_since = wait.since
            case WaitsForFaster(instead_of=lease):
                job.faster_wait = jobs.FasterWait(
                    self._times.slowness(lease.upstream),
                    until=now + FASTER_CHECK_INTERVAL_S,
                )
        return None

    def still_waits_for_faster(
        self,
        job: jobs.LeasedJob,
        leases: Sequence[lease_module.Lease],
        *,
        now: float,
    ) -> bool:
        """Returns whether a job's wait for a faster upstream surely goes on.

        Checked first, since each pass over the queue meets the waiting tasks.

        Args:
            job: The job.
            leases: The leases that accept runs, the fastest upstream first.
            now: The current time.
        """
        wait = job.faster_wait
        if wait is None or now >= wait.until:
            return False
        cpu_millis = job.request.tasks.needs.cpu_millis
        for lease in leases:
            if cpu_millis <= lease.free_resources.cpu_millis:
                return self._times.slowness(lease.upstream) >= wait.slowness
        return True

    def decide(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        leases: Sequence[lease_module.Lease],
        *,
        now: float,
    ) -> Verdict:
        """Decides where a task goes now, or why it waits; changes nothing.

        Args:
            job: The job of the task.
            task: The task.
            leases: The leases that accept runs, the fastest upstream first.
            now: The current time.
        """
        wait = task.rack_wait
        if (
            wait is not None
            and now < wait.until
            and self._rack_is_full(job, wait, leases, now=now)
        ):
            return WaitsForRack(wait)
        best = self._find_cheapest(job, task, leases, now=now)
        if best is None:
            return NoRoom()
        wait = self._rack_wait(job, task, leases, best, now=now)
        if wait is not None:
            return WaitsForRack(wait)
        factor = self._spread.long_run_factor(job.request.settings.route)
        away_end_at = now + factor * self.expected_ms(job, best) / 1_000
        if away_end_at <= job.target_end_at:
            return Placed(best)
        for place in self._sooner_places(job, task, leases, best, now=now):
            if place.free_at + factor * place.expected_s <= job.target_end_at:
                return WaitsForFaster(place, instead_of=best)
        return Placed(best)

    def count_suitable(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        leases: Iterable[lease_module.Lease],
        *,
        now: float,
    ) -> int:
        """Returns how many upstreams can run a task once they have room."""
        return sum(
            job.request.tasks.needs.fits_in(lease.upstream.capacity)
            and self._is_eligible(
                job, task, lease, now=now, ignore_free_resources=True
            )
            for lease in leases
        )

    def _rack_is_full(
        self,
        job: jobs.LeasedJob,
        wait: locality.RackWait,
        leases: Sequence[lease_module.Lease],
        *,
        now: float,
    ) -> bool:
        """Returns whether a wait goes on, as the rack has no free place.

        Checked first, since each pass over the queue meets the waiting tasks.
        """
        group = job.request.tasks
        awaited = None
        for lease in self._in_rack(group.preferred_rack, leases):
            if group.needs.cpu_millis <= lease.free_resources.cpu_millis:
                return False
            if lease.upstream.upstream == wait.upstream:
                awaited = lease
        return (
            awaited is not None
            and awaited.accepts_runs()
            and self._health.usable(wait.upstream, now=now)
        )

    def _in_rack(
        self, rack: str, leases: Sequence[lease_module.Lease]
    ) -> list[lease_module.Lease]:
        """Returns those of the leases that are in a rack, in their order."""
        if leases is not self._indexed_leases:
            self._indexed_leases = leases
            self._leases_by_rack = {}
        found = self._leases_by_rack.get(rack)
        if found is None:
            found = [lease for lease in leases if rack in lease.upstream.labels]
            self._leases_by_rack[rack] = found
        return found

    def _rack_wait(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        leases: Sequence[lease_module.Lease],
        best: lease_module.Lease,
        *,
        now: float,
    ) -> locality.RackWait | None:
        """Returns the wait of a task for its rack; None if it doesn't wait."""
        rack = job.request.tasks.preferred_rack
        if not rack or rack in best.upstream.labels:
            return None
        wait = task.rack_wait
        if wait is not None:
            if now >= wait.until:
                return None
            lease = self._find_lease(wait.upstream, self._in_rack(rack, leases))
            if lease is not None and self._is_eligible(
                job, task, lease, now=now, ignore_free_resources=True
            ):
                return wait
        in_rack = self._in_rack(rack, leases)
        places = self._sooner_places(job, task, in_rack, best, now=now)
        away_s = self.expected_ms(job, best) / 1_000
        since = now if job.rack_wait_since is None else job.rack_wait_since
        return locality.decide(places, wait, away_s=away_s, since=since)

    def _find_lease(
        self, upstream: ids.UpstreamId, leases: Iterable[lease_module.Lease]
    ) -> lease_module.Lease | None:
        for lease in leases:
            if lease.upstream.upstream == upstream:
                return lease
        return None

    def _sooner_places(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        leases: Iterable[lease_module.Lease],
        best: lease_module.Lease,
        *,
        now: float,
    ) -> Iterator[locality.Place]:
        """Yields the places to come where a task runs shorter than at `best`.

        Args:
            job: The job of the task.
            task: The task.
            leases: The leases to look at, the fastest upstream first.
            best: The best lease with a free place.
            now: The current time.
        """
        needs = job.request.tasks.needs
        best_ms = self.expected_ms(job, best)
        for lease in leases:
            # The leases are sorted by slowness: no further upstream is faster.
            if job.base_ms * self._times.slowness(lease.upstream) >= best_ms:
                return
            expected_ms = self.expected_ms(job, lease)
            # One with a free place was compared with `best` already.
            if expected_ms >= best_ms or needs.fits_in(lease.free_resources):
                continue
            if not self._is_eligible(
                job, task, lease, now=now, ignore_free_resources=True
            ):
                continue
            upstream = lease.upstream.upstream
            taken = self._waits.count(upstream, now=now)
            free_at = lease.available_at(needs, now=now, places_taken=taken)
            yield locality.Place(upstream, free_at, expected_ms / 1_000)

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
        base_ms = job.base_ms
        slowness_of = self._times.slowness
        for lease in leases:
            # Checked first, since most upstreams are full at high load.
            if cpu_millis > lease.free_resources.cpu_millis:
                continue
            min_cost = base_ms * slowness_of(lease.upstream)
            # The leases are sorted by slowness: no further upstream costs less.
            if best is not None and min_cost >= best_cost:
                return best
            if not self._is_eligible(job, task, lease, now=now):
                continue
            cost = self._cost(job, lease, min_cost, now=now)
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
        probe = not lease.runs and not task.failures
        if not self._health.admits(upstream.upstream, probe=probe, now=now):
            return False
        if group.required_label and group.required_label not in upstream.labels:
            return False
        if (
            task.excluded_instances
            and lease.instance in task.excluded_instances
        ):
            return False
        return _below_max_per_upstream(job, lease)

    def _cost(
        self,
        job: jobs.LeasedJob,
        lease: lease_module.Lease,
        in_rack_ms: float,
        *,
        now: float,
    ) -> float:
        """Returns the expected run time, raised for failures and free CPU.

        Args:
            job: The job.
            lease: The lease of an upstream with a free place.
            in_rack_ms: Expected run time there if it is in the job's rack.
            now: The current time.
        """
        upstream = lease.upstream
        cost = in_rack_ms * self._times.rack_factor(job.request, upstream)
        if self._health.has_recent_failure(upstream.upstream):
            cost *= RECENT_FAILURE_FACTOR
        if self._cold.is_cold(upstream.upstream, now=now):
            cost *= COLD_FACTOR
        left = (
            lease.free_resources.cpu_millis - job.request.tasks.needs.cpu_millis
        )
        share = left / max(1, upstream.capacity.cpu_millis)
        return cost * (1 + FREE_CPU_COST_SHARE * share)


def _below_max_per_upstream(
    job: jobs.LeasedJob, lease: lease_module.Lease
) -> bool:
    max_count = job.request.tasks.max_per_upstream
    if not max_count:
        return True
    return sum(run.job is job for run in lease.runs.values()) < max_count
