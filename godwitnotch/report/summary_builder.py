"""Follows jobs through the logs, line by line, and builds the summary."""

import statistics
from collections import Counter
from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeVar

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.report import job_trace
from godwitnotch.report import log_lines
from godwitnotch.report import speeds as speeds_module
from godwitnotch.report import summary as summary_module
from godwitnotch.report.job_trace import Outcome

# A caller that got no answer may send its job again within this time after the
# deadline.
RESUBMISSION_S = 3.0
# The longest task of a job takes at most this multiple of the median task.
MAX_TASK_SPREAD = 1.5
MAX_LISTED_JOBS = 10_000
MAX_LISTED_CHANGES = 5_000
# Events that the page shows beside the curves.
SHOWN_EVENTS = frozenset(
    {
        "host_started",
        "drain_started",
        "leader_changed",
        "fleet_divided",
        "lease_lapsed",
        "upstream_ejected",
        "upstream_restarted",
        "process_stalled",
        "store_lost",
        "store_regained",
        "configuration_in_force",
    }
)


class _OwnerView(msgspec.Struct):
    """What one host has logged about its leader.

    Attributes:
        leader_away_since: Since when it has had no leader; None while it has.
        absences: Begin and end of the last times without a leader.
    """

    leader_away_since: float | None = None
    absences: deque[tuple[float, float]] = msgspec.field(
        default_factory=lambda: deque(maxlen=64)
    )

    def away_s(self, begin: float, end: float) -> float:
        """Returns how long the host had no leader between two times."""
        absences = list(self.absences)
        if self.leader_away_since is not None:
            absences.append((self.leader_away_since, end))
        return sum(
            max(0.0, min(end, until) - max(begin, since))
            for since, until in absences
        )


