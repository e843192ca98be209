"""Demo on stand-ins of the users' platform.

Three hosts serve jobs; the leader is closed halfway, and the others serve the
rest.
"""

import asyncio

import msgspec

from godwitnotch import leased_root
from godwitnotch import log
from godwitnotch.core import ids
from godwitnotch.net import http_client
from godwitnotch.net import listeners
from godwitnotch.platform import settings
from godwitnotch.standins import leased_platform

DOMAINS = ("a", "b", "c")
UPSTREAMS_PER_DOMAIN = 2
JOB_COUNT = 30
TASKS_PER_JOB = 3
START_TIMEOUT_S = 15.0
JOB_TIMEOUT_S = 10.0
TERMINATION_GRACE_S = 6.0

_IP = "127.0.0.1"
_POLL_S = 0.02


class _DemoResult(msgspec.Struct, frozen=True):
    """Result of the demo's jobs.

    Attributes:
        completed: Number of jobs that were answered as completed.
        starts: Number of runs that were started.
        repeated_starts: Number of runs in addition to the first run of each
            task.
    """

    completed: int
    starts: int
    repeated_starts: int


def run() -> int:
    """Runs the demo and returns the exit code."""
    log.configure(level="error")
    result = asyncio.run(_run())
    print(
        f"outcome=complete jobs={JOB_COUNT} completed={result.completed} "
        f"tasks={JOB_COUNT * TASKS_PER_JOB} starts={result.starts} "
        f"twice={result.repeated_starts}"
    )
    succeeded = (
        result.completed == JOB_COUNT
        and result.starts >= JOB_COUNT * TASKS_PER_JOB
    )
    return 0 if succeeded else 1


async def _run() -> _DemoResult:
    store = leased_platform.StandInStore()
    address = await store.start()
    store.put_configuration("orders")
    upstreams = await _start_upstreams(store)
    hosts = [await _start_host(domain, address) for domain in DOMAINS]
    client = http_client.HttpClient()
    try:
        await _wait_ready(hosts)
        half = JOB_COUNT // 2
        completed = await _send_jobs(client, hosts, range(half))
        leader = next(host for host in hosts if host.leads)
        hosts.remove(leader)
        await leader.close()
        completed += await _send_jobs(client, hosts, range(half, JOB_COUNT))
    finally:
        await client.close()
        for host in hosts:
            await host.close()
        for upstream in upstreams:
            await upstream.close()
        await store.close()
    starts = [task for upstream in upstreams for task in upstream.starts]
    return _DemoResult(completed, len(starts), len(starts) - len(set(starts)))


async def _start_upstreams(
    store: leased_platform.StandInStore,
) -> list[leased_platform.StandInUpstream]:
    upstreams = []
    for domain in DOMAINS:
        for number in range(UPSTREAMS_PER_DOMAIN):
            upstream = leased_platform.StandInUpstream(
                upstream=f"{domain}-{number}", domain=domain, service="orders"
            )
            await upstream.start()
            store.put_upstream(upstream)
            upstreams.append(upstream)
    return upstreams


async def _start_host(domain: str, store: str) -> leased_root.LeasedHost:
    sockets = [listeners.bind(_IP, 0) for _ in range(4)]
    callers, ready, peers, metrics = (
        bound.getsockname()[1] for bound in sockets
    )
    host = leased_root.LeasedHost(
        settings.PlatformSettings(
            name=f"demo-{domain}",
            domain=ids.DomainId(domain),
            callers=f"{_IP}:{callers}",
            ready=f"{_IP}:{ready}",
            peers=ids.HostId(f"{_IP}:{peers}"),
            metrics_port=metrics,
            seeds=(),
            store=store,
            relative_cpu_speed=1.0,
            link_mbps=settings.DEFAULT_LINK_MBPS,
            termination_grace_s=TERMINATION_GRACE_S,
        )
    )
    await host.start(
        {f"{_IP}:{bound.getsockname()[1]}": bound for bound in sockets}
    )
    return host


async def _wait_ready(hosts: list[leased_root.LeasedHost]) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while not all(host.ready for host in hosts):
            await asyncio.sleep(_POLL_S)


async def _send_jobs(
    client: http_client.HttpClient,
    hosts: list[leased_root.LeasedHost],
    numbers: range,
) -> int:
    """Sends jobs round-robin to the hosts; returns how many completed."""
    answers = await asyncio.gather(
        *(
            _send_job(client, hosts[number % len(hosts)], number)
            for number in numbers
        )
    )
    return sum(answers)


async def _send_job(
    client: http_client.HttpClient, host: leased_root.LeasedHost, number: int
) -> bool:
    deadline = asyncio.get_running_loop().time() + JOB_TIMEOUT_S
    response = await client.request(
        host.callers,
        leased_platform.job_request(
            number, tasks=TASKS_PER_JOB, wait_s=JOB_TIMEOUT_S
        ),
        deadline=deadline,
        max_body_bytes=10_000,
    )
    return response.status == 200
