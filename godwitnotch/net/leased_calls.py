"""Sends orders to upstreams and returns the results as events."""

import asyncio
from collections.abc import Callable

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import lease_calls
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_results
from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.net import http_types
from godwitnotch.platform import fields
from godwitnotch.platform import upstreams

ORDER_TIMEOUT_S = lease_calls.CALL_TIMEOUT_S
MAX_RESPONSE_BYTES = 1024 * 1024
MAX_CONNECTION_IDLE_S = 20.0
CONNECT_TIMEOUT_S = 0.15
# A call on a new connection passes the event loop so often until its response is
# handled. While events are handled late, the upstream isn't to blame for that.
PASSES_PER_CALL = 4
# A list request that is lost must be repeated within the rest of a lease.
MAX_LATE_ALLOWANCE_S = 0.1

_HTTP_OK = 200

Order = actions.Order
OrderResult = order_results.OrderResult


OnUnreadable = Callable[[ids.UpstreamId, str], None]


def _ignore(upstream: ids.UpstreamId, cause: str) -> None:
    pass


class OrderClient:
    """Sends orders to upstreams over persistent connections.

    Args:
        on_unreadable: Called with an upstream and its response that can't be
            read, for the log.

    Attributes:
        late_s: By how much this process handles events late.
    """

    def __init__(self, on_unreadable: OnUnreadable = _ignore) -> None:
        self.late_s = 0.0
        self._on_unreadable = on_unreadable
        self._client = http_client.HttpClient(
            max_idle_s=MAX_CONNECTION_IDLE_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )

    async def send(self, order: Order) -> OrderResult:
        """Sends an order; a malformed response counts as no response."""
        timeout_s = _timeout_s(order) + min(
            MAX_LATE_ALLOWANCE_S, PASSES_PER_CALL * self.late_s
        )
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            response = await self._client.request(
                order.upstream.address,
                _request(order),
                deadline=deadline,
                max_body_bytes=MAX_RESPONSE_BYTES,
                greeting=_greeting(order),
            )
        except http_client.OtherProcessError as error:
            return _result_of_other_process(order, error.response)
        except http_connection.ExchangeError as error:
            failure = _failure(error)
            if error.progress is http_connection.Progress.SENT:
                return events.OrderUnanswered(order.call, failure)
            return _result_when_not_sent(order, failure)
        if response.status != _HTTP_OK:
            rejection = upstreams.decode_rejection(response)
            if rejection is None:
                return self._unreadable(order, f"status {response.status}")
            return events.OrderRejected(order.call, rejection)
        try:
            return _result_when_accepted(order, response)
        except fields.WrongFormatError as error:
            return self._unreadable(order, str(error))

    def _unreadable(self, order: Order, cause: str) -> events.OrderUnanswered:
        """Reports a response that proves nothing, and returns that."""
        self._on_unreadable(order.upstream.upstream, cause)
        return events.OrderUnanswered(order.call, model.CallFailure.UNREADABLE)

    async def close(self) -> None:
        """Closes all idle connections."""
        await self._client.close()


def _greeting(order: Order) -> http_client.Greeting | None:
    """Lets an order reach only the instance that it is meant for.

    A stop is sent to any instance: it can only prevent or end a run.
    """
    if isinstance(order, actions.StopRun):
        return None
    return http_client.Greeting(
        upstreams.look_request(order.upstream, order.term),
        identify=upstreams.decode_instance,
        expected=order.instance_started_ms,
    )


def _timeout_s(order: Order) -> float:
    if isinstance(order, actions.RenewLease):
        return ORDER_TIMEOUT_S + order.wait_ms / 1_000
    return ORDER_TIMEOUT_S


def _request(order: Order) -> http_types.HttpRequest:
    match order:
        case actions.StartRun():
            return upstreams.start_request(order)
        case actions.StopRun():
            return upstreams.stop_request(order)
        case actions.RenewLease():
            return upstreams.renew_request(order)


def _result_of_other_process(
    order: Order, response: http_types.HttpResponse
) -> OrderResult:
    """Returns the result of an order that was not sent, but a greeting was."""
    if response.status != _HTTP_OK:
        rejection = upstreams.decode_rejection(response)
        if rejection is not None:
            return events.OrderRejected(order.call, rejection)
    elif isinstance(order, actions.StartRun):
        return events.OrderRejected(order.call, model.OrderRejection.RESTARTED)
    else:
        try:
            return _result_when_accepted(order, response)
        except fields.WrongFormatError:
            pass
    return _result_when_not_sent(order, model.CallFailure.UNREADABLE)


def _failure(error: http_connection.ExchangeError) -> model.CallFailure:
    """Returns why an exchange failed."""
    if error.progress is http_connection.Progress.CONNECT_REFUSED:
        return model.CallFailure.REFUSED
    if error.cause is http_connection.Cause.CLOSED:
        return model.CallFailure.CLOSED
    if error.cause is not http_connection.Cause.TIMED_OUT:
        return model.CallFailure.UNREADABLE
    if error.progress is http_connection.Progress.SENT:
        return model.CallFailure.TIMED_OUT
    return model.CallFailure.NOT_CONNECTED


def _result_when_not_sent(
    order: Order, failure: model.CallFailure
) -> OrderResult:
    """Returns the result of an order of which no byte was sent."""
    if isinstance(order, actions.StartRun):
        return events.OrderRejected(order.call, model.OrderRejection.NOT_SENT)
    return events.OrderUnanswered(order.call, failure)


def _result_when_accepted(
    order: Order, response: http_types.HttpResponse
) -> OrderResult:
    if isinstance(order, actions.RenewLease):
        return events.RunsListed(
            order.call, upstreams.decode_run_list(response)
        )
    clock_ms, instance_started_ms = upstreams.decode_clock(response)
    return events.OrderTaken(order.call, clock_ms, instance_started_ms)
