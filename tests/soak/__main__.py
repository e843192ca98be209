"""Runs a soak: `python -m tests.soak --seed N --minutes M --hosts H`."""

import argparse
import asyncio
import pathlib
import socket
import sys
import tempfile

from tests.soak import fleet
from tests.soak import soak

_LOCKS: list[socket.socket] = []
DEFECTS = ("", "starts_twice", "refuses_after_running", "answers_twice")


def main() -> int:
    """Runs a soak and returns the exit code: 1 if a check is red."""
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--hosts", type=int, default=6, help="3, 6, 9, ..")
    parser.add_argument("--scale", type=float, default=0.6)
    parser.add_argument("--warm", type=float, default=3.0, metavar="S")
    parser.add_argument("--kinds", default="", help="such as pause_host,busy")
    parser.add_argument("--no-relays", action="store_true")
    parser.add_argument("--defect", default="", choices=DEFECTS)
    parser.add_argument("--folder", type=pathlib.Path)
    parser.add_argument("--network", type=int)
    given = parser.parse_args()
    folder = given.folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=given.folder is None)
    print(f"seed={given.seed} folder={folder}", flush=True)
    result = asyncio.run(
        soak.run(
            soak.Options(
                seed=given.seed,
                minutes=given.minutes,
                hosts=given.hosts,
                folder=folder,
                network=given.network or network(),
                relayed=not given.no_relays,
                kinds=frozenset(filter(None, given.kinds.split(","))),
                scale=given.scale,
                warm_s=given.warm,
                defect=given.defect,
            )
        )
    )
    print("\n".join(result.lines))
    return 1 if result.broken or not result.recovered else 0


def network() -> int:
    """Returns a number for loopback addresses that no other soak uses.

    A socket reserves the number until this process ends.
    """
    for number in range(20, 250, 2):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.255.1", fleet.STORE_PORT))
        except OSError:
            lock.close()
            continue
        _LOCKS.append(lock)
        return number
    raise RuntimeError("no loopback addresses are free; end other soaks")


if __name__ == "__main__":
    sys.exit(main())
