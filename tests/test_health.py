"""Tests of health tracking of upstreams."""

import unittest

from godwitnotch.core import health
from godwitnotch.core import ids
from godwitnotch.core import model
from tests import scheduler_fixtures as fixtures

CHECK = ids.TemplateName("check")
ANSWERED = model.AttemptOutcome.ANSWERED
FAILED = model.AttemptOutcome.TASK_FAILED
UNREACHABLE = model.AttemptOutcome.CONNECT_REFUSED


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.names = [ids.UpstreamId(f"u{index}") for index in range(4)]
        self.health = health.HealthTracker()
        self.health.update_upstreams(
            [fixtures.upstream(name) for name in self.names]
        )
        self.jobs = 0

    def end_attempt(
        self,
        upstream: ids.UpstreamId,
        outcome: model.AttemptOutcome,
        *,
        job: str = "",
        now: float = 0.0,
    ) -> None:
        self.jobs += 1
        submission = ids.SubmissionId(job or f"s{self.jobs}")
        self.health.attempt_ended(upstream, CHECK, submission, outcome, now=now)

    def states(self) -> list[health.State]:
        return [self.health.state(name) for name in self.names]

    def warm_up(self) -> None:
        for name in self.names:
            for _ in range(20):
                self.end_attempt(name, ANSWERED)

    def eject(self, upstream: ids.UpstreamId, now: float = 0.0) -> None:
        while self.health.state(upstream) is health.State.HEALTHY:
            self.end_attempt(upstream, FAILED, now=now)

    def test_an_upstream_that_fails_every_task_is_ejected_after_three_jobs(
        self,
    ) -> None:
        self.warm_up()
        for _ in range(3):
            self.assertTrue(self.health.usable(self.names[0]))
            self.end_attempt(self.names[0], FAILED)
        self.assertIs(self.states()[0], health.State.EJECTED)
        self.assertFalse(self.health.usable(self.names[0]))

    def test_a_template_that_fails_everywhere_ejects_none(self) -> None:
        for _ in range(50):
            for name in self.names:
                self.end_attempt(name, FAILED)
        self.assertEqual(self.states(), [health.State.HEALTHY] * 4)

    def test_a_job_that_fails_everywhere_ejects_none(self) -> None:
        self.warm_up()
        for _ in range(8):
            for name in self.names:
                self.end_attempt(name, FAILED, job="never")
        self.assertEqual(self.states(), [health.State.HEALTHY] * 4)

    def test_an_upstream_that_fails_half_of_its_tasks_is_ejected(self) -> None:
        self.warm_up()
        for _ in range(20):
            for name in self.names[1:]:
                self.end_attempt(name, ANSWERED)
            self.end_attempt(self.names[0], FAILED)
            self.end_attempt(self.names[0], ANSWERED)
        self.assertIs(self.states()[0], health.State.EJECTED)

    def test_refusals_as_full_or_leaving_are_no_failures(self) -> None:
        self.warm_up()
        for _ in range(50):
            self.end_attempt(self.names[0], model.AttemptOutcome.REFUSED_FULL)
            self.end_attempt(
                self.names[0], model.AttemptOutcome.REFUSED_LEAVING
            )
            self.end_attempt(self.names[0], model.AttemptOutcome.ABORTED)
        self.assertIs(self.states()[0], health.State.HEALTHY)

    def test_refused_connections_eject_without_results_of_other_upstreams(
        self,
    ) -> None:
        for _ in range(3):
            self.end_attempt(self.names[0], UNREACHABLE)
        self.assertIs(self.states()[0], health.State.EJECTED)

    def test_timeouts_eject(self) -> None:
        self.warm_up()
        for _ in range(3):
            self.end_attempt(self.names[0], model.AttemptOutcome.TIMED_OUT)
        self.assertIs(self.states()[0], health.State.EJECTED)

    def test_recovery_is_probed_with_one_task_at_a_time(self) -> None:
        self.warm_up()
        self.eject(self.names[0])
        due = self.health.next_deadline()
        assert due is not None
        self.assertEqual(self.health.advance(now=due), [self.names[0]])
        self.assertTrue(self.health.usable(self.names[0]))
        self.health.attempt_started(self.names[0])
        self.assertFalse(self.health.usable(self.names[0]))
        self.end_attempt(self.names[0], ANSWERED, now=due)
        self.assertIs(self.states()[0], health.State.HEALTHY)

    def test_each_failed_probe_lengthens_the_ejection(self) -> None:
        self.warm_up()
        self.eject(self.names[0])
        now, pauses = 0.0, []
        for _ in range(8):
            due = self.health.next_deadline()
            assert due is not None
            pauses.append(due - now)
            now = due
            self.health.advance(now=now)
            self.health.attempt_started(self.names[0])
            self.end_attempt(self.names[0], FAILED, now=now)
        expected = [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0, 30.0]
        self.assertEqual(pauses, expected)

    def test_a_whole_domain_is_never_ejected(self) -> None:
        for _ in range(100):
            for name in self.names:
                if self.health.state(name) is health.State.HEALTHY:
                    self.end_attempt(name, UNREACHABLE)
        healthy = self.states().count(health.State.HEALTHY)
        self.assertEqual(healthy, 1)

    def test_an_upstream_that_is_listed_again_starts_healthy(self) -> None:
        self.warm_up()
        self.eject(self.names[0])
        rest = [fixtures.upstream(name) for name in self.names[1:]]
        self.health.update_upstreams(rest)
        self.assertIsNone(self.health.next_deadline())
        self.health.update_upstreams([*rest, fixtures.upstream("u0")])
        self.assertIs(self.states()[0], health.State.HEALTHY)
