"""Tests of beliefs that are older than the order that they are used for."""

import unittest

from godwitnotch.core.leased import model
from tests import test_leased_leaders


class OwnerTest(unittest.TestCase):
    def test_jobs_of_an_owner_that_returns_from_a_higher_term_are_kept(
        self,
    ) -> None:
        world = test_leased_leaders.start_world()
        test_leased_leaders.TwoLeadersTest().lead_from_c1(world)
        world.run_time_ms = 600.0
        world.reset_link("a1", "b1")
        world.run(0.15)
        self.assertEqual(world.hosts["b1"].leader, "c1")
        world.kill("c1")
        world.run(0.02)
        self.assertEqual(world.hosts["b1"].leader, "a1")
        call = world.submit("b1", "returned", wait_s=4.0)
        world.run(1.0)
        self.assertEqual(world.hosts["b1"].leader, "a1")
        self.assertEqual(world.answers[call][1].end, model.JobEnd.COMPLETED)


if __name__ == "__main__":
    unittest.main()
