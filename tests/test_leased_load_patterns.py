"""Replays load patterns that decisions of the leader answer."""

import unittest

from godwitnotch.core.leased import model
from tests import leased_world


def outcomes(
    world: leased_world.World, calls: list[int]
) -> dict[model.JobEnd, int]:
    """Returns how many of the calls ended in which way."""
    counts: dict[model.JobEnd, int] = {}
    for call in calls:
        end = world.answers[call][1].end
        counts[end] = counts.get(end, 0) + 1
    return counts


class MassRestartTest(unittest.TestCase):
    """All hosts start at once, and their callers are already waiting."""

    def test_jobs_that_all_upstreams_can_serve_in_time_are_not_refused(
        self,
    ) -> None:
        world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=12)
        for number, upstream in enumerate(world.upstreams.values()):
            upstream.latency_s = 0.002 + 0.004 * number
        world.run_time_ms = 300.0
        calls = [
            world.submit(f"a{number % 3 + 1}", f"job{number}", tasks=2)
            for number in range(12)
        ]
        world.link_all()
        world.run(3.0)
        self.assertEqual(outcomes(world, calls), {model.JobEnd.COMPLETED: 12})

    def test_a_crowd_beyond_all_upstreams_is_refused_soon(self) -> None:
        world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=2)
        world.link_all()
        calls = [
            world.submit(f"a{number % 3 + 1}", f"job{number}", tasks=2)
            for number in range(40)
        ]
        world.run(3.0)
        counts = outcomes(world, calls)
        self.assertGreater(counts.get(model.JobEnd.REFUSED, 0), 20)
        for call in calls:
            at, answer = world.answers[call]
            if answer.end is model.JobEnd.REFUSED:
                self.assertLess(at, 101.0)

