"""Tests of the rate at which outcomes are recorded."""

import random
import unittest

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import limits
from godwitnotch.core import model
from godwitnotch.core import outbox
from godwitnotch.core import outcomes
from godwitnotch.core import records
from godwitnotch.core import services
from godwitnotch.core import store_calls
from godwitnotch.core import timers


class OutcomeLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.out = outbox.Outbox()
        self.store = store_calls.StoreCalls(self.out)
        self.timers = timers.Timers()
        shared = services.Services(
            self.store,
            self.timers,
            self.out,
            random.Random(1),
            limits.HostLimits(outcome_flush_s=0.2, outcome_writes_per_s=100.0),
        )
        self.log = outcomes.OutcomeLog(shared, ids.Incarnation("0a"))

    def count_writes_of_one_second(self) -> int:
        """Records 100 outcomes in one second with writes that take 10 ms."""
        writes: list[actions.StoreTransact] = []
        acknowledged = 0
        for step in range(100):
            now = 1.0 + step * 0.01
            self.timers.run_due(now=now)
            for write in writes[acknowledged:]:
                self.store.finish(events.StoreCommitted(write.call), now=now)
            acknowledged = len(writes)
            answer = model.JobAnswer(
                ids.SubmissionId(str(step)),
                model.Outcome.COMPLETE,
                model.Ran.SOMETHING,
            )
            outcome = records.JobOutcome(answer, b"d")
            self.log.record(ids.Sequence(step), outcome, now=now)
            writes += [
                action
                for action in self.out.take()
                if isinstance(action, actions.StoreTransact)
            ]
        return len(writes)

    def test_outcomes_are_written_in_batches_to_a_fast_store(
        self,
    ) -> None:
        self.assertIn(self.count_writes_of_one_second(), (4, 5))

    def test_hosts_share_the_write_rate(self) -> None:
        self.log.set_host_count(50)
        self.assertEqual(self.count_writes_of_one_second(), 1)


if __name__ == "__main__":
    unittest.main()
