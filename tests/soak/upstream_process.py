"""Serves several exact upstreams in one process, from JSON in its argument.

Each record is written at once, so that it outlives the process.
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

_REASONS = {
    200: b"OK",
    409: b"Conflict",
    421: b"Misdirected",
    503: b"Unavailable",
}


class _Served:
    """One upstream with its connections and waiting responses.

    Args:
        make_state: Returns the state of a new life.
    """

    def __init__(
        self, make_state: Callable[[], exact_upstream.ExactUpstream]
    ) -> None:
        self._make_state = make_state
        self.state = make_state()
        self._waiters: set[asyncio.Future[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def restart(self) -> None:
        """Begins a new life at once, which resets all connections."""
        self.state.kill(time.monotonic())
        self.state = self._make_state()
        for writer in tuple(self._writers):
            writer.transport.abort()

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
        length = int(headers.get("content-length", 0))
        raw = await reader.readexactly(length)
        if writer.transport.is_closing():
            return
        sender = writer.get_extra_info("peername")[0]
        path = first.split(" ")[1]
        status, body = await self.respond(path, headers, raw, sender)
        data = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 %d %s\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n%s"
            % (status, _REASONS[status], len(data), data)
        )
        await writer.drain()

    async def respond(
        self, path: str, headers: dict[str, str], raw: bytes, sender: str
    ) -> tuple[int, dict[str, Any]]:
        """Executes one request."""
        if headers.get("x-expected-instance") != self.state.upstream:
            return 421, {}
        body = json.loads(raw)
        result = self.state.execute(path, body, sender, time.monotonic())
        self._schedule()
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

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._wake()
        end = self.state.next_end()
        if end != float("inf"):
            delay_s = max(0.0, end - time.monotonic()) + 0.0005
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self.state.settle(time.monotonic())
        self._schedule()

    def _wake(self) -> None:
        if self.state.has_ends:
            for waiter in self._waiters:
                if not waiter.done():
                    waiter.set_result(None)


async def _main(settings: dict[str, Any]) -> None:
    file = os.open(
        settings["records"], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644
    )

    def record(kind: str, **values: Any) -> None:
        line = json.dumps({"kind": kind, "pid": os.getpid(), **values})
        os.write(file, line.encode() + b"\n")

    rng = random.Random(settings["seed"])
    all_served = []
    for each in settings["upstreams"]:
        served = _Served(functools.partial(_state, each, rng, record))
        await asyncio.start_server(
            served.serve, each["ip"], each["port"], backlog=256
        )
        all_served.append(served)

    def restart_all() -> None:
        for served in all_served:
            served.restart()

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, restart_all)
    print("listening", flush=True)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    for served in all_served:
        served.state.settle(time.monotonic())
    record("exit", at=time.monotonic())
    os._exit(0)


def _state(
    settings: dict[str, Any],
    rng: random.Random,
    record: exact_upstream.Record,
) -> exact_upstream.ExactUpstream:
    state = exact_upstream.ExactUpstream(
        settings["id"],
        cpu_millis=settings["cpu_millis"],
        clock_rate=settings["clock_rate"],
        started_at=time.monotonic(),
        born_ms=int(time.time() * 1_000),
        rng=rng,
        record=record,
    )
    state.ignores_leases = settings.get("ignores_leases", False)
    return state


if __name__ == "__main__":
    asyncio.run(_main(json.loads(sys.argv[1])))
