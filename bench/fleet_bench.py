"""Compares scheduling policies on real processes under the same loads.

    python -m bench.fleet_bench --policy two_choices --policy credits

Nine hosts in three failure domains, 24 upstreams of 8 slots and a platform
stand-in run as separate processes on loopback. Jobs are sent at fixed times,
whether earlier jobs have been answered or not (open loop). Runs are paired:
every policy receives the same load for a seed. Network delays between failure
domains are not modelled. A `--time-scale` below 1 shortens all times of the
load, but not the CPU time of the hosts, which then has a larger effect.

Ratios are response times divided by ideal response times. `clairvoyant_mean`
is the mean ratio of the simulated clairvoyant scheduler, which knows all run
times in advance. `stolen_share` is the steal time of the machine as a share of
busy and steal time; if this is more than a few hundredths, the response times
depend on the state of the machine rather than on the policy.

In the table, `doubles` are tasks that started more than once, and `faults` are
internal faults that the hosts logged.
"""

import asyncio
import pathlib
import random
import statistics
import tempfile
from collections import defaultdict
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
from typing import Annotated

import msgspec
import rich.console
import rich.table
import typer

from bench import bounds
from bench import fleet
from bench import fleet_faults
from bench import fleet_figures
from bench import open_loop
from bench import recorded_load

