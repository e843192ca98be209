"""Tests of key bindings: batches, write rate limit and bounded memory."""

import random
import unittest

from godwitnotch.core import actions
from godwitnotch.core import bindings
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import limits
from godwitnotch.core import outbox
from godwitnotch.core import services
from godwitnotch.core import store_calls
from godwitnotch.core import timers


class KeyBinderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.out = outbox.Outbox()
        self.store = store_calls.StoreCalls(self.out)
        self.timers = timers.Timers()
        bounds = limits.HostLimits(key_writes_per_s=10.0, key_write_burst=2)
        shared = services.Services(
            self.store, self.timers, self.out, random.Random(1), bounds
        )
        self.binder = bindings.KeyBinder(shared)
        self.results: list[bindings.BindResult] = []

    def bind(self, key: str, *, now: float, deadline: float = 9.0) -> None:
        request = bindings.BindRequest(
            key, ids.SubmissionId(key), b"d", deadline
        )
        self.binder.bind(
            request, lambda result, _: self.results.append(result), now=now
        )

    def commit_all(self, *, now: float) -> list[int]:
        """Acknowledges all pending writes and returns the row count of each."""
        writes = [
            action
            for action in self.out.take()
            if isinstance(action, actions.StoreTransact)
        ]
        for write in writes:
            self.store.finish(events.StoreCommitted(write.call), now=now)
        return [len(write.writes) for write in writes]

    def test_the_write_rate_limit_holds_with_a_fast_store(self) -> None:
        sizes = []
        for step in range(100):
            now = 1.0 + step * 0.01
            self.timers.run_due(now=now)
            self.bind(f"k{step}", now=now)
            sizes += self.commit_all(now=now)
        self.timers.run_due(now=3.0)
        sizes += self.commit_all(now=3.0)
        self.assertEqual(sum(sizes), 100)
        self.assertEqual(len(self.results), 100)
        self.assertLessEqual(len(sizes), 2 + 10 + 1)
        self.assertEqual(sizes[:2], [1, 1])

    def test_hosts_share_the_write_rate_limit(self) -> None:
        self.binder.set_host_count(10, now=1.0)
        self.bind("a", now=1.0)
        self.bind("b", now=1.0)
        self.bind("c", now=1.0)
        self.assertEqual(self.commit_all(now=1.0), [1])
        self.assertEqual(self.commit_all(now=1.0), [2])
        self.bind("d", now=1.0)
        self.timers.run_due(now=1.9)
        self.assertEqual(self.commit_all(now=1.9), [])
        self.timers.run_due(now=2.1)
        self.assertEqual(self.commit_all(now=2.1), [1])

    def test_a_key_whose_callers_gave_up_before_its_write_is_dropped(
        self,
    ) -> None:
        self.bind("a", now=1.0)
        self.bind("b", now=1.0, deadline=2.0)
        self.timers.run_due(now=2.5)
        self.commit_all(now=2.6)
        self.bind("c", now=2.7)
        self.commit_all(now=2.8)
        self.assertEqual(self.binder.pending_count, 0)
