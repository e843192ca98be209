"""Dispatches all jobs while this host leads: one queue, one view of all room."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core.leased import admission
from godwitnotch.core.leased import evidence as evidence_module
from godwitnotch.core.leased import health as health_module
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import lease_keeper
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import overdue_runs
from godwitnotch.core.leased import owners
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import placement as placement_module
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased import waiting
from godwitnotch.core.leased.jobs import TaskState

NO_UPSTREAM_WAIT_S = 0.4  # For a first upstream to be held.
ANSWER_KEPT_S = 3.0  # For an owner whose link broke before it was told.
OVERDUE_LOOK_S = 0.05
# How long what is known of all upstreams is kept before it is made anew.
LOAD_KEPT_S = 0.02
OPEN_KEPT_S = 0.01
# Jobs in a row that find no room before the pass ends.
MAX_MISSES = 4

AnswerOwner = Callable[[ids.HostId, model.JobName, model.Answer], None]


@dataclass(frozen=True, slots=True)
class _KeptAnswer:
    answer: model.Answer
    until: float


class Dispatcher:
    """Queues jobs, places their tasks and learns how they end.

    Args:
        out: Takes orders and decisions.
        answer_owner: Tells the owner of a job its answer.
        in_scope: Tells whether an upstream may be held at all.
        all_listed: Tells whether nothing can run at upstreams not listed.
        outranked: Learns that an upstream has seen a higher term.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        *,
        answer_owner: AnswerOwner,
        in_scope: Callable[[model.LeasedUpstream], bool],
        all_listed: Callable[[float], bool],
        outranked: Callable[[lease_module.Lease, bool, float], None],
    ) -> None:
        self._out = out
        self._answer_owner = answer_owner
        self._all_listed = all_listed
        self._outranked = outranked
        self._leading = False
        self._took_office_at = 0.0
        self._owners = owners.Owners()
        self._jobs: dict[model.JobName, jobs.LeasedJob] = {}
        self._queue = waiting.WaitingQueue()
        self._load_known = admission.Load(0.0, 0.0, 0.0)
        self._load_at = float("-inf")
        self._open: list[lease_module.Lease] = []
        self._open_at = float("-inf")
        self._kept: dict[model.JobName, _KeptAnswer] = {}
        self._times = run_times.RunTimes()
        self._health = health_module.UpstreamHealth()
        self._evidence = evidence_module.Evidence(self._times, self._health)
        self._placement = placement_module.Placement(self._times, self._health)
        self._overdue = overdue_runs.OverdueRuns(self._times, self._placement)
        self._keeper = lease_keeper.LeaseKeeper(out, self, in_scope=in_scope)
        self._dirty = False
        self._overdue_look_at = 0.0
        self._usual_cpu_millis = 0.0

    @property
    def keeper(self) -> lease_keeper.LeaseKeeper:
        """The leases on the upstreams."""
        return self._keeper

    @property
    def evidence(self) -> evidence_module.Evidence:
        """What is known of upstreams by their runs."""
        return self._evidence

    @property
    def waiting_jobs(self) -> int:
        """Returns how many jobs have no run yet."""
        return sum(not job.started for job in self._jobs.values())

    def take_office(
        self,
        term: model.Term,
        *,
        hosts: Iterable[ids.HostId],
        upstreams: Iterable[model.LeasedUpstream],
        now: float,
    ) -> None:
        """Starts to lead; each of the hosts will hand over its open jobs."""
        self.resign()
        self._leading = True
        self._took_office_at = now
        self._owners.await_hosts(hosts, now=now)
        self._keeper.take_office(term, upstreams, now=now)

    def resign(self) -> None:
        """Forgets all jobs; their owners hand them to the next leader."""
        self._leading = False
        self._jobs.clear()
        self._queue.clear()
        self._load_at = float("-inf")
        self._open_at = float("-inf")
        self._kept.clear()
        self._owners.clear()
        self._keeper.resign()

    def handed_over(
        self,
        owner: ids.HostId,
        message: peer_messages.JobHandedOver,
        *,
        now: float,
    ) -> None:
        """Takes a job from its owner; again if the owner or leader changed."""
        name = message.request.job
        kept = self._kept.get(name)
        if kept is not None and message.handed_on:
            self._answer_owner(owner, name, kept.answer)
            return
        job = self._jobs.get(name)
        if job is not None:
            job.owner = owner
            job.deadline = now + message.ends_in_s
            return
        self._add(owner, message, now=now)
        self.settle(now=now)

    def all_handed_over(self, owner: ids.HostId, *, now: float) -> None:
        """Learns that a host has handed over all its open jobs."""
        self._owners.handed_over(owner)
        if self._owners.all_handed_over(now=now):
            self._keeper.close_claims(now=now)
        self._dirty = True
        self.settle(now=now)

    def owner_lost(self, owner: ids.HostId, *, now: float) -> None:
        """Stops the jobs of a host soon, unless its link opens again."""
        self._owners.lost(owner, now=now)

    def owner_linked(self, owner: ids.HostId, *, now: float) -> None:
        """Awaits the open jobs of a host that is heard from now on."""
        if self._leading:
            self._owners.await_hosts((owner,), now=now)
            self._keeper.open_claims()

    def dropped(
        self, owner: ids.HostId, name: model.JobName, *, now: float
    ) -> None:
        """Stops a job that its owner no longer wants."""
        job = self._jobs.get(name)
        if job is not None and job.owner == owner:
            self._drop(job, reason="owner_dropped", now=now)
            self.settle(now=now)

    def cancelled(self, name: model.JobName, *, now: float) -> None:
        """Stops a job at its caller's wish."""
        job = self._jobs.get(name)
        if job is not None:
            answer = model.Answer(
                model.JobEnd.FAILED, model.EndReason.CANCELLED
            )
            self._end(job, answer, now=now)
            self.settle(now=now)

    def settle(self, *, now: float) -> None:
        """Places what can be placed, after events at the upstreams."""
        if not self._dirty or not self._leading:
            return
        self._dirty = False
        if not len(self._queue):
            return
        leases = self._open_leases(now=now)
        most = max((lease.room.cpu_millis for lease in leases), default=0)
        all_seen = self._all_listed(now) and self._keeper.all_seen()
        misses = 0
        for job in tuple(self._queue.ordered(now=now)):
            if now < job.unsure_until and not all_seen:
                continue
            fits = job.request.tasks.needs.cpu_millis <= most
            if not fits or not self._place(job, leases, now=now):
                misses += 1
            if misses >= MAX_MISSES:
                return

    def tick(self, *, now: float) -> None:
        """Does what is due."""
        if not self._leading:
            return
        if self._owners.all_handed_over(now=now):
            self._keeper.close_claims(now=now)
        self._keeper.tick(now=now)
        for owner in self._owners.take_gone(now=now):
            self._drop_owner(owner, now=now)
        self._end_overdue_jobs(now=now)
        if now >= self._overdue_look_at:
            self._overdue_look_at = now + OVERDUE_LOOK_S
            self._stop_overdue_runs(now=now)
        for name, kept in tuple(self._kept.items()):
            if now >= kept.until:
                del self._kept[name]
        self._dirty = True
        self.settle(now=now)

    def claimed(self, key: model.RunKey) -> jobs.LeasedJob | None:
        """Returns the job that wants a run found at an upstream."""
        job = self._jobs.get(key.task.job)
        if job is None or key.task.index >= len(job.tasks):
            return None
        task = job.tasks[key.task.index]
        if task.state is not TaskState.WAITING:
            return None
        job.set_state(task, TaskState.ORDERED)
        task.next_run = key.run + 1
        job.started = True
        self._out.decided(
            "run_adopted", job=job.name, detail=f"task={key.task.index}"
        )
        return job

    def run_ended(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        end: model.RunEnd,
        *,
        now: float,
    ) -> None:
        """Learns that a run is gone."""
        self._dirty = True
        job = self._wanting(run)
        if job is None:
            return
        task = job.tasks[run.key.task.index]
        upstream = lease.upstream
        if end is model.RunEnd.DONE:
            self._out.decided(
                "run_ended",
                job=job.name,
                detail=f"task={task.key.index} upstream={upstream.upstream} "
                f"ran_ms={(now - run.ordered_at) * 1_000:.0f}",
            )
            self._learn_done(lease, run, job, now=now)
            job.set_state(task, TaskState.DONE)
            if job.finished():
                self._end(job, model.Answer(model.JobEnd.COMPLETED), now=now)
            return
        self._wait_again(job, task)
        self._out.decided(
            "run_lost",
            job=job.name,
            reason=end.value,
            detail=f"task={task.key.index} upstream={upstream.upstream} "
            f"ran_s={now - run.ordered_at:.3f}",
        )
        if end is model.RunEnd.FAILED:
            self._run_failed(lease, job, task, now=now)

    def order_rejected(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        refusal: model.OrderRefusal,
        *,
        now: float,
    ) -> None:
        """Learns that a start was rejected; nothing has run."""
        self._dirty = True
        job = self._wanting(run)
        if job is None:
            return
        task = job.tasks[run.key.task.index]
        self._wait_again(job, task)
        if refusal is model.OrderRefusal.OLD_RUN:
            task.next_run = run.key.run * 2 + 1
        elif refusal is model.OrderRefusal.MALFORMED:
            answer = model.Answer(
                model.JobEnd.FAILED, model.EndReason.MALFORMED_JOB
            )
            self._end(job, answer, now=now)
        else:
            self._health.refused(lease.upstream.upstream, now=now)

    def _wanting(self, run: lease_module.Run) -> jobs.LeasedJob | None:
        """Returns the job of a run, unless it was ended or dropped."""
        job = run.job
        if job is None or self._jobs.get(job.name) is not job:
            return None
        return job

    def _wait_again(self, job: jobs.LeasedJob, task: jobs.LeasedTask) -> None:
        job.set_state(task, TaskState.WAITING)
        self._queue.update(job)

    def outranked(
        self, lease: lease_module.Lease, *, taken: bool, now: float
    ) -> None:
        """Learns that an upstream has seen a higher term."""
        self._outranked(lease, taken, now)

    def _add(
        self,
        owner: ids.HostId,
        message: peer_messages.JobHandedOver,
        *,
        now: float,
    ) -> None:
        request = message.request
        unsure_until = now + message.safe_in_s if message.safe_in_s > 0 else 0.0
        job = jobs.LeasedJob(
            request=request,
            owner=owner,
            arrived_at=now - message.arrived_ago_s,
            deadline=now + message.ends_in_s,
            unsure_until=unsure_until,
            base_ms=self._times.base_ms(request),
            started=message.handed_on,
        )
        self._jobs[request.job] = job
        self._keeper.claim(job)
        self._queue.update(job)
        self._dirty = True
        if job.started:
            return
        known = self._usual_cpu_millis or request.tasks.needs.cpu_millis
        new = request.tasks.needs.cpu_millis
        self._usual_cpu_millis = known + 0.05 * (new - known)
        self._judge(job, now=now)

    def _judge(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Refuses a job that is expected to end too late."""
        if not self._keeper.holds_any():
            return
        ahead_ms = self._queue.ahead_ms(job, now=now)
        load = self._load(now=now)
        verdict = admission.judge(job, ahead_ms, load, now=now)
        if verdict.admitted:
            return
        self._out.decided(
            "job_refused",
            job=job.name,
            reason=model.EndReason.OVERLOADED.value,
            detail=f"wait_s={verdict.wait_s:.3f} ahead_ms={ahead_ms:.0f} "
            f"slots={load.slots:.1f} base_ms={job.base_ms:.0f}",
        )
        answer = model.Answer(
            model.JobEnd.REFUSED,
            model.EndReason.OVERLOADED,
            verdict.retry_after_s,
        )
        self._end(job, answer, now=now)

    def _load(self, *, now: float) -> admission.Load:
        if now < self._load_at + LOAD_KEPT_S:
            return self._load_known
        self._load_at = now
        leases = self._keeper.leases.values()
        running_s = sum(
            max(0.0, run.expected_s - (now - run.ordered_at))
            for lease in leases
            for run in lease.runs.values()
        )
        slots = admission.slots(
            leases, self._times, cpu_millis=self._usual_cpu_millis
        )
        waiting_ms = self._queue.total_ms(now=now)
        self._load_known = admission.Load(slots, waiting_ms, running_s * 1_000)
        return self._load_known

    def _open_leases(self, *, now: float) -> list[lease_module.Lease]:
        """Returns the upstreams that take work, the fastest first."""
        if now >= self._open_at + OPEN_KEPT_S:
            self._open_at = now
            leases = self._keeper.leases.values()
            self._open = self._placement.fastest_first(leases)
        return self._open

    def _place(
        self,
        job: jobs.LeasedJob,
        leases: list[lease_module.Lease],
        *,
        now: float,
    ) -> bool:
        """Orders runs of a job's tasks; returns whether all found room."""
        for task in tuple(job.waiting()):
            if self._keeper.goes_on(task.key):
                continue
            lease = self._placement.choose(job, task, leases, now=now)
            if lease is None:
                return False
            self._start(job, task, lease, now=now)
        self._queue.update(job)
        return True

    def _start(
        self,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        lease: lease_module.Lease,
        *,
        now: float,
    ) -> None:
        key = model.RunKey(task.key, model.RunNumber(task.next_run))
        task.next_run += 1
        job.set_state(task, TaskState.ORDERED)
        job.started = True
        expected_ms = self._placement.expected_ms(job, lease)
        self._out.decided(
            "run_ordered",
            job=job.name,
            detail=f"task={task.key.index} run={key.run} "
            f"upstream={lease.upstream.upstream} expected_ms={expected_ms:.0f}",
        )
        self._keeper.start(
            lease, job, key, expected_s=expected_ms / 1_000, now=now
        )

    def _learn_done(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        job: jobs.LeasedJob,
        *,
        now: float,
    ) -> None:
        self._health.ended_well(lease.upstream.upstream)
        if run.expected_s and run.settled_at is not None:
            ran_ms = (now - run.ordered_at) * 1_000
            slowness = self._times.slowness(lease.upstream)
            self._times.ended(job.request, lease.upstream, ran_ms=ran_ms)
            if not job.measured:
                job.measured = True
                job.base_ms = ran_ms / slowness

    def _run_failed(
        self,
        lease: lease_module.Lease,
        job: jobs.LeasedJob,
        task: jobs.LeasedTask,
        *,
        now: float,
    ) -> None:
        upstream = lease.upstream.upstream
        task.failures += 1
        task.avoid.add(upstream)
        if task.failures > 1:
            self._health.absolve(job.name)
        elif self._health.failed(upstream, job.name, now=now):
            self._out.decided("upstream_ejected", detail=f"upstream={upstream}")
        if task.failures >= job.request.terms.max_failures:
            answer = model.Answer(
                model.JobEnd.FAILED, model.EndReason.TASK_FAILED
            )
            self._end(job, answer, now=now)

    def _end(
        self, job: jobs.LeasedJob, answer: model.Answer, *, now: float
    ) -> None:
        self._kept[job.name] = _KeptAnswer(answer, now + ANSWER_KEPT_S)
        self._forget(job, now=now)
        self._answer_owner(job.owner, job.name, answer)

    def _drop_owner(self, owner: ids.HostId, *, now: float) -> None:
        for job in tuple(self._jobs.values()):
            if job.owner == owner:
                self._drop(job, reason="owner_lost", now=now)

    def _drop(self, job: jobs.LeasedJob, *, reason: str, now: float) -> None:
        self._out.decided("job_dropped", job=job.name, reason=reason)
        self._forget(job, now=now)

    def _forget(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Stops the runs of a job, which count until they are gone."""
        del self._jobs[job.name]
        self._queue.discard(job)
        self._dirty = True
        if not job.finished():
            self._keeper.stop_all(job, now=now)

    def _end_overdue_jobs(self, *, now: float) -> None:
        for job in tuple(self._jobs.values()):
            if now >= job.deadline:
                self._drop(job, reason="deadline_passed", now=now)
            elif not job.started:
                self._look_again(job, now=now)

    def _look_again(self, job: jobs.LeasedJob, *, now: float) -> None:
        waited_s = now - job.arrived_at
        in_office_s = now - self._took_office_at
        if not self._keeper.holds_any() and in_office_s >= NO_UPSTREAM_WAIT_S:
            answer = model.Answer(
                model.JobEnd.REFUSED, model.EndReason.NO_UPSTREAM, 1.0
            )
            self._end(job, answer, now=now)
            return
        due = waited_s >= job.aim_s * admission.SECOND_LOOK_SHARE
        if due and not job.checked:
            job.checked = True
            self._judge(job, now=now)

    def _stop_overdue_runs(self, *, now: float) -> None:
        overdue = self._overdue.find(
            self._keeper.leases.values(),
            self._open_leases(now=now),
            now=now,
        )
        for each in overdue:
            task = each.job.tasks[each.run.key.task.index]
            task.overdue_s = each.running_s
            self._out.decided(
                "run_overdue",
                job=each.job.name,
                detail=f"task={task.key.index} "
                f"upstream={each.lease.upstream.upstream} "
                f"running_s={each.running_s:.3f} "
                f"expected_s={each.expected_s:.3f}",
            )
            self._keeper.stop(each.lease, each.run, now=now)
