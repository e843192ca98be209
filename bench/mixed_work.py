"""Measures a leader's decisions when long jobs hold much of the room.

`python -m bench.mixed_work` replays three routes to the host core of a leader of
176 upstreams, on each of which two tasks fit: wide jobs of short tasks, few jobs
of long tasks, which hold two fifths of the busy places, and many narrow jobs.
Some of the wide jobs name the rack of their data. The rates vary: none, a wave,
a burst on its crest, an overload, a burst of long jobs.

A job is worth 0.3 + 0.7 times its work against the mean of its route, as its
users count it, and a fifth of that if it is late. Printed are the worth earned of
the worth offered, by route too; the share of core-seconds that ran for jobs which
earned nothing; how often the tenth of the long jobs with the most work, and the
fifth below it, are served relative to their route; and the decisions' processor
time for each run.
"""

import argparse
import math
import random
import statistics
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass

from bench import leased_load
from bench import leased_replay
from bench import leased_yardstick
from bench import load_shapes
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model

UPSTREAM_COUNT = 176
RACK_SIZE = 20
UPSTREAM_CPU_MILLIS = (16_000, 16_000, 24_000)
SLOWNESSES = (1 / 0.6, 1.0, 1 / 1.6)
SLOTS = 8
AWAY_FACTOR = 2.0  # How much longer a task takes away from its rack.
RACKS_NAMED = 18  # Things that wide jobs name, each in one rack.
TASK_CPU_MILLIS = 8_000
MAX_TASK_CPU_MILLIS = 12_000
STRETCH = 1.6
TARGET_MS = 63.0
MAX_WAIT_S = 1.58
LATE_FACTOR = 3.0
LATE_WORTH = 0.2
MAX_WORTH_FACTOR = 4.0
DURATION_S = 8.0
SEEDS = (1, 2)


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
        worth: Worth of a job of mean work.
    """

    name: str
    priority: int
    jobs_per_s: float
    task_ms: float
    tasks: int
    max_tasks: int
    worth: float


ROUTES = (
    Route("wide", 0, 77.0, 60.0, 8, 32, 4.85),
    Route("long", 2, 24.4, 900.0, 4, 16, 26.7),
    Route("narrow", 1, 225.0, 200.0, 2, 8, 1.67),
)

Shape = Callable[[Route, float], float]
SHAPES: load_shapes.Shapes[Route] = load_shapes.Shapes()


@SHAPES.register("steady")
def _steady(route: Route, at: float) -> float:
    del route, at
    return 1.0


@SHAPES.register("wave")
def _wave(route: Route, at: float) -> float:
    del route
    return 1 + 0.27 * math.sin(2 * math.pi * at / 11.0)


@SHAPES.register("burst_on_crest")
def _burst_on_crest(route: Route, at: float) -> float:
    burst = 1.3 if 1.5 <= at < 4.5 else 1.0
    if route.name == "wide" and 2.0 <= at < 4.0:
        burst *= 1.6
    return burst * _wave(route, at)


@SHAPES.register("overload")
def _overload(route: Route, at: float) -> float:
    del route, at
    return 1.8


@SHAPES.register("burst_of_long")
def _burst_of_long(route: Route, at: float) -> float:
    return 3.0 if route.name == "long" and 2.0 <= at < 4.0 else 1.0


def generate(seed: int, rate: Shape, scale: float = 1.0) -> leased_load.Load:
    """Generates a load.

    Args:
        seed: Seed of the random numbers.
        rate: Factor on a route's rate at a time.
        scale: Share of the upstreams and of the jobs.
    """
    rng = random.Random(seed)
    upstreams = tuple(
        leased_load.make_upstream(
            f"u{number}",
            UPSTREAM_CPU_MILLIS[number % len(UPSTREAM_CPU_MILLIS)],
            SLOTS,
            rng.choice(SLOWNESSES),
            rack=f"rack{number // RACK_SIZE}",
        )
        for number in range(round(UPSTREAM_COUNT * scale))
    )
    arrivals = sorted(
        (arrives_at, index)
        for index, route in enumerate(ROUTES)
        for arrives_at in _arrivals(rng, route, rate, scale)
    )
    jobs = tuple(
        _job(rng, ROUTES[index], number, arrives_at)
        for number, (arrives_at, index) in enumerate(arrivals)
    )
    return leased_load.Load(jobs, upstreams, racks=locality.Racks(AWAY_FACTOR))


def _arrivals(
    rng: random.Random, route: Route, rate: Shape, scale: float
) -> Iterator[float]:
    at = 0.0
    while at < DURATION_S:
        at += rng.expovariate(route.jobs_per_s * scale * rate(route, at))
        yield at


def _job(
    rng: random.Random, route: Route, number: int, arrives_at: float
) -> leased_load.Job:
    drawn = round(route.tasks * math.exp(rng.gauss(-0.08, 0.4)))
    count = min(route.max_tasks, max(1, drawn))
    base_ms = route.task_ms * math.exp(rng.gauss(-0.08, 0.4))
    base_ms = min(4 * route.task_ms, base_ms)
    cpu_millis = round(TASK_CPU_MILLIS * math.exp(rng.gauss(0, 0.2)))
    rack = ""
    if route.name == "wide" and rng.random() < 0.4:
        # Some are named more often than others.
        thing = int(RACKS_NAMED * rng.random() ** 1.5)
        rack = f"rack{thing * UPSTREAM_COUNT // RACKS_NAMED // RACK_SIZE}"
    request = leased_load.make_request(
        f"j{number}",
        count,
        min(MAX_TASK_CPU_MILLIS, cpu_millis),
        base_ms * math.exp(rng.gauss(0, 0.4)),
        route=route.name,
        stretch=STRETCH,
        target_ms=TARGET_MS,
        rack=rack,
    )
    work_ms = tuple(
        base_ms * math.exp(rng.gauss(0, 0.15)) for _ in range(count)
    )
    return leased_load.Job(arrives_at, request, work_ms, MAX_WAIT_S)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a replay has shown; shares are from 0 to 1.

    Attributes:
        worth: Worth earned of the worth offered.
        worth_by_route: The same by route.
        refused: Share of the jobs that were refused.
        late: Share of the jobs that were late but of use.
        useless: Share of the jobs that ended later, or without an answer.
        wasted: Share of core-seconds that ran for jobs which earned nothing.
        largest_served: How often the tenth of the long jobs with the most work
            is served, relative to all long jobs.
        next_served: The same of the fifth below it.
        us_a_run: Processor time of the decisions for each run, in us.
    """

    worth: float
    worth_by_route: dict[str, float]
    refused: float
    late: float
    useless: float
    wasted: float
    largest_served: float
    next_served: float
    us_a_run: float


