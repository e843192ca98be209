"""Serves several exact upstreams in one process, from JSON in its argument.

Each record is written at once, so that it outlives the process. SIGUSR1 begins
a new life of all upstreams at the same addresses. Lines on the standard input
change how many runs an upstream has room for: `NAME COUNT`.
"""

import asyncio
import contextlib
import functools
import json
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

from tests.soak import exact_upstream

MAX_READ_BYTES = 65_536
# Lets a run end before the timer that answers those who wait for it.
TIMER_MARGIN_S = 0.0005
# A crashed upstream starts again after one of these times, under its id.
DOWN_TIMES_S = (0.02, 0.1, 0.5, 3.0)


class LineReader:
    """Splits what a pipe delivers into whole lines, all of them at once.

    A line that stays in a buffer is read when the next one comes: an upstream then
    kept a room that had been given back long before.
    """

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[str]:
        """Returns the lines that are whole by now."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        return [line.decode() for line in lines]


class _Served:
    """One upstream with its connections and waiting responses.

    Args:
        make_state: Returns the state of a new life.
        address: Address to listen at.
        rng: Source of the time until it starts again after a crash.
        record: Writes a record.
    """

    def __init__(
        self,
        make_state: Callable[[], exact_upstream.ExactUpstream],
        *,
        address: tuple[str, int],
        rng: random.Random,
        record: exact_upstream.Record,
    ) -> None:
        self._make_state = make_state
        self._address = address
        self._rng = rng
        self._record = record
        self._server: asyncio.Server | None = None
        self.state = make_state()
        self._waiters: set[asyncio.Future[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._crash: asyncio.Task[None] | None = None

    async def listen(self) -> None:
        """Starts to accept connections."""
        self._server = await asyncio.start_server(
            self.serve, *self._address, backlog=256
        )

    def restart(self) -> None:
        """Begins a new life at once, which resets all connections."""
        self.state.kill(time.monotonic())
        self.state = self._make_state()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _crash_in_time(self) -> None:
        """Crashes at the time that a deadly task has set; starts again."""
        crashing = self.state
        await asyncio.sleep(max(0.0, crashing.crashes_at - time.monotonic()))
        if self.state is not crashing or self._server is None:
            return
        self._server.close()
        self._server = None
        self._record(
            "crash",
            at=time.monotonic(),
            task=crashing.crashed_by,
            up=crashing.upstream,
            life=0,
        )
        self.restart()
        await asyncio.sleep(self._rng.choice(DOWN_TIMES_S))
        self.state = self._make_state()
        await self.listen()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not writer.transport.is_closing():
                await self._serve_one(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").strip().split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        raw = await reader.readexactly(int(headers["content-length"]))
        if writer.transport.is_closing():
            return
        if headers.get("x-expected-instance") != self.state.upstream:
            status, body = 421, {}
        else:
            path = first.split(" ")[1]
            sender = writer.get_extra_info("peername")[0]
            status, body = await self._respond(path, json.loads(raw), sender)
        data = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n%s" % (status, len(data), data)
        )
        await writer.drain()

    async def _respond(
        self, path: str, body: dict[str, Any], sender: str
    ) -> tuple[int, dict[str, Any]]:
        """Executes one order."""
        result = self.state.execute(path, body, sender, time.monotonic())
        if self.state.crashes_at != float("inf") and self._crash is None:
            self._crash = asyncio.create_task(self._crash_in_time())
            self._crash.add_done_callback(self._crash_ended)
        self._answer_waiters()
        if path != exact_upstream.RENEW_PATH or result[0] != 200:
            return result
        wait_s = body.get("wait_ms", 0) / 1_000
        if wait_s and not self.state.has_ends:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(waiter, wait_s)
            self._waiters.discard(waiter)
        return 200, self.state.lists(time.monotonic())

    def _crash_ended(self, _: asyncio.Task[None]) -> None:
        self._crash = None

    def _answer_waiters(self) -> None:
        """Answers those who wait for an end, now or when it comes."""
        self.state.settle(time.monotonic())
        if self.state.has_ends:
            for waiter in self._waiters:
                if not waiter.done():
                    waiter.set_result(None)
        if self._timer is not None:
            self._timer.cancel()
        end = self.state.next_end()
        if end != float("inf"):
            delay_s = max(0.0, end - time.monotonic()) + TIMER_MARGIN_S
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._answer_waiters)


async def _main(settings: dict[str, Any]) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    file = os.open(settings["records"], flags, 0o644)
    rng = random.Random(settings["seed"])

    def record(kind: str, **values: Any) -> None:
        line = json.dumps({"kind": kind, "pid": os.getpid(), **values})
        os.write(file, line.encode() + b"\n")

    def make_state(
        name: str, clock_rate: float
    ) -> exact_upstream.ExactUpstream:
        return exact_upstream.ExactUpstream(
            name,
            max_runs=rooms[name],
            clock_rate=clock_rate,
            started_at=time.monotonic(),
            born_ms=int(time.time() * 1_000),
            rng=rng,
            record=record,
            guards_room=name not in settings["unguarded"],
        )

    rooms = {name: room for name, _, _, _, room in settings["upstreams"]}
    upstreams = []
    for name, ip, port, clock_rate, _ in settings["upstreams"]:
        served = _Served(
            functools.partial(make_state, name, clock_rate),
            address=(ip, port),
            rng=rng,
            record=record,
        )
        await served.listen()
        upstreams.append(served)

    def restart() -> None:
        for served in upstreams:
            served.restart()

    lines = LineReader()

    def read_rooms() -> None:
        data = os.read(sys.stdin.fileno(), MAX_READ_BYTES)
        if not data:
            loop.remove_reader(sys.stdin.fileno())
        for line in lines.feed(data):
            name, count = line.split()
            rooms[name] = int(count)
            for served in upstreams:
                if served.state.upstream == name:
                    served.state.set_room(rooms[name], time.monotonic())

    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_reader(sys.stdin.fileno(), read_rooms)
    loop.add_signal_handler(signal.SIGUSR1, restart)
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    print("listening", flush=True)
    await stopped.wait()
    for served in upstreams:
        served.state.settle(time.monotonic())
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(_main(json.loads(sys.argv[1])))
