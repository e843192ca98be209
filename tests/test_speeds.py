"""Tests of learnt run times and of the use of declared run times."""

import random
import unittest

from godwitnotch.core import ids
from godwitnotch.core import sizes
from godwitnotch.core import speeds

CHECK = ids.TemplateName("check")
PRICE = ids.TemplateName("price")
FAST = ids.UpstreamId("fast")
SLOW = ids.UpstreamId("slow")


class SpeedsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speeds = speeds.SpeedModel()
        self.rng = random.Random(1)

    def learn(self, upstream: ids.UpstreamId, median_s: float) -> None:
        took_s = median_s * self.rng.lognormvariate(0, 0.5)
        self.speeds.learn(CHECK, upstream, took_s)

    def test_upstream_speeds_are_learnt_from_noisy_run_times(self) -> None:
        for _ in range(100):
            self.learn(FAST, 0.1)
            self.learn(SLOW, 0.4)
        ratio = self.speeds.expected_s(CHECK, SLOW) / self.speeds.expected_s(
            CHECK, FAST
        )
        self.assertGreater(ratio, 2.5)
        self.assertLess(ratio, 6.0)

    def test_an_upstream_speed_is_estimated_for_templates_it_never_ran(
        self,
    ) -> None:
        for _ in range(100):
            self.learn(FAST, 0.1)
            self.learn(SLOW, 0.4)
            self.speeds.learn(PRICE, FAST, 1.0)
        self.assertGreater(
            self.speeds.expected_s(PRICE, SLOW),
            1.5 * self.speeds.expected_s(PRICE, FAST),
        )

    def test_a_straggler_is_noticed_within_twenty_tasks(self) -> None:
        for _ in range(100):
            self.learn(FAST, 0.1)
            self.learn(SLOW, 0.1)
        for _ in range(20):
            self.learn(SLOW, 1.0)
        self.assertGreater(
            self.speeds.expected_s(CHECK, SLOW),
            3 * self.speeds.expected_s(CHECK, FAST),
        )

    def test_own_runs_take_precedence_over_speeds_from_peers(self) -> None:
        self.speeds.learn_from_peer(SLOW, 1.0)
        self.assertEqual(self.speeds.deviation(SLOW), 1.0)
        self.learn(FAST, 0.1)
        known = self.speeds.deviation(FAST)
        self.speeds.learn_from_peer(FAST, 5.0)
        self.assertEqual(self.speeds.deviation(FAST), known)


class SizesTest(unittest.TestCase):
    def relative_sizes(self, noise: float) -> tuple[float, ...]:
        rng = random.Random(1)
        model = sizes.SizeModel()
        for _ in range(500):
            ratio = rng.lognormvariate(0, 0.8)
            declared_ms = 300 * ratio * rng.lognormvariate(0, noise)
            model.learn(CHECK, declared_ms, ratio)
        return model.relative_sizes(CHECK, (100.0, 900.0, None))

    def test_accurate_declared_times_distinguish_tasks(self) -> None:
        short, long, unknown = self.relative_sizes(0.1)
        self.assertGreater(long / short, 4.0)
        self.assertEqual(unknown, 1.0)

    def test_inaccurate_declared_times_are_ignored(self) -> None:
        short, long, _ = self.relative_sizes(4.0)
        self.assertLess(long / short, 1.3)
