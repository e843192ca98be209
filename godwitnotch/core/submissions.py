"""What becomes of a submission: run it, join it, forward it, look it up.

Only the incarnation that an id names ever starts its tasks. Every other host
forwards to it, or answers what can be known without it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from godwitnotch.core import answer_once
from godwitnotch.core import bindings
from godwitnotch.core import configuration
from godwitnotch.core import ids
from godwitnotch.core import jobs as jobs_module
from godwitnotch.core import kept_answers
from godwitnotch.core import keyed_jobs
from godwitnotch.core import membership as membership_module
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import outcomes as outcomes_module
from godwitnotch.core import owner_calls
from godwitnotch.core import records
from godwitnotch.core import remedies
from godwitnotch.core import reservations as reservations_module
from godwitnotch.core import scheduler as scheduler_module
from godwitnotch.core import services as services_module
from godwitnotch.core.jobs import Answered
from godwitnotch.core.jobs import JobOrder
from godwitnotch.core.model import Outcome
from godwitnotch.core.model import Ran
from godwitnotch.core.model import Reason
from godwitnotch.core.reservations import IdState

STATUS_WAIT_S = 2.0
_AnswerOwn = Callable[[ids.SubmissionId, ids.Sequence, float], model.JobAnswer]


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
    services: services_module.Services
    admitting: Callable[[], bool]


class Submissions:
    """The submissions that callers and peers ask this host about."""

    def __init__(self, parts: Collaborators) -> None:
        self._parts = parts
        self._identity = parts.identity
        self._timers = parts.services.timers
        self._out = parts.services.out
        self._answers = kept_answers.KeptAnswers(limits=parts.services.limits)
        self._runner = jobs_module.JobRunner(
            scheduler=parts.scheduler,
            reservations=parts.reservations,
            timers=parts.services.timers,
            out=parts.services.out,
            on_end=self._job_ended,
        )
        self._owners = owner_calls.OwnerCalls(
            identity=parts.identity,
            membership=parts.membership,
            reader=parts.outcome_reader,
            timers=parts.services.timers,
            out=parts.services.out,
        )
        self._keyed = keyed_jobs.KeyedJobs(
            binder=parts.binder,
            timers=parts.services.timers,
            mint=self.mint,
            submit=self.submit,
            admission_refusal=self._admission_refusal,
        )

    @property
    def runner(self) -> jobs_module.JobRunner:
        """The jobs under way."""
        return self._runner

    @property
    def owners(self) -> owner_calls.OwnerCalls:
        """Calls that other hosts have to answer."""
        return self._owners

    @property
    def keyed(self) -> keyed_jobs.KeyedJobs:
        """Jobs under callers' keys."""
        return self._keyed

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

    def status(
        self,
        workspace: ids.WorkspaceId,
        submission: ids.SubmissionId,
        answered: Answered,
        *,
        now: float,
    ) -> None:
        """Tells what became of a submission."""
        message = messages.ForwardStatus(
            self._owners.next_call(), workspace, submission
        )
        self._ask_about(message, self._own_status, answered, now)

    def cancel(
        self,
        workspace: ids.WorkspaceId,
        submission: ids.SubmissionId,
        answered: Answered,
        *,
        now: float,
    ) -> None:
        """Ends a job, or closes an id under which none was submitted."""
        message = messages.ForwardCancel(
            self._owners.next_call(), workspace, submission
        )
        self._ask_about(message, self._cancel_own, answered, now)

    def _ask_about(
        self,
        message: messages.ForwardStatus | messages.ForwardCancel,
        answer_own: _AnswerOwn,
        answered: Answered,
        now: float,
    ) -> None:
        submission = message.submission
        owner = self._parse(message.workspace, submission)
        if owner is None:
            answered(remedies.refusal(submission, Reason.INVALID_ID), now)
        elif self._is_own(owner):
            answered(answer_own(submission, owner.sequence, now), now)
        else:
            deadline = now + STATUS_WAIT_S
            question = owner_calls.OwnerQuestion(
                owner, message, None, deadline, answered
            )
            self._owners.ask(question, now=now)

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
            order.answered(owner_calls.matching(kept, digest), now)
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
        waiter = answer_once.by(
            order.deadline,
            order.answered,
            late=_running(submission),
            timers=self._timers,
        )
        job.waiters.append(waiter)

    def _submit_elsewhere(
        self,
        order: JobOrder,
        submission: ids.SubmissionId,
        owner: ids.OwnerName,
        now: float,
    ) -> None:
        message = messages.ForwardSubmit(
            self._owners.next_call(),
            order.workspace,
            submission,
            order.body,
            order.deadline - now,
        )
        deadline = order.deadline + self._parts.services.limits.forward_grace_s
        question = owner_calls.OwnerQuestion(
            owner, message, order.body.digest(), deadline, order.answered
        )
        self._owners.ask(question, now=now)

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


def _running(submission: ids.SubmissionId) -> model.JobAnswer:
    return model.JobAnswer(
        submission,
        Outcome.RUNNING,
        Ran.POSSIBLY,
        detail="the job is under way; ask again under the same id",
        retry_after_s=1.0,
    )


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
