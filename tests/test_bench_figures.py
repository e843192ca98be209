"""Tests of the figures that the bench computes, on small synthetic runs."""

import unittest
from dataclasses import replace

from bench import bounds
from bench import fleet_figures
from bench import open_loop
from bench import recorded_load
from godwitnotch.core import ids


def _load(*, job_count: int) -> recorded_load.Load:
    load = recorded_load.generate(3, load_share=0.3, duration_s=2.0)
    return replace(load, jobs=load.jobs[:job_count], warm_up_s=0.0)


def _exchange(
    job: recorded_load.Job, response_s: float, *, correct: bool = True
) -> open_loop.Exchange:
    return open_loop.Exchange(
        job,
        f"id-{job.submission}",
        100.0,
        100.0,
        100.0 + response_s,
        200,
        {"outcome": "complete"},
        correct,
    )


class BoundsTest(unittest.TestCase):
    def test_a_single_task_takes_its_ideal_time(self) -> None:
        load = _load(job_count=1)
        job = replace(load.jobs[0], declared_ms=(1.0,))
        load = replace(load, jobs=(job,), work_s={job.submission: (2.0,)})
        self.assertAlmostEqual(
            bounds.clairvoyant_ratios(load)[job.submission], 1.0
        )

    def test_every_job_ends_and_none_is_faster_than_its_ideal(self) -> None:
        load = recorded_load.generate(3, load_share=0.9, duration_s=10.0)
        ratios = bounds.clairvoyant_ratios(load)
        self.assertEqual(len(ratios), len(load.jobs))
        self.assertGreaterEqual(min(ratios.values()), 1.0 - 1e-9)


class FiguresTest(unittest.TestCase):
    def _compute(
        self,
        exchanges: list[open_loop.Exchange],
        starts: list[fleet_figures.TaskStart],
        refused_count: int = 0,
    ) -> fleet_figures.Figures:
        record = fleet_figures.RunRecord(
            exchanges, starts, refused_count, 2.0, 0
        )
        return fleet_figures.compute(self.load, record, time_scale=0.5)

    def setUp(self) -> None:
        self.load = _load(job_count=2)

    def test_ratio_is_scaled_like_the_load(self) -> None:
        job = self.load.jobs[0]
        ideal_s = self.load.ideal_response_s(job)
        figures = self._compute([_exchange(job, ideal_s)], [])
        self.assertAlmostEqual(figures.mean_ratio, 2.0)

    def test_requests_of_jobs_not_answered_in_time_are_wasted(self) -> None:
        good, bad = self.load.jobs
        starts = [
            fleet_figures.TaskStart(f"id-{job.submission}", index, 101.0)
            for job in (good, bad)
            for index in range(len(job.declared_ms))
        ]
        figures = self._compute(
            [_exchange(good, 1.0), _exchange(bad, 1.0, correct=False)],
            starts,
            refused_count=3,
        )
        wasted = len(bad.declared_ms) + 3
        self.assertEqual(figures.wasted_per_request, wasted)
        self.assertEqual(figures.in_time_share, 0.5)
        self.assertEqual(figures.double_start_count, 0)
        self.assertEqual(figures.tasks_per_core_s, len(starts) / 2.0)

    def test_lost_start_log_does_not_make_waste_negative(self) -> None:
        figures = self._compute([_exchange(self.load.jobs[0], 1.0)], [])
        self.assertEqual(figures.wasted_per_request, 0.0)

    def test_late_answer_is_not_in_time(self) -> None:
        job = self.load.jobs[0]
        late_s = job.max_wait_s * 0.5 + 0.01
        figures = self._compute([_exchange(job, late_s)], [])
        self.assertEqual(figures.in_time_share, 0.0)

    def test_double_start_is_counted(self) -> None:
        start = fleet_figures.TaskStart("id", 0, None)
        figures = self._compute([], [start, start])
        self.assertEqual(figures.double_start_count, 1)

    def test_task_ratio_is_measured_from_the_due_time_of_the_job(self) -> None:
        job = self.load.jobs[0]
        work_s = self.load.work_s[job.submission][0]
        ideal_s = work_s / max(self.load.speeds.values()) * 0.5
        start = fleet_figures.TaskStart(
            f"id-{job.submission}", 0, 100.0 + 3 * ideal_s
        )
        figures = self._compute([_exchange(job, 1.0)], [start])
        self.assertAlmostEqual(figures.task_ratios[0], 3.0)


class LoadTest(unittest.TestCase):
    def test_same_seed_gives_the_same_load(self) -> None:
        first = recorded_load.generate(5, load_share=0.5, duration_s=3.0)
        self.assertEqual(
            first, recorded_load.generate(5, load_share=0.5, duration_s=3.0)
        )
        self.assertIsInstance(first.jobs[0].submission, str)
        self.assertIn(ids.HostId("host-00"), [h.host for h in first.hosts])
