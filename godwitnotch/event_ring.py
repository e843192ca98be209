"""Keeps the latest events of the latest submissions in memory."""

from collections import OrderedDict
from collections import deque
from dataclasses import dataclass

from godwitnotch.core import actions
from godwitnotch.core import ids

MAX_EVENTS_PER_SUBMISSION = 256


@dataclass(frozen=True, slots=True)
class TimedNote:
    """An event and when it happened, on the host's clock in seconds."""

    at: float
    note: actions.Note


class EventRing:
    """Holds a bounded number of events for a bounded number of submissions.

    The submission whose latest event is oldest is dropped first.

    Args:
        max_submissions: Submissions whose events are kept.
    """

    def __init__(self, *, max_submissions: int) -> None:
        self._max_submissions = max_submissions
        self._notes: OrderedDict[ids.SubmissionId, deque[TimedNote]] = (
            OrderedDict()
        )

    def add(self, noted: actions.Note, *, now: float) -> None:
        """Keeps an event, if it is about a submission."""
        if noted.submission is None:
            return
        notes = self._notes.get(noted.submission)
        if notes is None:
            notes = deque(maxlen=MAX_EVENTS_PER_SUBMISSION)
            self._notes[noted.submission] = notes
        self._notes.move_to_end(noted.submission)
        notes.append(TimedNote(now, noted))
        if len(self._notes) > self._max_submissions:
            self._notes.popitem(last=False)

    def events(self, submission: ids.SubmissionId) -> tuple[TimedNote, ...]:
        """Returns the kept events of a submission, oldest first."""
        return tuple(self._notes.get(submission, ()))
