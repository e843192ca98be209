"""HTTP routes for callers and operators."""

import asyncio
import enum
import hashlib
import hmac
import json
import math
import re
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from godwitnotch import event_ring
from godwitnotch import log
from godwitnotch import metrics
from godwitnotch import workspace_file
from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import remedies
from godwitnotch.net import core_port
from godwitnotch.net import http_types
from godwitnotch.net import job_json
from godwitnotch.net import status_codes

DEFAULT_TIMEOUT_S = 30.0
DEFAULT_CONFIG_WAIT_S = 17.0
MAX_CONFIG_WAIT_S = 120.0
DEFAULT_DRAIN_TIMEOUT_S = 30.0
MAX_DRAIN_TIMEOUT_S = 3_600.0

_JSON = "application/json"
_NO_ID = ids.SubmissionId("")
_BEARER = "bearer "
_MAX_SUBMISSION_CHARS = 400

Parameters = Mapping[str, str]


@dataclass(frozen=True, slots=True)
class _Call:
    """A request and the parts of its path that the route names."""

    request: http_types.HttpRequest
    parts: Parameters

    @property
    def workspace(self) -> ids.WorkspaceId:
        return ids.WorkspaceId(self.parts["workspace"])

    @property
    def submission(self) -> ids.SubmissionId:
        return ids.SubmissionId(self.parts["submission"])


_Answerer = Callable[["CallerApi", _Call], Awaitable[http_types.HttpResponse]]


class _Access(enum.Enum):
    """Whose token a route asks for."""

    ANYONE = "anyone"
    CALLER = "caller"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class _Route:
    """A method and path, who may use it, and what answers it."""

    method: str
    pattern: re.Pattern[str]
    access: _Access
    answerer: _Answerer


_ROUTES: list[_Route] = []


