"""Answers run times that are known roughly: how far runs go past the expected.

Callers' estimates are off, and the tasks of a job differ. A task that is expected
to end just in time ends late about every second time, so a decision that counts
on the expected time alone gives the last slow place to a task that misses its
target there, though it could have waited for a faster one. The spread is learnt
by route from the runs themselves.
"""

import math

from godwitnotch.core.leased import model

# Spread of a route of which nothing was learnt: the tasks of a job differ by less.
INITIAL_LOG_SPREAD = 0.2
# A wrong expectation of all runs, as of upstreams that turn slow, counts at most
# so much.
MAX_LOG_SPREAD = 0.4
AVERAGE_WEIGHT = 0.02  # Weight of a new run in the moving average.


class RunSpread:
    """How far the run times of each route spread around the expected ones."""

    def __init__(self) -> None:
        self._log_variance: dict[model.RouteName, float] = {}

    def learn(
        self, route: model.RouteName, *, expected_ms: float, ran_ms: float
    ) -> None:
        """Learns from a run that has succeeded."""
        error = math.log(max(1.0, ran_ms) / max(1.0, expected_ms))
        error = max(-MAX_LOG_SPREAD, min(MAX_LOG_SPREAD, error))
        known = self._log_variance.get(route, INITIAL_LOG_SPREAD**2)
        self._log_variance[route] = known + AVERAGE_WEIGHT * (
            error * error - known
        )

    def long_run_factor(self, route: model.RouteName) -> float:
        """Returns how many times the expected time a long run takes.

        Five of six runs take less, if their logarithms spread normally.
        """
        variance = self._log_variance.get(route, INITIAL_LOG_SPREAD**2)
        return math.exp(math.sqrt(variance))
