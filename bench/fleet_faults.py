"""Faults that the bench orders from a running fleet, by name."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from bench import fleet
from bench import open_loop

STRAGGLER_SLOW_S = 2.0
STORE_OUTAGE_S = 5.0
CANCELLED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Scene:
    """What a fault acts on."""

    fleet: fleet.Fleet
    loop: open_loop.OpenLoop


Fault = Callable[[Scene], Awaitable[None]]
_FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a fault under the name that the command line gives."""

    def register(act: Fault) -> Fault:
        _FAULTS[name] = act
        return act

    return register


def names() -> tuple[str, ...]:
    """Returns the names that the command line can give."""
    return tuple(_FAULTS)


async def order(name: str, scene: Scene, *, delay_s: float) -> None:
    """Orders a fault after a while."""
    await asyncio.sleep(delay_s)
    await _FAULTS[name](scene)


@fault("worker_dies")
async def _worker_dies(scene: Scene) -> None:
    _last_upstream(scene).process.kill()


@fault("straggler")
async def _straggler(scene: Scene) -> None:
    node = _last_upstream(scene)
    await scene.fleet.order_faults(node, slow_s=STRAGGLER_SLOW_S)


@fault("fail_fast")
async def _fail_fast(scene: Scene) -> None:
    await scene.fleet.order_faults(_last_upstream(scene), fail_fast=True)


@fault("host_lost")
async def _host_lost(scene: Scene) -> None:
    list(scene.fleet.hosts.values())[-1].process.kill()


@fault("store_out")
async def _store_out(scene: Scene) -> None:
    await scene.fleet.order_faults(scene.fleet.platform, down=True)
    await asyncio.sleep(STORE_OUTAGE_S)
    await scene.fleet.order_faults(scene.fleet.platform, down=False)


@fault("cancel_wave")
async def _cancel_wave(scene: Scene) -> None:
    await scene.loop.cancel_running(CANCELLED_SHARE)


def _last_upstream(scene: Scene) -> fleet.Node:
    return list(scene.fleet.upstreams.values())[-1]
