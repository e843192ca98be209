"""Metrics of a host on the platform, in the Prometheus text format."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator

from godwitnotch import latency
from godwitnotch.core.leased import model

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_LATENCY_S = 600
MAX_TICK_LATE_S = 60
MAX_EVENT_SERIES = 400
MAX_ROUTE_SERIES = 2_000

_PREFIX = "godwitnotch"


class LeasedMetrics:
    """Counts answers to callers and log events of a host."""

    def __init__(self) -> None:
        self._events: Counter[tuple[str, str]] = Counter()
        self._route_events: Counter[tuple[str, str, str]] = Counter()
        self._answers: Counter[tuple[model.JobEnd, model.EndReason]] = Counter()
        self._latency = latency.LatencySummary(
            f"{_PREFIX}_job_seconds", max_s=MAX_LATENCY_S
        )
        self._ticks_late = latency.LatencySummary(
            f"{_PREFIX}_leader_late_seconds", max_s=MAX_TICK_LATE_S
        )

    def count_event(self, event: str, reason: str) -> None:
        """Counts a log event; ignores new series beyond the maximum."""
        key = (event, reason)
        if key in self._events or len(self._events) < MAX_EVENT_SERIES:
            self._events[key] += 1

    def count_route_event(
        self, event: str, reason: str, route: str, amount: int
    ) -> None:
        """Counts a log event by route; ignores series beyond the maximum."""
        key = (event, reason, route)
        if (
            key in self._route_events
            or len(self._route_events) < MAX_ROUTE_SERIES
        ):
            self._route_events[key] += amount

    def count_answer(self, answer: model.Answer, *, latency_s: float) -> None:
        """Counts an answer to a caller and records its latency."""
        self._answers[answer.end, answer.reason] += 1
        self._latency.record(latency_s)

    def record_leader_tick(self, late_s: float) -> None:
        """Records by how much a leader's tick, as all its events, is late."""
        self._ticks_late.record(late_s)

    def render(self, gauges: Iterable[tuple[str, float]]) -> bytes:
        """Renders all metrics and the given gauges."""
        lines = [
            *self._answer_lines(),
            *self._event_lines(),
            *self._route_lines(),
            *self._latency.lines(),
            *self._ticks_late.lines(),
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

    def _route_lines(self) -> Iterator[str]:
        name = f"{_PREFIX}_route_decisions_total"
        yield f"# TYPE {name} counter"
        for (event, reason, route), count in sorted(self._route_events.items()):
            yield (
                f'{name}{{event="{event}",reason="{reason}",'
                f'route="{_escape(route)}"}} {count}'
            )


def _escape(label: str) -> str:
    """Returns a label value, as operators choose names of routes freely."""
    escaped = label.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")
