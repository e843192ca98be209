"""Compares policies on real processes under one recorded load.

    python -m bench.fleet_bench --policy two_choices --policy credits

Nine hosts in three failure domains, 24 upstreams of 8 slots and a platform
run as processes of their own on loopback; jobs arrive at recorded times
whatever the answers. Runs are paired: each seed's load goes to every policy.
Network delays between failure domains are not modelled. With `--time-scale`
below 1 all times of the load shrink alike, so the dispatcher's own time, which
doesn't shrink, weighs more. `stolen_share` is the share of the processor time
wanted on the machine that it did not get; response times of a run with more
than a few hundredths of it say more about the machine than about the policy.
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

import rich.console
import rich.table
import typer

from bench import bounds
from bench import fleet
from bench import fleet_faults
from bench import fleet_figures
from bench import open_loop
from bench import recorded_load

BASELINE = "two_choices"
DEFAULT_POLICIES = ("uniform", BASELINE, "even_split", "credits")
BURSTS = 3
BURST_SHARE = 0.05  # Of all jobs, in each burst.
BURST_S = 0.5
FAULT_AT = 0.4  # Of the load's time.
TABLE_COLUMNS = 260
_CLEAN = "none"


@dataclass(frozen=True, slots=True)
class Plan:
    """What is run.

    Attributes:
        policies: Policies side by side; the last is the chosen one.
        shares: Loads as shares of the upstreams' capacity.
        seeds: Seeds of the recorded loads.
        seconds: Length of each load, in seconds of the load.
        time_scale: Seconds of the run for each second of the load.
        bursts: Whether some of the jobs arrive in bursts.
        fault: Name of a fault, or none.
        folder: Where histograms and outputs are kept.
    """

    policies: Sequence[str]
    shares: Sequence[float]
    seeds: Sequence[int]
    seconds: float
    time_scale: float
    bursts: bool
    fault: str
    folder: pathlib.Path


@dataclass(frozen=True, slots=True)
class Run:
    """One policy under one seed's load."""

    policy: str
    share: float
    seed: int
    figures: fleet_figures.Figures
    clairvoyant_mean: float
    stolen_share: float


def main(
    policy: Annotated[
        list[str] | None,
        typer.Option(help="Policies side by side; the last is the chosen one."),
    ] = None,
    load: Annotated[
        list[float] | None,
        typer.Option(help="Shares of the upstreams' capacity."),
    ] = None,
    seeds: Annotated[int, typer.Option(min=1, help="Paired runs.")] = 2,
    seconds: Annotated[
        float, typer.Option(help="Length of a load, in its own seconds.")
    ] = 20.0,
    time_scale: Annotated[
        float, typer.Option(help="Seconds of the run for one of the load.")
    ] = 1.0,
    bursts: Annotated[bool, typer.Option(help="Add bursts.")] = True,
    fault: Annotated[
        str, typer.Option(help=f"none, {', '.join(fleet_faults.names())}.")
    ] = _CLEAN,
    out: Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder for histograms and outputs."),
    ] = None,
) -> None:
    """Runs the policies side by side and prints their figures."""
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
    fleet.end_on_sigterm()
    runs = asyncio.run(_run_all(plan))
    _print_table(plan, runs)
    for name in plan.policies:
        print(_summary_line(name, runs, labelled=name != plan.policies[-1]))


async def _run_all(plan: Plan) -> list[Run]:
    runs = []
    for share in plan.shares:
        for seed in plan.seeds:
            recorded = _record(plan, share, seed)
            ratios = bounds.clairvoyant_ratios(recorded)
            bound = statistics.fmean(
                ratios[job.submission]
                for job in recorded.jobs
                if job.at >= recorded.warm_up_s
            )
            for policy in plan.policies:
                machine = fleet.MachineTime.now()
                figures = await _run(plan, policy, share, recorded)
                stolen = machine.stolen_share_since()
                runs.append(Run(policy, share, seed, figures, bound, stolen))
                print(_progress(runs[-1]), flush=True)
    return runs


