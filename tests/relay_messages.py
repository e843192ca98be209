"""Messages between leader and relay, for the tests of their encoding."""

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_batches
from godwitnotch.core.leased import order_results
from godwitnotch.core.leased import peer_messages

TERM = model.Term(1_700_000_000_123_456)
UPSTREAM = model.UpstreamAddress(ids.UpstreamId("i-1"), "10.1.0.2:7001")


def call(number: int) -> model.UpstreamCallId:
    """Returns the id of a call."""
    return model.UpstreamCallId(number)


def run_key(run: int, *, index: int = 0) -> model.RunKey:
    """Returns one run of a task of job j."""
    return model.RunKey(
        model.TaskKey(model.JobName("j"), index), model.RunNumber(run)
    )


ORDERS: tuple[actions.Order, ...] = (
    actions.StartRun(call(1), UPSTREAM, run_key(1), "s", TERM, 5_950, 17),
    actions.StartRun(
        call(2), UPSTREAM, run_key(2, index=3), "s", TERM, 5_950, 0
    ),
    actions.StopRun(call(3), UPSTREAM, run_key(1), TERM),
    actions.RenewLease(call(4), UPSTREAM, TERM, 12, 6_000, 300, 17),
    actions.RenewLease(call(5), UPSTREAM, TERM, 0, None, 0, 0),
)
RESULTS: tuple[order_results.OrderResult, ...] = (
    order_results.OrderTaken(call(1), 5_003, 17),
    order_results.OrderRejected(call(2), model.OrderRejection.NOT_SENT),
    order_results.OrderUnanswered(call(3), model.CallFailure.TIMED_OUT),
    order_results.RunsListed(
        call(4),
        model.RunList(
            5_100,
            17,
            (run_key(1),),
            (model.EndedRun(12, run_key(4, index=2), model.RunEnd.DONE),),
        ),
    ),
)
EXAMPLES: tuple[peer_messages.Message, ...] = (
    order_batches.pack_orders(TERM, ORDERS),
    order_batches.pack_orders(TERM, ORDERS[2:3]),
    order_batches.pack_results(TERM, RESULTS),
    order_batches.pack_results(TERM, ()),
)
