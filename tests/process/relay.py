"""A TCP relay that tests cut, silence and heal."""

import asyncio
import enum


class RelayMode(enum.Enum):
    """What the relay does with connections and bytes."""

    OPEN = "open"
    CUT = "cut"  # Connections are reset, new ones as well.
    SILENT = "silent"  # Connections stay; bytes are swallowed.


class Relay:
    """Listens on a loopback port and passes bytes to a target address."""

    def __init__(self, target: str = "") -> None:
        self.target = target
        self.mode = RelayMode.OPEN
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where the relay listens, as IP:PORT."""
        assert self._server is not None
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    async def start(self) -> "Relay":
        """Starts listening on any free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    def cut(self) -> None:
        """Resets all connections, and new ones until healed."""
        self.mode = RelayMode.CUT
        for writer in self._writers:
            writer.transport.abort()

    def silence(self) -> None:
        """Swallows all bytes of present and new connections."""
        self.mode = RelayMode.SILENT
        self._silenced |= self._writers

    def silence_open_connections(self) -> None:
        """Swallows all bytes of present connections for good."""
        self._silenced |= self._writers

    def heal(self) -> None:
        """Serves new connections; silenced ones stay silent for good."""
        self.mode = RelayMode.OPEN

    async def close(self) -> None:
        """Ends all connections and stops listening."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._drop(writer)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is RelayMode.CUT:
            writer.transport.abort()
            return
        ip, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        self._add(writer, far_writer)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        finally:
            self._drop(far_writer)

    def _add(self, *writers: asyncio.StreamWriter) -> None:
        self._writers.update(writers)
        if self.mode is RelayMode.SILENT:
            self._silenced.update(writers)

    def _drop(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        self._silenced.discard(writer)
        writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            if writer not in self._silenced:
                writer.write(data)
                await writer.drain()
        if writer not in self._silenced and writer.can_write_eof():
            writer.write_eof()
