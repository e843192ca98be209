"""Answers HTTP requests by the table of routes."""

import asyncio
import logging

from godwitnotch import event_ring
from godwitnotch import log
from godwitnotch import metrics
from godwitnotch.core import model
from godwitnotch.net import core_port
from godwitnotch.net import http_types
from godwitnotch.net import job_routes
from godwitnotch.net import operator_routes
from godwitnotch.net import routes

# Each module adds its routes to the table as it is loaded.
ROUTE_MODULES = (job_routes, operator_routes)
DEFAULT_DRAIN_TIMEOUT_S = 30.0

_MAX_SUBMISSION_CHARS = 400


class CallerApi:
    """Answers the HTTP requests of callers, operators and the balancer.

    Args:
        port: The running host.
        operator_token_sha256: Hex digest of the operators' bearer token.
        counts: Counters and latencies of the host.
        ring: Events of the latest submissions.
        drain_timeout_s: Time for work under way when an operator drains the
            host and gives no other.
    """

    def __init__(
        self,
        port: core_port.CorePort,
        *,
        operator_token_sha256: str,
        counts: metrics.Metrics,
        ring: event_ring.EventRing,
        drain_timeout_s: float = DEFAULT_DRAIN_TIMEOUT_S,
    ) -> None:
        self._host = routes.Host(
            port, counts, ring, operator_token_sha256, drain_timeout_s
        )

    async def handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Answers one request; raises nothing but a cancellation."""
        allowed = []
        for route, parts in routes.matching(request.path):
            if route.method == request.method:
                return await self._answer(route, routes.Call(request, parts))
            allowed.append(route.method)
        if not allowed:
            return routes.error(
                404, "not_found", "no such path; see docs/callers.md"
            )
        methods = ", ".join(sorted(allowed))
        return routes.with_headers(
            routes.error(
                405, "method_not_allowed", f"use one of {methods} on this path"
            ),
            {"allow": methods},
        )

    async def _answer(
        self, route: routes.Route, call: routes.Call
    ) -> http_types.HttpResponse:
        try:
            refused = self._refuse(route.access, call)
            if refused is not None:
                return refused
            return await route.answerer(self._host, call)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.logger.exception(
                "path=%s",
                log.format_value(call.request.path),
                extra={"event": "request_failed"},
            )
            return routes.error(
                500,
                "internal",
                "the host failed to answer and can't tell what ran; ask for "
                "the status of the id, or send the request again unchanged",
            )

    def _refuse(
        self, access: routes.Access, call: routes.Call
    ) -> http_types.HttpResponse | None:
        """Returns the refusal of a request that may not use a route."""
        if access is routes.Access.ANYONE:
            return None
        if access is routes.Access.CALLER:
            return self._refuse_caller(call)
        wanted = self._host.operator_token_sha256
        if routes.token_matches(call.request, wanted):
            return None
        log.event(
            "operator_unauthorized",
            severity=logging.WARNING,
            path=call.request.path,
        )
        return _unauthorized(
            routes.error(
                401,
                "unauthorized",
                "the token is not that of the operators; send the right one "
                "as Authorization: Bearer TOKEN",
            )
        )

    def _refuse_caller(
        self, call: routes.Call
    ) -> http_types.HttpResponse | None:
        port = self._host.port
        if not port.configs and not port.ready:
            return self._refusal(model.Reason.NO_CONFIGURATION)
        config = port.configs.get(call.workspace)
        wanted = config.token_sha256 if config is not None else ""
        if not routes.token_matches(call.request, wanted):
            return _unauthorized(self._refusal(model.Reason.UNAUTHORIZED))
        if len(call.parts.get("submission", "")) > _MAX_SUBMISSION_CHARS:
            return self._refusal(model.Reason.INVALID_ID)
        return None

    def _refusal(self, reason: model.Reason) -> http_types.HttpResponse:
        return job_routes.refusal(self._host, reason)


def _unauthorized(
    response: http_types.HttpResponse,
) -> http_types.HttpResponse:
    return routes.with_headers(response, {"www-authenticate": "Bearer"})
