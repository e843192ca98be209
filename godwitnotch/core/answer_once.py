"""Answers that are given once, by a deadline at the latest."""

from godwitnotch.core import model
from godwitnotch.core import timers as timers_module
from godwitnotch.core.jobs import AnswerCallback


def with_deadline(
    deadline: float,
    on_answer: AnswerCallback,
    *,
    timeout_answer: model.JobAnswer,
    timers: timers_module.Timers,
) -> AnswerCallback:
    """Returns a callback that hands on the first answer only.

    Args:
        deadline: When to answer if nothing else has.
        on_answer: Takes the answer.
        timeout_answer: The answer at the deadline.
        timers: Where the deadline is kept.
    """
    pending = [on_answer]

    def deliver(answer: model.JobAnswer, now: float) -> None:
        if pending:
            timer.cancel()
            pending.pop()(answer, now)

    timer = timers.call_at(deadline, lambda now: deliver(timeout_answer, now))
    return deliver
