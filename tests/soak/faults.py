"""Executes a schedule of faults on a fleet."""

import asyncio
import contextlib
import random
import signal
import sys
import time

from tests.soak import fleet as fleet_module
from tests.soak import processes
from tests.soak import schedule

STARVE_PERIOD_S = 0.1
BUSY_PROCESSES = 2
_GROUP_KINDS = (
    "pause_upstreams",
    "starve_upstreams",
    "restart_upstreams",
    "move_upstreams",
    "blink_upstreams",
    "unlist_upstream",
)
BUSY_CODE = "import time\nend = time.monotonic() + {}\nwhile time.monotonic() < end: pass"


class Faults:
    """Executes faults.

    Args:
        fleet: The processes.
        rng: Source of what a schedule leaves open.

    Attributes:
        done: The faults so far: begin, end and text.
    """

    def __init__(
        self, fleet: fleet_module.Fleet, *, rng: random.Random
    ) -> None:
        self.done: list[tuple[float, float, str]] = []
        self._fleet = fleet
        self._rng = rng
        self._restarting: set[str] = set()

    async def run(self, faults: list[schedule.Fault]) -> None:
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
        targets = self._targets(fault)
        try:
            await getattr(self, f"_{fault.kind}")(fault, targets)
        finally:
            names = ",".join(
                each.name
                if isinstance(each, fleet_module.Host)
                else each.process.name
                for each in targets
            )
            text = f"{fault.line().strip()} at {names}"
            self.done.append((begun_at, time.monotonic(), text))

    def _targets(self, fault: schedule.Fault) -> list:
        if fault.kind in _GROUP_KINDS:
            groups = self._fleet.groups
            return [groups[fault.number % len(groups)]]
        hosts = self._fleet.hosts
        leader = self._fleet.leader()
        if fault.target == schedule.LEADER:
            chosen = leader or hosts[0]
        else:
            chosen = hosts[int(fault.target) % len(hosts)]
        if fault.kind != "pause_many":
            return [chosen]
        others = [host for host in hosts if host is not chosen]
        count = self._rng.randint(1, max(1, len(hosts) // 2))
        return [chosen, *self._rng.sample(others, count)]

    async def _pause_host(self, fault: schedule.Fault, targets: list) -> None:
        await _pause(targets[0].process, fault.duration_s)

    async def _suspend_host(self, fault: schedule.Fault, targets: list) -> None:
        """Pauses a host whose steady clock doesn't count the pause."""
        host = targets[0]
        begun_at, pid = time.monotonic(), host.process.pid
        host.process.pause()
        await asyncio.sleep(fault.duration_s)
        if host.process.pid != pid:
            return
        host.suspended_s += time.monotonic() - begun_at
        host.write_clocks()
        host.process.signal(signal.SIGUSR1)
        host.process.resume()

    async def _step_clock(self, fault: schedule.Fault, targets: list) -> None:
        """Steps a host's time of day."""
        host = targets[0]
        host.ahead_s = random.Random(fault.number).uniform(-4.0, 4.0)
        host.write_clocks()
        host.process.signal(signal.SIGUSR1)

    async def _pause_many(self, fault: schedule.Fault, targets: list) -> None:
        async def pause_one(process: processes.Process) -> None:
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            factor = self._rng.uniform(0.5, 1.5)
            await _pause(process, fault.duration_s * factor)

        await asyncio.gather(*(pause_one(each.process) for each in targets))

    async def _pause_series(self, fault: schedule.Fault, targets: list) -> None:
        """Pauses the host that leads, several times in a row."""
        for _ in range(self._rng.randint(2, 5)):
            leader = self._fleet.leader() or targets[0]
            if leader not in targets:
                targets.append(leader)
            await _pause(
                leader.process, fault.duration_s * self._rng.uniform(0.3, 1.0)
            )
            await asyncio.sleep(self._rng.uniform(0.02, 0.8))

    async def _starve_host(self, fault: schedule.Fault, targets: list) -> None:
        await _starve(targets[0].process, fault)

    async def _kill_host(self, fault: schedule.Fault, targets: list) -> None:
        await self._restart_host(fault, targets[0], signal.SIGKILL)

    async def _term_host(self, fault: schedule.Fault, targets: list) -> None:
        await self._restart_host(fault, targets[0], signal.SIGTERM)

    async def _move_host(self, fault: schedule.Fault, targets: list) -> None:
        await self._restart_host(fault, targets[0], signal.SIGKILL, step=10)

    async def _pause_upstreams(self, fault: schedule.Fault, targets) -> None:
        await _pause(targets[0].process, fault.duration_s)

    async def _starve_upstreams(self, fault: schedule.Fault, targets) -> None:
        await _starve(targets[0].process, fault)

    async def _restart_upstreams(self, fault: schedule.Fault, targets) -> None:
        await self._restart_group(fault, targets[0], port_step=0)

    async def _move_upstreams(self, fault: schedule.Fault, targets) -> None:
        await self._restart_group(fault, targets[0], port_step=1)

    async def _blink_upstreams(self, fault: schedule.Fault, targets) -> None:
        """Restarts upstreams at once, at the same address."""
        targets[0].process.signal(signal.SIGUSR1)

    async def _unlist_upstream(self, fault: schedule.Fault, targets) -> None:
        upstream = random.Random(fault.number).choice(targets[0].upstreams)
        if not upstream.listed:
            return
        await self._fleet.unlist_upstream(upstream)
        await asyncio.sleep(fault.duration_s)
        await self._fleet.list_upstream(upstream)

    async def _add_upstream(self, fault: schedule.Fault, targets: list) -> None:
        """Lists an upstream that the hosts have never seen."""
        unlisted = [
            each for each in self._fleet.upstreams() if not each.listed
        ]
        if unlisted:
            chosen = random.Random(fault.number).choice(unlisted)
            await self._fleet.list_upstream(chosen)

    async def _delay_links(self, fault: schedule.Fault, targets: list) -> None:
        rng = random.Random(fault.number)
        others = self._others(targets[0], rng)
        delay_s = rng.choice((0.02, 0.1, 0.3, 0.6, 1.5))
        await self._rules("delay", fault, targets[0], others, delay_s)

    async def _cut_upstreams(
        self, fault: schedule.Fault, targets: list
    ) -> None:
        rng = random.Random(fault.number)
        ips = self._upstream_ips()
        others = rng.sample(ips, rng.randint(1, len(ips)))
        await self._rules("hold", fault, targets[0], others)

    async def _cut_hosts(self, fault: schedule.Fault, targets: list) -> None:
        rng = random.Random(fault.number)
        ips = [host.ip for host in self._fleet.hosts if host not in targets]
        others = rng.sample(ips, rng.randint(1, len(ips)))
        await self._rules("hold", fault, targets[0], others)

    async def _cut_domain(self, fault: schedule.Fault, targets: list) -> None:
        domain = targets[0].domain
        inside, outside = [], []
        for each in (*self._fleet.hosts, *self._fleet.upstreams()):
            (inside if each.domain == domain else outside).append(each.ip)
        with (
            self._fleet.rule("hold", inside, outside),
            self._fleet.rule("hold", outside, inside),
        ):
            await asyncio.sleep(fault.duration_s)

    async def _cut_domains(self, fault: schedule.Fault, targets: list) -> None:
        """Cuts two failure domains from each other, but not from the third."""
        one = targets[0].domain
        rng = random.Random(fault.number)
        other = rng.choice([d for d in fleet_module.DOMAINS if d != one])
        ips: dict[str, list[str]] = {}
        for each in (*self._fleet.hosts, *self._fleet.upstreams()):
            ips.setdefault(each.domain, []).append(each.ip)
        with (
            self._fleet.rule("hold", ips[one], ips[other]),
            self._fleet.rule("hold", ips[other], ips[one]),
        ):
            await asyncio.sleep(2 * fault.duration_s)

    async def _cut_store(self, fault: schedule.Fault, targets: list) -> None:
        await self._rules("hold", fault, targets[0], [self._fleet.store_ip])

    async def _reset_links(self, fault: schedule.Fault, targets: list) -> None:
        others = self._others(targets[0], random.Random(fault.number))
        await self._rules("reset", fault, targets[0], others)

    async def _silence_links(
        self, fault: schedule.Fault, targets: list
    ) -> None:
        others = self._others(targets[0], random.Random(fault.number))
        await self._rules("silence", fault, targets[0], others)

    def _others(
        self, host: fleet_module.Host, rng: random.Random
    ) -> list[str]:
        """Returns some addresses that a host is connected with."""
        hosts = [each.ip for each in self._fleet.hosts if each is not host]
        upstreams = self._upstream_ips()
        chosen = rng.choice((hosts, upstreams, hosts + upstreams))
        return rng.sample(chosen, rng.randint(1, len(chosen)))

    def _upstream_ips(self) -> list[str]:
        return [upstream.ip for upstream in self._fleet.upstreams()]

    async def _rules(
        self,
        mode: str,
        fault: schedule.Fault,
        host: fleet_module.Host,
        others: list[str],
        delay_s: float = 0.0,
    ) -> None:
        """Applies rules from a host to others, back, or in both directions."""
        directions = random.Random(fault.number).choice((1, 2, 3))
        with contextlib.ExitStack() as stack:
            if directions & 1:
                rule = self._fleet.rule(mode, [host.ip], others, delay_s)
                stack.enter_context(rule)
            if directions & 2:
                rule = self._fleet.rule(mode, others, [host.ip], delay_s)
                stack.enter_context(rule)
            await asyncio.sleep(fault.duration_s)

    async def _busy(self, fault: schedule.Fault, targets: list) -> None:
        code = BUSY_CODE.format(fault.duration_s)
        busy = [
            await asyncio.create_subprocess_exec(sys.executable, "-c", code)
            for _ in range(BUSY_PROCESSES)
        ]
        await asyncio.gather(*(each.wait() for each in busy))

    async def _restart_host(
        self,
        fault: schedule.Fault,
        host: fleet_module.Host,
        number: signal.Signals,
        *,
        step: int = 0,
    ) -> None:
        if host.name in self._restarting:
            return
        self._restarting.add(host.name)
        await host.process.end(number)
        await asyncio.sleep(fault.duration_s)
        host.port_step += step
        await self._fleet.start_host(host)
        self._restarting.discard(host.name)

    async def _restart_group(
        self,
        fault: schedule.Fault,
        group: fleet_module.UpstreamGroup,
        *,
        port_step: int,
    ) -> None:
        if group.process.name in self._restarting:
            return
        self._restarting.add(group.process.name)
        await group.process.end()
        await asyncio.sleep(fault.duration_s)
        for upstream in group.upstreams:
            upstream.port += port_step
        await self._fleet.start_group(group)
        self._restarting.discard(group.process.name)


async def _pause(process: processes.Process, duration_s: float) -> None:
    process.pause()
    await asyncio.sleep(duration_s)
    process.resume()


async def _starve(process: processes.Process, fault: schedule.Fault) -> None:
    end = time.monotonic() + fault.duration_s
    while time.monotonic() < end:
        process.pause()
        await asyncio.sleep(STARVE_PERIOD_S * (1 - fault.share))
        process.resume()
        await asyncio.sleep(STARVE_PERIOD_S * fault.share)
