"""Jobs under a key of the caller's own, such as an order number.

A key is bound to a submission id before its job is submitted under that id.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from godwitnotch.core import answer_once
from godwitnotch.core import bindings
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import records
from godwitnotch.core import remedies
from godwitnotch.core import timers as timers_module
from godwitnotch.core.jobs import JobOrder
from godwitnotch.core.model import Outcome
from godwitnotch.core.model import Ran
from godwitnotch.core.model import Reason

NO_SUBMISSION = ids.SubmissionId("")
RESERVE_WAIT_S = 2.0

# An id refused for one of these never runs, so its key may be bound anew.
_CLOSED_FOR_GOOD = frozenset({Reason.RESERVATION_EXPIRED, Reason.OWNER_SEALED})


class Mint(Protocol):
    """Reserves ids that this process owns."""

    def __call__(
        self, workspace: ids.WorkspaceId, count: int, *, now: float
    ) -> tuple[ids.SubmissionId, ...]:
        """Returns fresh ids of a workspace."""


class Submit(Protocol):
    """Runs a job under an id, or joins the job that has the id."""

    def __call__(
        self, order: JobOrder, submission: ids.SubmissionId, *, now: float
    ) -> None:
        """Submits a job; its order is answered once."""


AdmissionRefusal = Callable[
    [JobOrder, ids.SubmissionId, float], model.JobAnswer | None
]


class KeyedJobs:
    """Binds callers' keys and submits their jobs.

    Args:
        binder: Binds keys in the table service.
        timers: Deadlines.
        mint: Reserves ids.
        submit: Submits a job under an id.
        admission_refusal: Returns why a job can't be taken now, if so.
    """

    def __init__(
        self,
        *,
        binder: bindings.KeyBinder,
        timers: timers_module.Timers,
        mint: Mint,
        submit: Submit,
        admission_refusal: AdmissionRefusal,
    ) -> None:
        self._binder = binder
        self._timers = timers
        self._mint = mint
        self._submit = submit
        self._admission_refusal = admission_refusal

    def submit(
        self, order: JobOrder, key: ids.CallerKey, *, now: float
    ) -> None:
        """Runs a job under the id that a caller key is bound to."""
        row_key = records.binding_key(order.workspace, key)
        known = self._binder.known(row_key)
        if known is not None:
            self._submit_bound(order, row_key, known, now)
            return
        refusal = self._admission_refusal(order, NO_SUBMISSION, now)
        if refusal is not None:
            self._refuse_unless_bound(order, row_key, refusal, now)
            return
        request = self._bind_request(order, row_key, now)

        def done(result: bindings.BindResult, now: float) -> None:
            if isinstance(result, bindings.NotBound):
                order.answered(_key_unsettled(result), now)
            else:
                self._submit_bound(order, row_key, result, now)

        self._binder.bind(request, done, now=now)

    def _refuse_unless_bound(
        self,
        order: JobOrder,
        row_key: str,
        refusal: model.JobAnswer,
        now: float,
    ) -> None:
        """Refuses a keyed job if the key's job didn't run elsewhere."""
        late = _key_unsettled(bindings.NotBound(Reason.KEY_PENDING, 1.0))
        answered = answer_once.by(
            order.deadline, order.answered, late=late, timers=self._timers
        )
        order = replace(order, answered=answered)

        def found(result: bindings.FindResult, now: float) -> None:
            if isinstance(result, bindings.NotBound):
                answered(_key_unsettled(result), now)
            elif result is None:
                answered(refusal, now)
            else:
                self._submit_bound(order, row_key, result, now)

        self._binder.find(row_key, found, now=now)

    def reserve(
        self,
        workspace: ids.WorkspaceId,
        key: ids.CallerKey,
        done: Callable[[bindings.BindResult, float], None],
        *,
        now: float,
    ) -> None:
        """Reserves the id that a caller key is bound to."""
        row_key = records.binding_key(workspace, key)
        request = bindings.BindRequest(
            row_key,
            self._mint(workspace, 1, now=now)[0],
            b"",
            now + RESERVE_WAIT_S,
        )
        self._binder.bind(request, done, now=now)

    def _submit_bound(
        self,
        order: JobOrder,
        row_key: str,
        binding: records.Binding,
        now: float,
    ) -> None:
        digest = order.body.digest()
        if binding.digest not in (digest, b""):
            refusal = remedies.refusal(binding.submission, Reason.BODY_MISMATCH)
            order.answered(refusal, now)
            return

        def answered(answer: model.JobAnswer, now: float) -> None:
            if answer.reason in _CLOSED_FOR_GOOD:
                self._bind_anew(order, row_key, binding, now)
            else:
                order.answered(answer, now)

        self._submit(
            replace(order, answered=answered), binding.submission, now=now
        )

    def _bind_anew(
        self,
        order: JobOrder,
        row_key: str,
        old: records.Binding,
        now: float,
    ) -> None:
        def done(result: bindings.BindResult, now: float) -> None:
            if isinstance(result, bindings.NotBound):
                order.answered(_key_unsettled(result), now)
            elif result.digest not in (order.body.digest(), b""):
                refusal = remedies.refusal(
                    result.submission, Reason.BODY_MISMATCH
                )
                order.answered(refusal, now)
            else:
                self._submit(order, result.submission, now=now)

        request = self._bind_request(order, row_key, now)
        self._binder.rebind(old, request, done, now=now)

    def _bind_request(
        self, order: JobOrder, row_key: str, now: float
    ) -> bindings.BindRequest:
        return bindings.BindRequest(
            row_key,
            self._mint(order.workspace, 1, now=now)[0],
            order.body.digest(),
            order.deadline,
        )


def _key_unsettled(result: bindings.NotBound) -> model.JobAnswer:
    return remedies.answer(
        NO_SUBMISSION,
        Outcome.UNKNOWN,
        result.reason,
        ran=Ran.POSSIBLY,
        detail="this call started nothing; an earlier one with the same key "
        "may have, at another host",
        retry_after_s=result.retry_after_s,
    )
