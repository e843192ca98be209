"""Compares what hosts earned on a day with what schedulers could earn.

Run with `python -m bench.leased_day LOG...`, each a file with the lines of all
hosts of a day, or without a log for a seeded load.
"""

import sys
from collections.abc import Mapping
from pathlib import Path

from bench import leased_load
from bench import leased_replay
from bench import leased_yardstick as yardstick
from godwitnotch.core.leased import model

SEED = 1
UPSTREAMS = 24
JOBS_PER_S = 70.0
SECONDS = 30.0


def main() -> None:
    """Prints a table for each load."""
    if len(sys.argv) == 1:
        load = leased_load.synthetic(
            SEED, upstreams=UPSTREAMS, jobs_per_s=JOBS_PER_S, seconds=SECONDS
        )
        _print(f"seed {SEED}", load)
    for name in sys.argv[1:]:
        with Path(name).open(encoding="utf-8", errors="replace") as lines:
            _print(Path(name).name, leased_load.from_log(lines))


def _print(name: str, load: leased_load.Load) -> None:
    outcome = leased_replay.Replay(load).run()
    ends: Mapping[str, Mapping[model.JobName, float]] = {
        "recorded": load.served,
        "ours, nothing lost": outcome.ended_at,
        "first come": yardstick.Day(load, yardstick.Naive()).run(),
        "two choices": yardstick.Day(load, yardstick.TwoChoices(SEED)).run(),
        "clairvoyant": yardstick.Day(load, yardstick.Clairvoyant()).run(),
        "each alone": yardstick.alone(load),
    }
    outages = " ".join(f"{a:.1f}-{b:.1f}" for a, b in load.outages)
    print(
        f"{name}: {len(load.jobs)} jobs, {len(load.upstreams)} upstreams, "
        f"no host in {outages or 'no second'}; decisions "
        f"{1e6 * outcome.processor_s / len(load.jobs):.0f} us a job, "
        f"{1e6 * outcome.processor_s / max(1, outcome.runs):.0f} us a run"
    )
    for label, ended_at in ends.items():
        if ended_at:
            print(
                f"  {label:20} work in time "
                f"{yardstick.in_aim(load, ended_at):.3f}  "
                f"jobs served {yardstick.served(load, ended_at):.3f}"
            )


if __name__ == "__main__":
    main()
