"""Collects the actions that result from one event."""

from godwitnotch.core import actions
from godwitnotch.core import ids
from godwitnotch.core import model


class Outbox:
    """The actions that the host core has not returned to the runtime yet."""

    def __init__(self) -> None:
        self._actions: list[actions.Action] = []

    def add(self, action: actions.Action) -> None:
        """Adds an action."""
        self._actions.append(action)

    def note(
        self,
        event: str,
        *,
        submission: ids.SubmissionId | None = None,
        reason: model.Reason | model.AttemptOutcome | None = None,
        detail: str = "",
    ) -> None:
        """Adds a note, which records a log event."""
        self._actions.append(actions.Note(event, submission, reason, detail))

    def take(self) -> list[actions.Action]:
        """Returns the collected actions and clears the outbox."""
        taken = self._actions
        self._actions = []
        return taken