BASELINE_POLICY = "two_choices"
DEFAULT_POLICIES = ("uniform", BASELINE_POLICY, "even_split", "credits")
BURST_COUNT = 3
# Share of all jobs that arrive in each burst.
BURST_JOB_SHARE = 0.05
BURST_DURATION_S = 0.5
# Share of the duration of the load after which a fault is injected.
FAULT_START_SHARE = 0.4
TABLE_WIDTH_COLUMNS = 260
_NO_FAULT = "none"


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a comparison.

    Attributes:
        policies: Policies to compare. The summary line of the last policy is
            printed without the policy's name.
        load_shares: Loads as shares of the capacity of the upstreams.
        seeds: Seeds of the loads.
        duration_s: Duration of each load in seconds, before `time_scale` is
            applied.
        time_scale: Seconds of the run for each second of the load.
        bursts: Whether some of the jobs arrive in bursts.
        fault: Name of the injected fault, or `none`.
        folder: Where histograms and outputs are written.
    """

    policies: Sequence[str]
    load_shares: Sequence[float]
    seeds: Sequence[int]
    duration_s: float
    time_scale: float
    bursts: bool
    fault: str
    folder: pathlib.Path


@dataclass(frozen=True, slots=True)
class Run:
    """Result of one policy under the load of one seed.

    Attributes:
        policy: Name of the policy.
        load_share: Load as a share of the capacity of the upstreams.
        seed: Seed of the load.
        figures: Figures of the run.
        clairvoyant_mean_ratio: Mean ratio of the clairvoyant scheduler.
        stolen_share: Steal time as a share of busy and steal time.
    """

    policy: str
    load_share: float
    seed: int
    figures: fleet_figures.Figures
    clairvoyant_mean_ratio: float
    stolen_share: float


def main(
    policy: Annotated[
        list[str] | None,
        typer.Option(
            help="Policy to compare; can be repeated, the main policy last."
        ),
    ] = None,
    load: Annotated[
        list[float] | None,
        typer.Option(
            help="Load as a share of upstream capacity; can be repeated."
        ),
    ] = None,
    seeds: Annotated[
        int, typer.Option(min=1, help="Number of paired runs.")
    ] = 2,
    seconds: Annotated[
        float, typer.Option(help="Duration of a load, in seconds of the load.")
    ] = 20.0,
    time_scale: Annotated[
        float,
        typer.Option(help="Seconds of the run for each second of the load."),
    ] = 1.0,
    bursts: Annotated[
        bool, typer.Option(help="Let some jobs arrive in bursts.")
    ] = True,
    fault: Annotated[
        str,
        typer.Option(
            help=f"Fault to inject: none, {', '.join(fleet_faults.names())}."
        ),
    ] = _NO_FAULT,
    out: Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder for histograms and outputs."),
    ] = None,
) -> None:
    """Runs the policies under the same loads and prints their figures."""
    plan = Plan(
        policy or DEFAULT_POLICIES,
        load or (0.7,),
        range(1, seeds + 1),
        seconds,
        time_scale,
        bursts,
        fault,
        out or pathlib.Path(tempfile.mkdtemp(prefix="godwitnotch-bench-")),
    )
    plan.folder.mkdir(parents=True, exist_ok=True)
    fleet.exit_on_sigterm()
    runs = asyncio.run(_run_all(plan))
    _print_table(plan, runs)
    for name in plan.policies:
        print(_summary_line(name, runs, with_policy=name != plan.policies[-1]))


async def _run_all(plan: Plan) -> list[Run]:
    runs = []
    for load_share in plan.load_shares:
        for seed in plan.seeds:
            load = _generate_load(plan, load_share, seed)
            clairvoyant_ratios = bounds.clairvoyant_ratios(load)
            clairvoyant_mean_ratio = statistics.fmean(
                clairvoyant_ratios[job.submission]
                for job in load.jobs
                if job.arrives_at >= load.warm_up_s
            )
            for policy in plan.policies:
                machine_time = fleet.MachineTime.now()
                figures = await _run_policy(plan, policy, load_share, load)
                stolen_share = machine_time.stolen_share_until_now()
                runs.append(
                    Run(
                        policy,
                        load_share,
                        seed,
                        figures,
                        clairvoyant_mean_ratio,
                        stolen_share,
                    )
                )
                print(_progress_line(runs[-1]), flush=True)
    return runs


def _generate_load(
    plan: Plan, load_share: float, seed: int
) -> recorded_load.Load:
    """Returns a load, with some jobs moved into bursts if planned."""
    load = recorded_load.generate(
        seed, load_share=load_share, duration_s=plan.duration_s
    )
    if not plan.bursts:
        return load
    rng = random.Random(seed)
    arrival_times = {job.submission: job.arrives_at for job in load.jobs}
    for _ in range(BURST_COUNT):
        burst_start_s = rng.random() * (plan.duration_s - BURST_DURATION_S)
        count = int(len(load.jobs) * BURST_JOB_SHARE)
        for job in rng.sample(load.jobs, count):
            arrival_times[job.submission] = (
                burst_start_s + rng.random() * BURST_DURATION_S
            )
    jobs = [
        replace(job, arrives_at=arrival_times[job.submission])
        for job in load.jobs
    ]
    jobs.sort(key=lambda job: job.arrives_at)
    return replace(load, jobs=tuple(jobs))


async def _run_policy(
    plan: Plan, policy: str, load_share: float, load: recorded_load.Load
) -> fleet_figures.Figures:
    """Starts a deployment, sends the load and returns the figures."""
    folder = plan.folder / f"{policy}-{load_share:g}-{load.seed}"
    folder.mkdir(exist_ok=True)
    deployment = fleet.Deployment(folder, policy)
    try:
        await _start_deployment(deployment, load, plan.time_scale)
        record = await _run_load(plan, deployment, load)
    finally:
        deployment.close()
    figures = fleet_figures.compute(load, record, time_scale=plan.time_scale)
    fleet_figures.write_histograms(figures, record, folder / "ratios.hlog")
    return figures


async def _start_deployment(
    deployment: fleet.Deployment, load: recorded_load.Load, time_scale: float
) -> None:
    templates = {
        job.template.name: msgspec.structs.replace(
            job.template, max_wait_s=job.max_wait_s * time_scale
        )
        for job in load.jobs
    }
    workspaces = {
        job.workspace.workspace: list(templates.values()) for job in load.jobs
    }
    await deployment.start(load.hosts, load.upstreams, load.speeds, workspaces)


async def _run_load(
    plan: Plan, deployment: fleet.Deployment, load: recorded_load.Load
) -> fleet_figures.RunRecord:
    """Sends the load, injects the fault and returns the recorded data."""
    load_generator = open_loop.OpenLoopGenerator(
        load, deployment, time_scale=plan.time_scale
    )
    await load_generator.reserve_all_ids()
    usage_before = deployment.host_usage()
    fault_task = _schedule_fault(
        plan, fleet_faults.FaultContext(deployment, load_generator)
    )
    exchanges = await load_generator.run()
    if fault_task is not None:
        await fault_task
    usage_after = deployment.host_usage()
    starts: list[fleet_figures.TaskStart] = []
    refused_count = lost_log_count = 0
    for node in deployment.upstreams.values():
        start_log = await deployment.start_log(node)
        if start_log is None:
            lost_log_count += 1
            continue
        refused_count += start_log["refused"]
        starts += [
            fleet_figures.TaskStart(
                start["submission_id"], start["task_index"], start["ended_at"]
            )
            for start in start_log["starts"]
        ]
    return fleet_figures.RunRecord(
        exchanges,
        starts,
        refused_count,
        usage_after.cpu_s - usage_before.cpu_s,
        usage_after.rss_bytes,
        deployment.internal_fault_count(),
        lost_log_count,
    )


def _schedule_fault(
    plan: Plan, context: fleet_faults.FaultContext
) -> asyncio.Task[None] | None:
    if plan.fault == _NO_FAULT:
        return None
    delay_s = plan.duration_s * plan.time_scale * FAULT_START_SHARE
    return asyncio.create_task(
        fleet_faults.inject(plan.fault, context, delay_s=delay_s)
    )


def _progress_line(run: Run) -> str:
    figures = run.figures
    outcomes = " ".join(
        f"{name}={count}" for name, count in sorted(figures.outcomes.items())
    )
    return (
        f"policy={run.policy} load={run.load_share:g} seed={run.seed} "
        f"mean_ratio={figures.mean_ratio:.3f} p99_ratio={figures.p99_ratio:.2f}"
        f" double_starts={figures.double_start_count} "
        f"internal_faults={figures.internal_fault_count} "
        f"lost_logs={figures.lost_log_count} "
        f"max_lag_ms={figures.max_lag_s * 1e3:.0f} "
        f"clairvoyant_mean={run.clairvoyant_mean_ratio:.3f} "
        f"stolen_share={run.stolen_share:.2f} {outcomes}"
    )


def _print_table(plan: Plan, runs: Sequence[Run]) -> None:
    table = rich.table.Table(
        title=f"median [least..most] of {len(plan.seeds)} paired runs, "
        f"time scale {plan.time_scale:g}, fault {plan.fault}"
    )
    for column in (
        "policy",
        "load",
        "job mean",
        "job p50",
        "job p99",
        "task p50",
        "task p99",
        "in time",
        "wasted/request",
        "doubles",
        "faults",
        "tasks/core s",
        "MB/host",
        "vs clairvoyant",
    ):
        table.add_column(column)
    grouped: dict[tuple[str, float], list[Run]] = defaultdict(list)
    for run in runs:
        grouped[run.policy, run.load_share].append(run)
    for (policy, load_share), group_runs in grouped.items():
        table.add_row(policy, f"{load_share:g}", *_cells(group_runs))
    rich.console.Console(width=TABLE_WIDTH_COLUMNS).print(table)


def _cells(runs: Sequence[Run]) -> list[str]:
    all_figures = [run.figures for run in runs]
    return [
        _format_median_and_range(
            [figures.mean_ratio for figures in all_figures]
        ),
        _format_median_and_range(
            [figures.p50_ratio for figures in all_figures]
        ),
        _format_median_and_range(
            [figures.p99_ratio for figures in all_figures]
        ),
        _format_median_and_range(
            [_task_quantile(figures, 0.5) for figures in all_figures]
        ),
        _format_median_and_range(
            [_task_quantile(figures, 0.99) for figures in all_figures]
        ),
        _format_median_and_range(
            [figures.in_time_share for figures in all_figures], digits=4
        ),
        _format_median_and_range(
            [figures.wasted_per_request for figures in all_figures], digits=4
        ),
        str(sum(figures.double_start_count for figures in all_figures)),
        str(sum(figures.internal_fault_count for figures in all_figures)),
        _format_median_and_range(
            [figures.tasks_per_core_s for figures in all_figures], digits=0
        ),
        _format_median_and_range(
            [figures.max_rss_mb for figures in all_figures], digits=0
        ),
        _format_median_and_range([_ratio_to_clairvoyant(run) for run in runs]),
    ]


def _task_quantile(figures: fleet_figures.Figures, fraction: float) -> float:
    return fleet_figures.quantile(figures.task_ratios, fraction)


def _ratio_to_clairvoyant(run: Run) -> float:
    return run.figures.mean_ratio / run.clairvoyant_mean_ratio


def _format_median_and_range(
    values: Sequence[float], *, digits: int = 2
) -> str:
    """Returns the median, and the range if there are several values."""
    median = statistics.median(values)
    text = f"{median:.{digits}f}"
    if len(values) == 1:
        return text
    return f"{text} [{min(values):.{digits}f}..{max(values):.{digits}f}]"


def _summary_line(name: str, runs: Sequence[Run], *, with_policy: bool) -> str:
    """Returns the summary line of one policy.

    Its figures are medians over all loads and seeds.
    """
    policy_runs = [run for run in runs if run.policy == name]
    baseline_mean_ratios = {
        (run.load_share, run.seed): run.figures.mean_ratio
        for run in runs
        if run.policy == BASELINE_POLICY
    }
    line = " ".join(
        f"{title}={value}"
        for title, value in _summary(policy_runs, baseline_mean_ratios).items()
    )
    return f"policy={name} {line}" if with_policy else line


def _summary(
    policy_runs: Sequence[Run],
    baseline_mean_ratios: Mapping[tuple[float, int], float],
) -> dict[str, str]:
    """Returns the values of the summary line by name."""
    all_figures = [run.figures for run in policy_runs]
    ratios_to_baseline = [
        run.figures.mean_ratio / baseline_mean_ratios[run.load_share, run.seed]
        for run in policy_runs
        if baseline_mean_ratios.get((run.load_share, run.seed))
    ]
    return {
        "mean_ratio": _format_median(
            [figures.mean_ratio for figures in all_figures]
        ),
        "p99_ratio": _format_median(
            [figures.p99_ratio for figures in all_figures]
        ),
        "wasted_per_request": _format_median(
            [figures.wasted_per_request for figures in all_figures], digits=4
        ),
        "in_time_share": _format_median(
            [figures.in_time_share for figures in all_figures], digits=4
        ),
        "tasks_per_core_s": _format_median(
            [figures.tasks_per_core_s for figures in all_figures], digits=0
        ),
        "vs_two_choices": _format_median(ratios_to_baseline)
        if ratios_to_baseline
        else "not_run",
        "vs_clairvoyant": _format_median(
            [_ratio_to_clairvoyant(run) for run in policy_runs]
        ),
    }


def _format_median(values: Sequence[float], *, digits: int = 3) -> str:
    return f"{statistics.median(values):.{digits}f}"


if __name__ == "__main__":
    typer.run(main)
