"""Runs jobs at their owner, from the queue to the answer."""

import enum
import itertools
from collections.abc import Callable

import msgspec

from godwitnotch.core import actions
from godwitnotch.core import charts
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import outbox
from godwitnotch.core import remedies
from godwitnotch.core import reservations as reservations_module
from godwitnotch.core import retries
from godwitnotch.core import scheduler as scheduler_module
from godwitnotch.core import timers as timers_module
from godwitnotch.core.model import AttemptOutcome
from godwitnotch.core.model import Outcome
from godwitnotch.core.model import Ran
from godwitnotch.core.model import Reason

AnswerCallback = Callable[[model.JobAnswer, float], None]


class SubmitCall(msgspec.Struct, frozen=True):
    """A call that submits a job.

    Attributes:
        workspace: The caller's workspace.
        body: The job.
        deadline: When the caller stops waiting.
        on_answer: Called once with the answer.
    """

    workspace: ids.WorkspaceId
    body: model.JobBody
    deadline: float
    on_answer: AnswerCallback


class JobState(enum.Enum):
    """States of core/charts/job.toml."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"


class JobEvent(enum.Enum):
    """Events of core/charts/job.toml."""

    START = "start"
    PROVE_NOT_STARTED = "prove_unstarted"
    COMPLETE = "complete"
    FAIL = "fail"
    REFUSE = "refuse"


_CHART = charts.load("job", JobState, JobEvent)

_FAILURE_REASONS: dict[AttemptOutcome, Reason] = {
    AttemptOutcome.TASK_FAILED: Reason.TASK_FAILED,
    AttemptOutcome.BROKE_OFF: Reason.UPSTREAM_BROKE_OFF,
    AttemptOutcome.TIMED_OUT: Reason.UPSTREAM_TIMEOUT,
    AttemptOutcome.BAD_ANSWER: Reason.UPSTREAM_BAD_ANSWER,
    AttemptOutcome.ANSWER_TOO_LARGE: Reason.ANSWER_TOO_LARGE,
    AttemptOutcome.ABORTED: Reason.UPSTREAM_BROKE_OFF,
}
MAX_ERROR_DETAIL_BYTES = 200


class Job(msgspec.Struct, eq=False):
    """A job at its owner, from its admission to its answer.

    Attributes:
        request: The job as the scheduler sees it.
        sequence: Sequence number of the submission id.
        body: The job as the caller sent it.
        digest: Digest of the body.
        waiters: Callbacks that get the answer.
        state: State of core/charts/job.toml.
        results: Results by task index; empty for tasks without a result.
        unanswered_count: Number of tasks without a result.
        sent_count: Number of tasks sent to an upstream, without those that
            are proven not to have started.
        start_confirmed: Whether a task is known to have started.
        attempts: Attempts in progress.
        deadline_timer: Ends the job at its deadline.
    """

    request: scheduler_module.JobRequest
    sequence: ids.Sequence
    body: model.JobBody
    digest: bytes
    waiters: list[AnswerCallback] = msgspec.field(default_factory=list)
    state: JobState = _CHART.initial
    results: list[bytes] = msgspec.field(default_factory=list)
    unanswered_count: int = 0
    sent_count: int = 0
    start_confirmed: bool = False
    attempts: set[ids.AttemptId] = msgspec.field(default_factory=set)
    deadline_timer: timers_module.Timer | None = None

    def __post_init__(self) -> None:
        self.unanswered_count = len(self.body.tasks)
        self.results = [b""] * self.unanswered_count

    @property
    def ended(self) -> bool:
        """Whether the job has its final answer."""
        return self.state not in (JobState.QUEUED, JobState.RUNNING)


class _Attempt(msgspec.Struct, frozen=True):
    """An attempt in progress."""

    job: Job
    assignment: scheduler_module.Assignment
    started_at: float


class JobRunner:
    """Runs admitted jobs and gives each waiter one answer.

    Args:
        scheduler: Assigns tasks to upstreams.
        reservations: Records under which ids tasks may have started.
        timers: Schedules callbacks at the deadlines of jobs.
        out: Collects actions.
        on_end: Called with each ended job and its answer, before its waiters
            are called.
    """

    def __init__(
        self,
        *,
        scheduler: scheduler_module.Scheduler,
        reservations: reservations_module.Reservations,
        timers: timers_module.Timers,
        out: outbox.Outbox,
        on_end: Callable[[Job, model.JobAnswer, float], None],
    ) -> None:
        self._scheduler = scheduler
        self._reservations = reservations
        self._timers = timers
        self._out = out
        self._on_end = on_end
        self._jobs: dict[ids.SubmissionId, Job] = {}
        self._attempts: dict[ids.AttemptId, _Attempt] = {}
        self._attempt_numbers = itertools.count(1)

    @property
    def queued_task_count(self) -> int:
        """Number of tasks that wait for a slot, summed over all jobs."""
        return sum(
            len(job.body.tasks) - job.sent_count for job in self._jobs.values()
        )

    @property
    def job_count(self) -> int:
        """Number of queued and running jobs."""
        return len(self._jobs)

    @property
    def attempt_count(self) -> int:
        """Number of attempts in progress, including aborted ones."""
        return len(self._attempts)

    def get(self, submission: ids.SubmissionId) -> Job | None:
        """Returns a queued or running job, or None."""
        return self._jobs.get(submission)

    def enqueue(self, job: Job, *, now: float) -> None:
        """Queues an admitted job."""
        submission = job.request.submission
        self._jobs[submission] = job
        job.deadline_timer = self._timers.call_at(
            job.request.deadline, lambda now: self._on_deadline(job, now)
        )
        self._scheduler.enqueue(job.request, now=now)
        self._out.note(
            "job_admitted",
            submission=submission,
            detail=f"tasks={job.unanswered_count}",
        )

    def start_assigned(self, *, now: float) -> None:
        """Starts the tasks that the scheduler assigns now."""
        for assignment in self._scheduler.assign(now=now):
            self._start_task(assignment, now)

    def attempt_ended(self, event: events.AttemptEnded, *, now: float) -> None:
        """Handles the end of an attempt; ignores unknown attempts."""
        attempt = self._attempts.pop(event.attempt, None)
        if attempt is None:
            return
        outcome = _verified_outcome(attempt, event)
        self._scheduler.attempt_ended(
            attempt.assignment,
            outcome,
            started_at=attempt.started_at,
            now=now,
        )
        job = attempt.job
        job.attempts.discard(event.attempt)
        if job.ended:
            return
        match retries.verdict(outcome):
            case retries.Verdict.ANSWERED:
                self._on_result(attempt, event.body, now)
            case retries.Verdict.NOT_STARTED:
                self._on_not_started(attempt, outcome, now)
            case retries.Verdict.STARTED:
                job.start_confirmed = True
                self._on_attempt_failed(attempt, outcome, event, now)
            case retries.Verdict.MAY_HAVE_STARTED:
                self._on_attempt_failed(attempt, outcome, event, now)

    def cancel(self, job: Job, *, now: float) -> None:
        """Cancels a queued or running job."""
        if job.state is JobState.QUEUED:
            self._refuse(job, Reason.CANCELLED_BEFORE_START, now)
        else:
            self._fail(job, Reason.CANCELLED, "", now)

    def abort_all(self, *, now: float) -> None:
        """Aborts all jobs because the process must stop."""
        for job in list(self._jobs.values()):
            self._out.note(
                "job_cut",
                submission=job.request.submission,
                reason=Reason.SHUTDOWN_CUT,
                detail=f"unanswered={job.unanswered_count}",
            )
            if job.state is JobState.QUEUED:
                self._refuse(job, Reason.DRAINING, now)
            else:
                self._fail(job, Reason.SHUTDOWN_CUT, "", now)

    def _start_task(
        self, assignment: scheduler_module.Assignment, now: float
    ) -> None:
        job = self._jobs[assignment.submission]
        attempt = ids.AttemptId(next(self._attempt_numbers))
        self._attempts[attempt] = _Attempt(job, assignment, now)
        job.attempts.add(attempt)
        job.sent_count += 1
        if job.state is JobState.QUEUED:
            job.state = _CHART.next(job.state, JobEvent.START)
            self._reservations.mark_started(job.sequence)
        template = job.request.template
        self._out.add(
            actions.StartAttempt(
                attempt=attempt,
                upstream=assignment.upstream.upstream,
                address=assignment.upstream.address,
                path=template.path,
                submission=assignment.submission,
                task_index=assignment.task_index,
                payload=job.body.tasks[assignment.task_index].payload,
                max_answer_bytes=template.max_answer_bytes,
                deadline=job.request.deadline,
            )
        )

    def _on_result(self, attempt: _Attempt, body: bytes, now: float) -> None:
        job = attempt.job
        job.start_confirmed = True
        job.results[attempt.assignment.task_index] = body
        job.unanswered_count -= 1
        if job.unanswered_count:
            return
        job.state = _CHART.next(job.state, JobEvent.COMPLETE)
        answer = model.JobAnswer(
            job.request.submission,
            Outcome.COMPLETE,
            Ran.SOMETHING,
            results=tuple(job.results),
        )
        self._end(job, answer, now)

    def _on_not_started(
        self, attempt: _Attempt, outcome: AttemptOutcome, now: float
    ) -> None:
        """Requeues a task proven not to have started, or ends the job."""
        job = attempt.job
        job.sent_count -= 1
        if not job.sent_count:
            job.state = _CHART.next(job.state, JobEvent.PROVE_NOT_STARTED)
            self._reservations.mark_not_started(job.sequence)
        assignment = attempt.assignment
        self._out.note(
            "task_not_started",
            submission=assignment.submission,
            reason=outcome,
            detail=f"task={assignment.task_index} "
            f"upstream={assignment.upstream.upstream}",
        )
        requeued = self._scheduler.requeue(
            assignment.submission, assignment.task_index, now=now
        )
        if requeued:
            return
        if job.state is JobState.QUEUED:
            self._refuse(job, Reason.RETRIES_EXHAUSTED, now)
        else:
            self._fail(job, Reason.RETRIES_EXHAUSTED, "", now)

    def _on_attempt_failed(
        self,
        attempt: _Attempt,
        outcome: AttemptOutcome,
        event: events.AttemptEnded,
        now: float,
    ) -> None:
        assignment = attempt.assignment
        error_text = event.body[:MAX_ERROR_DETAIL_BYTES].decode(
            errors="replace"
        )
        detail = (
            f"task {assignment.task_index} at upstream "
            f"{assignment.upstream.upstream}: {outcome.value} {error_text}".strip()
        )
        self._fail(attempt.job, _FAILURE_REASONS[outcome], detail, now)

    def _on_deadline(self, job: Job, now: float) -> None:
        if job.state is JobState.QUEUED:
            self._refuse(job, Reason.DEADLINE_BEFORE_START, now)
        else:
            self._fail(job, Reason.DEADLINE_EXCEEDED, "", now)

    def _refuse(self, job: Job, reason: Reason, now: float) -> None:
        job.state = _CHART.next(job.state, JobEvent.REFUSE)
        answer = remedies.refusal(job.request.submission, reason)
        self._end(job, answer, now)

    def _fail(self, job: Job, reason: Reason, detail: str, now: float) -> None:
        job.state = _CHART.next(job.state, JobEvent.FAIL)
        ran = Ran.SOMETHING if job.start_confirmed else Ran.POSSIBLY
        answer = remedies.answer(
            job.request.submission,
            Outcome.FAILED,
            reason,
            ran=ran,
            detail=detail,
        )
        self._end(job, answer, now)

    def _end(self, job: Job, answer: model.JobAnswer, now: float) -> None:
        """Ends a job: aborts its attempts and answers its callers."""
        submission = job.request.submission
        del self._jobs[submission]
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
        self._scheduler.withdraw(submission, now=now)
        for attempt in sorted(job.attempts):
            self._out.add(actions.AbortAttempt(attempt))
        self._on_end(job, answer, now)
        self._out.note(
            "job_ended",
            submission=submission,
            reason=answer.reason,
            detail=f"outcome={answer.outcome.value} ran={answer.ran.value}",
        )
        waiters = job.waiters
        job.waiters = []
        for waiter in waiters:
            waiter(answer, now)


def _verified_outcome(
    attempt: _Attempt, event: events.AttemptEnded
) -> AttemptOutcome:
    """Returns the outcome; BAD_ANSWER if the response is for another task."""
    if event.outcome is not AttemptOutcome.ANSWERED:
        return event.outcome
    assignment = attempt.assignment
    matches = (
        event.submission == assignment.submission
        and event.task_index == assignment.task_index
    )
    return event.outcome if matches else AttemptOutcome.BAD_ANSWER
