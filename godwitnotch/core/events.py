"""Events: the inputs of the host core."""

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core.leased import peer_messages


class ReserveAsked(msgspec.Struct, frozen=True):
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


class SubmitAsked(msgspec.Struct, frozen=True):
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


class KeyedSubmitAsked(msgspec.Struct, frozen=True):
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


class StatusAsked(msgspec.Struct, frozen=True):
    """A caller asks for the status of a submission."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId


class CancelAsked(msgspec.Struct, frozen=True):
    """A caller cancels a submission."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId


class CallerGone(msgspec.Struct, frozen=True):
    """A caller closed its connection; its job continues."""

    call: ids.CallId


class PeerUp(msgspec.Struct, frozen=True):
    """A link to a peer is open and the handshake has succeeded."""

    host: ids.HostId
    domain: ids.DomainId
    incarnation: ids.Incarnation


class PeerDown(msgspec.Struct, frozen=True):
    """A link to a peer was closed, for example because the peer was silent."""

    host: ids.HostId


class PeerSaid(msgspec.Struct, frozen=True):
    """A message arrived from a linked peer."""

    host: ids.HostId
    message: messages.Message


class LeasedPeerSaid(msgspec.Struct, frozen=True):
    """A message about leased runs arrived from a linked peer."""

    host: ids.HostId
    message: peer_messages.Message


class AttemptEnded(msgspec.Struct, frozen=True):
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


class StoreCommitted(msgspec.Struct, frozen=True):
    """A transaction of the store was committed."""

    call: ids.StoreCallId


class StoreConflict(msgspec.Struct, frozen=True):
    """A transaction was rejected and wrote nothing.

    Attributes:
        call: Id of the store call.
        rows: The current rows whose version is not the expected version.
    """

    call: ids.StoreCallId
    rows: tuple[model.Row, ...]


class StoreRows(msgspec.Struct, frozen=True):
    """A read or scan of the store succeeded.

    Attributes:
        call: Id of the store call.
        rows: The rows; absent rows that were read by key have version 0.
    """

    call: ids.StoreCallId
    rows: tuple[model.Row, ...]


class StoreFailed(msgspec.Struct, frozen=True):
    """A store call failed.

    Attributes:
        call: Id of the store call.
        uncertain: Whether a write may have taken effect despite the failure.
    """

    call: ids.StoreCallId
    uncertain: bool


class DirectorySeen(msgspec.Struct, frozen=True):
    """A directory arrived, from the platform or from a peer."""

    directory: model.Directory


class ConfigPutAsked(msgspec.Struct, frozen=True):
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


class DrainAsked(msgspec.Struct, frozen=True):
    """The process was asked to stop.

    Attributes:
        deadline: When the remaining jobs are aborted.
    """

    deadline: float


class TimePassed(msgspec.Struct, frozen=True):
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
