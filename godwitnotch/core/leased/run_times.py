"""How long a task will run, and how fast each upstream is.

All is learnt on a log scale from runs that ended well. A task's expected run
time is the geometric mean of what its caller estimates, corrected by the bias
of earlier estimates, and what its route's tasks took.
"""

import math
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core.leased import model

ROUTE_WEIGHT = 0.05  # Of a new run among those of its route.
SPEED_WEIGHT = 0.25  # Of a new run among those of its upstream.
KIND_WEIGHT = 0.05  # Of a new run among those of its kind of upstream.
MIN_ROUTE_RUNS = 8  # Before these the caller's estimate stands alone.
DEFAULT_ESTIMATE_MS = 200.0
MIN_RUN_MS = 1.0
# An upstream that answers late by an error of measurement isn't slow.
MAX_SLOWNESS = 20.0


@dataclass(slots=True)
class _Route:
    runs: int = 0
    log_ms: float = 0.0
    log_bias: float = 0.0


class RunTimes:
    """Learns from ended runs; predicts those to come."""

    def __init__(self) -> None:
        self._routes: dict[model.RouteName, _Route] = {}
        self._upstreams: dict[ids.UpstreamId, float] = {}
        self._kinds: dict[str, float] = {}
        self._factors: dict[ids.UpstreamId, float] = {}

    def base_ms(self, request: model.JobRequest) -> float:
        """Returns the expected run time on an upstream of average speed."""
        estimate_ms = request.tasks.estimate_ms or DEFAULT_ESTIMATE_MS
        route = self._routes.get(request.terms.route)
        if route is None or route.runs < MIN_ROUTE_RUNS:
            return max(MIN_RUN_MS, estimate_ms)
        told = math.log(estimate_ms) + route.log_bias
        return max(MIN_RUN_MS, math.exp((told + route.log_ms) / 2))

    def slowness(self, upstream: model.LeasedUpstream) -> float:
        """Returns the factor by which runs take longer there."""
        factor = self._factors.get(upstream.upstream)
        if factor is not None:
            return factor
        return math.exp(self._kinds.get(_kind(upstream), 0.0))

    def known(self) -> frozenset[ids.UpstreamId]:
        """Returns the upstreams whose speed was learnt."""
        return frozenset(self._factors)

    def slowness_of(self, upstream: ids.UpstreamId) -> float:
        """Returns the learnt factor of an upstream, 1 if there is none."""
        return self._factors.get(upstream, 1.0)

    def set_slowness(self, upstream: ids.UpstreamId, factor: float) -> None:
        """Takes what another host has learnt."""
        bounded = min(max(factor, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
        self._set(upstream, math.log(bounded))

    def keep_only(self, upstreams: frozenset[ids.UpstreamId]) -> None:
        """Forgets all other upstreams."""
        for upstream in self._upstreams.keys() - upstreams:
            del self._upstreams[upstream]
            del self._factors[upstream]

    def ended(
        self,
        request: model.JobRequest,
        upstream: model.LeasedUpstream,
        *,
        ran_ms: float,
    ) -> None:
        """Learns from a run that ended well."""
        log_ran = math.log(max(MIN_RUN_MS, ran_ms))
        log_base = math.log(self.base_ms(request))
        log_slowness = math.log(self.slowness(upstream))
        self._learn_upstream(upstream, log_ran - log_base)
        self._learn_route(request, log_ran - log_slowness)

    def overdue(
        self,
        request: model.JobRequest,
        upstream: model.LeasedUpstream,
        *,
        running_ms: float,
    ) -> None:
        """Learns from a run that goes on for longer than was expected."""
        seen = math.log(max(1.0, running_ms / self.base_ms(request)))
        seen = min(seen, math.log(MAX_SLOWNESS))
        known = math.log(self.slowness(upstream))
        if seen > known:
            self._set(upstream.upstream, seen)

    def _learn_upstream(
        self, upstream: model.LeasedUpstream, log_slowness: float
    ) -> None:
        kind = _kind(upstream)
        known = self._kinds.get(kind, 0.0)
        self._kinds[kind] = known + KIND_WEIGHT * (log_slowness - known)
        known = self._upstreams.get(upstream.upstream, self._kinds[kind])
        learnt = known + SPEED_WEIGHT * (log_slowness - known)
        self._set(upstream.upstream, learnt)

    def _set(self, upstream: ids.UpstreamId, log_slowness: float) -> None:
        self._upstreams[upstream] = log_slowness
        self._factors[upstream] = math.exp(log_slowness)

    def _learn_route(self, request: model.JobRequest, log_ms: float) -> None:
        route = self._routes.setdefault(request.terms.route, _Route())
        route.runs += 1
        weight = max(ROUTE_WEIGHT, 1 / route.runs)
        route.log_ms += weight * (log_ms - route.log_ms)
        estimate_ms = request.tasks.estimate_ms or DEFAULT_ESTIMATE_MS
        log_bias = log_ms - math.log(estimate_ms)
        route.log_bias += weight * (log_bias - route.log_bias)


def _kind(upstream: model.LeasedUpstream) -> str:
    return upstream.labels[0] if upstream.labels else ""
