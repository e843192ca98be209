"""Tests of which outcomes prove that a task did not start."""

import unittest

from godwitnotch.core import model
from godwitnotch.core import retries

NOT_STARTED = {
    model.AttemptOutcome.CONNECT_REFUSED,
    model.AttemptOutcome.NOTHING_SENT,
    model.AttemptOutcome.REFUSED_FULL,
    model.AttemptOutcome.REFUSED_LEAVING,
}


class VerdictTest(unittest.TestCase):
    def test_only_outcomes_that_prove_no_start_may_be_retried(self) -> None:
        found = {
            outcome
            for outcome in model.AttemptOutcome
            if retries.verdict(outcome) is retries.Verdict.NOT_STARTED
        }
        self.assertEqual(found, NOT_STARTED)
