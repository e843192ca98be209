"""Jobs that are submitted under an idempotency key, such as an order number.

The key is first bound to a submission id in the store. The job is then
submitted under that id, so all hosts use the same id for the key.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from godwitnotch.core import answer_once
from godwitnotch.core import bindings
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import records
from godwitnotch.core import remedies
from godwitnotch.core import timers as timers_module
from godwitnotch.core.jobs import SubmitCall
from godwitnotch.core.model import Outcome
from godwitnotch.core.model import Ran
from godwitnotch.core.model import Reason

NO_SUBMISSION_ID = ids.SubmissionId("")
RESERVE_TIMEOUT_S = 2.0

# A job refused for one of these reasons never ran and can never run under its
# id, so its key may be bound to a new id.
_PERMANENTLY_CLOSED = frozenset(
    {Reason.RESERVATION_EXPIRED, Reason.OWNER_SEALED}
)


class ReserveIds(Protocol):
    """Reserves submission ids that this process owns."""

    def __call__(
        self, workspace: ids.WorkspaceId, count: int, *, now: float
    ) -> tuple[ids.SubmissionId, ...]:
        """Returns new submission ids for a workspace."""


class Submit(Protocol):
    """Runs a job under an id, or waits for the job that has the id."""

    def __call__(
        self, call: SubmitCall, submission: ids.SubmissionId, *, now: float
    ) -> None:
        """Submits a job; `call.on_answer` is called once."""


AdmissionRefusal = Callable[
    [SubmitCall, ids.SubmissionId, float], model.JobAnswer | None
]


class KeyedJobs:
    """Binds idempotency keys and submits the jobs under the bound ids.

    Args:
        binder: Binds keys in the store.
        timers: Schedules callbacks at the deadlines of calls.
        reserve_ids: Reserves submission ids.
        submit: Submits a job under an id.
        admission_refusal: Returns the refusal of a job that can't be admitted
            now; None if it can be.
    """

    def __init__(
        self,
        *,
        binder: bindings.KeyBinder,
        timers: timers_module.Timers,
        reserve_ids: ReserveIds,
        submit: Submit,
        admission_refusal: AdmissionRefusal,
    ) -> None:
        self._binder = binder
        self._timers = timers
        self._reserve_ids = reserve_ids
        self._submit = submit
        self._admission_refusal = admission_refusal

    def submit(
        self, call: SubmitCall, key: ids.IdempotencyKey, *, now: float
    ) -> None:
        """Runs a job under the id that its idempotency key is bound to."""
        row_key = records.binding_key(call.workspace, key)
        cached = self._binder.cached(row_key)
        if cached is not None:
            self._submit_bound(call, row_key, cached, now)
            return
        refusal = self._admission_refusal(call, NO_SUBMISSION_ID, now)
        if refusal is not None:
            self._refuse_unless_bound(call, row_key, refusal, now)
            return
        request = self._bind_request(call, row_key, now)

        def on_bound(result: bindings.BindResult, now: float) -> None:
            if isinstance(result, bindings.BindingUnavailable):
                call.on_answer(_unknown_answer(result), now)
            else:
                self._submit_bound(call, row_key, result, now)

        self._binder.bind(request, on_bound, now=now)

    def _refuse_unless_bound(
        self,
        call: SubmitCall,
        row_key: str,
        refusal: model.JobAnswer,
        now: float,
    ) -> None:
        """Refuses a job unless a host has already bound its key.

        If the key is bound, the job may have run, so it is submitted under
        the id of the binding.
        """
        timeout_answer = _unknown_answer(
            bindings.BindingUnavailable(Reason.KEY_PENDING, 1.0)
        )
        on_answer = answer_once.with_deadline(
            call.deadline,
            call.on_answer,
            timeout_answer=timeout_answer,
            timers=self._timers,
        )
        call = msgspec.structs.replace(call, on_answer=on_answer)

        def on_found(result: bindings.FindResult, now: float) -> None:
            if isinstance(result, bindings.BindingUnavailable):
                on_answer(_unknown_answer(result), now)
            elif result is None:
                on_answer(refusal, now)
            else:
                self._submit_bound(call, row_key, result, now)

        self._binder.find(row_key, on_found, now=now)

    def reserve(
        self,
        workspace: ids.WorkspaceId,
        key: ids.IdempotencyKey,
        on_bound: Callable[[bindings.BindResult, float], None],
        *,
        now: float,
    ) -> None:
        """Binds a key to a new id, or finds the id that it is bound to.

        Args:
            workspace: The caller's workspace.
            key: The caller's idempotency key.
            on_bound: Called with the binding, or with the reason why the key
                can't be bound.
            now: The current time.
        """
        row_key = records.binding_key(workspace, key)
        request = bindings.BindRequest(
            row_key,
            self._reserve_ids(workspace, 1, now=now)[0],
            b"",
            now + RESERVE_TIMEOUT_S,
        )
        self._binder.bind(request, on_bound, now=now)

    def _submit_bound(
        self,
        call: SubmitCall,
        row_key: str,
        binding: records.Binding,
        now: float,
    ) -> None:
        """Submits a job under the id to which its key is bound."""
        digest = call.body.digest()
        if binding.digest not in (digest, b""):
            refusal = remedies.refusal(binding.submission, Reason.BODY_MISMATCH)
            call.on_answer(refusal, now)
            return

        def on_answer(answer: model.JobAnswer, now: float) -> None:
            if answer.reason in _PERMANENTLY_CLOSED:
                self._rebind(call, row_key, binding, now)
            else:
                call.on_answer(answer, now)

        self._submit(
            msgspec.structs.replace(call, on_answer=on_answer),
            binding.submission,
            now=now,
        )

    def _rebind(
        self,
        call: SubmitCall,
        row_key: str,
        old_binding: records.Binding,
        now: float,
    ) -> None:
        """Binds a key to a new id and submits the job under that id."""

        def on_bound(result: bindings.BindResult, now: float) -> None:
            if isinstance(result, bindings.BindingUnavailable):
                call.on_answer(_unknown_answer(result), now)
            elif result.digest not in (call.body.digest(), b""):
                refusal = remedies.refusal(
                    result.submission, Reason.BODY_MISMATCH
                )
                call.on_answer(refusal, now)
            else:
                self._submit(call, result.submission, now=now)

        request = self._bind_request(call, row_key, now)
        self._binder.rebind(old_binding, request, on_bound, now=now)

    def _bind_request(
        self, call: SubmitCall, row_key: str, now: float
    ) -> bindings.BindRequest:
        return bindings.BindRequest(
            row_key,
            self._reserve_ids(call.workspace, 1, now=now)[0],
            call.body.digest(),
            call.deadline,
        )


def _unknown_answer(result: bindings.BindingUnavailable) -> model.JobAnswer:
    return remedies.answer(
        NO_SUBMISSION_ID,
        Outcome.UNKNOWN,
        result.reason,
        ran=Ran.POSSIBLY,
        detail="this call started nothing; an earlier one with the same key "
        "may have, at another host",
        retry_after_s=result.retry_after_s,
    )
