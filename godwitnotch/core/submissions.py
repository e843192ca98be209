"""Handles calls that submit a job, query its status or cancel it.

Only the owner that a submission id names may start its tasks. Other hosts
forward calls to the owner, or answer from the outcomes that it has recorded.
"""

from collections.abc import Callable

import msgspec

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
from godwitnotch.core.jobs import AnswerCallback
from godwitnotch.core.jobs import SubmitCall
from godwitnotch.core.model import Outcome
from godwitnotch.core.model import Ran
from godwitnotch.core.model import Reason
from godwitnotch.core.reservations import IdState

OWNER_CALL_TIMEOUT_S = 2.0
_LocalAnswer = Callable[
    [ids.SubmissionId, ids.Sequence, float], model.JobAnswer
]


class Collaborators(msgspec.Struct, frozen=True):
    """The parts of the host core that `Submissions` uses.

    Attributes:
        identity: This host, with the incarnation of its process.
        issuer: Issues and verifies submission ids.
        scheduler: Assigns queued tasks to upstreams.
        reservations: The ids that this process has reserved.
        config_replica: The applied workspace settings.
        membership: The other hosts.
        binder: Binds idempotency keys to ids.
        outcome_log: Records the outcomes of this process.
        outcome_reader: Looks up the outcomes of other processes.
        services: Shared services.
        is_admitting: Returns whether the host accepts new jobs.
    """

    identity: model.HostEntry
    issuer: ids.IdIssuer
    scheduler: scheduler_module.Scheduler
    reservations: reservations_module.Reservations
    config_replica: configuration.ConfigReplica
    membership: membership_module.Membership
    binder: bindings.KeyBinder
    outcome_log: outcomes_module.OutcomeLog
    outcome_reader: outcomes_module.OutcomeReader
    services: services_module.Services
    is_admitting: Callable[[], bool]


