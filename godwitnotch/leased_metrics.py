"""Metrics of a host on the platform, in the Prometheus text format."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator

from godwitnotch import latency
from godwitnotch.core.leased import model

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_LATENCY_S = 600
MAX_EVENT_SERIES = 400

_PREFIX = "godwitnotch"


class LeasedMetrics:
    """Counts answers to callers and log events of a host."""

    def __init__(self) -> None:
        self._events: Counter[tuple[str, str]] = Counter()
        self._answers: Counter[tuple[model.JobEnd, model.EndReason]] = Counter()
        self._latency = latency.LatencySummary(
            f"{_PREFIX}_job_seconds", max_s=MAX_LATENCY_S
        )

    def count_event(self, event: str, reason: str) -> None:
        """Counts a log event; ignores new series beyond the maximum."""
        key = (event, reason)
        if key in self._events or len(self._events) < MAX_EVENT_SERIES:
            self._events[key] += 1

    def count_answer(self, answer: model.Answer, *, latency_s: float) -> None:
        """Counts an answer to a caller and records its latency."""
        self._answers[answer.end, answer.reason] += 1
        self._latency.record(latency_s)

    def render(self, gauges: Iterable[tuple[str, float]]) -> bytes:
        """Renders all metrics and the given gauges."""
        lines = [
            *self._answer_lines(),
            *self._event_lines(),
            *self._latency.lines(),
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