def _record(plan: Plan, share: float, seed: int) -> recorded_load.Load:
    recorded = recorded_load.record(seed, share=share, seconds=plan.seconds)
    if not plan.bursts:
        return recorded
    draw = random.Random(seed)
    times = {job.submission: job.at for job in recorded.jobs}
    for _ in range(BURSTS):
        first_s = draw.random() * (plan.seconds - BURST_S)
        count = int(len(recorded.jobs) * BURST_SHARE)
        for job in draw.sample(recorded.jobs, count):
            times[job.submission] = first_s + draw.random() * BURST_S
    jobs = [replace(job, at=times[job.submission]) for job in recorded.jobs]
    jobs.sort(key=lambda job: job.at)
    return replace(recorded, jobs=tuple(jobs))


async def _run(
    plan: Plan, policy: str, share: float, recorded: recorded_load.Load
) -> fleet_figures.Figures:
    folder = plan.folder / f"{policy}-{share:g}-{recorded.seed}"
    folder.mkdir(exist_ok=True)
    target = fleet.Fleet(folder, policy)
    try:
        await _start(target, recorded, plan.time_scale)
        evidence = await _play(plan, target, recorded)
    finally:
        target.close()
    figures = fleet_figures.compute(
        recorded, evidence, time_scale=plan.time_scale
    )
    fleet_figures.write_histograms(figures, evidence, folder / "ratios.hlog")
    return figures


async def _start(
    target: fleet.Fleet, recorded: recorded_load.Load, time_scale: float
) -> None:
    templates = {
        job.template.name: replace(
            job.template, max_wait_s=job.max_wait_s * time_scale
        )
        for job in recorded.jobs
    }
    workspaces = {
        job.workspace.workspace: list(templates.values())
        for job in recorded.jobs
    }
    await target.start(
        recorded.hosts, recorded.upstreams, recorded.speeds, workspaces
    )


async def _play(
    plan: Plan, target: fleet.Fleet, recorded: recorded_load.Load
) -> fleet_figures.Evidence:
    loop = open_loop.OpenLoop(recorded, target, time_scale=plan.time_scale)
    await loop.prepare()
    before = target.host_usage()
    fault = _order_fault(plan, fleet_faults.Scene(target, loop))
    exchanges = await loop.play()
    if fault is not None:
        await fault
    after = target.host_usage()
    starts: list[fleet_figures.Start] = []
    refused = lost_logs = 0
    for node in target.upstreams.values():
        listed = await target.starts(node)
        if listed is None:
            lost_logs += 1
            continue
        refused += listed["refused"]
        starts += [
            fleet_figures.Start(
                each["submission_id"], each["task_index"], each["ended_at"]
            )
            for each in listed["starts"]
        ]
    return fleet_figures.Evidence(
        exchanges,
        starts,
        refused,
        after.cpu_s - before.cpu_s,
        after.rss_bytes,
        target.internal_faults(),
        lost_logs,
    )


def _order_fault(
    plan: Plan, scene: fleet_faults.Scene
) -> asyncio.Task[None] | None:
    if plan.fault == _CLEAN:
        return None
    delay_s = plan.seconds * plan.time_scale * FAULT_AT
    return asyncio.create_task(
        fleet_faults.order(plan.fault, scene, delay_s=delay_s)
    )


def _progress(run: Run) -> str:
    figures = run.figures
    outcomes = " ".join(
        f"{name}={count}" for name, count in sorted(figures.outcomes.items())
    )
    return (
        f"policy={run.policy} load={run.share:g} seed={run.seed} "
        f"mean_ratio={figures.mean_ratio:.3f} p99_ratio={figures.p99_ratio:.2f}"
        f" double_starts={figures.double_starts} "
        f"internal_faults={figures.internal_faults} "
        f"lost_logs={figures.lost_logs} "
        f"max_lag_ms={figures.max_lag_s * 1e3:.0f} "
        f"clairvoyant_mean={run.clairvoyant_mean:.3f} "
        f"stolen_share={run.stolen_share:.2f} {outcomes}"
    )


