"""The events that a LeasedHost handles."""

from collections.abc import Mapping
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_results
from godwitnotch.core.leased import peer_messages


@dataclass(frozen=True, slots=True)
class JobAsked:
    """A caller has sent a job and waits for its answer until a deadline."""

    call: ids.CallId
    request: model.JobRequest
    deadline: float


@dataclass(frozen=True, slots=True)
class ReportAsked:
    """An operator asks where a job would go now, without sending it.

    Attributes:
        call: Id of the call.
        request: The job.
        wait_s: How long its caller would wait.
    """

    call: ids.CallId
    request: model.JobRequest
    wait_s: float


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller of a job has disconnected."""

    call: ids.CallId


@dataclass(frozen=True, slots=True)
class CancelAsked:
    """A caller cancels a job by its name; another host may own the job."""

    job: model.JobName


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """The list of upstreams was read from the store or sent by the leader.

    Attributes:
        upstreams: The readable entries.
        unreadable: Upstreams whose entries can't be decoded.
        cold_remaining_ms: How much longer upstreams remain slow after their
            start; others aren't slow. None if the sender doesn't tell.
    """

    upstreams: tuple[model.LeasedUpstream, ...]
    unreadable: tuple[ids.UpstreamId, ...] = ()
    cold_remaining_ms: Mapping[ids.UpstreamId, int] | None = None


@dataclass(frozen=True, slots=True)
class EvacuationsRead:
    """The set of evacuated failure domains was read from the store."""

    evacuated: peer_messages.DomainsEvacuated


@dataclass(frozen=True, slots=True)
class PeerLinked:
    """A link to another host has opened."""

    host: ids.HostId
    domain: ids.DomainId


@dataclass(frozen=True, slots=True)
class PeerLost:
    """The link to another host has closed."""

    host: ids.HostId


@dataclass(frozen=True, slots=True)
class PeerTold:
    """A linked host has sent a message."""

    host: ids.HostId
    message: peer_messages.Message


OrderTaken = order_results.OrderTaken
OrderRejected = order_results.OrderRejected
OrderUnanswered = order_results.OrderUnanswered
RunsListed = order_results.RunsListed


@dataclass(frozen=True, slots=True)
class HostsCounted:
    """The hosts that this host knows, linked or not.

    Attributes:
        count: Number of hosts.
        domains: Their failure domains.
    """

    count: int
    domains: frozenset[ids.DomainId]


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This host drains: it reports not ready and lets another host lead."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """The regular timer of the runtime has fired."""


Event = (
    JobAsked
    | ReportAsked
    | CallerLeft
    | CancelAsked
    | UpstreamsListed
    | EvacuationsRead
    | PeerLinked
    | PeerLost
    | PeerTold
    | OrderTaken
    | OrderRejected
    | OrderUnanswered
    | RunsListed
    | HostsCounted
    | DrainStarted
    | Ticked
)
