"""What a caller can do about each reason, and when to retry."""

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core.model import Outcome
from godwitnotch.core.model import Ran
from godwitnotch.core.model import Reason


class Remedy(msgspec.Struct, frozen=True):
    """What a caller can do about a reason.

    Attributes:
        text: The cause, and what the caller can do.
        retry_after_s: When to retry, in seconds from now; None if a retry
            can't help.
    """

    text: str
    retry_after_s: float | None = None


_REMEDIES: dict[Reason, Remedy] = {
    Reason.BAD_REQUEST: Remedy(
        "the request is malformed; correct it and send it again"
    ),
    Reason.UNAUTHORIZED: Remedy(
        "the token is not that of the workspace; send the right one"
    ),
    Reason.INVALID_ID: Remedy(
        "the id was not issued to this workspace; reserve one and submit the "
        "job under it"
    ),
    Reason.BODY_MISMATCH: Remedy(
        "this id or key was used for another body, whose job is unaffected; "
        "use a new one for a new job"
    ),
    Reason.NO_TEMPLATE: Remedy(
        "the workspace has no such template; ask an operator to add it"
    ),
    Reason.NO_UPSTREAM: Remedy(
        "no live upstream may serve the template; come back later", 1.0
    ),
    Reason.NO_CONFIGURATION: Remedy(
        "this host has no configuration yet; come back, or use another", 1.0
    ),
    Reason.QUOTA_EXCEEDED: Remedy(
        "the workspace's quota is used up; come back when jobs have ended",
        1.0,
    ),
    Reason.QUEUE_FULL: Remedy("the queue is full; come back later", 1.0),
    Reason.DEADLINE_UNREACHABLE: Remedy(
        "the present queue leaves no time for the job; come back later, or "
        "allow more time",
        1.0,
    ),
    Reason.DEADLINE_BEFORE_START: Remedy(
        "the deadline passed before a task started; submit again with more "
        "time",
        1.0,
    ),
    Reason.DRAINING: Remedy(
        "this host is shutting down; submit to another host", 0.0
    ),
    Reason.STORE_UNAVAILABLE: Remedy(
        "the table service can't bind the key now; come back with the same "
        "key, or use a reserved id without a key",
        1.0,
    ),
    Reason.KEY_PENDING: Remedy(
        "binding the key took longer than the caller's deadline; come back "
        "with the same key",
        1.0,
    ),
    Reason.RESERVATION_EXPIRED: Remedy(
        "the reservation expired unused; reserve a new id"
    ),
    Reason.OWNER_SEALED: Remedy(
        "the host of this id shut down cleanly without starting it; reserve "
        "a new id"
    ),
    Reason.CANCELLED_BEFORE_START: Remedy(
        "the job was cancelled before a task started; use a new id to run it"
    ),
    Reason.CANCELLED: Remedy("the job was cancelled after tasks had started"),
    Reason.DEADLINE_EXCEEDED: Remedy(
        "the deadline passed with tasks unfinished; check what they did "
        "before running the work again"
    ),
    Reason.TASK_FAILED: Remedy(
        "an upstream reported that a task failed; see its message"
    ),
    Reason.UPSTREAM_BROKE_OFF: Remedy(
        "an upstream broke the connection after the task was sent; check "
        "what it did before running the work again"
    ),
    Reason.UPSTREAM_TIMEOUT: Remedy(
        "an upstream did not answer in time; check what it did before "
        "running the work again"
    ),
    Reason.UPSTREAM_BAD_ANSWER: Remedy(
        "an upstream's answer was not that of the task; tell its operators"
    ),
    Reason.ANSWER_TOO_LARGE: Remedy(
        "an answer exceeds the template's limit; ask an operator to raise it"
    ),
    Reason.RETRIES_EXHAUSTED: Remedy(
        "upstreams refused a task too often; come back later", 1.0
    ),
    Reason.SHUTDOWN_CUT: Remedy(
        "the host stopped before the job's tasks had ended; check what they "
        "did before running the work again"
    ),
    Reason.ANSWER_NOT_KEPT: Remedy(
        "tasks of this id ran, but the answer is no longer kept; check what "
        "they did before running the work again"
    ),
    Reason.OWNER_UNREACHABLE: Remedy(
        "the host of this id can't be reached, so its tasks may have run; "
        "ask again under the same id",
        2.0,
    ),
    Reason.OWNER_GONE: Remedy(
        "the host of this id is gone and recorded no outcome, so its tasks "
        "may have run; check what they did before running the work again"
    ),
}


def remedy(reason: Reason) -> Remedy:
    """Returns the remedy of a reason."""
    return _REMEDIES[reason]


def answer(
    submission: ids.SubmissionId,
    outcome: Outcome,
    reason: Reason,
    *,
    ran: Ran,
    detail: str = "",
    retry_after_s: float | None = None,
) -> model.JobAnswer:
    """Returns an answer with the remedy of its reason.

    Args:
        submission: The submission id; empty if none was assigned.
        outcome: Status of the submission.
        reason: Why the job was refused or failed, or why its status is
            unknown.
        ran: Whether tasks have started.
        detail: Text to put before the remedy.
        retry_after_s: Replaces the `retry_after_s` of the remedy if given.
    """
    reason_remedy = _REMEDIES[reason]
    text = f"{detail}; {reason_remedy.text}" if detail else reason_remedy.text
    if retry_after_s is None:
        retry_after_s = reason_remedy.retry_after_s
    return model.JobAnswer(
        submission, outcome, ran, reason, text, (), retry_after_s
    )


def refusal(
    submission: ids.SubmissionId,
    reason: Reason,
    *,
    detail: str = "",
    retry_after_s: float | None = None,
) -> model.JobAnswer:
    """Returns a refusal, which states that no task has started."""
    return answer(
        submission,
        Outcome.REFUSED,
        reason,
        ran=Ran.NOTHING,
        detail=detail,
        retry_after_s=retry_after_s,
    )


def unknown(
    submission: ids.SubmissionId, reason: Reason, *, ran: Ran = Ran.POSSIBLY
) -> model.JobAnswer:
    """Returns the answer that the status of a submission is unknown."""
    return answer(submission, Outcome.UNKNOWN, reason, ran=ran)
