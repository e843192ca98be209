"""Submits thousands of jobs to real hosts while faults are injected.

Jobs are also resubmitted at other hosts. All answers are checked against the
start logs of the upstreams. The seed fixes the jobs and the order of the
faults, but not their timing. `make failures` runs this module.
"""

import argparse
import asyncio
import contextlib
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass

from tests.process import caller
from tests.process import cluster
from tests.process import fleet

HOST_PAUSE_S = 3.8  # Longer than the silence timeout of the peer links.
FAULT_INTERVAL_S = 0.4
JOB_TIMEOUT_S = 5.0
SHUTDOWN_TIMEOUT_S = 60.0
MAX_TASKS = 4
MAX_SLEEP_MS = 40
MIN_FREE_HOSTS = 2


@dataclass(frozen=True, slots=True)
class Plan:
    """Size and seed of a run.

    Attributes:
        job_count: Number of submitted jobs.
        caller_count: Number of callers that submit jobs concurrently.
        seed: Fixes the jobs and the order of the faults.
        faults: Names of the injected faults; empty for all.
        concurrent_faults: Number of faults that are active at the same time.
    """

    job_count: int
    caller_count: int
    seed: int
    faults: tuple[str, ...] = ()
    concurrent_faults: int = 1


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a run.

    Attributes:
        job_count: Number of submitted jobs.
        answer_count: Number of received answers.
        start_count: Number of task starts that the upstreams logged.
        outcomes: Number of answers with each outcome and reason.
        faults: How often each fault was injected.
        violations: Broken promises, a line each.
    """

    job_count: int
    answer_count: int
    start_count: int
    outcomes: dict[str, int]
    faults: dict[str, int]
    violations: list[str]

    @property
    def summary(self) -> str:
        """One-line summary."""
        return (
            f"jobs={self.job_count} answers={self.answer_count} "
            f"starts={self.start_count} "
            f"faults={sum(self.faults.values())} "
            f"violations={len(self.violations)}"
        )


class NoFreeHostError(Exception):
    """Too few hosts are unclaimed for another fault that affects a host."""


Fault = Callable[["Run"], Awaitable[None]]
_FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a function that injects a fault."""

    def register(function: Fault) -> Fault:
        _FAULTS[name] = function
        return function

    return register


