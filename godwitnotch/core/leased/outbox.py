"""Collects the actions that one event gives rise to."""

import itertools

from godwitnotch.core.leased import actions
from godwitnotch.core.leased import model


class Outbox:
    """The actions not yet handed to the caller of the decisions."""

    def __init__(self) -> None:
        self._actions: list[actions.Action] = []
        self._calls = itertools.count(1)

    def add(self, action: actions.Action) -> None:
        """Adds an action."""
        self._actions.append(action)

    def add_decision(
        self, event: str, *, job: str = "", reason: str = "", detail: str = ""
    ) -> None:
        """Adds a decision for the log and the counters."""
        self._actions.append(actions.Decided(event, job, reason, detail))

    def next_call(self) -> model.UpstreamCallId:
        """Returns a fresh name of an exchange with an upstream."""
        return model.UpstreamCallId(next(self._calls))

    def take(self) -> list[actions.Action]:
        """Returns the actions so far and forgets them."""
        taken = self._actions
        self._actions = []
        return taken
