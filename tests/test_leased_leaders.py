"""Tests that changes of the leader start no task twice at the same time."""

import unittest

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from tests import leased_faults
from tests import leased_world
from tests import test_leased_histories

DOMAINS = {"a": ["a1", "a2"], "b": ["b1", "b2"], "c": ["c1", "c2"]}
# After this time a host knows which upstreams have left the list.
START_UP_S = 31.0


def start_world() -> leased_faults.FaultyWorld:
    world = leased_faults.FaultyWorld(DOMAINS)
    world.run(START_UP_S)
    return world


class TwoLeadersTest(unittest.TestCase):
    def test_idle_lease_is_no_proof_that_another_leader_started_nothing(
        self,
    ) -> None:
        world = start_world()
        self.lead_from_c1(world)
        world.run_time_ms = 900.0
        call = world.submit("b1", "moved", wait_s=4.0)
        world.run(0.05)
        self.assertEqual(world.start_count("moved"), 1)
        world.partition({"b1"}, {"c1"})
        world.run(4.0)
        self.assertEqual(world.overlaps(), [])
        self.assertEqual(world.answers[call][1].end, model.JobEnd.COMPLETED)

    def test_leader_that_an_owner_has_left_stops_its_runs(self) -> None:
        world = start_world()
        self.cut_c_off(world)
        world.run(1.2)
        world.run_time_ms = 4_000.0
        world.submit("b1", "left", wait_s=6.0)
        world.run(6.0)
        self.assertEqual(sorted(world.leaders()), ["a1", "c1"])
        self.assertGreater(world.start_count("left"), 1)
        self.assertEqual(world.overlaps(), [])

    def test_leader_that_leads_again_doesnt_order_its_adopted_runs_again(
        self,
    ) -> None:
        world = start_world()
        self.cut_c_off(world)
        world.run(1.2)
        world.run_time_ms = 8_000.0
        group = msgspec.structs.replace(
            leased_world.request("j", 2, estimate_ms=8_000.0).tasks,
            preferred_rack="rack-c",
        )
        request = msgspec.structs.replace(
            leased_world.request("j"), tasks=group
        )
        asked = events.JobAsked(ids.CallId(1_000), request, world.now + 12.0)
        world.deliver("b1", asked)
        # c1 adopts the runs. Then a1 leads again, without their upstream.
        world.run(2.0)
        self.assertEqual(world.leaders(), ["c1"])
        world.partition({"a1"}, {"c-u0", "c-u1"})
        world.run(6.0)
        self.assertEqual(sorted(world.leaders()), ["a1", "c1"])
        self.assertGreater(world.start_count("j"), 2)
        self.assertEqual(world.overlaps(), [])

    def test_leader_that_raises_its_term_lists_the_runs_of_idle_leases(
        self,
    ) -> None:
        world = start_world()
        self.lead_from_c1(world)
        # One order of a1 to c-u0 is rejected, and none is sent to c-u1.
        call = world.submit("a1", "rejected", tasks=9)
        world.run(0.001)
        world.deliver("a1", events.CallerLeft(call))
        world.run(4.0)
        world.run_time_ms = 4_000.0
        world.submit("b1", "known", tasks=4, wait_s=6.0)
        world.run(4.0)
        self.assertEqual(world.hosts["b1"].leader, "a1")
        self.assertEqual(world.overlaps(), [])
        self.assertEqual(world.start_count("known"), 4)

    def lead_from_c1(self, world: leased_world.World) -> None:
        """Makes c1 a second leader, which reaches only upstreams of c."""
        self.cut_c_off(world)
        world.run(3.0)
        self.assertEqual(sorted(world.leaders()), ["a1", "c1"])

    def cut_c_off(self, world: leased_world.World) -> None:
        others = {name for name in world.upstreams if name[0] != "c"}
        world.partition({"c1", "c2"}, {"a1", *others})


class StalledLeaderTest(unittest.TestCase):
    def test_job_that_waited_during_a_stall_is_not_started_after_it(
        self,
    ) -> None:
        world = start_world()
        others = set(world.hosts) - {"a1"}
        world.partition(others, {"a-u0", "a-u1"})
        world.run(1.0)
        world.run_time_ms = 900.0
        world.pause("a1", 2.0)
        world.run(0.1)
        world.submit("b1", "waited", wait_s=4.0)
        world.run(5.0)
        self.assertEqual(world.overlaps(), [])


class HistoriesTest(unittest.TestCase):
    def test_random_histories_start_no_task_twice_at_the_same_time(
        self,
    ) -> None:
        first = test_leased_histories.FIRST_SEED
        count = test_leased_histories.HISTORY_COUNT // 10
        for divided in (False, True):
            for seed in range(first, first + count):
                with self.subTest(seed=seed, divided=divided):
                    history = leased_faults.FaultyHistory(seed, divided=divided)
                    history.run()
                    self.assertEqual(history.world.overlaps(), [])

    def test_job_whose_drop_was_lost_with_a_link_ran_beside_its_repeat(
        self,
    ) -> None:
        history = leased_faults.FaultyHistory(9021, divided=True)
        history.run()
        self.assertEqual(history.world.overlaps(), [])


if __name__ == "__main__":
    unittest.main()
