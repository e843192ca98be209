"""Collects orders for relays, and results for leaders, into few messages."""

import asyncio
from collections.abc import Callable

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_batches
from godwitnotch.core.leased import order_results
from godwitnotch.core.leased import peer_messages

# A message costs sender and receiver some 0.1 ms of processor time each, whatever
# it carries, and a peak brings each relay a call in 2 ms. So messages to a host
# are at least this far apart; the first after a gap goes out at once.
MIN_MESSAGE_INTERVAL_S = 0.005

Send = Callable[[ids.HostId, peer_messages.Message], object]


class OrderQueues:
    """Sends what arises at about the same time for a host in one message.

    Args:
        send: Queues a message for a linked host.
    """

    def __init__(self, send: Send) -> None:
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._flush_due = False
        self._flushed_at = float("-inf")
        self._orders: dict[
            tuple[ids.HostId, model.Term], list[actions.Order]
        ] = {}
        self._results: dict[
            tuple[ids.HostId, model.Term, int], list[order_results.OrderResult]
        ] = {}
        # Counts the openings and ends of the link to a host. A host that has
        # lost the link counts its calls as unanswered, and may have restarted
        # and use their ids again.
        self._link_changes: dict[ids.HostId, int] = {}

    def link_changed(self, host: ids.HostId) -> None:
        """Drops the results for a host whose link has opened or closed."""
        self._link_changes[host] = self.link_number(host) + 1

    def link_number(self, host: ids.HostId) -> int:
        """Returns a number that changes whenever the link to a host does."""
        return self._link_changes.get(host, 0)

    def add_order(self, relay: ids.HostId, order: actions.Order) -> None:
        """Queues an order for a relay."""
        self._orders.setdefault((relay, order.term), []).append(order)
        self._schedule_flush()

    def add_result(
        self,
        leader: ids.HostId,
        term: model.Term,
        result: order_results.OrderResult,
        *,
        link_number: int,
    ) -> None:
        """Queues a result for a leader.

        Args:
            leader: The leader that gave the order.
            term: Term of the order.
            result: The result.
            link_number: The link that has brought the order.
        """
        key = (leader, term, link_number)
        self._results.setdefault(key, []).append(result)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_due:
            return
        self._flush_due = True
        at = self._flushed_at + MIN_MESSAGE_INTERVAL_S
        if at <= self._loop.time():
            self._loop.call_soon(self._flush)
        else:
            self._loop.call_at(at, self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        self._flushed_at = self._loop.time()
        all_orders, self._orders = self._orders, {}
        all_results, self._results = self._results, {}
        for (relay, term), orders in all_orders.items():
            self._send(relay, order_batches.pack_orders(term, orders))
        for (leader, term, link_number), results in all_results.items():
            if link_number == self.link_number(leader):
                self._send(leader, order_batches.pack_results(term, results))
