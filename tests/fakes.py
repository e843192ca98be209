"""Fake upstreams, store, links and calls of a simulated world."""

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
    """How an upstream handles requests."""

    SERVES = "serves"
    FULL = "full"
    LEAVING = "leaving"
    FAILS = "fails"
    NEVER_ANSWERS = "silent"  # Starts the task and never responds.
    IGNORES_REQUESTS = "deaf"  # Starts no task and never responds.
    BREAKS_OFF = "breaks"  # Starts the task and drops the connection.
    REFUSES = "refuses"  # Refuses connections.
    ANSWERS_OTHER_TASK = "crosses"  # Returns the result of another task.
    ANSWERS_TWICE = "repeats"


class StoreMode(enum.Enum):
    """How the store handles requests."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSES_RESPONSES = "answers"
    LOSES_ACKS = "acks"  # Loses only the responses to writes.
    LOSES_REQUESTS = "requests"
    FLAKY = "flaky"  # Loses half of the responses, at random.


@dataclass(frozen=True, slots=True)
class Start:
    """The start of a task, as logged by the upstream."""

    started_at: float
    upstream: ids.UpstreamId
    host: ids.HostId
    submission: ids.SubmissionId
    task_index: int
    payload: bytes


@dataclass(slots=True)
class Call:
    """A call of a caller or operator to a host.

    Attributes:
        label: Name of the call in the scenario.
        sent_at: When the call was sent.
        host: The host that was called.
        deadline: When the answer is due.
        payloads: Payloads of the job's tasks.
        reply: The reply; None until the reply arrives.
        answered_at: When the reply arrived.
        config: The settings that a configuration change puts.
    """

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
        """The answer to the job; None if there is none."""
        if isinstance(self.reply, actions.Reply):
            return self.reply.answer
        return None


@dataclass(slots=True)
class Upstream:
    """A fake upstream.

    Attributes:
        entry: The entry in the platform's list.
        run_time_s: Run time of a task.
        mode: How the upstream handles requests.
        running: Number of running tasks.
        leaving_since: When the upstream was marked as leaving.
    """

    entry: model.UpstreamEntry
    run_time_s: float
    mode: UpstreamMode = UpstreamMode.SERVES
    running: int = 0
    leaving_since: float | None = None


@dataclass(slots=True)
class Attempt:
    """A request of a host to an upstream."""

    host: "sim_host.SimHost"
    start: actions.StartAttempt
    open: bool = True

    def end(self, outcome: model.AttemptOutcome, **answer: object) -> None:
        """Reports the end of the request to the host, at most once."""
        if self.open:
            self.open = False
            self.host.attempts.pop(self.start.attempt, None)
            self.host.deliver(
                events.AttemptEnded(self.start.attempt, outcome, **answer)
            )


@dataclass(slots=True)
class Store:
    """The store and its faults.

    Attributes:
        mode: How the store handles requests.
        response_time_s: Response time in mode SLOW.
        rows: The stored rows.
        writes: Number of write requests that took effect.
    """

    mode: StoreMode = StoreMode.UP
    response_time_s: float = 0.0
    rows: table.Table = field(default_factory=table.Table)
    writes: int = 0


@dataclass(slots=True)
class Link:
    """A peer link between two processes.

    Attributes:
        ends: The two processes.
        up: Whether the link is open.
        backlog: Callbacks that deliver the messages sent during a cut.
    """

    ends: tuple["sim_host.SimHost", "sim_host.SimHost"]
    up: bool = True
    backlog: list[Callable[[], None]] = field(default_factory=list)


def expected_result(payload: bytes) -> bytes:
    """Returns the only correct result of a task."""
    return json.dumps({"answer to": json.loads(payload)}).encode()
