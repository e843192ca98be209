"""Tests that the evidence of the process tests finds broken promises."""

import time
import unittest

from tests.process import caller
from tests.process import evidence


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answer_log = evidence.AnswerLog()
        self.starts = [
            evidence.Start("s", index, time.monotonic()) for index in range(2)
        ]

    def tell(self, outcome: str, ran: str, *results: object) -> None:
        value = {"id": "s", "outcome": outcome, "ran": ran}
        if results:
            value["results"] = list(results)
        self.answer_log.add(caller.Answer(200, value), "s", [1, 2])

    def assert_found(self, text: str) -> None:
        found = self.answer_log.violations(self.starts)
        self.assertTrue(any(text in line for line in found), found)

    def test_truth_is_passed(self) -> None:
        self.tell("unknown", "possibly")
        self.tell("complete", "something", 1, 2)
        self.assertEqual(self.answer_log.violations(self.starts), [])

    def test_refusal_before_the_start_is_passed(self) -> None:
        self.tell("refused", "nothing")
        later = [evidence.Start("s", 0, time.monotonic() + 1)]
        self.assertEqual(self.answer_log.violations(later), [])

    def test_second_start(self) -> None:
        self.tell("unknown", "possibly")
        self.starts.append(self.starts[0])
        self.assert_found("task 0 started twice")

    def test_refusal_of_what_started(self) -> None:
        self.tell("refused", "nothing")
        self.assert_found("but tasks started")

    def test_partial_answer(self) -> None:
        self.tell("complete", "something", 1)
        self.assert_found("other results")

    def test_crossed_answer(self) -> None:
        self.tell("complete", "something", 2, 1)
        self.assert_found("other results")

    def test_complete_without_all_starts(self) -> None:
        self.starts.pop()
        self.tell("complete", "something", 1, 2)
        self.assert_found("started only")

    def test_failure_with_results(self) -> None:
        self.tell("failed", "something", 1)
        self.assert_found("with results")

    def test_key_that_started_under_two_ids(self) -> None:
        for submission in ("s", "t"):
            value = {"id": submission, "outcome": "unknown", "ran": "possibly"}
            self.answer_log.add_keyed(caller.Answer(504, value), "key", [1])
        self.assertEqual(self.answer_log.violations(self.starts), [])
        self.starts.append(evidence.Start("t", 0, time.monotonic()))
        self.assert_found("key key started as")

    def test_answer_taken_back(self) -> None:
        self.tell("complete", "something", 1, 2)
        self.tell("failed", "something")
        self.assert_found("complete and failed")


if __name__ == "__main__":
    unittest.main()
