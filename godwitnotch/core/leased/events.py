"""What happens to a host that serves leased runs: inputs of the decisions."""

from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages


@dataclass(frozen=True, slots=True)
class JobAsked:
    """A caller sent a job and waits until a deadline."""

    call: ids.CallId
    request: model.JobRequest
    deadline: float


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller of a job no longer waits."""

    call: ids.CallId


@dataclass(frozen=True, slots=True)
class CancelAsked:
    """A caller cancels a job by its name, perhaps at another host."""

    job: model.JobName


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """A list of the upstreams was read.

    Attributes:
        upstreams: Its entries.
        unreadable: Upstreams whose entries can't be read.
    """

    upstreams: tuple[model.LeasedUpstream, ...]
    unreadable: tuple[ids.UpstreamId, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerLinked:
    """A link to another host is open."""

    host: ids.HostId
    domain: ids.DomainId


@dataclass(frozen=True, slots=True)
class PeerLost:
    """The link to another host has ended."""

    host: ids.HostId


@dataclass(frozen=True, slots=True)
class PeerTold:
    """A linked host sent a message."""

    host: ids.HostId
    message: peer_messages.Message


@dataclass(frozen=True, slots=True)
class OrderTaken:
    """An upstream took an order to start or stop a run."""

    call: model.UpstreamCallId
    clock_ms: int
    instance_started_ms: int


@dataclass(frozen=True, slots=True)
class OrderRejected:
    """An upstream rejected an order or a renewal."""

    call: model.UpstreamCallId
    refusal: model.OrderRefusal


@dataclass(frozen=True, slots=True)
class OrderUnanswered:
    """No answer came; the order may be carried out, also later."""

    call: model.UpstreamCallId


@dataclass(frozen=True, slots=True)
class RunsListed:
    """An upstream answered a renewal."""

    call: model.UpstreamCallId
    runs: model.RunList


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This host is to leave."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """Some time has passed."""


Event = (
    JobAsked
    | CallerLeft
    | CancelAsked
    | UpstreamsListed
    | PeerLinked
    | PeerLost
    | PeerTold
    | OrderTaken
    | OrderRejected
    | OrderUnanswered
    | RunsListed
    | DrainStarted
    | Ticked
)
