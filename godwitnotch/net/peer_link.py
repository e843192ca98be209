"""Authenticated websocket links between hosts, one link for each pair.

Either host of a pair may dial. The host with the higher id delays its first
dial, so that usually only one link opens. If both hosts open a link at the same
time, the link that the host with the lower id dialled is kept, so that both
hosts keep the same link. See docs/design/peer-protocol.md.
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
    """Timeouts and limits of the links of one host.

    Attributes:
        heartbeat_interval_s: Interval between heartbeats on a link, in seconds;
            longer if `max_heartbeats_per_s` requires it.
        max_heartbeats_per_s: Maximum rate of heartbeats over all links. With
            many links, the interval on each link grows.
        max_background_heartbeats_per_s: Maximum rate of heartbeats over all
            background links, see `PeerLinks.set_watched`.
        silence_timeout_s: A link is closed if the peer sends no message for
            this long after a message was sent to it. A link without traffic is
            closed after this time or three heartbeat intervals, whichever is
            longer.
        handshake_timeout_s: Maximum time for connecting, and again for the
            authentication.
        min_backoff_s: Initial upper bound of the delay before a dial. The
            bound doubles with each failed dial.
        max_backoff_s: Value up to which the upper bound grows.
        higher_id_delay_s: Added delay of the host with the higher id, which
            lets the host with the lower id dial first.
        close_timeout_s: Maximum time to send queued messages at shutdown.
        max_message_bytes: Maximum size of a message, sent or received.
        max_queued_messages: Maximum number of messages in the send queue of a
            link.
        max_queued_bytes: Maximum size of the messages in the send queue of a
            link.
        max_handshakes: Maximum number of incoming connections that are not yet
            authenticated.
    """

    heartbeat_interval_s: float = 1.0
    max_heartbeats_per_s: float = 8.0
    max_background_heartbeats_per_s: float = 8.0
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
    """Result of sending a message."""

    QUEUED = "queued"
    LOST = "lost"  # No link is open, or its send queue is full.
    TOO_LARGE = "too_large"


class LinkEndReason(enum.Enum):
    """Why a link closed or could not be opened; a counter label."""

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


_AUTH_END_REASONS = {
    peer_auth.AuthProblem.BAD_MESSAGE: LinkEndReason.HANDSHAKE_FAILED,
    peer_auth.AuthProblem.VERSION_MISMATCH: LinkEndReason.VERSION_MISMATCH,
    peer_auth.AuthProblem.WRONG_SECRET: LinkEndReason.WRONG_SECRET,
}

_END_REASONS_AFTER_OPENING = frozenset(
    {
        LinkEndReason.CLOSED,
        LinkEndReason.SILENT,
        LinkEndReason.SEND_QUEUE_FULL,
        LinkEndReason.BAD_MESSAGE,
        LinkEndReason.REPLACED,
        LinkEndReason.SHUTDOWN,
    }
)
_MAX_HANDSHAKE_BYTES = 4_096
_MAX_MISSED_HEARTBEATS = 3

_Connection = websockets.asyncio.connection.Connection
OnEvent = Callable[[events.LinkEvent], None]
OnNote = Callable[[actions.Note], None]


class PeerLinks:
    """The links of one host to all other hosts.

    Args:
        hello: Identity of this host, sent in each handshake.
        secret: Secret that all hosts share.
        heartbeat: Returns the heartbeat to send.
        on_event: Called with `PeerUp`, `PeerDown` and the received messages,
            in order for each peer.
        on_note: Called with notes for the log and the counters.
        rng: Source of random numbers for the jitter of the dial delays.
        limits: Timeouts and limits; defaults if None.
    """

    def __init__(
        self,
        *,
        hello: messages.Hello,
        secret: bytes,
        heartbeat: Callable[[], messages.Heartbeat],
        on_event: OnEvent,
        on_note: OnNote,
        rng: random_source.RandomSource,
        limits: PeerLimits | None = None,
    ) -> None:
        self._hello = hello
        self._auth = peer_auth.Authenticator(hello=hello, secret=secret)
        self._heartbeat = heartbeat
        self._on_event = on_event
        self._on_note = on_note
        self._limits = limits or PeerLimits()
        self._dial_backoff = redial.DialBackoff(
            min_s=self._limits.min_backoff_s,
            max_s=self._limits.max_backoff_s,
            rng=rng,
        )
        self._server: websockets.asyncio.server.Server | None = None
        self._links: dict[ids.HostId, _Link] = {}
        self._listed_hosts: dict[ids.HostId, model.HostEntry] = {}
        self._watched: frozenset[ids.HostId] | None = None
        self._dial_tasks: dict[ids.HostId, asyncio.Task[None]] = {}
        self._open_handshakes = 0
        self._closing = False
        self._monitor_task: asyncio.Task[None] | None = None

    @property
    def linked(self) -> Mapping[ids.HostId, messages.Hello]:
        """The identity that each linked peer sent in its handshake."""
        return {host: link.hello for host, link in self._links.items()}

    async def start(self, listener: socket.socket) -> None:
        """Accepts links on a listening socket and starts to monitor them."""
        self._monitor_task = asyncio.create_task(self._monitor_links())
        self._server = await websockets.asyncio.server.serve(
            self._handle_connection,
            sock=listener,
            compression=None,
            ping_interval=None,
            open_timeout=self._limits.handshake_timeout_s,
            close_timeout=self._limits.close_timeout_s,
            max_size=_MAX_HANDSHAKE_BYTES,
        )

    def update_hosts(self, hosts: Iterable[model.HostEntry]) -> None:
        """Replaces the list of hosts to dial; links to others stay open."""
        self._listed_hosts = {
            entry.host: entry
            for entry in hosts
            if entry.host != self._hello.host
        }
        for host in self._listed_hosts:
            if host not in self._dial_tasks and not self._closing:
                task = asyncio.create_task(self._maintain_link(host))
                self._dial_tasks[host] = task
                task.add_done_callback(
                    functools.partial(self._dial_finished, host)
                )

    def set_watched(self, hosts: frozenset[ids.HostId] | None) -> None:
        """Sets the hosts whose loss must be noticed soon; None for all.

        The other links are background links: they get fewer heartbeats, so that
        the cost of a host doesn't grow with the number of hosts. A message to
        such a host that isn't answered still shows its loss.
        """
        self._watched = hosts

    def send(
        self, host: ids.HostId, message: messages.LinkMessage
    ) -> SendResult:
        """Queues a message for a peer."""
        link = self._links.get(host)
        result = SendResult.LOST if link is None else link.send(message)
        if result is not SendResult.QUEUED:
            self._on_note(_note(f"peer_message_{result.value}", host))
        return result

    async def close(self) -> None:
        """Sends the queued messages, then closes all links."""
        self._closing = True
        links = list(self._links.values())
        await asyncio.gather(*(link.flush_and_close() for link in links))
        for task in self._dial_tasks.values():
            task.cancel()
        if self._monitor_task is not None:
            self._monitor_task.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _monitor_links(self) -> None:
        """Sends heartbeats and closes silent links."""
        loop = asyncio.get_running_loop()
        limits = self._limits
        last_check_at = loop.time()
        while True:
            await asyncio.sleep(limits.heartbeat_interval_s)
            now = loop.time()
            loop_stalled = now - last_check_at > 2 * limits.heartbeat_interval_s
            last_check_at = now
            interval_s = max(
                limits.heartbeat_interval_s,
                len(self._links) / limits.max_heartbeats_per_s,
            )
            background_interval_s = self._background_interval_s(interval_s)
            for link in list(self._links.values()):
                if loop_stalled:
                    # Messages received during the stall are still unread.
                    link.record_received(now=now)
                watched = self._is_watched(link.hello.host)
                self._monitor_link(
                    link, interval_s if watched else background_interval_s, now
                )

    def _is_watched(self, host: ids.HostId) -> bool:
        return self._watched is None or host in self._watched

    def _background_interval_s(self, interval_s: float) -> float:
        """Returns the interval between heartbeats on a background link."""
        count = sum(not self._is_watched(host) for host in self._links)
        rate = self._limits.max_background_heartbeats_per_s
        return max(interval_s, count / rate)

    def _monitor_link(
        self, link: "_Link", interval_s: float, now: float
    ) -> None:
        try:
            link.check(interval_s, now=now)
        except Exception:  # A fault on one link must not stop the others.
            self._on_note(_note("peer_watch_fault", link.hello.host))
            link.stop(LinkEndReason.CLOSED)

    def _dial_finished(
        self, host: ids.HostId, task: asyncio.Task[None]
    ) -> None:
        self._dial_tasks.pop(host, None)
        if not task.cancelled() and task.exception() is not None:
            self._on_note(_note("peer_dial_fault", host))

    async def _maintain_link(self, host: ids.HostId) -> None:
        """Keeps a link to a host open while the host is listed."""
        failures = 0
        while host in self._listed_hosts and not self._closing:
            link = self._links.get(host)
            if link is not None:
                await link.ended.wait()
                failures = 0
            if host not in self._listed_hosts:
                return
            waits_for_peer = not failures and self._hello.host > host
            await self._dial_backoff.wait(
                host,
                self._listed_hosts[host].domain,
                failures=failures,
                extra_delay_s=self._limits.higher_id_delay_s
                if waits_for_peer
                else 0.0,
            )
            if host in self._links or host not in self._listed_hosts:
                continue
            reason = await self._dial(self._listed_hosts[host])
            failures = (
                0 if reason in _END_REASONS_AFTER_OPENING else failures + 1
            )
            self._record_end(reason, host)

    async def _dial(self, entry: model.HostEntry) -> LinkEndReason:
        """Opens a link and runs it; returns the reason for its end."""
        try:
            connection = await self._dial_backoff.connect(
                entry.host,
                entry.domain,
                lambda: self._connect(entry.address),
                timeout_s=self._limits.handshake_timeout_s,
            )
        except TimeoutError:
            return LinkEndReason.HANDSHAKE_TIMEOUT
        except (OSError, websockets.WebSocketException):
            return LinkEndReason.CONNECT_FAILED
        try:
            async with asyncio.timeout(self._limits.handshake_timeout_s):
                result = await self._auth.dial(_channel(connection))
        except TimeoutError:
            return _abort(connection, LinkEndReason.HANDSHAKE_TIMEOUT)
        except websockets.ConnectionClosed as error:
            return _abort(connection, _reported_reason(error))
        if isinstance(result, Failure):
            return _abort(connection, _AUTH_END_REASONS[result.failure()])
        hello = result.unwrap()
        if hello.host != entry.host:
            return _abort(connection, LinkEndReason.WRONG_HOST)
        return await self._run_link(connection, hello, dialler=self._hello.host)

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

    async def _handle_connection(
        self, connection: websockets.asyncio.server.ServerConnection
    ) -> None:
        if self._open_handshakes >= self._limits.max_handshakes:
            self._record_end(LinkEndReason.TOO_MANY_HANDSHAKES, None)
            _abort(connection, LinkEndReason.TOO_MANY_HANDSHAKES)
            return
        self._open_handshakes += 1
        try:
            result = await self._accept_handshake(connection)
        finally:
            self._open_handshakes -= 1
        if isinstance(result, LinkEndReason):
            self._record_end(result, None)
            await _close_with_reason(connection, result)
            return
        await self._run_accepted_link(connection, result)

    async def _accept_handshake(
        self, connection: websockets.asyncio.server.ServerConnection
    ) -> messages.Hello | LinkEndReason:
        """Returns the dialler's identity, or the reason for its rejection."""
        try:
            async with asyncio.timeout(self._limits.handshake_timeout_s):
                result = await self._auth.accept(_channel(connection))
        except TimeoutError:
            return LinkEndReason.HANDSHAKE_TIMEOUT
        except websockets.ConnectionClosed:
            return LinkEndReason.HANDSHAKE_FAILED
        if isinstance(result, Failure):
            return _AUTH_END_REASONS[result.failure()]
        return result.unwrap()

    async def _run_accepted_link(
        self,
        connection: websockets.asyncio.server.ServerConnection,
        hello: messages.Hello,
    ) -> None:
        reason = self._rejection_reason(hello, dialler=hello.host)
        if reason is not None:
            self._record_end(reason, hello.host)
            await _close_with_reason(connection, reason)
            return
        connection.protocol.max_message_size = self._limits.max_message_bytes
        try:
            await self._auth.confirm(_channel(connection))
        except websockets.ConnectionClosed:
            self._record_end(LinkEndReason.HANDSHAKE_FAILED, hello.host)
            return
        reason = await self._run_link(connection, hello, dialler=hello.host)
        self._record_end(reason, hello.host)

    def _rejection_reason(
        self, hello: messages.Hello, *, dialler: ids.HostId
    ) -> LinkEndReason | None:
        """Returns why an authenticated link is rejected, or None."""
        if self._closing:
            return LinkEndReason.SHUTDOWN
        if hello.host == self._hello.host:
            return LinkEndReason.WRONG_HOST
        link = self._links.get(hello.host)
        if link is None:
            return None
        if hello.incarnation != link.hello.incarnation:
            newer = hello.incarnation > link.hello.incarnation
            return None if newer else LinkEndReason.OLD_INCARNATION
        preferred_dialler = min(self._hello.host, hello.host)
        if dialler in (link.dialler, preferred_dialler):
            return None
        return LinkEndReason.DUPLICATE

    async def _run_link(
        self,
        connection: _Connection,
        hello: messages.Hello,
        *,
        dialler: ids.HostId,
    ) -> LinkEndReason:
        """Runs an authenticated link until it ends."""
        rejection = self._rejection_reason(hello, dialler=dialler)
        if rejection is not None:
            return _abort(connection, rejection)
        old_link = self._links.pop(hello.host, None)
        if old_link is not None:
            old_link.stop(LinkEndReason.REPLACED)
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
        self._dial_backoff.link_opened(hello.domain)
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

    def _record_end(
        self, reason: LinkEndReason, host: ids.HostId | None
    ) -> None:
        self._on_note(_note(f"peer_link_{reason.value}", host))


