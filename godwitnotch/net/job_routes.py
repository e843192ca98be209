"""HTTP routes for callers: reserve, submit, status, cancel."""

import math
from collections.abc import Callable

from returns.result import Failure
from returns.result import Result

from godwitnotch import metrics
from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import remedies
from godwitnotch.net import core_port
from godwitnotch.net import http_types
from godwitnotch.net import job_json
from godwitnotch.net import routes
from godwitnotch.net import status_codes

DEFAULT_TIMEOUT_S = 30.0

_NO_ID = ids.SubmissionId("")


def refusal(
    host: routes.Host, reason: model.Reason, *, detail: str = ""
) -> http_types.HttpResponse:
    """Returns a refusal that the core was not asked about."""
    answer = remedies.refusal(_NO_ID, reason, detail=detail)
    return _write(host, answer, status_codes.of_job(answer))


@routes.route(
    "POST", "/v1/{workspace}/reservations", access=routes.Access.CALLER
)
async def _reserve(
    host: routes.Host, call: routes.Call
) -> http_types.HttpResponse:
    read = job_json.read_reservation(call.request.body)
    if isinstance(read, Failure):
        return _bad_request(host, read.failure())
    reservation = read.unwrap()
    started_at = host.port.now()
    answer = await host.port.ask(
        lambda call_id: events.ReserveAsked(
            call_id, call.workspace, reservation.count, reservation.key
        )
    )
    host.record(metrics.Latency.RESERVE, started_at)
    if isinstance(answer, actions.ReplyReserved):
        return routes.response(201, job_json.write_reserved(answer))
    return _job_response(host, answer)


@routes.route(
    "PUT", "/v1/{workspace}/jobs/{submission}", access=routes.Access.CALLER
)
async def _submit(
    host: routes.Host, call: routes.Call
) -> http_types.HttpResponse:
    read = job_json.read_job(call.request.body)
    if isinstance(read, Failure):
        return _bad_request(host, read.failure())
    job = read.unwrap()
    deadline = _deadline(host, call.workspace, job)
    return await _run(
        host,
        lambda call_id: events.SubmitAsked(
            call_id, call.workspace, call.submission, job.body, deadline
        ),
    )


@routes.route("POST", "/v1/{workspace}/jobs", access=routes.Access.CALLER)
async def _submit_keyed(
    host: routes.Host, call: routes.Call
) -> http_types.HttpResponse:
    read_key = _idempotency_key(call.request)
    if isinstance(read_key, Failure):
        return _bad_request(host, read_key.failure())
    read = job_json.read_job(call.request.body)
    if isinstance(read, Failure):
        return _bad_request(host, read.failure())
    key = read_key.unwrap()
    job = read.unwrap()
    deadline = _deadline(host, call.workspace, job)
    return await _run(
        host,
        lambda call_id: events.KeyedSubmitAsked(
            call_id, call.workspace, key, job.body, deadline
        ),
    )


@routes.route(
    "GET", "/v1/{workspace}/jobs/{submission}", access=routes.Access.CALLER
)
async def _status(
    host: routes.Host, call: routes.Call
) -> http_types.HttpResponse:
    answer = await host.port.ask(
        lambda call_id: events.StatusAsked(
            call_id, call.workspace, call.submission
        )
    )
    return _job_response(host, answer, code=status_codes.of_query)


@routes.route(
    "DELETE", "/v1/{workspace}/jobs/{submission}", access=routes.Access.CALLER
)
async def _cancel(
    host: routes.Host, call: routes.Call
) -> http_types.HttpResponse:
    answer = await host.port.ask(
        lambda call_id: events.CancelAsked(
            call_id, call.workspace, call.submission
        )
    )
    return _job_response(host, answer, code=status_codes.of_query)


async def _run(
    host: routes.Host, make_event: core_port.MakeEvent
) -> http_types.HttpResponse:
    started_at = host.port.now()
    answer = await host.port.ask(make_event)
    host.record(metrics.Latency.JOB, started_at)
    return _job_response(host, answer)


def _deadline(
    host: routes.Host, workspace: ids.WorkspaceId, job: job_json.JobRequest
) -> float:
    """Returns the caller's deadline, at most the template's longest wait."""
    templates = host.port.configs[workspace].templates
    template = templates.get(job.body.template)
    timeout_s = template.max_wait_s if template else DEFAULT_TIMEOUT_S
    if job.timeout_s is not None:
        timeout_s = min(job.timeout_s, timeout_s)
    return host.port.now() + timeout_s


def _idempotency_key(
    request: http_types.HttpRequest,
) -> Result[ids.CallerKey, job_json.BadBody]:
    text = request.headers.get("idempotency-key")
    if text is not None:
        return job_json.read_key(text)
    return Failure(
        job_json.BadBody(
            "the header Idempotency-Key is missing; give a key of your own, "
            "or reserve an id and PUT the job under it"
        )
    )


def _bad_request(
    host: routes.Host, bad: job_json.BadBody
) -> http_types.HttpResponse:
    return refusal(host, model.Reason.BAD_REQUEST, detail=bad.detail)


def _job_response(
    host: routes.Host,
    answer: core_port.Answer,
    *,
    code: Callable[[model.JobAnswer], int] = status_codes.of_job,
) -> http_types.HttpResponse:
    if not isinstance(answer, actions.Reply):
        raise TypeError(f"a caller was answered with {type(answer)}")
    return _write(host, answer.answer, code(answer.answer))


def _write(
    host: routes.Host, answer: model.JobAnswer, code: int
) -> http_types.HttpResponse:
    host.counts.count_answer(answer)
    response = routes.response(code, job_json.write_answer(answer))
    if answer.retry_after_s is None:
        return response
    retry_after = str(max(0, math.ceil(answer.retry_after_s)))
    return routes.with_headers(response, {"retry-after": retry_after})
