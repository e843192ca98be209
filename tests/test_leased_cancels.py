"""Tests that no host starts a job whose cancel was acknowledged.

A cancel was a single message that nobody kept: it was lost with a leader that was
frozen, and an owner that was frozen handed the job over when it woke.
"""

import unittest

from godwitnotch.core.leased import cancellations
from godwitnotch.core.leased import cancelled_jobs
from godwitnotch.core.leased import model
from tests import leased_world
from tests import test_leased_cells

# The platform's bound on starts and runs after an acknowledgement.
CANCEL_S = 3.0
RUN_MS = 800.0
HOSTS = {"a": ["a1", "a2"], "b": ["b1", "b2"], "c": ["c1", "c2"]}


class CancelTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = leased_world.World(HOSTS, upstreams=2)
        self.world.run_time_ms = RUN_MS
        self.world.target_ms = 20_000.0
        self.world.run(2.0)
        (self.leader,) = self.world.leaders()
        self.owner, self.other, *_ = (
            name for name in self.world.hosts if name != self.leader
        )

    def submit(self, job: str, *, tasks: int = 24) -> int:
        """Submits a job whose tasks take several rounds of runs."""
        call = self.world.submit(self.owner, job, tasks=tasks, wait_s=15.0)
        self.world.run(0.3)
        self.assertGreater(self.world.start_count(job), 0)
        return call

    def assert_cancelled(self, cancel: int, job: str) -> None:
        """Checks that nothing starts or runs long after the ack."""
        acked_at, taken = self.world.cancels[cancel]
        self.assertTrue(taken)
        for _, run in self.world.started_runs:
            if run.key.task.job != job:
                continue
            self.assertLessEqual(run.started_at, acked_at + CANCEL_S)
            self.assertIsNotNone(run.ended_at)
            self.assertLessEqual(run.ended_at, acked_at + CANCEL_S + 0.05)

    def assert_failed(self, call: int) -> None:
        answer = self.world.answers[call][1]
        self.assertEqual(answer.end, model.JobEnd.FAILED)

    def test_owner_is_frozen(self) -> None:
        call = self.submit("j")
        self.world.pause(self.owner, 4.0)
        self.world.run(0.2)
        cancel = self.world.cancel(self.other, "j")
        self.world.run(12.0)
        self.assert_cancelled(cancel, "j")
        self.assert_failed(call)

    def test_owner_is_cut_off(self) -> None:
        call = self.submit("j")
        rest = set(self.world.hosts) | set(self.world.upstreams)
        self.world.partition({self.owner}, rest - {self.owner})
        self.world.run(0.2)
        cancel = self.world.cancel(self.other, "j")
        self.world.run(5.0)
        self.world.heal()
        self.world.run(8.0)
        self.assert_cancelled(cancel, "j")
        self.assert_failed(call)

    def test_leader_is_frozen(self) -> None:
        for delay_s in (0.05, 0.2, 0.4):
            with self.subTest(delay_s=delay_s):
                self.setUp()
                call = self.submit("j")
                self.world.pause(self.leader, 4.0)
                self.world.run(delay_s)
                cancel = self.world.cancel(self.other, "j")
                self.world.run(0.02)
                self.assertNotIn(cancel, self.world.cancels)
                self.world.run(12.0)
                self.assert_cancelled(cancel, "j")
                self.assert_failed(call)

    def test_leader_is_lost_right_after_the_ack(self) -> None:
        for at in (self.leader, self.other):
            with self.subTest(at=at):
                self.setUp()
                call = self.submit("j")
                cancel = self.world.cancel(at, "j")
                while cancel not in self.world.cancels:
                    self.world.run(0.001)
                self.world.kill(self.leader)
                self.world.run(12.0)
                self.assert_cancelled(cancel, "j")
                self.assert_failed(call)

    def test_host_that_took_the_cancel_is_lost_right_after_the_ack(
        self,
    ) -> None:
        self.submit("j")
        self.world.pause(self.owner, 2.0)
        self.world.run(0.1)
        cancel = self.world.cancel(self.other, "j")
        while cancel not in self.world.cancels:
            self.world.run(0.001)
        self.world.kill(self.other)
        self.world.run(12.0)
        self.assert_cancelled(cancel, "j")

    def test_leader_changes_twice(self) -> None:
        self.submit("j")
        self.world.pause(self.owner, 5.0)
        self.world.run(0.1)
        cancel = self.world.cancel(self.other, "j")
        self.world.run(0.1)
        self.world.kill(self.leader)
        self.world.run(1.5)
        (second,) = self.world.leaders()
        self.world.kill(second)
        self.world.run(14.0)
        self.assert_cancelled(cancel, "j")

    def test_job_that_is_sent_again_after_its_cancel_does_not_run(
        self,
    ) -> None:
        self.submit("j", tasks=4)
        cancel = self.world.cancel(self.other, "j")
        self.world.run(4.0)
        starts = self.world.start_count("j")
        for name in self.world.hosts:
            again = self.world.submit(name, "j", tasks=4)
            self.world.run(0.2)
            self.assert_failed(again)
        self.assert_cancelled(cancel, "j")
        self.assertEqual(self.world.start_count("j"), starts)

    def test_cancel_that_comes_before_its_job(self) -> None:
        cancel = self.world.cancel(self.other, "j")
        self.world.run(0.1)
        self.assertTrue(self.world.cancels[cancel][1])
        call = self.world.submit(self.owner, "j", tasks=2)
        self.world.run(0.2)
        self.assert_failed(call)
        self.assertEqual(self.world.start_count("j"), 0)

    def test_store_is_away(self) -> None:
        call = self.submit("j")
        self.world.store_down = True
        self.world.hosts_without_store.update(self.world.hosts)
        cancel = self.world.cancel(self.other, "j")
        self.world.run(3.5)
        self.assert_cancelled(cancel, "j")
        self.assert_failed(call)

    def test_cancel_that_nobody_confirms_is_not_acknowledged(self) -> None:
        rest = set(self.world.hosts) | set(self.world.upstreams)
        self.world.partition({self.other}, rest - {self.other})
        self.world.run(0.1)
        cancel = self.world.cancel(self.other, "j")
        self.world.run(cancellations.CONFIRM_TIMEOUT_S + 0.1)
        self.assertFalse(self.world.cancels[cancel][1])

    def test_cancel_at_a_host_that_was_cut_off_takes_effect_later(self) -> None:
        call = self.submit("j", tasks=96)
        rest = set(self.world.hosts) | set(self.world.upstreams)
        self.world.partition({self.other}, rest - {self.other})
        self.world.run(0.1)
        self.world.cancel(self.other, "j")
        self.world.run(3.0)
        self.world.heal()
        self.world.run(1.0)
        self.assert_failed(call)

    def test_calls_go_through_relays(self) -> None:
        world = leased_world.World(HOSTS, upstreams=2, runs_per_s=20.0)
        world.run_time_ms = RUN_MS
        world.target_ms = 20_000.0
        world.run(3.0)
        self.world = world
        self.owner, self.other, *_ = (
            name for name in world.hosts if name not in world.leaders()
        )
        call = self.submit("j")
        cancel = world.cancel(self.other, "j")
        world.run(4.0)
        self.assert_cancelled(cancel, "j")
        self.assert_failed(call)


class CellsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = test_leased_cells.divided_world()
        self.world.run_time_ms = RUN_MS
        self.world.target_ms = 20_000.0
        (self.leader,) = {"b1", "b2"} & set(self.world.leaders())
        (self.owner,) = {"b1", "b2"} - {self.leader}

    def cancel_at(self, host: str, *, frozen: str = "") -> None:
        call = self.world.submit(self.owner, "j", tasks=12, wait_s=15.0)
        self.world.run(0.3)
        self.assertGreater(self.world.start_count("j"), 0)
        if frozen:
            self.world.pause(frozen, 3.0)
            self.world.run(0.1)
        cancel = self.world.cancel(host, "j")
        self.world.run(12.0)
        CancelTest.assert_cancelled(self, cancel, "j")
        CancelTest.assert_failed(self, call)

    def test_host_of_another_cell_takes_the_cancel(self) -> None:
        for host in ("a1", "a3", "c2"):
            with self.subTest(host=host):
                self.setUp()
                self.cancel_at(host)

    def test_owner_in_another_cell_is_frozen(self) -> None:
        self.cancel_at("a3", frozen=self.owner)

    def test_leader_of_another_cell_is_frozen(self) -> None:
        self.cancel_at("a3", frozen=self.leader)


class RememberedTest(unittest.TestCase):
    def test_memory_is_bounded(self) -> None:
        cancelled = cancelled_jobs.CancelledJobs()
        for number in range(cancelled_jobs.MAX_JOBS + 5):
            cancelled.add(model.JobName(str(number)), now=0.0)
        self.assertEqual(len(cancelled), cancelled_jobs.MAX_JOBS)
        self.assertNotIn(model.JobName("4"), cancelled)
        self.assertIn(model.JobName("5"), cancelled)

    def test_old_ones_are_forgotten(self) -> None:
        cancelled = cancelled_jobs.CancelledJobs()
        cancelled.add(model.JobName("old"), now=0.0)
        cancelled.add(model.JobName("new"), now=60.0)
        cancelled.forget_expired(now=cancelled_jobs.RETENTION_S)
        self.assertNotIn(model.JobName("old"), cancelled)
        self.assertEqual(list(cancelled.since(0.0)), ["new"])


if __name__ == "__main__":
    unittest.main()
