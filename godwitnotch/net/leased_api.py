"""HTTP API of a leased host for callers on the platform."""

import asyncio
import math
from typing import Protocol

import msgspec

from godwitnotch.core.leased import model
from godwitnotch.net import http_server
from godwitnotch.net import http_types
from godwitnotch.platform import configuration as configuration_module
from godwitnotch.platform import fields
from godwitnotch.platform import jobs

# Time reserved for sending the answer to its caller.
ANSWER_MARGIN_S = 0.02
RETRY_AFTER_S = 1.0

_STATUS_CODES = {
    model.JobEnd.COMPLETED: 200,
    model.JobEnd.FAILED: 200,
    model.JobEnd.REFUSED: 503,
    model.JobEnd.GIVEN_UP: 504,
}


class Host(Protocol):
    """The host that serves the callers."""

    @property
    def configuration(self) -> configuration_module.Configuration | None:
        """The applied configuration; None before the first."""

    async def run_job(
        self, request: model.JobRequest, *, deadline: float
    ) -> model.Answer:
        """Runs a job and returns its answer."""

    async def cancel_job(self, name: model.JobName) -> bool:
        """Cancels a job; returns whether it won't be started any more."""

    def log_received(
        self, job: model.JobRequest, wait_s: float, version: int
    ) -> None:
        """Logs a valid job that a caller has sent."""

    def record_refusal(
        self, job_name: str, reason: model.EndReason, detail: str
    ) -> None:
        """Counts and logs a request that is refused without the host core."""

    def pending(self) -> int:
        """Returns how many jobs wait for their first run, if this host leads.

        Other hosts return 0.
        """


class LeasedApi:
    """Responds to the HTTP requests of callers.

    Args:
        host: The host that runs the jobs.
    """

    def __init__(self, host: Host) -> None:
        self._host = host

    async def handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Returns the response to one request."""
        configuration = self._host.configuration
        if configuration is None:
            return self._refusal("", model.EndReason.NO_CONFIGURATION, "")
        authority = request.headers.get("host", "").lower()
        authority = authority.partition(":")[0]
        route = configuration.route(authority, request.path)
        if route is None:
            detail = f"version={configuration.version}"
            self._host.record_refusal("", model.EndReason.NO_ROUTE, detail)
            return http_server.error_response(
                404,
                "no_route",
                "no such route is configured; see its operators",
            )
        return await self._handle_routed(request, route, configuration.version)

    async def _handle_routed(
        self,
        request: http_types.HttpRequest,
        route: configuration_module.Route,
        version: int,
    ) -> http_types.HttpResponse:
        if request.method == "GET" and request.path == route.prefix:
            body = jobs.pending_body(self._host.pending())
            return http_types.HttpResponse(200, body)
        job_name = jobs.parse_job_name(request.path, route.prefix)
        if job_name is None:
            return http_server.error_response(
                404, "no_job", "the path ends in no id of 16 hexadecimal digits"
            )
        match request.method:
            case "POST":
                return await self._submit(request, route, job_name, version)
            case "DELETE":
                return await self._cancel(job_name)
            case "GET":
                # The response to POST carries the answer, which is not kept.
                return http_types.HttpResponse(410)
        return http_server.error_response(
            405, "method_not_allowed", "use POST, GET or DELETE"
        )

    async def _cancel(self, name: model.JobName) -> http_types.HttpResponse:
        if await self._host.cancel_job(name):
            return http_types.HttpResponse(410)
        response = http_server.error_response(
            503,
            "cancel_not_taken",
            "no leader has confirmed the cancel; send it again",
        )
        headers = {**response.headers, "retry-after": str(round(RETRY_AFTER_S))}
        return msgspec.structs.replace(response, headers=headers)

    async def _submit(
        self,
        request: http_types.HttpRequest,
        route: configuration_module.Route,
        job_name: model.JobName,
        version: int,
    ) -> http_types.HttpResponse:
        try:
            job = jobs.decode(job_name, request.body, route)
        except jobs.ShapeNotServedError as error:
            reason = model.EndReason.SHAPE_NOT_SERVED
            return self._refusal(job_name, reason, f"shape={error}")
        except fields.WrongFormatError as error:
            self._host.record_refusal(
                job_name, model.EndReason.MALFORMED_JOB, str(error)
            )
            return http_server.error_response(400, "malformed_job", str(error))
        wait_s = caller_wait_s(request, route)
        self._host.log_received(job, wait_s, version)
        deadline = asyncio.get_running_loop().time() + wait_s
        answer = await self._host.run_job(job, deadline=deadline)
        return _response(answer)

    def _refusal(
        self, job_name: str, reason: model.EndReason, detail: str
    ) -> http_types.HttpResponse:
        self._host.record_refusal(job_name, reason, detail)
        return _response(
            model.Answer(model.JobEnd.REFUSED, reason, RETRY_AFTER_S)
        )


def caller_wait_s(
    request: http_types.HttpRequest, route: configuration_module.Route
) -> float:
    """Returns the time in seconds within which an answer must leave this host.

    The caller's header takes precedence over the route's timeout, since that
    timeout is meant for forwarded requests and a job may take longer.
    """
    wait_s = route.timeout_s
    header = request.headers.get(jobs.DEADLINE_HEADER)
    if header is not None:
        try:
            stated_s = float(header) / 1_000
        except ValueError:
            stated_s = math.nan
        # Peers reject infinite numbers and close the link that carries one.
        if math.isfinite(stated_s):
            wait_s = stated_s
    return max(0.0, wait_s - ANSWER_MARGIN_S)


def _response(answer: model.Answer) -> http_types.HttpResponse:
    headers = {}
    if answer.end is model.JobEnd.REFUSED:
        headers["retry-after"] = str(max(1, math.ceil(answer.retry_after_s)))
    return http_types.HttpResponse(
        _STATUS_CODES[answer.end], jobs.answer_body(answer), headers
    )
