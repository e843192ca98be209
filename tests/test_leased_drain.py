"""Tests that a host that drains answers each job before it ends.

Its connections were reset at the end of the grace time, without an answer.
"""

import unittest

from godwitnotch.core import ids
from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages
from tests import leased_world

GRACE_S = 4.0
HOSTS = {"a": ["a1", "a2"], "b": ["b1", "b2"]}


class DrainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = leased_world.World(HOSTS, upstreams=1)
        self.world.target_ms = 20_000.0
        self.world.run(2.0)
        (self.leader,) = self.world.leaders()
        self.draining, self.other, *_ = (
            name for name in self.world.hosts if name != self.leader
        )

    def fill(self, run_ms: float) -> int:
        """Lets another host's job take all room."""
        self.world.run_time_ms = run_ms
        call = self.world.submit(self.other, "long", tasks=4, wait_s=20.0)
        self.world.run(0.3)
        return call

    def drain(self, host: str) -> None:
        self.answer_by = self.world.now + GRACE_S
        self.world.deliver(host, events.DrainStarted(self.answer_by))

    def submit(self, *, tasks: int = 2) -> int:
        self.world.run_time_ms = 900.0
        return self.world.submit(
            self.draining, "mine", tasks=tasks, wait_s=20.0
        )

    def answer(self, call: int) -> model.Answer:
        answered_at, answer = self.world.answers[call]
        self.assertLessEqual(answered_at, self.answer_by + 0.05)
        return answer

    def test_job_that_waits_is_refused_and_has_not_run(self) -> None:
        long = self.fill(7_000.0)
        call = self.submit()
        self.world.run(0.2)
        self.drain(self.draining)
        self.world.run(GRACE_S + 0.1)
        answer = self.answer(call)
        self.assertEqual(answer.end, model.JobEnd.REFUSED)
        self.assertGreater(answer.retry_after_s, 0.0)
        self.world.run(8.0)
        self.assertEqual(self.world.start_count("mine"), 0)
        self.assertEqual(
            self.world.answers[long][1].end, model.JobEnd.COMPLETED
        )

    def test_job_that_gets_room_in_time_is_completed(self) -> None:
        self.fill(1_500.0)
        call = self.submit()
        self.drain(self.draining)
        self.world.run(GRACE_S + 0.1)
        self.assertEqual(self.answer(call).end, model.JobEnd.COMPLETED)

    def test_job_that_has_begun_is_given_up_at_the_end(self) -> None:
        call = self.submit(tasks=40)
        self.world.run(0.3)
        self.drain(self.draining)
        self.world.run(GRACE_S + 0.1)
        self.assertEqual(self.answer(call).end, model.JobEnd.GIVEN_UP)
        self.world.run(0.2)
        self.assertEqual(
            [run for _, run in self.world.started_runs if not run.ended_at], []
        )

    def test_job_that_comes_during_the_drain_is_answered(self) -> None:
        self.fill(7_000.0)
        self.drain(self.draining)
        self.world.run(GRACE_S / 2)
        call = self.submit()
        self.world.run(GRACE_S / 2 + 0.1)
        self.assertEqual(self.answer(call).end, model.JobEnd.REFUSED)

    def test_draining_leader_answers_its_own_jobs(self) -> None:
        self.draining = self.leader
        self.fill(7_000.0)
        call = self.submit()
        self.world.run(0.2)
        self.drain(self.leader)
        self.world.run(GRACE_S + 0.1)
        self.assertEqual(self.world.start_count("mine"), 0)
        self.assertIsNot(self.answer(call).end, model.JobEnd.COMPLETED)

    def test_leader_is_lost_during_the_drain(self) -> None:
        self.fill(7_000.0)
        call = self.submit()
        self.drain(self.draining)
        self.world.run(1.0)
        self.world.kill(self.leader)
        self.world.run(GRACE_S)
        self.assertIsNot(self.answer(call).end, model.JobEnd.COMPLETED)

    def test_leader_that_has_redirected_the_job_does_not_take_it_again(
        self,
    ) -> None:
        # Else two leaders would run it.
        moved = peer_messages.JobDeadlineMoved(model.JobName("gone"), 1.0)
        told = events.PeerTold(ids.HostId(self.draining), moved)
        self.world.deliver(self.leader, told)
        self.world.run(1.0)
        self.assertEqual(self.world.start_count("gone"), 0)


if __name__ == "__main__":
    unittest.main()
