"""Counters and latencies of a host that serves leased runs, as text."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator

from hdrh import histogram

from godwitnotch.core.leased import model

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MAX_LATENCY_S = 600
SIGNIFICANT_DIGITS = 2
MAX_NAMES = 400

_US_PER_S = 1_000_000
_PREFIX = "godwitnotch"


class LeasedMetrics:
    """Counts what a host answers and decides."""

    def __init__(self) -> None:
        self._events: Counter[tuple[str, str]] = Counter()
        self._answers: Counter[tuple[model.JobEnd, model.EndReason]] = Counter()
        self._latency = histogram.HdrHistogram(
            1, MAX_LATENCY_S * _US_PER_S, SIGNIFICANT_DIGITS
        )
        self._sum_s = 0.0

    def count(self, event: str, reason: str) -> None:
        """Counts a decision or change of belief."""
        key = (event, reason)
        if key in self._events or len(self._events) < MAX_NAMES:
            self._events[key] += 1

    def count_answer(self, answer: model.Answer, *, seconds: float) -> None:
        """Counts an answer to a caller, and how long it took."""
        self._answers[answer.end, answer.reason] += 1
        micros = max(
            1, min(round(seconds * _US_PER_S), MAX_LATENCY_S * _US_PER_S)
        )
        self._latency.record_value(micros)
        self._sum_s += seconds

    def render(self, gauges: Iterable[tuple[str, float]]) -> bytes:
        """Returns all metrics, and the gauges given, as text."""
        lines = [
            *self._answer_lines(),
            *self._event_lines(),
            *self._latency_lines(),
        ]
        for name, value in gauges:
            lines.append(f"# TYPE {_PREFIX}_{name} gauge")
            lines.append(f"{_PREFIX}_{name} {value:g}")
        return ("\n".join(lines) + "\n").encode()

    def _answer_lines(self) -> Iterator[str]:
        name = f"{_PREFIX}_answers_total"
        yield f"# TYPE {name} counter"
        for (end, reason), count in sorted(
            self._answers.items(), key=lambda item: item[0][0].value
        ):
            yield f'{name}{{end="{end.value}",reason="{reason.value}"}} {count}'

    def _event_lines(self) -> Iterator[str]:
        name = f"{_PREFIX}_decisions_total"
        yield f"# TYPE {name} counter"
        for (event, reason), count in sorted(self._events.items()):
            yield f'{name}{{event="{event}",reason="{reason}"}} {count}'

    def _latency_lines(self) -> Iterator[str]:
        name = f"{_PREFIX}_job_seconds"
        yield f"# TYPE {name} summary"
        count = self._latency.get_total_count()
        for quantile in QUANTILES:
            micros = (
                self._latency.get_value_at_percentile(quantile * 100)
                if count
                else 0
            )
            yield f'{name}{{quantile="{quantile:g}"}} {micros / _US_PER_S:g}'
        yield f"{name}_sum {self._sum_s:g}"
        yield f"{name}_count {count}"
