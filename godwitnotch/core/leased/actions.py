"""What a host is to do about leased runs: the outputs of the decisions."""

from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Answers the caller that waits for a job."""

    call: ids.CallId
    answer: model.Answer


@dataclass(frozen=True, slots=True)
class StartRun:
    """Orders a run; its upstream's clock shows `deadline_ms` at the latest."""

    call: model.UpstreamCallId
    upstream: model.LeasedUpstream
    key: model.RunKey
    spec: str
    term: model.Term
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Orders the end of a run, and forbids it if it isn't there yet."""

    call: model.UpstreamCallId
    upstream: model.LeasedUpstream
    key: model.RunKey
    term: model.Term


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Asks what runs at an upstream, and renews the lease on all of it.

    Attributes:
        call: Names this exchange.
        upstream: Whom to ask.
        term: Orders with lower terms are rejected from now on.
        acknowledged_end: Ends up to this number are acknowledged.
        deadline_ms: New end of the lease by the upstream's clock; None leaves
            the lease as it is.
        wait_ms: The upstream waits so long for an end before it answers.
    """

    call: model.UpstreamCallId
    upstream: model.LeasedUpstream
    term: model.Term
    acknowledged_end: int
    deadline_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Sends a message to a linked host."""

    host: ids.HostId
    message: peer_messages.Message


@dataclass(frozen=True, slots=True)
class Decided:
    """One decision or change of belief, for the log and the counters.

    Attributes:
        event: What was decided.
        job: The job that it is about, or empty.
        reason: One word that is counted with the event, or empty.
        detail: Inputs of the decision as key=value pairs.
    """

    event: str
    job: str = ""
    reason: str = ""
    detail: str = ""


Action = AnswerCaller | StartRun | StopRun | RenewLease | TellPeer | Decided
