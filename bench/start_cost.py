"""Measures the processor time that a host needs before its first line of work.

    python -m bench.start_cost --against ../other/checkout

A start here is an interpreter that imports the composition root of a host on
the users' platform. Starts of this checkout and of another one alternate, so
that both meet the same machine.
"""

import os
import pathlib
import resource
import statistics
import subprocess
import sys
from typing import Annotated

import typer

COMMAND = (sys.executable, "-c", "import godwitnotch.leased_root")


def main(
    against: Annotated[
        str, typer.Option(help="Another checkout; empty for none.")
    ] = "",
    starts: Annotated[int, typer.Option(help="Starts of each.")] = 10,
) -> None:
    """Prints the processor time of a start."""
    here = str(pathlib.Path(__file__).parent.parent)
    checkouts = [here, *([against] if against else [])]
    used_s: dict[str, list[float]] = {checkout: [] for checkout in checkouts}
    for checkout in checkouts:  # Writes the bytecode.
        _start(checkout)
    for _ in range(starts):
        for checkout in checkouts:
            used_s[checkout].append(_start(checkout))
    for checkout, times_s in used_s.items():
        print(
            f"checkout={checkout} cpu_s_min={min(times_s):.3f} "
            f"cpu_s_median={statistics.median(times_s):.3f}"
        )


def _start(checkout: str) -> float:
    """Starts a host's imports; returns the processor time in seconds."""
    environment = dict(os.environ, PYTHONPATH=checkout)
    before = _children_cpu_s()
    subprocess.run(COMMAND, check=True, cwd=checkout, env=environment)
    return _children_cpu_s() - before


def _children_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


if __name__ == "__main__":
    typer.run(main)
