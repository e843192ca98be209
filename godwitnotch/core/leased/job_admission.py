"""Decides what becomes of a job on arrival, and while it waits.

A job is kept, moved to the leader of another cell, or ended at once with a time
to come back.
"""

import copy
from collections.abc import Callable

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import admission
from godwitnotch.core.leased import cell_load
from godwitnotch.core.leased import evacuation
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import late_jobs
from godwitnotch.core.leased import lease_manager as lease_manager_module
from godwitnotch.core.leased import load_meter
from godwitnotch.core.leased import model
from godwitnotch.core.leased import overflow as overflow_module
from godwitnotch.core.leased import processor_load
from godwitnotch.core.leased import retry_times
from godwitnotch.core.leased import shares as shares_module
from godwitnotch.core.leased import useless_jobs
from godwitnotch.core.leased import waiting
from godwitnotch.core.leased.jobs import TaskState

# A leader that holds no lease refuses jobs that have not had a run, once it has
# led for this time.
NO_UPSTREAM_TIMEOUT_S = 0.4
NO_UPSTREAM_RETRY_AFTER_S = 1.0
# A new leader refuses no job by its load until all upstreams have sent their
# list of runs, or for this time.
SETTLING_TIMEOUT_S = 0.4


class Kept(msgspec.Struct, frozen=True):
    """The job stays in the queue.

    Attributes:
        event: The log event; empty for none.
        detail: The figures behind the decision, for the log.
    """

    event: str = ""
    detail: str = ""


class Moved(msgspec.Struct, frozen=True):
    """The job goes to the leader of another cell."""

    leader: ids.HostId


class Ended(msgspec.Struct, frozen=True):
    """The job is answered at once.

    Attributes:
        answer: The answer.
        event: The log event; empty for none.
        detail: The figures behind the decision, for the log.
        cause: Why, for the log and the metrics, if that says more than the
            answer's reason; else empty.
    """

    answer: model.Answer
    event: str = ""
    detail: str = ""
    cause: str = ""


class LoadAssessment(msgspec.Struct, frozen=True):
    """How a job stands in regard to the load, without an effect on it.

    Attributes:
        any_open: Whether this leader holds a lease under which tasks start.
        settling: Whether this new leader doesn't know its capacity yet.
        ahead_ms: Expected run time of the waiting tasks ahead of the job.
        load: The load.
        share: Where the job stands in regard to its route's share.
        decision: Whether it may wait.
    """

    any_open: bool
    settling: bool
    ahead_ms: float
    load: admission.Load
    share: shares_module.Standing
    decision: admission.AdmissionDecision


Verdict = Kept | Moved | Ended
_KEPT = Kept()


