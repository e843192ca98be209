"""Packs orders and their results into messages between leader and relay."""

from collections.abc import Iterable
from collections.abc import Iterator

from godwitnotch.core.leased import actions
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_results
from godwitnotch.core.leased import peer_messages


def pack_orders(
    term: model.Term, orders: Iterable[actions.Order]
) -> peer_messages.OrdersRelayed:
    """Returns the message with orders of one term; equal specs go once."""
    specs: dict[str, int] = {}
    starts = []
    stops = []
    renewals = []
    for order in orders:
        upstream = order.upstream
        match order:
            case actions.StartRun(key=key):
                starts.append(
                    peer_messages.RelayedStart(
                        order.call,
                        upstream.upstream,
                        upstream.address,
                        key.task.job,
                        key.task.index,
                        key.run,
                        specs.setdefault(order.spec, len(specs)),
                        order.deadline_ms,
                        order.instance_started_ms,
                    )
                )
            case actions.StopRun(key=key):
                stops.append(
                    peer_messages.RelayedStop(
                        order.call,
                        upstream.upstream,
                        upstream.address,
                        key.task.job,
                        key.task.index,
                        key.run,
                    )
                )
            case actions.RenewLease():
                renewals.append(
                    peer_messages.RelayedRenewal(
                        order.call,
                        upstream.upstream,
                        upstream.address,
                        order.acknowledged_end,
                        order.deadline_ms,
                        order.wait_ms,
                        order.instance_started_ms,
                    )
                )
    return peer_messages.OrdersRelayed(
        term, tuple(specs), tuple(starts), tuple(stops), tuple(renewals)
    )


def unpack_orders(
    message: peer_messages.OrdersRelayed,
) -> Iterator[actions.Order]:
    """Yields the orders of a message; leaves out those without their spec."""
    for start in message.starts:
        if 0 <= start.spec < len(message.specs):
            yield actions.StartRun(
                start.call,
                model.UpstreamAddress(start.upstream, start.address),
                _run_key(start),
                message.specs[start.spec],
                message.term,
                start.deadline_ms,
                start.instance_started_ms,
            )
    for stop in message.stops:
        yield actions.StopRun(
            stop.call,
            model.UpstreamAddress(stop.upstream, stop.address),
            _run_key(stop),
            message.term,
        )
    for renewal in message.renewals:
        yield actions.RenewLease(
            renewal.call,
            model.UpstreamAddress(renewal.upstream, renewal.address),
            message.term,
            renewal.acknowledged_end,
            renewal.deadline_ms,
            renewal.wait_ms,
            renewal.instance_started_ms,
        )


def pack_results(
    term: model.Term, results: Iterable[order_results.OrderResult]
) -> peer_messages.OrderResults:
    """Returns the message with the results of orders of one term."""
    taken = []
    rejected = []
    unanswered = []
    lists = []
    for result in results:
        match result:
            case order_results.OrderTaken():
                taken.append(result)
            case order_results.OrderRejected():
                rejected.append(result)
            case order_results.OrderUnanswered():
                unanswered.append(result)
            case order_results.RunsListed():
                lists.append(result)
    return peer_messages.OrderResults(
        term, tuple(taken), tuple(rejected), tuple(unanswered), tuple(lists)
    )


def refuse(
    message: peer_messages.OrdersRelayed,
) -> peer_messages.OrderResults:
    """Returns the results of orders that this host doesn't send."""
    not_sent = model.OrderRejection.NOT_SENT
    refused = model.CallFailure.RELAY_REFUSED
    others = [stop.call for stop in message.stops]
    others += [renewal.call for renewal in message.renewals]
    return peer_messages.OrderResults(
        message.term,
        taken=(),
        rejected=tuple(
            order_results.OrderRejected(start.call, not_sent)
            for start in message.starts
        ),
        unanswered=tuple(
            order_results.OrderUnanswered(call, refused) for call in others
        ),
        lists=(),
    )


def _run_key(
    order: peer_messages.RelayedStart | peer_messages.RelayedStop,
) -> model.RunKey:
    return model.RunKey(model.TaskKey(order.job, order.index), order.run)
