"""Tests of counters, latencies and the event ring."""

import unittest

from godwitnotch import event_ring
from godwitnotch import metrics
from godwitnotch.core import actions
from godwitnotch.core import ids
from godwitnotch.core import model

FIRST = ids.SubmissionId("first")
SECOND = ids.SubmissionId("second")


class MetricsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = metrics.Metrics()

    def lines(self) -> list[str]:
        return self.metrics.render().decode().splitlines()

    def test_every_reason_is_shown_from_the_start(self) -> None:
        lines = self.lines()
        for reason in model.Reason:
            self.assertIn(
                f'godwitnotch_reasons_total{{reason="{reason.value}"}} 0',
                lines,
            )
        for outcome in model.AttemptOutcome:
            self.assertIn(
                f'godwitnotch_retries_total{{outcome="{outcome.value}"}} 0',
                lines,
            )
            self.assertIn(
                f'godwitnotch_attempts_total{{outcome="{outcome.value}"}} 0',
                lines,
            )

    def test_answered_attempts_are_not_counted_as_retries(self) -> None:
        self.metrics.count_note(
            actions.Note("task_ended", FIRST, model.AttemptOutcome.ANSWERED)
        )
        lines = self.lines()
        self.assertIn('godwitnotch_attempts_total{outcome="answered"} 1', lines)
        self.assertIn('godwitnotch_retries_total{outcome="answered"} 0', lines)

    def test_answers_and_retries_are_counted_separately(self) -> None:
        self.metrics.count_answer(
            model.JobAnswer(
                FIRST,
                model.Outcome.REFUSED,
                model.Ran.NOTHING,
                model.Reason.QUEUE_FULL,
            )
        )
        self.metrics.count_note(
            actions.Note("retried", FIRST, model.AttemptOutcome.REFUSED_FULL)
        )
        lines = self.lines()
        for line in (
            'godwitnotch_answers_total{outcome="refused"} 1',
            'godwitnotch_reasons_total{reason="queue_full"} 1',
            'godwitnotch_retries_total{outcome="refused_full"} 1',
            'godwitnotch_events_total{event="retried"} 1',
        ):
            self.assertIn(line, lines)

    def test_quantiles_are_within_the_histogram_precision(self) -> None:
        for millis in range(1, 101):
            self.metrics.record(metrics.Latency.JOB, millis / 1_000)
        values = dict(
            line.rsplit(" ", 1)
            for line in self.lines()
            if line.startswith("godwitnotch_job_seconds")
        )
        median = float(values['godwitnotch_job_seconds{quantile="0.5"}'])
        self.assertAlmostEqual(median, 0.050, delta=0.001)
        self.assertEqual(values["godwitnotch_job_seconds_count"], "100")

    def test_latencies_out_of_range_are_recorded_at_its_ends(self) -> None:
        for seconds in (-1.0, 0.0, 1e9):
            self.metrics.record(metrics.Latency.JOB, seconds)
        self.assertIn("godwitnotch_job_seconds_count 3", self.lines())

    def test_event_names_are_limited(self) -> None:
        for index in range(2 * metrics.MAX_EVENT_NAMES):
            self.metrics.count_note(actions.Note(f"event_{index}"))
        shown = [line for line in self.lines() if "events_total{" in line]
        self.assertEqual(len(shown), metrics.MAX_EVENT_NAMES)


class EventRingTest(unittest.TestCase):
    def test_events_are_kept_in_order(self) -> None:
        ring = event_ring.EventRing(max_notes=10)
        for index, name in enumerate(("admitted", "answered")):
            ring.add(actions.Note(name, FIRST), now=float(index))
        kept = [(timed.time_s, timed.note.event) for timed in ring.notes(FIRST)]
        self.assertEqual(kept, [(0.0, "admitted"), (1.0, "answered")])

    def test_the_least_recently_noted_submission_is_dropped_first(self) -> None:
        ring = event_ring.EventRing(max_notes=3)
        for submission in (FIRST, SECOND, FIRST, SECOND):
            ring.add(actions.Note("x", submission), now=0.0)
        self.assertEqual(ring.notes(FIRST), ())
        self.assertEqual(len(ring.notes(SECOND)), 2)
        self.assertEqual(len(ring), 2)

    def test_one_submission_keeps_its_latest_events(self) -> None:
        ring = event_ring.EventRing(max_notes=10_000)
        count = event_ring.MAX_NOTES_PER_SUBMISSION + 5
        for index in range(count):
            ring.add(actions.Note("x", FIRST), now=float(index))
        kept = ring.notes(FIRST)
        self.assertEqual(len(kept), event_ring.MAX_NOTES_PER_SUBMISSION)
        self.assertEqual(kept[-1].time_s, count - 1)
        self.assertEqual(len(ring), len(kept))

    def test_events_of_no_submission_are_not_kept(self) -> None:
        ring = event_ring.EventRing(max_notes=10)
        ring.add(actions.Note("x"), now=0.0)
        self.assertEqual(len(ring), 0)
