"""Authenticated websocket links between hosts, one for each pair.

Either end may dial. The host with the higher id waits a little first, and of
two links the one dialled by the lower id stays, so that both ends keep the
same one. See docs/design/peer-protocol.md.
"""

import asyncio
import enum
import functools
import socket
from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import websockets
import websockets.asyncio.client
import websockets.asyncio.connection
import websockets.asyncio.server
from returns.result import Failure

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import random_source
from godwitnotch.core.leased import peer_messages
from godwitnotch.net import codec
from godwitnotch.net import peer_auth
from godwitnotch.net import redial


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """Bounds of the links of one host.

    Attributes:
        heartbeat_interval_s: Between heartbeats on a link, if links are few.
        max_heartbeats_per_s: Over all links; with many links each has fewer.
        silence_timeout_s: A link is down if it brings nothing for so long
            after something was sent, or for three heartbeats if longer.
        handshake_timeout_s: From dialling to an open link.
        min_backoff_s: First pause after a failed dial.
        max_backoff_s: Longest pause between dials.
        higher_id_delay_s: How long the host with the higher id leaves
            dialling to the other.
        close_timeout_s: For queued messages to go out at shutdown.
        max_message_bytes: Largest message taken or sent.
        max_queued_messages: Messages that wait on one link.
        max_queued_bytes: Bytes that wait on one link.
        max_handshakes: Incoming connections not yet authenticated.
    """

    heartbeat_interval_s: float = 1.0
    max_heartbeats_per_s: float = 8.0
    silence_timeout_s: float = 3.0
    handshake_timeout_s: float = 2.0
    min_backoff_s: float = 0.1
    max_backoff_s: float = 3.0
    higher_id_delay_s: float = 1.0
    close_timeout_s: float = 1.0
    max_message_bytes: int = 16 * 1024 * 1024
    max_queued_messages: int = 4_096
    max_queued_bytes: int = 32 * 1024 * 1024
    max_handshakes: int = 64


class SendResult(enum.Enum):
    """What became of a message that was to be sent."""

    QUEUED = "queued"
    LOST = "lost"  # No link is open, or its queue is full.
    TOO_LARGE = "too_large"


class LinkEnd(enum.Enum):
    """Why a link closed or was not opened; each is counted."""

    CLOSED = "closed"
    SILENT = "silent"
    SEND_QUEUE_FULL = "send_queue_full"
    BAD_MESSAGE = "bad_message"
    REPLACED = "replaced"
    SHUTDOWN = "shutdown"
    CONNECT_FAILED = "connect_failed"
    HANDSHAKE_TIMEOUT = "handshake_timeout"
    HANDSHAKE_FAILED = "handshake_failed"
    TOO_MANY_HANDSHAKES = "too_many_handshakes"
    WRONG_SECRET = "wrong_secret"
    VERSION_MISMATCH = "version_mismatch"
    WRONG_HOST = "wrong_host"
    DUPLICATE = "duplicate"
    OLD_INCARNATION = "old_incarnation"


_AUTH_ENDS = {
    peer_auth.AuthProblem.BAD_MESSAGE: LinkEnd.HANDSHAKE_FAILED,
    peer_auth.AuthProblem.VERSION_MISMATCH: LinkEnd.VERSION_MISMATCH,
    peer_auth.AuthProblem.WRONG_SECRET: LinkEnd.WRONG_SECRET,
}

_OPEN_ENDS = frozenset(
    {
        LinkEnd.CLOSED,
        LinkEnd.SILENT,
        LinkEnd.SEND_QUEUE_FULL,
        LinkEnd.BAD_MESSAGE,
        LinkEnd.REPLACED,
        LinkEnd.SHUTDOWN,
    }
)
_MAX_HANDSHAKE_BYTES = 4_096
_HEARTBEATS_MISSED = 3

_Connection = websockets.asyncio.connection.Connection
OnEvent = Callable[[events.LinkEvent], None]
OnNote = Callable[[actions.Note], None]


