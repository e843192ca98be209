"""The results of a leader's calls to upstreams, whichever host has sent them."""

import msgspec

from godwitnotch.core.leased import model


class OrderTaken(msgspec.Struct, frozen=True):
    """An upstream has accepted an order to start or stop a run.

    Attributes:
        call: The call that carried the order.
        clock_ms: The upstream's clock when it responded.
        instance_started_ms: When the upstream's process started, by its own
            clock; 0 if not known.
    """

    call: model.UpstreamCallId
    clock_ms: int
    instance_started_ms: int


class OrderRejected(msgspec.Struct, frozen=True):
    """An upstream has rejected an order or a request for its list of runs."""

    call: model.UpstreamCallId
    rejection: model.OrderRejection


class OrderUnanswered(msgspec.Struct, frozen=True):
    """A call had no response; the upstream may still execute the order."""

    call: model.UpstreamCallId
    failure: model.CallFailure = model.CallFailure.TIMED_OUT


class RunsListed(msgspec.Struct, frozen=True):
    """An upstream has sent its list of runs, as requested."""

    call: model.UpstreamCallId
    runs: model.RunList


OrderResult = OrderTaken | OrderRejected | OrderUnanswered | RunsListed
