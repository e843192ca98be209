"""Tests of tasks that crash each upstream that starts them."""

import unittest

from godwitnotch.core.leased import model
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
        self.world.submit("y1", DEADLY.job, wait_s=30.0)
        for name in ("z2", "z1", "y2"):
            crash_count = len(self.world.crashes)
            while len(self.world.crashes) < crash_count + 2:
                if self.world.now > 120.0:
                    break
                self.world.run(0.1)
            self.world.run(1.5)
            self.world.kill(name)
        self.world.run(10.0)
        self.assertLessEqual(self.deadly_starts(), MAX_STARTS)

    def test_repeated_job_starts_a_deadly_task_from_zero(self) -> None:
        for host in ("x1", "y1", "x2", "y2", "x1", "y1"):
            self.world.submit(host, DEADLY.job, wait_s=2.0)
            self.world.run(3.3)
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


if __name__ == "__main__":
    unittest.main()
