"""Measures the decisions of a leader while its load is uneven.

`python -m bench.uneven_load` replays loads of three routes of differing width,
run time and priority, whose rates vary: a burst on one route, a swing of all
routes, an overload, and as a control a quiet load. For each load and route it
counts the jobs answered in time, answered late but within three times the
target, and refused. A job in time is worth 1, a late one 0.2; the routes count
alike. `served` is the share of jobs with an answer in time or late.

With `--return` refused callers send a new request once their Retry-After, in
whole seconds as in the HTTP header, has passed. It counts like any request.
"""

import argparse
import collections
import enum
import math
import random
import statistics
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from bench import leased_load
from bench import leased_replay
from bench import leased_yardstick
from bench import load_shapes

UPSTREAM_COUNT = 24
UPSTREAM_CPU_MILLIS = (32_000, 32_000, 48_000)
SLOWNESSES = (0.6, 1.0, 1.6)
DURATION_S = 16.0
MAX_WAIT_S = 1.55
STRETCH = 1.6
TARGET_MS = 62.0
LATE_FACTOR = 3.0
LATE_WORTH = 0.2
CPU_MILLIS = 16_000
MAX_CPU_MILLIS = 24_000
SEEDS = (1, 2, 3, 4, 5)
MAX_RETURN_COUNT = 3


