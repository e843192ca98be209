"""Summary of latencies in the Prometheus text format."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hdrh import histogram

QUANTILES = (0.5, 0.9, 0.99, 0.999)
SIGNIFICANT_DIGITS = 2

_PERCENTILES = [quantile * 100 for quantile in QUANTILES]
_US_PER_S = 1_000_000


class LatencySummary:
    """Records latencies and reports their quantiles.

    Args:
        name: Name of the metric.
        max_s: Maximum latency in the quantiles, in seconds. The quantiles count
            a longer latency as this maximum; the sum adds its actual value.
    """

    def __init__(self, name: str, *, max_s: int) -> None:
        self._name = name
        self._max_us = max_s * _US_PER_S
        self._histogram: histogram.HdrHistogram | None = None
        self._sum_s = 0.0

    @property
    def _recorded(self) -> "histogram.HdrHistogram":
        """The recorded latencies."""
        if self._histogram is None:
            # Imported with the first latency: a starting host has none, and
            # its callers wait for it.
            from hdrh import histogram

            self._histogram = histogram.HdrHistogram(
                1, self._max_us, SIGNIFICANT_DIGITS
            )
        return self._histogram

    def record(self, latency_s: float) -> None:
        """Records one latency."""
        latency_us = min(round(latency_s * _US_PER_S), self._max_us)
        self._recorded.record_value(max(1, latency_us))
        self._sum_s += latency_s

    def lines(self) -> Iterator[str]:
        """Yields the lines with the quantiles, the sum and the count."""
        yield f"# TYPE {self._name} summary"
        count = self._recorded.get_total_count()
        # One call reads all quantiles; an empty histogram is not read.
        values = {}
        if count:
            values = self._recorded.get_percentile_to_value_dict(_PERCENTILES)
        for quantile, percentile in zip(QUANTILES, _PERCENTILES, strict=True):
            value_s = values.get(percentile, 0) / _US_PER_S
            yield f'{self._name}{{quantile="{quantile:g}"}} {value_s:g}'
        yield f"{self._name}_sum {self._sum_s:g}"
        yield f"{self._name}_count {count}"
