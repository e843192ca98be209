"""Measures the processor time of idle hosts by how many there are.

    python -m bench.idle_hosts --hosts 3,9,33

The hosts are processes on loopback in three failure domains, with few upstreams
and no job. Printed are the shares of a core that hosts use which don't lead,
and the share of the leader.
"""

import asyncio
import statistics
from typing import Annotated

import typer

from bench import host_processes

DOMAINS = ("a", "b", "c")
UPSTREAMS = host_processes.UpstreamPlan(6, DOMAINS)
SETTLE_S = 4.0  # Hosts that have just linked still tell each other the news.


def main(
    hosts: Annotated[
        str, typer.Option(help="Numbers of hosts, by comma.")
    ] = "3,9,18,33",
    duration_s: Annotated[float, typer.Option(help="Time of a run.")] = 10.0,
) -> None:
    """Prints a line for each number of hosts."""
    for count in map(int, hosts.split(",")):
        asyncio.run(_measure(count, duration_s))


async def _measure(count: int, duration_s: float) -> None:
    domains = [DOMAINS[n % len(DOMAINS)] for n in range(count)]
    processes = host_processes.HostProcesses(domains, UPSTREAMS)
    try:
        processes.start()
        await processes.wait_ready()
        await asyncio.sleep(SETTLE_S)
        before = processes.states()
        await asyncio.sleep(duration_s)
        after = processes.states()
    finally:
        processes.close()
    pairs = list(zip(before, after, strict=True))
    shares = [(end.cpu_s - begin.cpu_s) / duration_s for begin, end in pairs]
    leading = [
        share
        for share, (_, end) in zip(shares, pairs, strict=True)
        if end.leads
    ]
    idle = [
        share
        for share, (_, end) in zip(shares, pairs, strict=True)
        if not end.leads
    ]
    print(
        f"hosts={count} idle_core_share_median={statistics.median(idle):.4f} "
        f"idle_core_share_max={max(idle):.4f} "
        f"leader_core_share={max(leading, default=0.0):.4f}",
        flush=True,
    )


if __name__ == "__main__":
    typer.run(main)
