"""Passes over the queue when jobs wait that free resources may serve.

A pass starts waiting tasks in the order of service.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import msgspec

from godwitnotch.core.leased import job_admission
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import lease_manager as lease_manager_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import owners as owners_module
from godwitnotch.core.leased import placement as placement_module
from godwitnotch.core.leased import task_records as task_records_module
from godwitnotch.core.leased import waiting
from godwitnotch.core.leased.jobs import TaskState
from godwitnotch.core.leased.task_records import StartRule

# A pass over the queue ends after this many jobs that could not be placed.
MAX_UNPLACED_JOB_COUNT = 4
# So many jobs that wait for a faster upstream are passed over; the places that
# are left are then slow, and too few to look through a long queue for.
MAX_PASSED_OVER_JOB_COUNT = 8


class QueueFigures(msgspec.Struct, frozen=True):
    """Figures about the queue, for the metrics.

    Attributes:
        passed_by_count: How many waiting jobs were passed by, as a later one had
            tasks that fit.
        unfit_cpu_millis: Free CPU of upstreams on which no waiting task fits, in
            thousandths of a core; 0 if no task waits.
        faster_wait_count: How many waiting jobs have waited for a faster upstream
            than those that were free.
    """

    passed_by_count: int
    unfit_cpu_millis: int
    faster_wait_count: int = 0


class ApplyVerdict(Protocol):
    """Moves or ends a job, as the admission has decided."""

    def __call__(
        self, verdict: job_admission.Verdict, job: jobs.LeasedJob, *, now: float
    ) -> None:
        """Applies the verdict."""


class QueuePass:
    """Starts waiting tasks.

    Args:
        out: Collects the actions to execute.
        queue: The jobs that wait.
        leases: The leases on the upstreams.
        placement: Chooses upstreams.
        task_records: Tells which tasks may have crashed upstreams.
        owners: Tells which hosts are lost.
        admission: Decides about jobs whose tasks may have crashed upstreams.
        accepting_leases: Returns the leases that accept runs, the fastest
            upstream first.
        listing_complete: Returns whether all upstreams that can have runs are
            usable.
        apply_verdict: Moves or ends a job.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        *,
        queue: waiting.WaitingQueue,
        leases: lease_manager_module.LeaseManager,
        placement: placement_module.Placement,
        task_records: task_records_module.TaskRecords,
        owners: owners_module.Owners,
        admission: job_admission.JobAdmission,
        accepting_leases: Callable[[float], list[lease_module.Lease]],
        listing_complete: Callable[[float], bool],
        apply_verdict: ApplyVerdict,
    ) -> None:
        self._out = out
        self._queue = queue
        self._lease_manager = leases
        self._placement = placement
        self._task_records = task_records
        self._owners = owners
        self._admission = admission
        self._accepting_leases = accepting_leases
        self._listing_complete = listing_complete
        self._apply_verdict = apply_verdict

    def run(self, *, now: float) -> None:
        """Starts the waiting tasks for which there are resources."""
        if not len(self._queue):
            return
        leases = self._accepting_leases(now)
        # A list is faster to go through than a generator.
        max_free_cpu_millis = max(
            [lease.free_resources.cpu_millis for lease in leases], default=0
        )
        # Needs a scan of all upstreams, so it is computed only for a job that
        # an earlier leader has had.
        all_runs_known: bool | None = None
        unplaced: list[jobs.LeasedJob] = []
        passed_over_count = 0
        for job in self._queue.ordered(now=now):
            if now < job.earlier_runs_end_by:
                if all_runs_known is None:
                    all_runs_known = (
                        self._listing_complete(now)
                        and self._lease_manager.all_runs_known()
                    )
                if not all_runs_known or not self._lists_show_runs_of(job):
                    continue
            # After a stall, responses may be handled before the tick that drops
            # jobs whose callers have stopped waiting.
            if now >= job.deadline or self._owners.is_lost(job.owner):
                continue
            if self._placement.still_waits_for_faster(job, leases, now=now):
                passed_over_count += 1
                if passed_over_count >= MAX_PASSED_OVER_JOB_COUNT:
                    return
                continue
            fits = job.request.tasks.needs.cpu_millis <= max_free_cpu_millis
            waiting_count = job.waiting_task_count
            if not fits or not self._place_job(job, leases, now=now):
                unplaced.append(job)
            if job.waiting_task_count < waiting_count:
                for earlier in unplaced:
                    if earlier is not job:
                        earlier.passed_by = True
            if len(unplaced) >= MAX_UNPLACED_JOB_COUNT:
                return

    def _lists_show_runs_of(self, job: jobs.LeasedJob) -> bool:
        """Returns whether upstreams list all runs of a job's earlier leaders.

        An upstream accepts the orders of an earlier leader with a higher term
        also after it has sent its list.
        """
        return (
            not job.may_run_elsewhere
            and job.earlier_term <= self._lease_manager.term
        )

    def _place_job(
        self,
        job: jobs.LeasedJob,
        leases: list[lease_module.Lease],
        *,
        now: float,
    ) -> bool:
        """Starts a job's waiting tasks; returns whether there was room for all.

        A task that waits for the rack of its data or for a faster upstream leaves
        room for others.
        """
        for task in tuple(job.iter_waiting_tasks()):
            if self._lease_manager.has_run(task.key):
                continue
            rule = self._task_records.start_rule(task.key)
            if rule is StartRule.ALLOWED:
                lease = self._placement.choose(job, task, leases, now=now)
                if lease is not None:
                    self._start_run(job, task, lease, now=now)
                elif self._placement.still_waits_for_faster(
                    job, leases, now=now
                ):
                    return True
                elif not task.waits_for_rack(now=now):
                    return False
            elif rule is StartRule.ALONE:
                verdict = self._admission.check_suspect(job, now=now)
                if not isinstance(verdict, job_admission.Kept):
                    self._apply_verdict(verdict, job, now=now)
                    return True
                lease = self._placement.choose_idle(job, task, leases, now=now)
                if lease is not None:
                    self._start_run(job, task, lease, alone=True, now=now)
        self._queue.update(job)
        return True

    def _start_run(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        lease: lease_module.Lease,
        *,
        alone: bool = False,
        now: float,
    ) -> None:
        key = model.RunKey(task.key, model.RunNumber(task.next_run))
        task.next_run += 1
        job.set_state(task, TaskState.ORDERED)
        job.started = True
        expected_ms = self._placement.expected_ms(job, lease)
        self._out.add_decision(
            "run_ordered",
            job=job.name,
            detail=f"{key.pairs()} upstream={lease.upstream.upstream} "
            f"expected_ms={expected_ms:.0f} term={self._lease_manager.term}"
            f"{' alone=true' if alone else ''}",
        )
        self._lease_manager.start_run(
            lease,
            job,
            key,
            expected_s=expected_ms / 1_000,
            alone=alone,
            now=now,
        )


def measure(
    open_jobs: Iterable[jobs.LeasedJob], leases: Iterable[lease_module.Lease]
) -> QueueFigures:
    """Returns figures about the queue.

    Args:
        open_jobs: All open jobs, also those without a waiting task.
        leases: The leases that accept runs.
    """
    waiting_jobs = [job for job in open_jobs if job.waiting_task_count]
    if not waiting_jobs:
        return QueueFigures(0, 0)
    least = min(job.request.tasks.needs.cpu_millis for job in waiting_jobs)
    free = (lease.free_resources.cpu_millis for lease in leases)
    return QueueFigures(
        sum(job.passed_by for job in waiting_jobs),
        sum(cpu_millis for cpu_millis in free if 0 < cpu_millis < least),
        sum(job.faster_wait is not None for job in waiting_jobs),
    )
