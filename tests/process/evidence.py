"""Checks callers' answers against the start logs of the upstreams.

All processes run on one machine, so their monotonic clocks agree.
"""

import time
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from tests.process import caller


@dataclass(frozen=True, slots=True)
class Start:
    """The start of a task, as logged by its upstream."""

    submission: str
    task_index: int
    started_at: float


@dataclass(frozen=True, slots=True)
class _ReceivedAnswer:
    """An answer and the time when its caller received it."""

    answer: caller.Answer
    received_at: float


class AnswerLog:
    """Records payloads and answers by submission id."""

    def __init__(self) -> None:
        self._payloads: dict[str, Sequence[object]] = {}
        self._answers: dict[str, list[_ReceivedAnswer]] = defaultdict(list)
        self._submissions_by_key: dict[str, set[str]] = defaultdict(set)

    @property
    def submissions(self) -> tuple[str, ...]:
        """The ids of all answered submissions."""
        return tuple(self._answers)

    def add(
        self, answer: caller.Answer, submission: str, payloads: Sequence[object]
    ) -> None:
        """Records an answer that was received just now."""
        self._payloads[submission] = payloads
        self._answers[submission].append(
            _ReceivedAnswer(answer, time.monotonic())
        )

    def add_keyed(
        self, answer: caller.Answer, key: str, payloads: Sequence[object]
    ) -> None:
        """Records an answer to a keyed job that was received just now."""
        if answer.submission:
            self.add(answer, answer.submission, payloads)
            self._submissions_by_key[key].add(answer.submission)

    def outcomes(self) -> dict[str, int]:
        """Returns the number of answers with each outcome and reason."""
        counts: dict[str, int] = defaultdict(int)
        for answers in self._answers.values():
            for each in answers:
                reason = each.answer.reason
                name = each.answer.outcome
                counts[f"{name}:{reason}" if reason else name] += 1
        return dict(sorted(counts.items()))

    def violations(self, starts: Sequence[Start]) -> list[str]:
        """Returns a line for each broken promise."""
        by_id: dict[str, list[Start]] = defaultdict(list)
        for start in starts:
            by_id[start.submission].append(start)
        found = _repeated_starts(by_id)
        for submission, answers in self._answers.items():
            payloads = self._payloads[submission]
            logged = by_id.get(submission, [])
            for each in answers:
                found += _contradicted_claims(
                    submission, payloads, each, logged
                )
            found += _contradicting_outcomes(submission, answers)
        for key, submissions in self._submissions_by_key.items():
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
    received: _ReceivedAnswer,
    starts: Sequence[Start],
) -> list[str]:
    """Returns the claims of an answer that the start logs contradict."""
    answer = received.answer
    before = [
        start for start in starts if start.started_at < received.received_at
    ]
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
    submission: str, answers: Sequence[_ReceivedAnswer]
) -> list[str]:
    """Returns a line if a submission has both complete and failed answers."""
    final = {
        each.answer.outcome
        for each in answers
        if each.answer.outcome in ("complete", "failed")
    }
    if len(final) > 1:
        return [f"{submission} told complete and failed"]
    return []
