"""Keeps the latest notes of recent submissions in memory."""

from collections import OrderedDict

import msgspec

from godwitnotch.core import actions
from godwitnotch.core import ids

MAX_NOTES_PER_SUBMISSION = 512


class TimedNote(msgspec.Struct, frozen=True):
    """A note and its time on the host's clock, in seconds."""

    time_s: float
    note: actions.Note


class EventRing:
    """Keeps a bounded number of notes, grouped by submission.

    When there are too many notes, evicts all notes of the submission that has
    had no new note for the longest time.

    Args:
        max_notes: Maximum number of notes of all submissions together.
    """

    def __init__(self, *, max_notes: int) -> None:
        self._max_notes = max_notes
        self._note_count = 0
        self._notes_by_submission: OrderedDict[
            ids.SubmissionId, list[TimedNote]
        ] = OrderedDict()

    def __len__(self) -> int:
        return self._note_count

    def add(self, note: actions.Note, *, now: float) -> None:
        """Adds a note; ignores notes without a submission."""
        if note.submission is None:
            return
        kept = self._notes_by_submission.get(note.submission)
        if kept is None:
            kept = self._notes_by_submission[note.submission] = []
        self._notes_by_submission.move_to_end(note.submission)
        kept.append(TimedNote(now, note))
        self._note_count += 1
        if len(kept) > MAX_NOTES_PER_SUBMISSION:
            del kept[0]
            self._note_count -= 1
        while self._note_count > self._max_notes:
            _, evicted = self._notes_by_submission.popitem(last=False)
            self._note_count -= len(evicted)

    def notes(self, submission: ids.SubmissionId) -> tuple[TimedNote, ...]:
        """Returns the kept notes of a submission, oldest first."""
        return tuple(self._notes_by_submission.get(submission, ()))
