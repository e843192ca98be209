"""Measures what each kind of state costs a host, in bytes and CPU.

Run with `python -m bench.state_slopes`. One host core of the chosen policy
is filled to several sizes along one dimension; a straight line is fitted.
Bytes are those that tracemalloc sees; CPU is what one idle second costs, all
timers running. No socket takes part.
"""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

from bench import core_setup
from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import host
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model

POLICY = "credits"
IDLE_S = 5.0
TASKS_PER_JOB = 20
PAYLOAD = b'{"order": "12345678"}'
RESULT = b'{"accepted": true}'

Fill = Callable[[int], host.HostCore]


@dataclass(frozen=True, slots=True)
class Dimension:
    """One kind of state and the sizes it is filled to."""

    name: str
    sizes: Sequence[int]
    fill: Fill


_DIMENSIONS: list[Dimension] = []


def dimension(name: str, *sizes: int) -> Callable[[Fill], Fill]:
    """Registers a way to fill a core along one dimension."""

    def register(fill: Fill) -> Fill:
        _DIMENSIONS.append(Dimension(name, sizes, fill))
        return fill

    return register


def main() -> None:
    """Prints one line for each dimension."""
    for each in _DIMENSIONS:
        _measure(each)
    _measure_heartbeat()


@dimension("upstreams", 100, 500, 1_000, 2_000)
def _upstreams(size: int) -> host.HostCore:
    return core_setup.create(POLICY, upstream_count=size)


@dimension("linked_hosts", 2, 10, 30, 60)
def _hosts(size: int) -> host.HostCore:
    return core_setup.create(POLICY, upstream_count=100, hosts=size)


@dimension("workspaces", 100, 300, 760)
def _workspaces(size: int) -> host.HostCore:
    return core_setup.create(POLICY, workspaces=size)


@dimension("open_ids", 10_000, 50_000, 200_000)
def _open_ids(size: int) -> host.HostCore:
    core = core_setup.create(POLICY)
    for _ in range(size // 1_000):
        ask = events.ReserveAsked(ids.CallId(0), core_setup.workspace(0), 1_000)
        core.handle(ask, now=0.0)
    return core


@dimension("jobs_under_way", 100, 200, 400)
def _jobs(size: int) -> host.HostCore:
    core = core_setup.create(POLICY, upstream_count=2_000)
    for number in range(size):
        _submit(core, number)
    return core


@dimension("kept_answers", 500, 2_000, 5_000)
def _answers(size: int) -> host.HostCore:
    core = core_setup.create(POLICY)
    for number in range(size):
        _answer_all(core, _submit(core, number))
    return core


def _submit(core: host.HostCore, number: int) -> list[actions.Action]:
    workspace = core_setup.workspace(0)
    call = ids.CallId(number)
    reserved = core.handle(events.ReserveAsked(call, workspace, 1), now=1.0)
    submission = next(
        each.submissions[0]
        for each in reserved
        if isinstance(each, actions.ReplyReserved)
    )
    tasks = tuple(
        model.TaskSpec(PAYLOAD + b" " * (index % 2))
        for index in range(TASKS_PER_JOB)
    )
    body = model.JobBody(core_setup.TEMPLATE, tasks)
    asked = events.SubmitAsked(call, workspace, submission, body, 31.0)
    return core.handle(asked, now=1.0)


def _answer_all(core: host.HostCore, pending: list[actions.Action]) -> None:
    while pending:
        action = pending.pop()
        if isinstance(action, actions.StartAttempt):
            ended = events.AttemptEnded(
                action.attempt,
                model.AttemptOutcome.ANSWERED,
                bytes(RESULT),
                action.submission,
                action.task_index,
            )
            pending += core.handle(ended, now=1.1)
        elif isinstance(action, actions.StoreTransact):
            pending += core.handle(events.StoreCommitted(action.call), now=1.1)


def _measure(each: Dimension) -> None:
    sizes_bytes = [_bytes_of(each.fill, size) for size in each.sizes]
    idle_us = [_idle_us_per_s(each.fill(size)) for size in each.sizes]
    print(
        f"dimension={each.name} "
        f"{_fit('bytes', each.sizes, sizes_bytes)} "
        f"{_fit('idle_us_per_s', each.sizes, idle_us)}",
        flush=True,
    )


def _fit(name: str, sizes: Sequence[int], values: Sequence[float]) -> str:
    slope, intercept = statistics.linear_regression(sizes, values)
    residuals = [
        abs(value - (slope * size + intercept))
        for size, value in zip(sizes, values, strict=True)
    ]
    return (
        f"{name}_each={slope:.3g} {name}_at_zero={intercept:.3g} "
        f"{name}_worst_residual={max(residuals):.3g}"
    )


def _bytes_of(fill: Fill, size: int) -> int:
    gc.collect()
    tracemalloc.start()
    core = fill(size)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del core
    return held


def _idle_us_per_s(core: host.HostCore) -> float:
    """Lets time pass with nothing to do; store reads are not answered."""
    now = 2.0
    started = time.process_time()
    while now < 2.0 + IDLE_S:
        core.handle(events.TimePassed(), now=now)
        due = core.next_deadline()
        now = max(now + 0.001, min(due or now + 1.0, now + 1.0))
    return 1e6 * (time.process_time() - started) / IDLE_S


def _measure_heartbeat() -> None:
    core = core_setup.create(POLICY, upstream_count=2_000, hosts=60)
    said = events.PeerSaid(ids.HostId("h1"), messages.Heartbeat(1, False))
    count = 20_000
    started = time.process_time()
    for number in range(count):
        core.handle(said, now=2.0 + number * 1e-5)
    spent_us = 1e6 * (time.process_time() - started) / count
    print(f"heartbeat_us={spent_us:.2f} count={count}")


if __name__ == "__main__":
    main()
