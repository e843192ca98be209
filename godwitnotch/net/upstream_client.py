"""Sends tasks to upstreams and maps each result to an `AttemptOutcome`.

The protocol is described in docs/design/upstream-protocol.md.
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
from godwitnotch.net import http_connection
from godwitnotch.net import http_types

SUBMISSION_HEADER = "submission-id"
TASK_HEADER = "task-index"
NOT_STARTED_HEADER = "not-started"
RETRY_AFTER_HEADER = "retry-after"

_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503
_NOT_STARTED_OUTCOMES = {
    "full": model.AttemptOutcome.REFUSED_FULL,
    "leaving": model.AttemptOutcome.REFUSED_LEAVING,
}
# CONNECT_FAILED can't occur after a byte was sent; it is listed so that every
# cause has an entry.
_OUTCOMES_AFTER_SEND = {
    http_connection.Cause.CONNECT_FAILED: model.AttemptOutcome.CONNECT_REFUSED,
    http_connection.Cause.TIMED_OUT: model.AttemptOutcome.TIMED_OUT,
    http_connection.Cause.CLOSED: model.AttemptOutcome.BROKE_OFF,
    http_connection.Cause.MALFORMED: model.AttemptOutcome.BAD_ANSWER,
    http_connection.Cause.TOO_LARGE: model.AttemptOutcome.ANSWER_TOO_LARGE,
}
_OUTCOMES_BEFORE_SEND = {
    http_connection.Progress.CONNECT_REFUSED: model.AttemptOutcome.CONNECT_REFUSED,
    http_connection.Progress.NOTHING_SENT: model.AttemptOutcome.NOTHING_SENT,
}


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


class UpstreamClient:
    """Sends each task once and returns the outcome of the attempt.

    Args:
        client: HTTP client to use; a new one if None.
    """

    def __init__(self, client: http_client.HttpClient | None = None) -> None:
        self._client = client or http_client.HttpClient()
        self._addresses: set[str] = set()

    def update_upstreams(
        self, upstreams: Iterable[model.UpstreamEntry]
    ) -> None:
        """Applies the connection limits of a new list of upstreams."""
        listed_addresses = set()
        for entry in upstreams:
            listed_addresses.add(entry.address)
            self._client.set_max_connections(entry.address, entry.connections)
        still_in_use = {
            address
            for address in self._addresses - listed_addresses
            if not self._client.remove_pool(address)
        }
        self._addresses = listed_addresses | still_in_use

    async def send(self, action: actions.StartAttempt) -> events.AttemptEnded:
        """Sends one task; cancellation closes its connection."""
        try:
            response = await self._client.request(
                action.address,
                _request(action),
                deadline=action.deadline,
                max_body_bytes=action.max_answer_bytes,
            )
        except http_connection.ExchangeError as error:
            return events.AttemptEnded(action.attempt, _outcome_of_error(error))
        return _attempt_ended(action, response)

    async def close(self) -> None:
        """Closes all idle connections."""
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


def _outcome_of_error(
    error: http_connection.ExchangeError,
) -> model.AttemptOutcome:
    if error.progress is http_connection.Progress.SENT:
        return _OUTCOMES_AFTER_SEND[error.cause]
    return _OUTCOMES_BEFORE_SEND[error.progress]


def _attempt_ended(
    action: actions.StartAttempt, response: http_types.HttpResponse
) -> events.AttemptEnded:
    if response.status == _HTTP_OK:
        return _outcome_of_answer(action, response)
    not_started_reason = response.headers.get(NOT_STARTED_HEADER, "")
    if (
        response.status == _HTTP_UNAVAILABLE
        and not_started_reason in _NOT_STARTED_OUTCOMES
    ):
        return events.AttemptEnded(
            action.attempt,
            _NOT_STARTED_OUTCOMES[not_started_reason],
            retry_after_s=_retry_after_s(response.headers),
        )
    return events.AttemptEnded(
        action.attempt, model.AttemptOutcome.TASK_FAILED, response.body
    )


def _outcome_of_answer(
    action: actions.StartAttempt, response: http_types.HttpResponse
) -> events.AttemptEnded:
    submission = response.headers.get(SUBMISSION_HEADER)
    index = _parse_or_none(int, response.headers.get(TASK_HEADER, ""))
    ids_match = submission == action.submission and index == action.task_index
    outcome = model.AttemptOutcome.BAD_ANSWER
    if ids_match and _is_json(response.body):
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


def _retry_after_s(headers: Mapping[str, str]) -> float | None:
    seconds = _parse_or_none(float, headers.get(RETRY_AFTER_HEADER, ""))
    if seconds is None or not 0 <= seconds < float("inf"):
        return None
    return seconds


def _parse_or_none(
    number_type: Callable[[str], float], text: str
) -> float | None:
    try:
        return number_type(text)
    except ValueError:
        return None
