"""Runs a soak: `python -m tests.soak --seed N --minutes M --hosts H`."""

import argparse
import asyncio
import collections
import pathlib
import random
import re
import signal
import sys
import tempfile
import time
from datetime import datetime
from datetime import UTC

from tests.soak import checker
from tests.soak import faults as faults_module
from tests.soak import fleet as fleet_module
from tests.soak import load as load_module
from tests.soak import schedule

RECOVERY_JOBS = 20
RECOVERY_TIMEOUT_S = 60.0
_TIME = re.compile(r"^time=(\S+)Z ")


def main() -> int:
    """Runs a soak and returns the exit code."""
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--upstreams", type=int, default=24)
    parser.add_argument("--groups", type=int, default=2)
    parser.add_argument("--scale", type=float, default=0.6)
    parser.add_argument("--kinds", default="")
    parser.add_argument("--folder", default="")
    parser.add_argument("--warm", type=float, default=3.0)
    parser.add_argument("--relayed", action="store_true")
    parser.add_argument("--network", type=int, default=0)
    return asyncio.run(_run(parser.parse_args()))


async def _run(options: argparse.Namespace) -> int:
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=not options.folder)
    network = options.network or 20 + 2 * random.randrange(100)
    kinds = frozenset(filter(None, options.kinds.split(",")))
    planned = schedule.draw(
        options.seed,
        options.minutes * 60,
        relayed=options.relayed,
        kinds=kinds,
    )
    names = ",".join(sorted({fault.kind for fault in planned}))
    print(
        f"seed={options.seed} folder={folder} faults={len(planned)} "
        f"kinds={names}"
    )
    fleet = fleet_module.Fleet(
        folder,
        network=network,
        hosts_per_domain=options.hosts // 3,
        upstreams_per_domain=options.upstreams // 3,
        groups_per_domain=options.groups,
        relayed=options.relayed,
        seed=options.seed,
    )
    rng = random.Random(options.seed)
    load = load_module.Load(
        fleet, scale=options.scale, rng=random.Random(options.seed)
    )
    executed = faults_module.Faults(fleet, rng=rng)
    wall_offset = time.time() - time.monotonic()
    recovered = False
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await fleet.start()
        load.start()
        await asyncio.sleep(options.warm)
        await executed.run(planned)
        last_fault_at = time.monotonic()
        while time.monotonic() < last_fault_at + RECOVERY_TIMEOUT_S:
            await asyncio.sleep(0.2)
            if load.completed_since(last_fault_at) >= RECOVERY_JOBS:
                recovered = True
                break
        await load.stop()
    finally:
        await fleet.close()
    return _report(fleet, load, executed, wall_offset, recovered)


def _report(fleet, load, executed, wall_offset, recovered) -> int:
    records = checker.read_records(fleet.records)
    killed = {
        pid: at for group in fleet.groups for pid, at in group.process.kills
    }
    all_runs = checker.runs(records, killed)
    statuses = collections.Counter(
        call.status for job in load.jobs for call in job.calls
    )
    ends = collections.Counter(run.how for run in all_runs)
    print(
        f"jobs={len(load.jobs)} runs={len(all_runs)} "
        f"statuses={dict(statuses)} ends={dict(ends)}"
    )
    found = checker.overlaps(all_runs)
    refused = checker.refused_but_ran(load.jobs, all_runs)
    for overlap in found:
        _print_overlap(fleet, executed, overlap, records, wall_offset)
    print(
        f"overlaps={len(found)} refused_but_ran={refused} "
        f"stray={load.stray_responses} recovered={recovered}"
    )
    bad = found or refused or load.stray_responses or not recovered
    return 1 if bad else 0


def _print_overlap(fleet, executed, overlap, records, wall_offset) -> None:
    first, second = overlap.first, overlap.second
    print(f"OVERLAP task={first.task} length_s={overlap.length_s:.3f}")
    print(f"  first:  {first.line()}")
    print(f"  second: {second.line()}")
    begin, end = second.started_at - 3.0, second.started_at + 2.0
    for begun_at, ended_at, text in executed.done:
        if begun_at < end and ended_at > begin:
            print(f"  fault {begun_at:.3f}..{ended_at:.3f} {text}")
    lines = []
    job = first.task.partition(".")[0]
    ups = (f"upstream={first.upstream} ", f"upstream={second.upstream} ")
    words = (f"job={job}", "leader_changed", "term_raised", "lapsed",
             "restarted", "event=host_", "link")
    for host in fleet.hosts:
        for line in host.process.log.read_text(errors="replace").splitlines():
            match = _TIME.match(line)
            if not match:
                continue
            at = (
                datetime.fromisoformat(match[1]).replace(tzinfo=UTC).timestamp()
                - wall_offset
                - host.ahead_s
            )
            if begin <= at <= end and (
                any(word in line for word in words)
                or any(up in line + " " for up in ups)
                and ("lease_held" in line or "order_" in line)
            ):
                lines.append((at, f"{host.name}/{host.ip} {line[line.index('event='):]}"))
    for record in records:
        if record.get("task") in (first.task, second.task):
            lines.append((record["at"], f"record {record}"))
    for at, text in sorted(lines):
        print(f"  {at:.3f} {text}")


if __name__ == "__main__":
    sys.exit(main())
