"""Forwards calls to the owner of an id, or answers from recorded outcomes."""

import itertools

import msgspec

from godwitnotch.core import actions
from godwitnotch.core import answer_once
from godwitnotch.core import ids
from godwitnotch.core import membership as membership_module
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import outbox
from godwitnotch.core import outcomes as outcomes_module
from godwitnotch.core import records
from godwitnotch.core import remedies
from godwitnotch.core import timers as timers_module
from godwitnotch.core.jobs import AnswerCallback
from godwitnotch.core.model import Outcome
from godwitnotch.core.model import Ran
from godwitnotch.core.model import Reason

ForwardMessage = (
    messages.ForwardSubmit | messages.ForwardStatus | messages.ForwardCancel
)


class OwnerCall(msgspec.Struct, frozen=True):
    """A call about an id that another process owns.

    Attributes:
        owner: The owner that the id names.
        message: The message to the owner.
        digest: Digest of the job's body if the call submits a job.
        deadline: When the caller is answered even if the owner has not
            replied.
        on_answer: Called once with the answer.
    """

    owner: ids.SubmissionOwner
    message: ForwardMessage
    digest: bytes | None
    deadline: float
    on_answer: AnswerCallback


class OwnerCalls:
    """Forwards calls directly to the owners of ids.

    If the owner can't be reached, the call is answered from the outcomes that
    the owner has recorded in the store.
    """

    def __init__(
        self,
        *,
        identity: model.HostEntry,
        membership: membership_module.Membership,
        reader: outcomes_module.OutcomeReader,
        timers: timers_module.Timers,
        out: outbox.Outbox,
    ) -> None:
        self._identity = identity
        self._membership = membership
        self._reader = reader
        self._timers = timers
        self._out = out
        self._forwards: dict[ids.CallId, _ForwardedCall] = {}
        self._call_numbers = itertools.count(1)

    @property
    def count(self) -> int:
        """Number of forwarded calls without a reply."""
        return len(self._forwards)

    def next_call_id(self) -> ids.CallId:
        """Returns a new call id."""
        return ids.CallId(next(self._call_numbers))

    def forward(self, owner_call: OwnerCall, *, now: float) -> None:
        """Forwards a call to the owner, or looks up its recorded outcome."""
        owner = owner_call.owner
        message = owner_call.message
        on_answer = answer_once.with_deadline(
            owner_call.deadline,
            owner_call.on_answer,
            timeout_answer=remedies.unknown(
                message.submission, Reason.OWNER_UNREACHABLE
            ),
            timers=self._timers,
        )
        linked = self._membership.linked_entry(owner.host)
        if linked is None or linked.incarnation != owner.incarnation:
            self._look_up(
                owner, message.submission, owner_call.digest, on_answer, now
            )
            return
        timer = self._timers.call_at(
            owner_call.deadline, lambda _: self._remove_forward(message.call)
        )
        self._forwards[message.call] = _ForwardedCall(
            owner.host,
            owner,
            message.submission,
            owner_call.digest,
            on_answer,
            timer,
        )
        self._out.add(actions.SendPeer(owner.host, message))
        self._out.note(
            "forwarded",
            submission=message.submission,
            detail=f"owner={owner.host}",
        )

    def peer_replied(
        self, host: ids.HostId, reply: messages.ForwardReply, *, now: float
    ) -> None:
        """Handles an owner's reply; drops a reply that matches no open call."""
        forward = self._forwards.get(reply.call)
        if forward is None or forward.host != host:
            return
        if reply.answer.submission != forward.submission:
            self._out.note(
                "forward_reply_crossed", submission=forward.submission
            )
            return
        self._remove_forward(reply.call)
        forward.on_answer(reply.answer, now)

    def peer_down(self, host: ids.HostId, *, now: float) -> None:
        """Answers the calls forwarded to a peer from its recorded outcomes."""
        unanswered = [
            (call, forward)
            for call, forward in self._forwards.items()
            if forward.host == host
        ]
        for call, forward in unanswered:
            self._remove_forward(call)
            self._look_up(
                forward.owner,
                forward.submission,
                forward.digest,
                forward.on_answer,
                now,
            )

    def _remove_forward(self, call: ids.CallId) -> None:
        self._forwards.pop(call).timer.cancel()

    def _look_up(
        self,
        owner: ids.SubmissionOwner,
        submission: ids.SubmissionId,
        digest: bytes | None,
        on_answer: AnswerCallback,
        now: float,
    ) -> None:
        """Answers a call from the outcome that the owner has recorded."""

        def on_found(
            recorded: outcomes_module.LookupResult, now: float
        ) -> None:
            owner_gone = self._is_gone(owner)
            on_answer(
                _recorded_answer(submission, digest, recorded, owner_gone), now
            )

        self._reader.find(owner, submission, on_found, now=now)

    def _is_gone(self, owner: ids.SubmissionOwner) -> bool:
        """Returns whether the owner's process is known to have ended."""
        if owner.host == self._identity.host:
            # Calls to this process aren't forwarded: an earlier process owns
            # the id.
            return True
        current = self._membership.current_incarnation(owner.host)
        return current is not None and current != owner.incarnation


class _ForwardedCall(msgspec.Struct, frozen=True):
    """A call that waits for the owner's reply."""

    host: ids.HostId
    owner: ids.SubmissionOwner
    submission: ids.SubmissionId
    digest: bytes | None
    on_answer: AnswerCallback
    timer: timers_module.Timer


def answer_if_same_body(
    outcome: records.JobOutcome, digest: bytes | None
) -> model.JobAnswer:
    """Returns the answer of an outcome, or a refusal if the bodies differ.

    Args:
        outcome: The outcome.
        digest: Digest of the caller's body; None if the caller sent no body.

    Returns:
        The answer, or a refusal if the bodies differ.
    """
    if digest is None or digest == outcome.digest:
        return outcome.answer
    return remedies.refusal(outcome.answer.submission, Reason.BODY_MISMATCH)


def _recorded_answer(
    submission: ids.SubmissionId,
    digest: bytes | None,
    recorded: outcomes_module.LookupResult,
    owner_gone: bool,
) -> model.JobAnswer:
    """Returns the answer about an id whose owner can't be reached.

    Args:
        submission: The id.
        digest: Digest of the caller's body; None if the caller sent no body.
        recorded: What the store knows about the id.
        owner_gone: Whether the owner's process is known to have ended.
    """
    if recorded.outcome is not None:
        answer = answer_if_same_body(recorded.outcome, digest)
        if answer.outcome is Outcome.COMPLETE and not answer.results:
            return remedies.unknown(
                submission, Reason.ANSWER_NOT_KEPT, ran=Ran.SOMETHING
            )
        return answer
    if recorded.missing_proves_not_started:
        return remedies.refusal(submission, Reason.OWNER_SEALED)
    if owner_gone and recorded.store_available:
        return remedies.unknown(submission, Reason.OWNER_GONE)
    return remedies.unknown(submission, Reason.OWNER_UNREACHABLE)
