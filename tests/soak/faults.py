"""Executes a schedule of faults on the processes of a soak."""

import asyncio
import contextlib
import random
import signal
import sys
import time
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

from tests.soak import fleet as fleet_module
from tests.soak import load as load_module
from tests.soak import processes
from tests.soak import schedule

STARVE_PERIOD_S = 0.1
BUSY_PROCESSES = 2
DEADLY_SHARE = 0.02
MAX_CLOCK_STEP_S = 4.0
LINK_DELAYS_S = (0.02, 0.1, 0.3, 0.6, 1.5)
_BUSY_CODE = "import time\nwhile time.monotonic() < {}: pass"

_Action = Callable[["Faults", schedule.Fault, random.Random], Any]
_ACTIONS: dict[str, _Action] = {}


def _executes(*kinds: str) -> Callable[[_Action], _Action]:
    def add(action: _Action) -> _Action:
        _ACTIONS.update(dict.fromkeys(kinds, action))
        return action

    return add


class Faults:
    """Executes faults.

    Args:
        fleet: The processes.
        load: The callers.

    Attributes:
        done: The faults so far: begin, end and text.
    """

    def __init__(
        self, fleet: fleet_module.Fleet, load: load_module.Load
    ) -> None:
        self.done: list[tuple[float, float, str]] = []
        self.fleet = fleet
        self.load = load
        self.restarting: set[str] = set()

    async def run(self, faults: Iterable[schedule.Fault]) -> None:
        """Executes a schedule and waits until all its faults have ended."""
        started_at = time.monotonic()
        tasks = []
        for fault in faults:
            delay_s = started_at + fault.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            tasks.append(asyncio.create_task(self._execute(fault)))
        await asyncio.gather(*tasks)

    async def _execute(self, fault: schedule.Fault) -> None:
        begun_at = time.monotonic()
        rng = random.Random(fault.number)
        name = await _ACTIONS[fault.kind](self, fault, rng)
        text = f"{fault.line()} at {name}"
        self.done.append((begun_at, time.monotonic(), text))

    def host(self, fault: schedule.Fault) -> fleet_module.Host:
        """Returns the host that a fault is about."""
        hosts = self.fleet.hosts
        leader = self.fleet.leader() if fault.on_leader else None
        return leader or hosts[fault.number % len(hosts)]

    def group(self, fault: schedule.Fault) -> fleet_module.UpstreamGroup:
        """Returns the upstreams that a fault is about."""
        return self.fleet.groups[fault.number % len(self.fleet.groups)]

    async def once(
        self, process: processes.Process, restart: Coroutine[Any, Any, None]
    ) -> str:
        """Restarts a process, unless it is being restarted."""
        if process.name in self.restarting:
            restart.close()
            return ""
        self.restarting.add(process.name)
        await restart
        self.restarting.discard(process.name)
        return process.name


