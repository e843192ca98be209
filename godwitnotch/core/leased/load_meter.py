"""Measures the load of one leader: its queue and the upstreams it holds."""

import copy

from godwitnotch.core.leased import admission
from godwitnotch.core.leased import arrival_rates
from godwitnotch.core.leased import evacuation
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease_manager as lease_manager_module
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased import waiting

# A measurement needs a scan of all upstreams.
CACHE_S = 0.02
CPU_AVERAGE_WEIGHT = 0.05  # Weight of a new job in the moving average.


class LoadMeter:
    """Measures the load, at most once in CACHE_S.

    Args:
        queue: The jobs that wait.
        leases: The leases on the upstreams.
        times: Tells how slow upstreams are.
        evacuations: The failure domains whose upstreams don't count.
    """

    def __init__(
        self,
        queue: waiting.WaitingQueue,
        leases: lease_manager_module.LeaseManager,
        times: run_times.RunTimes,
        evacuations: evacuation.Evacuations,
    ) -> None:
        self._queue = queue
        self._lease_manager = leases
        self._times = times
        self._evacuations = evacuations
        self._average_cpu_millis = 0.0
        self._cached = admission.Load(0.0, 0.0, 0.0)
        self._measured_at = float("-inf")
        self._rates = arrival_rates.ArrivalRates()
        self._counts_from = float("-inf")

    @property
    def rates(self) -> arrival_rates.ArrivalRates:
        """The rate of arriving work."""
        return self._rates

    def copy(self, queue: waiting.WaitingQueue) -> "LoadMeter":
        """Returns a meter with the same averages, for a copy of the queue."""
        twin = copy.copy(self)
        twin._queue = queue
        twin._rates = self._rates.copy()
        return twin

    def reset(self, *, now: float = float("-inf")) -> None:
        """Forgets the last measurement, and all arrivals before now."""
        self._measured_at = float("-inf")
        self._rates.reset()
        self._counts_from = now

    def job_added(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Includes a job in the average size of a task and in the rates.

        Jobs that arrived before this host led come all at once, which tells
        nothing about the rate of arrivals.
        """
        if job.arrived_at >= self._counts_from:
            self._rates.add(
                job.request.settings.route, waiting.work_left_ms(job), now=now
            )
        new = job.request.tasks.needs.cpu_millis
        average = self._average_cpu_millis or new
        self._average_cpu_millis = average + CPU_AVERAGE_WEIGHT * (
            new - average
        )

    def load(self, *, now: float) -> admission.Load:
        """Returns the load."""
        if now >= self._measured_at + CACHE_S:
            self._measured_at = now
            self._cached = self._measure(now=now)
        return self._cached

    def _measure(self, *, now: float) -> admission.Load:
        leases = self._evacuations.open_leases(
            self._lease_manager.leases.values(), now=now
        )
        remaining_s = sum(
            max(0.0, run.expected_s - (now - run.ordered_at))
            for lease in leases
            for run in lease.runs.values()
        )
        return admission.Load(
            slots=admission.count_slots(
                leases,
                self._times,
                cpu_millis=self._average_cpu_millis,
                now=now,
            ),
            waiting_ms=self._queue.total_ms(now=now),
            remaining_ms=remaining_s * 1_000,
            used_slots=admission.count_used_slots(leases, self._times),
        )
