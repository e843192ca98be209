"""Measures the decisions of a leader under generated loads without faults.

`python -m bench.load_sweep` replays a load of wide short, long, and narrow jobs
at several rates to the host core. The routes count alike. A job that ends
within its target response time is worth 1, within three times that 0.2. Each
line gives the mean worth of the routes, and that of the worst part of a route:
its widest tenth, the fifth below it, or all of it.

`--load scarce` replays large tasks on small upstreams: each task needs 8 to 24
cores of 32 or 48, and a burst arrives in the middle. Its rates are shares of the
capacity of the upstreams.

The last lines say how often parts of the routes are served, relative to their
whole route, over all replays: the tenth of the jobs with the most work or the
largest tasks, and the fifth below it.
"""

import argparse
import collections
import math
import random
import statistics
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
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

# The scarce load follows the deployments of docs/design/scarce-room.md.
SCARCE_UPSTREAM_COUNT = 48
SCARCE_DURATION_S = 12.0
SCARCE_SHARES = (0.9, 1.0, 1.1, 1.2)
SCARCE_CPU_MILLIS = (32_000, 32_000, 48_000)
SCARCE_SPEEDS = (0.6, 1.0, 1.6)
SCARCE_TASK_CPU_MILLIS = 16_000
SCARCE_CPU_SPREAD = 0.2
SCARCE_CPU_LIMITS = (8_000, 24_000)
SCARCE_WAIT_S = 1.541
SCARCE_TARGET_MS = 62.0
BURST_FACTOR = 1.7
BURST_S = (5.0, 7.0)
MEAN_WORK_SAMPLE_COUNT = 4_000  # Jobs drawn to find the mean work of one.


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


