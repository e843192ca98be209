"""One HTTP/1.1 connection of a client, based on h11.

The error of a failed exchange tells whether any byte of the request was passed
to the kernel. A request is safe to retry only if no byte was.
"""

import asyncio
import contextlib
import enum
import socket
import urllib.parse

import h11

from godwitnotch.net import addresses
from godwitnotch.net import http_types

_MAX_HEADER_BYTES = 16_384
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBE_COUNT = 3
_UNACKNOWLEDGED_TIMEOUT_MS = 5_000


class Progress(enum.Enum):
    """How much of a failed request was sent."""

    # Connecting failed for a reason other than a timeout.
    CONNECT_REFUSED = "connect_refused"
    # No byte was passed to the kernel.
    NOTHING_SENT = "nothing_sent"
    # Some bytes were, or may have been, passed to the kernel.
    SENT = "sent"


class Cause(enum.Enum):
    """Why an exchange failed."""

    CONNECT_FAILED = "connect_failed"
    TIMED_OUT = "timed_out"
    CLOSED = "closed"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


class ExchangeError(Exception):
    """Raised when an exchange fails before the whole response arrived.

    Attributes:
        address: IP address and port of the server.
        progress: How much of the request was sent.
        cause: Why the exchange failed.
    """

    def __init__(
        self, address: str, progress: Progress, cause: Cause, remedy: str
    ) -> None:
        super().__init__(
            f"no response from {address}: cause={cause.value} "
            f"progress={progress.value}; {remedy}"
        )
        self.address = address
        self.progress = progress
        self.cause = cause


