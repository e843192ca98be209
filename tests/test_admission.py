"""Tests of admission control and of the retry budget."""

import random
import unittest

import msgspec

from godwitnotch.core import admission
from godwitnotch.core import model
from godwitnotch.core import retry_budget
from tests import scheduler_fixtures as fixtures

IDLE = admission.QueueState(
    has_upstream=True,
    slots=10.0,
    mean_s=0.5,
    mean_known=True,
    tasks_before=0,
    max_tasks_before=0,
    max_wait_s=0.0,
    workspace_queued=0,
)


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = admission.Admission(random.Random(1))

    def test_a_job_that_fits_is_admitted(self) -> None:
        job = fixtures.job("s", 10)
        self.assertIsNone(self.admission.check(job, IDLE, now=0.0))

    def test_a_job_that_meets_its_deadline_is_admitted_to_an_idle_host(
        self,
    ) -> None:
        job = fixtures.job("s", 10, deadline=1.5)
        self.assertIsNone(self.admission.check(job, IDLE, now=0.0))

    def test_a_job_behind_a_long_queue_gets_the_time_when_it_would_fit(
        self,
    ) -> None:
        job = fixtures.job("s", 10)
        # 600 tasks at 20 per second take 30 s, but the queue may take only half
        # of the time until the deadline, 15 s.
        busy = msgspec.structs.replace(
            IDLE, tasks_before=600, max_tasks_before=600, workspace_queued=600
        )
        refusal = self.admission.check(job, busy, now=0.0)
        assert refusal is not None
        self.assertIs(refusal.reason, model.Reason.DEADLINE_UNREACHABLE)
        assert refusal.retry_after_s is not None
        drained = round(600 - 20 * refusal.retry_after_s)
        later = msgspec.structs.replace(
            busy, tasks_before=drained, max_tasks_before=drained
        )
        self.assertIsNone(self.admission.check(job, later, now=0.0))

    def test_retry_times_of_refused_callers_are_spread_out(self) -> None:
        job = fixtures.job("s", 10)
        busy = msgspec.structs.replace(
            IDLE, tasks_before=600, max_tasks_before=600
        )
        times = []
        for _ in range(5):
            refusal = self.admission.check(job, busy, now=0.0)
            assert refusal is not None
            assert refusal.retry_after_s is not None
            times.append(refusal.retry_after_s)
        steps = [b - a for a, b in zip(times, times[1:], strict=False)]
        for step in steps:
            self.assertAlmostEqual(step, 10 * 0.5 / 10)

    def test_a_job_that_never_fits_gets_no_retry_time(self) -> None:
        job = fixtures.job("s", 100, deadline=1.0)
        refusal = self.admission.check(job, IDLE, now=0.0)
        assert refusal is not None
        self.assertIsNone(refusal.retry_after_s)

    def test_a_short_job_that_would_delay_admitted_long_jobs_is_refused(
        self,
    ) -> None:
        short = fixtures.job("s", 1)
        busy = msgspec.structs.replace(
            IDLE, tasks_before=0, max_tasks_before=1_000, max_wait_s=30.0
        )
        self.assertIsNotNone(self.admission.check(short, busy, now=0.0))

    def test_an_idle_host_admits_short_deadlines(self) -> None:
        job = fixtures.job("s", 1, deadline=0.7)
        self.assertIsNone(self.admission.check(job, IDLE, now=0.0))
        unknown = msgspec.structs.replace(IDLE, mean_known=False)
        job = fixtures.job("s", 1, deadline=0.1)
        self.assertIsNone(self.admission.check(job, unknown, now=0.0))
        self.assertIsNotNone(self.admission.check(job, IDLE, now=0.0))

    def test_the_queue_limit_is_enforced(self) -> None:
        job = fixtures.job("s", 10, max_queued=100)
        near = msgspec.structs.replace(IDLE, workspace_queued=90)
        self.assertIsNone(self.admission.check(job, near, now=0.0))
        refusal = self.admission.check(
            job, msgspec.structs.replace(IDLE, workspace_queued=91), now=0.0
        )
        assert refusal is not None
        self.assertIs(refusal.reason, model.Reason.QUEUE_FULL)

    def test_a_job_without_an_upstream_or_a_quota_is_refused(self) -> None:
        job = fixtures.job("s", 1)
        refusal = self.admission.check(
            job, msgspec.structs.replace(IDLE, has_upstream=False), now=0.0
        )
        assert refusal is not None
        self.assertIs(refusal.reason, model.Reason.NO_UPSTREAM)
        job_without_quota = fixtures.job("s", 1, max_running=0)
        refusal = self.admission.check(job_without_quota, IDLE, now=0.0)
        assert refusal is not None
        self.assertIs(refusal.reason, model.Reason.QUOTA_EXCEEDED)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_share_of_the_tasks(self) -> None:
        budget = retry_budget.RetryBudget(
            retries_per_task=0.1, initial=0.0, max_saved=50.0
        )
        self.assertFalse(budget.spend())
        budget.earn(20)
        self.assertEqual(
            [budget.spend() for _ in range(3)], [True, True, False]
        )

    def test_saved_retries_are_limited(self) -> None:
        budget = retry_budget.RetryBudget(
            retries_per_task=0.1, initial=0.0, max_saved=2.0
        )
        budget.earn(1_000)
        self.assertEqual(sum(budget.spend() for _ in range(10)), 2)
