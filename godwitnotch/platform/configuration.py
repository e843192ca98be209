"""The operators' configuration as it lies in the platform's store."""

from dataclasses import dataclass
from typing import Any

from godwitnotch.core.leased import model
from godwitnotch.platform import fields

DEFAULT_MAX_FAILURES = 3
DEFAULT_STRETCH = 1.5
DEFAULT_TARGET_MS = 1_000.0
DEFAULT_TIMEOUT_MS = 30_000.0
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 262_144


@dataclass(frozen=True, slots=True)
class Route:
    """A queue of the platform: jobs of one kind.

    Attributes:
        authority: The Host header that selects it.
        prefix: Path that its requests begin with.
        timeout_s: Longest time for a request.
        needs_external_placement: Whether another service names the upstreams.
        terms: What the dispatcher needs to know.
    """

    authority: str
    prefix: str
    timeout_s: float
    needs_external_placement: bool
    terms: model.RouteSettings


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of what callers may send."""

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Its number; a higher one is newer.
        routes: By authority, longest prefix first.
        limits: Bounds of requests.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    limits: Limits

    def route(self, authority: str, path: str) -> Route | None:
        """Returns the route of a request: the longest prefix of its path."""
        for route in self.routes.get(authority, ()):
            if path.startswith(route.prefix):
                return route
        return None


def decode(document: bytes) -> Configuration:
    """Decodes a configuration.

    Raises:
        WrongFormatError: It has none of the form of the platform's pages.
    """
    values = fields.parse_object(document)
    by_authority: dict[str, list[Route]] = {}
    for row in fields.array(values, "routes"):
        route = _decode_route(row)
        by_authority.setdefault(route.authority, []).append(route)
    for routes in by_authority.values():
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return Configuration(
        version=fields.integer(values, "version"),
        routes={name: tuple(rows) for name, rows in by_authority.items()},
        limits=_decode_limits(fields.mapping(values, "limits")),
    )


def _decode_route(row: Any) -> Route:
    if not isinstance(row, dict):
        raise fields.WrongFormatError("a route is no object; ask its writer")
    timeout_ms = fields.number(row, "timeout_ms", DEFAULT_TIMEOUT_MS)
    return Route(
        authority=fields.text(row, "host").lower(),
        prefix=fields.text(row, "prefix"),
        timeout_s=timeout_ms / 1_000,
        needs_external_placement=bool(row.get("advice")),
        terms=model.RouteSettings(
            route=model.RouteName(fields.text(row, "name")),
            service=model.ServiceName(fields.text(row, "service")),
            priority=fields.integer(row, "priority", 0),
            max_failures=fields.integer(
                row, "max_attempts", DEFAULT_MAX_FAILURES
            ),
            stretch=fields.number(row, "stretch", DEFAULT_STRETCH),
            target_ms=fields.number(
                row, "target_duration_ms", DEFAULT_TARGET_MS
            ),
        ),
    )


def _decode_limits(values: dict[str, Any]) -> Limits:
    return Limits(
        max_header_bytes=fields.integer(
            values, "max_header_bytes", MAX_HEADER_BYTES
        ),
        max_body_bytes=fields.integer(values, "max_body_bytes", MAX_BODY_BYTES),
    )
