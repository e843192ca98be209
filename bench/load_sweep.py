"""Measures the decisions of a leader under generated loads without faults.

`python -m bench.load_sweep` replays a load of wide short, long, and narrow jobs
at several rates to the host core. The routes count alike. A job that ends
within its target response time is worth 1, within three times that 0.2. Each
line gives the mean worth of the routes, and that of the worst part of a route:
its widest tenth, the fifth below it, or all of it.
"""

import argparse
import collections
import math
import random
import statistics
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from bench import leased_load
from bench import leased_replay
from bench import leased_yardstick
from godwitnotch.core.leased import model

UPSTREAM_COUNT = 24
DURATION_S = 20.0
JOBS_PER_S = (85.0, 100.0, 120.0)
LATE_FACTOR = 3.0
LATE_WORTH = 0.2
UPSTREAM_CPU_MILLIS = (64_000, 64_000, 96_000)
SLOWNESSES = (0.62, 1.0, 1.52)


@dataclass(frozen=True, slots=True)
class Route:
    """The jobs of one route.

    Attributes:
        name: Name of the route.
        share: Share of all jobs.
        task_ms: Median run time of a task.
        tasks: Median number of tasks.
    """

    name: str
    share: float
    task_ms: float
    tasks: float


ROUTES = (
    Route("wide", 0.245, 55.0, 6.2),
    Route("long", 0.045, 830.0, 3.1),
    Route("narrow", 0.71, 185.0, 1.6),
)


@dataclass(frozen=True, slots=True)
class Worth:
    """What a replay was worth, from 0 to 1.

    Attributes:
        mean: Mean of the routes.
        worst: The worst part of a route.
    """

    mean: float
    worst: float


def generate(seed: int, *, jobs_per_s: float) -> leased_load.Load:
    """Generates a load.

    Args:
        seed: Seed of the random numbers.
        jobs_per_s: Mean number of arriving jobs per second.
    """
    rng = random.Random(seed)
    upstreams = tuple(
        leased_load.make_upstream(
            f"u{number}",
            rng.choice(UPSTREAM_CPU_MILLIS),
            8,
            rng.choice(SLOWNESSES),
        )
        for number in range(UPSTREAM_COUNT)
    )
    jobs: list[leased_load.Job] = []
    arrives_at = 0.0
    while arrives_at < DURATION_S:
        arrives_at += rng.expovariate(jobs_per_s)
        (route,) = rng.choices(ROUTES, [route.share for route in ROUTES])
        jobs.append(make_job(rng, route, len(jobs), arrives_at))
    return leased_load.Load(tuple(jobs), upstreams)


def make_job(
    rng: random.Random,
    route: Route,
    number: int,
    arrives_at: float,
    *,
    rack: str = "",
) -> leased_load.Job:
    """Generates a job of a route, which may name a rack."""
    drawn = round(route.tasks * math.exp(rng.gauss(0, 0.7)))
    count = min(32, max(1, drawn))
    base_ms = route.task_ms * math.exp(rng.gauss(0, 0.4))
    work_ms = tuple(
        base_ms * math.exp(rng.gauss(0, 0.18)) for _ in range(count)
    )
    request = leased_load.make_request(
        f"j{number}",
        count,
        rng.randint(20, 34) * 1_000,
        base_ms * math.exp(rng.gauss(0, 0.42)),
        route=route.name,
        rack=rack,
    )
    max_wait_s = 1.5 + 2 * rng.random() + base_ms / 300
    return leased_load.Job(arrives_at, request, work_ms, max_wait_s)


def measure(
    load: leased_load.Load, ended_at: Mapping[model.JobName, float]
) -> Worth:
    """Returns what a replay was worth."""
    by_route = collections.defaultdict(list)
    for job in load.jobs:
        by_route[job.request.settings.route].append(job)
    means = []
    parts = []
    for jobs in by_route.values():
        jobs.sort(key=lambda job: sum(job.work_ms))
        widest, wide = round(len(jobs) * 0.9), round(len(jobs) * 0.7)
        means.append(_mean_worth(jobs, ended_at))
        parts += [
            means[-1],
            _mean_worth(jobs[widest:], ended_at),
            _mean_worth(jobs[wide:widest], ended_at),
        ]
    return Worth(statistics.fmean(means), min(parts))


def _mean_worth(
    jobs: Iterable[leased_load.Job], ended_at: Mapping[model.JobName, float]
) -> float:
    return statistics.fmean(
        _job_worth(job, ended_at.get(job.request.job, math.inf)) for job in jobs
    )


def _job_worth(job: leased_load.Job, ended_at: float) -> float:
    took_s = ended_at - job.arrives_at
    target_s = leased_yardstick.target_response_s(job)
    if took_s <= target_s:
        return 1.0
    return LATE_WORTH if took_s <= LATE_FACTOR * target_s else 0.0


def main() -> None:
    """Prints a line for each rate, and the mean over all."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", action="append", type=int, default=[])
    parser.add_argument("--rate", action="append", type=float, default=[])
    found = parser.parse_args()
    means = []
    for rate in found.rate or JOBS_PER_S:
        for seed in found.seed or [1]:
            load = generate(seed, jobs_per_s=rate)
            worth = measure(load, leased_replay.Replay(load).run().ended_at)
            means.append(worth.mean)
            print(
                f"jobs_per_s={rate:g} seed={seed} mean={worth.mean:.4f} "
                f"worst={worth.worst:.4f}"
            )
    print(f"mean={statistics.fmean(means):.4f}")


if __name__ == "__main__":
    main()
