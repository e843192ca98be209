"""Tests of the passes over the queue of waiting jobs."""

import unittest

from tests import leased_world


class StalledLeaderTest(unittest.TestCase):
    """The leader has stalled while callers' deadlines passed."""

    def test_no_task_starts_after_its_caller_has_stopped_waiting(self) -> None:
        # The pass over the queue that followed a response started tasks of jobs
        # whose deadline had passed; only the next tick dropped the jobs.
        world = leased_world.World({"a": ["a1"]}, upstreams=1)
        world.run(3.0)
        world.run_time_ms = 150.0
        world.submit("a1", "first", tasks=2, wait_s=3.0)
        world.run(0.02)
        world.submit("a1", "late", wait_s=0.3)
        world.run(0.05)
        # Shorter than what a leader takes for a pause, which ends its lead.
        world.stall("a1", 0.3, tick_first=False)
        world.run(2.0)
        self.assertEqual(world.start_count("first"), 2)
        self.assertEqual(world.start_count("late"), 0)
