"""HTTP API for operators that tells where a job would go, without sending it.

A host serves it on its metrics address.
"""

import asyncio
import json
from typing import Any
from typing import Protocol

import msgspec

from godwitnotch.core.leased import explanation
from godwitnotch.core.leased import model
from godwitnotch.net import http_server
from godwitnotch.net import http_types
from godwitnotch.net import leased_api
from godwitnotch.platform import configuration as configuration_module
from godwitnotch.platform import fields
from godwitnotch.platform import jobs

PATH = "/explain-job"
# A leader answers within milliseconds; one that is paused for longer is lost.
ANSWER_TIMEOUT_S = 1.0
# Each report copies the leader's queue, so that its callers come first.
MAX_OPEN_REQUESTS = 2
# Bounds the figures of a message, which must be finite.
MAX_WAIT_S = 3_600.0


class Host(Protocol):
    """The host that gets reports on jobs."""

    @property
    def configuration(self) -> configuration_module.Configuration | None:
        """The applied configuration; None before the first."""

    async def report_job(
        self, request: model.JobRequest, *, wait_s: float, deadline: float
    ) -> explanation.JobReport | None:
        """Returns a leader's report on a job; None without a leader."""


class ExplainApi:
    """Responds to requests for a report.

    Args:
        host: The host that gets the reports.
    """

    def __init__(self, host: Host) -> None:
        self._host = host
        self._open_requests = 0

    async def handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Returns the response to one request."""
        if request.method != "POST":
            return http_server.error_response(
                405, "method_not_allowed", "use POST with the job as the body"
            )
        if self._open_requests >= MAX_OPEN_REQUESTS:
            return http_server.error_response(
                503,
                "too_many_requests",
                f"{MAX_OPEN_REQUESTS} reports are being made; retry in a second",
            )
        self._open_requests += 1
        try:
            return await self._explain(request)
        finally:
            self._open_requests -= 1

    async def _explain(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        configuration = self._host.configuration
        if configuration is None:
            return http_server.error_response(
                503,
                "no_configuration",
                "this host has no configuration yet; check that it reaches the "
                "store or a host that has one, or ask another host",
            )
        authority = request.query.get("authority", "").lower().partition(":")[0]
        path = request.query.get("path", "")
        route = configuration.route(authority, path)
        if route is None:
            return http_server.error_response(
                404,
                "no_route",
                f"version {configuration.version} of the configuration has no "
                "route for this authority and path; check both, and that the "
                "version is the newest",
            )
        job_name = jobs.parse_job_name(path, route.prefix)
        if job_name is None:
            return http_server.error_response(
                404,
                "no_job",
                "the path ends in no id of 16 hexadecimal digits; append one to "
                f"{route.prefix}",
            )
        try:
            job = jobs.decode(job_name, request.body, route)
        except jobs.ShapeNotServedError as error:
            return http_server.error_response(
                422,
                "shape_not_served",
                f"callers get 503, as this isn't supported: {error}; send the "
                "job without it",
            )
        except fields.WrongFormatError as error:
            return http_server.error_response(400, "malformed_job", str(error))
        wait_s = min(leased_api.caller_wait_s(request, route), MAX_WAIT_S)
        return await self._ask_leader(job, wait_s, configuration.version)

    async def _ask_leader(
        self, job: model.JobRequest, wait_s: float, version: int
    ) -> http_types.HttpResponse:
        deadline = asyncio.get_running_loop().time() + ANSWER_TIMEOUT_S
        # No decision reads the spec.
        unsent = msgspec.structs.replace(job, spec="")
        try:
            report = await self._host.report_job(
                unsent, wait_s=wait_s, deadline=deadline
            )
        except TimeoutError:
            return http_server.error_response(
                504,
                "no_answer",
                f"the leader has not answered in {ANSWER_TIMEOUT_S:g} s; retry, "
                "and look for leader_changed and process_stalled in the logs",
            )
        if report is None:
            return http_server.error_response(
                503,
                "no_leader",
                "this host follows no leader now; retry in a second, then check "
                "its links (linked_hosts in its metrics)",
            )
        settings = job.settings
        body = {
            "route": {
                "name": settings.route,
                "service": settings.service,
                "priority": settings.priority,
                "tasks": job.tasks.count,
                "cpu_millis": job.tasks.needs.cpu_millis,
                "rack": job.tasks.preferred_rack,
                "wait_s": wait_s,
                "version": version,
            },
            "leader": {"id": report.leader, "term": report.term},
            "admission": _plain(report.admission),
            "placement": _plain(report.placement),
        }
        return http_types.HttpResponse(
            200,
            json.dumps(body).encode(),
            {"content-type": "application/json"},
        )


def _plain(
    report: explanation.AdmissionReport | explanation.PlacementReport,
) -> dict[str, Any]:
    """Returns the fields of a report as JSON values."""
    fields_by_name: dict[str, Any] = msgspec.to_builtins(report)
    return fields_by_name