@dataclass(slots=True)
class _SendQueue:
    """Encoded messages that wait to be sent."""

    messages: deque[bytes] = field(default_factory=deque)
    size_bytes: int = 0
    not_empty: asyncio.Event = field(default_factory=asyncio.Event)
    empty: asyncio.Event = field(default_factory=asyncio.Event)

    def push(self, data: bytes) -> None:
        """Adds a message."""
        self.messages.append(data)
        self.size_bytes += len(data)
        self.not_empty.set()
        self.empty.clear()

    def pop(self) -> bytes:
        """Removes and returns the oldest message."""
        data = self.messages.popleft()
        self.size_bytes -= len(data)
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
        self._queue = _SendQueue()
        self._end_reason: asyncio.Future[LinkEndReason] = (
            asyncio.get_running_loop().create_future()
        )
        self._last_received_at = asyncio.get_running_loop().time()
        self._peer_heartbeat_interval_s = limits.heartbeat_interval_s
        self._heartbeat_interval_s = limits.heartbeat_interval_s
        self._last_heartbeat_at = 0.0
        self._unanswered_since: float | None = None

    def record_received(self, *, now: float) -> None:
        """Records that a message arrived from the peer."""
        self._last_received_at = now
        self._unanswered_since = None

    def check(self, interval_s: float, *, now: float) -> None:
        """Sends a heartbeat if one is due, or closes a silent link.

        If the peer has sent nothing for a heartbeat interval since a message
        was sent to it, the heartbeat demands an immediate reply. A dead link
        can thus be closed after `silence_timeout_s` while calls wait for a
        reply of the peer.
        """
        if now > self._silence_deadline():
            self.stop(LinkEndReason.SILENT)
            return
        probe_due = self._unanswered_before(
            now - self._limits.heartbeat_interval_s
        )
        # Except for replies, only checks send heartbeats. They run every
        # `limits.heartbeat_interval_s`, so a heartbeat that is due within half
        # of this interval is sent now.
        slack_s = self._limits.heartbeat_interval_s / 2
        # A longer interval holds only once a heartbeat has announced it.
        wait_s = min(interval_s, self._heartbeat_interval_s) - slack_s
        heartbeat_due = now >= self._last_heartbeat_at + wait_s
        if probe_due or heartbeat_due:
            self._last_heartbeat_at = now
            self._heartbeat_interval_s = interval_s
            self._send_heartbeat(interval_s, probe=probe_due)

    def _unanswered_before(self, time: float) -> bool:
        return (
            self._unanswered_since is not None
            and self._unanswered_since <= time
        )

    def _silence_deadline(self) -> float:
        """Returns the loop time at which the link is closed as silent."""
        timeout_s = self._limits.silence_timeout_s
        max_idle_s = max(
            timeout_s, _MAX_MISSED_HEARTBEATS * self._peer_heartbeat_interval_s
        )
        deadline = self._last_received_at + max_idle_s
        if self._unanswered_since is not None:
            deadline = min(deadline, self._unanswered_since + timeout_s)
        return deadline

    def _send_heartbeat(self, interval_s: float, *, probe: bool) -> None:
        heartbeat = replace(
            self._heartbeat(), interval_s=interval_s, probe=probe
        )
        self._push(codec.MESSAGES.encode(heartbeat))

    def send(self, message: messages.LinkMessage) -> SendResult:
        """Queues a message unless the link has ended or a limit is exceeded."""
        data = codec.MESSAGES.encode(message)
        if self._end_reason.done():
            return SendResult.LOST
        if len(data) > self._limits.max_message_bytes:
            return SendResult.TOO_LARGE
        if self._unanswered_since is None:
            self._unanswered_since = asyncio.get_running_loop().time()
        return SendResult.QUEUED if self._push(data) else SendResult.LOST

    def _push(self, data: bytes) -> bool:
        self._queue.push(data)
        if (
            len(self._queue.messages) > self._limits.max_queued_messages
            or self._queue.size_bytes > self._limits.max_queued_bytes
        ):
            self.stop(LinkEndReason.SEND_QUEUE_FULL)
            return False
        return True

    def stop(self, reason: LinkEndReason) -> None:
        """Closes the link without sending the queued messages."""
        if not self._end_reason.done():
            self._end_reason.set_result(reason)

    async def flush_and_close(self) -> None:
        """Closes the link when its queue is empty, or after a timeout."""
        try:
            async with asyncio.timeout(self._limits.close_timeout_s):
                while self._queue.messages and not self._end_reason.done():
                    await self._queue.empty.wait()
                await self._connection.close()
        except TimeoutError:
            pass
        self.stop(LinkEndReason.SHUTDOWN)
        await self.ended.wait()

    async def run(self) -> LinkEndReason:
        """Sends and receives until the link ends; returns the reason."""
        tasks = [
            asyncio.create_task(operation())
            for operation in (self._read, self._write)
        ]
        for task in tasks:
            task.add_done_callback(self._on_task_done)
        try:
            return await self._end_reason
        finally:
            for task in tasks:
                task.cancel()
            self._connection.transport.abort()
            self.ended.set()

    def _on_task_done(self, task: asyncio.Task[LinkEndReason]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            self.stop(task.result())
        elif isinstance(error, websockets.ConnectionClosed):
            self.stop(LinkEndReason.CLOSED)
        elif not self._end_reason.done():
            self._end_reason.set_exception(error)

    async def _read(self) -> LinkEndReason:
        loop = asyncio.get_running_loop()
        while True:
            data = await self._connection.recv(decode=False)
            result = codec.MESSAGES.decode(data)
            if self._end_reason.done():
                return LinkEndReason.CLOSED
            if isinstance(result, Failure):
                return LinkEndReason.BAD_MESSAGE
            self.record_received(now=loop.time())
            self._handle_message(result.unwrap())

    def _handle_message(self, message: messages.LinkMessage) -> None:
        if isinstance(message, messages.Heartbeat):
            self._peer_heartbeat_interval_s = message.interval_s
            if message.probe:
                self._send_heartbeat(self._heartbeat_interval_s, probe=False)
        if isinstance(message, peer_messages.Message):
            self._on_event(events.LeasedPeerSaid(self.hello.host, message))
        else:
            self._on_event(events.PeerSaid(self.hello.host, message))

    async def _write(self) -> LinkEndReason:
        queue = self._queue
        while True:
            while queue.messages:
                await self._connection.send(queue.pop())
            queue.empty.set()
            queue.not_empty.clear()
            await queue.not_empty.wait()


def _channel(connection: _Connection) -> peer_auth.Channel:
    async def receive() -> bytes:
        return await connection.recv(decode=False)

    return peer_auth.Channel(connection.send, receive)


def _abort(connection: _Connection, reason: LinkEndReason) -> LinkEndReason:
    connection.transport.abort()
    return reason


async def _close_with_reason(
    connection: _Connection, reason: LinkEndReason
) -> None:
    """Closes a connection and sends the reason to the peer."""
    await connection.close(websockets.CloseCode.POLICY_VIOLATION, reason.value)


def _reported_reason(error: websockets.ConnectionClosed) -> LinkEndReason:
    """Returns the reason that the acceptor sent, if it is a known reason."""
    try:
        return LinkEndReason(error.rcvd.reason if error.rcvd else "")
    except ValueError:
        return LinkEndReason.HANDSHAKE_FAILED


def _note(event: str, host: ids.HostId | None) -> actions.Note:
    return actions.Note(event, detail=f"peer={host}" if host else "")
