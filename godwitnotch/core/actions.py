"""What a host is to do: the outputs of the decisions."""

from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers a caller about a job."""

    call: ids.CallId
    answer: model.JobAnswer


@dataclass(frozen=True, slots=True)
class ReplyReserved:
    """Answers a caller with reserved ids, open for `open_for_s` seconds."""

    call: ids.CallId
    submissions: tuple[ids.SubmissionId, ...]
    open_for_s: float


@dataclass(frozen=True, slots=True)
class ReplyConfig:
    """Answers an operator.

    Attributes:
        call: The exchange.
        recorded: Whether the version was recorded; None where unknown.
        current: The settings now recorded, shown on a conflict.
        lagging: Live hosts on which the version is not yet in force.
        detail: A sentence that names the cause and the remedy.
    """

    call: ids.CallId
    recorded: bool | None
    current: model.WorkspaceConfig | None
    lagging: tuple[ids.HostId, ...]
    detail: str


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Sends a message to a linked peer; lost if the link is down."""

    host: ids.HostId
    message: messages.Message


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Sends one task to an upstream, once."""

    attempt: ids.AttemptId
    upstream: ids.UpstreamId
    address: str
    path: str
    submission: ids.SubmissionId
    task_index: int
    payload: bytes
    max_answer_bytes: int
    deadline: float


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Closes the connection of an attempt."""

    attempt: ids.AttemptId


@dataclass(frozen=True, slots=True)
class StoreTransact:
    """Writes rows in one transaction."""

    call: ids.StoreCallId
    writes: tuple[model.RowWrite, ...]


@dataclass(frozen=True, slots=True)
class StoreRead:
    """Reads rows by key."""

    call: ids.StoreCallId
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoreScan:
    """Reads the rows whose key starts with a prefix."""

    call: ids.StoreCallId
    prefix: str


@dataclass(frozen=True, slots=True)
class Note:
    """Records one event in the log, the event ring and the counters.

    Attributes:
        event: Name of the event, in snake case.
        submission: The submission that it is about, if any.
        reason: The refusal or retry reason to count, if any.
        detail: Further values, already formatted as key=value pairs.
    """

    event: str
    submission: ids.SubmissionId | None = None
    reason: model.Reason | model.AttemptOutcome | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Stopped:
    """Nothing is left to do: the process may exit."""


Action = (
    Reply
    | ReplyReserved
    | ReplyConfig
    | SendPeer
    | StartAttempt
    | AbortAttempt
    | StoreTransact
    | StoreRead
    | StoreScan
    | Note
    | Stopped
)
