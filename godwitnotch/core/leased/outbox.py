"""Collects the actions that result from an event."""

import itertools

from godwitnotch.core.leased import actions
from godwitnotch.core.leased import model


class Outbox:
    """Actions that wait to be executed."""

    def __init__(self) -> None:
        self._actions: list[actions.Action] = []
        self._calls = itertools.count(1)

    def add(self, action: actions.Action) -> None:
        """Adds an action."""
        self._actions.append(action)

    def add_decision(
        self,
        event: str,
        *,
        job: str = "",
        reason: str = "",
        detail: str = "",
        route: str = "",
        amount: int = 1,
    ) -> None:
        """Adds a decision for the log and the metrics."""
        self._actions.append(
            actions.Decided(event, job, reason, detail, route, amount)
        )

    def next_call_id(self) -> model.UpstreamCallId:
        """Returns a new id for a call to an upstream."""
        return model.UpstreamCallId(next(self._calls))

    def take(self) -> list[actions.Action]:
        """Removes and returns all actions."""
        taken = self._actions
        self._actions = []
        return taken
