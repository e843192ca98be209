"""Events: the inputs of the host core."""

from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core.leased import peer_messages


@dataclass(frozen=True, slots=True)
class ReserveAsked:
    """A caller reserves submission ids.

    Attributes:
        call: Id of the caller's call.
        workspace: The caller's workspace.
        count: Number of ids to reserve.
        key: The idempotency key to bind to the id, if the caller sent one;
            `count` must then be 1.
    """

    call: ids.CallId
    workspace: ids.WorkspaceId
    count: int
    key: ids.IdempotencyKey | None = None


@dataclass(frozen=True, slots=True)
class SubmitAsked:
    """A caller submits a job under a reserved id.

    Attributes:
        call: Id of the caller's call.
        workspace: The caller's workspace.
        submission: The reserved id.
        body: The job.
        deadline: When the caller stops waiting.
    """

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId
    body: model.JobBody
    deadline: float


@dataclass(frozen=True, slots=True)
class KeyedSubmitAsked:
    """A caller submits a job under an idempotency key.

    Attributes:
        call: Id of the caller's call.
        workspace: The caller's workspace.
        key: The idempotency key that the caller chose.
        body: The job.
        deadline: When the caller stops waiting.
    """

    call: ids.CallId
    workspace: ids.WorkspaceId
    key: ids.IdempotencyKey
    body: model.JobBody
    deadline: float


@dataclass(frozen=True, slots=True)
class StatusAsked:
    """A caller asks for the status of a submission."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId


@dataclass(frozen=True, slots=True)
class CancelAsked:
    """A caller cancels a submission."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId


@dataclass(frozen=True, slots=True)
class CallerGone:
    """A caller closed its connection; its job continues."""

    call: ids.CallId


@dataclass(frozen=True, slots=True)
class PeerUp:
    """A link to a peer is open and the handshake has succeeded."""

    host: ids.HostId
    domain: ids.DomainId
    incarnation: ids.Incarnation


@dataclass(frozen=True, slots=True)
class PeerDown:
    """A link to a peer was closed, for example because the peer was silent."""

    host: ids.HostId


@dataclass(frozen=True, slots=True)
class PeerSaid:
    """A message arrived from a linked peer."""

    host: ids.HostId
    message: messages.Message


@dataclass(frozen=True, slots=True)
class LeasedPeerSaid:
    """A message about leased runs arrived from a linked peer."""

    host: ids.HostId
    message: peer_messages.Message


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt (one request to an upstream) ended.

    Attributes:
        attempt: Number of the attempt, as given in `StartAttempt`.
        outcome: How the attempt ended.
        body: Body of the upstream's response; empty if there was none.
        submission: Submission id in the upstream's response, if any.
        task_index: Task index in the upstream's response, if any.
        retry_after_s: When to try this upstream again, in seconds from now;
            None if the upstream's response doesn't say.
    """

    attempt: ids.AttemptId
    outcome: model.AttemptOutcome
    body: bytes = b""
    submission: ids.SubmissionId | None = None
    task_index: int | None = None
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class StoreCommitted:
    """A transaction of the store was committed."""

    call: ids.StoreCallId


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """A transaction was rejected and wrote nothing.

    Attributes:
        call: Id of the store call.
        rows: The current rows whose version is not the expected version.
    """

    call: ids.StoreCallId
    rows: tuple[model.Row, ...]


@dataclass(frozen=True, slots=True)
class StoreRows:
    """A read or scan of the store succeeded.

    Attributes:
        call: Id of the store call.
        rows: The rows; absent rows that were read by key have version 0.
    """

    call: ids.StoreCallId
    rows: tuple[model.Row, ...]


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """A store call failed.

    Attributes:
        call: Id of the store call.
        uncertain: Whether a write may have taken effect despite the failure.
    """

    call: ids.StoreCallId
    uncertain: bool


@dataclass(frozen=True, slots=True)
class DirectorySeen:
    """A directory arrived, from the platform or from a peer."""

    directory: model.Directory


@dataclass(frozen=True, slots=True)
class ConfigPutAsked:
    """An operator replaces a workspace's settings.

    Attributes:
        call: Id of the operator's call.
        config: The new settings. Their version is one above the version that
            the operator has read.
        deadline: When the operator gets a reply at the latest, even if some
            hosts have not applied the settings yet.
    """

    call: ids.CallId
    config: model.WorkspaceConfig
    deadline: float


@dataclass(frozen=True, slots=True)
class DrainAsked:
    """The process was asked to stop.

    Attributes:
        deadline: When the remaining jobs are aborted.
    """

    deadline: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """The time that `HostCore.next_deadline` returned has come."""


Event = (
    ReserveAsked
    | SubmitAsked
    | KeyedSubmitAsked
    | StatusAsked
    | CancelAsked
    | CallerGone
    | PeerUp
    | PeerDown
    | PeerSaid
    | AttemptEnded
    | StoreCommitted
    | StoreConflict
    | StoreRows
    | StoreFailed
    | DirectorySeen
    | ConfigPutAsked
    | DrainAsked
    | TimePassed
)
# All events of peer links, including those about leased runs.
LinkEvent = PeerUp | PeerDown | PeerSaid | LeasedPeerSaid
