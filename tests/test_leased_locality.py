"""Tests of places near the data: the factor away from a rack, and waits."""

import unittest

from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model
from tests import leased_world


class AdoptedRunTest(unittest.TestCase):
    def test_run_away_from_its_rack_goes_on_under_the_next_leader(self) -> None:
        # A new leader expected an adopted run to take as long as in its rack,
        # so it stopped a sound run as overdue and started the task again.
        world = leased_world.World(
            {"a": ["a1", "a2", "a3"]}, upstreams=3, racks=locality.Racks(3.0)
        )
        world.link_all()
        world.run(1.0)
        world.run_time_ms = 2_000.0
        call = world.submit("a2", "job", wait_s=15.0, rack="rack-b")
        world.run(0.1)
        self.assertEqual(world.start_count("job"), 1)
        (leader,) = world.leaders()
        self.assertNotEqual(leader, "a2")
        world.kill(leader)
        world.run(8.0)
        self.assertEqual(world.answers[call][1].end, model.JobEnd.COMPLETED)
        self.assertEqual(world.start_count("job"), 1)


if __name__ == "__main__":
    unittest.main()
