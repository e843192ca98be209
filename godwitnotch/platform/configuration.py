"""Decodes the operators' configuration that the platform's store holds."""

import math
from typing import Any

import msgspec

from godwitnotch.core.leased import model
from godwitnotch.platform import fields

DEFAULT_MAX_FAILURES = 3
DEFAULT_STRETCH = 1.5
DEFAULT_TARGET_MS = 1_000.0
DEFAULT_TIMEOUT_MS = 30_000.0
# Priorities run from 0, the highest, to this one.
MAX_PRIORITY = 2
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 262_144


class Route(msgspec.Struct, frozen=True):
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


class Limits(msgspec.Struct, frozen=True):
    """Size limits of callers' requests, in bytes."""

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operators' configuration.

    Attributes:
        version: Version number; a higher number is newer.
        routes: Routes by authority, those with the longest prefix first.
        limits: Configured size limits of requests. Hosts don't apply them,
            but use the default limits.
        remarks: What was wrong and replaced, each with its remedy.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    limits: Limits
    remarks: tuple[str, ...] = ()

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
    remarks: list[str] = []
    for row in fields.array(values, "routes"):
        route = _decode_route(row, remarks)
        by_authority.setdefault(route.authority, []).append(route)
    for routes in by_authority.values():
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return Configuration(
        version=fields.integer(values, "version"),
        routes={name: tuple(rows) for name, rows in by_authority.items()},
        limits=_decode_limits(fields.mapping(values, "limits")),
        remarks=tuple(remarks),
    )


def _decode_route(row: Any, remarks: list[str]) -> Route:
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
            priority=_decode_priority(row, remarks),
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


def _decode_priority(row: dict[str, Any], remarks: list[str]) -> int:
    """Returns a route's priority, the nearest one if it is out of range.

    No decision reads it, so a wrong one must not cost the operators the whole
    configuration.
    """
    value = row.get("priority", 0)
    if type(value) is int and 0 <= value <= MAX_PRIORITY:
        return value
    is_number = type(value) is int or (
        type(value) is float and not math.isnan(value)
    )
    priority = round(min(MAX_PRIORITY, max(0, value))) if is_number else 0
    remarks.append(
        f"route {row.get('name')}: priority {str(value)[:20]} is no whole number from 0 "
        f"to {MAX_PRIORITY}; {priority} counts, correct the configuration"
    )
    return priority


def _decode_limits(values: dict[str, Any]) -> Limits:
    return Limits(
        max_header_bytes=fields.integer(
            values, "max_header_bytes", MAX_HEADER_BYTES
        ),
        max_body_bytes=fields.integer(values, "max_body_bytes", MAX_BODY_BYTES),
    )
