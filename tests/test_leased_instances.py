"""Tests that a run counts as ended only when its end at the upstream is proven.

An upstream may restart under its id, at the same or another address. Its
responses to orders don't state when its process started; its lists do.
"""

import unittest
import unittest.mock

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from godwitnotch.net import http_types
from godwitnotch.net import leased_calls
from tests import leased_world

ENTRY = model.LeasedUpstream(
    upstream=ids.UpstreamId("u"),
    address="u:1",
    domain=ids.DomainId("d"),
    service=leased_world.SERVICE,
    slots=8,
    capacity=model.Resources(8_000, 8_000, 0),
    labels=("a",),
    draining=False,
)


class RejectionTest(unittest.IsolatedAsyncioTestCase):
    """Only some statuses prove that an upstream did nothing."""

    async def send_start(self, status: int, body: bytes = b"") -> object:
        order = actions.StartRun(
            model.UpstreamCallId(1),
            ENTRY,
            model.RunKey(
                model.TaskKey(model.JobName("j"), 0), model.RunNumber(1)
            ),
            "spec",
            model.Term(1),
            deadline_ms=1,
        )
        client = leased_calls.OrderClient()
        response = http_types.HttpResponse(status, body)
        with unittest.mock.patch.object(
            client._client, "request", return_value=response
        ):
            return await client.send(order)

    async def test_status_that_proves_nothing_counts_as_unanswered(
        self,
    ) -> None:
        for status in (201, 204, 301, 404, 405, 408, 500, 502, 504):
            with self.subTest(status=status):
                result = await self.send_start(status)
                self.assertIsInstance(result, events.OrderUnanswered)

    async def test_status_that_proves_no_run_is_a_rejection(self) -> None:
        for status in (400, 409, 421, 429, 503):
            with self.subTest(status=status):
                result = await self.send_start(status)
                self.assertIsInstance(result, events.OrderRejected)


if __name__ == "__main__":
    unittest.main()
