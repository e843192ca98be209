"""Measures CPU time, memory and traffic of one host process per job and task.

    python -m bench.thin_path

The tasks take no time at the upstreams, so that only the request path through
the host is measured. One host, eight upstreams and a platform stand-in run as
separate processes. Several callers each send one job after another. CPU time
and memory are those of the host process alone. The cost of a job and that of a
task come from a least-squares fit over job sizes. The bytes between callers
and host are counted by a relay in a separate pass.
"""

import asyncio
import json
import pathlib
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated
from typing import Any

import typer

from bench import fleet
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import http_client
from godwitnotch.net import http_types

UPSTREAM_COUNT = 8
SLOTS_PER_UPSTREAM = 64
CONNECTIONS_PER_UPSTREAM = 64
TASK_COUNTS = (1, 10, 50, 110)
TASKS_PER_PASS = 25_000
TRAFFIC_TASK_COUNT = 500
CALLER_COUNT = 8
RESERVATION_BATCH_SIZE = 200
TIMEOUT_S = 60.0
_BUFFER_BYTES = 65_536
_MAX_RESPONSE_BYTES = 1_000_000
_HOST = model.HostEntry(
    ids.HostId("h1"), ids.DomainId("d1"), ids.Incarnation("0"), ""
)
_WORKSPACE = ids.WorkspaceId("bench")
_TEMPLATE = model.Template(ids.TemplateName("run"), "/run")


@dataclass(frozen=True, slots=True)
class PassCost:
    """Cost of one pass, in which all jobs have the same size.

    Attributes:
        tasks_per_job: Number of tasks in each job.
        job_count: Number of jobs.
        elapsed_s: Duration of the pass, in seconds.
        cpu_s: CPU time of the host process, in seconds.
        stolen_share: Steal time as a share of busy and steal time.
    """

    tasks_per_job: int
    job_count: int
    elapsed_s: float
    cpu_s: float
    stolen_share: float

    @property
    def task_count(self) -> int:
        """Number of tasks of all jobs."""
        return self.job_count * self.tasks_per_job


def main(
    policy: Annotated[
        str, typer.Option(help="Scheduling policy of the host.")
    ] = "credits",
    tasks: Annotated[
        int, typer.Option(help="Tasks for each job size.")
    ] = TASKS_PER_PASS,
) -> None:
    """Prints throughput, CPU time per job and task, memory and traffic."""
    fleet.exit_on_sigterm()
    asyncio.run(_measure(policy, tasks))


async def _measure(policy: str, tasks_per_pass: int) -> None:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="godwitnotch-thin-"))
    deployment = fleet.Deployment(folder, policy)
    try:
        await _start_deployment(deployment)
        node = deployment.hosts[_HOST.host]
        idle_usage = node.process.usage()
        print(f"policy={policy} rss_idle_mb={idle_usage.rss_bytes / 1e6:.1f}")
        pass_costs = []
        for tasks_per_job in TASK_COUNTS:
            pass_costs.append(
                await _run_pass(deployment, tasks_per_job, tasks_per_pass)
            )
            print(_format_pass(pass_costs[-1]), flush=True)
        final_usage = node.process.usage()
        total_tasks = sum(cost.task_count for cost in pass_costs)
        print(
            f"rss_after_{total_tasks}_tasks_mb="
            f"{final_usage.rss_bytes / 1e6:.1f} "
            f"bytes_for_each_task={await _http_bytes_per_task(deployment):.0f}"
        )
        job_us, task_us = _fit_costs(pass_costs)
        print(f"cpu_us_for_each_job={job_us:.0f} for_each_task={task_us:.0f}")
    finally:
        deployment.close()


async def _start_deployment(deployment: fleet.Deployment) -> None:
    upstreams = [
        model.UpstreamEntry(
            ids.UpstreamId(f"u{number}"),
            _HOST.domain,
            "r1",
            "",
            SLOTS_PER_UPSTREAM,
            CONNECTIONS_PER_UPSTREAM,
        )
        for number in range(UPSTREAM_COUNT)
    ]
    speeds = {entry.upstream: 1.0 for entry in upstreams}
    await deployment.start(
        [_HOST], upstreams, speeds, {_WORKSPACE: [_TEMPLATE]}
    )


