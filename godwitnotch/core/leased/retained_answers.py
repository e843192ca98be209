"""Keeps answers for owners that hand a job over again.

An owner does so when it loses its link before the answer arrives.
"""

import msgspec

from godwitnotch.core.leased import model

RETENTION_S = 3.0


class _RetainedAnswer(msgspec.Struct, frozen=True):
    answer: model.Answer
    expires_at: float


class RetainedAnswers:
    """The answers of the last RETENTION_S."""

    def __init__(self) -> None:
        self._answers: dict[model.JobName, _RetainedAnswer] = {}

    def add(
        self, job: model.JobName, answer: model.Answer, *, now: float
    ) -> None:
        """Keeps the answer for a job."""
        self._answers.pop(job, None)  # Answers are kept in the order of time.
        self._answers[job] = _RetainedAnswer(answer, now + RETENTION_S)

    def get(self, job: model.JobName) -> model.Answer | None:
        """Returns the answer for a job, if it is still kept."""
        retained = self._answers.get(job)
        return None if retained is None else retained.answer

    def forget_expired(self, *, now: float) -> None:
        """Forgets answers that are older than RETENTION_S."""
        expired = []
        # The oldest answer comes first.
        for job, retained in self._answers.items():
            if now < retained.expires_at:
                break
            expired.append(job)
        for job in expired:
            del self._answers[job]

    def clear(self) -> None:
        """Forgets all answers."""
        self._answers.clear()