class JobAdmission:
    """Decides about the jobs of one leader.

    Args:
        queue: The jobs that wait.
        meter: Measures the leader's load.
        leases: The leases on the upstreams.
        overflow: The loads of the other cells.
        processor: How far this leader's processor is behind.
        suitability: Tells how long a job's tasks take in each cell.
        least_slowness: Returns the slowness of the fastest upstream that
            accepts runs; 0 if there is none.
        evacuations: The evacuated failure domains.
        closed_to: Returns whether only evacuated upstreams could run a job.
    """

    def __init__(
        self,
        queue: waiting.WaitingQueue,
        meter: load_meter.LoadMeter,
        leases: lease_manager_module.LeaseManager,
        *,
        overflow: overflow_module.Overflow,
        processor: processor_load.ProcessorLoad,
        suitability: Callable[[model.JobRequest], overflow_module.Suitability],
        least_slowness: Callable[[float], float],
        evacuations: evacuation.Evacuations,
        closed_to: Callable[[model.JobRequest], bool],
    ) -> None:
        self._queue = queue
        self._meter = meter
        self._leases = leases
        self._overflow = overflow
        self._processor = processor
        self._suitability = suitability
        self._least_slowness = least_slowness
        self._evacuations = evacuations
        self._closed_to = closed_to
        self._shares = shares_module.RouteShares(meter.rates)
        self._leading_since = 0.0

    def copy(
        self,
        queue: waiting.WaitingQueue,
        meter: load_meter.LoadMeter,
        *,
        least_slowness: Callable[[float], float],
    ) -> "JobAdmission":
        """Returns an admission that decides the same, without an effect here.

        Args:
            queue: A copy of the queue.
            meter: A copy of the meter, for that queue.
            least_slowness: See the class.
        """
        twin = copy.copy(self)
        twin._queue = queue
        twin._meter = meter
        twin._overflow = self._overflow.copy()
        twin._shares = self._shares.copy(meter.rates)
        twin._least_slowness = least_slowness
        return twin

    def start_leading(self, *, now: float) -> None:
        """Records when this host has started to lead."""
        self._leading_since = now
        self._meter.reset(now=now)
        self._shares.reset()

    def check_arrival(self, job: jobs.LeasedJob, *, now: float) -> Verdict:
        """Decides about a job that has had no run."""
        hopeless = self.check_deadline(job, now=now)
        if isinstance(hopeless, Ended):
            return hopeless
        if self._closed_to(job.request):
            return self._check_closed(job, now=now)
        if not job.redirected:
            leader = self._find_sooner_leader(job, now=now)
            if leader is not None:
                return Moved(leader)
        if not job.rechecked and not self._processor.takes(job.name):
            return self._leader_behind(job, now=now)
        return self._check_load(job, now=now)

    def _leader_behind(self, job: jobs.LeasedJob, *, now: float) -> Ended:
        """Refuses a job, as this leader's processor is behind."""
        wait_s = admission.MIN_RETRY_AFTER_S + self._processor.wait_s
        answer = model.Answer(
            model.JobEnd.REFUSED,
            model.EndReason.OVERLOADED,
            retry_times.spread(wait_s, job.name),
        )
        return Ended(
            answer,
            "job_refused",
            f"route={job.request.settings.route} "
            f"refused_share={self._processor.refused_share:.2f} "
            f"late_ms={self._processor.late_s * 1_000:.0f}",
            "leader_behind",
        )

    def check_open(self, job: jobs.LeasedJob, *, now: float) -> Verdict:
        """Decides again about a job that has not ended."""
        verdict = self.check_deadline(job, now=now)
        if not isinstance(verdict, Kept):
            return verdict
        if job.started:
            return self._check_started(job, now=now)
        return self._check_waiting(job, now=now)

    def _check_waiting(self, job: jobs.LeasedJob, *, now: float) -> Verdict:
        """Decides again about a job that still has had no run."""
        if self._closed_to(job.request):
            return self._check_closed(job, now=now)
        leading_s = now - self._leading_since
        if leading_s >= NO_UPSTREAM_TIMEOUT_S and not self._any_open(now=now):
            return _no_upstream(model.JobEnd.REFUSED)
        waited_s = now - job.arrived_at
        due = waited_s >= job.target_response_s * admission.RECHECK_SHARE
        if due and not job.rechecked and not self._settling(now=now):
            job.rechecked = True
            return self.check_arrival(job, now=now)
        return _KEPT

    def _check_closed(self, job: jobs.LeasedJob, *, now: float) -> Verdict:
        """Moves or refuses a job that only evacuated upstreams could run.

        A job that another leader has redirected here moves once more. All hosts
        know one set of domains within milliseconds, so it doesn't go to and fro.
        """
        leader = self._find_sooner_leader(job, now=now)
        if leader is not None:
            return Moved(leader)
        others = self._suitability(job.request).others
        if others and now - job.arrived_at < NO_UPSTREAM_TIMEOUT_S:
            return _KEPT  # The loads of the other cells aren't known yet.
        return self._evacuated(model.JobEnd.REFUSED)

    def _check_started(self, job: jobs.LeasedJob, *, now: float) -> Verdict:
        """Gives up a job whose waiting tasks no upstream may run any more.

        Its runs, also those of earlier leaders, end by themselves first.
        """
        if (
            not job.waiting_task_count
            or now < job.earlier_runs_end_by
            or not self._closed_to(job.request)
            or any(task.state is TaskState.ORDERED for task in job.tasks)
        ):
            return _KEPT
        return self._evacuated(model.JobEnd.GIVEN_UP)

    def _evacuated(self, end: model.JobEnd) -> Ended:
        """Ends a job that only evacuated upstreams could run."""
        domains = ",".join(sorted(self._evacuations.domains))
        return msgspec.structs.replace(
            _no_upstream(end),
            event="job_upstreams_evacuated",
            detail=f"domains={domains}",
        )

    def take_share_uses(
        self, *, now: float
    ) -> tuple[shares_module.ShareUse, ...]:
        """Returns the use of shares since the last call, if that is due."""
        return self._shares.take_uses(now=now)

    def check_deadline(self, job: jobs.LeasedJob, *, now: float) -> Verdict:
        """Ends a job whose waiting tasks can't end by its deadline."""
        if not job.waiting_task_count:
            return _KEPT
        useless = self._check_use(job, now=now)
        if isinstance(useless, Ended):
            return useless
        if admission.can_end_by_deadline(
            job, least_slowness=self._least_slowness(now), now=now
        ):
            return _KEPT
        end = model.JobEnd.GIVEN_UP if job.started else model.JobEnd.REFUSED
        answer = model.Answer(
            end,
            model.EndReason.DEADLINE_PASSED,
            self._retry_after_s(job, now=now),
        )
        return Ended(
            answer,
            "job_cannot_finish",
            f"left_s={job.deadline - now:.3f} "
            f"base_ms={job.base_ms:.0f} waiting={job.waiting_task_count}",
        )

    def _check_use(self, job: jobs.LeasedJob, *, now: float) -> Verdict:
        """Ends a job whose answer would be of no use, while room is short."""
        if not self._shares.is_short(now=now):
            return _KEPT
        if not useless_jobs.is_useless(
            job, least_slowness=self._least_slowness(now), now=now
        ):
            return _KEPT
        self._shares.record_short(now=now)
        end = model.JobEnd.GIVEN_UP if job.started else model.JobEnd.REFUSED
        answer = model.Answer(
            end,
            model.EndReason.OVERLOADED,
            self._retry_after_s(job, now=now),
        )
        return Ended(
            answer,
            "job_of_no_use",
            f"route={job.request.settings.route} "
            f"waited_s={now - job.arrived_at:.3f} "
            f"target_s={job.target_response_s:.3f} base_ms={job.base_ms:.0f} "
            f"waiting={job.waiting_task_count}",
        )

    def check_suspect(self, job: jobs.LeasedJob, *, now: float) -> Verdict:
        """Ends a job that is too late to risk another upstream for it."""
        if admission.can_end_usefully(job, now=now):
            return _KEPT
        answer = model.Answer(
            model.JobEnd.GIVEN_UP, model.EndReason.UPSTREAM_LOST
        )
        return Ended(
            answer,
            "job_too_late_to_risk",
            f"waited_s={now - job.arrived_at:.3f} "
            f"target_s={job.target_response_s:.3f}",
        )

    def _find_sooner_leader(
        self, job: jobs.LeasedJob, *, now: float
    ) -> ids.HostId | None:
        """Returns the leader of a cell in which a job ends sooner, if any."""
        if not self._overflow.any_known:
            return None
        load = self._meter.load(now=now)
        own = self._processor.with_wait(
            cell_load.CellLoad(
                load.slots, load.free_slots, self._queue.ahead_ms(job, now=now)
            )
        )
        return self._overflow.choose(
            job, own, self._suitability(job.request), now=now
        )

    def _check_load(self, job: jobs.LeasedJob, *, now: float) -> Verdict:
        """Refuses a job that is expected to miss its target response time."""
        if not self._any_open(now=now) or self._settling(now=now):
            return _KEPT
        ahead_ms = self._queue.ahead_ms(job, now=now)
        load = self._meter.load(now=now)
        if not job.rechecked:
            self._take_share(job, load, now=now)
        decision = _decide(
            job, ahead_ms, load, over_share=job.over_share, now=now
        )
        if decision.admitted:
            return _KEPT
        if not decision.in_time:
            self._shares.record_short(now=now)
        kept = self._keep_late(job, load, now=now)
        if kept is not None:
            return kept
        answer = model.Answer(
            model.JobEnd.REFUSED,
            model.EndReason.OVERLOADED,
            self._retry_after_s(job, now=now),
        )
        return Ended(
            answer,
            "job_refused",
            f"route={job.request.settings.route} "
            f"wait_s={decision.wait_s:.3f} ahead_ms={ahead_ms:.0f} "
            f"slots={load.slots:.1f} base_ms={job.base_ms:.0f}",
            "over_share" if decision.in_time else "",
        )

    def assess_load(self, job: jobs.LeasedJob, *, now: float) -> LoadAssessment:
        """Returns how a new job stands in regard to the load; takes no share."""
        ahead_ms = self._queue.ahead_ms(job, now=now)
        load = self._meter.load(now=now)
        claim = self._shares.claim(
            job.request.settings.route,
            waiting.work_left_ms(job),
            load.capacity_ms_per_s,
            now=now,
        )
        over_share = claim.standing is shares_module.Standing.EXCESS
        return LoadAssessment(
            any_open=self._any_open(now=now),
            settling=self._settling(now=now),
            ahead_ms=ahead_ms,
            load=load,
            share=claim.standing,
            decision=_decide(
                job, ahead_ms, load, over_share=over_share, now=now
            ),
        )

    def _any_open(self, *, now: float) -> bool:
        """Returns whether this leader holds a lease under which tasks start."""
        return self._evacuations.any_open(self._leases.leases.values(), now=now)

    def _take_share(
        self, job: jobs.LeasedJob, load: admission.Load, *, now: float
    ) -> None:
        """Counts a job against its route's share while room is short."""
        standing = self._shares.take(
            job.request.settings.route,
            waiting.work_left_ms(job),
            load.capacity_ms_per_s,
            now=now,
        )
        job.over_share = standing is shares_module.Standing.EXCESS

    def _keep_late(
        self, job: jobs.LeasedJob, load: admission.Load, *, now: float
    ) -> Kept | None:
        """Keeps a late job behind all others if its answer will be of use."""
        drain = late_jobs.Drain(
            waiting_ms=self._queue.total_ms(now=now),
            capacity_ms_per_s=load.capacity_ms_per_s,
            sustained_ms_per_s=self._meter.rates.sustained(now=now),
        )
        if not late_jobs.can_be_useful(job, drain, now=now):
            return None
        if job.kept_late:
            return _KEPT
        job.kept_late = True
        self._queue.reorder()
        return Kept(
            "job_kept_late",
            f"route={job.request.settings.route} "
            f"waiting_ms={drain.waiting_ms:.0f} "
            f"capacity_ms_per_s={drain.capacity_ms_per_s:.0f} "
            f"base_ms={job.base_ms:.0f}",
        )

    def _retry_after_s(self, job: jobs.LeasedJob, *, now: float) -> float:
        """Returns when the caller of a job that is refused should come back."""
        drained_s = admission.retry_after_s(self._meter.load(now=now))
        if not self._shares.is_short(now=now):
            return drained_s
        return retry_times.spread(drained_s, job.name)

    def _settling(self, *, now: float) -> bool:
        """Returns whether this new leader doesn't know its capacity yet."""
        return (
            now - self._leading_since < SETTLING_TIMEOUT_S
            and self._leases.awaits_first_lists()
        )


def _decide(
    job: jobs.LeasedJob,
    ahead_ms: float,
    load: admission.Load,
    *,
    over_share: bool,
    now: float,
) -> admission.AdmissionDecision:
    """Returns whether a job may wait, given its route's share."""
    return admission.decide(
        job,
        ahead_ms,
        load,
        slack_share=shares_module.slack_share(over_share=over_share),
        now=now,
    )


def _no_upstream(end: model.JobEnd) -> Ended:
    """Ends a job as no upstream may run it."""
    return Ended(
        model.Answer(
            end, model.EndReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_S
        )
    )
