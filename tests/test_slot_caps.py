"""Tests of upstreams that have fewer slots than the platform lists."""

import unittest

from godwitnotch.core import model
from godwitnotch.core import slot_caps
from tests import scheduler_cluster
from tests import scheduler_fixtures as fixtures


class SlotCapTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cap = slot_caps.SlotCap()

    def test_a_burst_of_refusals_lowers_the_cap_to_the_real_slots(self) -> None:
        for running in (7, 6, 5, 4):
            self.cap.refused(running, now=1.0)
        self.assertFalse(self.cap.allows(4))
        self.assertTrue(self.cap.allows(3))

    def test_one_slot_is_always_allowed(self) -> None:
        self.cap.refused(0, now=1.0)
        self.assertTrue(self.cap.allows(0))

    def test_the_cap_rises_more_slowly_after_each_refusal(
        self,
    ) -> None:
        self.cap.refused(4, now=0.0)
        self.cap.answered(8, now=0.9)
        self.assertEqual(self.cap.cap, 4)
        self.cap.answered(8, now=1.0)
        self.assertEqual(self.cap.cap, 5)
        self.cap.refused(4, now=1.1)
        self.cap.answered(8, now=3.0)
        self.assertEqual(self.cap.cap, 4)
        self.cap.answered(8, now=3.1)
        self.assertEqual(self.cap.cap, 5)

    def test_the_cap_is_removed_when_all_listed_slots_are_allowed(self) -> None:
        self.cap.refused(7, now=0.0)
        self.cap.answered(8, now=1.0)
        self.assertIsNone(self.cap.cap)


class OverlistedSlotsTest(unittest.TestCase):
    def test_a_job_completes_where_each_upstream_has_a_quarter_of_its_slots(
        self,
    ) -> None:
        cluster = scheduler_cluster.Cluster(
            scheduler_cluster.hosts_of_domain("d0", 1),
            scheduler_cluster.upstreams_of_domain("d0", 4),
        )
        policy = next(iter(cluster.policies.values()))
        policy.enqueue(fixtures.job("s", 110), now=cluster.now)
        refused = 0
        answered = 0
        while answered < 110:
            cluster.settle(0.05)
            full = [
                name
                for name, used in cluster.running_by_upstream().items()
                if used > 2
            ]
            for name in full:
                index = next(
                    number
                    for number, (_, start) in enumerate(cluster.running)
                    if start.upstream.upstream == name
                )
                task = cluster.running[index][1]
                cluster.end_attempt(index, model.AttemptOutcome.REFUSED_FULL)
                refused += 1
                self.assertTrue(
                    policy.requeue(
                        task.submission, task.task_index, now=cluster.now
                    )
                )
            if not full and cluster.running:
                cluster.end_attempt(0)
                answered += 1
        # Each of the 24 missing slots may be refused once; 16 more refusals may
        # follow when missing slots are tried again.
        self.assertLessEqual(refused, 24 + 16)


if __name__ == "__main__":
    unittest.main()
