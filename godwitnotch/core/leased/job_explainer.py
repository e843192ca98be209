"""Answers `explain-job`: where a job would go now, and why.

Runs the leader's admission on copies of the state that it changes, and the
placement, which changes nothing. So a report never differs from the decisions,
and has no effect on them.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import evacuation
from godwitnotch.core.leased import explanation
from godwitnotch.core.leased import job_admission
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import lease_manager as lease_manager_module
from godwitnotch.core.leased import load_meter
from godwitnotch.core.leased import model
from godwitnotch.core.leased import placement as placement_module
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased import task_records as task_records_module
from godwitnotch.core.leased import waiting
from godwitnotch.core.leased.explanation import AdmissionOutcome
from godwitnotch.core.leased.explanation import PlacementOutcome
from godwitnotch.core.leased.task_records import StartRule

# Decoders of messages reject infinite numbers, and close the link.
MAX_FIGURE = 1e9

_NO_UPSTREAM = ids.UpstreamId("")
_NO_DOMAIN = ids.DomainId("")

_Description = tuple[PlacementOutcome, ids.UpstreamId, float]
_Describe = Callable[[Any, float], _Description]
_DESCRIPTIONS: dict[type, _Describe] = {}


def _describes(kind: type) -> Callable[[_Describe], _Describe]:
    """Registers the description of a placement verdict."""

    def register(describe: _Describe) -> _Describe:
        _DESCRIPTIONS[kind] = describe
        return describe

    return register


@_describes(placement_module.Placed)
def _placed(verdict: placement_module.Placed, now: float) -> _Description:
    return PlacementOutcome.PLACED, verdict.lease.upstream.upstream, 0.0


@_describes(placement_module.NoRoom)
def _no_room(verdict: placement_module.NoRoom, now: float) -> _Description:
    return PlacementOutcome.NO_ROOM, _NO_UPSTREAM, 0.0


@_describes(placement_module.WaitsForRack)
def _waits_for_rack(
    verdict: placement_module.WaitsForRack, now: float
) -> _Description:
    wait = verdict.wait
    return PlacementOutcome.WAITS_FOR_RACK, wait.upstream, wait.until - now


@_describes(placement_module.WaitsForFaster)
def _waits_for_faster(
    verdict: placement_module.WaitsForFaster, now: float
) -> _Description:
    place = verdict.place
    return (
        PlacementOutcome.WAITS_FOR_FASTER,
        place.upstream,
        place.free_at - now,
    )


class JobExplainer:
    """Reports on jobs for one leader.

    Args:
        open_jobs: The leader's open jobs.
        queue: The jobs that wait.
        meter: Measures the leader's load.
        admission: Decides about jobs on arrival.
        placement: Chooses upstreams.
        leases: The leases on the upstreams.
        times: Tells how long tasks run.
        task_records: Tells which tasks may have crashed upstreams.
        evacuations: The evacuated failure domains.
    """

    def __init__(
        self,
        open_jobs: Mapping[model.JobName, jobs.LeasedJob],
        *,
        queue: waiting.WaitingQueue,
        meter: load_meter.LoadMeter,
        admission: job_admission.JobAdmission,
        placement: placement_module.Placement,
        leases: lease_manager_module.LeaseManager,
        times: run_times.RunTimes,
        task_records: task_records_module.TaskRecords,
        evacuations: evacuation.Evacuations,
    ) -> None:
        self._open_jobs = open_jobs
        self._queue = queue
        self._meter = meter
        self._admission = admission
        self._placement = placement
        self._leases = leases
        self._times = times
        self._task_records = task_records
        self._evacuations = evacuations

    def explain(
        self,
        leader: ids.HostId,
        request: model.JobRequest,
        *,
        wait_s: float,
        now: float,
    ) -> explanation.JobReport:
        """Returns the report on a job that arrives now.

        Args:
            leader: This host.
            request: The job.
            wait_s: How long its caller waits.
            now: The current time.
        """
        job = jobs.LeasedJob(
            request=request,
            owner=leader,
            arrived_at=now,
            deadline=now + wait_s,
            base_ms=self._times.base_ms(request),
            handed_over_at=now,
        )
        open_leases = self._evacuations.open_leases(
            self._leases.leases.values(), now=now
        )
        leases = self._placement.fastest_first(open_leases)
        admission = self._report_admission(job, leases, now=now)
        placement = self._report_placement(
            job,
            leases,
            asked=admission.outcome is AdmissionOutcome.KEPT,
            now=now,
        )
        return explanation.JobReport(
            leader, self._leases.term, admission, placement
        )

    def _report_admission(
        self,
        job: jobs.LeasedJob,
        leases: list[lease_module.Lease],
        *,
        now: float,
    ) -> explanation.AdmissionReport:
        queue = self._queue.copy()
        meter = self._meter.copy(queue)
        fastest = self._times.slowness(leases[0].upstream) if leases else 0.0
        admission = self._admission.copy(
            queue, meter, least_slowness=lambda now: fastest
        )
        queue.update(job)
        meter.job_added(job, now=now)
        assessed = admission.assess_load(job, now=now)
        report = explanation.AdmissionReport(
            outcome=AdmissionOutcome.OPEN,
            reason=model.EndReason.NONE,
            event="",
            detail="",
            retry_after_s=0.0,
            moved_to=ids.HostId(""),
            settling=assessed.settling,
            any_open=assessed.any_open,
            slots=_bounded(assessed.load.slots),
            free_slots=_bounded(assessed.load.free_slots),
            ahead_ms=_bounded(assessed.ahead_ms),
            wait_s=_bounded(assessed.decision.wait_s),
            base_ms=_bounded(job.base_ms),
            target_s=_bounded(job.target_response_s),
            in_time=assessed.decision.in_time,
            share=assessed.share,
            evacuated=tuple(sorted(self._evacuations.domains)),
        )
        if job.name in self._open_jobs:
            return report
        verdict = admission.check_arrival(job, now=now)
        if verdict == job_admission.Kept():
            # Each tick checks the jobs that wait once more.
            verdict = admission.check_open(job, now=now)
        match verdict:
            case job_admission.Moved(leader=leader):
                return msgspec.structs.replace(
                    report, outcome=AdmissionOutcome.MOVED, moved_to=leader
                )
            case job_admission.Ended(answer=answer):
                return msgspec.structs.replace(
                    report,
                    outcome=AdmissionOutcome.ENDED,
                    reason=answer.reason,
                    event=verdict.event,
                    detail=verdict.detail,
                    retry_after_s=_bounded(answer.retry_after_s),
                )
        return msgspec.structs.replace(
            report,
            outcome=AdmissionOutcome.KEPT,
            event=verdict.event,
            detail=verdict.detail,
        )

    def _report_placement(
        self,
        job: jobs.LeasedJob,
        leases: list[lease_module.Lease],
        *,
        asked: bool,
        now: float,
    ) -> explanation.PlacementReport:
        task = job.tasks[0]
        outcome, upstream, wait_s = (
            PlacementOutcome.NOT_ASKED,
            _NO_UPSTREAM,
            0.0,
        )
        if asked:
            rule = self._task_records.start_rule(task.key)
            outcome = PlacementOutcome.SUSPECT
            if rule is StartRule.ALLOWED:
                verdict = self._placement.decide(job, task, leases, now=now)
                describe = _DESCRIPTIONS[type(verdict)]
                outcome, upstream, wait_s = describe(verdict, now)
        report = explanation.PlacementReport(
            outcome=outcome,
            upstream=upstream,
            domain=_NO_DOMAIN,
            in_rack=False,
            expected_ms=0.0,
            wait_s=_bounded(max(0.0, wait_s)),
            accepting=len(leases),
            suitable=self._placement.count_suitable(job, task, leases, now=now),
        )
        for lease in leases:
            if lease.upstream.upstream == upstream:
                rack = job.request.tasks.preferred_rack
                return msgspec.structs.replace(
                    report,
                    domain=lease.upstream.domain,
                    in_rack=bool(rack) and rack in lease.upstream.labels,
                    expected_ms=_bounded(
                        self._placement.expected_ms(job, lease)
                    ),
                )
        return report


def _bounded(figure: float) -> float:
    """Returns a figure that a message can carry."""
    return min(figure, MAX_FIGURE)
