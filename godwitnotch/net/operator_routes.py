"""HTTP routes for operators, the load balancer and the metrics collector."""

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
from godwitnotch.net import http_types
from godwitnotch.net import job_json
from godwitnotch.net import routes
from godwitnotch.net import runtime_port

DEFAULT_CONFIG_WAIT_S = 17.0
MAX_CONFIG_WAIT_S = 120.0
MAX_DRAIN_TIMEOUT_S = 3_600.0


@routes.route("GET", "/v1/workspaces", access=routes.Access.OPERATOR)
async def _list_workspaces(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    listed = [
        {"workspace": name, "version": config.version}
        for name, config in sorted(context.runtime.configs.items())
    ]
    return routes.json_response(200, {"workspaces": listed})


@routes.route(
    "GET", "/v1/workspaces/{workspace}", access=routes.Access.OPERATOR
)
async def _get_workspace(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    config = context.runtime.configs.get(routed.workspace)
    if config is None:
        return routes.error_response(
            404,
            "no_workspace",
            "no such workspace is in force here; create it with "
            "If-Match: 0, or list those that exist",
        )
    return routes.versioned_response(200, _config_json(config), config.version)


@routes.route(
    "PUT", "/v1/workspaces/{workspace}", access=routes.Access.OPERATOR
)
async def _put_workspace(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    expected_version = _if_match_version(routed.request)
    if expected_version is None:
        return routes.error_response(
            428,
            "version_missing",
            "give the version that you saw in If-Match, 0 to create the "
            "workspace",
        )
    wait_s = routes.query_seconds(
        routed.request, "wait_s", DEFAULT_CONFIG_WAIT_S, MAX_CONFIG_WAIT_S
    )
    if wait_s is None:
        return routes.error_response(
            400,
            "bad_request",
            f"wait_s is no number of seconds from 0 to {MAX_CONFIG_WAIT_S:g}",
        )
    document = _parse_workspace(routed)
    if isinstance(document, Failure):
        refusal: http_types.HttpResponse = document.failure()
        return refusal
    config = workspace_file.to_config(
        document.unwrap(), version=expected_version + 1
    )
    return await _put_config(context, config, wait_s)


async def _put_config(
    context: routes.HostContext, config: model.WorkspaceConfig, wait_s: float
) -> http_types.HttpResponse:
    log.event(
        "config_put_asked", workspace=config.workspace, version=config.version
    )
    started_at = context.runtime.now()
    answer = await context.runtime.ask(
        lambda call_id: events.ConfigPutAsked(
            call_id, config, started_at + wait_s
        )
    )
    context.record(metrics.Latency.CONFIG_PUT, started_at)
    if isinstance(answer, actions.ReplyConfig):
        return _put_response(answer, config.version)
    raise TypeError(
        f"expected a ReplyConfig for the operator, got {type(answer)}"
    )


@routes.route("GET", "/v1/host", access=routes.Access.OPERATOR)
async def _host_status(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    status = context.runtime.status()
    return routes.json_response(
        200,
        {
            **_status_json(status),
            "workspaces": len(context.runtime.configs),
            "log_level": log.level(),
            "counts": context.counts.counts_by_reason(),
        },
    )


@routes.route("POST", "/v1/host/drain", access=routes.Access.OPERATOR)
async def _drain(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    timeout_s = routes.query_seconds(
        routed.request,
        "timeout_s",
        context.drain_timeout_s,
        MAX_DRAIN_TIMEOUT_S,
    )
    if timeout_s is None:
        return routes.error_response(
            400,
            "bad_request",
            "timeout_s is no number of seconds from 0 to "
            f"{MAX_DRAIN_TIMEOUT_S:g}",
        )
    log.event("drain_asked", timeout_s=timeout_s)
    context.runtime.drain(deadline=context.runtime.now() + timeout_s)
    return routes.json_response(
        202, {"state": "draining", "timeout_s": timeout_s}
    )


@routes.route("PUT", "/v1/host/log", access=routes.Access.OPERATOR)
async def _set_log_level(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    level = routed.request.query.get("level", "")
    try:
        log.set_level(level)
    except ValueError as error:
        return routes.error_response(400, "bad_request", str(error))
    log.event("log_level_set", log_level=level)
    return routes.json_response(200, {"log_level": level})


@routes.route("GET", "/v1/explain/{submission}", access=routes.Access.OPERATOR)
async def _explain(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    now = context.runtime.now()
    entry = context.runtime.status().entry
    event_list = [
        _event_json(timed, now)
        for timed in context.ring.notes(routed.submission)
    ]
    return routes.json_response(
        200,
        {"host": entry.host, "domain": entry.domain, "events": event_list},
    )


@routes.route("GET", "/healthz", access=routes.Access.ANYONE)
async def _health(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    return routes.json_response(200, {"state": "alive"})


@routes.route("GET", "/readyz", access=routes.Access.ANYONE)
async def _readiness(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    if context.runtime.ready:
        return routes.json_response(200, {"state": "ready"})
    return routes.json_response(503, {"state": "not_ready"})


@routes.route("GET", "/metrics", access=routes.Access.ANYONE)
async def _metrics_text(
    context: routes.HostContext, routed: routes.RoutedRequest
) -> http_types.HttpResponse:
    status = context.runtime.status()
    gauges = (
        ("ready", float(status.ready)),
        ("draining", float(status.draining)),
        ("store_up", float(status.store_up)),
        ("jobs", float(status.jobs)),
        ("running_tasks", float(status.running_tasks)),
        ("queued_tasks", float(status.queued_tasks)),
        ("linked_peers", float(sum(p.linked for p in status.peers))),
        ("upstreams", float(len(status.upstreams))),
        ("kept_events", float(len(context.ring))),
    )
    text = context.counts.render(gauges)
    return routes.response(200, text, content_type=metrics.CONTENT_TYPE)


def _if_match_version(request: http_types.HttpRequest) -> int | None:
    text = request.headers.get("if-match", "").strip().strip('"')
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        return None
    return int(text)


def _parse_workspace(
    routed: routes.RoutedRequest,
) -> Result[workspace_file.WorkspaceDocument, http_types.HttpResponse]:
    return (
        job_json.parse_object(routed.request.body)
        .alt(lambda bad: routes.error_response(400, "bad_request", bad.detail))
        .bind(_check_workspace)
        .bind(lambda document: _check_name(document, routed.workspace))
    )


def _check_workspace(
    value: dict[str, Any],
) -> Result[workspace_file.WorkspaceDocument, http_types.HttpResponse]:
    return workspace_file.validate_json(value, source="request").alt(
        lambda invalid: routes.error_response(
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
    return Failure(routes.error_response(400, "bad_request", detail))


def _put_response(
    answer: actions.ReplyConfig, version: int
) -> http_types.HttpResponse:
    """Returns the response to a change of settings.

    The status is 200 if the change is in force, 202 if it is recorded but not
    yet applied by all live hosts, 409 after a version conflict, 503 if it isn't
    recorded, and 504 if it is unknown whether it is recorded.
    """
    if answer.recorded is None:
        return routes.error_response(
            504, "not_known_whether_recorded", answer.detail
        )
    if answer.recorded:
        state = "recorded" if answer.lagging else "in_force"
        body = {
            "state": state,
            "version": version,
            "lagging": list(answer.lagging),
            "detail": answer.detail,
        }
        return routes.versioned_response(
            202 if answer.lagging else 200, body, version
        )
    if answer.current is None:
        return routes.error_response(503, "not_recorded", answer.detail)
    current = answer.current
    return routes.with_headers(
        routes.error_response(
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


def _status_json(status: runtime_port.HostStatus) -> dict[str, Any]:
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
    note = timed.note
    return {
        "ago_s": round(now - timed.time_s, 6),
        "event": note.event,
        "reason": note.reason.value if note.reason else None,
        "detail": note.detail,
    }
