"""A load of leased runs to replay: made from a seed, or read from hosts' logs.

The log gives arrivals, shapes, terms, run times, upstreams and the time without
any leader. A task that never ended well is given its caller's estimate.
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
from godwitnotch.core.leased import model

SERVICE = model.ServiceName("service")
MEMORY_MB = 100_000
MAX_IDLE_S = 3.0
MIN_OUTAGE_S = 1.0  # Without any order to an upstream.
MAX_OUTAGE_S = 6.0

_LINE = re.compile(r"^\s*(-?\d+\.\d+)\s+\S+ time=.* event=(\w+)(.*)$")
_FIELD = re.compile(r"(\w+)=(\S+)")


@dataclass(frozen=True, slots=True)
class Job:
    """One job; times in seconds from the start of the load."""

    at: float
    request: model.JobRequest
    work_ms: tuple[float, ...]
    wait_s: float


@dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream.

    Attributes:
        entry: Its entry in the list.
        slowness: How much longer than usual runs take there.
        begin: From when on it takes work.
        end: Until when.
    """

    entry: model.LeasedUpstream
    slowness: float
    begin: float = float("-inf")
    end: float = float("inf")

    def takes_work(self, now: float) -> bool:
        """Returns whether it is there."""
        return self.begin <= now < self.end


