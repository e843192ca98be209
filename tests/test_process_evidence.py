"""Tests that the process tests' evidence shows each broken promise."""

import time
import unittest

from tests.process import caller
from tests.process import evidence


class AnswerLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answer_log = evidence.AnswerLog()
        self.starts = [
            evidence.Start("s", index, time.monotonic()) for index in range(2)
        ]

    def add_answer(self, outcome: str, ran: str, *results: object) -> None:
        value = {"id": "s", "outcome": outcome, "ran": ran}
        if results:
            value["results"] = list(results)
        self.answer_log.add(caller.Answer(200, value), "s", [1, 2])

    def assert_violation(self, text: str) -> None:
        found = self.answer_log.violations(self.starts)
        self.assertTrue(any(text in line for line in found), found)

    def test_consistent_answers_pass(self) -> None:
        self.add_answer("unknown", "possibly")
        self.add_answer("complete", "something", 1, 2)
        self.assertEqual(self.answer_log.violations(self.starts), [])

    def test_refusal_before_the_start_passes(self) -> None:
        self.add_answer("refused", "nothing")
        later = [evidence.Start("s", 0, time.monotonic() + 1)]
        self.assertEqual(self.answer_log.violations(later), [])

    def test_second_start_is_found(self) -> None:
        self.add_answer("unknown", "possibly")
        self.starts.append(self.starts[0])
        self.assert_violation("task 0 started twice")

    def test_refusal_after_the_start_is_found(self) -> None:
        self.add_answer("refused", "nothing")
        self.assert_violation("but tasks started")

    def test_partial_answer_is_found(self) -> None:
        self.add_answer("complete", "something", 1)
        self.assert_violation("other results")

    def test_swapped_results_are_found(self) -> None:
        self.add_answer("complete", "something", 2, 1)
        self.assert_violation("other results")

    def test_complete_answer_without_all_starts_is_found(self) -> None:
        self.starts.pop()
        self.add_answer("complete", "something", 1, 2)
        self.assert_violation("started only")

    def test_failed_answer_with_results_is_found(self) -> None:
        self.add_answer("failed", "something", 1)
        self.assert_violation("with results")

    def test_key_that_started_under_two_ids_is_found(self) -> None:
        for submission in ("s", "t"):
            value = {"id": submission, "outcome": "unknown", "ran": "possibly"}
            self.answer_log.add_keyed(caller.Answer(504, value), "key", [1])
        self.assertEqual(self.answer_log.violations(self.starts), [])
        self.starts.append(evidence.Start("t", 0, time.monotonic()))
        self.assert_violation("key key started as")

    def test_contradictory_final_answers_are_found(self) -> None:
        self.add_answer("complete", "something", 1, 2)
        self.add_answer("failed", "something")
        self.assert_violation("complete and failed")


if __name__ == "__main__":
    unittest.main()
