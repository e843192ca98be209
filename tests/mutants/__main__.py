"""Runs the tests against copies of the code with a deliberate defect each.

`python -m tests.mutants [NAME ...]` prints for each defect of defects.yaml the
first test that fails; the last line is `caught=N survived=M`. With the first
argument `--scenarios` it runs only the scenarios and prints all that fail.
"""

import concurrent.futures
import contextlib
import functools
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Callable
from collections.abc import Iterator

from bench import source_edits

ROOT = pathlib.Path(__file__).parent.parent.parent
DEFECTS = pathlib.Path(__file__).parent / "defects.yaml"
WORKER_COUNT = 4
TEST_TIMEOUT_S = 150.0
# Run in this order until a test fails.
TEST_MODULES = (
    "tests.test_scenarios",
    "tests.test_host",
    "tests.test_ids",
    "tests.test_retries",
    "tests.test_upstream_client",
    "tests.test_http_client",
    "tests.test_differential",
    "tests.test_leased_host",
    "tests.test_leased_instances",
    "tests.test_leased_crashes",
    "tests.test_leased_lives",
    "tests.test_leased_cancels",
    "tests.test_leased_drain",
    "tests.test_leased_runtime",
    "tests.test_leased_decisions",
    "tests.test_leased_load_patterns",
    "tests.test_leased_evacuation",
    "tests.test_leased_store",
    "tests.test_leased_cold",
    "tests.test_leased_cells",
    "tests.test_leased_leaders",
    "tests.test_leased_clocks",
    "tests.test_leased_histories",
)
_FAILED = re.compile(r"^(?:FAIL|ERROR): (\S+)", re.MULTILINE)


Defect = source_edits.SourceEdit


def load() -> list[Defect]:
    """Reads the defects; exits unless each old text occurs exactly once."""
    return source_edits.load(DEFECTS)


def copy_tree(target: pathlib.Path) -> None:
    """Copies the code and the tests, but no scenarios known to fail."""
    for part in ("godwitnotch", "bench", "tests"):
        shutil.copytree(ROOT / part, target / part)
    known = (ROOT / "KNOWN-RED.txt").read_text()
    for name in re.findall(
        r"^\S+ScenarioTest\.test_(\w+)", known, re.MULTILINE
    ):
        (target / "tests" / "scenarios" / f"{name}.scn").unlink()


def first_failing_test(tree: pathlib.Path, defect: Defect | None) -> str | None:
    """Returns the first test that fails with a defect, or None.

    Args:
        tree: Copy of the code and the tests.
        defect: The defect; None to check that all tests pass without any.
    """
    with _mutated_copy(tree, defect) as copy:
        for module in TEST_MODULES:
            command = ["-m", "unittest", "--failfast", module]
            completed = _run(copy, command, check=False)
            if completed.returncode:
                found = _FAILED.search(completed.stderr)
                return f"{module}.{found[1] if found else 'timeout'}"
    return None


def failing_scenarios(tree: pathlib.Path, defect: Defect | None) -> str | None:
    """Returns all scenarios that fail with a defect, or None."""
    with _mutated_copy(tree, defect) as copy:
        command = ["-m", "unittest", TEST_MODULES[0]]
        completed = _run(copy, command, check=False)
    return " ".join(_FAILED.findall(completed.stderr)) or None


@contextlib.contextmanager
def _mutated_copy(
    tree: pathlib.Path, defect: Defect | None
) -> Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch) / "copy"
        shutil.copytree(tree, copy)
        if defect is not None:
            defect.apply(copy)
        _run(copy, ["-c", "import godwitnotch.core.host"], check=True)
        yield copy


def _run(
    copy: pathlib.Path, arguments: list[str], *, check: bool
) -> "subprocess.CompletedProcess[str]":
    command = [sys.executable, *arguments]
    environment = os.environ | {"PYTHONPATH": str(copy)}
    try:
        return subprocess.run(
            command,
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TEST_TIMEOUT_S,
            check=check,
        )
    except subprocess.TimeoutExpired:
        return subprocess.CompletedProcess(command, 1, "", "")


def main(names: list[str]) -> int:
    """Tests some or all defects; returns the exit code."""
    find_failure = first_failing_test
    if names[:1] == ["--scenarios"]:
        find_failure, names = failing_scenarios, names[1:]
    defects = [each for each in load() if not names or each.name in names]
    with tempfile.TemporaryDirectory() as scratch:
        tree = pathlib.Path(scratch)
        copy_tree(tree)
        if (failure := find_failure(tree, None)) is not None:
            raise SystemExit(
                f"{failure} fails without any defect; mend it first"
            )
        survived = _try_defects(functools.partial(find_failure, tree), defects)
    print(f"caught={len(defects) - len(survived)} survived={len(survived)}")
    return 1 if survived else 0


def _try_defects(
    find_failure: Callable[[Defect], str | None], defects: list[Defect]
) -> list[str]:
    survived = []
    with concurrent.futures.ThreadPoolExecutor(WORKER_COUNT) as pool:
        results = pool.map(find_failure, defects)
        for defect, test in zip(defects, results, strict=True):
            print(f"{defect.name}: {test or 'SURVIVED'}", flush=True)
            if test is None:
                survived.append(defect.name)
    return survived


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