@dataclass(frozen=True, slots=True)
class Load:
    """All that is replayed.

    Attributes:
        jobs: In the order of their arrival.
        upstreams: All that were there at some time.
        outages: Begin and end of each time without any host.
        served: Jobs that were completed when this was recorded, and when.
    """

    jobs: tuple[Job, ...]
    upstreams: tuple[Upstream, ...]
    outages: tuple[tuple[float, float], ...] = ()
    served: Mapping[model.JobName, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Log:
    received: dict[str, tuple[float, Mapping[str, str]]]
    ran_ms: dict[str, list[tuple[str, float]]]
    slots: dict[str, tuple[int, int]]
    used: dict[str, tuple[float, float]]
    completed: dict[model.JobName, float]
    ordered_at: list[float]


def synthetic(
    seed: int, *, upstreams: int, jobs_per_s: float, seconds: float
) -> Load:
    """Returns a seeded load: short wide jobs, long ones, and many small."""
    draw = random.Random(seed)
    known = []
    for number in range(upstreams):
        slowness = draw.choice((0.6, 1.0, 1.0, 1.6))
        known.append(_upstream(f"u{number}", 32_000, 8, slowness))
    jobs: list[Job] = []
    at = 0.0
    while at < seconds:
        at += draw.expovariate(jobs_per_s)
        shape = draw.random()
        if shape < 0.25:
            tasks, mean_ms = draw.randint(4, 14), 60.0
        elif shape < 0.3:
            tasks, mean_ms = draw.randint(2, 8), 900.0
        else:
            tasks, mean_ms = draw.randint(1, 4), 200.0
        base_ms = mean_ms * math.exp(draw.gauss(0, 0.4))
        work_ms = [
            base_ms * math.exp(draw.gauss(0, 0.15)) for _ in range(tasks)
        ]
        estimate_ms = base_ms * math.exp(draw.gauss(0, 0.4))
        request = _request(f"j{len(jobs)}", tasks, 14_000, estimate_ms)
        jobs.append(Job(at, request, tuple(work_ms), 2.0 + base_ms / 200))
    return Load(tuple(jobs), tuple(known))


def from_log(lines: Iterable[str]) -> Load:
    """Returns the load that hosts served, from all their lines in order."""
    log = _read(lines)
    slowness = _slowness(log)
    jobs = [
        _logged_job(name, log, slowness)
        for name, (at, _) in log.received.items()
        if at >= 0
    ]
    known = [
        dataclasses.replace(
            _upstream(name, cpu_millis, slots, slowness.get(name, 1.0)),
            begin=log.used[name][0],
            end=log.used[name][1],
        )
        for name, (cpu_millis, slots) in log.slots.items()
        if name in log.used
    ]
    return Load(
        tuple(sorted(jobs, key=lambda job: job.at)),
        tuple(known),
        _outages(log.ordered_at),
        log.completed,
    )


def arrival(job: Job, outages: Sequence[tuple[float, float]]) -> float:
    """Returns when a host is there to take a job."""
    for begin, end in outages:
        if begin <= job.at < end:
            return end
    return job.at


def _read(lines: Iterable[str]) -> _Log:
    log = _Log({}, {}, {}, {}, {}, [])
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        at, event = float(match[1]), match[2]
        values = dict(_FIELD.findall(match[3]))
        if event == "job_received":
            log.received.setdefault(values["job"], (at, values))
        elif event == "run_ended":
            ran = (values["upstream"], float(values["ran_ms"]))
            log.ran_ms.setdefault(values["job"], []).append(ran)
            _note_use(log, values["upstream"], at)
        elif event == "lease_held":
            room = (int(values["cpu_millis"]), int(values["slots"]))
            log.slots[values["upstream"]] = room
        elif event == "run_ordered" and at >= 0:
            log.ordered_at.append(at)
        elif event == "job_answered" and values["end"] == "completed":
            log.completed.setdefault(model.JobName(values["job"]), at)
    return log


def _note_use(log: _Log, upstream: str, at: float) -> None:
    """Notes a run; one that is idle for long at an end was not there."""
    begin, _ = log.used.get(upstream, (at, at))
    begin = float("-inf") if begin < MAX_IDLE_S else begin
    log.used[upstream] = (begin, at + MAX_IDLE_S)


def _slowness(log: _Log) -> Mapping[str, float]:
    """Returns how an upstream's runs compare with those of the same jobs."""
    ratios: dict[str, list[float]] = {}
    for job, runs in log.ran_ms.items():
        estimate_ms = float(log.received[job][1]["estimate_ms"])
        for upstream, ran_ms in runs:
            ratio = max(1.0, ran_ms) / max(1.0, estimate_ms)
            ratios.setdefault(upstream, []).append(ratio)
    medians = {key: statistics.median(each) for key, each in ratios.items()}
    usual = statistics.median(medians.values()) if medians else 1.0
    return {key: each / usual for key, each in medians.items()}


def _logged_job(name: str, log: _Log, slowness: Mapping[str, float]) -> Job:
    at, values = log.received[name]
    tasks = int(values["tasks"])
    estimate_ms = float(values["estimate_ms"])
    work_ms = [
        ran_ms / slowness[upstream]
        for upstream, ran_ms in log.ran_ms.get(name, [])[:tasks]
    ]
    usual_ms = statistics.mean(work_ms) if work_ms else estimate_ms
    work_ms += [usual_ms] * (tasks - len(work_ms))
    request = _request(
        name,
        tasks,
        int(values["cpu_millis"]),
        estimate_ms,
        route=values["route"],
        stretch=float(values["stretch"]),
        target_ms=float(values["target_ms"]),
    )
    return Job(at, request, tuple(work_ms), float(values["wait_s"]))


def _outages(ordered_at: Sequence[float]) -> tuple[tuple[float, float], ...]:
    """Returns the gaps between orders that only a loss of all hosts leaves."""
    pairs = zip(ordered_at, ordered_at[1:], strict=False)
    return tuple(
        (begin, end)
        for begin, end in pairs
        if MIN_OUTAGE_S < end - begin < MAX_OUTAGE_S
    )


def _upstream(
    name: str, cpu_millis: int, slots: int, slowness: float
) -> Upstream:
    entry = model.LeasedUpstream(
        upstream=ids.UpstreamId(name),
        address=f"{name}:1",
        domain=ids.DomainId("d"),
        service=SERVICE,
        slots=slots,
        capacity=model.Resources(cpu_millis, MEMORY_MB, 0),
        labels=(name,),
        draining=False,
    )
    return Upstream(entry, slowness)


def _request(
    name: str,
    tasks: int,
    cpu_millis: int,
    estimate_ms: float,
    *,
    route: str = "route",
    stretch: float = 1.6,
    target_ms: float = 60.0,
) -> model.JobRequest:
    return model.JobRequest(
        model.JobName(name),
        "spec",
        model.TaskGroup(
            count=tasks,
            needs=model.Resources(cpu_millis, 64, 0),
            estimate_ms=estimate_ms,
            required_label="",
            preferred_rack="",
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
