"""Tests of upstreams that are slow for a while after their start."""

import json
import random
import unittest

from godwitnotch.core import ids
from godwitnotch.core.leased import cold_upstreams
from godwitnotch.core.leased import model
from godwitnotch.platform import upstreams
from tests import leased_world
from tests import test_leased_decisions

NOW = 100.0
UPSTREAM = ids.UpstreamId("u")
COLD_S = 3.0
COLD_SLOWNESS = 2.5
JOBS_PER_S = 30.0  # Leaves half of the other upstreams free.
SEEDS = range(1, 6)


def late_jobs(seed: int, *, told: bool) -> int:
    """Returns how many of 150 jobs miss their target beside cold upstreams.

    Three of nine upstreams are cold for COLD_S, after the evacuation of their
    failure domain has ended.

    Args:
        seed: Seed of the arrivals.
        told: Whether the list of upstreams tells that they are cold.
    """
    rng = random.Random(seed)
    world = leased_world.World(
        {"a": ["a1"], "b": ["b1"], "c": ["c1"]}, upstreams=3
    )
    world.run(2.0)
    world.evacuate("a")
    world.run(1.0)
    for number in range(3):
        name = f"a-u{number}"
        world.upstreams[name].slowness = COLD_SLOWNESS
        if told:
            world.cold_until[name] = world.now + COLD_S
    for name in world.hosts:
        world.list_upstreams(name)
    world.evacuate()
    sent = {}
    for number in range(150):
        sent[world.submit("b1", f"j{number}", tasks=2)] = world.now
        world.run(rng.expovariate(JOBS_PER_S))
    world.run(3.0)
    # 1.6 times the run time and 60 ms.
    return sum(
        world.answers[call][1].end is not model.JobEnd.COMPLETED
        or world.answers[call][0] - sent_at > 0.22
        for call, sent_at in sent.items()
    )


class ColdUpstreamsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cold = cold_upstreams.ColdUpstreams()

    def test_an_upstream_is_cold_for_the_remaining_time(self) -> None:
        self.cold.update({UPSTREAM: 2_000}, {}, now=NOW)
        self.assertTrue(self.cold.is_cold(UPSTREAM, now=NOW + 1.9))
        self.assertFalse(self.cold.is_cold(UPSTREAM, now=NOW + 2.1))
        self.cold.update({}, {}, now=NOW + 0.6)
        self.assertFalse(self.cold.is_cold(UPSTREAM, now=NOW + 0.6))

    def test_an_entry_that_stays_the_same_does_not_put_off_the_end(
        self,
    ) -> None:
        # Such an upstream would have been passed over for ever.
        for tenth_s in range(0, 30, 6):
            self.cold.update({UPSTREAM: 2_000}, {}, now=NOW + tenth_s / 10)
        self.assertFalse(self.cold.is_cold(UPSTREAM, now=NOW + 2.5))
        self.cold.update({UPSTREAM: 5_000}, {}, now=NOW + 3.0)
        self.assertTrue(self.cold.is_cold(UPSTREAM, now=NOW + 7.0))


class PlacementTest(test_leased_decisions.PlacementTest):
    def test_others_are_preferred_and_a_cold_one_is_better_than_none(
        self,
    ) -> None:
        slow, fast = self.slow_and_fast(2.0)
        job = test_leased_decisions.make_job()
        self.cold.update({fast.upstream.upstream: 1_000}, {}, now=NOW)
        self.assertEqual(self.choose(job, fast, slow), "slow")
        self.assertEqual(self.choose(job, fast), "fast")


class LoadTest(unittest.TestCase):
    def test_fewer_jobs_are_late_when_the_list_tells_cold_upstreams(
        self,
    ) -> None:
        before = sum(late_jobs(seed, told=False) for seed in SEEDS)
        after = sum(late_jobs(seed, told=True) for seed in SEEDS)
        self.assertLess(after, 0.9 * before)


class DecodingTest(unittest.TestCase):
    def test_remaining_time_is_optional_and_a_malformed_one_costs_no_upstream(
        self,
    ) -> None:
        valid = test_leased_decisions.DecodingTest.VALID_ENTRY
        for value, remaining_ms, readable in (
            (None, 0, False),
            (0, 0, True),
            (1_500, 1_500, True),
            (-1, 0, False),
            (10**400, 0, False),
            ("x", 0, False),
            (1.5, 0, False),
        ):
            with self.subTest(value=value):
                entry = {**valid, "cold_remaining_ms": value}
                listed = upstreams.decode_upstream(
                    "i", json.dumps(entry).encode()
                )
                self.assertEqual(listed.cold_remaining_ms, remaining_ms)
                self.assertEqual(not listed.problem, readable)
        listed = upstreams.decode_upstream("i", json.dumps(valid).encode())
        self.assertEqual((listed.cold_remaining_ms, listed.problem), (0, ""))


if __name__ == "__main__":
    unittest.main()
