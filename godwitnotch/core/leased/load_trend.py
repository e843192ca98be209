"""Answers load that rises or falls within seconds: the rate of arriving work.

The rate of each route is a moving average, and its trend the difference of a
fast and a slow one. A forecast extrapolates the trend. Rates are unknown until
arrivals have been seen for MIN_SPAN_S, as after a change of leader.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from godwitnotch.core.leased import model

# Bursts rise within a second; routes with few arrivals need longer averages.
FAST_AVERAGE_S = 0.6
SLOW_AVERAGE_S = 1.8
# A forecast reaches this far: a target response time or two.
HORIZON_S = 0.5
MIN_SPAN_S = 1.0
# A route without arrivals for this long is forgotten.
RETENTION_S = 10.0


@dataclass(slots=True)
class _Average:
    """A moving average of a rate, in ms of work per second.

    Attributes:
        duration_s: Time constant of the average.
        sum_ms: Work that has arrived, where older work counts less.
        updated_at: When sum_ms was brought up to date.
    """

    duration_s: float
    sum_ms: float
    updated_at: float

    def add(self, work_ms: float, *, now: float) -> None:
        """Includes work that has arrived."""
        self.sum_ms = self.sum_ms * self._decay(now) + work_ms
        self.updated_at = max(now, self.updated_at)

    def rate(self, *, since: float, now: float) -> float:
        """Returns the rate, given when arrivals were first recorded."""
        span = 1 - math.exp(-max(0.0, now - since) / self.duration_s)
        if span <= 0:
            return 0.0
        return self.sum_ms * self._decay(now) / self.duration_s / span

    def _decay(self, now: float) -> float:
        return math.exp(-max(0.0, now - self.updated_at) / self.duration_s)


@dataclass(slots=True)
class _Route:
    fast: _Average
    slow: _Average


class LoadTrend:
    """Measures and forecasts the rate of arriving work by route."""

    def __init__(self) -> None:
        self._routes: dict[model.RouteName, _Route] = {}
        self._since = math.inf

    def reset(self) -> None:
        """Forgets all arrivals."""
        self._routes.clear()
        self._since = math.inf

    def known(self, *, now: float) -> bool:
        """Returns whether arrivals have been seen for long enough."""
        return now - self._since >= MIN_SPAN_S

    def add(
        self, route: model.RouteName, work_ms: float, *, now: float
    ) -> None:
        """Records work that has arrived."""
        self._since = min(self._since, now)
        averages = self._routes.get(route)
        if averages is None:
            averages = self._routes[route] = _Route(
                _Average(FAST_AVERAGE_S, 0.0, now),
                _Average(SLOW_AVERAGE_S, 0.0, now),
            )
        averages.fast.add(work_ms, now=now)
        averages.slow.add(work_ms, now=now)

    def rates(self, *, now: float) -> Mapping[model.RouteName, float]:
        """Returns the present rate of each route, in ms of work per second."""
        self._forget_old(now=now)
        return {
            name: route.fast.rate(since=self._since, now=now)
            for name, route in self._routes.items()
        }

    def forecast(self, *, now: float) -> float:
        """Returns the rate of all routes in HORIZON_S, if the trend goes on."""
        fast = slow = 0.0
        for route in self._routes.values():
            fast += route.fast.rate(since=self._since, now=now)
            slow += route.slow.rate(since=self._since, now=now)
        # Under a steady trend an average lags by its time constant.
        slope = (fast - slow) / (SLOW_AVERAGE_S - FAST_AVERAGE_S)
        return max(0.0, fast + slope * (FAST_AVERAGE_S + HORIZON_S))

    def _forget_old(self, *, now: float) -> None:
        for name, route in tuple(self._routes.items()):
            if now - route.fast.updated_at > RETENTION_S:
                del self._routes[name]
