"""Faults that a benchmark injects into a running deployment, by name."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from bench import fleet
from bench import open_loop

STRAGGLER_DELAY_S = 2.0
STORE_OUTAGE_S = 5.0
CANCELLED_JOB_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class FaultContext:
    """The deployment and the load generator that a fault acts on."""

    deployment: fleet.Deployment
    load_generator: open_loop.OpenLoopGenerator


Fault = Callable[[FaultContext], Awaitable[None]]
_FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a fault under its command-line name."""

    def register(function: Fault) -> Fault:
        _FAULTS[name] = function
        return function

    return register


def names() -> tuple[str, ...]:
    """Returns the names that can be given on the command line."""
    return tuple(_FAULTS)


async def inject(name: str, context: FaultContext, *, delay_s: float) -> None:
    """Injects a fault after a delay in seconds."""
    await asyncio.sleep(delay_s)
    await _FAULTS[name](context)


@register_fault("worker_dies")
async def _worker_dies(context: FaultContext) -> None:
    _last_upstream(context).process.kill()


@register_fault("straggler")
async def _straggler(context: FaultContext) -> None:
    node = _last_upstream(context)
    await context.deployment.inject_faults(node, slow_s=STRAGGLER_DELAY_S)


@register_fault("fail_fast")
async def _fail_fast(context: FaultContext) -> None:
    await context.deployment.inject_faults(
        _last_upstream(context), fail_fast=True
    )


@register_fault("host_lost")
async def _host_lost(context: FaultContext) -> None:
    list(context.deployment.hosts.values())[-1].process.kill()


@register_fault("store_out")
async def _store_out(context: FaultContext) -> None:
    await context.deployment.inject_faults(
        context.deployment.platform, down=True
    )
    await asyncio.sleep(STORE_OUTAGE_S)
    await context.deployment.inject_faults(
        context.deployment.platform, down=False
    )


@register_fault("cancel_wave")
async def _cancel_wave(context: FaultContext) -> None:
    await context.load_generator.cancel_unanswered(CANCELLED_JOB_SHARE)


def _last_upstream(context: FaultContext) -> fleet.Node:
    return list(context.deployment.upstreams.values())[-1]
