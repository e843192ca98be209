"""Callers that send jobs, and send them again as the platform's do."""

import asyncio
import itertools
import json
import random
import re
import time
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.standins import leased_platform
from tests.soak import exact_upstream
from tests.soak import fleet as fleet_module

CALLER_WAIT_S = 1.5
RETRY_DELAY_S = 1.3
MAX_CALLS = 4
# Jobs a second, tasks of a job, and duration of a task in ms.
KINDS = ((17, 8, 60), (3, 4, 900), (50, 2, 200))
GIVE_UP_SHARE = 0.01  # Callers that leave early, and send the job again.
CANCELLED_SHARE = 0.03  # Callers that cancel their job, at any host.
MAX_CANCEL_DELAY_S = 2.0
CANCEL_WAIT_S = 4.0
TAKEN_STATUSES = (200, 410)
RESENT_STATUSES = (0, 502, 504)
REFUSED_STATUSES = (429, 503)
_RESPONSE = re.compile(
    rb"HTTP/1.1 (\d+).*?content-length: (\d+)(?:\r\n.*?)?\r\n\r\n",
    re.DOTALL | re.IGNORECASE,
)


@dataclass(slots=True)
class Job:
    """A job, with the time and status of each call; 0 without a response.

    Attributes:
        cancelled_at: When its cancel was acknowledged; infinite if none was.
    """

    name: str
    calls: list[tuple[float, int]] = field(default_factory=list)
    cancelled_at: float = float("inf")


class _Connection(asyncio.Protocol):
    """A connection of a caller, which waits for one response at a time."""

    def __init__(self, stray_responses: list[str]) -> None:
        self.closed = False
        self._stray_responses = stray_responses
        self._received = b""
        self._status: asyncio.Future[int] | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._received += data
        found = _RESPONSE.match(self._received)
        end = found.end() + int(found[2]) if found else 0
        if self._status is None or (found and len(self._received) > end):
            self._stray_responses.append(data.decode())
            self.abort()
        elif found and len(self._received) == end and not self._status.done():
            self._status.set_result(int(found[1]))

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self._status is not None and not self._status.done():
            self._status.set_exception(ConnectionResetError())

    def abort(self) -> None:
        self.closed = True
        self._transport.abort()

    async def exchange(self, method: str, path: str, body: bytes) -> int:
        """Sends a request and returns the status of the response."""
        self._received = b""
        self._status = asyncio.get_running_loop().create_future()
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {leased_platform.ROUTE_AUTHORITY}"
            f"\r\nx-request-deadline: {CALLER_WAIT_S * 1_000:.0f}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        self._transport.write(head.encode() + body)
        try:
            return await self._status
        finally:
            self._status = None


class Load:
    """Sends jobs at random times until stopped.

    Args:
        fleet: The hosts to send to.
        scale: Factor of the rate of jobs.
        seed: Seed of times and hosts.

    Attributes:
        jobs: All jobs so far.
        stray_responses: Bytes that came without a request.
        deadly_share: Share of new jobs with a task that crashes upstreams.
    """

    def __init__(
        self, fleet: fleet_module.Fleet, *, scale: float, seed: int
    ) -> None:
        self.jobs: list[Job] = []
        self.stray_responses: list[str] = []
        self.deadly_share = 0.0
        self._fleet = fleet
        self._scale = scale
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._idle: dict[tuple[str, int], list[_Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Starts to send jobs of all kinds."""
        self._stopped = False
        for kind in KINDS:
            self._spawn(self._send_kind(*kind))

    async def stop(self) -> None:
        """Stops sending and waits until the callers have left."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    def completed_since(self, since: float) -> int:
        """Returns how many calls sent since then were answered well."""
        return sum(
            sent_at >= since and status == 200
            for job in self.jobs
            for sent_at, status in job.calls
        )

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_kind(self, rate: float, tasks: int, task_ms: int) -> None:
        step = {"count": tasks, "cpu": 1_000, "estimate_ms": task_ms}
        # The upstreams take the duration of a task from its specification.
        body = {"best_effort": True, "steps": [step]}
        while not self._stopped:
            await asyncio.sleep(self._rng.expovariate(rate * self._scale))
            deadly = self._rng.random() < self.deadly_share
            kind = exact_upstream.DEADLY if deadly else ""
            body["spec"] = f"{task_ms} {kind}"
            job = Job(f"{next(self._numbers):016x}")
            self.jobs.append(job)
            self._spawn(self._send(job, json.dumps(body).encode()))
            if self._rng.random() < CANCELLED_SHARE:
                self._spawn(self._cancel(job))

    async def _cancel(self, job: Job) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, MAX_CANCEL_DELAY_S))
        host = self._rng.choice(self._fleet.hosts)
        status = await self._call(
            host, job.name, b"", method="DELETE", wait_s=CANCEL_WAIT_S
        )
        if status in TAKEN_STATUSES:
            job.cancelled_at = time.monotonic()

    async def _send(self, job: Job, body: bytes) -> None:
        hosts = self._rng.choices(self._fleet.hosts, k=MAX_CALLS)
        for host in hosts:
            sent_at = time.monotonic()
            wait_s = CALLER_WAIT_S
            if self._rng.random() < GIVE_UP_SHARE:
                wait_s = self._rng.uniform(0.0, CALLER_WAIT_S)
            status = await self._call(host, job.name, body, wait_s=wait_s)
            job.calls.append((sent_at, status))
            if status not in RESENT_STATUSES or self._stopped:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _call(
        self,
        host: fleet_module.Host,
        name: str,
        body: bytes,
        *,
        method: str = "POST",
        wait_s: float,
    ) -> int:
        """Returns the status of the response; 0 if there is none."""
        connection = None
        try:
            async with asyncio.timeout(wait_s):
                connection = await self._connect(host.callers)
                path = leased_platform.ROUTE_PREFIX + name
                status = await connection.exchange(method, path, body)
        except (OSError, TimeoutError):
            if connection is not None:
                connection.abort()
            return 0
        self._idle.setdefault(host.callers, []).append(connection)
        return status

    async def _connect(self, address: tuple[str, int]) -> _Connection:
        idle = self._idle.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: _Connection(self.stray_responses), *address
        )
        return connection
