"""Measures the control traffic and CPU time of idle host processes.

Run with `python -m bench.control_cost` on a machine that runs nothing else:
the byte counts are those of the whole loopback interface, including TCP and IP
headers. The lines of the output vary the number of hosts, upstreams or
workspaces; the last line varies all three. No job runs. Each byte between two
hosts is counted once, although one host sends the byte and the other receives
it. The time until changed workspace settings are in force is measured as well.
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
SETTLING_TIME_S = 3.0
MEASUREMENT_TIME_S = 10.0
CHANGE_COUNT = 5


@dataclass(frozen=True, slots=True)
class DeploymentSize:
    """Numbers of hosts, listed upstreams and workspaces of a deployment."""

    host_count: int
    upstream_count: int
    workspace_count: int


DEPLOYMENT_SIZES = (
    DeploymentSize(3, 24, 1),
    DeploymentSize(9, 24, 1),
    DeploymentSize(18, 24, 1),
    DeploymentSize(30, 24, 1),
    DeploymentSize(9, 500, 1),
    DeploymentSize(9, 2_000, 1),
    DeploymentSize(9, 24, 100),
    DeploymentSize(9, 24, 760),
    DeploymentSize(30, 2_000, 760),
)


def main() -> None:
    """Prints one line for each deployment size."""
    for size in DEPLOYMENT_SIZES:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_measure(size, pathlib.Path(folder)))


async def _measure(size: DeploymentSize, folder: pathlib.Path) -> None:
    deployment = fleet.Deployment(folder, POLICY)
    try:
        await deployment.start(
            [_host_entry(number) for number in range(size.host_count)],
            (),
            {},
            {core_setup.workspace_id(0): [_template()]},
            listed_only_upstreams=core_setup.upstream_entries(
                size.upstream_count
            ),
        )
        await _add_workspaces(deployment, size.workspace_count)
        await asyncio.sleep(SETTLING_TIME_S)
        idle_cost = await _idle_cost(deployment)
        changes_s = await _change_times_s(deployment)
    finally:
        deployment.close()
    print(
        f"hosts={size.host_count} upstreams={size.upstream_count} "
        f"workspaces={size.workspace_count} {idle_cost} "
        f"change_in_force_ms_median={1e3 * statistics.median(changes_s):.0f} "
        f"change_in_force_ms_max={1e3 * max(changes_s):.0f}",
        flush=True,
    )


async def _add_workspaces(deployment: fleet.Deployment, count: int) -> None:
    for number in range(1, count):
        await deployment.put_workspace(
            core_setup.workspace_id(number), [_template()], version=0
        )


async def _idle_cost(deployment: fleet.Deployment) -> str:
    """Returns CPU time, memory and traffic of idle hosts as output text."""
    machine_time = fleet.MachineTime.now()
    bytes_before = _loopback_bytes()
    usage_before = deployment.host_usage()
    started_at = time.monotonic()
    await asyncio.sleep(MEASUREMENT_TIME_S)
    elapsed_s = time.monotonic() - started_at
    usage_after = deployment.host_usage()
    host_count = len(deployment.hosts)
    cpu_share_per_host = (
        (usage_after.cpu_s - usage_before.cpu_s) / elapsed_s / host_count
    )
    bytes_per_s = (_loopback_bytes() - bytes_before) / elapsed_s / host_count
    return (
        f"cpu_share_each={cpu_share_per_host:.4f} "
        f"rss_mb_largest={usage_after.rss_bytes / 1e6:.1f} "
        f"loopback_bytes_per_s_each={bytes_per_s:.0f} "
        f"stolen_share={machine_time.stolen_share_until_now():.3f}"
    )


async def _change_times_s(deployment: fleet.Deployment) -> Sequence[float]:
    """Returns the times in seconds until changed settings are in force."""
    times_s = []
    for version in range(1, CHANGE_COUNT + 1):
        started_at = time.monotonic()
        await deployment.put_workspace(
            core_setup.workspace_id(0), [_template()], version=version
        )
        times_s.append(time.monotonic() - started_at)
    return times_s


def _host_entry(number: int) -> model.HostEntry:
    return model.HostEntry(
        ids.HostId(f"h{number}"),
        core_setup.domain_id(number),
        ids.Incarnation(""),
        "",
    )


def _template() -> model.Template:
    return model.Template(core_setup.TEMPLATE, "/check")


def _loopback_bytes() -> int:
    """Returns the bytes that the loopback interface has received."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[0])
    raise RuntimeError("/proc/net/dev lists no interface named lo")


if __name__ == "__main__":
    main()
