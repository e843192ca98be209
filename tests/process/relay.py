"""A TCP relay that tests use to break connections."""

import asyncio
import enum


class RelayMode(enum.Enum):
    """How the relay handles connections and bytes."""

    OPEN = "open"
    CUT = "cut"  # Open and new connections are reset.
    SILENT = "silent"  # Connections stay open; all bytes are dropped.


class Relay:
    """Listens on a loopback port and forwards bytes to a target address.

    Attributes:
        target: Target address as IP:PORT.
        mode: How the relay handles connections and bytes.
    """

    def __init__(self, target: str = "") -> None:
        self.target = target
        self.mode = RelayMode.OPEN
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Listening address as IP:PORT."""
        assert self._server is not None
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    async def start(self) -> "Relay":
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    def cut(self) -> None:
        """Resets all open connections, and new ones until `heal`."""
        self.mode = RelayMode.CUT
        for writer in self._writers:
            writer.transport.abort()

    def silence(self) -> None:
        """Drops all bytes of open connections, and of new ones until `heal`."""
        self.mode = RelayMode.SILENT
        self._silenced |= self._writers

    def silence_open_connections(self) -> None:
        """Drops all bytes of the connections that are open now."""
        self._silenced |= self._writers

    def heal(self) -> None:
        """Forwards new connections; silenced connections stay silent."""
        self.mode = RelayMode.OPEN

    async def close(self) -> None:
        """Resets all connections and stops listening."""
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
        target_reader, target_writer = await asyncio.open_connection(
            ip, int(port)
        )
        self._add(writer, target_writer)
        try:
            await asyncio.gather(
                self._pump(reader, target_writer),
                self._pump(target_reader, writer),
            )
        finally:
            self._drop(target_writer)

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
