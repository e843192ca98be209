"""The actions that a LeasedHost returns, for the runtime to execute."""

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import explanation
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages


class AnswerCaller(msgspec.Struct, frozen=True):
    """Sends the answer to the caller of a job."""

    call: ids.CallId
    answer: model.Answer


class ReportJob(msgspec.Struct, frozen=True):
    """Passes a leader's report on a job to the operator who asked for it.

    Attributes:
        call: Id of the call.
        report: The report; None without a leader.
    """

    call: ids.CallId
    report: explanation.JobReport | None


class StartRun(msgspec.Struct, frozen=True):
    """Orders the start of a run, and renews the lease until `deadline_ms`.

    The deadline is in ms of the upstream's clock, and holds for one instance of
    the upstream only.
    """

    call: model.UpstreamCallId
    upstream: model.CalledUpstream
    key: model.RunKey
    spec: str
    term: model.Term
    deadline_ms: int
    instance_started_ms: int


class StopRun(msgspec.Struct, frozen=True):
    """Orders a run to stop, or not to start if the start arrives later."""

    call: model.UpstreamCallId
    upstream: model.CalledUpstream
    key: model.RunKey
    term: model.Term


class RenewLease(msgspec.Struct, frozen=True):
    """Requests an upstream's list of runs; may also renew the lease.

    Attributes:
        call: Id of this call.
        upstream: The upstream.
        term: The leader's term; the upstream then rejects lower terms.
        acknowledged_end: Ends up to this serial number are acknowledged.
        deadline_ms: New end of the lease by the upstream's clock; None leaves
            the lease as it is.
        wait_ms: How long the upstream may wait for a run to end before it
            responds.
        instance_started_ms: When the instance started whose clock and ends are
            meant; 0 if not known.
    """

    call: model.UpstreamCallId
    upstream: model.CalledUpstream
    term: model.Term
    acknowledged_end: int
    deadline_ms: int | None
    wait_ms: int
    instance_started_ms: int


Order = StartRun | StopRun | RenewLease


class RelayOrder(msgspec.Struct, frozen=True):
    """Lets a linked host send an order of this leader to an upstream."""

    relay: ids.HostId
    order: Order


class SendForLeader(msgspec.Struct, frozen=True):
    """Sends the orders of a leader to upstreams, and the results to it.

    Attributes:
        leader: The leader.
        term: The term of the orders.
        orders: The orders.
    """

    leader: ids.HostId
    term: model.Term
    orders: tuple[Order, ...]


class AnswerCancel(msgspec.Struct, frozen=True):
    """Answers a caller who cancels a job.

    Attributes:
        call: Id of the caller's call.
        taken: Whether the job won't be started any more; if not, that isn't
            known, and the caller is to ask again.
    """

    call: ids.CallId
    taken: bool


class TellPeer(msgspec.Struct, frozen=True):
    """Sends a message to a linked host."""

    host: ids.HostId
    message: peer_messages.Message


class ReadUpstreams(msgspec.Struct, frozen=True):
    """Reads the list of upstreams now, before the next regular reading."""


class Decided(msgspec.Struct, frozen=True):
    """A decision or a change of state, for the log and the metrics.

    Attributes:
        event: Name of the log event.
        job: The job concerned; empty if none.
        reason: Second label of the metric, after the event; empty if none.
        detail: Inputs of the decision as key=value pairs.
        route: Route of the job if the metrics count the event by route, else
            empty.
        amount: What the metrics by route add.
    """

    event: str
    job: str = ""
    reason: str = ""
    detail: str = ""
    route: str = ""
    amount: int = 1


Action = (
    AnswerCaller
    | ReportJob
    | StartRun
    | StopRun
    | RenewLease
    | RelayOrder
    | SendForLeader
    | AnswerCancel
    | TellPeer
    | ReadUpstreams
    | Decided
)
