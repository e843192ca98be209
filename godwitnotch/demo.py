"""Demo: runs one job on a host and stand-ins in the same process."""

import asyncio
import hashlib
import random
import secrets
import time
from collections.abc import Sequence
from typing import Any

import msgspec
import rich.console
import rich.progress
import rich.table

from godwitnotch import host_client
from godwitnotch import log
from godwitnotch import root
from godwitnotch import settings
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.standins import platform
from godwitnotch.standins import upstream

TASK_COUNT = 48
# Speed of each upstream; a task at speed 2.0 takes half its `sleep_ms`.
SPEEDS = (2.0, 1.0, 1.0, 0.5)
SLOTS_PER_UPSTREAM = 4
MIN_TASK_MS = 50
MAX_TASK_MS = 400
RANDOM_SEED = 7
JOB_TIMEOUT_S = 30.0
START_TIMEOUT_S = 10.0

_IP = "127.0.0.1"
_DOMAIN = ids.DomainId("demo")
_WORKSPACE = "demo"
_TEMPLATE = "sleep"
_POLL_S = 0.05
_CONNECTIONS_PER_UPSTREAM = 64


class DemoFailed(Exception):
    """The demo failed."""


class _DemoResult(msgspec.Struct, frozen=True):
    """Result of the demo's job.

    Attributes:
        answer: The host's answer to the job.
        correct_results: Number of results that equal the body of their task.
        starts: Number of task starts at all upstreams; the job is submitted
            twice.
        response_s: Time from the first request to its answer.
        ideal_s: Response time without waiting, messages or retries.
        counts: The host's counts by reason.
        starts_by_upstream: Number of task starts at each upstream.
    """

    answer: dict[str, Any]
    correct_results: int
    starts: int
    response_s: float
    ideal_s: float
    counts: dict[str, int]
    starts_by_upstream: tuple[int, ...]


def run() -> int:
    """Runs the demo and returns the exit code."""
    log.configure(level="warning")
    console = rich.console.Console()
    result = asyncio.run(_run(console))
    _print_summary(console, result)
    complete = result.answer.get("outcome") == "complete"
    each_task_once = result.correct_results == result.starts == TASK_COUNT
    return 0 if complete and each_task_once else 1


async def _run(console: rich.console.Console) -> _DemoResult:
    upstreams = [
        upstream.Upstream(slots=SLOTS_PER_UPSTREAM, speed=speed)
        for speed in SPEEDS
    ]
    entries = await _start_upstreams(upstreams)
    platform_standin = platform.Platform(entries)
    platform_port = await platform_standin.start(_IP, 0)
    caller_token = secrets.token_urlsafe()
    operator_token = secrets.token_urlsafe()
    host = await root.start_host(_settings(platform_port, operator_token))
    caller = host_client.HostClient(str(host.callers), caller_token)
    operator = host_client.HostClient(str(host.callers), operator_token)
    try:
        await _wait_ready(operator)
        console.print(
            f"host ready at {host.callers}, {len(SPEEDS)} upstreams of "
            f"{SLOTS_PER_UPSTREAM} slots and speeds "
            f"{', '.join(map(str, SPEEDS))}"
        )
        await _put_workspace(operator, caller_token)
        return await _run_job(console, caller, operator, upstreams)
    finally:
        await _stop(host)
        for standin in upstreams:
            await standin.stop()
        await platform_standin.stop()


async def _start_upstreams(
    upstreams: Sequence[upstream.Upstream],
) -> list[model.UpstreamEntry]:
    return [
        model.UpstreamEntry(
            upstream=ids.UpstreamId(f"w{number}"),
            domain=_DOMAIN,
            rack="r1",
            address=f"{_IP}:{await standin.start(_IP, 0)}",
            slots=SLOTS_PER_UPSTREAM,
            connections=_CONNECTIONS_PER_UPSTREAM,
        )
        for number, standin in enumerate(upstreams, start=1)
    ]


def _settings(platform_port: int, operator_token: str) -> settings.HostSettings:
    return settings.HostSettings(
        host=ids.HostId("demo-1"),
        domain=_DOMAIN,
        callers=settings.Address(_IP, 0),
        peers=settings.Address(_IP, 0),
        platform=settings.Address(_IP, platform_port),
        secret=secrets.token_bytes(settings.MIN_SECRET_BYTES),
        operator_token_sha256=_sha256(operator_token),
        policy=settings.DEFAULT_POLICY,
    )