class Outcome(enum.Enum):
    """What the caller of a job has got."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    USELESS = "useless"  # After three times the target, or no answer.


@dataclass(frozen=True, slots=True)
class Route:
    """The jobs of one route.

    Attributes:
        name: Name of the route.
        priority: Priority of its jobs; 0 is the highest.
        jobs_per_s: Mean number of arriving jobs per second.
        task_ms: Median run time of a task.
        tasks: Median number of tasks.
        max_tasks: Maximum number of tasks.
    """

    name: str
    priority: int
    jobs_per_s: float
    task_ms: float
    tasks: int
    max_tasks: int


# At these rates the upstreams are used by some two thirds.
ROUTES = (
    Route("wide", 0, 14.0, 60.0, 8, 32),
    Route("long", 2, 2.6, 900.0, 4, 16),
    Route("narrow", 1, 41.0, 200.0, 2, 8),
)

Shape = Callable[[Route, float], float]
SHAPES: load_shapes.Shapes[Route] = load_shapes.Shapes()


@SHAPES.register("quiet")
def _quiet(route: Route, at: float) -> float:
    del route, at
    return 0.5


@SHAPES.register("steady")
def _steady(route: Route, at: float) -> float:
    del route, at
    return 1.0


@SHAPES.register("burst_long")
def _burst_long(route: Route, at: float) -> float:
    return 4.0 if route.name == "long" and 5.0 <= at < 9.0 else 1.0


@SHAPES.register("burst_narrow")
def _burst_narrow(route: Route, at: float) -> float:
    return 4.0 if route.name == "narrow" and 5.0 <= at < 9.0 else 1.0


@SHAPES.register("burst_wide")
def _burst_wide(route: Route, at: float) -> float:
    return 5.0 if route.name == "wide" and 5.0 <= at < 9.0 else 1.0


@SHAPES.register("swing")
def _swing(route: Route, at: float) -> float:
    del route
    return 1.2 * (1 + 0.55 * math.sin(2 * math.pi * at / 8.0))


@SHAPES.register("crowds")
def _crowds(route: Route, at: float) -> float:
    del route
    return 6.0 if at % 3.0 < 0.4 else 0.4


@SHAPES.register("overload")
def _overload(route: Route, at: float) -> float:
    del route, at
    return 1.8


@dataclass(frozen=True, slots=True)
class Count:
    """The outcomes of the jobs of one route.

    Attributes:
        by_outcome: Number of jobs of each outcome.
    """

    by_outcome: Mapping[Outcome, int]

    @property
    def jobs(self) -> int:
        """Number of all jobs."""
        return sum(self.by_outcome.values())

    @property
    def worth(self) -> float:
        """Mean worth of a job, from 0 to 1."""
        in_time = self.by_outcome[Outcome.IN_TIME]
        late = self.by_outcome[Outcome.LATE]
        return (in_time + LATE_WORTH * late) / max(1, self.jobs)

    @property
    def served(self) -> float:
        """Share of jobs answered in time or late."""
        return (
            self.by_outcome[Outcome.IN_TIME] + self.by_outcome[Outcome.LATE]
        ) / max(1, self.jobs)


def generate(
    seed: int,
    rate: Shape,
    *,
    factor: float = 1.0,
    duration_s: float = DURATION_S,
) -> leased_load.Load:
    """Generates a load.

    Args:
        seed: Seed of the random numbers.
        rate: Factor on a route's rate at a time.
        factor: Factor on the rates of all routes.
        duration_s: Time in which jobs arrive, in seconds.
    """
    rng = random.Random(seed)
    upstreams = tuple(
        leased_load.make_upstream(
            f"u{number}",
            rng.choice(UPSTREAM_CPU_MILLIS),
            8,
            SLOWNESSES[number % len(SLOWNESSES)],
        )
        for number in range(UPSTREAM_COUNT)
    )
    arrivals = []
    for route in ROUTES:
        arrives_at = 0.0
        while arrives_at < duration_s:
            rate_per_s = route.jobs_per_s * factor * rate(route, arrives_at)
            arrives_at += rng.expovariate(rate_per_s)
            arrivals.append((arrives_at, route))
    arrivals.sort(key=lambda pair: pair[0])
    jobs = tuple(
        _job(rng, route, number, arrives_at)
        for number, (arrives_at, route) in enumerate(arrivals)
    )
    return leased_load.Load(jobs, upstreams)


def _job(
    rng: random.Random, route: Route, number: int, arrives_at: float
) -> leased_load.Job:
    drawn = round(route.tasks * math.exp(rng.gauss(0, 0.5)))
    count = min(route.max_tasks, max(1, drawn))
    base_ms = route.task_ms * math.exp(rng.gauss(0, 0.4))
    cpu_millis = round(CPU_MILLIS * math.exp(rng.gauss(0, 0.2)))
    request = leased_load.make_request(
        f"j{number}",
        count,
        min(MAX_CPU_MILLIS, cpu_millis),
        base_ms * math.exp(rng.gauss(0, 0.4)),
        route=route.name,
        stretch=STRETCH,
        target_ms=TARGET_MS,
    )
    request = msgspec.structs.replace(
        request,
        settings=msgspec.structs.replace(
            request.settings, priority=route.priority
        ),
    )
    work_ms = tuple(
        base_ms * math.exp(rng.gauss(0, 0.15)) for _ in range(count)
    )
    return leased_load.Job(arrives_at, request, work_ms, MAX_WAIT_S)


def count(
    load: leased_load.Load, result: leased_replay.ReplayResult
) -> dict[str, Count]:
    """Returns the outcomes by route."""
    by_route: dict[str, collections.Counter[Outcome]] = {
        route.name: collections.Counter() for route in ROUTES
    }
    for job in (*load.jobs, *result.returned_jobs):
        by_route[job.request.settings.route][_outcome(job, result)] += 1
    return {name: Count(counts) for name, counts in by_route.items()}


def _outcome(
    job: leased_load.Job, result: leased_replay.ReplayResult
) -> Outcome:
    name = job.request.job
    if name in result.refused_jobs:
        return Outcome.REFUSED
    took_s = result.ended_at.get(name, math.inf) - job.arrives_at
    target_s = leased_yardstick.target_response_s(job)
    if took_s <= target_s:
        return Outcome.IN_TIME
    return Outcome.LATE if took_s <= LATE_FACTOR * target_s else Outcome.USELESS


def worth(counts: Mapping[str, Count]) -> float:
    """Returns the mean worth of the routes."""
    return statistics.fmean(each.worth for each in counts.values())


def served(counts: Mapping[str, Count]) -> float:
    """Returns the share of all jobs answered in time or late."""
    jobs = sum(each.jobs for each in counts.values())
    return sum(each.served * each.jobs for each in counts.values()) / jobs


def _print_routes(counts: Mapping[str, Count]) -> None:
    for name, each in counts.items():
        outcomes = " ".join(
            f"{outcome.value}={each.by_outcome[outcome]}" for outcome in Outcome
        )
        print(f"  route={name} jobs={each.jobs} {outcomes}")


def _standard_error(values: Sequence[float]) -> float:
    if len(values) < 2:
        return 0.0
    return statistics.stdev(values) / math.sqrt(len(values))


def main() -> None:
    """Prints the outcomes by load and route, and the mean over all loads."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--shape", action="append", default=[], choices=SHAPES)
    parser.add_argument("--seed", action="append", type=int, default=[])
    parser.add_argument("--factor", type=float, default=1.0)
    parser.add_argument("--routes", action="store_true")
    parser.add_argument("--return", action="store_true", dest="returns")
    found = parser.parse_args()
    worths: list[float] = []
    for name in found.shape or SHAPES:
        by_seed = []
        for seed in found.seed or SEEDS:
            load = generate(seed, SHAPES[name], factor=found.factor)
            returns = MAX_RETURN_COUNT if found.returns else 0
            result = leased_replay.Replay(load, max_returns=returns).run()
            by_seed.append(count(load, result))
            if found.routes:
                print(f"load={name} seed={seed} cpu_s={result.cpu_s:.2f}")
                _print_routes(by_seed[-1])
        shape_worths = [worth(counts) for counts in by_seed]
        worths += shape_worths
        routes = " ".join(
            f"{route.name}="
            f"{statistics.fmean(c[route.name].worth for c in by_seed):.3f}"
            for route in ROUTES
        )
        print(
            f"load={name} worth={statistics.fmean(shape_worths):.4f} "
            f"+-{_standard_error(shape_worths):.4f} "
            f"served={statistics.fmean(map(served, by_seed)):.4f} {routes}",
            flush=True,
        )
    print(f"mean={statistics.fmean(worths):.4f}")


if __name__ == "__main__":
    main()