def _route(
    method: str, path: str, *, access: _Access
) -> Callable[[_Answerer], _Answerer]:
    """Registers what answers a method and path; {name} matches one part."""
    pattern = re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", path))

    def register(answerer: _Answerer) -> _Answerer:
        _ROUTES.append(_Route(method, pattern, access, answerer))
        return answerer

    return register


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
        self._port = port
        self._operator_token_sha256 = operator_token_sha256
        self._metrics = counts
        self._ring = ring
        self._drain_timeout_s = drain_timeout_s

    async def handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Answers one request; never raises but for cancellation."""
        allowed = []
        for route in _ROUTES:
            match = route.pattern.fullmatch(request.path)
            if match is None:
                continue
            if route.method == request.method:
                return await self._answer(
                    route, _Call(request, match.groupdict())
                )
            allowed.append(route.method)
        if allowed:
            methods = ", ".join(sorted(allowed))
            response = _error(
                405, "method_not_allowed", f"use one of {methods} on this path"
            )
            return _with_headers(response, {"allow": methods})
        return _error(404, "not_found", "no such path; see docs/callers.md")

    async def _answer(
        self, route: _Route, call: _Call
    ) -> http_types.HttpResponse:
        try:
            refused = self._refuse(route.access, call)
            if refused is not None:
                return refused
            return await route.answerer(self, call)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.logger.exception(
                "path=%s",
                log.value_text(call.request.path),
                extra={"event": "request_failed"},
            )
            return _error(
                500,
                "internal",
                "the host failed to answer and can't tell what ran; ask for "
                "the status of the id, or send the request again unchanged",
            )

    @_route("POST", "/v1/{workspace}/reservations", access=_Access.CALLER)
    async def _reserve(self, call: _Call) -> http_types.HttpResponse:
        read = job_json.read_reservation(call.request.body)
        if isinstance(read, Failure):
            return self._bad_request(read.failure())
        reservation = read.unwrap()
        started_at = self._port.now()
        answer = await self._port.ask(
            lambda call_id: events.ReserveAsked(
                call_id, call.workspace, reservation.count, reservation.key
            )
        )
        self._record(metrics.Latency.RESERVE, started_at)
        if isinstance(answer, actions.ReplyReserved):
            body = job_json.write_reserved(answer)
            return _response(201, body)
        return self._job_response(answer)

    @_route("PUT", "/v1/{workspace}/jobs/{submission}", access=_Access.CALLER)
    async def _submit(self, call: _Call) -> http_types.HttpResponse:
        read = job_json.read_job(call.request.body)
        if isinstance(read, Failure):
            return self._bad_request(read.failure())
        job = read.unwrap()
        deadline = self._job_deadline(call.workspace, job)
        return await self._ask_to_run(
            lambda call_id: events.SubmitAsked(
                call_id, call.workspace, call.submission, job.body, deadline
            )
        )

    @_route("POST", "/v1/{workspace}/jobs", access=_Access.CALLER)
    async def _submit_keyed(self, call: _Call) -> http_types.HttpResponse:
        read_key = _idempotency_key(call.request)
        if isinstance(read_key, Failure):
            return self._bad_request(read_key.failure())
        read = job_json.read_job(call.request.body)
        if isinstance(read, Failure):
            return self._bad_request(read.failure())
        key = read_key.unwrap()
        job = read.unwrap()
        deadline = self._job_deadline(call.workspace, job)
        return await self._ask_to_run(
            lambda call_id: events.KeyedSubmitAsked(
                call_id, call.workspace, key, job.body, deadline
            )
        )

    async def _ask_to_run(
        self, make_event: core_port.MakeEvent
    ) -> http_types.HttpResponse:
        started_at = self._port.now()
        answer = await self._port.ask(make_event)
        self._record(metrics.Latency.JOB, started_at)
        return self._job_response(answer)

    @_route("GET", "/v1/{workspace}/jobs/{submission}", access=_Access.CALLER)
    async def _status(self, call: _Call) -> http_types.HttpResponse:
        answer = await self._port.ask(
            lambda call_id: events.StatusAsked(
                call_id, call.workspace, call.submission
            )
        )
        return self._job_response(answer, code=status_codes.of_query)

    @_route(
        "DELETE", "/v1/{workspace}/jobs/{submission}", access=_Access.CALLER
    )
    async def _cancel(self, call: _Call) -> http_types.HttpResponse:
        answer = await self._port.ask(
            lambda call_id: events.CancelAsked(
                call_id, call.workspace, call.submission
            )
        )
        return self._job_response(answer, code=status_codes.of_query)

    @_route("GET", "/v1/workspaces", access=_Access.OPERATOR)
    async def _list_workspaces(self, call: _Call) -> http_types.HttpResponse:
        listed = [
            {"workspace": name, "version": config.version}
            for name, config in sorted(self._port.configs.items())
        ]
        return _json(200, {"workspaces": listed})

    @_route("GET", "/v1/workspaces/{workspace}", access=_Access.OPERATOR)
    async def _get_workspace(self, call: _Call) -> http_types.HttpResponse:
        config = self._port.configs.get(call.workspace)
        if config is None:
            return _error(
                404,
                "no_workspace",
                "no such workspace is in force here; create it with "
                "If-Match: 0, or list those that exist",
            )
        return _versioned(200, _config_json(config), config.version)

    @_route("PUT", "/v1/workspaces/{workspace}", access=_Access.OPERATOR)
    async def _put_workspace(self, call: _Call) -> http_types.HttpResponse:
        seen = _if_match(call.request)
        if seen is None:
            return _error(
                428,
                "version_missing",
                "give the version that you saw in If-Match, 0 to create the "
                "workspace",
            )
        wait_s = _query_seconds(
            call.request, "wait_s", DEFAULT_CONFIG_WAIT_S, MAX_CONFIG_WAIT_S
        )
        if wait_s is None:
            return _error(
                400,
                "bad_request",
                f"wait_s is no number of seconds from 0 to {MAX_CONFIG_WAIT_S:g}",
            )
        read = _read_workspace(call)
        if isinstance(read, Failure):
            refused: http_types.HttpResponse = read.failure()
            return refused
        config = workspace_file.to_config(read.unwrap(), version=seen + 1)
        return await self._ask_to_put(config, wait_s)

    async def _ask_to_put(
        self, config: model.WorkspaceConfig, wait_s: float
    ) -> http_types.HttpResponse:
        started_at = self._port.now()
        answer = await self._port.ask(
            lambda call_id: events.ConfigPutAsked(
                call_id, config, started_at + wait_s
            )
        )
        self._record(metrics.Latency.CONFIG_PUT, started_at)
        if isinstance(answer, actions.ReplyConfig):
            return _put_response(answer, config.version)
        return self._job_response(answer)

    @_route("GET", "/v1/host", access=_Access.OPERATOR)
    async def _host_status(self, call: _Call) -> http_types.HttpResponse:
        status = self._port.status()
        return _json(
            200,
            {
                **_status_json(status),
                "workspaces": len(self._port.configs),
                "log_level": log.level(),
                "counts": self._metrics.counts_by_reason(),
            },
        )

    @_route("POST", "/v1/host/drain", access=_Access.OPERATOR)
    async def _drain(self, call: _Call) -> http_types.HttpResponse:
        timeout_s = _query_seconds(
            call.request,
            "timeout_s",
            self._drain_timeout_s,
            MAX_DRAIN_TIMEOUT_S,
        )
        if timeout_s is None:
            return _error(
                400,
                "bad_request",
                "timeout_s is no number of seconds from 0 to "
                f"{MAX_DRAIN_TIMEOUT_S:g}",
            )
        self._port.drain(deadline=self._port.now() + timeout_s)
        return _json(202, {"state": "draining", "timeout_s": timeout_s})

    @_route("PUT", "/v1/host/log", access=_Access.OPERATOR)
    async def _set_log_level(self, call: _Call) -> http_types.HttpResponse:
        wanted = call.request.query.get("level", "")
        try:
            log.set_level(wanted)
        except ValueError as error:
            return _error(400, "bad_request", str(error))
        return _json(200, {"log_level": wanted})

    @_route("GET", "/v1/explain/{submission}", access=_Access.OPERATOR)
    async def _explain(self, call: _Call) -> http_types.HttpResponse:
        now = self._port.now()
        entry = self._port.status().entry
        noted = [
            _event_json(timed, now)
            for timed in self._ring.events(call.submission)
        ]
        return _json(
            200,
            {"host": entry.host, "domain": entry.domain, "events": noted},
        )

    @_route("GET", "/healthz", access=_Access.ANYONE)
    async def _health(self, call: _Call) -> http_types.HttpResponse:
        return _json(200, {"state": "alive"})

    @_route("GET", "/readyz", access=_Access.ANYONE)
    async def _readiness(self, call: _Call) -> http_types.HttpResponse:
        if self._port.ready:
            return _json(200, {"state": "ready"})
        return _json(503, {"state": "not_ready"})

    @_route("GET", "/metrics", access=_Access.ANYONE)
    async def _metrics_text(self, call: _Call) -> http_types.HttpResponse:
        status = self._port.status()
        gauges = (
            ("ready", float(status.ready)),
            ("draining", float(status.draining)),
            ("store_up", float(status.store_up)),
            ("jobs", float(status.jobs)),
            ("running_tasks", float(status.running_tasks)),
            ("queued_tasks", float(status.queued_tasks)),
            ("linked_peers", float(sum(p.linked for p in status.peers))),
            ("upstreams", float(len(status.upstreams))),
            ("kept_events", float(len(self._ring))),
        )
        text = self._metrics.render(gauges)
        return _response(200, text, content_type=metrics.CONTENT_TYPE)

    def _refuse(
        self, access: _Access, call: _Call
    ) -> http_types.HttpResponse | None:
        if access is _Access.CALLER:
            return self._refuse_caller(call)
        if access is _Access.ANYONE:
            return None
        if _token_matches(call.request, self._operator_token_sha256):
            return None
        return _operator_unauthorized()

    def _refuse_caller(self, call: _Call) -> http_types.HttpResponse | None:
        """Returns the refusal of a caller that may not use the workspace."""
        configs = self._port.configs
        if not configs and not self._port.ready:
            return self._refusal(model.Reason.NO_CONFIGURATION)
        config = configs.get(call.workspace)
        wanted = config.token_sha256 if config is not None else ""
        if not _token_matches(call.request, wanted):
            response = self._refusal(model.Reason.UNAUTHORIZED)
            return _with_headers(response, {"www-authenticate": "Bearer"})
        submission = call.parts.get("submission", "")
        if len(submission) > _MAX_SUBMISSION_CHARS:
            return self._refusal(model.Reason.INVALID_ID)
        return None

    def _bad_request(self, bad: job_json.BadBody) -> http_types.HttpResponse:
        return self._refusal(model.Reason.BAD_REQUEST, detail=bad.detail)

    def _refusal(
        self, reason: model.Reason, *, detail: str = ""
    ) -> http_types.HttpResponse:
        answer = remedies.refusal(_NO_ID, reason, detail=detail)
        return self._answer_response(answer, status_codes.of_job(answer))

    def _job_response(
        self,
        answer: core_port.Answer,
        *,
        code: Callable[[model.JobAnswer], int] = status_codes.of_job,
    ) -> http_types.HttpResponse:
        if not isinstance(answer, actions.Reply):
            raise TypeError(f"a caller was answered with {type(answer)}")
        return self._answer_response(answer.answer, code(answer.answer))

    def _answer_response(
        self, answer: model.JobAnswer, code: int
    ) -> http_types.HttpResponse:
        self._metrics.count_answer(answer)
        response = _response(code, job_json.write_answer(answer))
        if answer.retry_after_s is None:
            return response
        retry_after = str(max(0, math.ceil(answer.retry_after_s)))
        return _with_headers(response, {"retry-after": retry_after})

    def _job_deadline(
        self, workspace: ids.WorkspaceId, job: job_json.JobRequest
    ) -> float:
        templates = self._port.configs[workspace].templates
        template = templates.get(job.body.template)
        longest_s = template.max_wait_s if template else DEFAULT_TIMEOUT_S
        timeout_s = longest_s
        if job.timeout_s is not None:
            timeout_s = min(job.timeout_s, longest_s)
        return self._port.now() + timeout_s

    def _record(self, latency: metrics.Latency, started_at: float) -> None:
        self._metrics.record(latency, self._port.now() - started_at)


def _token_matches(request: http_types.HttpRequest, sha256: str) -> bool:
    """Compares in constant time; an empty digest matches no token."""
    given = request.headers.get("authorization", "")
    scheme, token = given[: len(_BEARER)], given[len(_BEARER) :].strip()
    if scheme.lower() != _BEARER or not token:
        return False
    digest = hashlib.sha256(token.encode()).hexdigest()
    return hmac.compare_digest(digest, sha256)


def _idempotency_key(
    request: http_types.HttpRequest,
) -> Result[ids.CallerKey, job_json.BadBody]:
    text = request.headers.get("idempotency-key")
    if text is None:
        return Failure(
            job_json.BadBody(
                "the header Idempotency-Key is missing; give a key of your "
                "own, or reserve an id and PUT the job under it"
            )
        )
    return job_json.read_key(text)


def _if_match(request: http_types.HttpRequest) -> int | None:
    text = request.headers.get("if-match", "").strip().strip('"')
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        return None
    return int(text)


def _query_seconds(
    request: http_types.HttpRequest, name: str, default: float, largest: float
) -> float | None:
    """Returns a query value in seconds, None where it is not allowed."""
    try:
        seconds = float(request.query.get(name, default))
    except ValueError:
        return None
    return seconds if 0 <= seconds <= largest else None


def _read_workspace(
    call: _Call,
) -> Result[workspace_file.WorkspaceDocument, http_types.HttpResponse]:
    return (
        job_json.read_object(call.request.body)
        .alt(lambda bad: _error(400, "bad_request", bad.detail))
        .bind(_check_workspace)
        .bind(lambda document: _check_name(document, call.workspace))
    )


def _check_workspace(
    value: dict[str, Any],
) -> Result[workspace_file.WorkspaceDocument, http_types.HttpResponse]:
    return workspace_file.check_json(value, source="request").alt(
        lambda invalid: _error(
            422,
            "invalid_settings",
            str(invalid),
            problems=[str(problem) for problem in invalid.problems],
        )
    )


def _check_name(
    document: workspace_file.WorkspaceDocument, workspace: ids.WorkspaceId
) -> Result[workspace_file.WorkspaceDocument, http_types.HttpResponse]:
    if document.workspace == workspace:
        return Success(document)
    detail = "the workspace in the path and the body differ; make them equal"
    return Failure(_error(400, "bad_request", detail))


def _put_response(
    answer: actions.ReplyConfig, version: int
) -> http_types.HttpResponse:
    """Returns in force, recorded, conflict, not recorded, or not known."""
    if answer.recorded is None:
        return _error(504, "not_known_whether_recorded", answer.detail)
    if answer.recorded:
        state = "recorded" if answer.lagging else "in_force"
        body = {
            "state": state,
            "version": version,
            "lagging": list(answer.lagging),
            "detail": answer.detail,
        }
        return _versioned(202 if answer.lagging else 200, body, version)
    if answer.current is None:
        return _error(503, "not_recorded", answer.detail)
    current = answer.current
    return _with_headers(
        _error(
            409,
            "version_conflict",
            answer.detail,
            current=_config_json(current),
        ),
        {"etag": f'"{current.version}"'},
    )


def _config_json(config: model.WorkspaceConfig) -> dict[str, Any]:
    return {
        "version": config.version,
        "settings": workspace_file.to_json(config),
    }


def _status_json(status: core_port.HostStatus) -> dict[str, Any]:
    return {
        "host": status.entry.host,
        "domain": status.entry.domain,
        "incarnation": status.entry.incarnation,
        "ready": status.ready,
        "draining": status.draining,
        "store_up": status.store_up,
        "jobs": status.jobs,
        "running_tasks": status.running_tasks,
        "queued_tasks": status.queued_tasks,
        "peers": [
            {"host": peer.host, "domain": peer.domain, "linked": peer.linked}
            for peer in status.peers
        ],
        "upstreams": [
            {
                "upstream": upstream.upstream,
                "domain": upstream.domain,
                "slots": upstream.slots,
                "running": upstream.running,
                "leaving": upstream.leaving,
            }
            for upstream in status.upstreams
        ],
    }


def _event_json(timed: event_ring.TimedNote, now: float) -> dict[str, Any]:
    noted = timed.note
    return {
        "ago_s": round(now - timed.at, 6),
        "event": noted.event,
        "reason": noted.reason.value if noted.reason else None,
        "detail": noted.detail,
    }


def _operator_unauthorized() -> http_types.HttpResponse:
    response = _error(
        401,
        "unauthorized",
        "the token is not that of the operators; send Authorization: Bearer "
        "with the right one",
    )
    return _with_headers(response, {"www-authenticate": "Bearer"})


def _error(
    code: int, kind: str, detail: str, **more: object
) -> http_types.HttpResponse:
    return _json(code, {"error": {"kind": kind, "detail": detail, **more}})


def _versioned(
    code: int, value: Mapping[str, Any], version: int
) -> http_types.HttpResponse:
    return _with_headers(_json(code, value), {"etag": f'"{version}"'})


def _json(code: int, value: Mapping[str, Any]) -> http_types.HttpResponse:
    return _response(code, json.dumps(value).encode())


def _response(
    code: int, body: bytes, *, content_type: str = _JSON
) -> http_types.HttpResponse:
    return http_types.HttpResponse(code, body, {"content-type": content_type})


def _with_headers(
    response: http_types.HttpResponse, headers: Mapping[str, str]
) -> http_types.HttpResponse:
    return http_types.HttpResponse(
        response.status, response.body, {**response.headers, **headers}
    )
