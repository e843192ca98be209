"""Loads to replay, generated from a seed or read from the logs of hosts.

A log gives the arrival times, sizes and route settings of jobs, the run times,
the upstreams and the outages, which are intervals without a leader. If a log
has no run time of a task, the task gets the mean run time of the job's other
tasks, or the caller's estimate if the log has no run time for any of them.
"""

import dataclasses
import math
import random
import re
import statistics
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import ids
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model

SERVICE = model.ServiceName("service")
MEMORY_MB = 100_000
# An upstream is assumed to be available for this time after the end of its last
# run. If its first run ended within this time after the start of the load, the
# upstream is assumed to be available from the start.
MAX_IDLE_S = 3.0
# A gap between orders to upstreams counts as an outage, an interval without a
# leader, if its length is between these limits.
MIN_OUTAGE_S = 1.0
MAX_OUTAGE_S = 6.0

_LINE = re.compile(r"^\s*(-?\d+\.\d+)\s+\S+ time=.* event=(\w+)(.*)$")
_FIELD = re.compile(r"(\w+)=(\S+)")


@dataclass(frozen=True, slots=True)
class Job:
    """One job of a load.

    Attributes:
        arrives_at: Arrival in seconds from the start of the load.
        request: The job as its caller submits it.
        work_ms: Run time of each task on an upstream of slowness 1.
        max_wait_s: How long the caller waits for the answer, in seconds.
    """

    arrives_at: float
    request: model.JobRequest
    work_ms: tuple[float, ...]
    max_wait_s: float


@dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream of a load.

    Attributes:
        entry: Its entry in the upstream list.
        slowness: Factor by which runs take longer than on the median upstream.
        available_from: When the upstream starts to accept runs, in seconds
            from the start of the load.
        available_until: When the upstream stops accepting runs, in seconds
            from the start of the load.
    """

    entry: model.LeasedUpstream
    slowness: float
    available_from: float = float("-inf")
    available_until: float = float("inf")

    def is_available(self, now: float) -> bool:
        """Returns whether the upstream accepts runs at the given time."""
        return self.available_from <= now < self.available_until


@dataclass(frozen=True, slots=True)
class Load:
    """A load to replay; times are in seconds from its start.

    Attributes:
        jobs: Jobs in the order of their arrival.
        upstreams: Upstreams that were available at some time.
        outages: Begin and end of each interval without a leader.
        completed_at: When jobs were completed according to the log.
        racks: How much longer tasks take away from the rack of their data.
    """

    jobs: tuple[Job, ...]
    upstreams: tuple[Upstream, ...]
    outages: tuple[tuple[float, float], ...] = ()
    completed_at: Mapping[model.JobName, float] = field(default_factory=dict)
    racks: locality.Racks = locality.DEFAULT_RACKS


@dataclass(slots=True)
class _ParsedLog:
    """Relevant content of a log; times are those of the log lines.

    Attributes:
        received_jobs: Arrival and log fields of each job.
        runs_by_job: Upstream and run time in milliseconds of each job's runs.
        sizes: CPU capacity in millicores and slots of each upstream.
        available_between: Begin and end of the availability of each upstream.
        completed_at: When each completed job was answered.
        ordered_at: Times of all orders to upstreams.
    """

    received_jobs: dict[str, tuple[float, Mapping[str, str]]]
    runs_by_job: dict[str, list[tuple[str, float]]]
    sizes: dict[str, tuple[int, int]]
    available_between: dict[str, tuple[float, float]]
    completed_at: dict[model.JobName, float]
    ordered_at: list[float]


def generate(
    seed: int, *, upstream_count: int, jobs_per_s: float, duration_s: float
) -> Load:
    """Generates a mix of jobs of many short, several long, or few medium tasks.

    Args:
        seed: Seed of the random numbers.
        upstream_count: Number of upstreams.
        jobs_per_s: Mean number of arriving jobs per second.
        duration_s: Time in which jobs arrive, in seconds.
    """
    rng = random.Random(seed)
    upstreams = []
    for number in range(upstream_count):
        slowness = rng.choice((0.6, 1.0, 1.0, 1.6))
        upstreams.append(make_upstream(f"u{number}", 32_000, 8, slowness))
    jobs: list[Job] = []
    arrives_at = 0.0
    while arrives_at < duration_s:
        arrives_at += rng.expovariate(jobs_per_s)
        job_kind = rng.random()
        if job_kind < 0.25:
            task_count, mean_ms = rng.randint(4, 14), 60.0
        elif job_kind < 0.3:
            task_count, mean_ms = rng.randint(2, 8), 900.0
        else:
            task_count, mean_ms = rng.randint(1, 4), 200.0
        base_ms = mean_ms * math.exp(rng.gauss(0, 0.4))
        work_ms = [
            base_ms * math.exp(rng.gauss(0, 0.15)) for _ in range(task_count)
        ]
        estimate_ms = base_ms * math.exp(rng.gauss(0, 0.4))
        request = make_request(f"j{len(jobs)}", task_count, 14_000, estimate_ms)
        jobs.append(
            Job(arrives_at, request, tuple(work_ms), 2.0 + base_ms / 200)
        )
    return Load(tuple(jobs), tuple(upstreams))


def from_log(lines: Iterable[str]) -> Load:
    """Returns the load that the hosts logged.

    Args:
        lines: Log lines of all hosts in order of time. Each begins with the
            time in seconds from the start of the load.
    """
    log = _parse(lines)
    slowness_by_upstream = _slowness_by_upstream(log)
    jobs = [
        _job_from_log(name, log, slowness_by_upstream)
        for name, (received_at, _) in log.received_jobs.items()
        if received_at >= 0
    ]
    upstreams = [
        dataclasses.replace(
            make_upstream(
                name, cpu_millis, slots, slowness_by_upstream.get(name, 1.0)
            ),
            available_from=log.available_between[name][0],
            available_until=log.available_between[name][1],
        )
        for name, (cpu_millis, slots) in log.sizes.items()
        if name in log.available_between
    ]
    return Load(
        tuple(sorted(jobs, key=lambda job: job.arrives_at)),
        tuple(upstreams),
        _outages(log.ordered_at),
        log.completed_at,
    )


def acceptance_time(job: Job, outages: Sequence[tuple[float, float]]) -> float:
    """Returns the arrival time of a job, delayed to the end of an outage."""
    for begin, end in outages:
        if begin <= job.arrives_at < end:
            return end
    return job.arrives_at


def _parse(lines: Iterable[str]) -> _ParsedLog:
    log = _ParsedLog({}, {}, {}, {}, {}, [])
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        logged_at, event = float(match[1]), match[2]
        fields = dict(_FIELD.findall(match[3]))
        if event == "job_received":
            log.received_jobs.setdefault(fields["job"], (logged_at, fields))
        elif event == "run_ended":
            run = (fields["upstream"], float(fields["ran_ms"]))
            log.runs_by_job.setdefault(fields["job"], []).append(run)
            _record_use(log, fields["upstream"], logged_at)
        elif event == "lease_held":
            size = (int(fields["cpu_millis"]), int(fields["slots"]))
            log.sizes[fields["upstream"]] = size
        elif event == "run_ordered" and logged_at >= 0:
            log.ordered_at.append(logged_at)
        elif event == "job_answered" and fields["end"] == "completed":
            log.completed_at.setdefault(model.JobName(fields["job"]), logged_at)
    return log


def _record_use(log: _ParsedLog, upstream: str, logged_at: float) -> None:
    """Extends the availability of an upstream to a run that ended."""
    available_from, _ = log.available_between.get(
        upstream, (logged_at, logged_at)
    )
    available_from = (
        float("-inf") if available_from < MAX_IDLE_S else available_from
    )
    log.available_between[upstream] = (available_from, logged_at + MAX_IDLE_S)


def _slowness_by_upstream(log: _ParsedLog) -> Mapping[str, float]:
    """Returns the slowness of each upstream, which is 1 for the median.

    The slowness of an upstream is the median ratio of its run times to the
    estimates of the jobs, divided by the median over all upstreams.
    """
    ratios: dict[str, list[float]] = {}
    for job, runs in log.runs_by_job.items():
        if job not in log.received_jobs:  # Its line was left out of the log.
            continue
        estimate_ms = float(log.received_jobs[job][1]["estimate_ms"])
        for upstream, ran_ms in runs:
            ratio = max(1.0, ran_ms) / max(1.0, estimate_ms)
            ratios.setdefault(upstream, []).append(ratio)
    medians = {
        name: statistics.median(upstream_ratios)
        for name, upstream_ratios in ratios.items()
    }
    overall_median = statistics.median(medians.values()) if medians else 1.0
    return {name: median / overall_median for name, median in medians.items()}


def _job_from_log(
    name: str, log: _ParsedLog, slowness_by_upstream: Mapping[str, float]
) -> Job:
    """Returns a job of the log, with its run times converted to slowness 1."""
    received_at, fields = log.received_jobs[name]
    task_count = int(fields["tasks"])
    estimate_ms = float(fields["estimate_ms"])
    work_ms = [
        ran_ms / slowness_by_upstream[upstream]
        for upstream, ran_ms in log.runs_by_job.get(name, [])[:task_count]
    ]
    mean_ms = statistics.mean(work_ms) if work_ms else estimate_ms
    work_ms += [mean_ms] * (task_count - len(work_ms))
    request = make_request(
        name,
        task_count,
        int(fields["cpu_millis"]),
        estimate_ms,
        route=fields["route"],
        stretch=float(fields["stretch"]),
        target_ms=float(fields["target_ms"]),
    )
    return Job(received_at, request, tuple(work_ms), float(fields["wait_s"]))


def _outages(ordered_at: Sequence[float]) -> tuple[tuple[float, float], ...]:
    """Returns the gaps between orders that count as outages."""
    pairs = zip(ordered_at, ordered_at[1:], strict=False)
    return tuple(
        (begin, end)
        for begin, end in pairs
        if MIN_OUTAGE_S < end - begin < MAX_OUTAGE_S
    )


def make_upstream(
    name: str, cpu_millis: int, slots: int, slowness: float, *, rack: str = ""
) -> Upstream:
    """Returns an upstream that is always available."""
    entry = model.LeasedUpstream(
        upstream=ids.UpstreamId(name),
        address=f"{name}:1",
        domain=ids.DomainId("d"),
        service=SERVICE,
        slots=slots,
        capacity=model.Resources(cpu_millis, MEMORY_MB, 0),
        labels=(name, rack) if rack else (name,),
        draining=False,
    )
    return Upstream(entry, slowness)


def make_request(
    name: str,
    task_count: int,
    cpu_millis: int,
    estimate_ms: float,
    *,
    route: str = "route",
    stretch: float = 1.6,
    target_ms: float = 60.0,
    rack: str = "",
) -> model.JobRequest:
    """Returns a request whose tasks run on any upstream of SERVICE."""
    return model.JobRequest(
        model.JobName(name),
        "spec",
        model.TaskGroup(
            count=task_count,
            needs=model.Resources(cpu_millis, 64, 0),
            estimate_ms=estimate_ms,
            required_label="",
            preferred_rack=rack,
            max_per_upstream=0,
        ),
        model.RouteSettings(
            route=model.RouteName(route),
            service=SERVICE,
            priority=0,
            max_failures=3,
            stretch=stretch,
            target_ms=target_ms,
        ),
    )
