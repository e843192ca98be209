"""Callbacks that get exactly one answer, by a deadline."""

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
    """Returns a callback that passes on only the first answer.

    Args:
        deadline: When `timeout_answer` is passed on if no answer has
            arrived.
        on_answer: Called once with the answer.
        timeout_answer: The answer to give at the deadline.
        timers: Schedules the callback at the deadline.
    """
    pending = [on_answer]

    def deliver(answer: model.JobAnswer, now: float) -> None:
        if pending:
            timer.cancel()
            pending.pop()(answer, now)

    timer = timers.call_at(deadline, lambda now: deliver(timeout_answer, now))
    return deliver
