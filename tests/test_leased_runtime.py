"""Tests of the runtime of a leased host."""

import asyncio
import unittest
import unittest.mock

from godwitnotch.core import events as peer_events
from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages
from godwitnotch.net import http_types
from godwitnotch.net import leased_api
from godwitnotch.net import leased_runtime
from tests import relay_messages


class CallerWaitTest(unittest.TestCase):
    def test_wait_that_is_no_finite_number_is_that_of_the_route(self) -> None:
        # An infinite wait went to the leader, whose decoder closed the link.
        route = unittest.mock.Mock(timeout_s=1.5)
        for header in ("inf", "-inf", "nan", "1e999", "soon"):
            with self.subTest(header=header):
                request = http_types.HttpRequest(
                    "POST", "/", headers={"x-request-deadline": header}
                )
                self.assertEqual(
                    leased_api.caller_wait_s(request, route),
                    1.5 - leased_api.ANSWER_MARGIN_S,
                )


class FaultTest(unittest.IsolatedAsyncioTestCase):
    def make_runtime(
        self, *, core, links=None, order_client=None
    ) -> leased_runtime.LeasedRuntime:
        self.on_decided = unittest.mock.Mock()
        self.on_fault = unittest.mock.Mock()
        return leased_runtime.LeasedRuntime(
            core=core,
            identity=model.KnownHost(ids.HostId("b"), ids.DomainId("d")),
            links=links or unittest.mock.Mock(),
            order_client=order_client or unittest.mock.Mock(),
            on_decided=self.on_decided,
            on_fault=self.on_fault,
        )

    async def test_order_that_meets_a_fault_has_a_result(self) -> None:
        # The core waited for the result, and the upstream wasn't used again.
        order = relay_messages.ORDERS[3]
        core = unittest.mock.Mock(leads=False)
        core.handle.side_effect = [[order], []]
        client = unittest.mock.Mock()
        client.send.side_effect = TypeError("unhashable type")
        runtime = self.make_runtime(core=core, order_client=client)
        runtime.feed(events.Ticked())
        await asyncio.sleep(0)
        ((result,), _) = core.handle.call_args
        self.assertEqual(
            result,
            events.OrderUnanswered(order.call, model.CallFailure.UNREADABLE),
        )
        ((where, _), _) = self.on_fault.call_args
        self.assertEqual(where, "sending RenewLease")

    async def test_cancel_that_meets_a_fault_is_not_taken(self) -> None:
        core = unittest.mock.Mock(leads=False)
        core.handle.side_effect = TypeError
        runtime = self.make_runtime(core=core)
        with unittest.mock.patch.object(
            leased_runtime, "CANCEL_TIMEOUT_S", 0.01
        ):
            taken = await runtime.cancel_job(model.JobName("j"))
        self.assertFalse(taken)

    async def test_fault_of_a_message_does_not_end_its_link(self) -> None:
        core = unittest.mock.Mock(leads=False)
        runtime = self.make_runtime(core=core)
        runtime._apply_copy = unittest.mock.Mock(side_effect=OverflowError)
        copy = peer_messages.ConfigurationCopy(3, b"{}")
        runtime.feed_peer(peer_events.LeasedPeerSaid(ids.HostId("a"), copy))
        self.on_fault.assert_called_once()

    async def test_hosts_without_an_address_are_not_known(self) -> None:
        # They counted as hosts, so that a small fleet was divided.
        core = unittest.mock.Mock(leads=False)
        runtime = self.make_runtime(core=core)
        runtime.add_hosts(
            model.KnownHost(ids.HostId(host), ids.DomainId("d"))
            for host in ("name:80", "127.0.0.1:99999", "127.0.0.1")
        )
        core.handle.assert_not_called()

    async def test_action_that_fails_takes_no_other_along(self) -> None:
        # A message that couldn't be encoded dropped the orders of other jobs
        # that the same event had caused; their calls then never ended.
        dropped = peer_messages.JobDropped(model.JobName("\ud800"))
        decided = actions.Decided("job_dropped")
        core = unittest.mock.Mock(leads=False)
        core.handle.return_value = [
            actions.TellPeer(ids.HostId("a"), dropped),
            decided,
        ]
        links = unittest.mock.Mock()
        links.send.side_effect = UnicodeEncodeError("utf-8", "", 0, 1, "")
        runtime = self.make_runtime(core=core, links=links)
        runtime.feed(events.Ticked())
        self.on_decided.assert_called_once_with(decided)
        ((where, _), _) = self.on_fault.call_args
        self.assertEqual(where, "executing TellPeer")
