"""Tests that changes of the leader start no task twice at the same time."""

import unittest

from tests import leased_faults

DOMAINS = {"a": ["a1", "a2"], "b": ["b1", "b2"], "c": ["c1", "c2"]}
# After this time a host knows which upstreams have left the list.
START_UP_S = 31.0


def start_world() -> leased_faults.FaultyWorld:
    world = leased_faults.FaultyWorld(DOMAINS)
    world.run(START_UP_S)
    return world


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


if __name__ == "__main__":
    unittest.main()
