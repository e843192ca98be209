"""Measures start time, memory and child processes of the one-file program.

Run with `python -m bench.binary_cost FILE`. The first start unpacks the file
into an empty temporary folder; the later starts reuse the unpacked files.
Start times are measured with `--version`, memory with one run of the `demo`
command, which starts a host with embedded stand-ins and executes one job.
Child processes are counted every few milliseconds during each run.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass

LATER_START_COUNT = 5
POLL_INTERVAL_S = 0.002


@dataclass(frozen=True, slots=True)
class Run:
    """Measurements of one run of a command.

    Attributes:
        elapsed_s: Time from start to exit, in seconds.
        peak_rss_mib: Peak resident memory, in MiB.
        child_count: Maximum number of child processes at one time.
    """

    elapsed_s: float
    peak_rss_mib: float
    child_count: int


def main() -> None:
    """Prints file size, start times, memory and child processes."""
    file = pathlib.Path(sys.argv[1])
    with tempfile.TemporaryDirectory() as folder:
        first = _run_program(file, folder, "--version")
        later_runs = [
            _run_program(file, folder, "--version")
            for _ in range(LATER_START_COUNT)
        ]
        demo = _run_program(file, folder, "demo")
        unpacked = sum(
            path.stat().st_size
            for path in pathlib.Path(folder).rglob("*")
            if path.is_file()
        )
    later_times_s = sorted(run.elapsed_s for run in later_runs)
    print(
        f"bytes={file.stat().st_size} unpacked_bytes={unpacked} "
        f"first_start_s={first.elapsed_s:.2f} "
        f"later_start_s={later_times_s[LATER_START_COUNT // 2]:.2f} "
        f"(from {later_times_s[0]:.2f} to {later_times_s[-1]:.2f}) "
        f"demo_most_rss_mb={demo.peak_rss_mib:.1f} "
        f"children={max(run.child_count for run in (first, demo, *later_runs))}"
    )


def _run_program(file: pathlib.Path, folder: str, *arguments: str) -> Run:
    """Runs a command of the program and measures it until its exit."""
    started_at = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, str(file), *arguments],
        env={**os.environ, "SHIV_ROOT": folder},
        stdout=subprocess.DEVNULL,
    )
    child_count = 0
    peak_rss_mib = 0.0
    while process.poll() is None:
        child_count = max(child_count, _child_count(process.pid))
        peak_rss_mib = max(peak_rss_mib, _peak_rss_mib(process.pid))
        time.sleep(POLL_INTERVAL_S)
    if process.returncode:
        raise RuntimeError(f"{file} {arguments} ended with an error")
    return Run(time.perf_counter() - started_at, peak_rss_mib, child_count)


def _child_count(pid: int) -> int:
    """Returns the number of child processes, 0 if the process ended."""
    try:
        child_pids = pathlib.Path(
            f"/proc/{pid}/task/{pid}/children"
        ).read_text()
    except OSError:
        return 0
    return len(child_pids.split())


def _peak_rss_mib(pid: int) -> float:
    """Returns the peak resident memory in MiB, 0 if the process ended."""
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
