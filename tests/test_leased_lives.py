"""Tests that an order reaches the life of an upstream that it is meant for.

An upstream may start again under its id and at its address. It has forgotten all
runs, numbers its ends from 1 again, and its clock starts anew.
"""

import asyncio
import json
import unittest

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from godwitnotch.net import http_server
from godwitnotch.net import http_types
from godwitnotch.net import leased_calls
from tests import leased_world

FIRST_LIFE_MS = 1_700_000_000_000
SECOND_LIFE_MS = 1_700_000_009_000
KEY = model.RunKey(model.TaskKey(model.JobName("j"), 0), model.RunNumber(1))


class _Upstream:
    """A server that starts again at its address.

    Attributes:
        received: Path and body of each order of the current life.
        delay_s: How long it takes to answer a start.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.received: list[tuple[str, dict]] = []
        self._started_ms = FIRST_LIFE_MS
        self._port = 0

    async def start(self) -> model.LeasedUpstream:
        self._server = http_server.HttpServer(
            self._handle, limits=http_types.HttpLimits()
        )
        self._port = await self._server.start("127.0.0.1", self._port)
        return model.LeasedUpstream(
            upstream=ids.UpstreamId("u"),
            address=f"127.0.0.1:{self._port}",
            domain=ids.DomainId("d"),
            service=leased_world.SERVICE,
            slots=8,
            capacity=model.Resources(8_000, 8_000, 0),
            labels=("a",),
            draining=False,
        )

    async def stop(self) -> None:
        await self._server.stop(deadline=0.0)

    async def restart(self) -> None:
        await self.stop()
        self._started_ms = SECOND_LIFE_MS
        self.received.clear()
        await self.start()

    async def _handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        self.received.append((request.path, json.loads(request.body)))
        body: dict[str, object] = {"clock_ms": 5}
        if request.path == "/hold":
            body |= {"born": self._started_ms, "running": [], "finished": []}
        else:
            await asyncio.sleep(self.delay_s)
        return http_types.HttpResponse(200, json.dumps(body).encode())


class OrderClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.upstream = _Upstream()
        self.entry = await self.upstream.start()
        self.client = leased_calls.OrderClient()

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.upstream.stop()

    def paths(self) -> list[str]:
        return [path for path, _ in self.upstream.received]

    async def start_run(self) -> leased_calls.OrderResult:
        return await self.client.send(
            actions.StartRun(
                model.UpstreamCallId(1),
                self.entry,
                KEY,
                "spec",
                model.Term(1),
                deadline_ms=900,
                instance_started_ms=FIRST_LIFE_MS,
            )
        )

    async def list_runs(
        self, instance_started_ms: int
    ) -> leased_calls.OrderResult:
        return await self.client.send(
            actions.RenewLease(
                model.UpstreamCallId(2),
                self.entry,
                model.Term(1),
                acknowledged_end=57,
                deadline_ms=900,
                wait_ms=0,
                instance_started_ms=instance_started_ms,
            )
        )

    async def test_start_is_sent_to_the_life_that_it_is_meant_for(self) -> None:
        result = await self.start_run()
        self.assertIsInstance(result, events.OrderTaken)
        self.assertEqual(self.paths(), ["/hold", "/run-start"])
        await self.start_run()
        self.assertEqual(self.paths(), ["/hold", "/run-start", "/run-start"])

    async def test_upstream_is_blamed_for_the_time_that_this_host_is_late(
        self,
    ) -> None:
        self.upstream.delay_s = leased_calls.ORDER_TIMEOUT_S * 1.2
        unanswered = await self.start_run()
        self.assertIsInstance(unanswered, events.OrderUnanswered)
        self.client.late_s = 1.0
        result = await self.start_run()
        self.assertIsInstance(result, events.OrderTaken)

    async def test_start_for_a_former_life_runs_in_the_next(self) -> None:
        await self.start_run()
        await self.upstream.restart()
        result = await self.start_run()
        self.assertNotIn("/run-start", self.paths())
        self.assertEqual(
            result,
            events.OrderRejected(
                model.UpstreamCallId(1), model.OrderRejection.RESTARTED
            ),
        )

    async def test_ends_of_a_life_are_acknowledged_to_the_next(self) -> None:
        await self.list_runs(FIRST_LIFE_MS)
        await self.upstream.restart()
        result = await self.list_runs(FIRST_LIFE_MS)
        assert isinstance(result, events.RunsListed)
        self.assertEqual(result.runs.instance_started_ms, SECOND_LIFE_MS)
        for _, body in self.upstream.received:
            self.assertEqual(body["observed"], 0)
            self.assertNotIn("deadline_ms", body)

    async def test_lists_identify_their_connection(self) -> None:
        await self.list_runs(0)
        await self.list_runs(FIRST_LIFE_MS)
        await self.start_run()
        self.assertEqual(self.paths(), ["/hold", "/hold", "/run-start"])

    async def test_start_is_not_sent_if_the_life_can_not_be_told(self) -> None:
        self.upstream._started_ms = 0
        result = await self.start_run()
        self.assertIsInstance(result, events.OrderRejected)
        self.assertEqual(self.paths(), ["/hold"])


class UnseenEndTest(unittest.TestCase):
    def test_task_that_ended_well_in_a_new_life_runs_again(self) -> None:
        world = leased_world.World({"a": ["a1"]}, upstreams=1)
        world.run(2.0)
        (name,) = world.upstreams
        world.submit("a1", "first", tasks=2)
        world.run(1.01)  # The next start comes between two ticks.
        world.restart_upstream(name)
        call = world.submit("a1", "second", tasks=2, wait_s=4.0)
        world.run(0.005)
        # The first list from the new life is lost, and the runs end meanwhile.
        pair = frozenset(("a1", name))
        world.cut_pairs.add(pair)
        world.run(0.3)
        world.cut_pairs.discard(pair)
        world.run(4.0)
        self.assertEqual(world.answers[call][1].end, model.JobEnd.COMPLETED)
        self.assertEqual(world.start_count("second"), 2)


if __name__ == "__main__":
    unittest.main()
