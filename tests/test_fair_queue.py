"""Tests of the fair queue."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from godwitnotch.core import fair_queue
from godwitnotch.core import ids
from tests import scheduler_fixtures as fixtures


def _any_workspace(workspace: ids.WorkspaceId) -> bool:
    return True


class FairQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = fair_queue.FairQueue(fair_queue.WorkspaceCharges())

    def push(self, name: str, tasks: int, workspace: str = "acme") -> None:
        job = fixtures.job(name, tasks, workspace=workspace)
        indices = list(range(tasks - 1, -1, -1))
        ones = (1.0,) * tasks
        sizes = fair_queue.TaskSizes(ones, ones)
        self.queue.push(job, indices, sizes, now=0.0)

    def take(self, now: float = 0.0) -> tuple[str, int] | None:
        job = self.queue.head(_any_workspace, now=now)
        if job is None:
            return None
        return job.request.submission, self.queue.take(job)

    def drain(self, now: float = 0.0) -> list[str]:
        names = []
        while (taken := self.take(now)) is not None:
            names.append(taken[0])
        return names

    def test_the_job_with_least_work_left_goes_first(self) -> None:
        self.push("long", 3)
        self.push("short", 1)
        self.assertEqual(self.drain(), ["short", "long", "long", "long"])

    def test_an_urgent_job_goes_before_shorter_ones(self) -> None:
        self.push("long", 2)
        self.push("short", 1)
        urgent_at = 30.0 * fair_queue.URGENT_AFTER_SHARE
        self.assertEqual(self.drain(urgent_at), ["long", "long", "short"])

    def test_a_burst_of_one_workspace_does_not_delay_another(self) -> None:
        for index in range(20):
            self.push(f"burst-{index}", 5, "burst")
        self.take_some(10)
        self.push("quiet", 3, "quiet")
        served = [name for name in self.drain()[:6] if name == "quiet"]
        self.assertEqual(len(served), 3)

    def take_some(self, count: int) -> None:
        for _ in range(count):
            self.take()

    def test_an_idle_workspace_accumulates_no_share(self) -> None:
        self.push("a", 50, "a")
        self.take_some(40)
        self.push("b", 50, "b")
        names = self.drain()[:10]
        self.assertEqual(names.count("a"), 5)

    def test_a_workspace_over_its_quota_is_skipped(self) -> None:
        self.push("full", 1, "full")
        self.push("room", 1, "room")
        job = self.queue.head(lambda workspace: workspace == "room", now=0.0)
        assert job is not None
        self.assertEqual(job.request.submission, "room")
        self.queue.take(job)
        self.assertIsNone(self.queue.head(_any_workspace, now=0.0))
        self.queue.unblock(ids.WorkspaceId("full"))
        self.assertEqual(self.drain(), ["full"])

    def test_a_withdrawn_job_leaves_the_queue(self) -> None:
        self.push("a", 3)
        self.push("b", 1)
        self.queue.withdraw(ids.SubmissionId("a"))
        self.assertEqual(len(self.queue), 1)
        self.assertEqual(self.queue.work_s, 1.0)
        self.assertEqual(self.drain(), ["b"])

    def test_tasks_that_go_before_a_new_job_are_counted(self) -> None:
        self.push("long", 64)
        self.push("short", 2)
        workspace = ids.WorkspaceId("acme")
        self.assertEqual(self.queue.queued_before(workspace, 3), 2)
        self.assertEqual(self.queue.queued_before(workspace, 64), 66)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["push", "take", "withdraw", "wait"]),
                strategies.integers(0, 5),
                strategies.integers(1, 6),
            ),
            max_size=60,
        )
    )
    def test_every_task_is_taken_once_or_withdrawn(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        queue = self.queue = fair_queue.FairQueue(fair_queue.WorkspaceCharges())
        waiting: dict[str, set[int]] = {}
        now = 0.0
        for count, (step, which, size) in enumerate(steps):
            if step == "push":
                self.push(f"s{count}", size, f"team-{which}")
                waiting[f"s{count}"] = set(range(size))
            elif step == "wait":
                now += size
            elif step == "withdraw" and waiting:
                name = sorted(waiting)[which % len(waiting)]
                queue.withdraw(ids.SubmissionId(name))
                del waiting[name]
            elif step == "take":
                taken = self.take(now)
                self.assertEqual(taken is None, not any(waiting.values()))
                if taken is not None:
                    waiting[taken[0]].remove(taken[1])
            self.assertEqual(len(queue), sum(map(len, waiting.values())))
        for name in self.drain(now):
            waiting[name].pop()
        self.assertFalse(any(waiting.values()))
