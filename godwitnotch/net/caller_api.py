"""Dispatches HTTP requests to their routes."""

import asyncio
import logging

from godwitnotch import event_ring
from godwitnotch import log
from godwitnotch import metrics
from godwitnotch.core import model
from godwitnotch.net import http_types
from godwitnotch.net import job_routes
from godwitnotch.net import operator_routes
from godwitnotch.net import routes
from godwitnotch.net import runtime_port

# Each of these modules registers its routes when it is imported.
ROUTE_MODULES = (job_routes, operator_routes)
DEFAULT_DRAIN_TIMEOUT_S = 30.0

_MAX_SUBMISSION_CHARS = 400


class CallerApi:
    """Responds to HTTP requests of callers, operators and the load balancer.

    Args:
        runtime: Runtime of the host.
        operator_token_sha256: Hex digest of the operators' bearer token.
        counts: Counters and latencies of the host.
        ring: Ring buffer of the recent notes of submissions.
        drain_timeout_s: Default time in seconds for jobs to end after an
            operator drains the host.
    """

    def __init__(
        self,
        runtime: runtime_port.RuntimePort,
        *,
        operator_token_sha256: str,
        counts: metrics.Metrics,
        ring: event_ring.EventRing,
        drain_timeout_s: float = DEFAULT_DRAIN_TIMEOUT_S,
    ) -> None:
        self._context = routes.HostContext(
            runtime, counts, ring, operator_token_sha256, drain_timeout_s
        )

    async def handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Returns the response to one request; raises only on cancellation."""
        allowed = []
        for route, path_parameters in routes.matching_routes(request.path):
            if route.method == request.method:
                return await self._answer(
                    route, routes.RoutedRequest(request, path_parameters)
                )
            allowed.append(route.method)
        if not allowed:
            return routes.error_response(
                404, "not_found", "no such path; see docs/callers.md"
            )
        methods = ", ".join(sorted(allowed))
        return routes.with_headers(
            routes.error_response(
                405, "method_not_allowed", f"use one of {methods} on this path"
            ),
            {"allow": methods},
        )

    async def _answer(
        self, route: routes.Route, routed: routes.RoutedRequest
    ) -> http_types.HttpResponse:
        try:
            refusal = self._access_refusal(route.access, routed)
            if refusal is not None:
                return refusal
            return await route.handler(self._context, routed)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.logger.exception(
                "path=%s",
                log.format_value(routed.request.path),
                extra={"event": "request_failed"},
            )
            return routes.error_response(
                500,
                "internal",
                "the host failed to answer and can't tell what ran; ask for "
                "the status of the id, or send the request again unchanged",
            )

    def _access_refusal(
        self, access: routes.Access, routed: routes.RoutedRequest
    ) -> http_types.HttpResponse | None:
        """Returns an error response unless the request may use the route."""
        if access is routes.Access.ANYONE:
            return None
        if access is routes.Access.CALLER:
            return self._caller_refusal(routed)
        expected_digest = self._context.operator_token_sha256
        if routes.token_matches(routed.request, expected_digest):
            return None
        log.event(
            "operator_unauthorized",
            severity=logging.WARNING,
            path=routed.request.path,
        )
        return _with_bearer_challenge(
            routes.error_response(
                401,
                "unauthorized",
                "the token is not that of the operators; send the right one "
                "as Authorization: Bearer TOKEN",
            )
        )

    def _caller_refusal(
        self, routed: routes.RoutedRequest
    ) -> http_types.HttpResponse | None:
        runtime = self._context.runtime
        if not runtime.configs and not runtime.ready:
            return self._refusal(model.Reason.NO_CONFIGURATION)
        config = runtime.configs.get(routed.workspace)
        expected_digest = config.token_sha256 if config is not None else ""
        if not routes.token_matches(routed.request, expected_digest):
            return _with_bearer_challenge(
                self._refusal(model.Reason.UNAUTHORIZED)
            )
        if (
            len(routed.path_parameters.get("submission", ""))
            > _MAX_SUBMISSION_CHARS
        ):
            return self._refusal(model.Reason.INVALID_ID)
        return None

    def _refusal(self, reason: model.Reason) -> http_types.HttpResponse:
        return job_routes.refusal(self._context, reason)


def _with_bearer_challenge(
    response: http_types.HttpResponse,
) -> http_types.HttpResponse:
    return routes.with_headers(response, {"www-authenticate": "Bearer"})
