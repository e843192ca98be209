"""Authenticated websocket links between hosts, one link for each pair.

Either host of a pair may dial. The host with the higher id dials only if the
other one doesn't, so that usually only one link opens. If both hosts open a link
at the same time, the link that the host with the lower id dialled is kept, so
that both hosts keep the same link. See docs/design/peer-protocol.md.
"""

import asyncio
import contextlib
import functools
import socket
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec
import websockets
import websockets.asyncio.client
import websockets.asyncio.server
from returns.result import Failure

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import random_source
from godwitnotch.net import addresses
from godwitnotch.net import incoming_dials
from godwitnotch.net import link_limits
from godwitnotch.net import link_monitor
from godwitnotch.net import peer_auth
from godwitnotch.net import peer_link
from godwitnotch.net import redial

_AUTH_END_REASONS = {
    peer_auth.AuthProblem.BAD_MESSAGE: peer_link.LinkEndReason.HANDSHAKE_FAILED,
    peer_auth.AuthProblem.VERSION_MISMATCH: peer_link.LinkEndReason.VERSION_MISMATCH,
    peer_auth.AuthProblem.WRONG_SECRET: peer_link.LinkEndReason.WRONG_SECRET,
}

_END_REASONS_AFTER_OPENING = frozenset(
    {
        peer_link.LinkEndReason.CLOSED,
        peer_link.LinkEndReason.SILENT,
        peer_link.LinkEndReason.SEND_QUEUE_FULL,
        peer_link.LinkEndReason.BAD_MESSAGE,
        peer_link.LinkEndReason.REPLACED,
        peer_link.LinkEndReason.SHUTDOWN,
    }
)
_MAX_HANDSHAKE_BYTES = 4_096
_MAX_UNKNOWN_KINDS = 1_000  # Of all peers together.

