"""Measures what one host process costs for each job and task.

    python -m bench.thin_path

One host, eight upstreams and a platform run as processes of their own; some
callers each send one job after another, of tasks that take no time. Processor
time and memory are those of the host process alone. The costs of a job and of
a task come from a least-squares fit over job sizes. Bytes are those between
callers and host, counted by a relay in a pass of their own.
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

UPSTREAMS = 8
SLOTS = 64
CONNECTIONS = 64
JOB_SIZES = (1, 10, 50, 110)
TASKS_EACH_SIZE = 25_000
COUNTED_TASKS = 500
CALLERS = 8
RESERVE_BLOCK = 200
TIMEOUT_S = 60.0
_BUFFER_BYTES = 65_536
_MAX_ANSWER_BYTES = 1_000_000
_HOST = model.HostEntry(
    ids.HostId("h1"), ids.DomainId("d1"), ids.Incarnation("0"), ""
)
_WORKSPACE = ids.WorkspaceId("bench")
_TEMPLATE = model.Template(ids.TemplateName("run"), "/run")


@dataclass(frozen=True, slots=True)
class Pass:
    """What one pass of jobs of one size cost."""

    job_size: int
    jobs: int
    elapsed_s: float
    cpu_s: float
    stolen_share: float

    @property
    def tasks(self) -> int:
        """Tasks of all jobs."""
        return self.jobs * self.job_size


def main(
    policy: Annotated[
        str, typer.Option(help="Policy of the host.")
    ] = "credits",
    tasks: Annotated[
        int, typer.Option(help="Tasks for each job size.")
    ] = TASKS_EACH_SIZE,
) -> None:
    """Prints jobs/s, tasks/s, cost for each job and task, and memory."""
    fleet.end_on_sigterm()
    asyncio.run(_measure(policy, tasks))


async def _measure(policy: str, tasks: int) -> None:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="godwitnotch-thin-"))
    target = fleet.Fleet(folder, policy)
    try:
        await _start(target)
        node = target.hosts[_HOST.host]
        idle = node.process.usage()
        print(f"policy={policy} rss_idle_mb={idle.rss_bytes / 1e6:.1f}")
        passes = []
        for size in JOB_SIZES:
            passes.append(await _run_pass(target, size, tasks))
            print(_pass_line(passes[-1]), flush=True)
        loaded = node.process.usage()
        total = sum(each.tasks for each in passes)
        print(
            f"rss_after_{total}_tasks_mb={loaded.rss_bytes / 1e6:.1f} "
            f"bytes_for_each_task={await _bytes_for_each_task(target):.0f}"
        )
        job_us, task_us = _fit(passes)
        print(f"cpu_us_for_each_job={job_us:.0f} for_each_task={task_us:.0f}")
    finally:
        target.close()


async def _start(target: fleet.Fleet) -> None:
    upstreams = [
        model.UpstreamEntry(
            ids.UpstreamId(f"u{number}"),
            _HOST.domain,
            "r1",
            "",
            SLOTS,
            CONNECTIONS,
        )
        for number in range(UPSTREAMS)
    ]
    speeds = {each.upstream: 1.0 for each in upstreams}
    await target.start([_HOST], upstreams, speeds, {_WORKSPACE: [_TEMPLATE]})


async def _run_pass(target: fleet.Fleet, size: int, tasks: int) -> Pass:
    node = target.hosts[_HOST.host]
    jobs = tasks // size
    callers = [_Caller(node.address, size) for _ in range(CALLERS)]
    share = jobs // CALLERS
    for caller in callers:
        await caller.reserve(share)
    before = node.process.usage()
    machine = fleet.MachineTime.now()
    began_at = time.perf_counter()
    await asyncio.gather(*(caller.submit_all() for caller in callers))
    elapsed_s = time.perf_counter() - began_at
    cpu_s = node.process.usage().cpu_s - before.cpu_s
    stolen_share = machine.stolen_share_since()
    return Pass(size, share * CALLERS, elapsed_s, cpu_s, stolen_share)


class _Caller:
    """Sends one job after another."""

    def __init__(self, address: str, job_size: int) -> None:
        self._address = address
        self._client = http_client.HttpClient(max_connections=1)
        self._reserved: list[str] = []
        payloads = [{"sleep_ms": 0, "task": n} for n in range(job_size)]
        self._job = {"template": _TEMPLATE.name, "tasks": payloads}
        self._wanted = payloads

    async def reserve(self, count: int) -> None:
        for first in range(0, count, RESERVE_BLOCK):
            block = {"count": min(RESERVE_BLOCK, count - first)}
            answer = await self._call("POST", "reservations", block)
            self._reserved += answer["ids"]

    async def submit_all(self) -> None:
        for submission in self._reserved:
            answer = await self._call("PUT", f"jobs/{submission}", self._job)
            if answer.get("results") != self._wanted:
                raise RuntimeError(f"a job was not answered whole: {answer}")
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
            max_body_bytes=_MAX_ANSWER_BYTES,
        )
        answer: dict[str, Any] = json.loads(response.body)
        return answer


class _CountingRelay:
    """Passes bytes between a client and a server, and counts them."""

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
        far = await asyncio.open_connection(self._host, int(self._port))
        back = asyncio.create_task(self._copy(far[0], writer))
        await self._copy(reader, far[1])
        await back

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(_BUFFER_BYTES):
            self.byte_count += len(data)
            writer.write(data)
        writer.close()


async def _bytes_for_each_task(target: fleet.Fleet) -> float:
    """Returns bytes of HTTP between callers and host, both ways."""
    relay = _CountingRelay(target.hosts[_HOST.host].address)
    caller = _Caller(await relay.start(), JOB_SIZES[1])
    await caller.reserve(COUNTED_TASKS // JOB_SIZES[1])
    await caller.submit_all()
    await relay.close()
    return relay.byte_count / COUNTED_TASKS


def _fit(passes: Sequence[Pass]) -> tuple[float, float]:
    """Returns microseconds for each job and task by least squares.

    Each pass counts alike: its equation is divided by its tasks.
    """
    points = [
        (1 / each.job_size, 1e6 * each.cpu_s / each.tasks) for each in passes
    ]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    below = sum((x - mean_x) ** 2 for x, _ in points)
    job_us = above / below
    return job_us, mean_y - job_us * mean_x


def _pass_line(done: Pass) -> str:
    return (
        f"job_size={done.job_size} jobs={done.jobs} "
        f"jobs_per_s={done.jobs / done.elapsed_s:.0f} "
        f"tasks_per_s={done.tasks / done.elapsed_s:.0f} "
        f"core_share={done.cpu_s / done.elapsed_s:.2f} "
        f"cpu_us_for_each_task={1e6 * done.cpu_s / done.tasks:.0f} "
        f"tasks_per_core_s={done.tasks / done.cpu_s:.0f} "
        f"stolen_share={done.stolen_share:.2f}"
    )


if __name__ == "__main__":
    typer.run(main)
