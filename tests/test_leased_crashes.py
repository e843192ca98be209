"""Tests of tasks that crash each upstream that starts them."""

import unittest

from godwitnotch.core import ids
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import task_records
from tests import leased_world

HOSTS = {"x": ["x1", "x2"], "y": ["y1", "y2"], "z": ["z1", "z2"]}
# A task is given up after it has crashed two upstreams, and starts at most two
# times after it has crashed three.
MAX_STARTS = 5
DEADLY = model.TaskKey(model.JobName("deadly"), 0)


class DeadlyTaskTest(unittest.TestCase):
    """One task of a job crashes each upstream that starts it."""

    def setUp(self) -> None:
        self.world = leased_world.World(HOSTS, upstreams=4)
        self.world.deadly_tasks.add(DEADLY)
        self.world.target_ms = 20_000.0
        self.world.run(2.0)

    def deadly_starts(self) -> int:
        return self.world.start_count(DEADLY.job)

    def test_task_crashes_upstream_after_upstream_while_its_caller_waits(
        self,
    ) -> None:
        call = self.world.submit("x1", DEADLY.job, wait_s=20.0)
        self.world.run(21.0)
        self.assertLessEqual(self.deadly_starts(), MAX_STARTS)
        _, answer = self.world.answers[call]
        self.assertIs(answer.end, model.JobEnd.FAILED)

    def test_next_leaders_start_a_deadly_task_from_zero(self) -> None:
        world = self.world
        (leader,) = world.leaders()
        owner = next(name for name in world.hosts if name != leader)
        world.submit(owner, DEADLY.job, wait_s=30.0)
        for _ in range(3):
            crash_count = len(world.crashes)
            while len(world.crashes) < crash_count + 2 and world.now < 120.0:
                world.run(0.1)
            # Until the leader has noticed the crash, but not the restart.
            world.run(1.3)
            (leader,) = world.leaders()
            self.assertNotEqual(leader, owner)
            world.kill(leader)
            world.run(1.0)
        world.run(10.0)
        self.assertLessEqual(self.deadly_starts(), MAX_STARTS)

    def test_job_that_is_too_late_crashes_another_upstream(self) -> None:
        self.world.target_ms = 60.0
        call = self.world.submit("x1", DEADLY.job, wait_s=5.0)
        self.world.run(2.0)
        self.assertEqual(len(self.world.crashes), 1)
        _, answer = self.world.answers[call]
        self.assertIs(answer.end, model.JobEnd.GIVEN_UP)

    def test_repeated_job_starts_a_deadly_task_from_zero(self) -> None:
        for host in ("x1", "y1", "x2", "y2", "x1", "y1"):
            self.world.submit(host, DEADLY.job, wait_s=2.0)
            self.world.run(3.3)
        self.assertLessEqual(self.deadly_starts(), MAX_STARTS)

    def test_leader_that_is_paused_at_each_crash_counts_none(self) -> None:
        world = self.world
        for _ in range(8):
            crash_count = len(world.crashes)
            world.submit("y1", DEADLY.job, wait_s=2.0)
            while len(world.crashes) == crash_count and world.now < 150.0:
                world.run(0.002)
            (leader, *_) = world.leaders()
            world.pause(leader, 2.5)
            world.run(4.0)
        self.assertLessEqual(self.deadly_starts(), MAX_STARTS)

    def test_second_crash_takes_the_runs_of_other_jobs_along(self) -> None:
        self.world.submit("x1", "neighbour-of-the-first", wait_s=5.0)
        self.world.submit("x1", DEADLY.job, wait_s=5.0)
        for number in range(60):
            self.world.submit("y1", f"j{number}", tasks=4, wait_s=5.0)
            self.world.run(0.05)
        first, second = self.world.crashes
        self.assertTrue(first.neighbours)
        self.assertFalse(second.neighbours)


class FailingTaskTest(unittest.TestCase):
    def test_next_leaders_count_the_failures_of_a_task_from_zero(self) -> None:
        world = leased_world.World(HOSTS, upstreams=4)
        world.run(2.0)
        for upstream in world.upstreams.values():
            upstream.fails = True
        (leader,) = world.leaders()
        owner = next(name for name in world.hosts if name != leader)
        call = world.submit(owner, "j", wait_s=20.0)
        while world.start_count("j") < 3:
            world.run(0.01)
        world.run(0.05)  # The leader has told its successors.
        world.kill(leader)
        world.run(10.0)
        self.assertEqual(world.start_count("j"), 3)
        self.assertIs(world.answers[call][1].end, model.JobEnd.FAILED)


