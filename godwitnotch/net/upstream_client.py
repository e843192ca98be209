"""Sends tasks to upstreams; docs/design/upstream-protocol.md is the protocol.

Every way in which an exchange can end maps to one `AttemptOutcome`.
"""

import json
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NoReturn

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import http_client
from godwitnotch.net import http_types

SUBMISSION_HEADER = "submission-id"
TASK_HEADER = "task-index"
NOT_STARTED_HEADER = "not-started"
RETRY_AFTER_HEADER = "retry-after"

_OK = 200
_UNAVAILABLE = 503
_NOT_STARTED = {
    "full": model.AttemptOutcome.REFUSED_FULL,
    "leaving": model.AttemptOutcome.REFUSED_LEAVING,
}
_AFTER_SENT = {
    http_client.Cause.CONNECT_FAILED: model.AttemptOutcome.CONNECT_REFUSED,
    http_client.Cause.TIMED_OUT: model.AttemptOutcome.TIMED_OUT,
    http_client.Cause.CLOSED: model.AttemptOutcome.BROKE_OFF,
    http_client.Cause.MALFORMED: model.AttemptOutcome.BAD_ANSWER,
    http_client.Cause.TOO_LARGE: model.AttemptOutcome.ANSWER_TOO_LARGE,
}
_BEFORE_SENT = {
    http_client.Progress.CONNECT_REFUSED: model.AttemptOutcome.CONNECT_REFUSED,
    http_client.Progress.NOTHING_SENT: model.AttemptOutcome.NOTHING_SENT,
}


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


class UpstreamClient:
    """Sends each task once and tells how the attempt ended.

    Args:
        client: The HTTP client whose pools are used.
    """

    def __init__(self, client: http_client.HttpClient | None = None) -> None:
        self._client = client or http_client.HttpClient()
        self._addresses: set[str] = set()

    def upstreams_seen(self, upstreams: Iterable[model.UpstreamEntry]) -> None:
        """Applies the connections that the platform's list allows."""
        listed = set()
        for entry in upstreams:
            listed.add(entry.address)
            self._client.limit(entry.address, entry.connections)
        in_use = {
            address
            for address in self._addresses - listed
            if not self._client.forget(address)
        }
        self._addresses = listed | in_use

    async def send(self, action: actions.StartAttempt) -> events.AttemptEnded:
        """Sends one task; cancelling this closes its connection."""
        try:
            response = await self._client.request(
                action.address,
                _request(action),
                deadline=action.deadline,
                max_body_bytes=action.max_answer_bytes,
            )
        except http_client.ExchangeError as error:
            return events.AttemptEnded(action.attempt, _outcome(error))
        return _ended(action, response)

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._client.close()


def _request(action: actions.StartAttempt) -> http_types.HttpRequest:
    headers = {
        SUBMISSION_HEADER: action.submission,
        TASK_HEADER: str(action.task_index),
        "content-type": "application/json",
    }
    return http_types.HttpRequest(
        "POST", action.path, headers=headers, body=action.payload
    )


def _outcome(error: http_client.ExchangeError) -> model.AttemptOutcome:
    if error.progress is http_client.Progress.SENT:
        return _AFTER_SENT[error.cause]
    return _BEFORE_SENT[error.progress]


def _ended(
    action: actions.StartAttempt, response: http_types.HttpResponse
) -> events.AttemptEnded:
    if response.status == _OK:
        return _answered(action, response)
    refusal = response.headers.get(NOT_STARTED_HEADER, "")
    if response.status == _UNAVAILABLE and refusal in _NOT_STARTED:
        return events.AttemptEnded(
            action.attempt,
            _NOT_STARTED[refusal],
            retry_after_s=_seconds(response.headers),
        )
    return events.AttemptEnded(
        action.attempt, model.AttemptOutcome.TASK_FAILED, response.body
    )


def _answered(
    action: actions.StartAttempt, response: http_types.HttpResponse
) -> events.AttemptEnded:
    submission = response.headers.get(SUBMISSION_HEADER)
    index = _parsed(int, response.headers.get(TASK_HEADER, ""))
    echoed = submission == action.submission and index == action.task_index
    outcome = model.AttemptOutcome.BAD_ANSWER
    if echoed and _is_json(response.body):
        outcome = model.AttemptOutcome.ANSWERED
    return events.AttemptEnded(
        action.attempt,
        outcome,
        response.body,
        None if submission is None else ids.SubmissionId(submission),
        None if index is None else int(index),
    )


def _is_json(body: bytes) -> bool:
    try:
        _DECODER.decode(body.decode())
    except (ValueError, RecursionError):
        return False
    return True


def _seconds(headers: Mapping[str, str]) -> float | None:
    seconds = _parsed(float, headers.get(RETRY_AFTER_HEADER, ""))
    if seconds is None or not 0 <= seconds < float("inf"):
        return None
    return seconds


def _parsed(kind: Callable[[str], float], text: str) -> float | None:
    try:
        return kind(text)
    except ValueError:
        return None
