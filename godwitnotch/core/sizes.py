"""Learns how much a declared run time says about the true one.

The logarithm of the true run time is regressed on that of the declared one,
for each template. Where declared times are noise the slope goes to zero, and
all tasks of a template count as equal.
"""

import math
from dataclasses import dataclass

from godwitnotch.core import ids

# Bounds of how far a declared time may set a task apart from others.
LEAST_FACTOR = 0.1
MOST_FACTOR = 10.0

_GAIN = 0.005
_FIRST_GAIN_COUNT = 20
# Weight of the assumption that declared times say nothing.
_PRIOR_VARIANCE = 0.2


@dataclass(slots=True)
class _Fit:
    mean_x: float
    mean_y: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0
    seen: int = 0

    def learn(self, x: float, y: float) -> None:
        gain = max(_GAIN, 1.0 / (self.seen + _FIRST_GAIN_COUNT))
        error_x = x - self.mean_x
        error_y = y - self.mean_y
        self.mean_x += gain * error_x
        self.mean_y += gain * error_y
        self.variance += gain * (error_x * error_x - self.variance)
        self.covariance += gain * (error_x * error_y - self.covariance)
        self.seen += 1

    def slope(self) -> float:
        slope = self.covariance / (self.variance + _PRIOR_VARIANCE)
        return min(max(slope, 0.0), 1.0)


class SizeModel:
    """Expected size of a task, relative to its template's typical one."""

    def __init__(self) -> None:
        self._fits: dict[ids.TemplateName, _Fit] = {}

    def factors(
        self,
        template: ids.TemplateName,
        declared_ms: tuple[float | None, ...],
    ) -> tuple[float, ...]:
        """Returns the relative size of each task of a job."""
        fit = self._fits.get(template)
        if fit is None:
            return (1.0,) * len(declared_ms)
        slope = fit.slope()
        return tuple(
            _factor(slope * (math.log(each) - fit.mean_x)) if each else 1.0
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
        fit = self._fits.get(template)
        if fit is None:
            fit = self._fits[template] = _Fit(x)
        fit.learn(x, math.log(ratio))


def _factor(log_factor: float) -> float:
    return min(max(math.exp(log_factor), LEAST_FACTOR), MOST_FACTOR)
