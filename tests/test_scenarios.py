"""Runs each scenario file as a test, and tests the errors of the language."""

import pathlib
import re
import unittest

from tests import scenario

DECLARATIONS = "hosts h1 in d1\nupstreams u1 in d1\nworkspace shop\n"
PROMISES = {
    1: "start_once",
    2: "whole_answer",
    3: "own_answer",
    4: "true_refusal",
    5: "at_most_once",
    6: "leaving_upstream",
    7: "graceful_shutdown",
    8: "config_in_force",
}
SCENARIOS_PER_PROMISE = 5


class ScenarioTest(unittest.TestCase):
    """Has one test method for each scenario file, added below."""


def _add(path: pathlib.Path) -> None:
    def test(self: ScenarioTest) -> None:
        scenario.Scenario(path).run()

    setattr(ScenarioTest, f"test_{path.stem}", test)


for _path in sorted(scenario.DIRECTORY.glob("*.scn")):
    _add(_path)


class ScenarioListTest(unittest.TestCase):
    def test_each_file_is_named_after_its_promise(self) -> None:
        found = dict.fromkeys(PROMISES, 0)
        for path in scenario.DIRECTORY.glob("*.scn"):
            line = re.search(r"^promise (\d+)$", path.read_text(), re.M)
            promise = int(line[1])
            self.assertTrue(path.name.startswith(PROMISES[promise]), path)
            found[promise] += 1
        self.assertGreaterEqual(min(found.values()), SCENARIOS_PER_PROMISE)


class LanguageTest(unittest.TestCase):
    def run_text(self, text: str) -> str:
        with self.assertRaises(scenario.ScenarioError) as caught:
            scenario.Scenario(pathlib.Path("try.scn"), text=text).run()
        return str(caught.exception)

    def test_an_unknown_statement(self) -> None:
        error = self.run_text(DECLARATIONS + "store is asleep\n")
        self.assertIn("try.scn:4: can't read: store is asleep", error)
        self.assertIn("expected one of", error)

    def test_an_unknown_host(self) -> None:
        error = self.run_text(DECLARATIONS + "kill h9\n")
        self.assertEqual(
            error,
            "try.scn:4: unknown host 'h9'; declare it first: "
            "`hosts h9 in DOMAIN`",
        )

    def test_an_id_that_was_not_reserved(self) -> None:
        error = self.run_text(
            DECLARATIONS + "kill h1\nreserve r at h1\nsubmit r at h1\n"
        )
        self.assertIn("try.scn:6: id 'r' is not reserved yet", error)

    def test_an_expectation_that_is_not_met(self) -> None:
        error = self.run_text(
            DECLARATIONS + "reserve r at h1\nsubmit r at h1\nrun 2s\n"
            "expect starts of r = 4\n"
        )
        self.assertIn("try.scn:7: found 3, not = 4", error)

    def test_a_second_start_breaks_a_promise(self) -> None:
        text = DECLARATIONS + "reserve r at h1\nsubmit r at h1\nrun 2s\n"
        run = scenario.Scenario(pathlib.Path("try.scn"), text=text)
        run.run()
        attempt = next(iter(run.world.hosts.values())).last_attempt
        run.world.connect(attempt)
        run.world.run(1.0)
        again = attempt.start
        self.assertIn(
            f"task {again.task_index} of {again.submission} started again",
            run.callers.check()[0],
        )
