"""Parses jobs and reservations from JSON, and encodes answers as JSON."""

import difflib
import json
import math
import re
from collections.abc import Mapping
from typing import Any
from typing import NoReturn

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from godwitnotch.core import actions
from godwitnotch.core import ids
from godwitnotch.core import model

MAX_TIMEOUT_MS = 600_000
MAX_DECLARED_MS = 86_400_000
KEY_PATTERN = re.compile(r"[!#-\[\]-~]{1,200}")
KEY_ALLOWED = '1 to 200 printable ASCII characters, no blank, " or \\'

_encode = json.JSONEncoder(
    allow_nan=False, sort_keys=True, separators=(",", ":")
).encode

_JOB_KEYS = ("template", "tasks", "timeout_ms")
_TASK_KEYS = ("payload", "declared_ms")
_RESERVATION_KEYS = ("count", "key")


class BadBody(msgspec.Struct, frozen=True):
    """Why a request body is invalid; `detail` names cause and remedy."""

    detail: str


class JobRequest(msgspec.Struct, frozen=True):
    """A job as a caller sent it.

    Attributes:
        body: The job.
        timeout_s: How long the caller waits, in seconds; None if not given.
    """

    body: model.JobBody
    timeout_s: float | None


class ReservationRequest(msgspec.Struct, frozen=True):
    """A reservation as a caller sent it.

    Attributes:
        count: Number of ids to reserve.
        key: Idempotency key of the job; None if not given.
    """

    count: int
    key: ids.IdempotencyKey | None


class _Refused(Exception):
    """Raised within this module for an invalid request body."""


def parse_object(body: bytes) -> Result[dict[str, Any], BadBody]:
    """Returns the JSON object in a request body."""
    try:
        value = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        return Failure(BadBody(f"the body is no JSON: {error}; correct it"))
    if not isinstance(value, dict):
        return Failure(BadBody("the body is no JSON object; send one"))
    return Success(value)


def parse_job(body: bytes) -> Result[JobRequest, BadBody]:
    """Returns the job in a request body."""
    return parse_object(body).bind(_job_from_json)


def parse_reservation(body: bytes) -> Result[ReservationRequest, BadBody]:
    """Returns the reservation in a request body."""
    return parse_object(body).bind(_reservation_from_json)


def parse_idempotency_key(text: str) -> Result[ids.IdempotencyKey, BadBody]:
    """Returns an idempotency key; double quotes around it are optional."""
    if len(text) > 1 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if KEY_PATTERN.fullmatch(text) is None:
        return Failure(BadBody(f"the key is not allowed; use {KEY_ALLOWED}"))
    return Success(ids.IdempotencyKey(text))


def encode_answer(answer: model.JobAnswer) -> bytes:
    """Returns an answer as JSON; the results are JSON already."""
    fields: dict[str, object] = {
        "id": answer.submission,
        "outcome": answer.outcome.value,
        "ran": answer.ran.value,
    }
    if answer.reason is not None:
        fields["reason"] = answer.reason.value
    if answer.detail:
        fields["detail"] = answer.detail
    if answer.retry_after_s is not None:
        fields["retry_after_s"] = round(answer.retry_after_s, 3)
    text = json.dumps(fields).encode()
    if answer.outcome is not model.Outcome.COMPLETE:
        return text
    return text[:-1] + b', "results": [' + b",".join(answer.results) + b"]}"


def encode_reserved_ids(reserved: actions.ReplyReserved) -> bytes:
    """Returns reserved ids as JSON."""
    return json.dumps(
        {
            "ids": reserved.submissions,
            "open_for_s": round(reserved.open_for_s, 3),
        }
    ).encode()


def _job_from_json(value: dict[str, Any]) -> Result[JobRequest, BadBody]:
    try:
        _check_unknown_keys(value, _JOB_KEYS, "the job")
        tasks = _tasks(value.get("tasks"))
        body = model.JobBody(_template(value.get("template")), tasks)
        return Success(JobRequest(body, _timeout_s(value.get("timeout_ms"))))
    except _Refused as refused:
        return Failure(BadBody(str(refused)))


def _reservation_from_json(
    value: dict[str, Any],
) -> Result[ReservationRequest, BadBody]:
    try:
        _check_unknown_keys(value, _RESERVATION_KEYS, "the reservation")
        count = value.get("count", 1)
        if type(count) is not int or count < 1:
            raise _Refused("count is no whole number above 0; give one")
    except _Refused as refused:
        return Failure(BadBody(str(refused)))
    key = value.get("key")
    if key is None:
        return Success(ReservationRequest(count, None))
    if count != 1:
        return Failure(BadBody("a key names one id; give it with count 1"))
    return parse_idempotency_key(str(key)).map(
        lambda key: ReservationRequest(count, key)
    )


def _check_unknown_keys(
    value: Mapping[str, Any], allowed: tuple[str, ...], owner: str
) -> None:
    unknown = next((key for key in value if key not in allowed), None)
    if unknown is None:
        return
    closest = difflib.get_close_matches(unknown, allowed, n=1)
    remedy = f"write {closest[0]!r}" if closest else "remove it"
    raise _Refused(
        f"{owner} has the unknown key {unknown[:60]!r}; {remedy}; "
        f"known are {', '.join(allowed)}"
    )


def _template(value: object) -> ids.TemplateName:
    if not isinstance(value, str) or not value:
        raise _Refused("template is missing or no string; name a template")
    return ids.TemplateName(value)


def _tasks(value: object) -> tuple[model.TaskSpec, ...]:
    if not isinstance(value, list):
        raise _Refused("tasks is missing or no list; give the tasks")
    if not 1 <= len(value) <= model.MAX_TASKS_PER_JOB:
        raise _Refused(
            f"the job has {len(value)} tasks; send 1 to "
            f"{model.MAX_TASKS_PER_JOB}"
        )
    return tuple(_task(index, task) for index, task in enumerate(value))


def _task(index: int, value: object) -> model.TaskSpec:
    declared_ms = None
    if isinstance(value, dict) and "payload" in value:
        _check_unknown_keys(value, _TASK_KEYS, f"task {index}")
        declared_ms = _declared_ms(index, value.get("declared_ms"))
        value = value["payload"]
    return model.TaskSpec(_payload(index, value), declared_ms)


def _payload(index: int, value: object) -> bytes:
    """Returns a canonical encoding, so that resubmitted jobs compare equal."""
    try:
        text = _encode(value)
    except ValueError as error:
        raise _Refused(
            f"the payload of task {index} has a number out of range; send it "
            "as a string"
        ) from error
    return text.encode()


def _declared_ms(index: int, value: object) -> float | None:
    if value is None:
        return None
    return _number(value, f"declared_ms of task {index}", MAX_DECLARED_MS)


def _timeout_s(value: object) -> float | None:
    if value is None:
        return None
    return _number(value, "timeout_ms", MAX_TIMEOUT_MS) / 1_000


def _number(value: object, name: str, maximum: int) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value <= maximum or math.isnan(value):  # type: ignore[operator, arg-type]
        raise _Refused(f"{name} is no number above 0, at most {maximum}")
    return float(value)  # type: ignore[arg-type]


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON number")