@_executes("pause_host", "pause_upstreams")
async def _pause(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    process = _process(faults, fault)
    await process.pause_for(fault.duration_s)
    return process.name


@_executes("pause_series")
async def _pause_series(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    """Pauses the host that leads, several times in a row."""
    names = []
    for _ in range(rng.randint(2, 5)):
        process = faults.host(fault).process
        names.append(process.name)
        await process.pause_for(fault.duration_s * rng.uniform(0.3, 1.0))
        await asyncio.sleep(rng.uniform(0.02, 0.8))
    return ",".join(names)


@_executes("pause_many")
async def _pause_many(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    host = faults.host(fault)
    others = [each for each in faults.fleet.hosts if each is not host]
    count = rng.randint(1, max(1, len(others) // 2))
    chosen = [host, *rng.sample(others, count)]

    async def pause_one(process: processes.Process) -> None:
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        await process.pause_for(fault.duration_s * rng.uniform(0.5, 1.5))

    await asyncio.gather(*(pause_one(host.process) for host in chosen))
    return ",".join(host.process.name for host in chosen)


@_executes("starve_host", "starve_upstreams")
async def _starve(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    process = _process(faults, fault)
    end = time.monotonic() + fault.duration_s
    while time.monotonic() < end:
        await process.pause_for(STARVE_PERIOD_S * (1 - fault.share))
        await asyncio.sleep(STARVE_PERIOD_S * fault.share)
    return process.name


@_executes("suspend_host")
async def _suspend(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    """Pauses a host whose steady clock doesn't count the pause."""
    host = faults.host(fault)
    begun_at, pid = time.monotonic(), host.process.pid
    host.process.pause()
    await asyncio.sleep(fault.duration_s)
    if host.process.pid == pid:
        host.set_clocks(
            suspended_s=host.suspended_s + time.monotonic() - begun_at
        )
        host.process.resume()
    return host.process.name


@_executes("step_clock")
async def _step_clock(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    host = faults.host(fault)
    host.set_clocks(ahead_s=rng.uniform(-MAX_CLOCK_STEP_S, MAX_CLOCK_STEP_S))
    return host.process.name


@_executes("kill_host", "term_host", "move_host")
async def _restart_host(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    host = faults.host(fault)
    term = fault.kind == "term_host"

    async def restart() -> None:
        await host.process.end(signal.SIGTERM if term else signal.SIGKILL)
        await asyncio.sleep(fault.duration_s)
        host.port_step += 10 if fault.kind == "move_host" else 0
        await faults.fleet.start_host(host)

    return await faults.once(host.process, restart())


@_executes("restart_upstreams", "move_upstreams")
async def _restart_group(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    """Restarts upstreams; some get other ports, some another's address."""
    group = faults.group(fault)

    async def restart() -> None:
        await group.process.end()
        await asyncio.sleep(fault.duration_s)
        if fault.kind == "move_upstreams":
            group.move(swap=rng.random() < 0.5)
        await faults.fleet.start_group(group)

    return await faults.once(group.process, restart())


@_executes("blink_upstreams")
async def _blink(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    """Restarts upstreams at once, at the same addresses."""
    group = faults.group(fault)
    group.process.signal(signal.SIGUSR1)
    return group.process.name


@_executes("unlist_upstream")
async def _unlist(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    upstream = rng.choice(faults.group(fault).upstreams)
    if upstream.listed:
        await faults.fleet.unlist_upstream(upstream)
        await asyncio.sleep(fault.duration_s)
        await faults.fleet.list_upstream(upstream)
    return upstream.name


@_executes("add_upstream")
async def _add(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    """Lists an upstream that the hosts have never seen."""
    upstreams = faults.fleet.upstreams
    unlisted = [each for each in upstreams if not each.listed]
    if not unlisted:
        return ""
    upstream = rng.choice(unlisted)
    await faults.fleet.list_upstream(upstream)
    return upstream.name


@_executes("shrink_rooms")
async def _shrink_rooms(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    """Takes room from upstreams that run tasks, and gives it back."""
    group = faults.group(fault)
    await faults.fleet.set_room(group, rng.randint(1, fleet_module.ROOM - 1))
    await asyncio.sleep(fault.duration_s)
    await faults.fleet.set_room(group, fleet_module.ROOM)
    return group.process.name


@_executes("deadly_jobs")
async def _deadly_jobs(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    """Lets callers send jobs with a task that crashes its upstreams."""
    faults.load.deadly_share += DEADLY_SHARE
    await asyncio.sleep(fault.duration_s)
    faults.load.deadly_share -= DEADLY_SHARE
    return ""


@_executes("busy")
async def _busy(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    code = _BUSY_CODE.format(time.monotonic() + fault.duration_s)
    busy = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", code)
        for _ in range(BUSY_PROCESSES)
    ]
    await asyncio.gather(*(each.wait() for each in busy))
    return ""


@_executes("delay_links", "hold_links", "reset_links", "silence_links")
async def _change_links(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    """Changes links of a host with hosts, upstreams, both or the store."""
    host = faults.host(fault)
    hosts = [each.ip for each in faults.fleet.hosts if each is not host]
    upstreams = [each.ip for each in faults.fleet.upstreams]
    store = [faults.fleet.store_ip]
    others = rng.choice((hosts, upstreams, hosts + upstreams, store))
    others = rng.sample(others, rng.randint(1, len(others)))
    await _between(faults, fault, [host.ip], others, rng)
    return host.process.name


@_executes("cut_domain", "cut_domains")
async def _cut_domain(
    faults: Faults, fault: schedule.Fault, rng: random.Random
) -> str:
    """Cuts a failure domain from another one or from both."""
    domain = faults.host(fault).domain
    domains = [each for each in fleet_module.DOMAINS if each != domain]
    if fault.kind == "cut_domains":
        domains = [rng.choice(domains)]
    members = (*faults.fleet.hosts, *faults.fleet.upstreams)
    inside = [each.ip for each in members if each.domain == domain]
    outside = [each.ip for each in members if each.domain in domains]
    await _between(faults, fault, inside, outside, rng, directions=3)
    return f"{domain} from {','.join(domains)}"


async def _between(
    faults: Faults,
    fault: schedule.Fault,
    one: list[str],
    other: list[str],
    rng: random.Random,
    *,
    directions: int = 0,
) -> None:
    """Applies a rule from one side to the other, back, or both."""
    directions = directions or rng.choice((1, 2, 3))
    mode = fault.kind.partition("_")[0].replace("cut", "hold")
    delay_s = rng.choice(LINK_DELAYS_S)
    with contextlib.ExitStack() as stack:
        for bit, source, target in ((1, one, other), (2, other, one)):
            if directions & bit:
                rule = faults.fleet.rule(mode, source, target, delay_s)
                stack.enter_context(rule)
        await asyncio.sleep(fault.duration_s)


def _process(faults: Faults, fault: schedule.Fault) -> processes.Process:
    if fault.kind.endswith("upstreams"):
        return faults.group(fault).process
    return faults.host(fault).process
