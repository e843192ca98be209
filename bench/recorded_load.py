"""Generates loads from a seed: hosts, upstreams, and jobs with arrival times.

A load is complete before it is used, with the true run times of all tasks. The
same seed always gives the same load, so that different policies can be compared
under equal conditions.
"""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core import model

DOMAIN_COUNT = 3
HOSTS_PER_DOMAIN = 3
UPSTREAMS_PER_DOMAIN = 8
SLOTS_PER_UPSTREAM = 8
SPEED_FACTORS = (0.5, 0.7, 0.85, 1.0, 1.15, 1.4, 1.7, 2.0)
MEDIAN_TASK_WORK_S = 0.25
TASK_WORK_SIGMA = 0.8
MEDIAN_TASK_COUNT = 6.0
TASK_COUNT_SIGMA = 1.1
TEMPLATE_NAMES = ("check", "allocate", "confirm")
TEMPLATE_WORK_FACTORS = (0.6, 1.0, 1.6)
WORKSPACE_COUNT = 6
MAX_RUNNING_TASKS = 100_000
MAX_WAIT_S = 20.0
WARM_UP_S = 5.0


@dataclass(frozen=True, slots=True)
class Job:
    """One job of a load.

    Attributes:
        arrives_at: Arrival in seconds from the start of the load.
        submission: Id of the job in the load.
        host: Host that receives the job.
        workspace: Settings of the job's workspace.
        template: Template of the job.
        declared_ms: Run times that the caller declares for the tasks; they
            differ from the true run times.
    """

    arrives_at: float
    submission: ids.SubmissionId
    host: ids.HostId
    workspace: model.WorkspaceConfig
    template: model.Template
    declared_ms: tuple[float | None, ...]

    @property
    def max_wait_s(self) -> float:
        """How long the caller waits for the answer, in seconds."""
        return self.template.max_wait_s


@dataclass(frozen=True, slots=True)
class Load:
    """Hosts, upstreams and jobs of one load.

    Attributes:
        seed: Seed of the load.
        hosts: The hosts that receive jobs.
        upstreams: The upstreams that execute tasks.
        speeds: Speed factor of each upstream; 1 is normal speed.
        jobs: Jobs in the order of their arrival.
        work_s: True run times of each job's tasks at speed 1, in seconds.
        warm_up_s: Jobs that arrive before this time are not measured.
        end_s: When the run ends, in seconds from the start of the load.
    """

    seed: int
    hosts: tuple[model.HostEntry, ...]
    upstreams: tuple[model.UpstreamEntry, ...]
    speeds: Mapping[ids.UpstreamId, float]
    jobs: tuple[Job, ...]
    work_s: Mapping[ids.SubmissionId, tuple[float, ...]]
    warm_up_s: float
    end_s: float

    def ideal_response_s(self, job: Job) -> float:
        """Returns the response time of a job if all upstreams were idle.

        This is the run time of the longest task on the fastest upstream, or
        the time that all slots together need for all tasks, if longer.
        """
        work_s = self.work_s[job.submission]
        capacity = sum(
            self.speeds[upstream.upstream] * upstream.slots
            for upstream in self.upstreams
        )
        return max(
            max(work_s) / max(self.speeds.values()), sum(work_s) / capacity
        )


