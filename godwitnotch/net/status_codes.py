"""HTTP status codes of answers about jobs."""

from collections.abc import Callable

from godwitnotch.core import model
from godwitnotch.core.model import Outcome
from godwitnotch.core.model import Reason

StatusCodeRule = Callable[[model.JobAnswer], int]
_RULES: dict[Outcome, StatusCodeRule] = {}

# Status codes of refusals, by reason. Reasons that are not listed give 503, so
# that the caller retries later; a retry is safe, since a refusal means that
# nothing ran.
_REFUSAL_CODES = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.INVALID_ID: 404,
    Reason.NO_TEMPLATE: 404,
    Reason.BODY_MISMATCH: 409,
    Reason.RESERVATION_EXPIRED: 410,
    Reason.OWNER_SEALED: 410,
    Reason.CANCELLED_BEFORE_START: 410,
    Reason.QUOTA_EXCEEDED: 429,
}
_DEFAULT_REFUSAL_CODE = 503
_UPSTREAM_FAILURES = frozenset(
    {
        Reason.TASK_FAILED,
        Reason.UPSTREAM_BROKE_OFF,
        Reason.UPSTREAM_TIMEOUT,
        Reason.UPSTREAM_BAD_ANSWER,
        Reason.ANSWER_TOO_LARGE,
    }
)
# Reasons for which a status or cancel request itself is refused. A refusal for
# any other reason describes the job that the request names.
_QUERY_REFUSALS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.UNAUTHORIZED,
        Reason.INVALID_ID,
        Reason.NO_CONFIGURATION,
        Reason.DRAINING,
        Reason.STORE_UNAVAILABLE,
    }
)


def of_job(answer: model.JobAnswer) -> int:
    """Returns the code of the answer to a submission."""
    return _RULES[answer.outcome](answer)


def of_query(answer: model.JobAnswer) -> int:
    """Returns the code of the answer to a status or cancel request.

    The body describes the job; the code only tells whether its state is known.
    """
    if answer.outcome is Outcome.UNKNOWN:
        return of_job(answer)
    refused = answer.outcome is Outcome.REFUSED
    if refused and answer.reason in _QUERY_REFUSALS:
        return of_job(answer)
    return 200


def _rule(*outcomes: Outcome) -> Callable[[StatusCodeRule], StatusCodeRule]:
    def register(rule: StatusCodeRule) -> StatusCodeRule:
        for outcome in outcomes:
            _RULES[outcome] = rule
        return rule

    return register


@_rule(Outcome.COMPLETE, Outcome.RESERVED)
def _ok(answer: model.JobAnswer) -> int:
    return 200


@_rule(Outcome.RUNNING)
def _running(answer: model.JobAnswer) -> int:
    return 202


@_rule(Outcome.REFUSED)
def _refused(answer: model.JobAnswer) -> int:
    if answer.reason is None:
        return _DEFAULT_REFUSAL_CODE
    return _REFUSAL_CODES.get(answer.reason, _DEFAULT_REFUSAL_CODE)


@_rule(Outcome.FAILED)
def _failed(answer: model.JobAnswer) -> int:
    return 502 if answer.reason in _UPSTREAM_FAILURES else 500


@_rule(Outcome.UNKNOWN)
def _unknown(answer: model.JobAnswer) -> int:
    return 504
