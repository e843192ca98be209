"""Answers that the runtime gives in place of those of the host core."""

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import remedies
from godwitnotch.net import runtime_port


def answer_too_large(answer: model.JobAnswer) -> model.JobAnswer:
    """Returns the answer for a job whose own answer is too large for a link."""
    return remedies.answer(
        answer.submission,
        model.Outcome.UNKNOWN,
        model.Reason.ANSWER_TOO_LARGE,
        ran=answer.ran,
        detail="hosts pass on no answer of this size; ask the host that "
        "issued the id",
    )


def job_too_large(submission: ids.SubmissionId) -> model.JobAnswer:
    """Returns the answer for a job that is too large to forward over a link."""
    return remedies.answer(
        submission,
        model.Outcome.UNKNOWN,
        model.Reason.OWNER_UNREACHABLE,
        ran=model.Ran.POSSIBLY,
        detail="hosts pass on no job of this size; submit it at the host that "
        "issued the id, or in parts",
    )


def fallback_answer(
    event: events.Event, call: ids.CallId
) -> runtime_port.Answer:
    """Returns the answer to a call after the host core failed or timed out."""
    if isinstance(event, events.ConfigPutAsked):
        return actions.ReplyConfig(
            call,
            recorded=None,
            current=None,
            lagging=(),
            detail="this host failed to answer; read the settings to see "
            "whether the change was recorded",
        )
    if isinstance(event, events.ReserveAsked):
        return actions.Reply(
            call,
            model.JobAnswer(
                ids.SubmissionId(""),
                model.Outcome.REFUSED,
                model.Ran.NOTHING,
                model.Reason.STORE_UNAVAILABLE,
                "this host failed to answer; reserve again",
                retry_after_s=1.0,
            ),
        )
    return actions.Reply(
        call,
        model.JobAnswer(
            getattr(event, "submission", ids.SubmissionId("")),
            model.Outcome.UNKNOWN,
            model.Ran.POSSIBLY,
            model.Reason.OWNER_UNREACHABLE,
            "this host failed to answer; send the job again under the same "
            "id or key, or ask for its status",
            retry_after_s=1.0,
        ),
    )
