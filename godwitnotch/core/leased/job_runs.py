"""Relates the runs at upstreams to the open jobs of a leader."""

from collections.abc import Callable

from godwitnotch.core import ids
from godwitnotch.core.leased import evidence as evidence_module
from godwitnotch.core.leased import health as health_module
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import open_jobs as open_jobs_module
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import placement as placement_module
from godwitnotch.core.leased import run_listener
from godwitnotch.core.leased import run_outcomes
from godwitnotch.core.leased import task_records as task_records_module
from godwitnotch.core.leased import waiting
from godwitnotch.core.leased.jobs import TaskState
from godwitnotch.core.leased.task_records import StartRule


class JobRuns(run_listener.RunListener):
    """Adopts runs for jobs, and ends or queues jobs as their runs end.

    Args:
        out: Collects the decisions.
        open_jobs: The jobs without an answer.
        queue: Those of them that wait.
        placement: Tells how long runs are expected to take.
        outcomes: Learns from how runs end.
        health: Learns which upstreams reject orders.
        evidence: What was learnt of upstreams.
        task_records: Tells how often tasks have failed or crashed upstreams.
        request_placement: Called when resources may be free for waiting tasks.
        higher_term_seen: Handles a rejection by an upstream that has seen a
            higher term.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        open_jobs: open_jobs_module.OpenJobs,
        queue: waiting.WaitingQueue,
        *,
        placement: placement_module.Placement,
        outcomes: run_outcomes.RunOutcomes,
        health: health_module.UpstreamHealth,
        evidence: evidence_module.EvidenceSharing,
        task_records: task_records_module.TaskRecords,
        request_placement: Callable[[], None],
        higher_term_seen: Callable[[lease_module.Lease, bool, float], None],
    ) -> None:
        self._out = out
        self._open_jobs = open_jobs
        self._queue = queue
        self._placement = placement
        self._outcomes = outcomes
        self._health = health
        self._evidence = evidence
        self._task_records = task_records
        self._request_placement = request_placement
        self._higher_term_seen = higher_term_seen

    def adopt_run(self, key: model.RunKey) -> jobs.LeasedJob | None:
        """Assigns a run found at an upstream to its job.

        The task of the run must be waiting, and counts as ordered from now on.

        Returns:
            The job; None if no owner has claimed the run.
        """
        job = self._open_jobs.claimed(key)
        if job is None:
            return None
        task = job.tasks[key.task.index]
        if task.state is not TaskState.WAITING:
            return None
        job.set_state(task, TaskState.ORDERED)
        task.next_run = key.run + 1
        job.started = True
        return job

    def expected_s(
        self, job: jobs.LeasedJob, lease: lease_module.Lease
    ) -> float:
        """Returns the expected run time of a job's task on an upstream."""
        return self._placement.expected_ms(job, lease) / 1_000

    def adopt_done_run(self, key: model.RunKey, *, now: float) -> bool:
        """Counts a waiting task as done, by a run of an earlier leader or lease.

        Returns:
            Whether an owner has claimed the job of the run.
        """
        job = self._open_jobs.claimed(key)
        if job is None:
            return False
        task = job.tasks[key.task.index]
        if task.state is not TaskState.WAITING:
            return True
        job.set_state(task, TaskState.DONE)
        job.started = True
        self._queue.update(job)
        self._out.add_decision(
            "done_run_adopted", job=job.name, detail=key.pairs()
        )
        if job.finished():
            self._open_jobs.complete(job, now=now)
        return True

    def unclaimed_run_failed(
        self, key: model.RunKey, upstream: ids.UpstreamId, *, now: float
    ) -> None:
        """Counts a failed run of an earlier leader or lease."""
        self._task_records.run_failed(key, upstream, now=now)
        failures = self._task_records.failures(key.task)
        job = self._open_jobs.claimed(key)
        if job is None:
            return
        job.tasks[key.task.index].failures = failures
        if failures >= job.request.settings.max_failures:
            self._open_jobs.fail(job, model.EndReason.TASK_FAILED, now=now)

    def run_ended(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        end: model.RunEnd,
        *,
        now: float,
    ) -> None:
        """Handles the end of a run."""
        self._request_placement()
        if end in (model.RunEnd.LEASE_EXPIRED, model.RunEnd.CRASHED):
            self._outcomes.upstream_lost(lease, run, end, now=now)
        job = self._open_jobs.of_run(run)
        if job is None:
            return
        if end is model.RunEnd.DONE:
            self._handle_done(lease, run, job, now=now)
            return
        task = job.tasks[run.key.task.index]
        self._requeue(job, task)
        self._out.add_decision(
            "run_lost",
            job=job.name,
            reason=end.value,
            detail=f"{run.key.pairs()} upstream={lease.upstream.upstream} "
            f"ran_s={now - run.ordered_at:.3f}",
        )
        if end is not model.RunEnd.FAILED:
            self._check_crashes(task.key, now=now)
        elif self._outcomes.run_failed(lease, run, job, now=now):
            self._open_jobs.fail(job, model.EndReason.TASK_FAILED, now=now)

    def _handle_done(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        job: jobs.LeasedJob,
        *,
        now: float,
    ) -> None:
        """Handles the end of a run that has succeeded."""
        self._out.add_decision(
            "run_ended",
            job=job.name,
            detail=f"{run.key.pairs()} upstream={lease.upstream.upstream} "
            f"ran_ms={(now - run.ordered_at) * 1_000:.0f}",
        )
        self._outcomes.run_succeeded(lease, run, job, now=now)
        job.set_state(job.tasks[run.key.task.index], TaskState.DONE)
        if job.finished():
            self._open_jobs.complete(job, now=now)

    def order_rejected(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        rejection: model.OrderRejection,
        *,
        now: float,
    ) -> None:
        """Handles a rejected start order; the run has not started."""
        self._request_placement()
        job = self._open_jobs.of_run(run)
        if job is None:
            return
        task = job.tasks[run.key.task.index]
        self._requeue(job, task)
        if rejection is model.OrderRejection.OLD_RUN:
            # A run of this or a higher number has ended; the rejection doesn't
            # name the number. Doubling passes it after few tries.
            task.next_run = run.key.run * 2 + 1
        elif rejection is model.OrderRejection.MALFORMED:
            self._open_jobs.fail(job, model.EndReason.MALFORMED_JOB, now=now)
        else:
            self._health.order_rejected(lease.upstream.upstream, now=now)

    def _requeue(self, job: jobs.LeasedJob, task: jobs.LeasedTask) -> None:
        job.set_state(task, TaskState.WAITING)
        self._queue.update(job)

    def upstream_seen(
        self,
        upstream: ids.UpstreamId,
        *,
        instance_started_ms: int | None,
        now: float,
    ) -> None:
        """Learns whether an upstream that was lost has crashed."""
        for task in self._task_records.upstream_seen(
            upstream, instance_started_ms, now=now
        ):
            self._check_crashes(task, now=now)

    def upstream_restarted(self, upstream: ids.UpstreamId) -> None:
        """Forgets what was learnt of the upstream's former instance."""
        self._evidence.forget(upstream)

    def check_history(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Fails a job whose tasks have failed or crashed upstreams before."""
        max_failures = job.request.settings.max_failures
        if any(task.failures >= max_failures for task in job.tasks):
            self._open_jobs.fail(job, model.EndReason.TASK_FAILED, now=now)
            return
        for task in job.tasks:
            self._check_crashes(task.key, now=now)

    def _check_crashes(self, task: model.TaskKey, *, now: float) -> None:
        """Fails the job of a task that crashes each upstream."""
        job = self._open_jobs.get(task.job)
        rule = self._task_records.start_rule(task)
        if job is None or rule is not StartRule.GIVE_UP:
            return
        reason = model.EndReason.TASK_CRASHES_UPSTREAMS
        self._open_jobs.fail(job, reason, now=now)

    def higher_term_seen(
        self, lease: lease_module.Lease, *, was_held: bool, now: float
    ) -> None:
        """Handles a rejection by an upstream that has seen a higher term."""
        self._higher_term_seen(lease, was_held, now)