SCARCE_ROUTES = (
    Route("wide", 0.244, 60.0, 8.0),
    Route("long", 0.045, 900.0, 4.0),
    Route("narrow", 0.711, 200.0, 2.0),
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


Generator = Callable[[int, float], leased_load.Load]


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of load.

    Attributes:
        generate: Generates a load from a seed and a rate.
        rates: The rates that are replayed by default.
    """

    generate: Generator
    rates: tuple[float, ...]


_KINDS: dict[str, Kind] = {}


def _kind(
    name: str, rates: tuple[float, ...]
) -> Callable[[Generator], Generator]:
    """Registers a kind of load under a name."""

    def register(generator: Generator) -> Generator:
        _KINDS[name] = Kind(generator, rates)
        return generator

    return register


@_kind("mixed", JOBS_PER_S)
def _generate_mixed(seed: int, rate: float) -> leased_load.Load:
    return generate(seed, jobs_per_s=rate)


@_kind("scarce", SCARCE_SHARES)
def _generate_scarce(seed: int, rate: float) -> leased_load.Load:
    return generate_scarce(seed, rate)


def generate_scarce(
    seed: int,
    share: float,
    *,
    duration_s: float = SCARCE_DURATION_S,
    upstream_count: int = SCARCE_UPSTREAM_COUNT,
) -> leased_load.Load:
    """Generates a load of large tasks on small upstreams, with a burst.

    Args:
        seed: Seed of the random numbers.
        share: Offered work outside the burst, as a share of the cores.
        duration_s: Time in which jobs arrive, in seconds.
        upstream_count: Number of upstreams.
    """
    rng = random.Random(seed)
    upstreams = tuple(
        leased_load.make_upstream(
            f"u{number}",
            SCARCE_CPU_MILLIS[number % len(SCARCE_CPU_MILLIS)],
            8,
            1 / rng.choice(SCARCE_SPEEDS),
        )
        for number in range(upstream_count)
    )
    capacity = sum(
        upstream.entry.capacity.cpu_millis / upstream.slowness
        for upstream in upstreams
    )
    sample = random.Random(0)
    mean_work = statistics.fmean(
        sum(job.work_ms) / 1_000 * job.request.tasks.needs.cpu_millis
        for job in (
            _scarce_job(sample, number, 0.0)
            for number in range(MEAN_WORK_SAMPLE_COUNT)
        )
    )
    jobs: list[leased_load.Job] = []
    arrives_at = 0.0
    while arrives_at < duration_s:
        in_burst = BURST_S[0] <= arrives_at < BURST_S[1]
        jobs_per_s = share * capacity / mean_work
        arrives_at += rng.expovariate(
            jobs_per_s * (BURST_FACTOR if in_burst else 1.0)
        )
        jobs.append(_scarce_job(rng, len(jobs), arrives_at))
    return leased_load.Load(tuple(jobs), upstreams)


def _scarce_job(
    rng: random.Random, number: int, arrives_at: float
) -> leased_load.Job:
    (route,) = rng.choices(
        SCARCE_ROUTES, [route.share for route in SCARCE_ROUTES]
    )
    drawn = round(route.tasks * math.exp(rng.gauss(0, 0.7)))
    count = min(round(4 * route.tasks), max(1, drawn))
    base_ms = route.task_ms * math.exp(rng.gauss(0, 0.4))
    cpu_millis = SCARCE_TASK_CPU_MILLIS * math.exp(
        rng.gauss(0, SCARCE_CPU_SPREAD)
    )
    least, most = SCARCE_CPU_LIMITS
    request = leased_load.make_request(
        f"j{number}",
        count,
        round(min(most, max(least, cpu_millis))),
        base_ms * math.exp(rng.gauss(0, 0.4)),
        route=route.name,
        target_ms=SCARCE_TARGET_MS,
    )
    work_ms = tuple(
        base_ms * math.exp(rng.gauss(0, 0.18)) for _ in range(count)
    )
    return leased_load.Job(arrives_at, request, work_ms, SCARCE_WAIT_S)


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
        jobs.append(_job(rng, route, len(jobs), arrives_at))
    return leased_load.Load(tuple(jobs), upstreams)


def _job(
    rng: random.Random, route: Route, number: int, arrives_at: float
) -> leased_load.Job:
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
        means.append(_mean_worth(jobs, ended_at))
        by_work = _largest(jobs, lambda job: sum(job.work_ms))
        parts += [
            means[-1],
            *(_mean_worth(part, ended_at) for part in by_work),
        ]
    return Worth(statistics.fmean(means), min(parts))


class ServedParts:
    """How often the jobs of parts of the routes are served, over replays."""

    def __init__(self) -> None:
        self._served: dict[tuple[str, str], list[bool]] = (
            collections.defaultdict(list)
        )

    def add(
        self, load: leased_load.Load, ended_at: Mapping[model.JobName, float]
    ) -> None:
        """Adds the jobs of a replay."""
        by_route = collections.defaultdict(list)
        for job in load.jobs:
            by_route[job.request.settings.route].append(job)
        for route, jobs in by_route.items():
            by_work = _largest(jobs, lambda job: sum(job.work_ms))
            by_cpu = _largest(
                jobs, lambda job: job.request.tasks.needs.cpu_millis
            )
            parts = {
                "all": jobs,
                "most_work": by_work[0],
                "more_work": by_work[1],
                "largest_tasks": by_cpu[0],
                "larger_tasks": by_cpu[1],
            }
            for part, part_jobs in parts.items():
                self._served[route, part] += [
                    _job_worth(job, ended_at.get(job.request.job, math.inf)) > 0
                    for job in part_jobs
                ]

    def lines(self) -> Iterator[str]:
        """Yields a line for each route."""
        for route in sorted({route for route, _ in self._served}):
            whole = statistics.fmean(self._served[route, "all"])
            ratios = " ".join(
                f"{part}={statistics.fmean(served) / max(whole, 1e-9):.3f}"
                for (name, part), served in self._served.items()
                if name == route and part != "all"
            )
            yield f"route={route} served={whole:.3f} {ratios}"


def _largest(
    jobs: Iterable[leased_load.Job], size: Callable[[leased_load.Job], float]
) -> tuple[list[leased_load.Job], list[leased_load.Job]]:
    """Returns the largest tenth of the jobs and the fifth below it."""
    by_size = sorted(jobs, key=size)
    tenth, third = round(len(by_size) * 0.9), round(len(by_size) * 0.7)
    return by_size[tenth:], by_size[third:tenth]


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
    parser.add_argument("--load", choices=sorted(_KINDS), default="mixed")
    parser.add_argument("--seed", action="append", type=int, default=[])
    parser.add_argument("--rate", action="append", type=float, default=[])
    found = parser.parse_args()
    kind = _KINDS[found.load]
    name = "share" if found.load == "scarce" else "jobs_per_s"
    worths = []
    parts = ServedParts()
    for rate in found.rate or kind.rates:
        for seed in found.seed or [1]:
            load = kind.generate(seed, rate)
            result = leased_replay.Replay(load).run()
            worth = measure(load, result.ended_at)
            worths.append(worth)
            parts.add(load, result.ended_at)
            print(
                f"{name}={rate:g} seed={seed} mean={worth.mean:.4f} "
                f"worst={worth.worst:.4f} "
                f"jobs={len(load.jobs)} refused={len(result.refused_jobs)} "
                f"runs={result.run_count} cpu_s={result.cpu_s:.2f}",
                flush=True,
            )
    print(f"worst={statistics.fmean(worth.worst for worth in worths):.4f}")
    for line in parts.lines():
        print(line)
    print(f"mean={statistics.fmean(worth.mean for worth in worths):.4f}")


if __name__ == "__main__":
    main()
