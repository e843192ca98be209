"""Asks the owner of an id, or tells what is known without it."""

import itertools
from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class OwnerRequest:
    """A call that the owner of an id has to answer.

    Attributes:
        owner: The owner that the id names.
        message: What to send to it.
        digest: Digest of the job's body, if one is submitted.
        deadline: When the caller is answered without the owner.
        on_answer: Called once with the answer.
    """

    owner: ids.SubmissionOwner
    message: ForwardMessage
    digest: bytes | None
    deadline: float
    on_answer: AnswerCallback


class OwnerCalls:
    """Calls that are forwarded to the owners of ids, one hop each."""

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
        """Calls that other hosts have not answered yet."""
        return len(self._forwards)

    def next_call(self) -> ids.CallId:
        """Returns a fresh number for a call."""
        return ids.CallId(next(self._call_numbers))

    def ask(self, request: OwnerRequest, *, now: float) -> None:
        """Forwards a call to the owner, or looks up what it recorded."""
        owner = request.owner
        message = request.message
        on_answer = answer_once.with_deadline(
            request.deadline,
            request.on_answer,
            timeout_answer=remedies.unknown(
                message.submission, Reason.OWNER_UNREACHABLE
            ),
            timers=self._timers,
        )
        linked = self._membership.linked_entry(owner.host)
        if linked is None or linked.incarnation != owner.incarnation:
            self._look_up(
                owner, message.submission, request.digest, on_answer, now
            )
            return
        timer = self._timers.call_at(
            request.deadline, lambda _: self._remove_forward(message.call)
        )
        self._forwards[message.call] = _ForwardedCall(
            owner.host,
            owner,
            message.submission,
            request.digest,
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
        """Takes an owner's answer; one to another question is dropped."""
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
        """Answers what can be known for calls that the peer won't answer."""
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
        def on_found(
            recorded: outcomes_module.LookupResult, now: float
        ) -> None:
            owner_gone = self._is_gone(owner)
            on_answer(
                _recorded_answer(submission, digest, recorded, owner_gone), now
            )

        self._reader.find(owner, submission, on_found, now=now)

    def _is_gone(self, owner: ids.SubmissionOwner) -> bool:
        if owner.host == self._identity.host:
            return True
        current = self._membership.current_incarnation(owner.host)
        return current is not None and current != owner.incarnation


@dataclass(frozen=True, slots=True)
class _ForwardedCall:
    host: ids.HostId
    owner: ids.SubmissionOwner
    submission: ids.SubmissionId
    digest: bytes | None
    on_answer: AnswerCallback
    timer: timers_module.Timer


def answer_for_digest(
    outcome: records.JobOutcome, digest: bytes | None
) -> model.JobAnswer:
    """Returns an answer if it is that of the same body."""
    if digest is None or digest == outcome.digest:
        return outcome.answer
    return remedies.refusal(outcome.answer.submission, Reason.BODY_MISMATCH)


def _recorded_answer(
    submission: ids.SubmissionId,
    digest: bytes | None,
    recorded: outcomes_module.LookupResult,
    owner_gone: bool,
) -> model.JobAnswer:
    """Returns what can be said of an id whose owner can't be asked."""
    if recorded.outcome is not None:
        answer = answer_for_digest(recorded.outcome, digest)
        if answer.outcome is Outcome.COMPLETE and not answer.results:
            return remedies.unknown(
                submission, Reason.ANSWER_NOT_KEPT, ran=Ran.SOMETHING
            )
        return answer
    if recorded.sealed:
        return remedies.refusal(submission, Reason.OWNER_SEALED)
    if owner_gone and recorded.read:
        return remedies.unknown(submission, Reason.OWNER_GONE)
    return remedies.unknown(submission, Reason.OWNER_UNREACHABLE)
