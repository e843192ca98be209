"""Decodes the platform's list of upstreams and encodes orders to them.

The platform calls an upstream a worker or server, a failure domain a zone, the
term of an order a fence and the renewal of a lease a hold.
"""

import json
from typing import Any

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import model
from godwitnotch.net import http_types
from godwitnotch.platform import fields
from godwitnotch.platform import jobs

# Header with the id of the expected upstream. If another process now uses the
# address, that process rejects the order with status 421.
EXPECTED_INSTANCE_HEADER = "x-expected-instance"

# When the upstream's process started, in Unix milliseconds of its own clock; in
# its entry and in its lists of runs.
_STARTED_FIELD = "born"
# The largest integer that any reader of JSON keeps exactly.
_MAX_SERIAL_NUMBER = 2**53 - 1
_MAX_INDEX_DIGITS = 9
_MAX_TASK_CHARS = 80  # Of a malformed name of a task in a message.
_READY = "ready"
_DRAINING = "draining"
_WRONG_INSTANCE_STATUS = 421
_REJECTED_STATUS = 409
_MALFORMED_STATUS = 400
_UNHEALTHY_STATUSES = (429, 503)
_REJECTION_REASONS = {
    "fence": model.OrderRejection.TERM,
    "old": model.OrderRejection.OLD_RUN,
    "late": model.OrderRejection.LATE,
    "room": model.OrderRejection.FULL,
}
_RUN_ENDS = {
    "done": model.RunEnd.DONE,
    "failed": model.RunEnd.FAILED,
    "stopped": model.RunEnd.STOPPED,
    "lapsed": model.RunEnd.LOST,
}


class ListedUpstream(msgspec.Struct, frozen=True):
    """An entry of the list of upstreams.

    Attributes:
        upstream: The upstream.
        cold_remaining_ms: How much longer it remains slow after its start.
        problem: Why an optional field was ignored, with the remedy; empty if
            none was.
    """

    upstream: model.LeasedUpstream
    cold_remaining_ms: int
    problem: str


def decode_upstream(key: str, value: bytes) -> ListedUpstream:
    """Decodes an entry of the list of upstreams.

    Args:
        key: Key of the entry: the id of the upstream.
        value: The entry as JSON.

    Raises:
        WrongFormatError: The entry is malformed or has an unknown state.
    """
    if not _fits_in_header(key):
        raise fields.WrongFormatError(
            "the key can't be the value of a header; remove the entry"
        )
    entry = fields.parse_object(value)
    state = fields.text(entry, "state")
    if state not in (_READY, _DRAINING):
        raise fields.WrongFormatError(
            f"state {state!r} is unknown; correct the entry"
        )
    labels = fields.array(entry, "labels")
    if not all(
        isinstance(label, str) and fields.is_unicode(label) for label in labels
    ):
        raise fields.WrongFormatError(
            "a label is not Unicode text; correct the entry"
        )
    upstream = model.LeasedUpstream(
        upstream=ids.UpstreamId(key),
        address=fields.address(entry, "address"),
        domain=ids.DomainId(fields.text(entry, "zone")),
        service=model.ServiceName(fields.text(entry, "service")),
        slots=fields.integer(entry, "slots"),
        capacity=jobs.decode_resources(fields.mapping(entry, "capacity")),
        labels=tuple(labels),
        draining=state == _DRAINING,
        instance_started_ms=fields.integer(entry, _STARTED_FIELD, 0),
    )
    try:
        cold_ms = fields.integer(entry, "cold_remaining_ms", 0)
    except fields.WrongFormatError as error:
        return ListedUpstream(upstream, 0, f"{error}; taken as 0")
    return ListedUpstream(upstream, cold_ms, "")


def start_request(order: actions.StartRun) -> http_types.HttpRequest:
    """Returns the request that starts a run."""
    return _order_request(
        "/run-start",
        order.upstream,
        {
            "task": _encode_task(order.key.task),
            "run": order.key.run,
            "spec": order.spec,
            "deadline_ms": order.deadline_ms,
            "fence": order.term,
        },
    )


def stop_request(order: actions.StopRun) -> http_types.HttpRequest:
    """Returns the request that stops a run."""
    return _order_request(
        "/run-stop",
        order.upstream,
        {
            "task": _encode_task(order.key.task),
            "run": order.key.run,
            "fence": order.term,
        },
    )


def renew_request(order: actions.RenewLease) -> http_types.HttpRequest:
    """Returns the request that renews a lease and lists the runs."""
    body: dict[str, Any] = {
        "fence": order.term,
        "observed": order.acknowledged_end,
    }
    if order.deadline_ms is not None:
        body["deadline_ms"] = order.deadline_ms
    if order.wait_ms:
        body["wait_ms"] = order.wait_ms
    return _order_request("/hold", order.upstream, body)


def look_request(
    upstream: model.CalledUpstream, term: model.Term
) -> http_types.HttpRequest:
    """Returns the request that lists the runs and changes nothing.

    The upstream then rejects lower terms.
    """
    return _order_request("/hold", upstream, {"fence": term, "observed": 0})


