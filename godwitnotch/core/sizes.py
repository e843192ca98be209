"""Learns how much a declared run time says about the true one.

The logarithm of the true run time is regressed on that of the declared one,
for each template. Where declared times are noise the slope goes to zero, and
all tasks of a template count as equal.
"""

import math
from dataclasses import dataclass

from godwitnotch.core import ids

# Bounds of how far a declared time may set a task apart from others.
MIN_FACTOR = 0.1
MAX_FACTOR = 10.0

_MIN_GAIN = 0.005
_PRIOR_COUNT = 20
# Weight of the assumption that declared times say nothing.
_PRIOR_VARIANCE = 0.2


@dataclass(slots=True)
class _Regression:
    mean_x: float
    mean_y: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0
    count: int = 0

    def learn(self, x: float, y: float) -> None:
        gain = max(_MIN_GAIN, 1.0 / (self.count + _PRIOR_COUNT))
        error_x = x - self.mean_x
        error_y = y - self.mean_y
        self.mean_x += gain * error_x
        self.mean_y += gain * error_y
        self.variance += gain * (error_x * error_x - self.variance)
        self.covariance += gain * (error_x * error_y - self.covariance)
        self.count += 1

    def slope(self) -> float:
        slope = self.covariance / (self.variance + _PRIOR_VARIANCE)
        return min(max(slope, 0.0), 1.0)


class SizeModel:
    """Expected size of a task, relative to its template's typical one."""

    def __init__(self) -> None:
        self._regressions: dict[ids.TemplateName, _Regression] = {}

    def factors(
        self,
        template: ids.TemplateName,
        declared_ms: tuple[float | None, ...],
    ) -> tuple[float, ...]:
        """Returns the relative size of each task of a job."""
        regression = self._regressions.get(template)
        if regression is None:
            return (1.0,) * len(declared_ms)
        slope = regression.slope()
        return tuple(
            _factor(slope * (math.log(each) - regression.mean_x))
            if each
            else 1.0
            for each in declared_ms
        )

    def learn(
        self,
        template: ids.TemplateName,
        declared_ms: float | None,
        ratio: float,
    ) -> None:
        """Takes a true run time.

        Args:
            template: The task's template.
            declared_ms: What its caller declared; None teaches nothing.
            ratio: The true time over that expected of a typical task.
        """
        if not declared_ms or declared_ms <= 0 or ratio <= 0:
            return
        x = math.log(declared_ms)
        regression = self._regressions.get(template)
        if regression is None:
            regression = self._regressions[template] = _Regression(x)
        regression.learn(x, math.log(ratio))


def _factor(log_factor: float) -> float:
    return min(max(math.exp(log_factor), MIN_FACTOR), MAX_FACTOR)
