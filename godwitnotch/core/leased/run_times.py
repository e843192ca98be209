"""Predicts the run times of tasks and learns how slow each upstream is.

All averages are moving averages of logarithms, over successful runs. An overdue
run or a value from another host replaces the slowness of an upstream. The
expected run time of a task is the geometric mean of two values: its caller's
estimate, corrected by the bias of earlier estimates, and its route's average.
"""

import math
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core.leased import model

# Weights of a new run in the moving averages.
ROUTE_AVERAGE_WEIGHT = 0.05
UPSTREAM_AVERAGE_WEIGHT = 0.25
KIND_AVERAGE_WEIGHT = 0.05
MIN_ROUTE_RUN_COUNT = 8  # With fewer runs only the caller's estimate counts.
DEFAULT_ESTIMATE_MS = 200.0
MIN_RUN_MS = 1.0
# Bounds the effect of a single overdue run or value from another host.
MAX_SLOWNESS = 20.0


@dataclass(slots=True)
class _Route:
    """Moving averages over the successful runs of a route.

    Attributes:
        runs: Number of runs.
        log_ms: Average logarithm of the run time in ms.
        log_bias: Average logarithm of run time divided by estimate.
    """

    runs: int = 0
    log_ms: float = 0.0
    log_bias: float = 0.0


class RunTimes:
    """Learns from ended runs and predicts the run times of new ones."""

    def __init__(self) -> None:
        self._routes: dict[model.RouteName, _Route] = {}
        self._log_slowness: dict[ids.UpstreamId, float] = {}
        self._kind_log_slowness: dict[str, float] = {}
        self._slowness: dict[ids.UpstreamId, float] = {}

    def base_ms(self, request: model.JobRequest) -> float:
        """Returns the expected run time on an upstream of average speed."""
        estimate_ms = request.tasks.estimate_ms or DEFAULT_ESTIMATE_MS
        route = self._routes.get(request.settings.route)
        if route is None or route.runs < MIN_ROUTE_RUN_COUNT:
            return max(MIN_RUN_MS, estimate_ms)
        corrected_log_ms = math.log(estimate_ms) + route.log_bias
        return max(MIN_RUN_MS, math.exp((corrected_log_ms + route.log_ms) / 2))

    def slowness(self, upstream: model.LeasedUpstream) -> float:
        """Returns the factor by which runs take longer there than on average.

        An upstream of which nothing was learnt has the average of its kind.
        """
        slowness = self._slowness.get(upstream.upstream)
        if slowness is not None:
            return slowness
        return math.exp(self._kind_log_slowness.get(_kind(upstream), 0.0))

    def known_upstreams(self) -> frozenset[ids.UpstreamId]:
        """Returns the upstreams whose slowness was learnt."""
        return frozenset(self._slowness)

    def learnt_slowness(self, upstream: ids.UpstreamId) -> float:
        """Returns the learnt slowness of an upstream, 1 if there is none."""
        return self._slowness.get(upstream, 1.0)

    def set_slowness(self, upstream: ids.UpstreamId, slowness: float) -> None:
        """Sets the slowness of an upstream to the value of another host."""
        bounded = min(max(slowness, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
        self._set_log_slowness(upstream, math.log(bounded))

    def retain_only(self, upstreams: frozenset[ids.UpstreamId]) -> None:
        """Forgets all upstreams but these."""
        for upstream in self._log_slowness.keys() - upstreams:
            del self._log_slowness[upstream]
            del self._slowness[upstream]

    def run_succeeded(
        self,
        request: model.JobRequest,
        upstream: model.LeasedUpstream,
        *,
        ran_ms: float,
    ) -> None:
        """Learns from a run that has succeeded."""
        log_ran = math.log(max(MIN_RUN_MS, ran_ms))
        log_base = math.log(self.base_ms(request))
        log_slowness = math.log(self.slowness(upstream))
        self._learn_upstream(upstream, log_ran - log_base)
        self._learn_route(request, log_ran - log_slowness)

    def run_overdue(
        self,
        request: model.JobRequest,
        upstream: model.LeasedUpstream,
        *,
        running_ms: float,
    ) -> None:
        """Raises the slowness of an upstream to that of an overdue run."""
        observed = math.log(max(1.0, running_ms / self.base_ms(request)))
        observed = min(observed, math.log(MAX_SLOWNESS))
        known = math.log(self.slowness(upstream))
        if observed > known:
            self._set_log_slowness(upstream.upstream, observed)

    def _learn_upstream(
        self, upstream: model.LeasedUpstream, log_slowness: float
    ) -> None:
        kind = _kind(upstream)
        known = self._kind_log_slowness.get(kind, 0.0)
        self._kind_log_slowness[kind] = known + KIND_AVERAGE_WEIGHT * (
            log_slowness - known
        )
        known = self._log_slowness.get(
            upstream.upstream, self._kind_log_slowness[kind]
        )
        learnt = known + UPSTREAM_AVERAGE_WEIGHT * (log_slowness - known)
        self._set_log_slowness(upstream.upstream, learnt)

    def _set_log_slowness(
        self, upstream: ids.UpstreamId, log_slowness: float
    ) -> None:
        self._log_slowness[upstream] = log_slowness
        self._slowness[upstream] = math.exp(log_slowness)

    def _learn_route(self, request: model.JobRequest, log_ms: float) -> None:
        route = self._routes.setdefault(request.settings.route, _Route())
        route.runs += 1
        weight = max(ROUTE_AVERAGE_WEIGHT, 1 / route.runs)
        route.log_ms += weight * (log_ms - route.log_ms)
        estimate_ms = request.tasks.estimate_ms or DEFAULT_ESTIMATE_MS
        log_bias = log_ms - math.log(estimate_ms)
        route.log_bias += weight * (log_bias - route.log_bias)


def _kind(upstream: model.LeasedUpstream) -> str:
    return upstream.labels[0] if upstream.labels else ""
