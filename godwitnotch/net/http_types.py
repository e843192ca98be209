"""Requests, responses and limits of the HTTP server and client."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its whole body; header names are lower case."""

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its whole body; header names are lower case."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of the requests and connections of a server.

    Attributes:
        max_header_bytes: Limit of the request line and headers together.
        max_body_bytes: Limit of the request body.
        receive_timeout_s: Limit for a whole request, from its first byte.
        idle_timeout_s: Limit between requests on a persistent connection.
        max_connections: Limit of open connections; further ones get a 503.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    receive_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    max_connections: int = 4_096


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