OnNote = link_monitor.OnNote


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
        on_event: peer_link.OnEvent,
        on_note: OnNote,
        rng: random_source.RandomSource,
        limits: link_limits.PeerLimits | None = None,
    ) -> None:
        self._hello = hello
        self._auth = peer_auth.Authenticator(hello=hello, secret=secret)
        self._heartbeat = heartbeat
        self._on_event = on_event
        self._on_note = on_note
        self._limits = limits or link_limits.PeerLimits()
        self._dial_backoff = redial.DialBackoff(
            min_s=self._limits.min_backoff_s,
            max_s=self._limits.max_backoff_s,
            rng=rng,
        )
        self._dial_turns = redial.DialTurns(
            max_open=self._limits.max_dials,
            max_turn_s=self._limits.dial_turn_s,
        )
        self._incoming_dials = incoming_dials.IncomingDials(
            quiet_s=self._limits.higher_id_delay_s,
            max_wait_s=self._limits.max_peer_dial_wait_s,
        )
        self._server: websockets.asyncio.server.Server | None = None
        self._links: dict[ids.HostId, peer_link.PeerLink] = {}
        self._listed_hosts: dict[ids.HostId, model.HostEntry] = {}
        self._dial_tasks: dict[ids.HostId, asyncio.Task[None]] = {}
        self._unknown_kinds: set[tuple[ids.HostId, str]] = set()
        self._closing = False
        self._monitor = link_monitor.LinkMonitor(
            self._links,
            heartbeat=heartbeat,
            on_note=on_note,
            limits=self._limits,
        )
        self._monitor_task: asyncio.Task[None] | None = None

    @property
    def linked(self) -> Mapping[ids.HostId, messages.Hello]:
        """The identity that each linked peer sent in its handshake."""
        return {host: link.hello for host, link in self._links.items()}

    async def start(self, listener: socket.socket) -> None:
        """Accepts links on a listening socket and starts to monitor them."""
        self._monitor_task = asyncio.create_task(self._monitor.run())
        self._server = await websockets.asyncio.server.serve(
            self._handle_connection,
            sock=listener,
            process_request=self._note_arrival,
            compression=None,
            ping_interval=None,
            # The other host may open a connection long before its turn to use it.
            open_timeout=2 * self._limits.handshake_timeout_s,
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
        """Sets the hosts whose loss must be noticed soon; None for all."""
        self._monitor.watched = hosts

    def send(
        self, host: ids.HostId, message: messages.LinkMessage
    ) -> peer_link.SendResult:
        """Queues a message for a peer."""
        link = self._links.get(host)
        result = (
            peer_link.SendResult.LOST if link is None else link.send(message)
        )
        if result is not peer_link.SendResult.QUEUED:
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
            await self._dial_backoff.wait(
                host, self._listed_hosts[host].domain, failures=failures
            )
            if self._hello.host > host:
                await self._incoming_dials.wait_quiet(
                    is_linked=functools.partial(self._links.__contains__, host)
                )
            if host in self._links or host not in self._listed_hosts:
                continue
            reason = await self._dial(self._listed_hosts[host])
            failures = (
                0 if reason in _END_REASONS_AFTER_OPENING else failures + 1
            )
            self._record_end(reason, host)

    async def _dial(self, entry: model.HostEntry) -> peer_link.LinkEndReason:
        """Opens a link and runs it; returns the reason for its end."""
        try:
            sock = await self._dial_backoff.connect(
                entry.host,
                entry.domain,
                lambda: _connect_socket(entry.address),
                timeout_s=self._limits.connect_timeout_s,
            )
        except TimeoutError:
            return peer_link.LinkEndReason.HANDSHAKE_TIMEOUT
        except (OSError, ValueError):  # Others write the addresses of hosts.
            return peer_link.LinkEndReason.CONNECT_FAILED
        with contextlib.closing(sock):
            async with self._dial_turns.turn():
                if self._hello.host > entry.host and entry.host in self._links:
                    return peer_link.LinkEndReason.DUPLICATE
                opened = await self._open_link(sock, entry)
            if isinstance(opened, peer_link.LinkEndReason):
                return opened
            return await self._run_link(
                opened.connection, opened.hello, dialler=self._hello.host
            )

    async def _open_link(
        self, sock: socket.socket, entry: model.HostEntry
    ) -> "_OpenedLink | peer_link.LinkEndReason":
        """Authenticates both hosts on a new connection.

        Returns:
            The link, or why it can't be opened.
        """
        try:
            async with asyncio.timeout(self._limits.handshake_timeout_s):
                connection = await self._open_websocket(sock, entry.address)
        except TimeoutError:
            return peer_link.LinkEndReason.HANDSHAKE_TIMEOUT
        except (OSError, websockets.WebSocketException):
            return peer_link.LinkEndReason.CONNECT_FAILED
        try:
            async with asyncio.timeout(self._limits.handshake_timeout_s):
                result = await self._auth.dial(_channel(connection))
        except TimeoutError:
            return _abort(connection, peer_link.LinkEndReason.HANDSHAKE_TIMEOUT)
        except websockets.ConnectionClosed as error:
            return _abort(connection, _reported_reason(error))
        if isinstance(result, Failure):
            return _abort(connection, _AUTH_END_REASONS[result.failure()])
        hello = result.unwrap()
        if hello.host != entry.host:
            return _abort(connection, peer_link.LinkEndReason.WRONG_HOST)
        return _OpenedLink(connection, hello)

    async def _open_websocket(
        self, sock: socket.socket, address: str
    ) -> peer_link.Connection:
        return await websockets.asyncio.client.connect(
            f"ws://{address}/",
            sock=sock,
            compression=None,
            ping_interval=None,
            proxy=None,
            open_timeout=None,
            close_timeout=self._limits.close_timeout_s,
            max_size=self._limits.max_message_bytes,
        )

    def _note_arrival(
        self,
        connection: websockets.asyncio.server.ServerConnection,
        request: websockets.Request,
    ) -> None:
        """Records that a host dials; accepts its request."""
        self._incoming_dials.arrived()

    async def _handle_connection(
        self, connection: websockets.asyncio.server.ServerConnection
    ) -> None:
        dials = self._incoming_dials
        if dials.open_handshakes >= self._limits.max_handshakes:
            self._record_end(peer_link.LinkEndReason.TOO_MANY_HANDSHAKES, None)
            _abort(connection, peer_link.LinkEndReason.TOO_MANY_HANDSHAKES)
            return
        with dials.handshake():
            result = await self._accept_handshake(connection)
        if isinstance(result, peer_link.LinkEndReason):
            self._record_end(result, None)
            await _close_with_reason(connection, result)
            return
        await self._run_accepted_link(connection, result)

    async def _accept_handshake(
        self, connection: websockets.asyncio.server.ServerConnection
    ) -> messages.Hello | peer_link.LinkEndReason:
        """Returns the dialler's identity, or the reason for its rejection."""
        try:
            async with asyncio.timeout(self._limits.handshake_timeout_s):
                result = await self._auth.accept(_channel(connection))
        except TimeoutError:
            return peer_link.LinkEndReason.HANDSHAKE_TIMEOUT
        except websockets.ConnectionClosed:
            return peer_link.LinkEndReason.HANDSHAKE_FAILED
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
            self._record_end(
                peer_link.LinkEndReason.HANDSHAKE_FAILED, hello.host
            )
            return
        reason = await self._run_link(connection, hello, dialler=hello.host)
        self._record_end(reason, hello.host)

    def _rejection_reason(
        self, hello: messages.Hello, *, dialler: ids.HostId
    ) -> peer_link.LinkEndReason | None:
        """Returns why an authenticated link is rejected, or None."""
        if self._closing:
            return peer_link.LinkEndReason.SHUTDOWN
        if hello.host == self._hello.host:
            return peer_link.LinkEndReason.WRONG_HOST
        link = self._links.get(hello.host)
        if link is None:
            return None
        if hello.incarnation != link.hello.incarnation:
            newer = hello.incarnation > link.hello.incarnation
            return None if newer else peer_link.LinkEndReason.OLD_INCARNATION
        preferred_dialler = min(self._hello.host, hello.host)
        if dialler in (link.dialler, preferred_dialler):
            return None
        return peer_link.LinkEndReason.DUPLICATE

    async def _run_link(
        self,
        connection: peer_link.Connection,
        hello: messages.Hello,
        *,
        dialler: ids.HostId,
    ) -> peer_link.LinkEndReason:
        """Runs an authenticated link until it ends."""
        rejection = self._rejection_reason(hello, dialler=dialler)
        if rejection is not None:
            return _abort(connection, rejection)
        old_link = self._links.pop(hello.host, None)
        if old_link is not None:
            old_link.stop(peer_link.LinkEndReason.REPLACED)
            self._on_event(events.PeerDown(hello.host))
        link = peer_link.PeerLink(
            connection=connection,
            hello=hello,
            dialler=dialler,
            heartbeat=self._heartbeat,
            on_event=self._on_event,
            on_unknown_message=functools.partial(
                self._note_unknown_message, hello.host
            ),
            limits=self._limits,
        )
        self._links[hello.host] = link
        self._dial_backoff.link_opened(hello.domain)
        self._incoming_dials.arrived()
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

    def _note_unknown_message(self, host: ids.HostId, kind: str) -> None:
        """Logs the first message of a kind that a newer build sends."""
        first = (host, kind) not in self._unknown_kinds
        if first and len(self._unknown_kinds) < _MAX_UNKNOWN_KINDS:
            self._unknown_kinds.add((host, kind))
            self._on_note(
                actions.Note(
                    "peer_message_unknown", detail=f"peer={host} kind={kind}"
                )
            )

    def _record_end(
        self, reason: peer_link.LinkEndReason, host: ids.HostId | None
    ) -> None:
        self._on_note(_note(f"peer_link_{reason.value}", host))


class _OpenedLink(msgspec.Struct, frozen=True):
    """A connection that this host has dialled, and who has accepted it."""

    connection: peer_link.Connection
    hello: messages.Hello


async def _connect_socket(address: str) -> socket.socket:
    """Opens a TCP connection to the IP address and port of a host."""
    target = addresses.parse(address)
    loop = asyncio.get_running_loop()
    sock = socket.socket(target.family)
    try:
        sock.setblocking(False)
        await loop.sock_connect(sock, (target.ip, target.port))
    except BaseException:
        sock.close()
        raise
    return sock


def _channel(connection: peer_link.Connection) -> peer_auth.Channel:
    async def receive() -> bytes:
        return await connection.recv(decode=False)

    return peer_auth.Channel(connection.send, receive)


def _abort(
    connection: peer_link.Connection, reason: peer_link.LinkEndReason
) -> peer_link.LinkEndReason:
    connection.transport.abort()
    return reason


async def _close_with_reason(
    connection: peer_link.Connection, reason: peer_link.LinkEndReason
) -> None:
    """Closes a connection and sends the reason to the peer."""
    await connection.close(websockets.CloseCode.POLICY_VIOLATION, reason.value)


def _reported_reason(
    error: websockets.ConnectionClosed,
) -> peer_link.LinkEndReason:
    """Returns the reason that the acceptor sent, if it is a known reason."""
    try:
        return peer_link.LinkEndReason(error.rcvd.reason if error.rcvd else "")
    except ValueError:
        return peer_link.LinkEndReason.HANDSHAKE_FAILED


def _note(event: str, host: ids.HostId | None) -> actions.Note:
    return actions.Note(event, detail=f"peer={host}" if host else "")
