"""Tests random histories against the naive dispatcher.

A history is the text of a scenario, so a failing history can be kept as a
scenario file. CI runs the same histories each time; `make histories` runs more
histories with another seed.

Hypothesis derives the histories of CI from the source of `check_calm` and
`check_stormy`: a change to a name, a docstring or code there replaces them.
"""

import collections
import os
import pathlib
import sys
import unittest

import hypothesis
from hypothesis import strategies

from godwitnotch.core import model
from tests import fakes
from tests import naive
from tests import scenario

HISTORY_COUNT = int(os.environ.get("HISTORIES", "120"))
SEED = os.environ.get("HISTORIES_SEED")
# A failing history isn't shrunk, since shrinking takes minutes.
_PHASES = (hypothesis.Phase.explicit, hypothesis.Phase.generate)
HOSTS = ("h1", "h2", "h3")
UPSTREAMS = ("u1", "u2", "u3")
IDS = ("r1", "r2", "r3", "r4", "r5", "r6")
KEYS = ("k1", "k2", "k3")
RECOVERY_S = 40.0
DECLARATIONS = """\
hosts h1 in d1
hosts h2 in d2
hosts h3 in d3
upstreams u1, u2 in d1 with 3 slots taking 300ms
upstreams u3 in d2 with 3 slots taking 150ms
workspace shop wait 20s
reserve r1 at h1
reserve r2 at h1
reserve r3 at h2
reserve r4 at h2
reserve r5 at h3
reserve r6 at h3
run 100ms
"""
counts: collections.Counter[str] = collections.Counter()


def _statement(template: str, *choices: tuple[str, ...]) -> object:
    parts = [strategies.sampled_from(choice) for choice in choices]
    return strategies.tuples(*parts).map(lambda words: template.format(*words))


_BODY_SUFFIXES = ("", "", "", " body other")
_CUT_TARGETS = (*HOSTS, *UPSTREAMS, "platform")
_STORE_STATES = ("up", "up", "down", "slow 300ms", "slow 5s", "flaky")
_STORE_STATES += ("losing answers", "losing requests", "losing acks")
_UPSTREAM_MODES = (
    "serves",
    "serves",
    "full",
    "fails",
    "silent",
    "deaf",
    "breaks",
)
_UPSTREAM_MODES += ("refuses", "crosses", "repeats")
_SUBMIT = _statement("submit {} at {}{}", IDS, HOSTS, _BODY_SUFFIXES)
_SUBMIT_KEYED = _statement("submit key {} at {}{}", KEYS, HOSTS, _BODY_SUFFIXES)
_RUN = _statement("run {}", ("1ms", "40ms", "300ms", "1s", "4s", "12s"))
_FAULT_STATEMENTS = (
    _statement("cancel {} at {}", IDS, HOSTS),
    _statement("status {} at {}", IDS, HOSTS),
    _statement("kill {}{}", HOSTS, ("", " silently")),
    _statement("restart {}", HOSTS),
    _statement("pause {}{}", HOSTS, ("", " after deciding")),
    _statement("resume {}", HOSTS),
    _statement("drain {}", HOSTS),
    _statement("cut {} from {}", HOSTS, _CUT_TARGETS),
    strategies.just("heal all"),
    _statement("store is {}", _STORE_STATES),
    _statement("upstream {} is {}", UPSTREAMS, _UPSTREAM_MODES),
    _statement("put shop version {} at {}", ("2", "3", "4"), HOSTS),
)
_FAULT_FREE_HISTORIES = strategies.lists(
    strategies.one_of(_SUBMIT, _SUBMIT_KEYED, _RUN), min_size=3, max_size=25
)
_FAULTY_HISTORIES = strategies.lists(
    strategies.one_of(
        *(_SUBMIT, _SUBMIT_KEYED, _RUN) * 4,
        *_FAULT_STATEMENTS,
    ),
    min_size=8,
    max_size=40,
)


