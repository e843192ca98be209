"""Compares a recorded load of leased runs with simulated schedulers.

Run with `python -m bench.leased_day LOG...`; each file holds the log lines of
all hosts during one load, in order of time. Without a file, a load is generated
from a seed. Each line of the output gives two shares: the share of the work that
belongs to jobs that ended within their target response time, and the share of
the jobs that were completed. Work is the total run time of tasks at slowness 1.
The lines are:

    recorded: The hosts, according to the log.
    ours, nothing lost: The host core of a leader, to which the load is replayed
        without lost messages or failed runs.
    first come, two choices: The simple schedulers FirstComeFirstServed and
        TwoChoices of bench.leased_yardstick.
    clairvoyant: A scheduler that knows all run times in advance.
    each alone: Each job runs alone on the fastest upstreams. No simulated
        scheduler can reach higher shares.
"""

import sys
from collections.abc import Mapping
from pathlib import Path

from bench import leased_load
from bench import leased_replay
from bench import leased_yardstick as baselines
from godwitnotch.core.leased import model

SEED = 1
UPSTREAM_COUNT = 24
JOBS_PER_S = 70.0
DURATION_S = 30.0


def main() -> None:
    """Prints one table for each load."""
    if len(sys.argv) == 1:
        load = leased_load.generate(
            SEED,
            upstream_count=UPSTREAM_COUNT,
            jobs_per_s=JOBS_PER_S,
            duration_s=DURATION_S,
        )
        _print_table(f"seed {SEED}", load)
    for name in sys.argv[1:]:
        with Path(name).open(encoding="utf-8", errors="replace") as log:
            _print_table(Path(name).name, leased_load.from_log(log))


def _print_table(name: str, load: leased_load.Load) -> None:
    replayed = leased_replay.Replay(load).run()
    end_times_by_label: Mapping[str, Mapping[model.JobName, float]] = {
        "recorded": load.completed_at,
        "ours, nothing lost": replayed.ended_at,
        "first come": baselines.Simulation(
            load, baselines.FirstComeFirstServed()
        ).run(),
        "two choices": baselines.Simulation(
            load, baselines.TwoChoices(SEED)
        ).run(),
        "clairvoyant": baselines.Simulation(
            load, baselines.Clairvoyant()
        ).run(),
        "each alone": baselines.lone_job_end_times(load),
    }
    outages = " ".join(f"{begin:.1f}-{end:.1f}" for begin, end in load.outages)
    print(
        f"{name}: {len(load.jobs)} jobs, {len(load.upstreams)} upstreams, "
        f"no host in {outages or 'no second'}; decisions "
        f"{1e6 * replayed.cpu_s / len(load.jobs):.0f} us a job, "
        f"{1e6 * replayed.cpu_s / max(1, replayed.run_count):.0f} us a run"
    )
    for label, ended_at in end_times_by_label.items():
        if ended_at:
            print(
                f"  {label:20} work in time "
                f"{baselines.work_in_time_share(load, ended_at):.3f}  "
                f"jobs served {baselines.completed_share(load, ended_at):.3f}"
            )


if __name__ == "__main__":
    main()
