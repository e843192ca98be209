"""The leader's dispatcher: one queue of all jobs, placed on all upstreams."""

from collections.abc import Callable
from collections.abc import Iterable

from godwitnotch.core import ids
from godwitnotch.core.leased import cancelled_jobs
from godwitnotch.core.leased import cell_load
from godwitnotch.core.leased import cold_upstreams
from godwitnotch.core.leased import evacuation
from godwitnotch.core.leased import evidence as evidence_module
from godwitnotch.core.leased import health as health_module
from godwitnotch.core.leased import job_admission
from godwitnotch.core.leased import job_explainer
from godwitnotch.core.leased import job_runs
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import lease_manager
from godwitnotch.core.leased import load_meter
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model
from godwitnotch.core.leased import open_jobs
from godwitnotch.core.leased import order_relays
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import overdue_runs
from godwitnotch.core.leased import overflow
from godwitnotch.core.leased import owners
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import placement as placement_module
from godwitnotch.core.leased import processor_load
from godwitnotch.core.leased import queue_pass
from godwitnotch.core.leased import run_outcomes
from godwitnotch.core.leased import run_spread
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased import task_records
from godwitnotch.core.leased import unfinished_runs
from godwitnotch.core.leased import waiting

OVERDUE_CHECK_INTERVAL_S = 0.05
RUN_TIMES_UPDATE_INTERVAL_S = 0.2
ACCEPTING_LEASES_CACHE_S = 0.01  # The list needs a scan of all upstreams.
# While the processor is behind and so many jobs wait, a pass over them for each end
# of a run and each arrival is most of its work: what comes while events are late
# anyway is placed together.
CROWDED_QUEUE_JOBS = 8
MAX_PASS_INTERVAL_S = 0.02

_CANCELLED = model.Answer(model.JobEnd.FAILED, model.EndReason.CANCELLED)