class TaskRecordsTest(unittest.TestCase):
    def test_loss_of_one_process_that_two_leaders_report_counts_once(
        self,
    ) -> None:
        records = task_records.TaskRecords()
        for refused in (False, True):
            loss = peer_messages.UpstreamLoss(
                ids.UpstreamId("u"), 17, refused=refused, crashed=False
            )
            records.upstream_lost(DEADLY, loss, now=100.0)
        self.assertIs(records.start_rule(DEADLY), task_records.StartRule.ALONE)
        records.upstream_seen(ids.UpstreamId("u"), 18, now=101.0)
        self.assertIs(records.start_rule(DEADLY), task_records.StartRule.ALONE)

    def test_runs_that_a_former_leader_left_are_no_losses_once_listed(
        self,
    ) -> None:
        records = task_records.TaskRecords()
        loss = peer_messages.UpstreamLoss(
            ids.UpstreamId("u"), 17, refused=False, crashed=False
        )
        history = peer_messages.TaskHistory(DEADLY, (), (loss,))
        records.add_losses((history,), now=100.0)
        records.upstream_seen(ids.UpstreamId("u"), 17, now=101.0)
        (known,) = records.all_entries().tasks
        self.assertEqual(known.losses, ())

    def test_failed_run_that_is_listed_again_counts_once(self) -> None:
        records = task_records.TaskRecords()
        key = model.RunKey(DEADLY, model.RunNumber(1))
        for upstream in ("u", "u", "v"):
            records.run_failed(key, ids.UpstreamId(upstream), now=100.0)
        self.assertEqual(records.failures(DEADLY), 2)

    def test_records_that_a_leader_has_told_expire(self) -> None:
        told = task_records.TaskRecords()
        for number in range(100):
            now = 100.0 + number
            leader = task_records.TaskRecords()
            task = model.TaskKey(model.JobName(f"j{number}"), 0)
            key = model.RunKey(task, model.RunNumber(1))
            leader.run_failed(key, ids.UpstreamId("u"), now=now)
            told.apply(leader.all_entries(), now=now)
        self.assertLessEqual(
            len(told.all_entries().tasks), task_records.RETENTION_S
        )

    def test_job_that_its_caller_sends_again_has_all_its_attempts(self) -> None:
        records = task_records.TaskRecords()
        key = model.RunKey(DEADLY, model.RunNumber(1))
        records.run_failed(key, ids.UpstreamId("u"), now=100.0)
        records.forget_failures(DEADLY, now=101.0)
        self.assertEqual(records.failures(DEADLY), 0)


class LostUpstreamTest(unittest.TestCase):
    """An upstream that is lost to a cut has not crashed."""

    def setUp(self) -> None:
        self.world = leased_world.World(HOSTS, upstreams=2)
        self.world.run_time_ms = 15_000.0
        self.world.target_ms = 20_000.0
        self.world.run(2.0)

    def lost_count(self) -> int:
        return sum(
            decision.event == "run_lost"
            for _, _, decision in self.world.decisions
        )

    def cut_off_running(self) -> str:
        """Cuts the only run off from all hosts until its leader gives it up."""
        (upstream,) = (
            name
            for name, upstream in self.world.upstreams.items()
            if upstream.running
        )
        self.world.partition({upstream}, {*self.world.hosts})
        lost = self.lost_count()
        while self.lost_count() == lost:
            self.world.run(0.1)
            self.assertLess(self.world.now, 130.0)
        self.world.run(0.1)
        return upstream

    def test_orders_that_are_not_sent_keep_a_lost_upstreams_lease(
        self,
    ) -> None:
        self.world.submit("x1", "j", wait_s=60.0)
        self.world.run(0.1)
        cut_at = self.world.now
        self.cut_off_running()
        # The last order that was sent, and the question after the expiry.
        call_s = lease.MAX_LIST_WAIT_MS / 1_000
        call_s += leased_world.ORDER_TIMEOUT_S
        limit_s = lease.MAX_LEASE_DURATION_S + 2 * call_s
        self.assertLessEqual(self.world.now - cut_at, limit_s + 0.1)

    def test_job_whose_upstreams_were_cut_off_is_completed(self) -> None:
        call = self.world.submit("x1", "j", wait_s=60.0)
        self.world.run(0.1)
        first = self.cut_off_running()
        second = self.cut_off_running()
        self.assertNotEqual(first, second)
        self.world.run(2.0)
        self.assertEqual(self.world.start_count("j"), 2)
        self.world.heal()
        self.world.run(40.0)
        _, answer = self.world.answers[call]
        self.assertIs(answer.end, model.JobEnd.COMPLETED)
        self.assertEqual(self.world.overlaps(), [])

    def test_job_of_another_task_that_ran_in_one_crash_is_completed(
        self,
    ) -> None:
        call = self.world.submit("x1", "j", wait_s=60.0)
        self.world.run(0.1)
        (upstream,) = (
            name
            for name, upstream in self.world.upstreams.items()
            if upstream.running
        )
        self.world.crash_upstream(upstream)
        self.world.run(40.0)
        _, answer = self.world.answers[call]
        self.assertIs(answer.end, model.JobEnd.COMPLETED)


if __name__ == "__main__":
    unittest.main()
