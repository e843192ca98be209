"""HTTP/1.1 server, based on h11, that limits the resources of each client."""

import asyncio
import enum
import json
import logging
import socket
import urllib.parse
from collections.abc import Callable

import h11
import msgspec

from godwitnotch.net import http_types
from godwitnotch.net import listeners

# Idle connections stay open for this long after stop(), so that requests that
# clients have already sent are answered.
STOP_GRACE_S = 0.1
# The rest of a rejected request is read and dropped for this long, so that the
# client receives the response and not a connection reset.
LINGERING_CLOSE_S = 1.0
_PASSES_BEFORE_ABORT = 5
_STOP_POLL_INTERVAL_S = 0.01

_LOG = logging.getLogger(__name__)


class DropConnection(Exception):
    """Raised by a handler to close its connection without a response."""


def error_response(
    status: int, kind: str, detail: str
) -> http_types.HttpResponse:
    """Returns an error response; `detail` names the cause and the remedy."""
    body = json.dumps({"error": {"kind": kind, "detail": detail}})
    return http_types.HttpResponse(
        status, body.encode(), {"content-type": "application/json"}
    )


class HttpServer:
    """Calls a handler for each request.

    The call is cancelled if its client closes the connection.

    Args:
        handler: Returns the response to one request. It may raise
            `DropConnection`.
        limits: Limits for requests and connections.
    """

    def __init__(
        self, handler: http_types.Handler, *, limits: http_types.HttpLimits
    ) -> None:
        self._server_state = _ServerState(handler, limits)
        self._server: asyncio.Server | None = None

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._server_state.connections)

    async def start(self, ip: str, port: int) -> int:
        """Starts to listen; returns the bound port, also if `port` is 0."""
        return await self.start_on(listeners.bind(ip, port))

    async def start_on(self, listener: socket.socket) -> int:
        """Starts to listen on a bound socket; returns its port."""
        loop = asyncio.get_running_loop()
        self._server_state.stopping = False
        self._server = await loop.create_server(
            lambda: _Connection(self._server_state),
            sock=listener,
            backlog=listeners.BACKLOG,
        )
        bound: int = listener.getsockname()[1]
        return bound

    async def stop(self, *, deadline: float) -> None:
        """Stops accepting connections and waits until all are closed.

        Args:
            deadline: Loop time at which open connections are aborted.
        """
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        self._server.close()
        self._server_state.stopping = True
        grace_deadline = min(deadline, loop.time() + STOP_GRACE_S)
        while self._server_state.connections and loop.time() < deadline:
            if loop.time() >= grace_deadline:
                self._close_idle()
            await asyncio.sleep(_STOP_POLL_INTERVAL_S)
        # Lets handlers that have their answer send it, also after a stall.
        for _ in range(_PASSES_BEFORE_ABORT):
            await asyncio.sleep(0)
        for connection in tuple(self._server_state.connections):
            connection.abort()
        # Server.wait_closed() is not needed: in Python 3.11, close() already
        # closes the listening sockets.
        await asyncio.sleep(0)

    def _close_idle(self) -> None:
        for connection in tuple(self._server_state.connections):
            connection.close_if_idle()


class _ServerState(msgspec.Struct):
    handler: http_types.Handler
    limits: http_types.HttpLimits
    connections: set["_Connection"] = msgspec.field(default_factory=set)
    stopping: bool = False


class _Phase(enum.Enum):
    IDLE = "idle"
    RECEIVING = "receiving"
    HANDLING = "handling"
    LINGERING = "lingering"  # Response sent; further input is dropped.