def _run(lines: list[str]) -> scenario.Scenario:
    text = DECLARATIONS + "\n".join(lines) + "\n"
    run = scenario.Scenario(pathlib.Path("history.scn"), text=text)
    try:
        run.run()
    except BaseException:
        print(text, file=sys.stderr)
        raise
    return run


def _recovery() -> list[str]:
    """Returns statements that end all faults and resubmit every job."""
    lines = ["heal all", "store is up"]
    lines += [f"upstream {name} is serves" for name in UPSTREAMS]
    lines += [f"resume {name}" for name in HOSTS]
    lines += [f"revive {name}" for name in HOSTS]
    lines += ["run 15s"]
    for number, host in enumerate(HOSTS):
        lines += [f"submit {i} at {host} as {i}-end-{number}" for i in IDS]
        lines += [f"submit key {k} at {host} as {k}-end-{number}" for k in KEYS]
        lines += ["run 6s"]
    return lines


class HistoryTest(unittest.TestCase):
    def check_calm(self, lines: list[str]) -> None:
        """Without faults every answer is that of the naive dispatcher."""
        spaced = [part for line in lines for part in (line, "run 10ms")]
        run = _run([*spaced, "run 12s"])
        plain = naive.NaiveDispatcher()
        for asked in run.callers.job_calls:
            payloads = asked.call.payloads
            wanted = plain.submit(asked.identity.split("/")[0], payloads)
            answer = asked.call.answer
            assert answer is not None
            self.assertEqual(answer.results, wanted)
            if not wanted:
                self.assertIs(answer.reason, model.Reason.BODY_MISMATCH)
        started = sorted(start.payload for start in run.world.starts)
        self.assertEqual(started, sorted(plain.starts))
        self._count("calm", run)

    def check_stormy(self, lines: list[str]) -> None:
        """With faults nothing starts that the naive one wouldn't start."""
        run = _run([*lines, *_recovery()])
        bodies: dict[str, set[str]] = collections.defaultdict(set)
        for start in run.world.starts:
            body = start.payload.decode().strip('"').rpartition("/")[0]
            bodies[body.split("/")[0]].add(body)
        for identity, started in bodies.items():
            self.assertEqual(len(started), 1, identity)
        for label, call in run.callers.calls.items():
            if "-end-" in label and call.host.alive:
                self._check_last(call)
        self._count("stormy", run)

    def _check_last(self, call: fakes.Call) -> None:
        answer = call.answer
        assert answer is not None, call.label
        self.assertIsNot(answer.outcome, model.Outcome.RUNNING)
        if answer.outcome is model.Outcome.UNKNOWN:
            lost = (model.Reason.OWNER_GONE, model.Reason.ANSWER_NOT_KEPT)
            self.assertIn(answer.reason, lost, call.label)

    def _count(self, kind: str, run: scenario.Scenario) -> None:
        counts[f"{kind} histories"] += 1
        counts["starts"] += len(run.world.starts)
        for asked in run.callers.job_calls:
            answer = asked.call.answer
            counts[answer.outcome.value if answer else "unanswered"] += 1


def _property_test(check: object, histories: object) -> object:
    """Returns a property test.

    HISTORIES and HISTORIES_SEED in the environment set the number of histories
    and the seed.
    """
    test = hypothesis.given(histories)(check)
    settings = hypothesis.settings(
        max_examples=HISTORY_COUNT,
        derandomize=SEED is None,
        database=None,
        phases=_PHASES,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    if SEED is not None:
        test = hypothesis.seed(int(SEED))(test)
    return settings(test)


HistoryTest.test_calm_histories = _property_test(
    HistoryTest.check_calm, _FAULT_FREE_HISTORIES
)
HistoryTest.test_stormy_histories = _property_test(
    HistoryTest.check_stormy, _FAULTY_HISTORIES
)


if __name__ == "__main__":
    result = unittest.main(exit=False).result
    print(" ".join(f"{k.replace(' ', '_')}={v}" for k, v in counts.items()))
    sys.exit(not result.wasSuccessful())
