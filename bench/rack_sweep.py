"""Measures the decisions of a leader when jobs name the rack of their data.

`python -m bench.rack_sweep` replays the jobs of `bench.load_sweep` to the host
core. A share of the jobs names a rack, elsewhere their tasks take a factor
longer. In a hot load half of these jobs name the same rack. Loads are shares of
what the upstreams could run if each task ran in its rack. Each line gives the
mean worth of the routes, that of their jobs that name a rack and of the others,
the share of such tasks' runs that are away from their rack, and the CPU time of
the host core for each run.
"""

import argparse
import collections
import dataclasses
import random
import statistics
from collections.abc import Callable

from bench import leased_load
from bench import leased_replay
from bench import load_sweep
from godwitnotch.core.leased import locality

LOADS = (0.6, 0.85, 1.1)
FACTORS = (1.5, 2.0, 3.0)
RACK_SIZE = 6
RACK_SHARE = 0.6  # Share of the jobs that name a rack.
HOT_SHARE = 0.5  # Share of these that name the hot rack, in a hot load.


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A load to generate.

    Attributes:
        load: Load as a share of capacity.
        factor: Factor by which tasks take longer away from their rack.
        hot: Whether half of the jobs with a rack name the same one.
        seed: Seed of the random numbers.
    """

    load: float
    factor: float
    hot: bool
    seed: int


def generate(case: Case) -> leased_load.Load:
    """Generates a load."""
    rng = random.Random(case.seed)
    upstreams = tuple(
        leased_load.make_upstream(
            f"u{number}",
            rng.choice(load_sweep.UPSTREAM_CPU_MILLIS),
            8,
            rng.choice(load_sweep.SLOWNESSES),
            rack=f"rack{number // RACK_SIZE}",
        )
        for number in range(load_sweep.UPSTREAM_COUNT)
    )
    rack_count = -(-load_sweep.UPSTREAM_COUNT // RACK_SIZE)
    jobs_per_s = case.load * _capacity(upstreams) / _mean_work_s(rng)
    jobs: list[leased_load.Job] = []
    arrives_at = 0.0
    shares = [route.share for route in load_sweep.ROUTES]
    while arrives_at < load_sweep.DURATION_S:
        arrives_at += rng.expovariate(jobs_per_s)
        (route,) = rng.choices(load_sweep.ROUTES, shares)
        rack = ""
        if rng.random() < RACK_SHARE:
            hot = case.hot and rng.random() < HOT_SHARE
            rack = f"rack{0 if hot else rng.randrange(rack_count)}"
        jobs.append(
            load_sweep.make_job(rng, route, len(jobs), arrives_at, rack=rack)
        )
    return leased_load.Load(
        tuple(jobs), upstreams, racks=locality.Racks(case.factor)
    )


def _capacity(upstreams: tuple[leased_load.Upstream, ...]) -> float:
    """Returns how many tasks of mean size the upstreams run at once."""
    return sum(
        min(upstream.entry.slots, upstream.entry.capacity.cpu_millis / 27_000)
        / upstream.slowness
        for upstream in upstreams
    )


def _mean_work_s(rng: random.Random) -> float:
    """Returns the mean run time of all tasks of a job, from a sample."""
    shares = [route.share for route in load_sweep.ROUTES]
    routes = rng.choices(load_sweep.ROUTES, shares, k=4_000)
    return statistics.fmean(
        sum(load_sweep.make_job(rng, route, 0, 0.0).work_ms) / 1_000
        for route in routes
    )


def _worth(
    load: leased_load.Load,
    result: leased_replay.ReplayResult,
    kept: Callable[[leased_load.Job], bool],
) -> float:
    jobs = tuple(job for job in load.jobs if kept(job))
    part = dataclasses.replace(load, jobs=jobs)
    return load_sweep.measure(part, result.ended_at).mean


def main() -> None:
    """Prints a line for each case, and the mean of each load and factor."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", action="append", type=int, default=[])
    parser.add_argument("--load", action="append", type=float, default=[])
    parser.add_argument("--factor", action="append", type=float, default=[])
    parser.add_argument("--hot", choices=("yes", "no"))
    parser.add_argument("--brief", action="store_true")
    found = parser.parse_args()
    means: dict[str, list[float]] = collections.defaultdict(list)
    for seed in found.seed or [1]:
        for load_share in found.load or LOADS:
            for factor in found.factor or FACTORS:
                for hot in (False, True):
                    if found.hot and hot != (found.hot == "yes"):
                        continue
                    case = Case(load_share, factor, hot, seed)
                    load = generate(case)
                    result = leased_replay.Replay(load).run()
                    mean = _worth(load, result, lambda job: True)
                    named = _worth(
                        load,
                        result,
                        lambda job: bool(job.request.tasks.preferred_rack),
                    )
                    others = _worth(
                        load,
                        result,
                        lambda job: not job.request.tasks.preferred_rack,
                    )
                    away = result.away_count / max(1, result.rack_run_count)
                    cpu_us = result.cpu_s / max(1, result.run_count) * 1e6
                    name = f"load={load_share:g} factor={factor:g} hot={hot}"
                    means[name].append(mean)
                    means["mean"].append(mean)
                    if not found.brief:
                        print(
                            f"{name} seed={seed} mean={mean:.4f} "
                            f"named={named:.4f} others={others:.4f} "
                            f"away={away:.3f} cpu_us={cpu_us:.0f}",
                            flush=True,
                        )
    for name, values in means.items():
        if name != "mean":
            print(
                f"{name} seeds={len(values)} mean={statistics.fmean(values):.4f}"
            )
    print(f"mean={statistics.fmean(means['mean']):.4f}")


if __name__ == "__main__":
    main()
