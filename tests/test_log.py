"""Tests of log lines."""

import io
import logging
import unittest

from godwitnotch import log
from godwitnotch.core import actions
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core.leased import actions as leased_actions


class LogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        self.now = 0.0
        disabled = logging.root.manager.disable
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, disabled)
        self.addCleanup(log.logger.handlers.clear)
        log.configure(stream=self.stream, clock=lambda: self.now)

    def lines(self) -> list[str]:
        return self.stream.getvalue().splitlines()

    def test_an_event_is_one_line_of_key_value_pairs(self) -> None:
        log.event("peer_up", host="h2", detail='two "words"\nand a line')
        (line,) = self.lines()
        self.assertRegex(
            line, r"^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=info "
        )
        self.assertTrue(
            line.endswith(
                r'event=peer_up host=h2 detail="two \"words\"\nand a line"'
            )
        )

    def test_notes_of_a_submission_are_debug_lines(self) -> None:
        note = actions.Note(
            "refused", ids.SubmissionId("a.b"), model.Reason.QUEUE_FULL, "n=1"
        )
        log.note(note)
        self.assertEqual(self.lines(), [])
        log.set_level("debug")
        log.note(note)
        (line,) = self.lines()
        self.assertTrue(
            line.endswith("event=refused submission=a.b reason=queue_full n=1")
        )

    def test_lines_of_decisions_cost_records_although_they_are_dropped(
        self,
    ) -> None:
        made = []
        factory = logging.getLogRecordFactory()
        self.addCleanup(logging.setLogRecordFactory, factory)
        logging.setLogRecordFactory(
            lambda *args, **kwargs: made.append(1) or factory(*args, **kwargs)
        )
        for _ in range(log.MAX_LINES_PER_WINDOW + 7):
            log.decision(leased_actions.Decided("run_ended"))
        self.assertEqual(len(made), log.MAX_LINES_PER_WINDOW)
        self.now = log.RATE_WINDOW_S
        log.decision(leased_actions.Decided("run_ended"))
        self.assertTrue(self.lines()[-1].endswith(" dropped=7"))
        self.assertEqual(log.dropped_lines(), 7)

    def test_repeated_events_are_rate_limited_and_drops_are_counted(
        self,
    ) -> None:
        for _ in range(log.MAX_LINES_PER_WINDOW + 7):
            log.event("store_failed")
        log.event("peer_up")
        self.assertEqual(len(self.lines()), log.MAX_LINES_PER_WINDOW + 1)
        self.now = log.RATE_WINDOW_S
        log.event("store_failed")
        self.assertTrue(self.lines()[-1].endswith(" dropped=7"))

    def test_drops_are_reported_if_the_event_never_comes_again(self) -> None:
        for _ in range(log.MAX_LINES_PER_WINDOW + 7):
            log.event("store_failed")
        log.report_dropped()
        self.assertEqual(len(self.lines()), log.MAX_LINES_PER_WINDOW)
        self.now = log.RATE_WINDOW_S
        log.report_dropped()
        self.assertTrue(
            self.lines()[-1].endswith(
                "level=warning event=log_lines_limited of=store_failed lines=7"
            )
        )
        log.report_dropped()
        log.event("store_failed")
        self.assertEqual(len(self.lines()), log.MAX_LINES_PER_WINDOW + 2)
        self.assertTrue(self.lines()[-1].endswith("event=store_failed"))
        self.assertEqual(log.dropped_lines(), 7)

    def test_only_lines_of_usual_jobs_are_routine(self) -> None:
        log.event("run_ordered", job="event=run_lost")
        log.event("run_lost", job="event=run_ordered")
        self.assertEqual(
            [log.is_routine(line) for line in self.lines()], [True, False]
        )

    def test_a_traceback_stays_on_its_line(self) -> None:
        try:
            raise ValueError("bad\nvalue")
        except ValueError:
            log.logger.exception("path=/x", extra={"event": "request_failed"})
        (line,) = self.lines()
        self.assertIn("event=request_failed path=/x traceback=", line)

    def test_records_of_libraries_are_key_value_pairs(self) -> None:
        logging.getLogger("godwitnotch.net").warning("went %s", "wrong")
        (line,) = self.lines()
        self.assertTrue(
            line.endswith('event=godwitnotch.net message="went wrong"')
        )

    def test_an_unknown_level_is_rejected(self) -> None:
        with self.assertRaisesRegex(ValueError, "debug, info"):
            log.set_level("loud")
