"""Answers that are given once, by a deadline at the latest."""

from godwitnotch.core import model
from godwitnotch.core import timers as timers_module
from godwitnotch.core.jobs import Answered


def by(
    deadline: float,
    answered: Answered,
    *,
    late: model.JobAnswer,
    timers: timers_module.Timers,
) -> Answered:
    """Returns a callback that hands on the first answer only.

    Args:
        deadline: When to answer if nothing else has.
        answered: Takes the answer.
        late: The answer at the deadline.
        timers: Where the deadline is kept.
    """
    pending = [answered]

    def once(answer: model.JobAnswer, now: float) -> None:
        if pending:
            timer.cancel()
            pending.pop()(answer, now)

    timer = timers.at(deadline, lambda now: once(late, now))
    return once
