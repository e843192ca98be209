"""Keeps answers for owners that hand a job over again.

An owner does so when it loses its link before the answer arrives, or when a
caller sends a job again since the answer was lost.
"""

import msgspec

from godwitnotch.core.leased import model

RETENTION_S = 3.0


class _RetainedAnswer(msgspec.Struct, frozen=True):
    answer: model.Answer
    work: int
    expires_at: float


class RetainedAnswers:
    """The answers of the last RETENTION_S."""

    def __init__(self) -> None:
        self._answers: dict[model.JobName, _RetainedAnswer] = {}

    def add(
        self, request: model.JobRequest, answer: model.Answer, *, now: float
    ) -> None:
        """Keeps the answer for a job."""
        job = request.job
        self._answers.pop(job, None)  # Answers are kept in the order of time.
        self._answers[job] = _RetainedAnswer(
            answer, _work(request), now + RETENTION_S
        )

    def find(
        self, request: model.JobRequest, *, had_earlier_leader: bool
    ) -> model.Answer | None:
        """Returns the kept answer that answers a request, if there is one.

        A caller that sends a completed job again has lost the answer. After
        another answer it may want another try.

        Args:
            request: The job.
            had_earlier_leader: Whether its owner has handed it over before.
        """
        retained = self._answers.get(request.job)
        if retained is None:
            return None
        completed = retained.answer.end is model.JobEnd.COMPLETED
        if had_earlier_leader or (
            completed and retained.work == _work(request)
        ):
            return retained.answer
        return None

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


def _work(request: model.JobRequest) -> int:
    """Returns a hash of what a job asks for, as a name may be used again."""
    return hash((request.spec, request.tasks))
