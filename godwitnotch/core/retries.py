"""Decides which attempts may be retried: those that provably didn't start.

Once the first byte of a request has been passed to the kernel, the task may
run even if the connection breaks, the request times out or no response comes.
Such a task is never sent again, whether it is idempotent or not.
"""

import enum
from collections.abc import Callable

from godwitnotch.core import model


class Verdict(enum.Enum):
    """What the outcome of an attempt proves about its task."""

    ANSWERED = "answered"
    NOT_STARTED = "not_started"
    STARTED = "started"
    MAY_HAVE_STARTED = "may_have_started"


Rule = Callable[[], Verdict]
_RULES: dict[model.AttemptOutcome, Rule] = {}


def verdict(outcome: model.AttemptOutcome) -> Verdict:
    """Returns what an outcome proves.

    An outcome without a rule proves nothing: the task may have started.
    """
    rule = _RULES.get(outcome)
    return rule() if rule else Verdict.MAY_HAVE_STARTED


def rule_for(
    *outcomes: model.AttemptOutcome,
) -> Callable[[Rule], Rule]:
    """Registers a rule for the given outcomes."""

    def register(rule: Rule) -> Rule:
        for outcome in outcomes:
            _RULES[outcome] = rule
        return rule

    return register


@rule_for(model.AttemptOutcome.ANSWERED)
def _answered() -> Verdict:
    return Verdict.ANSWERED


@rule_for(
    model.AttemptOutcome.CONNECT_REFUSED,
    model.AttemptOutcome.NOTHING_SENT,
    model.AttemptOutcome.REFUSED_FULL,
    model.AttemptOutcome.REFUSED_LEAVING,
)
def _not_started() -> Verdict:
    return Verdict.NOT_STARTED


@rule_for(
    model.AttemptOutcome.TASK_FAILED,
    model.AttemptOutcome.BAD_ANSWER,
    model.AttemptOutcome.ANSWER_TOO_LARGE,
)
def _started() -> Verdict:
    return Verdict.STARTED
