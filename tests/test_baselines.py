"""Tests of the baseline scheduling policies."""

import random
import unittest

from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import scheduler
from tests import scheduler_fixtures as fixtures


class BaselinesTest(unittest.TestCase):
    def make(self, name: str) -> scheduler.Scheduler:
        policy = scheduler.create(
            name,
            host=ids.HostId("h0"),
            domain=ids.DomainId("d0"),
            rng=random.Random(1),
        )
        policy.update_upstreams(
            [fixtures.upstream("near", "d0"), fixtures.upstream("far", "d1")],
            now=0.0,
        )
        return policy

    def test_two_choices_stays_in_its_own_domain(self) -> None:
        policy = self.make("two_choices")
        policy.enqueue(fixtures.job("s1", 20), now=0.0)
        used = {start.upstream.upstream for start in policy.assign(now=0.0)}
        self.assertEqual(used, {"near"})

    def test_even_split_uses_its_share_of_the_slots(self) -> None:
        policy = self.make("even_split")
        policy.update_hosts([fixtures.host("h1", "d0")], now=0.0)
        policy.enqueue(fixtures.job("s1", 20), now=0.0)
        self.assertEqual(len(policy.assign(now=0.0)), 4)

    def test_a_full_upstream_gets_no_tasks_for_a_while(self) -> None:
        policy = self.make("two_choices")
        policy.enqueue(fixtures.job("s1", 1), now=0.0)
        [start] = policy.assign(now=0.0)
        full = model.AttemptOutcome.REFUSED_FULL
        policy.attempt_ended(start, full, started_at=0.0, now=1.0)
        self.assertTrue(policy.requeue(start.submission, 0, now=1.0))
        self.assertEqual(policy.assign(now=1.0), [])
        retry_at = policy.next_deadline()
        assert retry_at is not None
        self.assertEqual(len(policy.assign(now=retry_at)), 1)
