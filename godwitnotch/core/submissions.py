"""What becomes of a submission: run it, join it, forward it, look it up.

Only the incarnation that an id names ever starts its tasks. Every other host
forwards to it, or answers what can be known without it.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace

from godwitnotch.core import actions
from godwitnotch.core import bindings
from godwitnotch.core import configuration
from godwitnotch.core import ids
from godwitnotch.core import jobs as jobs_module
from godwitnotch.core import kept_answers
from godwitnotch.core import limits as limits_module
from godwitnotch.core import membership as membership_module
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import outbox
from godwitnotch.core import outcomes as outcomes_module
from godwitnotch.core import records
from godwitnotch.core import remedies
from godwitnotch.core import reservations as reservations_module
from godwitnotch.core import scheduler as scheduler_module
from godwitnotch.core import timers as timers_module
from godwitnotch.core.jobs import Answered
from godwitnotch.core.model import Outcome
from godwitnotch.core.model import Ran
from godwitnotch.core.model import Reason
from godwitnotch.core.reservations import IdState

NO_SUBMISSION = ids.SubmissionId("")
STATUS_WAIT_S = 2.0

# An id refused for one of these never runs, so its key may be bound anew.
_CLOSED_FOR_GOOD = frozenset({Reason.RESERVATION_EXPIRED, Reason.OWNER_SEALED})


@dataclass(frozen=True, slots=True)
class JobOrder:
    """A job that a caller wants run.

    Attributes:
        workspace: The caller's workspace.
        body: The job.
        deadline: When the caller stops waiting.
        answered: Called once with the answer.
    """

    workspace: ids.WorkspaceId
    body: model.JobBody
    deadline: float
    answered: Answered


@dataclass(frozen=True, slots=True)
class Collaborators:
    """The parts that decide on submissions together."""

    identity: model.HostEntry
    mint: ids.IdMint
    scheduler: scheduler_module.Scheduler
    reservations: reservations_module.Reservations
    keeper: configuration.ConfigKeeper
    membership: membership_module.Membership
    binder: bindings.KeyBinder
    outcome_log: outcomes_module.OutcomeLog
    outcome_reader: outcomes_module.OutcomeReader
    timers: timers_module.Timers
    out: outbox.Outbox
    limits: limits_module.HostLimits
    admitting: Callable[[], bool]


class Submissions:
    """The submissions that callers and peers ask this host about."""

    def __init__(self, parts: Collaborators) -> None:
        self._parts = parts
        self._identity = parts.identity
        self._timers = parts.timers
        self._out = parts.out
        self._answers = kept_answers.KeptAnswers(limits=parts.limits)
        self._runner = jobs_module.JobRunner(
            scheduler=parts.scheduler,
            reservations=parts.reservations,
            timers=parts.timers,
            out=parts.out,
            on_end=self._job_ended,
        )
        self._forwards: dict[ids.CallId, _Forward] = {}
        self._forward_numbers = itertools.count(1)

    @property
    def runner(self) -> jobs_module.JobRunner:
        """The jobs under way."""
        return self._runner

    @property
    def forward_count(self) -> int:
        """Calls that other hosts have not answered yet."""
        return len(self._forwards)

    @property
    def kept_count(self) -> int:
        """Final answers kept for resubmissions."""
        return len(self._answers)

    def mint(
        self, workspace: ids.WorkspaceId, count: int, *, now: float
    ) -> tuple[ids.SubmissionId, ...]:
        """Reserves ids that this process owns."""
        sequences = self._parts.reservations.reserve(count, now=now)
        return tuple(
            self._parts.mint.mint(workspace, self._owner(sequence))
            for sequence in sequences
        )

    def submit(
        self, order: JobOrder, submission: ids.SubmissionId, *, now: float
    ) -> None:
        """Runs a job under an id, or joins the job that has the id."""
        owner = self._parse(order.workspace, submission)
        if owner is None:
            order.answered(remedies.refusal(submission, Reason.INVALID_ID), now)
        elif self._is_own(owner):
            self._submit_own(order, submission, owner.sequence, now)
        else:
            self._submit_elsewhere(order, submission, owner, now)

    def submit_keyed(
        self, order: JobOrder, key: ids.CallerKey, *, now: float
    ) -> None:
        """Runs a job under the id that a caller key is bound to."""
        row_key = records.binding_key(order.workspace, key)
        known = self._parts.binder.known(row_key)
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

        self._parts.binder.bind(request, done, now=now)

    def _refuse_unless_bound(
        self,
        order: JobOrder,
        row_key: str,
        refusal: model.JobAnswer,
        now: float,
    ) -> None:
        """Refuses a keyed job if the key's job didn't run elsewhere."""
        late = _key_unsettled(bindings.NotBound(Reason.KEY_PENDING, 1.0))
        answered = self._once_by(order.deadline, order.answered, late)
        order = replace(order, answered=answered)

        def found(result: bindings.FindResult, now: float) -> None:
            if isinstance(result, bindings.NotBound):
                answered(_key_unsettled(result), now)
            elif result is None:
                answered(refusal, now)
            else:
                self._submit_bound(order, row_key, result, now)

        self._parts.binder.find(row_key, found, now=now)

    def reserve_keyed(
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
            self.mint(workspace, 1, now=now)[0],
            b"",
            now + STATUS_WAIT_S,
        )
        self._parts.binder.bind(request, done, now=now)

    def status(
        self,
        workspace: ids.WorkspaceId,
        submission: ids.SubmissionId,
        answered: Answered,
        *,
        now: float,
    ) -> None:
        """Tells what became of a submission."""
        owner = self._parse(workspace, submission)
        if owner is None:
            answered(remedies.refusal(submission, Reason.INVALID_ID), now)
        elif self._is_own(owner):
            answered(self._own_status(submission, owner.sequence, now), now)
        else:
            message = messages.ForwardStatus(
                self._next_call(), workspace, submission
            )
            self._ask_owner(
                owner, message, None, now + STATUS_WAIT_S, answered, now
            )

    def cancel(
        self,
        workspace: ids.WorkspaceId,
        submission: ids.SubmissionId,
        answered: Answered,
        *,
        now: float,
    ) -> None:
        """Ends a job, or closes an id under which none was submitted."""
        owner = self._parse(workspace, submission)
        if owner is None:
            answered(remedies.refusal(submission, Reason.INVALID_ID), now)
        elif self._is_own(owner):
            answered(self._cancel_own(submission, owner.sequence, now), now)
        else:
            message = messages.ForwardCancel(
                self._next_call(), workspace, submission
            )
            self._ask_owner(
                owner, message, None, now + STATUS_WAIT_S, answered, now
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
        self._forget_forward(reply.call)
        forward.answered(reply.answer, now)

    def peer_down(self, host: ids.HostId, *, now: float) -> None:
        """Answers what can be known for calls that the peer won't answer."""
        lost = [
            (call, forward)
            for call, forward in self._forwards.items()
            if forward.host == host
        ]
        for call, forward in lost:
            self._forget_forward(call)
            self._look_up(
                forward.owner,
                forward.submission,
                forward.digest,
                forward.answered,
                now,
            )

    def _owner(self, sequence: int) -> ids.OwnerName:
        return ids.OwnerName(
            self._identity.domain,
            self._identity.host,
            self._identity.incarnation,
            ids.Sequence(sequence),
        )

    def _parse(
        self, workspace: ids.WorkspaceId, submission: ids.SubmissionId
    ) -> ids.OwnerName | None:
        return self._parts.mint.parse(workspace, submission).value_or(None)

    def _is_own(self, owner: ids.OwnerName) -> bool:
        return owner.incarnation == self._identity.incarnation

    def _submit_own(
        self,
        order: JobOrder,
        submission: ids.SubmissionId,
        sequence: ids.Sequence,
        now: float,
    ) -> None:
        digest = order.body.digest()
        job = self._runner.get(submission)
        if job is not None:
            self._join(order, job, digest, now)
            return
        kept = self._answers.get(submission, now=now)
        if kept is not None:
            order.answered(_matching(kept, digest), now)
            return
        state = self._parts.reservations.state(sequence, now=now)
        closed = _closed_answer(submission, state)
        if closed is not None:
            order.answered(closed, now)
            return
        refusal = self._admission_refusal(order, submission, now)
        if refusal is not None:
            self._refused(refusal)
            order.answered(refusal, now)
            return
        self._run(order, submission, sequence, digest, now)

    def _run(
        self,
        order: JobOrder,
        submission: ids.SubmissionId,
        sequence: ids.Sequence,
        digest: bytes,
        now: float,
    ) -> None:
        request = self._job_request(order, submission, now)
        job = jobs_module.Job(request, sequence, order.body, digest)
        job.waiters.append(order.answered)
        self._runner.run(job, now=now)

    def _join(
        self,
        order: JobOrder,
        job: jobs_module.Job,
        digest: bytes,
        now: float,
    ) -> None:
        submission = job.request.submission
        if digest != job.digest:
            order.answered(
                remedies.refusal(submission, Reason.BODY_MISMATCH), now
            )
            return
        self._out.note("job_joined", submission=submission)
        if order.deadline >= job.request.deadline:
            job.waiters.append(order.answered)
            return
        running = _running(submission)
        job.waiters.append(
            self._once_by(order.deadline, order.answered, running)
        )

    def _submit_elsewhere(
        self,
        order: JobOrder,
        submission: ids.SubmissionId,
        owner: ids.OwnerName,
        now: float,
    ) -> None:
        message = messages.ForwardSubmit(
            self._next_call(),
            order.workspace,
            submission,
            order.body,
            order.deadline - now,
        )
        deadline = order.deadline + self._parts.limits.forward_grace_s
        self._ask_owner(
            owner,
            message,
            order.body.digest(),
            deadline,
            order.answered,
            now,
        )

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

        self.submit(
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
                self.submit(order, result.submission, now=now)

        request = self._bind_request(order, row_key, now)
        self._parts.binder.rebind(old, request, done, now=now)

    def _bind_request(
        self, order: JobOrder, row_key: str, now: float
    ) -> bindings.BindRequest:
        return bindings.BindRequest(
            row_key,
            self.mint(order.workspace, 1, now=now)[0],
            order.body.digest(),
            order.deadline,
        )

    def _admission_refusal(
        self, order: JobOrder, submission: ids.SubmissionId, now: float
    ) -> model.JobAnswer | None:
        """Returns why a job can't be taken now; None if it can."""
        parts = self._parts
        if not parts.admitting():
            return remedies.refusal(submission, Reason.DRAINING)
        if not parts.keeper.ready:
            return remedies.refusal(submission, Reason.NO_CONFIGURATION)
        config = parts.keeper.configs.get(order.workspace)
        if config is None or order.body.template not in config.templates:
            return remedies.refusal(submission, Reason.NO_TEMPLATE)
        if order.deadline <= now:
            return remedies.refusal(submission, Reason.DEADLINE_BEFORE_START)
        request = self._job_request(order, submission, now)
        refused = parts.scheduler.admit(request, now=now)
        if refused is None:
            return None
        return remedies.refusal(
            submission,
            refused.reason,
            detail=refused.detail,
            retry_after_s=refused.retry_after_s,
        )

    def _job_request(
        self, order: JobOrder, submission: ids.SubmissionId, now: float
    ) -> scheduler_module.JobRequest:
        config = self._parts.keeper.configs[order.workspace]
        template = config.templates[order.body.template]
        return scheduler_module.JobRequest(
            submission=submission,
            workspace=config,
            template=template,
            declared_ms=tuple(task.declared_ms for task in order.body.tasks),
            deadline=min(order.deadline, now + template.max_wait_s),
        )

    def _own_status(
        self,
        submission: ids.SubmissionId,
        sequence: ids.Sequence,
        now: float,
    ) -> model.JobAnswer:
        if self._runner.get(submission) is not None:
            return _running(submission)
        kept = self._answers.get(submission, now=now)
        if kept is not None:
            return kept.answer
        state = self._parts.reservations.state(sequence, now=now)
        closed = _closed_answer(submission, state)
        return closed or model.JobAnswer(
            submission, Outcome.RESERVED, Ran.NOTHING
        )

    def _cancel_own(
        self,
        submission: ids.SubmissionId,
        sequence: ids.Sequence,
        now: float,
    ) -> model.JobAnswer:
        job = self._runner.get(submission)
        if job is not None:
            self._runner.cancel(job, now=now)
        elif self._own_status(submission, sequence, now).outcome is (
            Outcome.RESERVED
        ):
            self._parts.reservations.close(sequence)
        return self._own_status(submission, sequence, now)

    def _job_ended(
        self, job: jobs_module.Job, answer: model.JobAnswer, now: float
    ) -> None:
        if answer.outcome is Outcome.REFUSED:
            self._refused(answer)
            if answer.reason is Reason.CANCELLED_BEFORE_START:
                self._parts.reservations.close(job.sequence)
            return
        outcome = records.JobOutcome(answer, job.digest)
        self._answers.keep(outcome, now=now)
        self._parts.outcome_log.record(job.sequence, outcome, now=now)

    def _refused(self, answer: model.JobAnswer) -> None:
        self._out.note(
            "job_refused", submission=answer.submission, reason=answer.reason
        )

    def _next_call(self) -> ids.CallId:
        return ids.CallId(next(self._forward_numbers))

    def _ask_owner(
        self,
        owner: ids.OwnerName,
        message: messages.ForwardSubmit
        | messages.ForwardStatus
        | messages.ForwardCancel,
        digest: bytes | None,
        deadline: float,
        answered: Answered,
        now: float,
    ) -> None:
        unreachable = remedies.unknown(
            message.submission, Reason.OWNER_UNREACHABLE
        )
        answered = self._once_by(deadline, answered, unreachable)
        linked = self._parts.membership.linked_entry(owner.host)
        if linked is None or linked.incarnation != owner.incarnation:
            self._look_up(owner, message.submission, digest, answered, now)
            return
        timer = self._timers.at(
            deadline, lambda _: self._forget_forward(message.call)
        )
        self._forwards[message.call] = _Forward(
            owner.host, owner, message.submission, digest, answered, timer
        )
        self._out.add(actions.SendPeer(owner.host, message))
        self._out.note(
            "forwarded",
            submission=message.submission,
            detail=f"owner={owner.host}",
        )

    def _forget_forward(self, call: ids.CallId) -> None:
        self._forwards.pop(call).timer.cancel()

    def _look_up(
        self,
        owner: ids.OwnerName,
        submission: ids.SubmissionId,
        digest: bytes | None,
        answered: Answered,
        now: float,
    ) -> None:
        def found(recorded: outcomes_module.Recorded, now: float) -> None:
            gone = self._is_gone(owner)
            answered(_recorded_answer(submission, digest, recorded, gone), now)

        self._parts.outcome_reader.find(owner, submission, found, now=now)

    def _is_gone(self, owner: ids.OwnerName) -> bool:
        if owner.host == self._identity.host:
            return True
        current = self._parts.membership.current_incarnation(owner.host)
        return current is not None and current != owner.incarnation

    def _once_by(
        self, deadline: float, answered: Answered, late: model.JobAnswer
    ) -> Answered:
        """Returns a callback that answers once, by a deadline at the latest."""
        pending = [answered]

        def once(answer: model.JobAnswer, now: float) -> None:
            if pending:
                timer.cancel()
                pending.pop()(answer, now)

        timer = self._timers.at(deadline, lambda now: once(late, now))
        return once


@dataclass(frozen=True, slots=True)
class _Forward:
    host: ids.HostId
    owner: ids.OwnerName
    submission: ids.SubmissionId
    digest: bytes | None
    answered: Answered
    timer: timers_module.Timer


def _running(submission: ids.SubmissionId) -> model.JobAnswer:
    return model.JobAnswer(
        submission,
        Outcome.RUNNING,
        Ran.POSSIBLY,
        detail="the job is under way; ask again under the same id",
        retry_after_s=1.0,
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


def _matching(
    outcome: records.JobOutcome, digest: bytes | None
) -> model.JobAnswer:
    """Returns an answer if it is that of the same body."""
    if digest is None or digest == outcome.digest:
        return outcome.answer
    return remedies.refusal(outcome.answer.submission, Reason.BODY_MISMATCH)


def _closed_answer(
    submission: ids.SubmissionId, state: IdState
) -> model.JobAnswer | None:
    match state:
        case IdState.OPEN:
            return None
        case IdState.STARTED:
            return remedies.unknown(submission, Reason.ANSWER_NOT_KEPT)
        case IdState.CLOSED_UNSTARTED:
            reason = Reason.CANCELLED_BEFORE_START
        case IdState.EXPIRED_UNSTARTED:
            reason = Reason.RESERVATION_EXPIRED
        case IdState.NEVER_RESERVED:
            reason = Reason.INVALID_ID
    return remedies.refusal(submission, reason)


def _recorded_answer(
    submission: ids.SubmissionId,
    digest: bytes | None,
    recorded: outcomes_module.Recorded,
    gone: bool,
) -> model.JobAnswer:
    """Returns what can be said of an id whose owner can't be asked."""
    if recorded.outcome is not None:
        answer = _matching(recorded.outcome, digest)
        if answer.outcome is Outcome.COMPLETE and not answer.results:
            return remedies.unknown(
                submission, Reason.ANSWER_NOT_KEPT, ran=Ran.SOMETHING
            )
        return answer
    if recorded.sealed:
        return remedies.refusal(submission, Reason.OWNER_SEALED)
    if gone and recorded.read:
        return remedies.unknown(submission, Reason.OWNER_GONE)
    return remedies.unknown(submission, Reason.OWNER_UNREACHABLE)