class Run:
    """A run of a plan.

    Attributes:
        fleet: The processes and relays.
        rng: Source of random numbers for the faults.
        terminated_hosts: Hosts that were shut down gracefully.
    """

    def __init__(self, plan: Plan) -> None:
        self.fleet = fleet.Fleet()
        self.rng = random.Random(plan.seed)
        self.terminated_hosts: list[cluster.Host] = []
        self._plan = plan
        self._load_rng = random.Random(plan.seed + 1)
        self._live_hosts: list[cluster.Host] = []
        self._claimed_hosts: list[cluster.Host] = []
        self._faults: Counter[str] = Counter()
        self._submitted: list[tuple[str, list[object]]] = []
        self._jobs_left = plan.job_count

    async def run(self) -> Report:
        """Runs the load under faults, then resubmits every job."""
        await self.fleet.start(upstreams_per_domain=2)
        self._live_hosts = list(self.fleet.hosts)
        injectors = [
            asyncio.create_task(self._inject_faults())
            for _ in range(self._plan.concurrent_faults)
        ]
        callers = [
            asyncio.create_task(self._call())
            for _ in range(self._plan.caller_count)
        ]
        await asyncio.gather(*callers)
        self._jobs_left = -1
        await asyncio.gather(*injectors)
        await self.fleet.cluster.wait_linked(*self._live_hosts)
        await self._resubmit_all()
        return await self._report()

    @contextlib.contextmanager
    def claim_host(self) -> Iterator[cluster.Host]:
        """Claims a random live host for a fault.

        Raises:
            NoFreeHostError: Fewer than MIN_FREE_HOSTS hosts are unclaimed.
        """
        free = [
            host for host in self._live_hosts if host not in self._claimed_hosts
        ]
        if len(free) < MIN_FREE_HOSTS:
            raise NoFreeHostError
        host = self.rng.choice(free)
        self._claimed_hosts.append(host)
        try:
            yield host
        finally:
            self._claimed_hosts.remove(host)

    async def replace(self, host: cluster.Host) -> None:
        """Starts a new process for a host whose process has ended."""
        self._live_hosts.remove(host)
        successor = await self.fleet.start_host(host.domain)
        self._live_hosts.append(successor)

    async def _inject_faults(self) -> None:
        names = sorted(self._plan.faults or _FAULTS)
        while self._jobs_left >= 0:
            self.rng.shuffle(names)
            for name in names:
                if self._jobs_left < 0:
                    return
                await asyncio.sleep(FAULT_INTERVAL_S)
                with contextlib.suppress(NoFreeHostError):
                    await _FAULTS[name](self)
                    self._faults[name] += 1

    async def _call(self) -> None:
        while self._jobs_left > 0:
            self._jobs_left -= 1
            if self._load_rng.random() < 0.25:
                await self._keyed_job(self._jobs_left)
            else:
                await self._reserved_job()

    async def _reserved_job(self) -> None:
        reserved = await self._reserve()
        if reserved is None:
            return
        payloads = self._payloads(reserved)
        self._submitted.append((reserved, payloads))
        first = self._submit(reserved, payloads)
        if self._load_rng.random() < 0.5:
            await asyncio.gather(first, self._submit(reserved, payloads))
            return
        answer = await first
        if answer.outcome != "complete" or self._load_rng.random() < 0.3:
            await self._submit(reserved, payloads)

    async def _keyed_job(self, number: int) -> None:
        key = f"order-{number}"
        payloads = self._payloads(key)
        answers = await asyncio.gather(
            *(self._submit_keyed(key, payloads) for _ in range(2))
        )
        if any(answer.outcome != "complete" for answer in answers):
            await self._submit_keyed(key, payloads)

    async def _reserve(self) -> str | None:
        for _ in range(10):
            host = self._load_rng.choice(self._live_hosts)
            answer = await self.fleet.cluster.caller.try_reserve(host.address)
            if answer.code == 201:
                return str(answer.value["ids"][0])
            await asyncio.sleep(0.05)
        return None

    async def _submit(
        self, submission: str, payloads: list[object]
    ) -> caller.Answer:
        return await self.fleet.submit(
            self._load_rng.choice(self._live_hosts),
            submission,
            payloads,
            timeout_s=JOB_TIMEOUT_S,
        )

    async def _submit_keyed(
        self, key: str, payloads: list[object]
    ) -> caller.Answer:
        return await self.fleet.submit_keyed(
            self._load_rng.choice(self._live_hosts),
            key,
            payloads,
            timeout_s=JOB_TIMEOUT_S,
        )

    def _payloads(self, name: str) -> list[object]:
        return [
            {
                "sleep_ms": self._load_rng.randrange(5, MAX_SLEEP_MS),
                "job": name,
                "n": number,
            }
            for number in range(self._load_rng.randrange(1, MAX_TASKS + 1))
        ]

    async def _resubmit_all(self) -> None:
        """Submits every job again at a random host."""
        semaphore = asyncio.Semaphore(self._plan.caller_count)

        async def again(job: tuple[str, list[object]]) -> None:
            async with semaphore:
                await self._submit(*job)

        await asyncio.gather(*(again(job) for job in self._submitted))

    async def _report(self) -> Report:
        outcomes = self.fleet.answer_log.outcomes()
        violations = await self.fleet.violations()
        violations += self.fleet.cluster.unexpected_exceptions()
        violations += _unclean_shutdowns(self.terminated_hosts)
        return Report(
            job_count=self._plan.job_count,
            answer_count=sum(outcomes.values()),
            start_count=len(await self.fleet.cluster.starts()),
            outcomes=outcomes,
            faults=dict(sorted(self._faults.items())),
            violations=violations,
        )