def decode_instance(response: http_types.HttpResponse) -> int:
    """Decodes which instance of an upstream has responded.

    Returns:
        When its process started, by its own clock; 0 if it doesn't state that.
    """
    try:
        return fields.integer(
            fields.parse_object(response.body), _STARTED_FIELD, 0
        )
    except fields.WrongFormatError:
        return 0


def decode_clock(response: http_types.HttpResponse) -> tuple[int, int]:
    """Decodes the upstream's time and the start time of its process.

    Returns:
        Both times on the upstream's own clock, in milliseconds. The start time
        is 0 if the upstream doesn't state it.

    Raises:
        WrongFormatError: The response has another format.
    """
    values = fields.parse_object(response.body)
    return (
        fields.integer(values, "clock_ms"),
        fields.integer(values, _STARTED_FIELD, 0),
    )


def decode_run_list(response: http_types.HttpResponse) -> model.RunList:
    """Decodes the list of runs in the response to the renewal of a lease.

    Raises:
        WrongFormatError: The response has another format.
    """
    values = fields.parse_object(response.body)
    return model.RunList(
        clock_ms=fields.integer(values, "clock_ms"),
        instance_started_ms=fields.integer(values, _STARTED_FIELD, 0),
        running=tuple(map(_decode_running, fields.array(values, "running"))),
        ended=tuple(map(_decode_ended, fields.array(values, "finished"))),
    )


def decode_rejection(
    response: http_types.HttpResponse,
) -> model.OrderRejection | None:
    """Returns why the upstream rejected an order.

    Returns:
        The reason; None if the status doesn't prove that the order has no
        effect.
    """
    if response.status == _WRONG_INSTANCE_STATUS:
        return model.OrderRejection.OTHER_INSTANCE
    if response.status == _MALFORMED_STATUS:
        return model.OrderRejection.MALFORMED
    if response.status in _UNHEALTHY_STATUSES:
        return model.OrderRejection.UNHEALTHY
    if response.status == _REJECTED_STATUS:
        try:
            reason = fields.text(fields.parse_object(response.body), "reason")
        except fields.WrongFormatError:
            return model.OrderRejection.UNHEALTHY
        return _REJECTION_REASONS.get(reason, model.OrderRejection.UNHEALTHY)
    return None


def _order_request(
    path: str, upstream: model.CalledUpstream, body: dict[str, Any]
) -> http_types.HttpRequest:
    return http_types.HttpRequest(
        "POST",
        path,
        headers={
            "content-type": "application/json",
            EXPECTED_INSTANCE_HEADER: upstream.upstream,
        },
        body=json.dumps(body).encode(),
    )


def _encode_task(key: model.TaskKey) -> str:
    # The platform's name of a task is ID.OCCURRENCE.STEP.INDEX. Occurrence and
    # step are 0, since only jobs with one step that runs once are supported.
    return f"{key.job}.0.0.{key.index}"


def _fits_in_header(key: str) -> bool:
    """Returns whether an upstream's id can be sent in a header."""
    return bool(key) and key.isascii() and key.isprintable() and " " not in key


def _decode_running(row: Any) -> model.RunKey:
    if not isinstance(row, list) or len(row) < 2:
        raise fields.WrongFormatError(
            "a running entry is not an array of 2 or more values"
        )
    return _decode_run_key(row[0], row[1])


def _decode_ended(row: Any) -> model.EndedRun:
    if not isinstance(row, list) or len(row) < 4:
        raise fields.WrongFormatError(
            "a finished entry is not an array of 4 or more values"
        )
    number, task, run, end = row[:4]
    if not _is_serial_number(number):
        raise fields.WrongFormatError(
            "a finished entry has no whole number from 1 on"
        )
    if not isinstance(end, str):
        raise fields.WrongFormatError("a finished entry doesn't tell the end")
    return model.EndedRun(
        number,
        _decode_run_key(task, run),
        _RUN_ENDS.get(end, model.RunEnd.OTHER),
    )


def _decode_run_key(task: Any, run: Any) -> model.RunKey:
    if not isinstance(task, str) or not _is_serial_number(run):
        raise fields.WrongFormatError("an entry doesn't name a run")
    job, *numbers = task.split(".")
    if (
        len(numbers) != 3
        or not fields.is_unicode(job)
        or not all(map(_is_index, numbers))
    ):
        raise fields.WrongFormatError(
            f"task {task[:_MAX_TASK_CHARS]!r} is not ID.OCCURRENCE.STEP.INDEX"
        )
    key = model.TaskKey(model.JobName(job), int(numbers[-1]))
    return model.RunKey(key, model.RunNumber(run))


def _is_serial_number(value: Any) -> bool:
    return type(value) is int and 1 <= value <= _MAX_SERIAL_NUMBER


def _is_index(text: str) -> bool:
    return len(text) <= _MAX_INDEX_DIGITS and text.isascii() and text.isdigit()