def measure(
    load: leased_load.Load, result: leased_replay.ReplayResult
) -> Outcome:
    """Returns what a replay has shown."""
    earned = {job.request.job: _earned(job, result) for job in load.jobs}
    offered = {
        job.request.job: worth
        for route in ROUTES
        for job, worth in _offered(load.jobs, route)
    }
    refused = sum(name in result.refused_jobs for name in earned)
    late = sum(share == LATE_WORTH for share in earned.values())
    in_time = sum(share == 1.0 for share in earned.values())
    used = sum(result.ran_cpu_s.values())
    wasted = sum(
        cpu_s for name, cpu_s in result.ran_cpu_s.items() if not earned[name]
    )
    long_jobs = sorted(
        (job for job in load.jobs if job.request.settings.route == "long"),
        key=_work_ms,
        reverse=True,
    )
    tenth = len(long_jobs) // 10
    all_served = _served(long_jobs, earned)
    return Outcome(
        worth=_share(earned, offered, load.jobs),
        worth_by_route={
            route.name: _share(
                earned,
                offered,
                [
                    j
                    for j in load.jobs
                    if j.request.settings.route == route.name
                ],
            )
            for route in ROUTES
        },
        refused=refused / len(load.jobs),
        late=late / len(load.jobs),
        useless=(len(load.jobs) - refused - late - in_time) / len(load.jobs),
        wasted=wasted / used,
        largest_served=_served(long_jobs[:tenth], earned) / all_served,
        next_served=_served(long_jobs[tenth : 3 * tenth], earned) / all_served,
        us_a_run=1e6 * result.cpu_s / result.run_count,
    )


def _offered(
    jobs: Iterable[leased_load.Job], route: Route
) -> Iterator[tuple[leased_load.Job, float]]:
    own = [job for job in jobs if job.request.settings.route == route.name]
    mean = statistics.fmean(map(_core_ms, own))
    for job in own:
        factor = min(MAX_WORTH_FACTOR, 0.3 + 0.7 * _core_ms(job) / mean)
        yield job, route.worth * factor


def _work_ms(job: leased_load.Job) -> float:
    return sum(job.work_ms)


def _core_ms(job: leased_load.Job) -> float:
    return _work_ms(job) * job.request.tasks.needs.cpu_millis


def _earned(job: leased_load.Job, result: leased_replay.ReplayResult) -> float:
    """Returns the share of its worth that a job earns."""
    ended_at = result.ended_at.get(job.request.job, math.inf)
    took_s = ended_at - job.arrives_at
    target_s = leased_yardstick.target_response_s(job)
    if took_s <= target_s:
        return 1.0
    return LATE_WORTH if took_s <= LATE_FACTOR * target_s else 0.0


def _share(
    earned: dict[model.JobName, float],
    offered: dict[model.JobName, float],
    jobs: Sequence[leased_load.Job],
) -> float:
    names = [job.request.job for job in jobs]
    total = sum(offered[name] for name in names)
    return sum(earned[name] * offered[name] for name in names) / total


def _served(
    jobs: Sequence[leased_load.Job], earned: dict[model.JobName, float]
) -> float:
    return statistics.fmean(earned[job.request.job] > 0 for job in jobs)


def main() -> None:
    """Prints a line for each load, and the mean worth."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--shape", action="append", default=[], choices=SHAPES)
    parser.add_argument("--seed", action="append", type=int, default=[])
    found = parser.parse_args()
    worths = []
    for name in found.shape or SHAPES:
        outcomes = []
        for seed in found.seed or SEEDS:
            load = generate(seed, SHAPES[name])
            result = leased_replay.Replay(load).run()
            outcomes.append(measure(load, result))
        worths += [outcome.worth for outcome in outcomes]
        routes = " ".join(
            f"{route.name}={_mean(o.worth_by_route[route.name] for o in outcomes)}"
            for route in ROUTES
        )
        print(
            f"load={name} worth={_mean(o.worth for o in outcomes)} {routes} "
            f"refused={_mean(o.refused for o in outcomes)} "
            f"late={_mean(o.late for o in outcomes)} "
            f"useless={_mean(o.useless for o in outcomes)} "
            f"wasted={_mean(o.wasted for o in outcomes)} "
            f"largest_served={_mean(o.largest_served for o in outcomes)} "
            f"next_served={_mean(o.next_served for o in outcomes)} "
            f"us_a_run={statistics.fmean(o.us_a_run for o in outcomes):.0f}",
            flush=True,
        )
    print(f"mean={statistics.fmean(worths):.4f}")


def _mean(values: Iterable[float]) -> str:
    return f"{statistics.fmean(values):.4f}"


if __name__ == "__main__":
    main()