@fault("host_killed")
async def _kill(run: Run) -> None:
    with run.claim_host() as host:
        host.process.send_signal(signal.SIGKILL)
        await host.process.wait()
        await run.replace(host)


@fault("host_paused")
async def _pause(run: Run) -> None:
    with run.claim_host() as host:
        host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(HOST_PAUSE_S)
        host.process.send_signal(signal.SIGCONT)


@fault("host_terminated")
async def _terminate(run: Run) -> None:
    with run.claim_host() as host:
        host.process.send_signal(signal.SIGTERM)
        await host.process.wait(timeout_s=SHUTDOWN_TIMEOUT_S)
        run.terminated_hosts.append(host)
        await run.replace(host)


@fault("links_cut")
async def _cut_links(run: Run) -> None:
    relays = run.fleet.peers.values()
    for each in relays:
        each.cut()
    await asyncio.sleep(1.0)
    for each in relays:
        each.heal()


@fault("links_silent")
async def _silence_links(run: Run) -> None:
    for each in run.fleet.peers.values():
        each.silence_open_connections()


@fault("upstream_connections_cut")
async def _cut_upstreams(run: Run) -> None:
    relays = run.fleet.upstreams.values()
    for each in relays:
        each.cut()
    await asyncio.sleep(0.2)
    for each in relays:
        each.heal()


@fault("upstream_connections_silent")
async def _silence_upstreams(run: Run) -> None:
    for each in run.fleet.upstreams.values():
        each.silence_open_connections()


@fault("upstreams_refuse")
async def _refuse(run: Run) -> None:
    deployment = run.fleet.cluster
    upstream = run.rng.choice(deployment.upstreams)
    await deployment.set_faults(upstream.address, not_started="full")
    await asyncio.sleep(0.5)
    await deployment.set_faults(upstream.address, not_started="")


@fault("platform_down")
async def _stop_platform(run: Run) -> None:
    deployment = run.fleet.cluster
    await deployment.set_faults(deployment.platform, down=True)
    await asyncio.sleep(1.5)
    await deployment.set_faults(deployment.platform, down=False)


@fault("platform_loses_answers")
async def _lose_answers(run: Run) -> None:
    deployment = run.fleet.cluster
    await deployment.set_faults(deployment.platform, lose_answers=8)


@fault("platform_connections_silent")
async def _silence_platform(run: Run) -> None:
    run.fleet.platform.silence_open_connections()


def _unclean_shutdowns(hosts: list[cluster.Host]) -> list[str]:
    """Returns a line for each graceful shutdown that aborted jobs or failed."""
    return [
        f"{host.name} exit={host.process.exit_code} {line}"
        for host in hosts
        for line in host.process.log_lines("shutdown_cut")
        + host.process.log_lines("job_cut")
        + ([] if host.process.exit_code == 0 else ["exit code not 0"])
    ]


async def run_plan(plan: Plan) -> Report:
    """Runs a plan, then ends all processes of the run."""
    run = Run(plan)
    try:
        return await run.run()
    finally:
        await run.fleet.close()


def main() -> int:
    """Runs the plan given by the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=4_000)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=2)
    arguments = parser.parse_args()
    plan = Plan(
        arguments.jobs,
        arguments.callers,
        arguments.seed,
        concurrent_faults=arguments.at_once,
    )
    started_at = time.monotonic()
    report = asyncio.run(run_plan(plan))
    for name, count in {**report.outcomes, **report.faults}.items():
        print(f"{name}={count}")
    for violation in report.violations:
        print(f"violation: {violation}")
    print(f"seed={plan.seed} seconds={time.monotonic() - started_at:.0f}")
    print(report.summary)
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
