"""Keeps the latest events of the latest submissions in memory."""

from collections import OrderedDict
from dataclasses import dataclass

from godwitnotch.core import actions
from godwitnotch.core import ids

MAX_EVENTS_PER_SUBMISSION = 512


@dataclass(frozen=True, slots=True)
class TimedNote:
    """An event and when it happened, on the host's clock in seconds."""

    at: float
    note: actions.Note


class EventRing:
    """Holds a bounded number of events, by submission.

    The submission whose latest event is oldest is dropped first.

    Args:
        max_events: Events that are kept, of all submissions together.
    """

    def __init__(self, *, max_events: int) -> None:
        self._max_events = max_events
        self._events = 0
        self._notes: OrderedDict[ids.SubmissionId, list[TimedNote]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return self._events

    def add(self, noted: actions.Note, *, now: float) -> None:
        """Keeps an event, if it is about a submission."""
        if noted.submission is None:
            return
        notes = self._notes.get(noted.submission)
        if notes is None:
            notes = self._notes[noted.submission] = []
        self._notes.move_to_end(noted.submission)
        notes.append(TimedNote(now, noted))
        self._events += 1
        if len(notes) > MAX_EVENTS_PER_SUBMISSION:
            del notes[0]
            self._events -= 1
        while self._events > self._max_events:
            _, dropped = self._notes.popitem(last=False)
            self._events -= len(dropped)

    def events(self, submission: ids.SubmissionId) -> tuple[TimedNote, ...]:
        """Returns the kept events of a submission, oldest first."""
        return tuple(self._notes.get(submission, ()))