def bind(ip: str, port: int) -> socket.socket:
    """Returns a listening socket; port 0 takes any free port.

    Raises:
        OSError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    return socket.create_server((ip, port), family=family)


class PeerLinks:
    """The links of one host to all others.

    Args:
        hello: What this host says of itself.
        secret: Shared by all hosts.
        heartbeat: Returns the heartbeat to send now.
        on_event: Takes `PeerUp`, `PeerDown` and `PeerSaid`, in order for
            each peer.
        on_note: Takes notes for the log and the counters.
        chance: Jitter of the reconnects.
        limits: Bounds.
    """

    def __init__(
        self,
        *,
        hello: messages.Hello,
        secret: bytes,
        heartbeat: Callable[[], messages.Heartbeat],
        on_event: OnEvent,
        on_note: OnNote,
        chance: random_source.RandomSource,
        limits: PeerLimits | None = None,
    ) -> None:
        self._hello = hello
        self._auth = peer_auth.Authenticator(hello=hello, secret=secret)
        self._heartbeat = heartbeat
        self._on_event = on_event
        self._on_note = on_note
        self._limits = limits or PeerLimits()
        self._redial = redial.Redial(
            min_s=self._limits.min_backoff_s,
            max_s=self._limits.max_backoff_s,
            chance=chance,
        )
        self._server: websockets.asyncio.server.Server | None = None
        self._links: dict[ids.HostId, _Link] = {}
        self._entries: dict[ids.HostId, model.HostEntry] = {}
        self._dials: dict[ids.HostId, asyncio.Task[None]] = {}
        self._handshakes = 0
        self._closing = False
        self._watch_task: asyncio.Task[None] | None = None

    @property
    def linked(self) -> Mapping[ids.HostId, messages.Hello]:
        """What the linked peers say of themselves."""
        return {host: link.hello for host, link in self._links.items()}

    async def start(self, listener: socket.socket) -> None:
        """Accepts links on a listening socket, and watches them all."""
        self._watch_task = asyncio.create_task(self._watch())
        self._server = await websockets.asyncio.server.serve(
            self._accepted,
            sock=listener,
            compression=None,
            ping_interval=None,
            open_timeout=self._limits.handshake_timeout_s,
            close_timeout=self._limits.close_timeout_s,
            max_size=_MAX_HANDSHAKE_BYTES,
        )

    def hosts_seen(self, hosts: Iterable[model.HostEntry]) -> None:
        """Dials the listed hosts; open links to others stay."""
        self._entries = {
            entry.host: entry
            for entry in hosts
            if entry.host != self._hello.host
        }
        for host in self._entries:
            if host not in self._dials and not self._closing:
                task = asyncio.create_task(self._keep_linked(host))
                self._dials[host] = task
                task.add_done_callback(functools.partial(self._dialled, host))

    def send(
        self, host: ids.HostId, message: messages.LinkMessage
    ) -> SendResult:
        """Queues a message for a peer, and tells whether it was taken."""
        link = self._links.get(host)
        result = SendResult.LOST if link is None else link.send(message)
        if result is not SendResult.QUEUED:
            self._on_note(_note(f"peer_message_{result.value}", host))
        return result

    async def close(self) -> None:
        """Sends what is queued, then closes all links."""
        self._closing = True
        links = list(self._links.values())
        await asyncio.gather(*(link.finish() for link in links))
        for task in self._dials.values():
            task.cancel()
        if self._watch_task is not None:
            self._watch_task.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _watch(self) -> None:
        """Sends heartbeats, and ends the links that have gone silent."""
        loop = asyncio.get_running_loop()
        limits = self._limits
        looked_at = loop.time()
        while True:
            await asyncio.sleep(limits.heartbeat_interval_s)
            now = loop.time()
            paused = now - looked_at > 2 * limits.heartbeat_interval_s
            looked_at = now
            for link in list(self._links.values()):
                if paused:
                    # What arrived meanwhile is still unread.
                    link.hear(now=now)
                self._watch_link(link, now)

    def _watch_link(self, link: "_Link", now: float) -> None:
        limits = self._limits
        interval_s = max(
            limits.heartbeat_interval_s,
            len(self._links) / limits.max_heartbeats_per_s,
        )
        try:
            link.watch(interval_s, now=now)
        except Exception:  # The other links are watched all the same.
            self._on_note(_note("peer_watch_fault", link.hello.host))
            link.stop(LinkEnd.CLOSED)

    def _dialled(self, host: ids.HostId, task: asyncio.Task[None]) -> None:
        self._dials.pop(host, None)
        if not task.cancelled() and task.exception() is not None:
            self._on_note(_note("peer_dial_fault", host))

    async def _keep_linked(self, host: ids.HostId) -> None:
        """Dials a host whenever no link is open, while it is listed."""
        failures = 0
        while host in self._entries and not self._closing:
            link = self._links.get(host)
            if link is not None:
                await link.ended.wait()
                failures = 0
            if host not in self._entries:
                return
            higher = not failures and self._hello.host > host
            await self._redial.pause(
                host,
                self._entries[host].domain,
                failures=failures,
                extra_s=self._limits.higher_id_delay_s if higher else 0.0,
            )
            if host in self._links or host not in self._entries:
                continue
            end = await self._dial(self._entries[host])
            failures = 0 if end in _OPEN_ENDS else failures + 1
            self._note_end(end, host)

    async def _dial(self, entry: model.HostEntry) -> LinkEnd:
        """Opens a link and runs it; returns why it ended."""
        try:
            async with asyncio.timeout(self._limits.handshake_timeout_s):
                connection = await self._connect(entry.address)
        except TimeoutError:
            return LinkEnd.HANDSHAKE_TIMEOUT
        except (OSError, websockets.WebSocketException):
            return LinkEnd.CONNECT_FAILED
        try:
            async with asyncio.timeout(self._limits.handshake_timeout_s):
                result = await self._auth.dial(_wire(connection))
        except TimeoutError:
            return _abort(connection, LinkEnd.HANDSHAKE_TIMEOUT)
        except websockets.ConnectionClosed as error:
            return _abort(connection, _told_end(error))
        if isinstance(result, Failure):
            return _abort(connection, _AUTH_ENDS[result.failure()])
        hello = result.unwrap()
        if hello.host != entry.host:
            return _abort(connection, LinkEnd.WRONG_HOST)
        return await self._run(connection, hello, dialler=self._hello.host)

    async def _connect(self, address: str) -> _Connection:
        return await websockets.asyncio.client.connect(
            f"ws://{address}/",
            compression=None,
            ping_interval=None,
            proxy=None,
            open_timeout=None,
            close_timeout=self._limits.close_timeout_s,
            max_size=self._limits.max_message_bytes,
        )

    async def _accepted(
        self, connection: websockets.asyncio.server.ServerConnection
    ) -> None:
        if self._handshakes >= self._limits.max_handshakes:
            self._note_end(LinkEnd.TOO_MANY_HANDSHAKES, None)
            _abort(connection, LinkEnd.TOO_MANY_HANDSHAKES)
            return
        self._handshakes += 1
        try:
            result = await self._accept_handshake(connection)
        finally:
            self._handshakes -= 1
        if isinstance(result, LinkEnd):
            self._note_end(result, None)
            await _refuse(connection, result)
            return
        await self._run_accepted(connection, result)

    async def _accept_handshake(
        self, connection: websockets.asyncio.server.ServerConnection
    ) -> messages.Hello | LinkEnd:
        """Returns what the authenticated dialler says, or why it is refused."""
        try:
            async with asyncio.timeout(self._limits.handshake_timeout_s):
                result = await self._auth.accept(_wire(connection))
        except TimeoutError:
            return LinkEnd.HANDSHAKE_TIMEOUT
        except websockets.ConnectionClosed:
            return LinkEnd.HANDSHAKE_FAILED
        if isinstance(result, Failure):
            return _AUTH_ENDS[result.failure()]
        return result.unwrap()

    async def _run_accepted(
        self,
        connection: websockets.asyncio.server.ServerConnection,
        hello: messages.Hello,
    ) -> None:
        end = self._objection(hello, dialler=hello.host)
        if end is not None:
            self._note_end(end, hello.host)
            await _refuse(connection, end)
            return
        connection.protocol.max_message_size = self._limits.max_message_bytes
        try:
            await self._auth.confirm(_wire(connection))
        except websockets.ConnectionClosed:
            self._note_end(LinkEnd.HANDSHAKE_FAILED, hello.host)
            return
        end = await self._run(connection, hello, dialler=hello.host)
        self._note_end(end, hello.host)

    def _objection(
        self, hello: messages.Hello, *, dialler: ids.HostId
    ) -> LinkEnd | None:
        """Returns why an authenticated link may not open, if so."""
        if self._closing:
            return LinkEnd.SHUTDOWN
        if hello.host == self._hello.host:
            return LinkEnd.WRONG_HOST
        link = self._links.get(hello.host)
        if link is None:
            return None
        if hello.incarnation != link.hello.incarnation:
            newer = hello.incarnation > link.hello.incarnation
            return None if newer else LinkEnd.OLD_INCARNATION
        preferred = min(self._hello.host, hello.host)
        if dialler in (link.dialler, preferred):
            return None
        return LinkEnd.DUPLICATE

    async def _run(
        self,
        connection: _Connection,
        hello: messages.Hello,
        *,
        dialler: ids.HostId,
    ) -> LinkEnd:
        """Runs an authenticated link until it ends."""
        objection = self._objection(hello, dialler=dialler)
        if objection is not None:
            return _abort(connection, objection)
        old = self._links.pop(hello.host, None)
        if old is not None:
            old.stop(LinkEnd.REPLACED)
            self._on_event(events.PeerDown(hello.host))
        link = _Link(
            connection=connection,
            hello=hello,
            dialler=dialler,
            heartbeat=self._heartbeat,
            on_event=self._on_event,
            limits=self._limits,
        )
        self._links[hello.host] = link
        self._redial.link_opened(hello.domain)
        self._on_note(_note("peer_link_up", hello.host))
        self._on_event(
            events.PeerUp(hello.host, hello.domain, hello.incarnation)
        )
        try:
            return await link.run()
        finally:
            if self._links.get(hello.host) is link:
                del self._links[hello.host]
                self._on_event(events.PeerDown(hello.host))

    def _note_end(self, end: LinkEnd, host: ids.HostId | None) -> None:
        self._on_note(_note(f"peer_link_{end.value}", host))


@dataclass(slots=True)
class _Queue:
    """Encoded messages that wait for the connection."""

    messages: deque[bytes] = field(default_factory=deque)
    size: int = 0
    filled: asyncio.Event = field(default_factory=asyncio.Event)
    emptied: asyncio.Event = field(default_factory=asyncio.Event)

    def push(self, data: bytes) -> None:
        """Adds a message."""
        self.messages.append(data)
        self.size += len(data)
        self.filled.set()
        self.emptied.clear()

    def pop(self) -> bytes:
        """Takes the oldest message."""
        data = self.messages.popleft()
        self.size -= len(data)
        return data


class _Link:
    """One open link."""

    def __init__(
        self,
        *,
        connection: _Connection,
        hello: messages.Hello,
        dialler: ids.HostId,
        heartbeat: Callable[[], messages.Heartbeat],
        on_event: OnEvent,
        limits: PeerLimits,
    ) -> None:
        self.hello = hello
        self.dialler = dialler
        self.ended = asyncio.Event()
        self._connection = connection
        self._heartbeat = heartbeat
        self._on_event = on_event
        self._limits = limits
        self._queue = _Queue()
        self._end: asyncio.Future[LinkEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self._heard_at = asyncio.get_running_loop().time()
        self._peer_interval_s = limits.heartbeat_interval_s
        self._interval_s = limits.heartbeat_interval_s
        self._heartbeat_at = 0.0
        self._unheard_since: float | None = None

    def hear(self, *, now: float) -> None:
        """Notes that the peer is alive."""
        self._heard_at = now
        self._unheard_since = None

    def watch(self, interval_s: float, *, now: float) -> None:
        """Sends a heartbeat if one is due; ends a link that is silent.

        A peer that has said nothing since a message went to it is probed, so
        that a call waiting for its answer learns soon that the link is dead.
        """
        if now > self._silent_at():
            self.stop(LinkEnd.SILENT)
            return
        waits = self._waits_since(now - self._limits.heartbeat_interval_s)
        # Half a tick of slack, since ticks and intervals never align.
        slack_s = self._limits.heartbeat_interval_s / 2
        due = now >= self._heartbeat_at + interval_s - slack_s
        self._interval_s = interval_s
        if waits or due:
            self._heartbeat_at = now
            self._send_heartbeat(interval_s, probe=waits)

    def _waits_since(self, then: float) -> bool:
        return self._unheard_since is not None and self._unheard_since <= then

    def _silent_at(self) -> float:
        """Returns when the link counts as dead if nothing arrives."""
        timeout_s = self._limits.silence_timeout_s
        idle_s = max(timeout_s, _HEARTBEATS_MISSED * self._peer_interval_s)
        silent_at = self._heard_at + idle_s
        if self._unheard_since is not None:
            silent_at = min(silent_at, self._unheard_since + timeout_s)
        return silent_at

    def _send_heartbeat(self, interval_s: float, *, probe: bool) -> None:
        heartbeat = replace(
            self._heartbeat(), interval_s=interval_s, probe=probe
        )
        self._push(codec.MESSAGES.encode(heartbeat))

    def send(self, message: messages.LinkMessage) -> SendResult:
        """Queues a message, unless the link has ended or can't take it."""
        data = codec.MESSAGES.encode(message)
        if self._end.done():
            return SendResult.LOST
        if len(data) > self._limits.max_message_bytes:
            return SendResult.TOO_LARGE
        if self._unheard_since is None:
            self._unheard_since = asyncio.get_running_loop().time()
        return SendResult.QUEUED if self._push(data) else SendResult.LOST

    def _push(self, data: bytes) -> bool:
        self._queue.push(data)
        if (
            len(self._queue.messages) > self._limits.max_queued_messages
            or self._queue.size > self._limits.max_queued_bytes
        ):
            self.stop(LinkEnd.SEND_QUEUE_FULL)
            return False
        return True

    def stop(self, end: LinkEnd) -> None:
        """Ends the link at once."""
        if not self._end.done():
            self._end.set_result(end)

    async def finish(self) -> None:
        """Ends the link once its queue is empty, or after a bounded wait."""
        try:
            async with asyncio.timeout(self._limits.close_timeout_s):
                while self._queue.messages and not self._end.done():
                    await self._queue.emptied.wait()
                await self._connection.close()
        except TimeoutError:
            pass
        self.stop(LinkEnd.SHUTDOWN)
        await self.ended.wait()

    async def run(self) -> LinkEnd:
        """Carries messages both ways until the link ends; returns why."""
        tasks = [
            asyncio.create_task(part()) for part in (self._read, self._write)
        ]
        for task in tasks:
            task.add_done_callback(self._part_done)
        try:
            return await self._end
        finally:
            for task in tasks:
                task.cancel()
            self._connection.transport.abort()
            self.ended.set()

    def _part_done(self, task: asyncio.Task[LinkEnd]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            self.stop(task.result())
        elif isinstance(error, websockets.ConnectionClosed):
            self.stop(LinkEnd.CLOSED)
        elif not self._end.done():
            self._end.set_exception(error)

    async def _read(self) -> LinkEnd:
        loop = asyncio.get_running_loop()
        while True:
            data = await self._connection.recv(decode=False)
            result = codec.MESSAGES.decode(data)
            if self._end.done():
                return LinkEnd.CLOSED
            if isinstance(result, Failure):
                return LinkEnd.BAD_MESSAGE
            self.hear(now=loop.time())
            self._take(result.unwrap())

    def _take(self, message: messages.LinkMessage) -> None:
        if isinstance(message, messages.Heartbeat):
            self._peer_interval_s = message.interval_s
            if message.probe:
                self._send_heartbeat(self._interval_s, probe=False)
        if isinstance(message, peer_messages.Message):
            self._on_event(events.LeasedPeerSaid(self.hello.host, message))
        else:
            self._on_event(events.PeerSaid(self.hello.host, message))

    async def _write(self) -> LinkEnd:
        queue = self._queue
        while True:
            while queue.messages:
                await self._connection.send(queue.pop())
            queue.emptied.set()
            queue.filled.clear()
            await queue.filled.wait()


def _wire(connection: _Connection) -> peer_auth.Wire:
    async def receive() -> bytes:
        return await connection.recv(decode=False)

    return peer_auth.Wire(connection.send, receive)


def _abort(connection: _Connection, end: LinkEnd) -> LinkEnd:
    connection.transport.abort()
    return end


async def _refuse(connection: _Connection, end: LinkEnd) -> None:
    """Closes a connection and tells the other end why."""
    await connection.close(websockets.CloseCode.POLICY_VIOLATION, end.value)


def _told_end(error: websockets.ConnectionClosed) -> LinkEnd:
    """Returns the reason that the acceptor gave, if it is one."""
    try:
        return LinkEnd(error.rcvd.reason if error.rcvd else "")
    except ValueError:
        return LinkEnd.HANDSHAKE_FAILED


def _note(event: str, host: ids.HostId | None) -> actions.Note:
    return actions.Note(event, detail=f"peer={host}" if host else "")