class Connection(asyncio.Protocol):
    """One connection, which carries one exchange at a time.

    Attributes:
        address: IP address and port of the server.
        process: The server's process, as a greeting has found it; 0 if not
            known.
        idle_since: Loop time of the last response.
    """

    def __init__(self, address: str, sock: socket.socket) -> None:
        self.address = address
        self.process = 0
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEADER_BYTES
        )
        self._transport: asyncio.Transport
        self._response_future: (
            asyncio.Future[http_types.HttpResponse] | None
        ) = None
        self._response_head: h11.Response | None = None
        self._body = bytearray()
        self._max_body_bytes = 0
        self._request_bytes = 0
        self._closed = False
        self.idle_since = 0.0

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another exchange."""
        return (
            not self._closed
            and self._http.our_state is h11.IDLE
            and self._transport.get_write_buffer_size() == 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange in progress."""
        self._closed = True
        self._fail(Cause.CLOSED, "the connection was lost")

    def eof_received(self) -> None:
        """Handles end of input, which ends a response without a length."""
        self._closed = True
        self._feed(b"")

    def data_received(self, data: bytes) -> None:
        """Passes data to the parser; closes if no request is in progress."""
        if self._response_future is None:
            self.abort()
            return
        self._feed(data)

    def abort(self) -> None:
        """Closes the connection at once."""
        self._closed = True
        self._transport.abort()

    def usable(self) -> bool:
        """Returns whether the idle connection is open without unread data."""
        if self._closed or self._transport.is_closing():
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def exchange(
        self,
        request: http_types.HttpRequest,
        deadline: float,
        max_body_bytes: int,
    ) -> http_types.HttpResponse:
        """Sends a request and waits for its response."""
        self._response_future = self._loop.create_future()
        self._max_body_bytes = max_body_bytes
        timer = self._loop.call_at(deadline, self._on_timeout)
        try:
            self._send(request, deadline)
            response = await self._response_future
        finally:
            timer.cancel()
            self._response_future = None
            self._response_head = None
            self._body.clear()
        self.idle_since = self._loop.time()
        return response

    def _send(self, request: http_types.HttpRequest, deadline: float) -> None:
        if self._loop.time() >= deadline:
            self._fail(
                Cause.TIMED_OUT,
                "the deadline passed before the request was sent; allow more "
                "time",
                Progress.NOTHING_SENT,
            )
            return
        try:
            data = self._encode(request)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self._fail(
                Cause.MALFORMED,
                f"correct the path or headers of the request ({error})",
                Progress.NOTHING_SENT,
            )
            return
        self._write(data)

    def _encode(self, request: http_types.HttpRequest) -> bytes:
        headers = list(request.headers.items())
        if "host" not in request.headers:
            headers.insert(0, ("host", self.address))
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.append(("content-length", str(len(request.body))))
        head = h11.Request(
            method=request.method, target=_target(request), headers=headers
        )
        parts = [self._http.send(head) or b""]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        return b"".join(parts)

    def _write(self, data: bytes) -> None:
        self._request_bytes = len(data)
        if not self._transport.is_closing():
            self._transport.write(data)
        if self._transport.is_closing():
            # The transport writes at once; the failed write passed no byte to
            # the kernel.
            self._fail(
                Cause.CLOSED,
                "the connection was closed before use",
                Progress.NOTHING_SENT,
            )
            return

    def _progress(self) -> Progress:
        if self._closed or self._transport.is_closing():
            # A closed transport drops its buffer, so what was sent is unknown.
            return Progress.SENT
        if self._transport.get_write_buffer_size() < self._request_bytes:
            return Progress.SENT
        return Progress.NOTHING_SENT

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while (
                self._response_future is not None
                and not self._response_future.done()
            ):
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            if data:
                self._fail(
                    Cause.MALFORMED,
                    f"the server sent invalid HTTP; fix the server ({error})",
                )
            else:
                self._fail(Cause.CLOSED, "the server closed the connection")

    def _handle_event(self, event: object) -> None:
        match event:
            case h11.Response():
                self._response_head = event
            case h11.Data():
                self._body += event.data
                if len(self._body) > self._max_body_bytes:
                    self._fail(
                        Cause.TOO_LARGE,
                        "the response is larger than "
                        f"{self._max_body_bytes} bytes; raise the limit or "
                        "make the response smaller",
                    )
            case h11.EndOfMessage():
                self._finish()
            case h11.ConnectionClosed():
                self._fail(Cause.CLOSED, "the server closed the connection")
            case _:
                pass

    def _finish(self) -> None:
        assert self._response_head is not None
        assert self._response_future is not None
        response = http_types.HttpResponse(
            self._response_head.status_code,
            bytes(self._body),
            {
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in self._response_head.headers
            },
        )
        self._start_next_cycle()
        self._response_future.set_result(response)

    def _start_next_cycle(self) -> None:
        trailing, _ = self._http.trailing_data
        if trailing:
            self._closed = True
        with contextlib.suppress(h11.LocalProtocolError):
            self._http.start_next_cycle()

    def _on_timeout(self) -> None:
        self._fail(
            Cause.TIMED_OUT,
            "the response did not arrive before the deadline; check the load "
            "of the server",
        )

    def _fail(
        self, cause: Cause, remedy: str, progress: Progress | None = None
    ) -> None:
        if self._response_future is None or self._response_future.done():
            return
        progress = progress or self._progress()
        self._closed = True
        self._response_future.set_exception(
            ExchangeError(self.address, progress, cause, remedy)
        )


async def connect(address: str) -> Connection:
    """Opens a connection.

    Args:
        address: IP address and port of the server.

    Raises:
        OSError: The connection failed.
        ValueError: The address is not an IP address and port.
    """
    target = addresses.parse(address)
    loop = asyncio.get_running_loop()
    sock = socket.socket(target.family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        _set_socket_options(sock)
        await loop.sock_connect(sock, (target.ip, target.port))
    except BaseException:
        sock.close()
        raise
    _, connection = await loop.create_connection(
        lambda: Connection(address, sock), sock=sock
    )
    return connection


def _set_socket_options(sock: socket.socket) -> None:
    """Enables keep-alive probes and timeouts that detect a failed server.

    Small writes are sent at once.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS)


def _target(request: http_types.HttpRequest) -> str:
    if not request.query:
        return request.path
    return f"{request.path}?{urllib.parse.urlencode(request.query)}"
