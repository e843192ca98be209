"""Measures the memory and CPU time that each kind of state costs a host.

Run with `python -m bench.state_slopes`. For each dimension, such as upstreams
or open jobs, host cores with several amounts of this state are created, and a
straight line is fitted to their costs. Memory is counted by tracemalloc. CPU
time is that of one idle second in which all timers run. No sockets are
involved.
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
IDLE_TIME_S = 5.0
TASKS_PER_JOB = 20
PAYLOAD = b'{"order": "12345678"}'
RESULT = b'{"accepted": true}'

CoreBuilder = Callable[[int], host.HostCore]


@dataclass(frozen=True, slots=True)
class Dimension:
    """One kind of state and the amounts that are measured.

    Attributes:
        name: Name in the output.
        amounts: The measured amounts.
        build_core: Creates a core that holds an amount of this state.
    """

    name: str
    amounts: Sequence[int]
    build_core: CoreBuilder


_DIMENSIONS: list[Dimension] = []


def register_dimension(
    name: str, *amounts: int
) -> Callable[[CoreBuilder], CoreBuilder]:
    """Registers a function that creates cores with an amount of state."""

    def register(build_core: CoreBuilder) -> CoreBuilder:
        _DIMENSIONS.append(Dimension(name, amounts, build_core))
        return build_core

    return register


def main() -> None:
    """Prints one line for each dimension."""
    for dimension in _DIMENSIONS:
        _measure(dimension)
    _measure_heartbeat()


@register_dimension("upstreams", 100, 500, 1_000, 2_000)
def _core_with_upstreams(amount: int) -> host.HostCore:
    return core_setup.create_core(POLICY, upstream_count=amount)


@register_dimension("linked_hosts", 2, 10, 30, 60)
def _core_with_hosts(amount: int) -> host.HostCore:
    return core_setup.create_core(POLICY, upstream_count=100, host_count=amount)


@register_dimension("workspaces", 100, 300, 760)
def _core_with_workspaces(amount: int) -> host.HostCore:
    return core_setup.create_core(POLICY, workspace_count=amount)


@register_dimension("open_ids", 10_000, 50_000, 200_000)
def _core_with_open_ids(amount: int) -> host.HostCore:
    core = core_setup.create_core(POLICY)
    for _ in range(amount // 1_000):
        reserve_request = events.ReserveAsked(
            ids.CallId(0), core_setup.workspace_id(0), 1_000
        )
        core.handle(reserve_request, now=0.0)
    return core


@register_dimension("jobs_under_way", 100, 200, 400)
def _core_with_jobs(amount: int) -> host.HostCore:
    core = core_setup.create_core(POLICY, upstream_count=2_000)
    for number in range(amount):
        _submit(core, number)
    return core


@register_dimension("kept_answers", 500, 2_000, 5_000)
def _core_with_answers(amount: int) -> host.HostCore:
    core = core_setup.create_core(POLICY)
    for number in range(amount):
        _complete_attempts(core, _submit(core, number))
    return core


def _submit(core: host.HostCore, number: int) -> list[actions.Action]:
    """Submits a job and returns the resulting actions."""
    workspace = core_setup.workspace_id(0)
    call = ids.CallId(number)
    reserve_actions = core.handle(
        events.ReserveAsked(call, workspace, 1), now=1.0
    )
    submission = next(
        action.submissions[0]
        for action in reserve_actions
        if isinstance(action, actions.ReplyReserved)
    )
    tasks = tuple(
        model.TaskSpec(PAYLOAD + b" " * (index % 2))
        for index in range(TASKS_PER_JOB)
    )
    body = model.JobBody(core_setup.TEMPLATE, tasks)
    submit_request = events.SubmitAsked(call, workspace, submission, body, 31.0)
    return core.handle(submit_request, now=1.0)


def _complete_attempts(
    core: host.HostCore, pending: list[actions.Action]
) -> None:
    """Answers every attempt and store write until none is left."""
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


def _measure(dimension: Dimension) -> None:
    allocated_bytes = [
        _allocated_bytes(dimension.build_core, amount)
        for amount in dimension.amounts
    ]
    idle_cpu_us = [
        _idle_cpu_us_per_s(dimension.build_core(amount))
        for amount in dimension.amounts
    ]
    print(
        f"dimension={dimension.name} "
        f"{_format_fit('bytes', dimension.amounts, allocated_bytes)} "
        f"{_format_fit('idle_us_per_s', dimension.amounts, idle_cpu_us)}",
        flush=True,
    )


def _format_fit(
    name: str, amounts: Sequence[int], values: Sequence[float]
) -> str:
    """Returns slope, intercept and maximum residual of a fitted line."""
    slope, intercept = statistics.linear_regression(amounts, values)
    residuals = [
        abs(value - (slope * amount + intercept))
        for amount, value in zip(amounts, values, strict=True)
    ]
    return (
        f"{name}_each={slope:.3g} {name}_at_zero={intercept:.3g} "
        f"{name}_worst_residual={max(residuals):.3g}"
    )


def _allocated_bytes(build_core: CoreBuilder, amount: int) -> int:
    """Returns the memory that a new core with this amount of state holds."""
    gc.collect()
    tracemalloc.start()
    core = build_core(amount)
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del core
    return allocated_bytes


def _idle_cpu_us_per_s(core: host.HostCore) -> float:
    """Returns the CPU time per idle second; store reads get no response."""
    now = 2.0
    started_at = time.process_time()
    while now < 2.0 + IDLE_TIME_S:
        core.handle(events.TimePassed(), now=now)
        due = core.next_deadline()
        now = max(now + 0.001, min(due or now + 1.0, now + 1.0))
    return 1e6 * (time.process_time() - started_at) / IDLE_TIME_S


def _measure_heartbeat() -> None:
    """Prints the CPU time for handling one received heartbeat."""
    core = core_setup.create_core(POLICY, upstream_count=2_000, host_count=60)
    heartbeat = events.PeerSaid(ids.HostId("h1"), messages.Heartbeat(1, False))
    heartbeat_count = 20_000
    started_at = time.process_time()
    for number in range(heartbeat_count):
        core.handle(heartbeat, now=2.0 + number * 1e-5)
    cpu_us = 1e6 * (time.process_time() - started_at) / heartbeat_count
    print(f"heartbeat_us={cpu_us:.2f} count={heartbeat_count}")


if __name__ == "__main__":
    main()
