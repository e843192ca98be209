"""Requests and responses of the HTTP server and client, and server limits."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

import msgspec


class HttpRequest(msgspec.Struct, frozen=True):
    """A request with its whole body; header names are lower case."""

    method: str
    path: str
    query: Mapping[str, str] = msgspec.field(default_factory=dict)
    headers: Mapping[str, str] = msgspec.field(default_factory=dict)
    body: bytes = b""


class HttpResponse(msgspec.Struct, frozen=True):
    """A response with its whole body; header names are lower case."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = msgspec.field(default_factory=dict)


class HttpLimits(msgspec.Struct, frozen=True):
    """Limits for the requests and connections of a server.

    Attributes:
        max_header_bytes: Maximum size of the request line and headers together.
        max_body_bytes: Maximum size of the request body.
        receive_timeout_s: Maximum time in seconds from the first byte of a
            request to its last.
        idle_timeout_s: Maximum time in seconds between requests on a
            persistent connection.
        max_connections: Maximum number of open connections; a connection
            above it gets a 503 response.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    receive_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    max_connections: int = 4_096


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
