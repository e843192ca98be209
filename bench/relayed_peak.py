"""Measures whole hosts at a peak of starts, with and without order relays.

    python -m bench.relayed_peak

The hosts are processes of their own on loopback; the stand-ins of the platform
and the callers are two more. A steady rate of jobs goes to all hosts in turn.
Printed are the processor time of each host for each run, and how long callers
waited. All upstreams are one process: above some 200 runs a second on a busy machine
it answers too late, and the figures are those of the stand-ins.
"""

import asyncio
import logging
import multiprocessing
import multiprocessing.connection
import random
import statistics
import time
from collections.abc import Callable
from typing import Annotated

import typer

from godwitnotch import leased_root
from godwitnotch.core import ids
from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.net import listeners
from godwitnotch.platform import settings
from godwitnotch.standins import leased_platform

DOMAINS = ("a", "a", "b", "b")
UPSTREAMS = 24
SLOTS = 8
RUN_TIME_S = 0.06
TASKS_PER_JOB = 4
WARM_UP_S = 1.0
SETTLE_S = 4.0
START_TIMEOUT_S = 20.0
JOB_TIMEOUT_S = 4.0
_IP = "127.0.0.1"
_US_PER_S = 1_000_000

Pipe = multiprocessing.connection.Connection


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
    context = multiprocessing.get_context("spawn")
    processes = []

    def start(target: Callable[..., None], *args: object) -> Pipe:
        here, there = context.Pipe()
        process = context.Process(
            target=target, args=(there, *args), daemon=True
        )
        process.start()
        processes.append(process)
        return here

    try:
        store = (start(_serve_platform)).recv()
        hosts = [
            start(_serve_host, number, domain, store, relayed)
            for number, domain in enumerate(DOMAINS)
        ]
        callers = [host.recv() for host in hosts]
        await _wait_ready(hosts)
        await _send_jobs(callers, rate, WARM_UP_S, seed, prefix=0)
        await asyncio.sleep(0.2)
        before = [_ask(host) for host in hosts]
        waits, failed = await _send_jobs(
            callers, rate, duration_s, seed, prefix=1 << 20
        )
        await asyncio.sleep(0.2)
        after = [_ask(host) for host in hosts]
        runs = len(waits) * TASKS_PER_JOB
        used = [
            (end[0] - begin[0]) / max(1, runs) * _US_PER_S
            for begin, end in zip(before, after, strict=True)
        ]
        leader = next(n for n, each in enumerate(after) if each[1])
        others = [each for n, each in enumerate(used) if n != leader]
        waits.sort()
        print(
            f"relayed={relayed} jobs_per_s={rate:.0f} "
            f"runs_per_s={rate * TASKS_PER_JOB:.0f} seed={seed} "
            f"answered={len(waits)} failed={failed} "
            f"leader_us_a_run={used[leader]:.0f} "
            f"others_us_a_run={sum(others):.0f} "
            f"relayed_calls={after[leader][2] - before[leader][2]} "
            f"lost={after[leader][3]} "
            f"wait_p50_ms={statistics.median(waits) * 1_000:.0f} "
            f"wait_p95_ms={waits[len(waits) * 95 // 100] * 1_000:.0f}",
            flush=True,
        )
    finally:
        for process in processes:
            # A host answers SIGTERM with a drain.
            process.kill()
            process.join()


def _ask(host: Pipe) -> tuple[float, bool, int, int]:
    """Asks a host for its processor time, whether it leads, and its relays."""
    host.send("state")
    state: tuple[float, bool, int, int] = host.recv()
    return state


async def _wait_ready(hosts: list[Pipe]) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while sum(_ask(host)[1] for host in hosts) != 1:
            await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_S)


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


def _serve_platform(pipe: Pipe) -> None:
    async def serve() -> None:
        store = leased_platform.StandInStore()
        address = await store.start()
        store.put_configuration("orders")
        domains = sorted(set(DOMAINS))
        for number in range(UPSTREAMS):
            upstream = leased_platform.StandInUpstream(
                upstream=f"u-{number}",
                domain=domains[number % len(domains)],
                service="orders",
                slots=SLOTS,
                run_time_s=RUN_TIME_S,
            )
            await upstream.start()
            store.put_upstream(upstream)
        pipe.send(address)
        await asyncio.get_running_loop().create_future()

    asyncio.run(serve())


def _serve_host(
    pipe: Pipe, number: int, domain: str, store: str, relayed: bool
) -> None:
    async def serve() -> None:
        logging.disable(logging.CRITICAL)
        sockets = [listeners.bind(_IP, 0) for _ in range(4)]
        callers, ready, peers, metrics = (
            bound.getsockname()[1] for bound in sockets
        )
        host = leased_root.LeasedHost(
            settings.PlatformSettings(
                name=f"bench-{number}",
                domain=ids.DomainId(domain),
                callers=f"{_IP}:{callers}",
                ready=f"{_IP}:{ready}",
                peers=ids.HostId(f"{_IP}:{peers}"),
                metrics_port=metrics,
                seeds=(),
                store=store,
                relative_cpu_speed=1.0,
                link_mbps=settings.DEFAULT_LINK_MBPS,
                termination_grace_s=6.0,
            )
        )
        relays = host._core.relays
        limit = -1.0 if relayed else float("inf")
        relays._start_limit = relays._stop_limit = limit
        await host.start(
            {f"{_IP}:{bound.getsockname()[1]}": bound for bound in sockets}
        )

        def answer() -> None:
            pipe.recv()
            pipe.send(
                (
                    time.process_time(),
                    host.leads,
                    relays.relayed_count,
                    relays.lost_count,
                )
            )

        asyncio.get_running_loop().add_reader(pipe.fileno(), answer)
        pipe.send(f"{_IP}:{callers}")
        await asyncio.get_running_loop().create_future()

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(main)