class Dispatcher:
    """Queues jobs, starts their tasks on upstreams and answers their owners.

    Args:
        out: Collects the actions to execute.
        racks: How much longer tasks take away from the rack of their data.
        send: Sends a message to the owner of a job.
        suitability: Tells how long a job's tasks take in each cell.
        in_scope: Returns whether this host may hold a lease on an upstream.
        listing_complete: Returns whether all upstreams that can have runs are
            usable.
        higher_term_seen: Handles a rejection by an upstream that has seen a
            higher term.
        evacuations: The failure domains in which no task may start.
        closed_to: Returns whether only evacuated upstreams could run a job.
        cancelled: The jobs that callers have cancelled.
        relays: Chooses the hosts that send calls; None if this host sends all.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        *,
        racks: locality.Racks,
        send: open_jobs.Send,
        suitability: Callable[[model.JobRequest], overflow.Suitability],
        in_scope: Callable[[model.LeasedUpstream], bool],
        listing_complete: Callable[[float], bool],
        higher_term_seen: Callable[[lease_module.Lease, bool, float], None],
        evacuations: evacuation.Evacuations,
        closed_to: Callable[[model.JobRequest], bool],
        cancelled: cancelled_jobs.CancelledJobs,
        relays: order_relays.OrderRelays | None = None,
    ) -> None:
        self._out = out
        self._cancelled = cancelled
        self._overflow = overflow.Overflow()
        self._evacuations = evacuations
        self._leading = False
        self._owners = owners.Owners()
        self._queue = waiting.WaitingQueue()
        self._open_jobs = open_jobs.OpenJobs(
            out,
            self._queue,
            send=send,
            stop_runs=self._stop_runs,
            on_removed=self._request_placement,
        )
        self._accepting: list[lease_module.Lease] = []
        self._accepting_computed_at = float("-inf")
        self._task_records = task_records.TaskRecords()
        self._unfinished_runs = unfinished_runs.UnfinishedRunsLog(
            self._task_records
        )
        self._times = run_times.RunTimes(racks)
        self._health = health_module.UpstreamHealth()
        self._evidence = evidence_module.EvidenceSharing(
            self._times, self._health
        )
        self._spread = run_spread.RunSpread()
        self._processor = processor_load.ProcessorLoad()
        self._outcomes = run_outcomes.RunOutcomes(
            out, self._times, self._health, self._task_records, self._spread
        )
        self._cold = cold_upstreams.ColdUpstreams()
        self._placement = placement_module.Placement(
            self._times,
            self._health,
            cold=self._cold,
            spread=self._spread,
            out=out,
        )
        self._overdue = overdue_runs.OverdueRuns(self._times, self._placement)
        self._job_runs = job_runs.JobRuns(
            out,
            self._open_jobs,
            self._queue,
            placement=self._placement,
            outcomes=self._outcomes,
            health=self._health,
            evidence=self._evidence,
            task_records=self._task_records,
            request_placement=self._request_placement,
            higher_term_seen=higher_term_seen,
        )
        self._lease_manager = lease_manager.LeaseManager(
            out, self._job_runs, in_scope=in_scope, relays=relays
        )
        self._meter = load_meter.LoadMeter(
            self._queue, self._lease_manager, self._times, evacuations
        )
        self._admission = job_admission.JobAdmission(
            self._queue,
            self._meter,
            self._lease_manager,
            overflow=self._overflow,
            processor=self._processor,
            suitability=suitability,
            least_slowness=self._least_slowness,
            evacuations=evacuations,
            closed_to=closed_to,
        )
        self._explainer = job_explainer.JobExplainer(
            self._open_jobs.by_name,
            queue=self._queue,
            meter=self._meter,
            admission=self._admission,
            placement=self._placement,
            leases=self._lease_manager,
            times=self._times,
            task_records=self._task_records,
            evacuations=evacuations,
        )
        self._queue_pass = queue_pass.QueuePass(
            out,
            queue=self._queue,
            leases=self._lease_manager,
            placement=self._placement,
            task_records=self._task_records,
            owners=self._owners,
            admission=self._admission,
            accepting_leases=lambda now: self._accepting_leases(now=now),
            listing_complete=listing_complete,
            apply_verdict=self._open_jobs.apply,
        )
        self._placement_due = False
        self._passed_at = float("-inf")
        self._next_overdue_check_at = 0.0
        self._next_run_times_update_at = 0.0

    @property
    def lease_manager(self) -> lease_manager.LeaseManager:
        """The manager of the leases on the upstreams."""
        return self._lease_manager

    @property
    def evidence(self) -> evidence_module.EvidenceSharing:
        """What this host and earlier leaders have learnt of upstreams."""
        return self._evidence

    @property
    def cold_upstreams(self) -> cold_upstreams.ColdUpstreams:
        """The upstreams that are still slow after their start."""
        return self._cold

    @property
    def task_records(self) -> task_records.TaskRecords:
        """The upstreams that were lost under tasks."""
        return self._task_records

    @property
    def unfinished_runs(self) -> unfinished_runs.UnfinishedRunsLog:
        """The runs that this host left as it stopped leading."""
        return self._unfinished_runs

    @property
    def overflow(self) -> overflow.Overflow:
        """The loads of the other cells."""
        return self._overflow

    @property
    def processor(self) -> processor_load.ProcessorLoad:
        """How far this leader's processor is behind."""
        return self._processor

    @property
    def explainer(self) -> job_explainer.JobExplainer:
        """Reports where a job would go, without an effect."""
        return self._explainer

    @property
    def any_started(self) -> bool:
        """Whether any open job has, or may have, runs."""
        return self._open_jobs.any_started

    @property
    def waiting_jobs(self) -> int:
        """How many jobs have not had a run."""
        return self._open_jobs.unstarted_count

    @property
    def queue_figures(self) -> queue_pass.QueueFigures:
        """Figures about the queue."""
        return queue_pass.measure(self._open_jobs, self._accepting)

    def start_leading(
        self,
        term: model.Term,
        *,
        hosts: Iterable[ids.HostId],
        upstreams: Iterable[model.LeasedUpstream],
        now: float,
    ) -> None:
        """Starts to lead; the given hosts will hand over their open jobs."""
        self.stop_leading(now=now)
        self._leading = True
        self._processor.reset()
        self._admission.start_leading(now=now)
        self._owners.await_hosts(hosts, now=now)
        self._lease_manager.start_leading(term, upstreams, now=now)

    def raise_term(
        self, term: model.Term, *, hosts: Iterable[ids.HostId], now: float
    ) -> None:
        """Leads in a higher term; the given hosts may hand over more jobs."""
        self._owners.await_hosts(hosts, now=now)
        self._lease_manager.raise_term(term, now=now)

    def stop_leading(self, *, now: float) -> None:
        """Forgets all jobs; their owners hand them over to the next leader."""
        self._leading = False
        self._unfinished_runs.leave(
            self._lease_manager.leases.values(), now=now
        )
        self._open_jobs.clear()
        self._queue.clear()
        self._meter.reset()
        self._accepting = []
        self._accepting_computed_at = float("-inf")
        self._owners.clear()
        self._overflow.clear()
        self._lease_manager.stop_leading()

    def job_handed_over(
        self,
        owner: ids.HostId,
        message: peer_messages.JobHandedOver,
        *,
        redirected: bool = False,
        may_run_elsewhere: bool = False,
        now: float,
    ) -> None:
        """Handles a job that its owner hands over.

        A job may arrive again, from another owner or after the link to its
        owner was lost.

        Args:
            owner: The host that answers the caller.
            message: The job.
            redirected: Whether the leader of another cell has redirected it.
            may_run_elsewhere: Whether the job may have runs in another cell
                until the earlier runs have ended.
            now: The current time.
        """
        name = message.request.job
        if name in self._cancelled:
            self._open_jobs.tell_answer(owner, name, _CANCELLED)
            return
        answer = self._open_jobs.kept_answer(message)
        if answer is not None:
            self._open_jobs.tell_answer(owner, name, answer)
            return
        job = self._open_jobs.get(name)
        if job is not None:
            job.owner = owner
            job.deadline = now + message.deadline_in_s
            job.handed_over_at = now
            job.record_earlier_leaders(message, now=now)
            return
        job = self._add_job(owner, message, now=now)
        job.redirected = redirected
        job.may_run_elsewhere = may_run_elsewhere
        self._check_arrival(job, now=now)
        self.place_waiting(now=now)

    def job_deadline_moved(
        self,
        owner: ids.HostId,
        message: peer_messages.JobDeadlineMoved,
        *,
        now: float,
    ) -> None:
        """Ends a job that can't end by the time that its owner has left."""
        job = self._open_jobs.get(message.job)
        if job is None or job.owner != owner:
            return
        job.deadline = min(job.deadline, now + message.deadline_in_s)
        verdict = self._admission.check_deadline(job, now=now)
        self._open_jobs.apply(verdict, job, now=now)

    def all_handed_over(self, owner: ids.HostId, *, now: float) -> None:
        """Records that a host has handed over all its open jobs."""
        away_since = self._owners.handed_over(owner)
        for job in self._open_jobs:
            if job.owner == owner and job.handed_over_at < away_since:
                self._open_jobs.drop(job, reason="owner_dropped", now=now)
        if self._owners.all_handed_over(now=now):
            self._lease_manager.end_claim_period(now=now)
        self._placement_due = True
        self.place_waiting(now=now)

    def owner_lost(self, owner: ids.HostId, *, now: float) -> None:
        """Stops the jobs of a host, unless the host is linked again in time."""
        self._owners.host_lost(owner, now=now)

    def owner_left(self, owner: ids.HostId, *, now: float) -> None:
        """Stops the jobs of a host, unless it follows this one again in time."""
        self._owners.host_left(owner, now=now)

    def owner_linked(self, owner: ids.HostId, *, now: float) -> None:
        """Waits for a newly linked host to hand over its open jobs."""
        if self._leading:
            self._owners.await_hosts((owner,), now=now)
            self._lease_manager.start_claim_period()

    def job_dropped(
        self, owner: ids.HostId, name: model.JobName, *, now: float
    ) -> None:
        """Stops a job that its owner has dropped."""
        job = self._open_jobs.get(name)
        if job is not None and job.owner == owner:
            self._open_jobs.drop(job, reason="owner_dropped", now=now)
            self.place_waiting(now=now)

    def job_cancelled(self, name: model.JobName, *, now: float) -> bool:
        """Stops a job that its caller has cancelled; returns if it was open."""
        job = self._open_jobs.get(name)
        if job is None:
            return False
        self._open_jobs.fail(job, model.EndReason.CANCELLED, now=now)
        self.place_waiting(now=now)
        return True

    def place_waiting(self, *, now: float) -> None:
        """Starts waiting tasks, if jobs or resources may have changed."""
        if not self._placement_due or not self._leading:
            return
        interval_s = min(self._processor.late_s, MAX_PASS_INTERVAL_S)
        if (
            now < self._passed_at + interval_s
            and len(self._queue) >= CROWDED_QUEUE_JOBS
        ):
            return
        self._placement_due = False
        self._passed_at = now
        self._queue_pass.run(now=now)

    def evacuations_changed(self, *, now: float) -> None:
        """Applies another set of evacuated domains at once."""
        self._accepting_computed_at = float("-inf")
        self._meter.reset()
        self._placement_due = True
        self.place_waiting(now=now)

    def tick(self, *, now: float, late_s: float = 0.0) -> None:
        """Handles what has become due, and starts waiting tasks.

        Args:
            now: The current time.
            late_s: How long after its time the tick is handled.
        """
        if not self._leading:
            return
        self._processor.ticked(late_s, now=now)
        report = self._processor.take_report(now=now)
        if report is not None:
            self._out.add_decision("leader_behind", detail=report.pairs())
        if self._owners.all_handed_over(now=now):
            self._lease_manager.end_claim_period(now=now)
        self._lease_manager.tick(now=now)
        for owner in self._owners.pop_expired(now=now):
            self._open_jobs.drop_all_of(owner, now=now)
        # Jobs are checked after those ahead of them have taken free upstreams.
        self._placement_due = True
        self.place_waiting(now=now)
        self._check_open_jobs(now=now)
        for use in self._admission.take_share_uses(now=now):
            self._out.add_decision(
                "route_share_used",
                reason=use.standing.value,
                detail=use.pairs(),
                route=use.route,
                amount=round(use.work_ms),
            )
        if now >= self._next_run_times_update_at:
            self._next_run_times_update_at = now + RUN_TIMES_UPDATE_INTERVAL_S
            self._times.update(now=now)
        if now >= self._next_overdue_check_at:
            self._next_overdue_check_at = now + OVERDUE_CHECK_INTERVAL_S
            self._stop_overdue_runs(now=now)
        self._open_jobs.forget_expired(now=now)
        self._task_records.forget_expired(now=now)
        self.place_waiting(now=now)

    def _check_arrival(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Ends or moves a new job, if there is no use in keeping it."""
        self._job_runs.check_history(job, now=now)
        if not job.started and job.name in self._open_jobs:
            verdict = self._admission.check_arrival(job, now=now)
            self._open_jobs.apply(verdict, job, now=now)

    def _add_job(
        self,
        owner: ids.HostId,
        message: peer_messages.JobHandedOver,
        *,
        now: float,
    ) -> jobs.LeasedJob:
        request = message.request
        job = jobs.LeasedJob(
            request=request,
            owner=owner,
            arrived_at=now - message.arrived_ago_s,
            deadline=now + message.deadline_in_s,
            base_ms=self._times.base_ms(request),
            handed_over_at=now,
        )
        job.record_earlier_leaders(message, now=now)
        for task in job.tasks:
            if not message.had_earlier_leader:
                self._task_records.forget_failures(task.key, now=now)
            task.failures = self._task_records.failures(task.key)
        self._open_jobs.add(job)
        self._lease_manager.adopt_runs(job, now=now)
        self._queue.update(job)
        self._placement_due = True
        if not job.started:
            self._meter.job_added(job, now=now)
            self._processor.job_arrived(request.settings)
        return job

    def cell_load(self, *, now: float) -> cell_load.CellLoad:
        """Returns the load of this leader's upstreams, for other leaders."""
        load = self._meter.load(now=now)
        return self._processor.with_wait(
            cell_load.CellLoad(load.slots, load.free_slots, load.waiting_ms)
        )

    def _accepting_leases(self, *, now: float) -> list[lease_module.Lease]:
        """Returns the leases that accept runs, the fastest upstream first."""
        if now >= self._accepting_computed_at + ACCEPTING_LEASES_CACHE_S:
            self._accepting_computed_at = now
            leases = self._evacuations.open_leases(
                self._lease_manager.leases.values(), now=now
            )
            self._accepting = self._placement.fastest_first(leases)
        return self._accepting

    def _least_slowness(self, now: float) -> float:
        """Returns the slowness of the fastest upstream that accepts runs."""
        leases = self._accepting_leases(now=now)
        return self._times.slowness(leases[0].upstream) if leases else 0.0

    def _check_open_jobs(self, *, now: float) -> None:
        """Ends jobs that can't be served any more."""
        for job in self._open_jobs:
            if now >= job.deadline:
                self._open_jobs.drop(job, reason="deadline_passed", now=now)
                continue
            verdict = self._admission.check_open(job, now=now)
            self._open_jobs.apply(verdict, job, now=now)

    def _stop_runs(self, job: jobs.LeasedJob, *, now: float) -> None:
        self._lease_manager.stop_job(job, now=now)

    def _request_placement(self) -> None:
        self._placement_due = True

    def _stop_overdue_runs(self, *, now: float) -> None:
        overdue = self._overdue.find(
            self._lease_manager.leases.values(),
            self._accepting_leases(now=now),
            late_s=self._processor.longest_late_s,
            now=now,
        )
        for overdue_run in overdue:
            task = overdue_run.job.tasks[overdue_run.run.key.task.index]
            task.last_overdue_run_s = overdue_run.running_s
            self._out.add_decision(
                "run_overdue",
                job=overdue_run.job.name,
                detail=f"{overdue_run.run.key.pairs()} "
                f"upstream={overdue_run.lease.upstream.upstream} "
                f"running_s={overdue_run.running_s:.3f} "
                f"expected_s={overdue_run.expected_s:.3f}",
            )
            self._lease_manager.stop_run(
                overdue_run.lease, overdue_run.run, now=now
            )
