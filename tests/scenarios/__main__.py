"""Runs scenario files and prints a line for each."""

import pathlib
import sys

from tests import scenario


def main(names: list[str]) -> int:
    """Runs some or all scenario files; returns the exit code."""
    paths = [pathlib.Path(name) for name in names]
    failed = 0
    for path in paths or sorted(scenario.DIRECTORY.glob("*.scn")):
        try:
            run = scenario.Scenario(path)
            run.run()
            print(f"passed {path.stem} starts={len(run.world.starts)}")
        except scenario.ScenarioError as problem:
            failed += 1
            print(f"FAILED {problem}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
