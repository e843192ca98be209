"""Measures the processor time of the leader's passes over a long queue.

`python -m bench.pass_cost` replays large tasks (`bench.load_sweep --load scarce`)
on 176 upstreams, with callers that wait long, so that some 500 jobs wait all the
time. It prints the processor time per pass and per ordered run.
"""

import argparse
import dataclasses
import time
import unittest.mock

import msgspec

from bench import leased_load
from bench import leased_replay
from bench import load_sweep
from godwitnotch.core.leased import dispatcher as dispatcher_module

UPSTREAM_COUNT = 176
QUEUE_LENGTH = 500
DURATION_S = 3.0
SHARE = 0.85  # About what the upstreams serve, so that the queue stays as long.
PATIENT_TARGET_MS = 60_000.0
PATIENT_WAIT_S = 120.0


class PassTimer:
    """Replaces Dispatcher.place_waiting by a method that measures it.

    Attributes:
        pass_count: Number of passes while enough jobs waited.
        cpu_s: Their processor time, in seconds.
        queue_sum: Sum of the queue lengths at these passes.
    """

    def __init__(self) -> None:
        self.pass_count = 0
        self.cpu_s = 0.0
        self.queue_sum = 0
        self._place_waiting = dispatcher_module.Dispatcher.place_waiting

    def place_waiting(
        self, dispatcher: dispatcher_module.Dispatcher, *, now: float
    ) -> None:
        """Runs and measures a pass."""
        length = len(dispatcher._queue)
        due = dispatcher._placement_due
        started_at = time.thread_time()
        self._place_waiting(dispatcher, now=now)
        if due and abs(length - QUEUE_LENGTH) <= QUEUE_LENGTH // 5:
            self.cpu_s += time.thread_time() - started_at
            self.pass_count += 1
            self.queue_sum += length


def make_load(seed: int) -> leased_load.Load:
    """Returns a load that keeps the queue long."""
    load = load_sweep.generate_scarce(
        seed, SHARE, duration_s=DURATION_S, upstream_count=UPSTREAM_COUNT
    )
    waiting = load_sweep.generate_scarce(
        seed + 1_000,
        SHARE,
        duration_s=DURATION_S,
        upstream_count=UPSTREAM_COUNT,
    )
    first = [
        _patient(dataclasses.replace(job, arrives_at=0.001), "first")
        for job in waiting.jobs[: QUEUE_LENGTH + 2 * UPSTREAM_COUNT]
    ]
    rest = [_patient(job, "rest") for job in load.jobs]
    return leased_load.Load((*first, *rest), load.upstreams)


def _patient(job: leased_load.Job, prefix: str) -> leased_load.Job:
    """Returns a job whose caller waits long, under a name of its own."""
    settings = msgspec.structs.replace(
        job.request.settings, target_ms=PATIENT_TARGET_MS
    )
    request = msgspec.structs.replace(
        job.request,
        job=type(job.request.job)(f"{prefix}-{job.request.job}"),
        settings=settings,
    )
    return dataclasses.replace(job, request=request, max_wait_s=PATIENT_WAIT_S)


def main() -> None:
    """Prints a line for each seed."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", action="append", type=int, default=[])
    found = parser.parse_args()
    for seed in found.seed or [1, 2, 3]:
        timer = PassTimer()

        def place_waiting(
            dispatcher: dispatcher_module.Dispatcher,
            *,
            now: float,
            timer: PassTimer = timer,
        ) -> None:
            timer.place_waiting(dispatcher, now=now)

        with unittest.mock.patch.object(
            dispatcher_module.Dispatcher, "place_waiting", place_waiting
        ):
            result = leased_replay.Replay(make_load(seed)).run()
        passes = max(1, timer.pass_count)
        print(
            f"seed={seed} passes={timer.pass_count} "
            f"queue={timer.queue_sum / passes:.0f} "
            f"us_per_pass={timer.cpu_s / passes * 1e6:.1f} "
            f"runs={result.run_count} cpu_s={result.cpu_s:.2f} "
            f"cpu_us_per_run={result.cpu_s / result.run_count * 1e6:.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
