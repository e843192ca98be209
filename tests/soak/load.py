"""Callers that send jobs, and send them again as the platform's do."""

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass
from dataclasses import field

from tests.soak import fleet as fleet_module

CALLER_WAIT_S = 1.5
RETRY_DELAY_S = 1.3
MAX_CALLS = 4
CALLERS_PER_HOST = 2
# Jobs a second, tasks of a job, and duration of a task in ms.
KINDS = ((17, 8, 60), (3, 4, 900), (50, 2, 200))
GIVE_UP_SHARE = 0.01  # Callers that leave early, and send the job again.
RESENT_STATUSES = (502, 504)


@dataclass(slots=True)
class Call:
    """One try to submit a job; `status` is 0 without a response."""

    host: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: str = ""


@dataclass(slots=True)
class Job:
    """A job with all calls that submitted it."""

    name: str
    tasks: int
    calls: list[Call] = field(default_factory=list)


class _Connection:
    """A connection of a caller, on which it waits for one response."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer

    async def post(self, name: str, body: bytes) -> tuple[int, str]:
        """Sends a job and returns the status and body of the response."""
        self.writer.write(
            f"POST {fleet_module.PREFIX}{name} HTTP/1.1\r\n"
            f"host: {fleet_module.AUTHORITY}\r\n"
            f"x-request-deadline: {CALLER_WAIT_S * 1_000:.0f}\r\n"
            f"content-length: {len(body)}\r\n\r\n".encode()
            + body
        )
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.split("content-length:")[1].split("\r\n")[0])
        text = (await self.reader.readexactly(length)).decode()
        return int(head.split(" ")[1]), text


class Load:
    """Sends jobs at random times until stopped.

    Args:
        fleet: The hosts to send to.
        scale: Factor of the rate of jobs.
        rng: Source of times, hosts and job ids.

    Attributes:
        jobs: All jobs so far.
        stray_responses: Bytes that came without a request.
    """

    def __init__(
        self, fleet: fleet_module.Fleet, *, scale: float, rng: random.Random
    ) -> None:
        self.jobs: list[Job] = []
        self.stray_responses: list[str] = []
        self._fleet = fleet
        self._scale = scale
        self._rng = rng
        self._numbers = itertools.count(1)
        self._idle: dict[tuple[str, int], list[_Connection]] = {}
        self._open: set[asyncio.Task[None]] = set()
        self._streams: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts to send jobs of all kinds."""
        self._streams = [
            asyncio.create_task(self._send_kind(*kind)) for kind in KINDS
        ]

    async def stop(self) -> None:
        """Stops sending and waits for the open calls."""
        for stream in self._streams:
            stream.cancel()
        await asyncio.gather(*self._streams, return_exceptions=True)
        if self._open:
            await asyncio.wait(tuple(self._open), timeout=20.0)
        self._check_idle()

    def completed_since(self, since: float) -> int:
        """Returns how many calls sent since then were answered completed."""
        return sum(
            call.sent_at >= since and call.status == 200
            for job in self.jobs
            for call in job.calls
        )

    async def _send_kind(self, rate: float, tasks: int, task_ms: int) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(rate * self._scale))
            job = Job(f"{next(self._numbers):016x}", tasks)
            self.jobs.append(job)
            opened = asyncio.create_task(self._send(job, task_ms))
            self._open.add(opened)
            opened.add_done_callback(self._open.discard)

    async def _send(self, job: Job, task_ms: int) -> None:
        step = {"count": job.tasks, "cpu": 1_000, "mem_mb": 1}
        step["estimate_ms"] = task_ms
        body = json.dumps(
            {"best_effort": True, "spec": str(task_ms), "steps": [step]}
        ).encode()
        hosts = self._rng.sample(self._fleet.hosts, len(self._fleet.hosts))
        for host in hosts[:MAX_CALLS]:
            call = Call(host.name, time.monotonic())
            job.calls.append(call)
            wait_s = CALLER_WAIT_S
            if self._rng.random() < GIVE_UP_SHARE:
                wait_s = self._rng.uniform(0.0, 0.5)
            try:
                async with asyncio.timeout(wait_s):
                    call.status, call.body = await self._post(
                        host, job.name, body
                    )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                call.status = 0
            call.ended_at = time.monotonic()
            if call.status and call.status not in RESENT_STATUSES:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _post(
        self, host: fleet_module.Host, name: str, body: bytes
    ) -> tuple[int, str]:
        address = host.callers
        idle = self._idle.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if not connection.reader.at_eof():
                break
            connection.writer.close()
        else:
            connection = _Connection(*await asyncio.open_connection(*address))
        try:
            response = await connection.post(name, body)
        except BaseException:
            connection.writer.transport.abort()
            raise
        idle.append(connection)
        return response

    def _check_idle(self) -> None:
        for connections in self._idle.values():
            for connection in connections:
                buffered = bytes(connection.reader._buffer)
                if buffered:
                    self.stray_responses.append(buffered.decode())
                connection.writer.transport.abort()