async def _wait_ready(operator: host_client.HostClient) -> None:
    """Waits until the host is ready and knows all upstreams."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        status = (await operator.call_async("GET", "/v1/host")).value
        if status["ready"] and len(status["upstreams"]) == len(SPEEDS):
            return
        await asyncio.sleep(_POLL_S)
    raise DemoFailed(f"the host was not ready within {START_TIMEOUT_S:g} s")


async def _put_workspace(
    operator: host_client.HostClient, caller_token: str
) -> None:
    response = await operator.call_async(
        "PUT",
        f"/v1/workspaces/{_WORKSPACE}",
        value={
            "workspace": _WORKSPACE,
            "token_sha256": _sha256(caller_token),
            "templates": {
                _TEMPLATE: {"path": "/", "max_wait_s": JOB_TIMEOUT_S}
            },
        },
        headers={"if-match": "0"},
    )
    if response.value.get("state") != "in_force":
        raise DemoFailed(f"the workspace is not in force: {response.error}")


async def _run_job(
    console: rich.console.Console,
    caller: host_client.HostClient,
    operator: host_client.HostClient,
    upstreams: Sequence[upstream.Upstream],
) -> _DemoResult:
    reserved = await caller.call_async(
        "POST", f"/v1/{_WORKSPACE}/reservations", value={"count": 1}
    )
    path = f"/v1/{_WORKSPACE}/jobs/{reserved.value['ids'][0]}"
    tasks = _make_tasks()
    job = {
        "template": _TEMPLATE,
        "tasks": [
            {"payload": task, "declared_ms": task["sleep_ms"]} for task in tasks
        ],
        "timeout_ms": JOB_TIMEOUT_S * 1_000,
    }
    started_at = time.monotonic()
    submitting = asyncio.ensure_future(
        caller.call_async("PUT", path, value=job, timeout_s=JOB_TIMEOUT_S)
    )
    await _show_progress(console, submitting, upstreams)
    first = await submitting
    response_s = time.monotonic() - started_at
    repeated = await caller.call_async(
        "PUT", path, value=job, timeout_s=JOB_TIMEOUT_S
    )
    if repeated.value != first.value:
        raise DemoFailed(
            "the repeated submission of the job got another answer"
        )
    host_status = await operator.call_async("GET", "/v1/host")
    starts_by_upstream = tuple(len(standin.starts) for standin in upstreams)
    return _DemoResult(
        answer=first.value,
        correct_results=_count_correct(tasks, first.value.get("results", [])),
        starts=sum(starts_by_upstream),
        response_s=response_s,
        ideal_s=_ideal_s(tasks),
        counts=host_status.value["counts"],
        starts_by_upstream=starts_by_upstream,
    )


def _make_tasks() -> list[dict[str, int]]:
    durations = random.Random(RANDOM_SEED)
    return [
        {
            "task": index,
            "sleep_ms": durations.randint(MIN_TASK_MS, MAX_TASK_MS),
        }
        for index in range(TASK_COUNT)
    ]


def _count_correct(tasks: Sequence[object], results: Sequence[object]) -> int:
    """Counts the results that equal their task; a stand-in echoes the task."""
    pairs = zip(tasks, results, strict=False)
    return sum(result == task for task, result in pairs)


def _ideal_s(tasks: Sequence[dict[str, int]]) -> float:
    """Returns the job's response time without waiting, messages or retries."""
    durations_s = [task["sleep_ms"] / 1_000 for task in tasks]
    return max(
        max(durations_s) / max(SPEEDS),
        sum(durations_s) / sum(SPEEDS) / SLOTS_PER_UPSTREAM,
    )


async def _show_progress(
    console: rich.console.Console,
    submitting: asyncio.Future[host_client.HostResponse],
    upstreams: Sequence[upstream.Upstream],
) -> None:
    with rich.progress.Progress(console=console) as progress:
        bar = progress.add_task(f"{TASK_COUNT} tasks", total=TASK_COUNT)
        while not submitting.done():
            progress.update(bar, completed=_count_ended(upstreams))
            await asyncio.wait((submitting,), timeout=_POLL_S)
        progress.update(bar, completed=_count_ended(upstreams))


def _count_ended(upstreams: Sequence[upstream.Upstream]) -> int:
    return sum(
        start.ended_at is not None
        for standin in upstreams
        for start in standin.starts
    )


async def _stop(host: root.Host) -> None:
    """Drains the host, then closes it."""
    host.drain(deadline=asyncio.get_running_loop().time() + JOB_TIMEOUT_S)
    await host.wait_drained()
    await host.close()


def _print_summary(console: rich.console.Console, result: _DemoResult) -> None:
    ratio = result.response_s / result.ideal_s
    table = rich.table.Table(title="Summary", show_header=False)
    table.add_row(
        "results that belong to their task", str(result.correct_results)
    )
    table.add_row("task starts (job submitted twice)", str(result.starts))
    for speed, starts in zip(SPEEDS, result.starts_by_upstream, strict=True):
        table.add_row(f"  at the upstream with speed {speed}", str(starts))
    table.add_row("response", f"{result.response_s * 1_000:.0f} ms")
    table.add_row("ideal", f"{result.ideal_s * 1_000:.0f} ms")
    table.add_row("response / ideal", f"{ratio:.2f}")
    for reason, count in sorted(result.counts.items()):
        table.add_row(f"counted for {reason}", str(count))
    if not result.counts:
        table.add_row("reasons and retries", "none")
    console.print(table)
    print(
        f"outcome={result.answer.get('outcome')} tasks={TASK_COUNT} "
        f"answers={result.correct_results} starts={result.starts} "
        f"response_ms={result.response_s * 1_000:.0f} "
        f"ideal_ms={result.ideal_s * 1_000:.0f} ratio={ratio:.2f}"
    )


def _sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()
