"""A seeded load: hosts, upstreams of differing speed, and jobs in time."""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core import model

DOMAINS = 3
HOSTS_PER_DOMAIN = 3
UPSTREAMS_PER_DOMAIN = 8
SLOTS = 8
SPEEDS = (0.5, 0.7, 0.85, 1.0, 1.15, 1.4, 1.7, 2.0)
MEDIAN_TASK_S = 0.25
TASK_SIGMA = 0.8
MEDIAN_TASKS = 6.0
JOB_SIGMA = 1.1
TEMPLATES = ("check", "allocate", "confirm")
TEMPLATE_WORK = (0.6, 1.0, 1.6)
WORKSPACES = 6
QUOTA = 100_000
MAX_WAIT_S = 20.0
WARM_UP_S = 5.0


@dataclass(frozen=True, slots=True)
class Job:
    """One job of the load."""

    at: float
    submission: ids.SubmissionId
    host: ids.HostId
    workspace: model.WorkspaceConfig
    template: model.Template
    declared_ms: tuple[float | None, ...]

    @property
    def max_wait_s(self) -> float:
        """How long its caller waits."""
        return self.template.max_wait_s


@dataclass(frozen=True, slots=True)
class Load:
    """A recorded load.

    Attributes:
        work: True run times of each job's tasks at speed 1, in seconds.
        end_s: When the run ends.
    """

    seed: int
    hosts: tuple[model.HostEntry, ...]
    upstreams: tuple[model.UpstreamEntry, ...]
    speeds: Mapping[ids.UpstreamId, float]
    jobs: tuple[Job, ...]
    work: Mapping[ids.SubmissionId, tuple[float, ...]]
    warm_up_s: float
    end_s: float

    def ideal(self, job: Job) -> float:
        """Returns the seconds that a job takes on idle upstreams."""
        work = self.work[job.submission]
        whole = sum(self.speeds[e.upstream] * e.slots for e in self.upstreams)
        return max(max(work) / max(self.speeds.values()), sum(work) / whole)


def record(
    seed: int,
    *,
    share: float,
    seconds: float,
    domains: int = DOMAINS,
    hosts_per_domain: int = HOSTS_PER_DOMAIN,
    upstreams_per_domain: int = UPSTREAMS_PER_DOMAIN,
) -> Load:
    """Returns a load that takes a share of the whole capacity."""
    draw = random.Random(seed)
    hosts = tuple(_host(i, domains) for i in range(domains * hosts_per_domain))
    upstreams = tuple(
        _upstream(i, domains) for i in range(domains * upstreams_per_domain)
    )
    speeds = {
        each.upstream: SPEEDS[index // domains % len(SPEEDS)]
        for index, each in enumerate(upstreams)
    }
    capacity = sum(speeds[each.upstream] * SLOTS for each in upstreams)
    jobs, work = _jobs(draw, hosts, share * capacity, seconds)
    return Load(
        seed,
        hosts,
        upstreams,
        speeds,
        jobs,
        work,
        min(WARM_UP_S, seconds / 4),
        seconds + 5.0,
    )


def _host(index: int, domains: int) -> model.HostEntry:
    return model.HostEntry(
        ids.HostId(f"host-{index:02}"),
        ids.DomainId(f"domain-{index % domains}"),
        ids.Incarnation(f"i{index}"),
        f"10.0.0.{index}:1",
    )


def _upstream(index: int, domains: int) -> model.UpstreamEntry:
    return model.UpstreamEntry(
        ids.UpstreamId(f"up-{index:04}"),
        ids.DomainId(f"domain-{index % domains}"),
        f"rack-{index % domains}",
        f"10.1.0.{index}:1",
        SLOTS,
        64,
    )


def _jobs(
    draw: random.Random,
    hosts: tuple[model.HostEntry, ...],
    work_rate: float,
    seconds: float,
) -> tuple[tuple[Job, ...], dict[ids.SubmissionId, tuple[float, ...]]]:
    templates = [
        model.Template(ids.TemplateName(name), "/run", max_wait_s=MAX_WAIT_S)
        for name in TEMPLATES
    ]
    configs = [
        model.WorkspaceConfig(
            ids.WorkspaceId(f"team-{index}"), 1, max_running_tasks=QUOTA
        )
        for index in range(WORKSPACES)
    ]
    drawn = []
    total = 0.0
    while total < work_rate * seconds:
        kind = draw.randrange(len(templates))
        count = draw.lognormvariate(math.log(MEDIAN_TASKS), JOB_SIGMA)
        size = min(max(round(count), 1), model.MAX_TASKS_PER_JOB)
        work = tuple(_task(draw) * TEMPLATE_WORK[kind] for _ in range(size))
        total += sum(work)
        drawn.append((kind, work))
    times = sorted(draw.random() * seconds for _ in drawn)
    jobs = []
    works = {}
    for index, (at, (kind, work)) in enumerate(zip(times, drawn, strict=True)):
        submission = ids.SubmissionId(f"s{index}")
        works[submission] = work
        declared = tuple(
            each * 1e3 * draw.lognormvariate(0, 1) for each in work
        )
        jobs.append(
            Job(
                at,
                submission,
                hosts[draw.randrange(len(hosts))].host,
                configs[draw.randrange(len(configs))],
                templates[kind],
                declared,
            )
        )
    return tuple(jobs), works


def _task(draw: random.Random) -> float:
    work = draw.lognormvariate(math.log(MEDIAN_TASK_S), TASK_SIGMA)
    return min(max(work, 0.05), 6.0)
