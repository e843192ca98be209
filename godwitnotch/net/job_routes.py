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
from godwitnotch.net import http_types
from godwitnotch.net import job_json
from godwitnotch.net import routes
from godwitnotch.net import runtime_port
from godwitnotch.net import status_codes

DEFAULT_TIMEOUT_S = 30.0

_NO_ID = ids.SubmissionId("")


def refusal(
    context: routes.HostContext, reason: model.Reason, *, detail: str = ""
) -> http_types.HttpResponse:
    """Returns the response for a request that the routes refuse."""
    answer = remedies.refusal(_NO_ID, reason, detail=detail)
    return _answer_response(context, answer, status_codes.of_job(answer))


@routes.route(
    "POST", "/v1/{workspace}/reservations", access=routes.Access.CALLER
)
async def _reserve(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    parsed = job_json.parse_reservation(routed.request.body)
    if isinstance(parsed, Failure):
        return _bad_request(context, parsed.failure())
    reservation = parsed.unwrap()
    started_at = context.runtime.now()
    answer = await context.runtime.ask(
        lambda call_id: events.ReserveAsked(
            call_id, routed.workspace, reservation.count, reservation.key
        )
    )
    context.record(metrics.Latency.RESERVE, started_at)
    if isinstance(answer, actions.ReplyReserved):
        return routes.response(201, job_json.encode_reserved_ids(answer))
    return _reply_response(context, answer)


@routes.route(
    "PUT", "/v1/{workspace}/jobs/{submission}", access=routes.Access.CALLER
)
async def _submit(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    parsed = job_json.parse_job(routed.request.body)
    if isinstance(parsed, Failure):
        return _bad_request(context, parsed.failure())
    job = parsed.unwrap()
    deadline = _deadline(context, routed.workspace, job)
    return await _run_job(
        context,
        lambda call_id: events.SubmitAsked(
            call_id, routed.workspace, routed.submission, job.body, deadline
        ),
    )


@routes.route("POST", "/v1/{workspace}/jobs", access=routes.Access.CALLER)
async def _submit_keyed(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    parsed_key = _idempotency_key(routed.request)
    if isinstance(parsed_key, Failure):
        return _bad_request(context, parsed_key.failure())
    parsed = job_json.parse_job(routed.request.body)
    if isinstance(parsed, Failure):
        return _bad_request(context, parsed.failure())
    key = parsed_key.unwrap()
    job = parsed.unwrap()
    deadline = _deadline(context, routed.workspace, job)
    return await _run_job(
        context,
        lambda call_id: events.KeyedSubmitAsked(
            call_id, routed.workspace, key, job.body, deadline
        ),
    )


@routes.route(
    "GET", "/v1/{workspace}/jobs/{submission}", access=routes.Access.CALLER
)
async def _status(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    answer = await context.runtime.ask(
        lambda call_id: events.StatusAsked(
            call_id, routed.workspace, routed.submission
        )
    )
    return _reply_response(context, answer, status_code=status_codes.of_query)


@routes.route(
    "DELETE", "/v1/{workspace}/jobs/{submission}", access=routes.Access.CALLER
)
async def _cancel(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    answer = await context.runtime.ask(
        lambda call_id: events.CancelAsked(
            call_id, routed.workspace, routed.submission
        )
    )
    return _reply_response(context, answer, status_code=status_codes.of_query)


async def _run_job(
    context: routes.HostContext, make_event: runtime_port.EventFactory
) -> http_types.HttpResponse:
    started_at = context.runtime.now()
    answer = await context.runtime.ask(make_event)
    context.record(metrics.Latency.JOB, started_at)
    return _reply_response(context, answer)


def _deadline(
    context: routes.HostContext,
    workspace: ids.WorkspaceId,
    job: job_json.JobRequest,
) -> float:
    """Returns the caller's deadline, limited by the template's `max_wait_s`."""
    templates = context.runtime.configs[workspace].templates
    template = templates.get(job.body.template)
    timeout_s = template.max_wait_s if template else DEFAULT_TIMEOUT_S
    if job.timeout_s is not None:
        timeout_s = min(job.timeout_s, timeout_s)
    return context.runtime.now() + timeout_s


def _idempotency_key(
    request: http_types.HttpRequest,
) -> Result[ids.IdempotencyKey, job_json.BadBody]:
    text = request.headers.get("idempotency-key")
    if text is not None:
        return job_json.parse_idempotency_key(text)
    return Failure(
        job_json.BadBody(
            "the header Idempotency-Key is missing; give a key of your own, "
            "or reserve an id and PUT the job under it"
        )
    )


def _bad_request(
    context: routes.HostContext, bad: job_json.BadBody
) -> http_types.HttpResponse:
    return refusal(context, model.Reason.BAD_REQUEST, detail=bad.detail)


def _reply_response(
    context: routes.HostContext,
    answer: runtime_port.Answer,
    *,
    status_code: Callable[[model.JobAnswer], int] = status_codes.of_job,
) -> http_types.HttpResponse:
    if not isinstance(answer, actions.Reply):
        raise TypeError(f"expected a Reply for the caller, got {type(answer)}")
    return _answer_response(context, answer.answer, status_code(answer.answer))


def _answer_response(
    context: routes.HostContext, answer: model.JobAnswer, status_code: int
) -> http_types.HttpResponse:
    context.counts.count_answer(answer)
    response = routes.response(status_code, job_json.encode_answer(answer))
    if answer.retry_after_s is None:
        return response
    retry_after = str(max(0, math.ceil(answer.retry_after_s)))
    return routes.with_headers(response, {"retry-after": retry_after})
