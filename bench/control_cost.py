"""Measures what control costs idle hosts, on real processes.

Run with `python -m bench.control_cost` on a machine that does nothing else:
bytes are those of the whole loopback interface, TCP and IP headers included.
Hosts, listed upstreams and workspaces vary one at a time; no job runs.
Each byte between two hosts counts once here, though both spend it.
"""

import asyncio
import pathlib
import statistics
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass

from bench import core_setup
from bench import fleet
from godwitnotch.core import ids
from godwitnotch.core import model

POLICY = "credits"
SETTLE_S = 3.0
MEASURE_S = 10.0
CHANGES = 5


@dataclass(frozen=True, slots=True)
class Size:
    """A deployment to measure."""

    hosts: int
    upstreams: int
    workspaces: int


SIZES = (
    Size(3, 24, 1),
    Size(9, 24, 1),
    Size(18, 24, 1),
    Size(30, 24, 1),
    Size(9, 500, 1),
    Size(9, 2_000, 1),
    Size(9, 24, 100),
    Size(9, 24, 760),
    Size(30, 2_000, 760),
)


def main() -> None:
    """Prints one line for each deployment."""
    for size in SIZES:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_measure(size, pathlib.Path(folder)))


async def _measure(size: Size, folder: pathlib.Path) -> None:
    deployment = fleet.Fleet(folder, POLICY)
    try:
        await deployment.start(
            [_host(number) for number in range(size.hosts)],
            (),
            {},
            {core_setup.workspace(0): [_template()]},
            only_listed=core_setup.upstreams(size.upstreams),
        )
        await _add_workspaces(deployment, size.workspaces)
        await asyncio.sleep(SETTLE_S)
        idle = await _idle_cost(deployment)
        changes_s = await _change_times(deployment)
    finally:
        deployment.close()
    print(
        f"hosts={size.hosts} upstreams={size.upstreams} "
        f"workspaces={size.workspaces} {idle} "
        f"change_in_force_ms_median={1e3 * statistics.median(changes_s):.0f} "
        f"change_in_force_ms_max={1e3 * max(changes_s):.0f}",
        flush=True,
    )


async def _add_workspaces(deployment: fleet.Fleet, count: int) -> None:
    for number in range(1, count):
        await deployment.put_workspace(
            core_setup.workspace(number), [_template()], version=0
        )


async def _idle_cost(deployment: fleet.Fleet) -> str:
    machine = fleet.MachineTime.now()
    before_bytes = _loopback_bytes()
    before = deployment.host_usage()
    started = time.monotonic()
    await asyncio.sleep(MEASURE_S)
    elapsed_s = time.monotonic() - started
    after = deployment.host_usage()
    hosts = len(deployment.hosts)
    cpu_share = (after.cpu_s - before.cpu_s) / elapsed_s / hosts
    sent = (_loopback_bytes() - before_bytes) / elapsed_s / hosts
    return (
        f"cpu_share_each={cpu_share:.4f} "
        f"rss_mb_largest={after.rss_bytes / 1e6:.1f} "
        f"loopback_bytes_per_s_each={sent:.0f} "
        f"stolen_share={machine.stolen_share_since():.3f}"
    )


async def _change_times(deployment: fleet.Fleet) -> Sequence[float]:
    times_s = []
    for version in range(1, CHANGES + 1):
        started = time.monotonic()
        await deployment.put_workspace(
            core_setup.workspace(0), [_template()], version=version
        )
        times_s.append(time.monotonic() - started)
    return times_s


def _host(number: int) -> model.HostEntry:
    return model.HostEntry(
        ids.HostId(f"h{number}"),
        core_setup.domain(number),
        ids.Incarnation(""),
        "",
    )


def _template() -> model.Template:
    return model.Template(core_setup.TEMPLATE, "/check")


def _loopback_bytes() -> int:
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[0])
    raise RuntimeError("/proc/net/dev names no loopback interface")


if __name__ == "__main__":
    main()
