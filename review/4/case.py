"""Restarts workers as another kind, and looks for tasks without their label."""

import asyncio
import itertools
import pathlib

from review.bed import fleet as fleet_module
from review.bed import record as record_module

HERE = pathlib.Path(__file__).parent
WORKER_COUNT = 6
DOWN_S = 0.3
RUN_S = 0.3
WAIT_S = 1.5
JOB_INTERVAL_S = 0.06
LENGTH_S = 28.0
CRASH_INTERVAL_S = 4.0


async def run() -> bool:
    """Plays the case; returns whether the rule was broken."""
    record = record_module.Record(HERE / "record.txt")
    fleet = fleet_module.Fleet(
        record, hosts=6, worker_count=WORKER_COUNT, target_duration_ms=1_000
    )
    try:
        await fleet.start()
        return await _play(fleet, record)
    finally:
        fleet.close()
        record.close()


async def _play(
    fleet: fleet_module.Fleet, record: record_module.Record
) -> bool:
    crashes = asyncio.create_task(_crash(fleet))
    calls = []
    ends_at = record.now + LENGTH_S
    for number in itertools.count(1):
        if record.now >= ends_at:
            break
        host = fleet.hosts[number % len(fleet.hosts)]
        calls.append(
            asyncio.create_task(
                fleet.submit(
                    host,
                    f"{number:016x}",
                    count=2,
                    run_s=RUN_S,
                    wait_s=WAIT_S,
                    label=fleet_module.KINDS[number % 2],
                )
            )
        )
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*calls)
    await crashes
    return _judge(record)


async def _crash(fleet: fleet_module.Fleet) -> None:
    """Crashes one worker after the other; each is another kind afterwards."""
    for number, worker in enumerate(fleet.workers[:]):
        await asyncio.sleep(CRASH_INTERVAL_S)
        if fleet_module.has_trouble():
            labels = (fleet_module.KINDS[(number + 1) % 2], "r1-1")
            await worker.restart(fleet.store, down_s=DOWN_S, labels=labels)


def _judge(record: record_module.Record) -> bool:
    """Compares the label that each started task requires with the worker's."""
    broken = False
    text = (HERE / "record.txt").read_text(encoding="utf-8")
    for line in text.splitlines():
        _, kind, *pairs = line.split()
        values = dict(pair.split("=", 1) for pair in pairs)
        if kind != "start":
            continue
        if values["wants"] not in values["labels"].split(","):
            broken = True
            record.add("ROUTE", worker=values["worker"], task=values["task"])
    return broken


if __name__ == "__main__":
    try:
        result = asyncio.run(run())
    except fleet_module.CannotRunError as error:
        print(f"the case couldn't run: {error}")
        raise SystemExit(2) from error
    fleet_module.finish(result)
