"""Relays a leader's orders at peaks of its load, as the leader or as a relay."""

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import dispatcher as dispatcher_module
from godwitnotch.core.leased import leadership as leadership_module
from godwitnotch.core.leased import order_batches
from godwitnotch.core.leased import order_relays
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import peer_messages


class Relaying:
    """Handles orders and results between a leader and its relays.

    Args:
        out: Collects the actions to execute.
        leadership: Tells which leader this host follows.
        dispatcher: Handles the results while this host leads.
        relays: The relays of this host while it leads.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        leadership: leadership_module.Leadership,
        dispatcher: dispatcher_module.Dispatcher,
        relays: order_relays.OrderRelays,
    ) -> None:
        self._out = out
        self._leadership = leadership
        self._dispatcher = dispatcher
        self._relays = relays

    def orders_received(
        self, leader: ids.HostId, message: peer_messages.OrdersRelayed
    ) -> None:
        """Sends the orders of the leader that this host follows.

        Another host may have lost its office without knowing it.
        """
        leadership = self._leadership
        if leadership.leader == leader and message.term >= leadership.term:
            orders = tuple(order_batches.unpack_orders(message))
            self._out.add(actions.SendForLeader(leader, message.term, orders))
        else:
            refusal = order_batches.refuse(message)
            self._out.add(actions.TellPeer(leader, refusal))

    def results_received(
        self,
        relay: ids.HostId,
        results: peer_messages.OrderResults,
        *,
        now: float,
    ) -> None:
        """Handles the results of calls that a relay has sent for this leader."""
        for result in results.all():
            if self._relays.take_result(relay, result, now=now):
                self._dispatcher.lease_manager.call_ended(result, now=now)
        self._dispatcher.place_waiting(now=now)

    def host_lost(self, host: ids.HostId, *, now: float) -> None:
        """Gives up the calls at a host whose link has closed."""
        for lost in self._relays.host_lost(host, now=now):
            self._dispatcher.lease_manager.order_unanswered(lost, now=now)

    def tick(self, *, now: float) -> None:
        """Begins or ends the use of relays; gives up calls without a result."""
        if not self._leadership.leads:
            return
        for lost in self._relays.take_overdue(now=now):
            self._dispatcher.lease_manager.order_unanswered(lost, now=now)
        switch = self._relays.update(
            self._leadership.relay_candidates,
            behind=self._dispatcher.processor.behind,
            now=now,
        )
        if switch is not None:
            event = "relays_started" if switch.active else "relays_ended"
            self._out.add_decision(event, detail=switch.pairs())
