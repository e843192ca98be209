"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

IP = "127.0.0.1"
# Below the ports that the system gives to outgoing channels, so that nothing else
# takes the port of a process that is down for a while.
_PORTS = range(10_000, 32_000)
_BLOCK_PORTS = 100


@dataclass(frozen=True)
class Request:
    """One request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


# Returns the status and the body; None closes the channel without a response.
Handler = Callable[[Request], Awaitable[tuple[int, dict[str, Any]] | None]]


@dataclass(frozen=True)
class Response:
    """One response; status 0 if the channel ended without one."""

    status: int
    body: bytes = b""


class _Ports:
    """Gives each port once; a block of ports belongs to one program."""

    def __init__(self) -> None:
        self._lock = socket.socket()
        self._free: list[int] = []

    def take(self) -> int:
        """Returns a port at which nobody listens."""
        if not self._free:
            self._take_block()
        return self._free.pop()

    def _take_block(self) -> None:
        while not self._free:
            first = random.choice(_PORTS[::_BLOCK_PORTS])
            lock = socket.socket()
            try:
                lock.bind((IP, first))
            except OSError:
                lock.close()
                continue
            # The first port stays bound, so that nobody else takes the block.
            self._lock = lock
            ports = range(first + 1, first + _BLOCK_PORTS)
            self._free = [port for port in ports if _is_free(port)]


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((IP, port))
        except OSError:
            return False
    return True


_ports = _Ports()


def free_port() -> int:
    """Returns a port at which nobody listens."""
    return _ports.take()


def _parse_query(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split("&") if part)
    return {name: value for name, _, value in pairs}


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    size = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(size)


class Server:
    """Serves requests, each channel in turn.

    Args:
        handler: Handles the requests.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listens at a free port, and again at the same one after `close`."""
        self.address = self.address or f"{IP}:{free_port()}"
        port = int(self.address.rpartition(":")[2])
        self._server = await asyncio.start_server(self._serve, IP, port)

    def close(self) -> None:
        """Stops to listen and resets all channels."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._serve_one(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, headers, body = await _read_message(reader)
        if writer.transport.is_closing():
            return False
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        result = await self._handler(
            Request(method, path, _parse_query(query), headers, body)
        )
        if result is None:
            return False
        status, values = result
        data = json.dumps(values).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n%s" % (status, len(data), data)
        )
        await writer.drain()
        return True


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Response:
    """Sends a request on a new channel; status 0 means no whole response."""
    ip, _, port = address.rpartition(":")
    fields = {"host": address, "content-length": str(len(body))}
    fields.update(headers or {})
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            text = f"{method} {path} HTTP/1.1\r\n{head}\r\n"
            writer.write(text.encode() + body)
            first, _, answer = await _read_message(reader)
            return Response(int(first.split(" ")[1]), answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return Response(0)
    finally:
        if writer is not None:
            writer.close()
