"""What happens to a host: the inputs of the decisions."""

from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core.leased import peer_messages


@dataclass(frozen=True, slots=True)
class ReserveAsked:
    """A caller asks for a block of submission ids."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    count: int
    key: ids.CallerKey | None = None


@dataclass(frozen=True, slots=True)
class SubmitAsked:
    """A caller sends a job under a reserved id, until a deadline."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId
    body: model.JobBody
    deadline: float


@dataclass(frozen=True, slots=True)
class KeyedSubmitAsked:
    """A caller sends a job under a key of its own, until a deadline."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    key: ids.CallerKey
    body: model.JobBody
    deadline: float


@dataclass(frozen=True, slots=True)
class StatusAsked:
    """A caller asks what became of a submission."""

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
    """The caller of an exchange has hung up; its job goes on."""

    call: ids.CallId


@dataclass(frozen=True, slots=True)
class PeerUp:
    """A link to a peer is open and its greeting was accepted."""

    host: ids.HostId
    domain: ids.DomainId
    incarnation: ids.Incarnation


@dataclass(frozen=True, slots=True)
class PeerDown:
    """A link to a peer closed or went silent."""

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
    """A request to an upstream ended.

    Attributes:
        attempt: The attempt, as the action named it.
        outcome: How it ended.
        body: The upstream's answer where it gave one.
        submission: Submission id echoed by the upstream, if answered.
        task_index: Task index echoed by the upstream, if answered.
        retry_after_s: The upstream's own word on when to come back.
    """

    attempt: ids.AttemptId
    outcome: model.AttemptOutcome
    body: bytes = b""
    submission: ids.SubmissionId | None = None
    task_index: int | None = None
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class StoreCommitted:
    """A transaction took effect."""

    call: ids.StoreCallId


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """A transaction had no effect; rows are those that differed."""

    call: ids.StoreCallId
    rows: tuple[model.Row, ...]


@dataclass(frozen=True, slots=True)
class StoreRows:
    """A read or scan succeeded; absent keys come with version 0."""

    call: ids.StoreCallId
    rows: tuple[model.Row, ...]


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """An exchange failed.

    Attributes:
        call: The exchange.
        uncertain: True where a write may have taken effect.
    """

    call: ids.StoreCallId
    uncertain: bool


@dataclass(frozen=True, slots=True)
class DirectorySeen:
    """The platform's list of hosts and upstreams was read."""

    directory: model.Directory


@dataclass(frozen=True, slots=True)
class ConfigPutAsked:
    """An operator replaces a workspace's settings.

    Attributes:
        call: The exchange.
        config: The new settings; its version is the one to be recorded,
            one above the version that the operator saw.
        deadline: When the operator is answered, in force or not.
    """

    call: ids.CallId
    config: model.WorkspaceConfig
    deadline: float


@dataclass(frozen=True, slots=True)
class DrainAsked:
    """The process was asked to stop; work under way has until a deadline."""

    deadline: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Nothing happened but time; due deadlines are acted on."""


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
# What a link may bring, for either way of serving.
LinkEvent = PeerUp | PeerDown | PeerSaid | LeasedPeerSaid
