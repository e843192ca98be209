"""Replaces the hosts of a fleet under load by those of another build, and back.

    python -m tests.soak.upgrade --former 7d5fc6f --seed 1

The former build is a commit of this repository. Hosts are drained and replaced
one by one; `--stop-half` leaves the fleet as it is half way.
"""

import argparse
import asyncio
import io
import pathlib
import random
import signal
import subprocess
import sys
import tarfile
import tempfile
import time

from tests.soak import __main__ as soak_main
from tests.soak import faults
from tests.soak import fleet as fleet_module
from tests.soak import load as load_module
from tests.soak import processes
from tests.soak import soak

HOSTS_PER_DOMAIN = 2
WARM_S = 4.0
PAUSE_S = 1.5  # Between two replacements.
HALF_WAY_S = 8.0


def main() -> int:
    """Runs an upgrade and returns the exit code: 1 if a check is red."""
    parser = argparse.ArgumentParser(prog="tests.soak.upgrade")
    parser.add_argument("--former", required=True, metavar="COMMIT")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scale", type=float, default=0.6)
    parser.add_argument("--stop-half", action="store_true")
    given = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="upgrade-"))
    former = folder / "former"
    if not _unpack(given.former, former):
        print(f"skipped: this checkout has no commit {given.former}")
        return 0
    print(
        f"former={given.former} seed={given.seed} folder={folder}", flush=True
    )
    result = asyncio.run(
        _run(
            folder,
            former,
            seed=given.seed,
            scale=given.scale,
            stop_half=given.stop_half,
        )
    )
    print("\n".join(result.lines))
    return 1 if result.broken or not result.recovered else 0


def _unpack(commit: str, target: pathlib.Path) -> bool:
    """Writes the files of a commit; returns whether there is such a commit."""
    archive = subprocess.run(
        ("git", "archive", commit, "godwitnotch", "tests", "bench"),
        cwd=processes.ROOT,
        capture_output=True,
    )
    if archive.returncode:
        return False
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(target, filter="data")
    return True


async def _run(
    folder: pathlib.Path,
    former: pathlib.Path,
    *,
    seed: int,
    scale: float,
    stop_half: bool,
) -> soak.Result:
    fleet = fleet_module.Fleet(
        folder,
        network=soak_main.network(),
        hosts_per_domain=HOSTS_PER_DOMAIN,
        relayed=False,
        defect="",
        seed=seed,
    )
    for host in fleet.hosts:
        host.root = former
    load = load_module.Load(fleet, scale=scale, seed=seed)
    order = random.Random(seed).sample(fleet.hosts, len(fleet.hosts))
    try:
        await fleet.start()
        load.start()
        await asyncio.sleep(WARM_S)
        if stop_half:
            await _replace(fleet, load, order[::2], processes.ROOT)
            await asyncio.sleep(HALF_WAY_S)
        else:
            await _replace(fleet, load, order, processes.ROOT)
            await _replace(fleet, load, order, former)
        recovered = await soak.recovers(load)
        await load.stop()
    finally:
        await fleet.close()
    return soak.check(
        fleet, load, faults.Faults(fleet, load), recovered=recovered
    )


async def _replace(
    fleet: fleet_module.Fleet,
    load: load_module.Load,
    hosts: list[fleet_module.Host],
    root: pathlib.Path,
) -> None:
    """Replaces hosts one by one by those of another build."""
    for host in hosts:
        began_at = time.monotonic()
        await host.process.end(signal.SIGTERM)
        host.root = root
        await fleet.start_host(host)
        await host.process.wait_for("event=host_started")
        await asyncio.sleep(PAUSE_S)
        print(
            f"host={host.process.name} "
            f"build={'new' if root == processes.ROOT else 'former'} "
            f"completed={load.completed_since(began_at)}",
            flush=True,
        )


if __name__ == "__main__":
    sys.exit(main())
