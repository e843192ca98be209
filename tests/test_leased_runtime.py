"""Tests of the runtime of a leased host."""

import unittest
import unittest.mock

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages
from godwitnotch.net import http_types
from godwitnotch.net import leased_api
from godwitnotch.net import leased_runtime


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
        on_decided, on_fault = unittest.mock.Mock(), unittest.mock.Mock()
        runtime = leased_runtime.LeasedRuntime(
            core=core,
            identity=model.KnownHost(ids.HostId("b"), ids.DomainId("d")),
            links=links,
            order_client=unittest.mock.Mock(),
            on_decided=on_decided,
            on_fault=on_fault,
        )
        runtime.feed(events.Ticked())
        on_decided.assert_called_once_with(decided)
        ((where, _), _) = on_fault.call_args
        self.assertEqual(where, "executing TellPeer")