class SummaryBuilder:
    """Builds the summary of logs, line by line.

    Jobs are forgotten once they have ended, so that memory doesn't grow with
    the logs.
    """

    def __init__(self) -> None:
        self._summary = summary_module.Summary()
        self._jobs: dict[model.JobName, job_trace.JobTrace] = {}
        self._open_until: deque[tuple[float, model.JobName]] = deque()
        self._owners: dict[ids.HostId, _OwnerView] = {}
        self._speeds = speeds_module.Speeds()

    @property
    def open_jobs(self) -> int:
        """How many jobs may still change."""
        return len(self._jobs)

    def add(self, line: log_lines.LogLine) -> None:
        """Adds one event; events come in order of time."""
        summary = self._summary
        first_at = summary.span[0] if summary.span else line.at
        summary.span = (first_at, line.at)
        summary.dropped_lines += int(line.number("dropped"))
        handler = _HANDLERS.get(line.event)
        if handler is not None:
            handler(self, line)
        if line.event in SHOWN_EVENTS:
            self._add_change(line)
        self._close_jobs(before=line.at)

    def build(self) -> summary_module.Summary:
        """Closes all jobs and returns the summary."""
        self._close_jobs(before=float("inf"))
        for upstream, seen in self._summary.upstreams.items():
            seen.slowness = self._speeds.slowness(upstream)
        return self._summary

    def _owner(self, host: ids.HostId) -> _OwnerView:
        return self._owners.setdefault(host, _OwnerView())

    def _job(self, line: log_lines.LogLine) -> job_trace.JobTrace | None:
        return self._jobs.get(model.JobName(line.pairs.get("job", "")))

    def _task(self, line: log_lines.LogLine) -> job_trace.TaskTrace | None:
        job = self._job(line)
        return job.task(int(line.number("task"))) if job else None

    def _upstream(
        self, line: log_lines.LogLine
    ) -> summary_module.UpstreamSummary:
        upstream = ids.UpstreamId(line.pairs.get("upstream", ""))
        return self._summary.upstreams.setdefault(
            upstream, summary_module.UpstreamSummary()
        )

    def _add_change(self, line: log_lines.LogLine) -> None:
        if len(self._summary.changes) >= MAX_LISTED_CHANGES:
            return
        detail = " ".join(f"{key}={value}" for key, value in line.pairs.items())
        change = summary_module.Change(line.at, line.host, line.event, detail)
        self._summary.changes.append(change)

    def _close_jobs(self, *, before: float) -> None:
        """Counts the jobs that can't change any more."""
        while self._open_until and self._open_until[0][0] < before:
            closed_at, name = self._open_until.popleft()
            job = self._jobs[name]
            open_until = job.deadline + RESUBMISSION_S
            if open_until > closed_at:  # The job was sent again.
                self._open_until.append((open_until, name))
                if open_until >= before:
                    break
                continue
            del self._jobs[name]
            self._count(job)

    def _count(self, job: job_trace.JobTrace) -> None:
        """Counts a job that has ended."""
        summary = self._summary
        outcome = job.outcome
        second = int(job.received_at // 1)
        summary.outcomes[outcome] += 1
        by_second = summary.outcomes_by_second.setdefault(second, Counter())
        by_second[outcome] += 1
        summary.total_work_ms += job.total_work_ms
        if outcome is Outcome.IN_TIME:
            return
        ended_at = job.deadline if job.answered_at is None else job.answered_at
        away_s = self._owner(job.owner).away_s(job.received_at, ended_at)
        cause = job_trace.find_cause(
            job, leader_away_s=away_s, ended_at=ended_at
        )
        summary.causes[cause] += 1
        lost_work_ms = summary.lost_work_ms.get(cause, 0.0)
        summary.lost_work_ms[cause] = lost_work_ms + job.total_work_ms
        if len(summary.lost_jobs) < MAX_LISTED_JOBS:
            lost = summary_module.LostJob(
                job.received_at,
                job.name,
                job.route,
                outcome,
                cause,
                job.total_work_ms,
                ended_at - job.received_at,
                job.refusal,
            )
            summary.lost_jobs.append(lost)


_Handler = Callable[[SummaryBuilder, log_lines.LogLine], None]
_HANDLERS: dict[str, _Handler] = {}
_HandlerT = TypeVar("_HandlerT", bound=_Handler)


def _handles(event: str) -> Callable[[_HandlerT], _HandlerT]:
    """Registers the handler of a log event."""

    def register(handler: _HandlerT) -> _HandlerT:
        _HANDLERS[event] = handler
        return handler

    return register


@_handles("host_started")
def _host_started(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    builder._owners[line.host] = _OwnerView(leader_away_since=line.at)
    for job in builder._jobs.values():
        if job.owner == line.host and job.answered_at is None:
            job.owner_lost = True


@_handles("leader_changed")
def _leader_changed(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    owner = builder._owner(line.host)
    leader = line.pairs.get("leader", "").strip('"')
    if not leader:
        if owner.leader_away_since is None:
            owner.leader_away_since = line.at
        return
    if owner.leader_away_since is not None:
        owner.absences.append((owner.leader_away_since, line.at))
        owner.leader_away_since = None
    known = builder._summary.leaders
    if not known or known[-1].detail != leader:
        known.append(
            summary_module.Change(line.at, line.host, line.event, leader)
        )


@_handles("job_received")
def _job_received(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    name = model.JobName(line.pairs.get("job", ""))
    deadline = line.at + line.number("wait_s")
    known = builder._jobs.get(name)
    if known is not None:
        known.owner_lost |= known.owner != line.host and not known.end
        known.owner = line.host
        known.deadline = max(known.deadline, deadline)
        known.answered_at = None
        known.caller_left = False
        return
    route = line.pairs.get("route", "")
    estimate_ms = line.number("estimate_ms")
    builder._jobs[name] = job_trace.JobTrace(
        name,
        line.host,
        route,
        line.at,
        int(line.number("tasks")),
        estimate_ms,
        line.number("stretch", default=1.0),
        line.number("target_ms"),
        deadline,
        builder._speeds.work_ms(route, estimate_ms=estimate_ms),
    )
    builder._open_until.append((deadline + RESUBMISSION_S, name))


@_handles("job_answered")
def _job_answered(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    job = builder._job(line)
    if job is None or job.owner != line.host:
        return
    job.answered_at = line.at
    job.end = line.pairs.get("end", "")
    job.reason = line.pairs.get("reason", "")


@_handles("caller_left")
def _caller_left(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    job = builder._job(line)
    if job is None or job.owner != line.host:
        return
    job.answered_at = line.at
    job.caller_left = True


@_handles("job_refused")
def _job_refused(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    job = builder._job(line)
    if job is not None:
        job.refusal = " ".join(
            f"{key}={value}"
            for key, value in line.pairs.items()
            if key not in ("job", "reason")
        )


@_handles("log_lines_limited")
def _lines_limited(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    builder._summary.dropped_lines += int(line.number("lines"))


@_handles("run_ordered")
def _run_ordered(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    task = builder._task(line)
    if task is not None:
        task.run_ordered(at=line.at)


@_handles("run_adopted")
def _run_adopted(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    task = builder._task(line)
    if task is not None and task.ordered_at is None:
        task.run_ordered(at=line.at)


@_handles("run_ended")
def _run_ended(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    builder._upstream(line).run_count += 1
    job = builder._job(line)
    if job is None:
        return
    ran_ms = line.number("ran_ms")
    upstream = ids.UpstreamId(line.pairs.get("upstream", ""))
    builder._speeds.run_ended(
        upstream, job.route, estimate_ms=job.estimate_ms, ran_ms=ran_ms
    )
    task = job.task(int(line.number("task")))
    task.ended_at = line.at
    task.ran_s = ran_ms / 1_000
    task.work_ms = max(1.0, ran_ms) / builder._speeds.slowness(upstream)
    job.work_ms = _longest_work_ms(job)


def _longest_work_ms(job: job_trace.JobTrace) -> float:
    """Returns the work of the job's longest task, on an average upstream.

    A run that took far longer than the others tells of its upstream, and not
    of its task.
    """
    known = [task.work_ms for task in job.tasks.values() if task.work_ms]
    return min(max(known), statistics.median(known) * MAX_TASK_SPREAD)


@_handles("run_overdue")
def _run_overdue(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    task = builder._task(line)
    if task is not None:
        task.overdue = True


@_handles("order_unanswered")
def _order_unanswered(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    builder._upstream(line).lost_counts["unanswered"] += 1
    job = builder._job(line)
    if job is None or line.pairs.get("kind") != "start":
        return
    for task in job.tasks.values():
        if task.ended_at is None:
            task.unanswered = True


@_handles("run_lost")
def _run_lost(builder: SummaryBuilder, line: log_lines.LogLine) -> None:
    reason = line.pairs.get("reason", "")
    builder._upstream(line).lost_counts[reason] += 1
    task = builder._task(line)
    if task is not None:
        task.run_lost(reason, at=line.at)


def summarize(lines: Iterable[log_lines.LogLine]) -> summary_module.Summary:
    """Returns the summary of all lines."""
    builder = SummaryBuilder()
    for line in lines:
        builder.add(line)
    return builder.build()
