"""Decodes the operators' configuration that the platform's store holds."""

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
    """Configuration of the jobs of one kind, which the platform calls a queue.

    Attributes:
        authority: Host header of the route's requests.
        prefix: Path prefix of the route's requests.
        timeout_s: Maximum duration of a request.
        needs_external_placement: Whether another service chooses the upstreams
            of the route's jobs, which the platform calls advice.
        settings: Scheduling parameters of the route's jobs.
    """

    authority: str
    prefix: str
    timeout_s: float
    needs_external_placement: bool
    settings: model.RouteSettings


@dataclass(frozen=True, slots=True)
class Limits:
    """Size limits of callers' requests, in bytes."""

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Version number; a higher number is newer.
        routes: Routes by authority, those with the longest prefix first.
        limits: Configured size limits of requests. Hosts don't apply them,
            but use the default limits.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    limits: Limits

    def route(self, authority: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path, if any."""
        for route in self.routes.get(authority, ()):
            if path.startswith(route.prefix):
                return route
        return None


def decode(document: bytes) -> Configuration:
    """Decodes a configuration.

    Raises:
        WrongFormatError: The document doesn't have the platform's format.
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
        raise fields.WrongFormatError(
            "a route is not a JSON object; correct the configuration"
        )
    timeout_ms = fields.number(row, "timeout_ms", DEFAULT_TIMEOUT_MS)
    return Route(
        # The platform's field "host" is the value of a Host header.
        authority=fields.text(row, "host").lower(),
        prefix=fields.text(row, "prefix"),
        timeout_s=timeout_ms / 1_000,
        needs_external_placement=bool(row.get("advice")),
        settings=model.RouteSettings(
            route=model.RouteName(fields.text(row, "name")),
            service=model.ServiceName(fields.text(row, "service")),
            priority=fields.integer(row, "priority", 0),
            # A job fails when one of its tasks has failed in all attempts, so
            # the maximum number of attempts is also that of failures.
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
