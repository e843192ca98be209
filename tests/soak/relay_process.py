"""Relays connections between hosts and to upstreams, with faults to order.

The relay of an address 127.A.B.C listens at 127.(A+1).B.C and connects from the
address of the caller. Commands are lines of JSON on standard input:
`{"listen": [IP, PORT]}`, `{"rule": NUMBER, "mode": MODE, "from": [IP, ..],
"to": [IP, ..], "delay_s": S}` and `{"end": NUMBER}`.

The modes apply to bytes from one of the first addresses to one of the others:
`hold` delivers them when the rule ends, `delay` after up to `delay_s`, `silence`
drops those of all open connections for good, `reset` aborts all open
connections and new ones.
"""

import asyncio
import json
import random
import socket
import struct
import sys
from dataclasses import dataclass
from typing import Any

from tests.soak import host_process

_CHUNK_BYTES = 65_536
_RESET = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class _Pipe:
    """One direction of a connection."""

    source: str
    target: str
    writer: asyncio.StreamWriter
    silent: bool = False


class _Relays:
    def __init__(self) -> None:
        self._rules: dict[int, dict[str, Any]] = {}
        self._changed = asyncio.Event()
        self._pipes: list[_Pipe] = []
        self._rng = random.Random(0)

    async def command(self, command: dict[str, Any]) -> None:
        """Executes a command."""
        if "listen" in command:
            ip, port = command["listen"]
            await asyncio.start_server(
                lambda reader, writer: self._accept(reader, writer, ip, port),
                host_process.relay_ip(ip),
                port,
                backlog=256,
            )
        elif "end" in command:
            self._rules.pop(command["end"], None)
        else:
            command["from"] = set(command["from"])
            command["to"] = set(command["to"])
            self._rules[command["rule"]] = command
            for pipe in self._pipes:
                if _matches(command, pipe.source, pipe.target):
                    pipe.silent |= command["mode"] == "silence"
                    if command["mode"] == "reset":
                        _reset(pipe.writer)
        self._changed.set()
        self._changed = asyncio.Event()

    def _rule(self, mode: str, source: str, target: str) -> Any:
        for rule in self._rules.values():
            if rule["mode"] == mode and _matches(rule, source, target):
                return rule
        return None

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        ip: str,
        port: int,
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        if self._rule("reset", source, ip):
            _reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ip, port, local_addr=(source, 0)
            )
        except OSError:
            _reset(writer)
            return
        await asyncio.gather(
            self._forward(reader, _Pipe(source, ip, far_writer)),
            self._forward(far_reader, _Pipe(ip, source, writer)),
        )

    async def _forward(self, reader: asyncio.StreamReader, pipe: _Pipe) -> None:
        self._pipes.append(pipe)
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await self._deliver(data, pipe)
            if not pipe.silent:
                pipe.writer.close()
        except OSError:
            if not pipe.silent:
                _reset(pipe.writer)
        finally:
            self._pipes.remove(pipe)

    async def _deliver(self, data: bytes, pipe: _Pipe) -> None:
        rule = self._rule("delay", pipe.source, pipe.target)
        if rule:
            await asyncio.sleep(self._rng.uniform(0.0, rule["delay_s"]))
        while self._rule("hold", pipe.source, pipe.target):
            await self._changed.wait()
        if not pipe.silent:
            pipe.writer.write(data)
            await pipe.writer.drain()


def _matches(rule: dict[str, Any], source: str, target: str) -> bool:
    return source in rule["from"] and target in rule["to"]


def _reset(writer: asyncio.StreamWriter) -> None:
    if not writer.transport.is_closing():
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET
        )
    writer.transport.abort()


async def _main() -> None:
    relays = _Relays()
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    print("listening", flush=True)
    while line := await reader.readline():
        await relays.command(json.loads(line))
        print("done", flush=True)


if __name__ == "__main__":
    asyncio.run(_main())
