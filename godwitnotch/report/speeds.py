"""Learns from the logs how fast upstreams are and how long routes' tasks run."""

import math
import statistics

import msgspec

from godwitnotch.core import ids

RECENT_WEIGHT = 0.05  # Weight of a new run in the averages.
MIN_RUN_MS = 1.0
MEDIAN_INTERVAL_RUNS = 50


class _Average(msgspec.Struct):
    """A moving average of logarithms."""

    count: int = 0
    value: float = 0.0

    def add(self, value: float) -> None:
        """Adds a value."""
        self.count += 1
        weight = max(RECENT_WEIGHT, 1 / self.count)
        self.value += weight * (value - self.value)


class Speeds:
    """Moving averages of run times, relative to the callers' estimates."""

    def __init__(self) -> None:
        self._upstreams: dict[ids.UpstreamId, _Average] = {}
        self._routes: dict[str, _Average] = {}
        self._median = 0.0  # Of the upstreams' averages.
        self._run_count = 0

    def run_ended(
        self,
        upstream: ids.UpstreamId,
        route: str,
        *,
        estimate_ms: float,
        ran_ms: float,
    ) -> None:
        """Learns from a run that has succeeded."""
        bias = math.log(max(MIN_RUN_MS, ran_ms) / max(MIN_RUN_MS, estimate_ms))
        expected = self._routes.setdefault(route, _Average()).value
        self._upstreams.setdefault(upstream, _Average()).add(bias - expected)
        self._run_count += 1
        if self._run_count % MEDIAN_INTERVAL_RUNS == 1:
            self._median = statistics.median(
                average.value for average in self._upstreams.values()
            )
        self._routes[route].add(bias - self._log_slowness(upstream))

    def slowness(self, upstream: ids.UpstreamId) -> float:
        """Returns how much longer runs take there than on the median upstream."""
        return math.exp(self._log_slowness(upstream))

    def work_ms(self, route: str, *, estimate_ms: float) -> float:
        """Returns the expected run time on an upstream of average speed."""
        average = self._routes.get(route)
        return estimate_ms * math.exp(average.value if average else 0.0)

    def _log_slowness(self, upstream: ids.UpstreamId) -> float:
        average = self._upstreams.get(upstream)
        if average is None:
            return 0.0
        return average.value - self._median
