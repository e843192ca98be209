"""The events that a LeasedHost handles."""

from collections.abc import Mapping

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_results
from godwitnotch.core.leased import peer_messages


class JobAsked(msgspec.Struct, frozen=True):
    """A caller has sent a job and waits for its answer until a deadline."""

    call: ids.CallId
    request: model.JobRequest
    deadline: float


class ReportAsked(msgspec.Struct, frozen=True):
    """An operator asks where a job would go now, without sending it.

    Attributes:
        call: Id of the call.
        request: The job.
        wait_s: How long its caller would wait.
    """

    call: ids.CallId
    request: model.JobRequest
    wait_s: float


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller of a job has disconnected."""

    call: ids.CallId


class CancelAsked(msgspec.Struct, frozen=True):
    """A caller cancels a job by its name; another host may own the job."""

    call: ids.CallId
    job: model.JobName


class UpstreamsListed(msgspec.Struct, frozen=True):
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


class EvacuationsRead(msgspec.Struct, frozen=True):
    """The set of evacuated failure domains was read from the store."""

    evacuated: peer_messages.DomainsEvacuated


class PeerLinked(msgspec.Struct, frozen=True):
    """A link to another host has opened."""

    host: ids.HostId
    domain: ids.DomainId


class PeerLost(msgspec.Struct, frozen=True):
    """The link to another host has closed."""

    host: ids.HostId


class PeerTold(msgspec.Struct, frozen=True):
    """A linked host has sent a message."""

    host: ids.HostId
    message: peer_messages.Message


OrderTaken = order_results.OrderTaken
OrderRejected = order_results.OrderRejected
OrderUnanswered = order_results.OrderUnanswered
RunsListed = order_results.RunsListed


class HostsCounted(msgspec.Struct, frozen=True):
    """The hosts that this host knows, linked or not.

    Attributes:
        count: Number of hosts.
        domains: Their failure domains.
    """

    count: int
    domains: frozenset[ids.DomainId]


class DrainStarted(msgspec.Struct, frozen=True):
    """This host drains: it reports not ready and lets another host lead.

    Attributes:
        answer_by: When the callers of this host must have their answers.
    """

    answer_by: float = float("inf")


class Ticked(msgspec.Struct, frozen=True):
    """The regular timer of the runtime has fired.

    Attributes:
        late_s: How long after its time the event is handled.
    """

    late_s: float = 0.0


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