class _Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server_state: _ServerState) -> None:
        self._server_state = server_state
        self._limits = server_state.limits
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server_state.limits.max_header_bytes,
        )
        self._transport: asyncio.Transport
        self._phase = _Phase.IDLE
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._unread_bytes = 0
        self._write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to read, or rejects a connection above the limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server_state.connections.add(self)
        if len(self._server_state.connections) > self._limits.max_connections:
            self._reject(
                503,
                "too_many_connections",
                "this host has too many open connections; "
                "come back later or use another host",
            )
            return
        self._set_timer(self._limits.idle_timeout_s, self._transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the handler, since its client is gone."""
        self._server_state.connections.discard(self)
        self._cancel_timer()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Passes data to the parser; limits unread data during a request."""
        if self._phase is _Phase.LINGERING:
            return
        self._http.receive_data(data)
        if self._phase is _Phase.HANDLING:
            self._limit_unread(len(data))
            return
        self._receive()

    def eof_received(self) -> None:
        """Closes the connection, since a client that stops sending is gone."""

    def pause_writing(self) -> None:
        """Limits the time for the client to read a response."""
        self._write_paused = True
        self._set_timer(self._limits.receive_timeout_s, self.abort)

    def resume_writing(self) -> None:
        """Continues with the next request."""
        self._write_paused = False
        if self._phase is _Phase.IDLE:
            self._cancel_timer()
            self._read_next_request()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if self._phase is _Phase.IDLE and not self._write_paused:
            self._transport.close()

    def _limit_unread(self, size: int) -> None:
        self._unread_bytes += size
        if self._unread_bytes > self._limits.max_header_bytes:
            self._transport.pause_reading()

    def _receive(self) -> None:
        if self._phase is _Phase.IDLE:
            self._phase = _Phase.RECEIVING
            self._set_timer(
                self._limits.receive_timeout_s, self._receive_timed_out
            )
        try:
            while self._phase is _Phase.RECEIVING:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._send_100_continue()
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)

    def _send_100_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self._transport.write(self._http.send(continue_response) or b"")

    def _handle_event(self, event: object) -> None:
        match event:
            case h11.Request():
                self._request = event
                self._check_request_head(event)
            case h11.Data():
                self._body += event.data
                if len(self._body) > self._limits.max_body_bytes:
                    self._reject_body()
            case h11.EndOfMessage():
                self._dispatch()
            case _:
                self._transport.close()
                self._phase = _Phase.LINGERING

    def _check_request_head(self, request: h11.Request) -> None:
        header_bytes = len(request.target)
        for name, value in request.headers:
            header_bytes += len(name) + len(value)
            if name == b"content-length":
                declared_bytes = int(value)
                if declared_bytes > self._limits.max_body_bytes:
                    self._reject_body()
                    return
        if header_bytes > self._limits.max_header_bytes:
            self._reject_headers()

    def _reject_body(self) -> None:
        self._reject(
            413,
            "body_too_large",
            "the request body is larger than "
            f"{self._limits.max_body_bytes} bytes; send fewer or smaller tasks",
        )

    def _reject_headers(self) -> None:
        self._reject(
            431,
            "headers_too_large",
            "the request line and headers are larger than "
            f"{self._limits.max_header_bytes} bytes; send fewer headers",
        )

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        if error.error_status_hint == 431:
            self._reject_headers()
            return
        self._reject(
            400,
            "malformed_request",
            f"not a valid HTTP/1.1 request ({error}); correct the client",
        )

    def _receive_timed_out(self) -> None:
        self._reject(
            408,
            "receive_timeout",
            "the request did not arrive whole within "
            f"{self._limits.receive_timeout_s} s; send it again, faster",
        )

    def _reject(self, status: int, kind: str, detail: str) -> None:
        """Sends an error response without calling the handler, then closes."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = error_response(status, kind, detail)
            self._transport.write(self._encode(response, close=True))
        self._linger()

    def _linger(self) -> None:
        self._phase = _Phase.LINGERING
        self._body.clear()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._set_timer(LINGERING_CLOSE_S, self.abort)

    def _dispatch(self) -> None:
        assert self._request is not None
        request = _to_request(self._request, bytes(self._body))
        self._body.clear()
        self._cancel_timer()
        self._phase = _Phase.HANDLING
        self._unread_bytes = 0
        self._task = self._loop.create_task(self._handle(request))

    async def _handle(self, request: http_types.HttpRequest) -> None:
        try:
            response = await self._server_state.handler(request)
        except DropConnection:
            self.abort()
            return
        except Exception:
            _LOG.exception(
                "event=handler_failed method=%s path=%s",
                request.method,
                request.path,
            )
            response = error_response(
                500, "internal", "the handler failed; see the log of this host"
            )
        self._task = None
        self._respond(request, response)

    def _respond(
        self,
        request: http_types.HttpRequest,
        response: http_types.HttpResponse,
    ) -> None:
        try:
            data = self._encode(response, close=self._server_state.stopping)
        except (h11.LocalProtocolError, UnicodeEncodeError):
            _LOG.exception(
                "event=answer_not_writable method=%s path=%s",
                request.method,
                request.path,
            )
            self.abort()
            return
        self._transport.write(data)
        if self._http.our_state is not h11.DONE:
            self._phase = _Phase.LINGERING
            self._transport.close()
            return
        self._http.start_next_cycle()
        self._phase = _Phase.IDLE
        if not self._write_paused:
            self._read_next_request()

    def _read_next_request(self) -> None:
        self._transport.resume_reading()
        if self._http.trailing_data[0]:
            self._receive()
        else:
            self._set_timer(self._limits.idle_timeout_s, self._transport.close)

    def _encode(
        self, response: http_types.HttpResponse, *, close: bool
    ) -> bytes:
        headers = list(response.headers.items())
        headers.append(("content-length", str(len(response.body))))
        if response.body and "content-type" not in response.headers:
            headers.append(("content-type", "application/json"))
        if close:
            headers.append(("connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        parts = [self._http.send(head) or b""]
        if self._request is None or self._request.method != b"HEAD":
            parts.append(self._http.send(h11.Data(data=response.body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        return b"".join(parts)

    def _set_timer(
        self, delay_s: float, callback: Callable[[], object]
    ) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _to_request(request: h11.Request, body: bytes) -> http_types.HttpRequest:
    path, _, query = request.target.decode("latin-1").partition("?")
    return http_types.HttpRequest(
        request.method.decode("latin-1"),
        urllib.parse.unquote(path),
        dict(urllib.parse.parse_qsl(query)) if query else {},
        {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in request.headers
        },
        body,
    )
