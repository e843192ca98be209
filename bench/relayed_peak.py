"""Measures whole hosts at a peak of starts, with and without order relays.

    python -m bench.relayed_peak

The hosts are processes of their own on loopback; the stand-ins of the platform
and the callers are two more. A steady rate of jobs goes to all hosts in turn.
Printed are the processor time of each host for each run, and how long callers
waited. All upstreams are one process: above some 200 runs a second on a busy machine
it answers too late, and the figures are those of the stand-ins.
"""

import asyncio
import random
import statistics
from typing import Annotated

import typer

from bench import host_processes
from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.standins import leased_platform

DOMAINS = ("a", "a", "b", "b")
UPSTREAMS = 24
SLOTS = 8
RUN_TIME_S = 0.06
TASKS_PER_JOB = 4
WARM_UP_S = 1.0
SETTLE_S = 4.0
JOB_TIMEOUT_S = 4.0
_US_PER_S = 1_000_000


def main(
    jobs_per_s: Annotated[
        str, typer.Option(help="Jobs a second, by comma.")
    ] = "50,100",
    duration_s: Annotated[float, typer.Option(help="Time of a run.")] = 5.0,
    seeds: Annotated[int, typer.Option(help="Seeds of the arrivals.")] = 2,
) -> None:
    """Prints the cost of runs and the wait of callers."""
    for rate in map(float, jobs_per_s.split(",")):
        for seed in range(seeds):
            for relayed in (False, True):
                asyncio.run(_measure(rate, duration_s, seed, relayed=relayed))


async def _measure(
    rate: float, duration_s: float, seed: int, *, relayed: bool
) -> None:
    plan = host_processes.UpstreamPlan(
        UPSTREAMS, tuple(sorted(set(DOMAINS))), SLOTS, RUN_TIME_S
    )
    processes = host_processes.HostProcesses(DOMAINS, plan, relayed=relayed)
    try:
        processes.start()
        await processes.wait_ready()
        await asyncio.sleep(SETTLE_S)
        callers = processes.callers
        await _send_jobs(callers, rate, WARM_UP_S, seed, prefix=0)
        await asyncio.sleep(0.2)
        before = processes.states()
        waits, failed = await _send_jobs(
            callers, rate, duration_s, seed, prefix=1 << 20
        )
        await asyncio.sleep(0.2)
        after = processes.states()
    finally:
        processes.close()
    runs = len(waits) * TASKS_PER_JOB
    used = [
        (end.cpu_s - begin.cpu_s) / max(1, runs) * _US_PER_S
        for begin, end in zip(before, after, strict=True)
    ]
    leader = next(n for n, each in enumerate(after) if each.leads)
    others = [each for n, each in enumerate(used) if n != leader]
    relayed_calls = after[leader].relayed_count - before[leader].relayed_count
    waits.sort()
    print(
        f"relayed={relayed} jobs_per_s={rate:.0f} "
        f"runs_per_s={rate * TASKS_PER_JOB:.0f} seed={seed} "
        f"answered={len(waits)} failed={failed} "
        f"leader_us_a_run={used[leader]:.0f} "
        f"others_us_a_run={sum(others):.0f} "
        f"relayed_calls={relayed_calls} "
        f"lost={after[leader].lost_count} "
        f"wait_p50_ms={statistics.median(waits) * 1_000:.0f} "
        f"wait_p95_ms={waits[len(waits) * 95 // 100] * 1_000:.0f}",
        flush=True,
    )


async def _send_jobs(
    callers: list[str],
    rate: float,
    duration_s: float,
    seed: int,
    *,
    prefix: int,
) -> tuple[list[float], int]:
    """Sends jobs at a rate; returns the waits of those served, and the rest."""
    rng = random.Random(seed)
    client = http_client.HttpClient()
    loop = asyncio.get_running_loop()
    waits: list[float] = []
    failed = 0

    async def send(number: int) -> None:
        nonlocal failed
        started_at = loop.time()
        try:
            response = await client.request(
                callers[number % len(callers)],
                leased_platform.job_request(
                    number, tasks=TASKS_PER_JOB, wait_s=JOB_TIMEOUT_S
                ),
                deadline=started_at + JOB_TIMEOUT_S + 1.0,
                max_body_bytes=10_000,
            )
        except http_connection.ExchangeError:
            failed += 1
            return
        if response.status == 200:
            waits.append(loop.time() - started_at)
        else:
            failed += 1

    tasks = []
    due_at = loop.time()
    end = due_at + duration_s
    number = prefix
    while due_at < end:
        await asyncio.sleep(max(0.0, due_at - loop.time()))
        tasks.append(asyncio.create_task(send(number)))
        number += 1
        due_at += rng.expovariate(rate)
    await asyncio.gather(*tasks)
    await client.close()
    return waits, failed


if __name__ == "__main__":
    typer.run(main)
