"""Measures what the one-file program costs to start, and what it starts.

Run with `python -m bench.binary_cost FILE`. The first start unpacks into an
empty temporary folder, the others find it there. Each run is the `demo`
command: a host with embedded stand-ins and one real job. Children are looked
for every few milliseconds while it runs.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass

LATER_STARTS = 5
POLL_S = 0.002


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a command.

    Attributes:
        elapsed_s: From start to exit.
        most_rss_mb: Largest resident memory.
        children: Processes that were seen below it.
    """

    elapsed_s: float
    most_rss_mb: float
    children: int


def main() -> None:
    """Prints size, start times, memory and number of processes."""
    file = pathlib.Path(sys.argv[1])
    with tempfile.TemporaryDirectory() as folder:
        first = _run(file, folder, "--version")
        later = [_run(file, folder, "--version") for _ in range(LATER_STARTS)]
        demo = _run(file, folder, "demo")
        unpacked = sum(
            each.stat().st_size
            for each in pathlib.Path(folder).rglob("*")
            if each.is_file()
        )
    times = sorted(run.elapsed_s for run in later)
    print(
        f"bytes={file.stat().st_size} unpacked_bytes={unpacked} "
        f"first_start_s={first.elapsed_s:.2f} "
        f"later_start_s={times[LATER_STARTS // 2]:.2f} "
        f"(from {times[0]:.2f} to {times[-1]:.2f}) "
        f"demo_most_rss_mb={demo.most_rss_mb:.1f} "
        f"children={max(run.children for run in (first, demo, *later))}"
    )


def _run(file: pathlib.Path, folder: str, *arguments: str) -> Run:
    started = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, str(file), *arguments],
        env={**os.environ, "SHIV_ROOT": folder},
        stdout=subprocess.DEVNULL,
    )
    children = 0
    most_rss_mb = 0.0
    while process.poll() is None:
        children = max(children, _children(process.pid))
        most_rss_mb = max(most_rss_mb, _rss_mb(process.pid))
        time.sleep(POLL_S)
    if process.returncode:
        raise RuntimeError(f"{file} {arguments} ended with an error")
    return Run(time.perf_counter() - started, most_rss_mb, children)


def _children(pid: int) -> int:
    try:
        listed = pathlib.Path(f"/proc/{pid}/task/{pid}/children").read_text()
    except OSError:
        return 0
    return len(listed.split())


def _rss_mb(pid: int) -> float:
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


if __name__ == "__main__":
    main()
