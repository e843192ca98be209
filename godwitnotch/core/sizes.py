"""Learns how well declared run times predict actual run times.

For each template, the natural logarithm of the ratio of actual and typical run
time is regressed on that of the declared run time. If the declared times
predict nothing, the slope goes to zero and all tasks of the template count as
equally long.
"""

import math

import msgspec

from godwitnotch.core import ids

# Bounds of a task's expected run time relative to that of a typical task of its
# template.
MIN_RELATIVE_SIZE = 0.1
MAX_RELATIVE_SIZE = 10.0

# Minimum weight of a new observation.
_MIN_WEIGHT = 0.005
_PRIOR_COUNT = 20
# Variance added to that of declared times, which pulls the slope to zero.
_PRIOR_VARIANCE = 0.2


class _Regression(msgspec.Struct):
    """Linear regression of y on x, with decaying weights."""

    mean_x: float
    mean_y: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0
    count: int = 0

    def learn(self, x: float, y: float) -> None:
        weight = max(_MIN_WEIGHT, 1.0 / (self.count + _PRIOR_COUNT))
        error_x = x - self.mean_x
        error_y = y - self.mean_y
        self.mean_x += weight * error_x
        self.mean_y += weight * error_y
        self.variance += weight * (error_x * error_x - self.variance)
        self.covariance += weight * (error_x * error_y - self.covariance)
        self.count += 1

    def slope(self) -> float:
        slope = self.covariance / (self.variance + _PRIOR_VARIANCE)
        return min(max(slope, 0.0), 1.0)


class SizeModel:
    """Expected run times relative to that of a template's typical task."""

    def __init__(self) -> None:
        self._regressions: dict[ids.TemplateName, _Regression] = {}

    def relative_sizes(
        self,
        template: ids.TemplateName,
        declared_ms: tuple[float | None, ...],
    ) -> tuple[float, ...]:
        """Returns each task's expected run time relative to a typical task.

        Args:
            template: Template of the job.
            declared_ms: Declared run times in milliseconds, in task order.
        """
        regression = self._regressions.get(template)
        if regression is None:
            return (1.0,) * len(declared_ms)
        slope = regression.slope()
        return tuple(
            _relative_size(slope * (math.log(each) - regression.mean_x))
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
        """Learns from an actual run time.

        Args:
            template: Template of the task.
            declared_ms: Declared run time; nothing is learnt if it is None.
            ratio: Actual run time divided by the expected run time of a
                typical task.
        """
        if not declared_ms or declared_ms <= 0 or ratio <= 0:
            return
        x = math.log(declared_ms)
        regression = self._regressions.get(template)
        if regression is None:
            regression = self._regressions[template] = _Regression(x)
        regression.learn(x, math.log(ratio))


def _relative_size(log_size: float) -> float:
    return min(max(math.exp(log_size), MIN_RELATIVE_SIZE), MAX_RELATIVE_SIZE)
