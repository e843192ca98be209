"""Checks callers' answers against the upstreams' own start logs.

All processes are on one machine, so their monotonic clocks agree.
"""

import time
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from tests.process import caller


@dataclass(frozen=True, slots=True)
class Start:
    """One start of a task, as its upstream logged it."""

    submission: str
    task_index: int
    started_at: float


@dataclass(frozen=True, slots=True)
class _ReceivedAnswer:
    """An answer and when its caller had it."""

    answer: caller.Answer
    received_at: float


class AnswerLog:
    """Keeps what was submitted and answered, by submission id."""

    def __init__(self) -> None:
        self._payloads: dict[str, Sequence[object]] = {}
        self._answers: dict[str, list[_ReceivedAnswer]] = defaultdict(list)
        self._keys: dict[str, set[str]] = defaultdict(set)

    @property
    def submissions(self) -> tuple[str, ...]:
        """The ids that were answered about."""
        return tuple(self._answers)

    def add(
        self, answer: caller.Answer, submission: str, payloads: Sequence[object]
    ) -> None:
        """Notes an answer about a submission of these tasks, had just now."""
        self._payloads[submission] = payloads
        self._answers[submission].append(
            _ReceivedAnswer(answer, time.monotonic())
        )

    def add_keyed(
        self, answer: caller.Answer, key: str, payloads: Sequence[object]
    ) -> None:
        """Notes an answer about a job sent under a key, had just now."""
        if answer.submission:
            self.add(answer, answer.submission, payloads)
            self._keys[key].add(answer.submission)

    def outcomes(self) -> dict[str, int]:
        """Returns how often each outcome and reason was told."""
        counts: dict[str, int] = defaultdict(int)
        for told in self._answers.values():
            for each in told:
                reason = each.answer.reason
                name = each.answer.outcome
                counts[f"{name}:{reason}" if reason else name] += 1
        return dict(sorted(counts.items()))

    def violations(self, starts: Sequence[Start]) -> list[str]:
        """Returns each promise that was broken, as one line of text."""
        by_id: dict[str, list[Start]] = defaultdict(list)
        for start in starts:
            by_id[start.submission].append(start)
        found = _repeated_starts(by_id)
        for submission, told in self._answers.items():
            payloads = self._payloads[submission]
            logged = by_id.get(submission, [])
            for each in told:
                found += _contradicted_claims(
                    submission, payloads, each, logged
                )
            found += _contradicting_outcomes(submission, told)
        for key, submissions in self._keys.items():
            started = sorted(submissions & by_id.keys())
            if len(started) > 1:
                found.append(f"key {key} started as {started}")
        return found


def _repeated_starts(by_id: dict[str, list[Start]]) -> list[str]:
    found = []
    for submission, starts in by_id.items():
        indexes = [start.task_index for start in starts]
        for index in sorted(set(indexes)):
            if indexes.count(index) > 1:
                found.append(f"{submission} task {index} started twice")
    return found


def _contradicted_claims(
    submission: str,
    payloads: Sequence[object],
    told: _ReceivedAnswer,
    starts: Sequence[Start],
) -> list[str]:
    """Returns what one answer says that the start logs don't bear out."""
    answer = told.answer
    before = [start for start in starts if start.started_at < told.received_at]
    started = {start.task_index for start in before}
    found = []
    if answer.outcome == "lost":
        return found
    if answer.ran == "nothing" and before:
        found.append(f"{submission} told {answer.value}, but tasks started")
    if answer.ran == "something" and not before:
        found.append(f"{submission} told {answer.value}, but none started")
    if answer.outcome == "complete":
        if answer.value.get("results") != list(payloads):
            found.append(f"{submission} complete with other results")
        if started != set(range(len(payloads))):
            found.append(f"{submission} complete, started only {started}")
    elif answer.value.get("results"):
        found.append(f"{submission} {answer.outcome} with results")
    if answer.submission not in ("", submission):
        found.append(f"{submission} answered as {answer.submission}")
    return found


def _contradicting_outcomes(
    submission: str, told: Sequence[_ReceivedAnswer]
) -> list[str]:
    """Returns a final answer that a later one contradicts."""
    final = {
        each.answer.outcome
        for each in told
        if each.answer.outcome in ("complete", "failed")
    }
    if len(final) > 1:
        return [f"{submission} told complete and failed"]
    return []
