"""State charts (finite state machines) that are loaded from TOML files.

A chart file has a name, an initial state, and for each state the accepted
events with the state that each leads to:

    name = "door"
    initial = "closed"

    [states.closed]
    open = "opened"

    [states.opened]
    close = "closed"
"""

import enum
import pkgutil
import tomllib
from collections.abc import Mapping
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

_State = TypeVar("_State", bound=enum.Enum)
_Event = TypeVar("_Event", bound=enum.Enum)


class ChartError(Exception):
    """A chart file is invalid."""


class UndefinedTransitionError(Exception):
    """The chart defines no transition for an event in the current state."""

    def __init__(self, chart: str, state: str, event: str) -> None:
        super().__init__(
            f"chart {chart!r} defines no transition for event {event!r} in "
            f"state {state!r}; add it to core/charts/{chart}.toml, or don't "
            "send the event in that state"
        )
        self.chart = chart
        self.state = state
        self.event = event


class Chart(msgspec.Struct, Generic[_State, _Event], frozen=True):
    """A state machine as a transition table.

    Attributes:
        name: Name of the chart and of its file.
        initial: The initial state.
        transitions: Maps state and event to the next state.
    """

    name: str
    initial: _State
    transitions: Mapping[tuple[_State, _Event], _State]

    def next(self, state: _State, event: _Event) -> _State:
        """Returns the state that an event leads to.

        Raises:
            UndefinedTransitionError: The state doesn't accept the event.
        """
        try:
            return self.transitions[state, event]
        except KeyError:
            raise UndefinedTransitionError(
                self.name, str(state.value), str(event.value)
            ) from None

    def accepts(self, state: _State, event: _Event) -> bool:
        """Returns whether a state accepts an event."""
        return (state, event) in self.transitions


def load(
    name: str, states: type[_State], events: type[_Event]
) -> Chart[_State, _Event]:
    """Loads a chart from core/charts/.

    Args:
        name: Name of the file, without `.toml`.
        states: States of the chart; the file must describe all of them.
        events: Events of the chart; the file must use all of them.

    Raises:
        ChartError: The file is invalid, or doesn't match the states and
            events.
    """
    content = pkgutil.get_data("godwitnotch.core", f"charts/{name}.toml")
    if content is None:
        raise ChartError(f"core/charts/{name}.toml can't be read")
    return parse(content.decode(), states, events)


def parse(
    text: str, states: type[_State], events: type[_Event]
) -> Chart[_State, _Event]:
    """Parses the TOML text of a chart.

    Raises:
        ChartError: The text is invalid, or doesn't match the states and
            events.
    """
    document = _load_document(text)
    name = document["name"]
    transitions = {}
    for state_name, row in document["states"].items():
        state = _parse_member(name, states, state_name)
        for event_name, next_name in row.items():
            event = _parse_member(name, events, event_name)
            transitions[state, event] = _parse_member(name, states, next_name)
    described = {
        _parse_member(name, states, listed_name)
        for listed_name in document["states"]
    }
    _check_complete(name, states, described)
    _check_complete(name, events, {event for _, event in transitions})
    initial = _parse_member(name, states, document["initial"])
    return Chart(name, initial, transitions)


def _load_document(text: str) -> Mapping[str, Any]:
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ChartError(f"a chart must be valid TOML: {error}") from error
    expected_keys = {"name", "initial", "states"}
    if set(document) != expected_keys:
        raise ChartError(
            "a chart must have exactly the keys name, initial and states; "
            f"found {sorted(document) or 'nothing'}"
        )
    return document


_Member = TypeVar("_Member", bound=enum.Enum)


def _parse_member(
    chart: object, members: type[_Member], name: object
) -> _Member:
    try:
        return members(name)
    except ValueError:
        allowed = ", ".join(str(member.value) for member in members)
        raise ChartError(
            f"chart {chart!r} has the unknown name {name!r}; allowed: {allowed}"
        ) from None


def _check_complete(
    chart: object, members: type[_Member], used: set[_Member]
) -> None:
    missing = [str(member.value) for member in members if member not in used]
    if missing:
        raise ChartError(
            f"chart {chart!r} does not use {', '.join(missing)}; add them to "
            f"the chart, or remove them from {members.__name__}"
        )
