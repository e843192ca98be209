"""Tests that an order reaches the life of an upstream that it is meant for.

An upstream may start again under its id and at its address. It has forgotten all
runs, numbers its ends from 1 again, and its clock starts anew.
"""

import asyncio
import json
import unittest

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import cold_upstreams
from godwitnotch.core.leased import events
from godwitnotch.core.leased import evidence
from godwitnotch.core.leased import health
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import listing
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import placement
from godwitnotch.core.leased import run_times
from godwitnotch.net import http_server
from godwitnotch.net import http_types
from godwitnotch.net import leased_calls
from tests import leased_world
from tests import test_leased_decisions
from tests import test_leased_instances

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

    def test_former_kind_counts_until_the_entry_is_of_the_new_life(
        self,
    ) -> None:
        # Tasks that required a label started on an upstream of another kind.
        world = leased_world.World({"a": ["a1"]}, upstreams=4)
        kinds = ("x", "y")
        for number, name in enumerate(world.upstreams):
            world.restart_upstream(name, labels=(kinds[number % 2],))
        world.run(2.0)
        calls = []
        for number in range(240):
            if number % 40 == 20:
                name = tuple(world.upstreams)[number // 40 % 4]
                (kind,) = world.upstreams[name].entry.labels
                other = "y" if kind == "x" else "x"
                world.restart_upstream(
                    name, labels=(other,), listed_after_s=0.2
                )
            calls.append(
                world.submit("a1", f"j{number}", label=kinds[number % 2])
            )
            world.run(0.05)
        world.run(3.0)
        for _, run in world.started_runs:
            required = kinds[int(run.key.task.job[1:]) % 2]
            self.assertIn(required, run.labels, run.key)
        ends = [world.answers[call][1].end for call in calls]
        self.assertEqual(ends.count(model.JobEnd.COMPLETED), len(calls))

    def test_upstream_is_used_as_soon_as_its_entry_is_listed(self) -> None:
        # The next regular reading of the list comes up to 0.6 s later.
        world = leased_world.World({"a": ["a1"]}, upstreams=1)
        world.run(2.01)
        (name,) = world.upstreams
        world.submit("a1", "first")
        world.run(0.02)
        world.restart_upstream(name, labels=("other",))
        world.submit("a1", "second", label="other")
        world.run(0.15)
        self.assertEqual(world.start_count("second"), 1)


class HeldRoomTest(unittest.TestCase):
    """All upstreams restart, and their entries come late or never."""

    def setUp(self) -> None:
        self.world = leased_world.World({"a": ["a1"]}, upstreams=2)
        self.world.run(2.0)

    def restart_all(self, *, listed_after_s: float) -> None:
        for name in self.world.upstreams:
            self.world.restart_upstream(name, listed_after_s=listed_after_s)

    def test_job_waits_for_the_entries(self) -> None:
        # It was refused, as if no upstream had room.
        self.restart_all(listed_after_s=0.3)
        call = self.world.submit("a1", "first", tasks=2)
        self.world.run(1.5)
        end = self.world.answers[call][1].end
        self.assertEqual(end, model.JobEnd.COMPLETED)

    def test_jobs_are_refused_if_no_entry_comes(self) -> None:
        self.restart_all(listed_after_s=60.0)
        self.world.submit("a1", "first")
        self.world.run(4.0)
        call = self.world.submit("a1", "second", wait_s=3.0)
        self.world.run(0.2)
        answer = self.world.answers[call][1]
        self.assertEqual(answer.end, model.JobEnd.REFUSED)
        self.assertEqual(self.world.start_count("second"), 0)


class EntryTest(test_leased_instances.ManagerTest):
    def entry(self, started_ms: int, **values: object) -> model.LeasedUpstream:
        return msgspec.structs.replace(
            test_leased_instances.ENTRY,
            instance_started_ms=started_ms,
            **values,
        )

    def test_entry_of_the_former_life_gives_no_room(self) -> None:
        self.manager.update_upstreams([self.entry(1_000)], now=self.now)
        (request,) = self.accept(self.start(0))
        self.list_runs(request, instance=2_000)
        self.assertFalse(self.lease.accepts_runs())
        self.assertEqual(
            self.listener.restarted, [self.lease.upstream.upstream]
        )
        smaller = model.Resources(500, 500, 0)
        self.manager.update_upstreams(
            [self.entry(2_000, capacity=smaller)], now=self.now
        )
        self.assertTrue(self.lease.accepts_runs())
        self.assertEqual(self.lease.free_resources, smaller)

    def test_list_is_read_when_a_new_life_responds(self) -> None:
        self.manager.update_upstreams([self.entry(1_000)], now=self.now)
        (request,) = self.accept(self.start(0))
        self.list_runs(request, instance=2_000)
        self.assertEqual(len(self.take(actions.ReadUpstreams)), 1)

    def test_entry_of_a_life_that_has_not_responded_gives_no_room(self) -> None:
        # The upstream isn't asked for long while it has no runs.
        self.manager.update_upstreams([self.entry(2_000)], now=self.now)
        self.assertFalse(self.lease.accepts_runs())
        (request,) = self.take(actions.RenewLease)
        self.list_runs(request, instance=2_000)
        self.assertTrue(self.lease.accepts_runs())

    def test_life_is_known_before_the_entry_of_a_new_leader(self) -> None:
        self.manager.start_leading(
            model.Term(8), [self.entry(1_000)], now=self.now
        )
        self.manager.end_claim_period(now=self.now)
        (request,) = self.take(actions.RenewLease)
        self.list_runs(request, instance=2_000)
        self.assertIs(self.lease.state, lease.LeaseState.HELD)
        self.assertFalse(self.lease.accepts_runs())


class LearntTest(unittest.TestCase):
    """What a former life has shown says nothing of the next."""

    NAME = ids.UpstreamId("slow")

    def setUp(self) -> None:
        self.times = run_times.RunTimes()
        self.health = health.UpstreamHealth()
        self.evidence = evidence.EvidenceSharing(self.times, self.health)
        self.evidence.follow_listing({self.NAME: 1_000})
        self.times.set_slowness(self.NAME, 8.0)
        for job in ("one", "two"):
            self.health.run_failed(self.NAME, model.JobName(job), now=0.0)

    def assert_learnt(self, *, slowness: float, ejected: bool) -> None:
        self.assertAlmostEqual(self.times.learnt_slowness(self.NAME), slowness)
        self.assertEqual(self.health.half_open(self.NAME), ejected)

    def test_listed_restart_makes_it_void(self) -> None:
        self.evidence.follow_listing({self.NAME: 1_000})
        self.assert_learnt(slowness=8.0, ejected=True)
        self.evidence.follow_listing({self.NAME: 2_000})
        self.assert_learnt(slowness=1.0, ejected=False)

    def test_restart_that_a_response_shows_makes_it_void(self) -> None:
        self.evidence.forget(self.NAME)
        self.assert_learnt(slowness=1.0, ejected=False)

    def test_it_stays_while_the_life_is_not_known(self) -> None:
        self.evidence.follow_listing({self.NAME: 0})
        self.assert_learnt(slowness=8.0, ejected=True)

    def test_removed_upstream_that_returns_in_a_new_life(self) -> None:
        listed = listing.UpstreamListing(now=0.0)
        entry = test_leased_instances.ENTRY
        first = msgspec.structs.replace(entry, instance_started_ms=1_000)
        second = msgspec.structs.replace(entry, instance_started_ms=2_000)
        listed.update((first,), now=1.0)
        listed.update((), now=2.0)
        listed.update((), now=8.0)
        self.assertEqual(listed.instances, {entry.upstream: 1_000})
        listed.update((second,), now=9.0)
        self.assertEqual(listed.instances, {entry.upstream: 2_000})

    def test_new_life_is_cold_anew(self) -> None:
        # With the same remaining time it counted as warm at once.
        cold = cold_upstreams.ColdUpstreams()
        cold.update({self.NAME: 2_000}, {self.NAME: 1_000}, now=0.0)
        cold.update({self.NAME: 2_000}, {self.NAME: 1_000}, now=3.0)
        self.assertFalse(cold.is_cold(self.NAME, now=3.0))
        cold.update({self.NAME: 2_000}, {self.NAME: 2_000}, now=3.5)
        self.assertTrue(cold.is_cold(self.NAME, now=5.0))

    def test_task_may_run_on_the_next_life_of_an_excluded_upstream(
        self,
    ) -> None:
        held = test_leased_decisions.held_lease("one")
        held.follow_instance(1_000, sent_at=0.0, now=0.0)
        job = test_leased_decisions.make_job()
        task = job.tasks[0]
        task.excluded_instances.add(held.instance)
        chooser = placement.Placement(self.times, self.health)
        self.assertIsNone(chooser.choose(job, task, [held], now=1.0))
        held.follow_instance(2_000, sent_at=1.0, now=1.0)
        self.assertIs(chooser.choose(job, task, [held], now=2.0), held)


class FormerReleaseTest(unittest.TestCase):
    def test_list_of_a_host_that_states_no_lives_is_used(self) -> None:
        entry = test_leased_instances.ENTRY
        values = msgspec.structs.astuple(entry)[:-1]
        copy = peer_messages.UpstreamsCopy(
            (peer_messages.UpstreamEntry(*values),)
        )
        self.assertEqual(copy.listed(), (entry,))


if __name__ == "__main__":
    unittest.main()