async def _run_pass(
    deployment: fleet.Deployment, tasks_per_job: int, task_count: int
) -> PassCost:
    """Sends jobs of one size from all callers and returns the cost."""
    node = deployment.hosts[_HOST.host]
    job_count = task_count // tasks_per_job
    callers = [
        _Caller(node.address, tasks_per_job) for _ in range(CALLER_COUNT)
    ]
    jobs_per_caller = job_count // CALLER_COUNT
    for caller in callers:
        await caller.reserve(jobs_per_caller)
    usage_before = node.process.usage()
    machine_time = fleet.MachineTime.now()
    started_at = time.perf_counter()
    await asyncio.gather(*(caller.submit_all() for caller in callers))
    elapsed_s = time.perf_counter() - started_at
    cpu_s = node.process.usage().cpu_s - usage_before.cpu_s
    stolen_share = machine_time.stolen_share_until_now()
    return PassCost(
        tasks_per_job,
        jobs_per_caller * CALLER_COUNT,
        elapsed_s,
        cpu_s,
        stolen_share,
    )


class _Caller:
    """Sends jobs one after another over one connection."""

    def __init__(self, address: str, tasks_per_job: int) -> None:
        self._address = address
        self._client = http_client.HttpClient(max_connections=1)
        self._reserved: list[str] = []
        payloads = [
            {"sleep_ms": 0, "task": index} for index in range(tasks_per_job)
        ]
        self._job = {"template": _TEMPLATE.name, "tasks": payloads}
        self._expected_results = payloads

    async def reserve(self, count: int) -> None:
        for batch_start in range(0, count, RESERVATION_BATCH_SIZE):
            request = {
                "count": min(RESERVATION_BATCH_SIZE, count - batch_start)
            }
            response_value = await self._call("POST", "reservations", request)
            self._reserved += response_value["ids"]

    async def submit_all(self) -> None:
        for submission in self._reserved:
            answer = await self._call("PUT", f"jobs/{submission}", self._job)
            if answer.get("results") != self._expected_results:
                raise RuntimeError(
                    f"job has wrong or missing results: {answer}"
                )
        await self._client.close()

    async def _call(
        self, method: str, path: str, value: object
    ) -> dict[str, Any]:
        request = http_types.HttpRequest(
            method,
            f"/v1/{_WORKSPACE}/{path}",
            headers={"authorization": f"Bearer {fleet.CALLER_TOKEN}"},
            body=json.dumps(value).encode(),
        )
        response = await self._client.request(
            self._address,
            request,
            deadline=asyncio.get_running_loop().time() + TIMEOUT_S,
            max_body_bytes=_MAX_RESPONSE_BYTES,
        )
        response_value: dict[str, Any] = json.loads(response.body)
        return response_value


class _CountingRelay:
    """Copies bytes between a client and a server and counts them."""

    def __init__(self, address: str) -> None:
        self.byte_count = 0
        self._host, _, self._port = address.rpartition(":")
        self._server: asyncio.Server
        self._relays: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        self._server.close()
        await asyncio.gather(*self._relays)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        relay = asyncio.create_task(self._relay(reader, writer))
        self._relays.append(relay)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server_streams = await asyncio.open_connection(
            self._host, int(self._port)
        )
        response_copy = asyncio.create_task(
            self._copy(server_streams[0], writer)
        )
        await self._copy(reader, server_streams[1])
        await response_copy

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(_BUFFER_BYTES):
            self.byte_count += len(data)
            writer.write(data)
        writer.close()


async def _http_bytes_per_task(deployment: fleet.Deployment) -> float:
    """Returns the HTTP bytes per task between caller and host, both ways."""
    relay = _CountingRelay(deployment.hosts[_HOST.host].address)
    caller = _Caller(await relay.start(), TASK_COUNTS[1])
    await caller.reserve(TRAFFIC_TASK_COUNT // TASK_COUNTS[1])
    await caller.submit_all()
    await relay.close()
    return relay.byte_count / TRAFFIC_TASK_COUNT


def _fit_costs(pass_costs: Sequence[PassCost]) -> tuple[float, float]:
    """Returns CPU microseconds per job and per task by least squares.

    Each pass has the same weight, because its cost is divided by its number
    of tasks.
    """
    points = [
        (1 / cost.tasks_per_job, 1e6 * cost.cpu_s / cost.task_count)
        for cost in pass_costs
    ]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance_sum = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance_sum = sum((x - mean_x) ** 2 for x, _ in points)
    job_us = covariance_sum / variance_sum
    return job_us, mean_y - job_us * mean_x


def _format_pass(cost: PassCost) -> str:
    return (
        f"job_size={cost.tasks_per_job} jobs={cost.job_count} "
        f"jobs_per_s={cost.job_count / cost.elapsed_s:.0f} "
        f"tasks_per_s={cost.task_count / cost.elapsed_s:.0f} "
        f"core_share={cost.cpu_s / cost.elapsed_s:.2f} "
        f"cpu_us_for_each_task={1e6 * cost.cpu_s / cost.task_count:.0f} "
        f"tasks_per_core_s={cost.task_count / cost.cpu_s:.0f} "
        f"stolen_share={cost.stolen_share:.2f}"
    )


if __name__ == "__main__":
    typer.run(main)