def _print_table(plan: Plan, runs: Sequence[Run]) -> None:
    table = rich.table.Table(
        title=f"median [least..most] of {len(plan.seeds)} paired runs, "
        f"time scale {plan.time_scale:g}, fault {plan.fault}"
    )
    for title in (
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
        table.add_column(title)
    grouped: dict[tuple[str, float], list[Run]] = defaultdict(list)
    for run in runs:
        grouped[run.policy, run.share].append(run)
    for (policy, share), group in grouped.items():
        table.add_row(policy, f"{share:g}", *_cells(group))
    rich.console.Console(width=TABLE_COLUMNS).print(table)


def _cells(group: Sequence[Run]) -> list[str]:
    all_figures = [run.figures for run in group]
    return [
        _spread([each.mean_ratio for each in all_figures]),
        _spread([each.p50_ratio for each in all_figures]),
        _spread([each.p99_ratio for each in all_figures]),
        _spread([_task_quantile(each, 0.5) for each in all_figures]),
        _spread([_task_quantile(each, 0.99) for each in all_figures]),
        _spread([each.in_time_share for each in all_figures], digits=4),
        _spread([each.wasted_per_request for each in all_figures], digits=4),
        str(sum(each.double_starts for each in all_figures)),
        str(sum(each.internal_faults for each in all_figures)),
        _spread([each.tasks_per_core_s for each in all_figures], digits=0),
        _spread([each.max_rss_mb for each in all_figures], digits=0),
        _spread([_vs_clairvoyant(run) for run in group]),
    ]


def _task_quantile(figures: fleet_figures.Figures, share: float) -> float:
    return fleet_figures.quantile(figures.task_ratios, share)


def _vs_clairvoyant(run: Run) -> float:
    return run.figures.mean_ratio / run.clairvoyant_mean


def _spread(values: Sequence[float], *, digits: int = 2) -> str:
    middle = statistics.median(values)
    text = f"{middle:.{digits}f}"
    if len(values) == 1:
        return text
    return f"{text} [{min(values):.{digits}f}..{max(values):.{digits}f}]"


def _summary_line(name: str, runs: Sequence[Run], *, labelled: bool) -> str:
    """Returns the medians over all loads and seeds of one policy."""
    own = [run for run in runs if run.policy == name]
    baseline = {
        (run.share, run.seed): run.figures.mean_ratio
        for run in runs
        if run.policy == BASELINE
    }
    line = " ".join(
        f"{title}={value}" for title, value in _summary(own, baseline).items()
    )
    return f"policy={name} {line}" if labelled else line


def _summary(
    own: Sequence[Run], baseline: Mapping[tuple[float, int], float]
) -> dict[str, str]:
    figures = [run.figures for run in own]
    against = [
        run.figures.mean_ratio / baseline[run.share, run.seed]
        for run in own
        if baseline.get((run.share, run.seed))
    ]
    return {
        "mean_ratio": _median([each.mean_ratio for each in figures]),
        "p99_ratio": _median([each.p99_ratio for each in figures]),
        "wasted_per_request": _median(
            [each.wasted_per_request for each in figures], digits=4
        ),
        "in_time_share": _median(
            [each.in_time_share for each in figures], digits=4
        ),
        "tasks_per_core_s": _median(
            [each.tasks_per_core_s for each in figures], digits=0
        ),
        "vs_two_choices": _median(against) if against else "not_run",
        "vs_clairvoyant": _median([_vs_clairvoyant(run) for run in own]),
    }


def _median(values: Sequence[float], *, digits: int = 3) -> str:
    return f"{statistics.median(values):.{digits}f}"


if __name__ == "__main__":
    typer.run(main)