class Submissions:
    """Handles the calls of callers and peers about submissions."""

    def __init__(self, collaborators: Collaborators) -> None:
        self._collaborators = collaborators
        self._identity = collaborators.identity
        self._timers = collaborators.services.timers
        self._out = collaborators.services.out
        self._answers = kept_answers.KeptAnswers(
            limits=collaborators.services.limits
        )
        self._runner = jobs_module.JobRunner(
            scheduler=collaborators.scheduler,
            reservations=collaborators.reservations,
            timers=collaborators.services.timers,
            out=collaborators.services.out,
            on_end=self._job_ended,
        )
        self._owners = owner_calls.OwnerCalls(
            identity=collaborators.identity,
            membership=collaborators.membership,
            reader=collaborators.outcome_reader,
            timers=collaborators.services.timers,
            out=collaborators.services.out,
        )
        self._keyed = keyed_jobs.KeyedJobs(
            binder=collaborators.binder,
            timers=collaborators.services.timers,
            reserve_ids=self.reserve_ids,
            submit=self.submit,
            admission_refusal=self._admission_refusal,
        )

    @property
    def runner(self) -> jobs_module.JobRunner:
        """Runs the jobs that this process owns."""
        return self._runner

    @property
    def owners(self) -> owner_calls.OwnerCalls:
        """Forwards calls to the owners of ids."""
        return self._owners

    @property
    def keyed(self) -> keyed_jobs.KeyedJobs:
        """Handles jobs that are submitted under idempotency keys."""
        return self._keyed

    @property
    def kept_answer_count(self) -> int:
        """Number of final answers kept for resubmissions."""
        return len(self._answers)

    def reserve_ids(
        self, workspace: ids.WorkspaceId, count: int, *, now: float
    ) -> tuple[ids.SubmissionId, ...]:
        """Reserves submission ids that this process owns."""
        sequences = self._collaborators.reservations.reserve(count, now=now)
        return tuple(
            self._collaborators.issuer.issue(
                workspace, self._make_owner(sequence)
            )
            for sequence in sequences
        )

    def submit(
        self, call: SubmitCall, submission: ids.SubmissionId, *, now: float
    ) -> None:
        """Runs a job under an id, or waits for the job that has the id."""
        owner = self._parse(call.workspace, submission)
        if owner is None:
            call.on_answer(remedies.refusal(submission, Reason.INVALID_ID), now)
        elif self._is_local(owner):
            self._submit_local(call, submission, owner.sequence, now)
        else:
            self._forward_submit(call, submission, owner, now)

    def status(
        self,
        workspace: ids.WorkspaceId,
        submission: ids.SubmissionId,
        on_answer: AnswerCallback,
        *,
        now: float,
    ) -> None:
        """Answers with the status of a submission."""
        message = messages.ForwardStatus(
            self._owners.next_call_id(), workspace, submission
        )
        self._answer_or_forward(message, self._local_status, on_answer, now)

    def cancel(
        self,
        workspace: ids.WorkspaceId,
        submission: ids.SubmissionId,
        on_answer: AnswerCallback,
        *,
        now: float,
    ) -> None:
        """Cancels a job, or closes an id under which no job was submitted."""
        message = messages.ForwardCancel(
            self._owners.next_call_id(), workspace, submission
        )
        self._answer_or_forward(message, self._cancel_local, on_answer, now)

    def _answer_or_forward(
        self,
        message: messages.ForwardStatus | messages.ForwardCancel,
        answer_locally: _LocalAnswer,
        on_answer: AnswerCallback,
        now: float,
    ) -> None:
        submission = message.submission
        owner = self._parse(message.workspace, submission)
        if owner is None:
            on_answer(remedies.refusal(submission, Reason.INVALID_ID), now)
        elif self._is_local(owner):
            on_answer(answer_locally(submission, owner.sequence, now), now)
        else:
            deadline = now + OWNER_CALL_TIMEOUT_S
            owner_call = owner_calls.OwnerCall(
                owner, message, None, deadline, on_answer
            )
            self._owners.forward(owner_call, now=now)

    def _make_owner(self, sequence: int) -> ids.SubmissionOwner:
        return ids.SubmissionOwner(
            self._identity.domain,
            self._identity.host,
            self._identity.incarnation,
            ids.Sequence(sequence),
        )

    def _parse(
        self, workspace: ids.WorkspaceId, submission: ids.SubmissionId
    ) -> ids.SubmissionOwner | None:
        return self._collaborators.issuer.parse(workspace, submission).value_or(
            None
        )

    def _is_local(self, owner: ids.SubmissionOwner) -> bool:
        return owner.incarnation == self._identity.incarnation

    def _submit_local(
        self,
        call: SubmitCall,
        submission: ids.SubmissionId,
        sequence: ids.Sequence,
        now: float,
    ) -> None:
        """Joins, answers, refuses or starts a job that this process owns."""
        digest = call.body.digest()
        job = self._runner.get(submission)
        if job is not None:
            self._join(call, job, digest, now)
            return
        kept = self._answers.get(submission, now=now)
        if kept is not None:
            call.on_answer(owner_calls.answer_if_same_body(kept, digest), now)
            return
        state = self._collaborators.reservations.state(sequence, now=now)
        state_answer = _answer_for_state(submission, state)
        if state_answer is not None:
            call.on_answer(state_answer, now)
            return
        refusal = self._admission_refusal(call, submission, now)
        if refusal is not None:
            self._log_refusal(refusal)
            call.on_answer(refusal, now)
            return
        self._start_job(call, submission, sequence, digest, now)

    def _start_job(
        self,
        call: SubmitCall,
        submission: ids.SubmissionId,
        sequence: ids.Sequence,
        digest: bytes,
        now: float,
    ) -> None:
        request = self._job_request(call, submission, now)
        job = jobs_module.Job(request, sequence, call.body, digest)
        job.waiters.append(call.on_answer)
        self._runner.enqueue(job, now=now)

    def _join(
        self,
        call: SubmitCall,
        job: jobs_module.Job,
        digest: bytes,
        now: float,
    ) -> None:
        """Adds a caller to a job that was submitted earlier."""
        submission = job.request.submission
        if digest != job.digest:
            call.on_answer(
                remedies.refusal(submission, Reason.BODY_MISMATCH), now
            )
            return
        self._out.note("job_joined", submission=submission)
        if call.deadline >= job.request.deadline:
            job.waiters.append(call.on_answer)
            return
        waiter = answer_once.with_deadline(
            call.deadline,
            call.on_answer,
            timeout_answer=_running_answer(submission),
            timers=self._timers,
        )
        job.waiters.append(waiter)

    def _forward_submit(
        self,
        call: SubmitCall,
        submission: ids.SubmissionId,
        owner: ids.SubmissionOwner,
        now: float,
    ) -> None:
        message = messages.ForwardSubmit(
            self._owners.next_call_id(),
            call.workspace,
            submission,
            call.body,
            call.deadline - now,
        )
        deadline = (
            call.deadline + self._collaborators.services.limits.forward_grace_s
        )
        owner_call = owner_calls.OwnerCall(
            owner, message, call.body.digest(), deadline, call.on_answer
        )
        self._owners.forward(owner_call, now=now)

    def _admission_refusal(
        self, call: SubmitCall, submission: ids.SubmissionId, now: float
    ) -> model.JobAnswer | None:
        """Returns the refusal of a job that can't be admitted, else None."""
        collaborators = self._collaborators
        if not collaborators.is_admitting():
            return remedies.refusal(submission, Reason.DRAINING)
        if not collaborators.config_replica.ready:
            return remedies.refusal(submission, Reason.NO_CONFIGURATION)
        config = collaborators.config_replica.configs.get(call.workspace)
        if config is None or call.body.template not in config.templates:
            return remedies.refusal(submission, Reason.NO_TEMPLATE)
        if call.deadline <= now:
            return remedies.refusal(submission, Reason.DEADLINE_BEFORE_START)
        request = self._job_request(call, submission, now)
        scheduler_refusal = collaborators.scheduler.admit(request, now=now)
        if scheduler_refusal is None:
            return None
        return remedies.refusal(
            submission,
            scheduler_refusal.reason,
            detail=scheduler_refusal.detail,
            retry_after_s=scheduler_refusal.retry_after_s,
        )

    def _job_request(
        self, call: SubmitCall, submission: ids.SubmissionId, now: float
    ) -> scheduler_module.JobRequest:
        config = self._collaborators.config_replica.configs[call.workspace]
        template = config.templates[call.body.template]
        return scheduler_module.JobRequest(
            submission=submission,
            workspace=config,
            template=template,
            declared_ms=tuple(task.declared_ms for task in call.body.tasks),
            deadline=min(call.deadline, now + template.max_wait_s),
        )

    def _local_status(
        self,
        submission: ids.SubmissionId,
        sequence: ids.Sequence,
        now: float,
    ) -> model.JobAnswer:
        if self._runner.get(submission) is not None:
            return _running_answer(submission)
        kept = self._answers.get(submission, now=now)
        if kept is not None:
            return kept.answer
        state = self._collaborators.reservations.state(sequence, now=now)
        state_answer = _answer_for_state(submission, state)
        return state_answer or model.JobAnswer(
            submission, Outcome.RESERVED, Ran.NOTHING
        )

    def _cancel_local(
        self,
        submission: ids.SubmissionId,
        sequence: ids.Sequence,
        now: float,
    ) -> model.JobAnswer:
        job = self._runner.get(submission)
        if job is not None:
            self._runner.cancel(job, now=now)
        elif self._local_status(submission, sequence, now).outcome is (
            Outcome.RESERVED
        ):
            self._collaborators.reservations.close(sequence)
        return self._local_status(submission, sequence, now)

    def _job_ended(
        self, job: jobs_module.Job, answer: model.JobAnswer, now: float
    ) -> None:
        if answer.outcome is Outcome.REFUSED:
            self._log_refusal(answer)
            # After any other refusal the job can be submitted again under the
            # same id.
            if answer.reason is Reason.CANCELLED_BEFORE_START:
                self._collaborators.reservations.close(job.sequence)
            return
        outcome = records.JobOutcome(answer, job.digest)
        self._answers.keep(outcome, now=now)
        self._collaborators.outcome_log.record(job.sequence, outcome, now=now)

    def _log_refusal(self, answer: model.JobAnswer) -> None:
        self._out.note(
            "job_refused", submission=answer.submission, reason=answer.reason
        )


def _running_answer(submission: ids.SubmissionId) -> model.JobAnswer:
    return model.JobAnswer(
        submission,
        Outcome.RUNNING,
        Ran.POSSIBLY,
        detail="the job is under way; ask again under the same id",
        retry_after_s=1.0,
    )


def _answer_for_state(
    submission: ids.SubmissionId, state: IdState
) -> model.JobAnswer | None:
    """Returns the answer about an id without a job; None if the id is open."""
    match state:
        case IdState.OPEN:
            return None
        case IdState.STARTED:
            return remedies.unknown(submission, Reason.ANSWER_NOT_KEPT)
        case IdState.CLOSED_NOT_STARTED:
            reason = Reason.CANCELLED_BEFORE_START
        case IdState.EXPIRED_NOT_STARTED:
            reason = Reason.RESERVATION_EXPIRED
        case IdState.NEVER_RESERVED:
            reason = Reason.INVALID_ID
    return remedies.refusal(submission, reason)
