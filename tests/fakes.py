"""Upstreams, store, links and callers' calls of a simulated world."""

import enum
import json
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.standins import table

if TYPE_CHECKING:
    from tests import sim_host


class UpstreamMode(enum.Enum):
    """What an upstream does with a request."""

    SERVES = "serves"
    FULL = "full"
    LEAVING = "leaving"
    FAILS = "fails"
    NEVER_ANSWERS = "silent"  # Starts the task and never answers.
    IGNORES_REQUESTS = "deaf"  # Takes the bytes, starts nothing, never answers.
    BREAKS_OFF = "breaks"  # Starts the task and drops the connection.
    REFUSES_CONNECTIONS = "refuses"  # Refuses connections.
    ANSWERS_OTHER_TASK = "crosses"  # Answers with the answer to another task.
    ANSWERS_TWICE = "repeats"  # Answers twice.


class StoreMode(enum.Enum):
    """What the table service does with a request."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSES_ANSWERS = "answers"
    LOSES_ACKS = "acks"  # Answers to writes only.
    LOSES_REQUESTS = "requests"
    FLAKY = "flaky"  # Loses half of the answers, at random.


@dataclass(frozen=True, slots=True)
class Start:
    """One task that an upstream began, from the upstream's own log."""

    started_at: float
    upstream: ids.UpstreamId
    host: ids.HostId
    submission: ids.SubmissionId
    task_index: int
    payload: bytes


@dataclass(slots=True)
class Call:
    """One exchange of a caller or operator with a host."""

    label: str
    sent_at: float
    host: "sim_host.SimHost"
    deadline: float
    payloads: tuple[bytes, ...] = ()
    reply: (
        actions.Reply | actions.ReplyReserved | actions.ReplyConfig | None
    ) = None
    answered_at: float = 0.0
    config: model.WorkspaceConfig | None = None

    @property
    def answer(self) -> model.JobAnswer | None:
        """The job answer, if one came."""
        if isinstance(self.reply, actions.Reply):
            return self.reply.answer
        return None


@dataclass(slots=True)
class Upstream:
    """A fake upstream."""

    entry: model.UpstreamEntry
    run_time_s: float
    mode: UpstreamMode = UpstreamMode.SERVES
    running: int = 0
    leaving_since: float | None = None


@dataclass(slots=True)
class Attempt:
    """The wire side of one request to an upstream."""

    host: "sim_host.SimHost"
    start: actions.StartAttempt
    open: bool = True

    def end(self, outcome: model.AttemptOutcome, **answer: object) -> None:
        """Tells the host how the request ended, once."""
        if self.open:
            self.open = False
            self.host.attempts.pop(self.start.attempt, None)
            self.host.deliver(
                events.AttemptEnded(self.start.attempt, outcome, **answer)
            )


@dataclass(slots=True)
class Store:
    """The table service and its faults."""

    mode: StoreMode = StoreMode.UP
    response_time_s: float = 0.0
    rows: table.Table = field(default_factory=table.Table)
    writes: int = 0


@dataclass(slots=True)
class Link:
    """A peer link between two processes."""

    ends: tuple["sim_host.SimHost", "sim_host.SimHost"]
    up: bool = True
    backlog: list[Callable[[], None]] = field(default_factory=list)


def expected_result(payload: bytes) -> bytes:
    """Returns the only right answer to a task."""
    return json.dumps({"answer to": json.loads(payload)}).encode()
