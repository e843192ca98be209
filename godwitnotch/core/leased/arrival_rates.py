"""Answers bursts and swings: the rate at which work arrives, by route.

A short average tells what arrives now, a long one whether an overload lasts.
Rates are unknown until arrivals have been seen for MIN_SPAN_S, as after a
change of leader.
"""

import copy
import math
from collections.abc import Mapping

import msgspec

from godwitnotch.core.leased import model

# Bursts rise within a second.
SHORT_AVERAGE_S = 0.6
# Longer than a crowd of callers, shorter than an overload that lasts.
LONG_AVERAGE_S = 5.0
MIN_SPAN_S = 1.0
# A route without arrivals for this long is forgotten; its part of the long
# average has become small by then.
RETENTION_S = 15.0


class _Average(msgspec.Struct):
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


class ArrivalRates:
    """Measures the rate of arriving work."""

    def __init__(self) -> None:
        self._routes: dict[model.RouteName, _Average] = {}
        self._total = _Average(LONG_AVERAGE_S, 0.0, float("-inf"))
        self._since = math.inf

    def copy(self) -> "ArrivalRates":
        """Returns the same rates, which then change independently."""
        twin = ArrivalRates()
        twin._routes = {
            route: copy.copy(average) for route, average in self._routes.items()
        }
        twin._total = copy.copy(self._total)
        twin._since = self._since
        return twin

    def reset(self) -> None:
        """Forgets all arrivals."""
        self._routes.clear()
        self._total = _Average(LONG_AVERAGE_S, 0.0, float("-inf"))
        self._since = math.inf

    def known(self, *, now: float) -> bool:
        """Returns whether arrivals have been seen for long enough."""
        return now - self._since >= MIN_SPAN_S

    def add(
        self, route: model.RouteName, work_ms: float, *, now: float
    ) -> None:
        """Records work that has arrived."""
        self._since = min(self._since, now)
        average = self._routes.get(route)
        if average is None:
            average = _Average(SHORT_AVERAGE_S, 0.0, now)
            self._routes[route] = average
        average.add(work_ms, now=now)
        self._total.add(work_ms, now=now)

    def by_route(self, *, now: float) -> Mapping[model.RouteName, float]:
        """Returns the present rate of each route, in ms of work per second."""
        for name, average in tuple(self._routes.items()):
            if now - average.updated_at > RETENTION_S:
                del self._routes[name]
        return {
            name: average.rate(since=self._since, now=now)
            for name, average in self._routes.items()
        }

    def sustained(self, *, now: float) -> float:
        """Returns the long average of all routes, in ms of work per second.

        It is 0 while the rates are unknown.
        """
        if not self.known(now=now):
            return 0.0
        return self._total.rate(since=self._since, now=now)