def generate(
    seed: int,
    *,
    load_share: float,
    duration_s: float,
    domain_count: int = DOMAIN_COUNT,
    hosts_per_domain: int = HOSTS_PER_DOMAIN,
    upstreams_per_domain: int = UPSTREAMS_PER_DOMAIN,
) -> Load:
    """Generates a load.

    Args:
        seed: Seed of the random numbers.
        load_share: Run time at speed 1 of the tasks that arrive per second, as
            a share of the capacity of all upstreams.
        duration_s: Time in which jobs arrive, in seconds.
        domain_count: Number of failure domains.
        hosts_per_domain: Number of hosts in each failure domain.
        upstreams_per_domain: Number of upstreams in each failure domain.
    """
    rng = random.Random(seed)
    hosts = tuple(
        _host(number, domain_count)
        for number in range(domain_count * hosts_per_domain)
    )
    upstreams = tuple(
        _upstream(number, domain_count)
        for number in range(domain_count * upstreams_per_domain)
    )
    speeds = {
        upstream.upstream: SPEED_FACTORS[
            index // domain_count % len(SPEED_FACTORS)
        ]
        for index, upstream in enumerate(upstreams)
    }
    capacity = sum(
        speeds[upstream.upstream] * SLOTS_PER_UPSTREAM for upstream in upstreams
    )
    jobs, work_s = _generate_jobs(rng, hosts, load_share * capacity, duration_s)
    return Load(
        seed,
        hosts,
        upstreams,
        speeds,
        jobs,
        work_s,
        min(WARM_UP_S, duration_s / 4),
        duration_s + 5.0,
    )


def _host(index: int, domain_count: int) -> model.HostEntry:
    return model.HostEntry(
        ids.HostId(f"host-{index:02}"),
        ids.DomainId(f"domain-{index % domain_count}"),
        ids.Incarnation(f"i{index}"),
        f"10.0.0.{index}:1",
    )


def _upstream(index: int, domain_count: int) -> model.UpstreamEntry:
    return model.UpstreamEntry(
        ids.UpstreamId(f"up-{index:04}"),
        ids.DomainId(f"domain-{index % domain_count}"),
        f"rack-{index % domain_count}",
        f"10.1.0.{index}:1",
        SLOTS_PER_UPSTREAM,
        64,
    )


def _generate_jobs(
    rng: random.Random,
    hosts: tuple[model.HostEntry, ...],
    work_rate: float,
    duration_s: float,
) -> tuple[tuple[Job, ...], dict[ids.SubmissionId, tuple[float, ...]]]:
    """Returns random jobs and the true run times of their tasks."""
    templates = [
        model.Template(ids.TemplateName(name), "/run", max_wait_s=MAX_WAIT_S)
        for name in TEMPLATE_NAMES
    ]
    workspaces = [
        model.WorkspaceConfig(
            ids.WorkspaceId(f"team-{index}"),
            1,
            max_running_tasks=MAX_RUNNING_TASKS,
        )
        for index in range(WORKSPACE_COUNT)
    ]
    job_shapes = []
    total_work_s = 0.0
    while total_work_s < work_rate * duration_s:
        template_index = rng.randrange(len(templates))
        drawn_count = rng.lognormvariate(
            math.log(MEDIAN_TASK_COUNT), TASK_COUNT_SIGMA
        )
        task_count = min(max(round(drawn_count), 1), model.MAX_TASKS_PER_JOB)
        work_s = tuple(
            _draw_task_work_s(rng) * TEMPLATE_WORK_FACTORS[template_index]
            for _ in range(task_count)
        )
        total_work_s += sum(work_s)
        job_shapes.append((template_index, work_s))
    arrival_times = sorted(rng.random() * duration_s for _ in job_shapes)
    jobs = []
    work_by_job = {}
    for index, (arrives_at, (template_index, work_s)) in enumerate(
        zip(arrival_times, job_shapes, strict=True)
    ):
        submission = ids.SubmissionId(f"s{index}")
        work_by_job[submission] = work_s
        declared_ms = tuple(
            task_work_s * 1e3 * rng.lognormvariate(0, 1)
            for task_work_s in work_s
        )
        jobs.append(
            Job(
                arrives_at,
                submission,
                hosts[rng.randrange(len(hosts))].host,
                workspaces[rng.randrange(len(workspaces))],
                templates[template_index],
                declared_ms,
            )
        )
    return tuple(jobs), work_by_job


def _draw_task_work_s(rng: random.Random) -> float:
    """Returns a random run time between 0.05 s and 6 s."""
    work_s = rng.lognormvariate(math.log(MEDIAN_TASK_WORK_S), TASK_WORK_SIGMA)
    return min(max(work_s, 0.05), 6.0)
