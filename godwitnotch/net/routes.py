"""The registry of HTTP routes, and helpers that build responses."""

import enum
import hashlib
import hmac
import json
import re
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

import msgspec

from godwitnotch import event_ring
from godwitnotch import metrics
from godwitnotch.core import ids
from godwitnotch.net import http_types
from godwitnotch.net import runtime_port

_JSON = "application/json"
_BEARER = "bearer "
_UNMATCHABLE_DIGEST = "-" * 64


class Access(enum.Enum):
    """Whose token a route requires."""

    ANYONE = "anyone"
    CALLER = "caller"
    OPERATOR = "operator"


class HostContext(msgspec.Struct, frozen=True):
    """The runtime, metrics and settings of a host that the routes use.

    Attributes:
        runtime: Runtime of the host.
        counts: Counters and latencies of the host.
        ring: Ring buffer of the recent notes of submissions.
        operator_token_sha256: Hex digest of the operators' bearer token.
        drain_timeout_s: Default time in seconds for jobs to end after an
            operator drains the host.
    """

    runtime: runtime_port.RuntimePort
    counts: metrics.Metrics
    ring: event_ring.EventRing
    operator_token_sha256: str
    drain_timeout_s: float

    def record(self, latency: metrics.Latency, started_at: float) -> None:
        """Records the time since the handling of a request started."""
        self.counts.record(latency, self.runtime.now() - started_at)


class RoutedRequest(msgspec.Struct, frozen=True):
    """A request and the path parameters of its route."""

    request: http_types.HttpRequest
    path_parameters: Mapping[str, str]

    @property
    def workspace(self) -> ids.WorkspaceId:
        """The workspace in the path."""
        return ids.WorkspaceId(self.path_parameters["workspace"])

    @property
    def submission(self) -> ids.SubmissionId:
        """The submission id in the path, not yet verified."""
        return ids.SubmissionId(self.path_parameters["submission"])


RouteHandler = Callable[
    [HostContext, RoutedRequest], Awaitable[http_types.HttpResponse]
]


class Route(msgspec.Struct, frozen=True):
    """A method and path pattern, its required access, and its handler."""

    method: str
    pattern: re.Pattern[str]
    access: Access
    handler: RouteHandler


_ROUTES: list[Route] = []


def route(
    method: str, path: str, *, access: Access
) -> Callable[[RouteHandler], RouteHandler]:
    """Registers the handler of a method and path.

    Args:
        method: HTTP method.
        path: Path, in which `{name}` matches one segment.
        access: Whose token the route requires.

    Returns:
        A decorator for the handler.
    """
    pattern = re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", path))

    def register(handler: RouteHandler) -> RouteHandler:
        _ROUTES.append(Route(method, pattern, access, handler))
        return handler

    return register


def matching_routes(path: str) -> Iterator[tuple[Route, Mapping[str, str]]]:
    """Yields the routes that match a path, with their path parameters."""
    for candidate in _ROUTES:
        match = candidate.pattern.fullmatch(path)
        if match is not None:
            yield candidate, match.groupdict()


def token_matches(request: http_types.HttpRequest, sha256: str) -> bool:
    """Returns whether the bearer token of a request has the given digest.

    Digests are compared in constant time. An empty digest matches no token.
    """
    sha256 = sha256 or _UNMATCHABLE_DIGEST
    header = request.headers.get("authorization", "")
    scheme, token = header[: len(_BEARER)], header[len(_BEARER) :].strip()
    if scheme.lower() != _BEARER or not token:
        return False
    digest = hashlib.sha256(token.encode()).hexdigest()
    return hmac.compare_digest(digest, sha256)


def query_seconds(
    request: http_types.HttpRequest, name: str, default: float, maximum: float
) -> float | None:
    """Returns a query value in seconds, or None if it is out of range."""
    try:
        seconds = float(request.query.get(name, default))
    except ValueError:
        return None
    return seconds if 0 <= seconds <= maximum else None


def error_response(
    code: int, kind: str, detail: str, **extra_fields: object
) -> http_types.HttpResponse:
    """Returns an error response; `detail` names the cause and the remedy."""
    return json_response(
        code, {"error": {"kind": kind, "detail": detail, **extra_fields}}
    )


def versioned_response(
    code: int, value: Mapping[str, Any], version: int
) -> http_types.HttpResponse:
    """Returns a JSON response with a version as its entity tag."""
    return with_headers(json_response(code, value), {"etag": f'"{version}"'})


def json_response(
    code: int, value: Mapping[str, Any]
) -> http_types.HttpResponse:
    """Returns a JSON response."""
    return response(code, json.dumps(value).encode())


def response(
    code: int, body: bytes, *, content_type: str = _JSON
) -> http_types.HttpResponse:
    """Returns a response with a body of the given content type."""
    return http_types.HttpResponse(code, body, {"content-type": content_type})


def with_headers(
    response: http_types.HttpResponse, headers: Mapping[str, str]
) -> http_types.HttpResponse:
    """Returns a copy of a response with additional headers."""
    return http_types.HttpResponse(
        response.status, response.body, {**response.headers, **headers}
    )
