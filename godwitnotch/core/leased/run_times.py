"""Predicts the run times of tasks and learns how slow each upstream is.

All averages are moving averages of logarithms, over successful runs. An overdue
run or a value from another host replaces the slowness of an upstream. The
expected run time of a task is the geometric mean of two values: its caller's
estimate, corrected by the bias of earlier estimates, and its route's average.

A run tells only the product of work, slowness and the factor away from the rack
of its data, which is known. The scale is fixed by the median upstream, whose
slowness is 1. An upstream without recent runs returns to
the slowness of its kind, so that one that has recovered gets runs again.
"""

import math
from collections.abc import Iterable

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model

# Weights of a new run in the moving averages.
ROUTE_AVERAGE_WEIGHT = 0.05
UPSTREAM_AVERAGE_WEIGHT = 0.25
KIND_AVERAGE_WEIGHT = 0.05
MIN_ROUTE_RUN_COUNT = 8  # With fewer runs only the caller's estimate counts.
DEFAULT_ESTIMATE_MS = 200.0
MIN_RUN_MS = 1.0
# How long an upstream keeps its slowness without a run, and in which time it
# then approaches that of its kind by half.
SLOWNESS_RETENTION_S = 1.0
SLOWNESS_HALF_LIFE_S = 1.0
# Bounds the effect of a single overdue run or value from another host.
MAX_SLOWNESS = 20.0


class _Route(msgspec.Struct):
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
    """Learns from ended runs and predicts the run times of new ones.

    Args:
        racks: How much longer tasks take away from the rack of their data.
    """

    def __init__(self, racks: locality.Racks = locality.DEFAULT_RACKS) -> None:
        self._racks = racks
        self._routes: dict[model.RouteName, _Route] = {}
        self._log_slowness: dict[ids.UpstreamId, float] = {}
        self._kind_log_slowness: dict[str, float] = {}
        self._slowness: dict[ids.UpstreamId, float] = {}
        self._kinds: dict[ids.UpstreamId, str] = {}
        self._last_run_at: dict[ids.UpstreamId, float] = {}
        self._updated_at = float("-inf")

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

    def run_factor(
        self, request: model.JobRequest, upstream: model.LeasedUpstream
    ) -> float:
        """Returns the factor of `base_ms` by which a job's tasks take there."""
        return self.slowness(upstream) * self.rack_factor(request, upstream)

    def rack_factor(
        self, request: model.JobRequest, upstream: model.LeasedUpstream
    ) -> float:
        """Returns how much longer a job's tasks take there for their rack."""
        return self._racks.factor(request, upstream)

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
            self.forget(upstream)

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Forgets an upstream, which may be of another kind by now."""
        self._log_slowness.pop(upstream, None)
        self._slowness.pop(upstream, None)
        self._kinds.pop(upstream, None)
        self._last_run_at.pop(upstream, None)

    def update(self, *, now: float) -> None:
        """Forgets old slowness and fixes the scale; called at short intervals.

        The predicted run times don't change with the scale.
        """
        elapsed_s = max(0.0, now - self._updated_at)
        kept_share = 0.5 ** (elapsed_s / SLOWNESS_HALF_LIFE_S)
        self._updated_at = now
        for upstream, kind in self._kinds.items():
            last_run_at = self._last_run_at[upstream]
            if now - last_run_at < SLOWNESS_RETENTION_S:
                continue
            usual = self._kind_log_slowness.get(kind, 0.0)
            known = self._log_slowness[upstream]
            relaxed = usual + (known - usual) * kept_share
            self._set_log_slowness(upstream, relaxed)
        self._fix_scale()

    def _fix_scale(self) -> None:
        """Makes the slowness of the median upstream 1."""
        if not self._routes or not self._log_slowness:
            return
        shift = _median(self._log_slowness.values())
        for kind in self._kind_log_slowness:
            self._kind_log_slowness[kind] -= shift
        for upstream, known in self._log_slowness.items():
            self._set_log_slowness(upstream, known - shift)
        for route in self._routes.values():
            route.log_ms += shift
            route.log_bias += shift

    def run_succeeded(
        self,
        request: model.JobRequest,
        upstream: model.LeasedUpstream,
        *,
        ran_ms: float,
        now: float,
    ) -> None:
        """Learns from a run that has succeeded."""
        self._record_run(upstream, now=now)
        log_ran = math.log(max(MIN_RUN_MS, ran_ms))
        log_ran -= math.log(self._racks.factor(request, upstream))
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
        now: float,
    ) -> None:
        """Raises the slowness of an upstream to that of an overdue run."""
        self._record_run(upstream, now=now)
        usual_ms = self.base_ms(request) * self._racks.factor(request, upstream)
        observed = math.log(max(1.0, running_ms / usual_ms))
        observed = min(observed, math.log(MAX_SLOWNESS))
        known = math.log(self.slowness(upstream))
        if observed > known:
            self._set_log_slowness(upstream.upstream, observed)

    def _record_run(
        self, upstream: model.LeasedUpstream, *, now: float
    ) -> None:
        """Records that an upstream's slowness was observed."""
        name = upstream.upstream
        self._kinds[name] = _kind(upstream)
        self._last_run_at[name] = now
        if name not in self._log_slowness:
            self._set_log_slowness(name, math.log(self.slowness(upstream)))

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


def _median(values: Iterable[float]) -> float:
    """Returns the median; `statistics` would lengthen each start of a host."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def _kind(upstream: model.LeasedUpstream) -> str:
    return upstream.labels[0] if upstream.labels else ""
