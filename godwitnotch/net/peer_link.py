"""One open link to another host: its messages, heartbeats and end."""

import asyncio
import enum
from collections import deque
from collections.abc import Callable

import msgspec
import websockets
import websockets.asyncio.connection
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core.leased import peer_messages
from godwitnotch.net import codec
from godwitnotch.net import link_limits

_MAX_MISSED_HEARTBEATS = 3
_UNKNOWN_KIND = codec.CodecProblem.UNKNOWN_KIND

Connection = websockets.asyncio.connection.Connection
OnEvent = Callable[[events.LinkEvent], None]


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


class PeerLink:
    """One open link to another host.

    Args:
        connection: The authenticated connection.
        hello: Identity that the peer sent in its handshake.
        dialler: The host that opened the connection.
        heartbeat: Returns the heartbeat to send.
        on_event: Called with the received messages.
        on_unknown_message: Called with the kind of a message that this build
            doesn't know; it is passed over, as a newer build may send it.
        limits: Timeouts and limits.

    Attributes:
        hello: Identity of the peer.
        dialler: The host that opened the connection.
        ended: Set once the link has ended.
    """

    def __init__(
        self,
        *,
        connection: Connection,
        hello: messages.Hello,
        dialler: ids.HostId,
        heartbeat: Callable[[], messages.Heartbeat],
        on_event: OnEvent,
        on_unknown_message: Callable[[str], None],
        limits: link_limits.PeerLimits,
    ) -> None:
        self.hello = hello
        self.dialler = dialler
        self.ended = asyncio.Event()
        self._connection = connection
        self._heartbeat = heartbeat
        self._on_event = on_event
        self._on_unknown_message = on_unknown_message
        self._limits = limits
        self._queue = _SendQueue()
        self._end_reason: asyncio.Future[LinkEndReason] = (
            asyncio.get_running_loop().create_future()
        )
        self._last_received_at = asyncio.get_running_loop().time()
        self._peer_heartbeat_interval_s = limits.heartbeat_interval_s
        self._heartbeat_interval_s = limits.heartbeat_interval_s
        self._last_heartbeat_at = 0.0
        # Most heartbeats on a link equal the one before, sent and received.
        self._sent_heartbeat: messages.Heartbeat | None = None
        self._sent_heartbeat_data = b""
        self._received_heartbeat: (
            Result[messages.LinkMessage, codec.CodecError] | None
        ) = None
        self._received_heartbeat_data = b""
        self._unanswered_since: float | None = None

    def record_received(self, *, now: float) -> None:
        """Records that a message arrived from the peer."""
        self._last_received_at = now
        self._unanswered_since = None

    def check(
        self, interval_s: float, *, now: float, news: bool = False
    ) -> None:
        """Sends a heartbeat if one is due, or closes a silent link.

        If the peer has sent nothing for a heartbeat interval since a message
        was sent to it, the heartbeat demands an immediate reply. A dead link
        can thus be closed after `silence_timeout_s` while calls wait for a
        reply of the peer.

        Args:
            interval_s: The interval between heartbeats.
            now: The current time.
            news: Whether this host's heartbeat has changed, so that it is due.
        """
        if now > self._silence_deadline():
            self.stop(LinkEndReason.SILENT)
            return
        probe_due = self.overdue(now=now)
        # Except for replies, only checks send heartbeats. They run every
        # `limits.heartbeat_interval_s`, so a heartbeat that is due within half
        # of this interval is sent now.
        slack_s = self._limits.heartbeat_interval_s / 2
        # A longer interval holds only once a heartbeat has announced it.
        wait_s = min(interval_s, self._heartbeat_interval_s) - slack_s
        heartbeat_due = now >= self._last_heartbeat_at + wait_s
        if probe_due or heartbeat_due or news:
            self._last_heartbeat_at = now
            self._heartbeat_interval_s = interval_s
            self._send_heartbeat(interval_s, probe=probe_due)

    def overdue(self, *, now: float) -> bool:
        """Returns whether the peer owes a reply for a heartbeat interval."""
        return (
            self._unanswered_since is not None
            and now
            >= self._unanswered_since + self._limits.heartbeat_interval_s
        )

    def probe(self, *, now: float) -> None:
        """Demands a reply; without one, the link is closed as silent."""
        if self._unanswered_since is None:
            self._unanswered_since = now
            self._send_heartbeat(self._heartbeat_interval_s, probe=True)

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
        heartbeat = msgspec.structs.replace(
            self._heartbeat(), interval_s=interval_s, probe=probe
        )
        if heartbeat != self._sent_heartbeat:
            self._sent_heartbeat = heartbeat
            self._sent_heartbeat_data = codec.MESSAGES.encode(heartbeat)
        self._push(self._sent_heartbeat_data)

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
            result = self._decode(data)
            if self._end_reason.done():
                return LinkEndReason.CLOSED
            if isinstance(result, Failure):
                if result.failure().problem is not _UNKNOWN_KIND:
                    return LinkEndReason.BAD_MESSAGE
                self._on_unknown_message(result.failure().detail)
            self.record_received(now=loop.time())
            if isinstance(result, Success):
                self._handle_message(result.unwrap())

    def _decode(
        self, data: bytes
    ) -> Result[messages.LinkMessage, codec.CodecError]:
        """Returns a received message, or why it can't be read."""
        if data == self._received_heartbeat_data:
            assert self._received_heartbeat is not None
            return self._received_heartbeat
        result = codec.MESSAGES.decode(data)
        if isinstance(result, Success) and isinstance(
            result.unwrap(), messages.Heartbeat
        ):
            self._received_heartbeat = result
            self._received_heartbeat_data = data
        return result

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


class _SendQueue(msgspec.Struct):
    """Encoded messages that wait to be sent."""

    messages: deque[bytes] = msgspec.field(default_factory=deque)
    size_bytes: int = 0
    not_empty: asyncio.Event = msgspec.field(default_factory=asyncio.Event)
    empty: asyncio.Event = msgspec.field(default_factory=asyncio.Event)

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
