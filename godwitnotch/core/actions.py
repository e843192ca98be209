"""Actions: what the host core asks the runtime to do."""

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model


class Reply(msgspec.Struct, frozen=True):
    """Sends a caller the answer about its job."""

    call: ids.CallId
    answer: model.JobAnswer


class ReplyReserved(msgspec.Struct, frozen=True):
    """Sends a caller its reserved ids.

    Attributes:
        call: Id of the caller's call.
        submissions: The reserved ids.
        open_for_s: How long a job can be submitted under the ids, in
            seconds.
    """

    call: ids.CallId
    submissions: tuple[ids.SubmissionId, ...]
    open_for_s: float


class ReplyConfig(msgspec.Struct, frozen=True):
    """Replies to an operator who replaces a workspace's settings.

    Attributes:
        call: Id of the operator's call.
        recorded: Whether the new version is in the store; None if unknown.
        current: The settings that are now in the store, if known.
        lagging: Live hosts that have not yet applied the version.
        detail: The cause of the result and what the operator can do.
    """

    call: ids.CallId
    recorded: bool | None
    current: model.WorkspaceConfig | None
    lagging: tuple[ids.HostId, ...]
    detail: str


class SendPeer(msgspec.Struct, frozen=True):
    """Sends a message to a linked peer; it is lost if the link is down."""

    host: ids.HostId
    message: messages.Message


class StartAttempt(msgspec.Struct, frozen=True):
    """Sends one task to an upstream; the runtime must not send it again.

    Attributes:
        attempt: Number of the attempt.
        upstream: The upstream.
        address: Address of the upstream.
        path: Request path at the upstream.
        submission: Submission id of the task's job.
        task_index: Index of the task in its job.
        payload: Request body: the task's JSON text.
        max_answer_bytes: Maximum size of the upstream's response.
        deadline: When the attempt times out.
    """

    attempt: ids.AttemptId
    upstream: ids.UpstreamId
    address: str
    path: str
    submission: ids.SubmissionId
    task_index: int
    payload: bytes
    max_answer_bytes: int
    deadline: float


class AbortAttempt(msgspec.Struct, frozen=True):
    """Aborts an attempt by closing its connection."""

    attempt: ids.AttemptId


class StoreTransact(msgspec.Struct, frozen=True):
    """Writes rows of the store in one transaction."""

    call: ids.StoreCallId
    writes: tuple[model.RowWrite, ...]


class StoreRead(msgspec.Struct, frozen=True):
    """Reads rows of the store by key."""

    call: ids.StoreCallId
    keys: tuple[str, ...]


class StoreScan(msgspec.Struct, frozen=True):
    """Reads the rows of the store whose key starts with a prefix."""

    call: ids.StoreCallId
    prefix: str


class Note(msgspec.Struct, frozen=True):
    """Records a log event in the log, the event ring and the metrics.

    Attributes:
        event: Name of the log event, in snake case.
        submission: The submission that the log event is about, if any.
        reason: The reason of the refusal, failure or retry, if any.
        detail: Further values, formatted as key=value pairs.
    """

    event: str
    submission: ids.SubmissionId | None = None
    reason: model.Reason | model.AttemptOutcome | None = None
    detail: str = ""


class Stopped(msgspec.Struct, frozen=True):
    """Reports that the drain is complete and the process may exit."""


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
