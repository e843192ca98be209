"""Metrics of a host, in the Prometheus text format."""

import enum
from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from typing import TypeVar

from godwitnotch import latency
from godwitnotch.core import actions
from godwitnotch.core import model

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_LATENCY_S = 3_600
MAX_EVENT_NAMES = 200
# Log event of every attempt that ended, with any outcome.
ATTEMPT_ENDED = "task_ended"

_PREFIX = "godwitnotch"
_Member = TypeVar("_Member", bound=enum.Enum)


class Latency(enum.Enum):
    """Kind of a latency; each kind has its own summary."""

    JOB = "job"  # From the arrival of a job at this host to its answer.
    RESERVE = "reserve"
    CONFIG_PUT = "config_put"


class Metrics:
    """Counts answers and their reasons, attempts, retries and notes.

    The counters of all outcomes and reasons are rendered, also those at 0.
    """

    def __init__(self) -> None:
        self._answers: Counter[model.Outcome] = Counter()
        self._reasons: Counter[model.Reason] = Counter()
        self._attempts: Counter[model.AttemptOutcome] = Counter()
        self._retries: Counter[model.AttemptOutcome] = Counter()
        self._events: Counter[str] = Counter()
        self._latencies = {
            kind: latency.LatencySummary(
                f"{_PREFIX}_{kind.value}_seconds", max_s=MAX_LATENCY_S
            )
            for kind in Latency
        }

    def count_answer(self, answer: model.JobAnswer) -> None:
        """Counts an answer to a caller, and its reason if there is one."""
        self._answers[answer.outcome] += 1
        if answer.reason is not None:
            self._reasons[answer.reason] += 1

    def count_note(self, note: actions.Note) -> None:
        """Counts a note by its log event, and by its attempt outcome if any."""
        if isinstance(note.reason, model.AttemptOutcome):
            self._attempt_counts_for(note.event)[note.reason] += 1
        known = note.event in self._events
        if known or len(self._events) < MAX_EVENT_NAMES:
            self._events[note.event] += 1

    def record(self, kind: Latency, latency_s: float) -> None:
        """Records a latency."""
        self._latencies[kind].record(latency_s)

    def counts_by_reason(self) -> dict[str, int]:
        """Returns the counts of answers with a reason, and of retries."""
        counts = {reason.value: n for reason, n in self._reasons.items()}
        counts |= {f"retry_{end.value}": n for end, n in self._retries.items()}
        return counts

    def render(self, gauges: Iterable[tuple[str, float]] = ()) -> bytes:
        """Renders all metrics and the given gauges."""
        lines = [
            *_counter_lines("answers", "outcome", model.Outcome, self._answers),
            *_counter_lines("reasons", "reason", model.Reason, self._reasons),
            *_counter_lines(
                "attempts", "outcome", model.AttemptOutcome, self._attempts
            ),
            *_counter_lines(
                "retries", "outcome", model.AttemptOutcome, self._retries
            ),
            *_event_lines(self._events),
        ]
        for summary in self._latencies.values():
            lines.extend(summary.lines())
        for name, value in gauges:
            lines.append(f"# TYPE {_PREFIX}_{name} gauge")
            lines.append(f"{_PREFIX}_{name} {value:g}")
        return ("\n".join(lines) + "\n").encode()

    def _attempt_counts_for(self, event: str) -> Counter[model.AttemptOutcome]:
        return self._attempts if event == ATTEMPT_ENDED else self._retries


def _counter_lines(
    name: str,
    label: str,
    kind: type[_Member],
    counts: Counter[_Member],
) -> Iterator[str]:
    full_name = f"{_PREFIX}_{name}_total"
    yield f"# TYPE {full_name} counter"
    for member in kind:
        yield f'{full_name}{{{label}="{member.value}"}} {counts[member]}'


def _event_lines(counts: Counter[str]) -> Iterator[str]:
    full_name = f"{_PREFIX}_events_total"
    yield f"# TYPE {full_name} counter"
    for name in sorted(counts):
        yield f'{full_name}{{event="{name}"}} {counts[name]}'
