"""The processes of a soak: a store, upstreams and hosts in three domains."""

import asyncio
import contextlib
import itertools
import json
import pathlib
import random
import re
import signal
import time
from collections.abc import Iterator
from dataclasses import dataclass

from godwitnotch.net import http_client
from godwitnotch.platform import settings as settings_module
from godwitnotch.platform import store as store_module
from tests.soak import host_process
from tests.soak import processes

DOMAINS = ("z0", "z1", "z2")
SERVICE = "orders"
STORE_PORT = 8169
CALLERS_PORT, READY_PORT, PEERS_PORT = 8161, 8167, 8166
UPSTREAM_PORT = 9000
SLOTS = 8
CPU_MILLIS_PER_RUN = 1_000
ROOM = 3  # Runs that an upstream has room for.
UPSTREAMS_PER_DOMAIN = 8
GROUPS_PER_DOMAIN = 2  # Processes that serve the upstreams of a domain.
UNLISTED_PER_DOMAIN = 2  # Further upstreams, which are not listed at first.
GUARDED_SHARE = 0.7
CLOCK_RATES = (1.0, 0.98)
STORE_TIMEOUT_S = 5.0
_LEADER = re.compile(r"event=leader_changed leader=([\d.]+):")
_LOG_TAIL_BYTES = 200_000


@dataclass(slots=True)
class Host:
    """A host.

    Attributes:
        port_step: Added to its ports after a change of ports.
        suspended_s: Time that its steady clock has not counted.
        ahead_s: How far its time of day is ahead.
        root: Checkout of the build that it runs.
    """

    domain: str
    ip: str
    cores: float
    process: processes.Process
    ahead_s: float
    port_step: int = 0
    suspended_s: float = 0.0
    root: pathlib.Path = processes.ROOT

    @property
    def clock_file(self) -> pathlib.Path:
        """File that tells the process about its clocks."""
        return self.process.log.with_suffix(".clock")

    @property
    def callers(self) -> tuple[str, int]:
        """Address that serves callers."""
        return self.ip, CALLERS_PORT + self.port_step

    def set_clocks(
        self,
        *,
        suspended_s: float | None = None,
        ahead_s: float | None = None,
    ) -> None:
        """Sets the clocks; a running process is told to read them."""
        if suspended_s is not None:
            self.suspended_s = suspended_s
        if ahead_s is not None:
            self.ahead_s = ahead_s
        new = self.clock_file.with_suffix(".new")
        new.write_text(f"{self.suspended_s} {self.ahead_s}")
        new.rename(self.clock_file)
        self.process.signal(signal.SIGUSR1)


@dataclass(slots=True)
class Upstream:
    """An upstream, as the store lists it."""

    name: str
    domain: str
    ip: str
    clock_rate: float
    listed: bool
    guards_room: bool
    port: int = UPSTREAM_PORT
    room: int = ROOM


@dataclass(slots=True)
class UpstreamGroup:
    """Upstreams that one process serves."""

    process: processes.Process
    upstreams: list[Upstream]

    def move(self, *, swap: bool) -> None:
        """Changes the ports, or gives each upstream another one's address."""
        ips = [each.ip for each in self.upstreams]
        for index, each in enumerate(self.upstreams):
            each.ip = ips[index - 1] if swap else each.ip
            each.port += 0 if swap else 1


class Fleet:
    """All processes of a soak.

    Args:
        folder: Folder for settings, logs and records.
        network: Second number of all addresses, 127.NETWORK.x.y.
        hosts_per_domain: Number of hosts in each failure domain.
        relayed: Whether hosts connect by relays.
        defect: A defect to show that the checks see it; may be empty.
        seed: Seed of the upstreams' clocks and run times.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        network: int,
        hosts_per_domain: int,
        relayed: bool,
        defect: str,
        seed: int,
    ) -> None:
        self.folder = folder
        self.records = folder / "records.jsonl"
        self.store_ip = f"127.{network}.0.1"
        self.store = processes.Process("store", folder)
        self.relays = processes.Process("relays", folder)
        self._network = network
        self._relayed = relayed
        self._defect = defect
        self._rng = random.Random(seed)
        self._starts = itertools.count(1)
        self._relay_addresses: set[tuple[str, int]] = set()
        self._rule_numbers = itertools.count(1)
        self._client = http_client.HttpClient()
        self.hosts = [
            self._make_host(domain, number)
            for number in range(hosts_per_domain)
            for domain in DOMAINS
        ]
        self.groups = [
            self._make_group(domain, group)
            for domain in DOMAINS
            for group in range(GROUPS_PER_DOMAIN)
        ]

    @property
    def upstreams(self) -> list[Upstream]:
        """All upstreams."""
        return [each for group in self.groups for each in group.upstreams]

    async def start(self) -> None:
        """Starts all processes."""
        await self.store.start(
            "tests.soak.store_process", self.store_ip, str(STORE_PORT), SERVICE
        )
        await self.store.wait_for("listening")
        if self._relayed:
            await self.relays.start("tests.soak.relay_process")
            await self.relays.wait_for("listening")
            self._relay(self.store_ip, STORE_PORT)
        await asyncio.gather(*map(self.start_group, self.groups))
        await asyncio.gather(*map(self.start_host, self.hosts))
        for host in self.hosts:
            await host.process.wait_for("event=host_started")

    async def close(self) -> None:
        """Ends all processes."""
        for group in self.groups:
            group.process.signal(signal.SIGCONT)
        await asyncio.gather(
            *(each.process.end() for each in self.hosts),
            *(each.process.end(signal.SIGTERM) for each in self.groups),
            self.store.end(),
            self.relays.end(),
        )
        await self._client.close()

    async def start_host(self, host: Host) -> None:
        """Starts a host's process."""
        self._relay(host.ip, PEERS_PORT + host.port_step)
        host.set_clocks(suspended_s=0.0)
        file = host.process.log.with_suffix(".conf")
        file.write_text(self._settings(host))
        environment = {
            settings_module.PATH_VARIABLE: str(file),
            host_process.CLOCK_FILE_VARIABLE: str(host.clock_file),
            host_process.IP_VARIABLE: host.ip,
            host_process.RELAY_VARIABLE: "1" if self._relayed else "",
            host_process.DEFECT_VARIABLE: self._defect,
        }
        await host.process.start(
            "tests.soak.host_process", environment=environment, root=host.root
        )

    async def start_group(self, group: UpstreamGroup) -> None:
        """Starts the process of some upstreams and lists them."""
        settings = {
            "records": str(self.records),
            "seed": self._rng.random(),
            "unguarded": [
                each.name for each in group.upstreams if not each.guards_room
            ],
            "upstreams": [
                [each.name, each.ip, each.port, each.clock_rate, each.room]
                for each in group.upstreams
            ],
        }
        await group.process.start(
            "tests.soak.upstream_process", json.dumps(settings)
        )
        await group.process.wait_for("listening")
        for each in group.upstreams:
            self._relay(each.ip, each.port)
            if each.listed:
                await self.list_upstream(each)

    async def list_upstream(self, upstream: Upstream) -> None:
        """Adds an upstream to the store's list, or updates its entry."""
        upstream.listed = True
        entry = {
            "service": SERVICE,
            "address": f"{upstream.ip}:{upstream.port}",
            "zone": upstream.domain,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "capacity": {
                "cpu": upstream.room * CPU_MILLIS_PER_RUN,
                "mem_mb": 4_000,
            },
            "labels": ["a", "r1"],
            "seq": next(self._starts),
        }
        await self._store().put(
            store_module.UPSTREAMS_TABLE,
            upstream.name,
            json.dumps(entry).encode(),
            deadline=time.monotonic() + STORE_TIMEOUT_S,
        )

    async def set_room(self, group: UpstreamGroup, room: int) -> None:
        """Changes the room of all upstreams of a process, and their entries."""
        for each in group.upstreams:
            each.room = room
            if group.process.pid:
                group.process.write_line(f"{each.name} {room}")
            if each.listed:
                await self.list_upstream(each)

    async def unlist_upstream(self, upstream: Upstream) -> None:
        """Removes an upstream from the store's list."""
        upstream.listed = False
        await self._store().remove(
            store_module.UPSTREAMS_TABLE,
            upstream.name,
            deadline=time.monotonic() + STORE_TIMEOUT_S,
        )

    @contextlib.contextmanager
    def rule(
        self, mode: str, source: list[str], target: list[str], delay_s: float
    ) -> Iterator[None]:
        """Applies a rule to relayed bytes from some addresses to others."""
        number = next(self._rule_numbers)
        rule = {
            "rule": number,
            "mode": mode,
            "from": source,
            "to": target,
            "delay_s": delay_s,
        }
        self.relays.write_line(json.dumps(rule))
        try:
            yield
        finally:
            self.relays.write_line(json.dumps({"end": number}))

    def leader(self) -> Host | None:
        """Returns the host that most hosts' logs name as the leader."""
        votes: dict[str, int] = {}
        for host in self.hosts:
            if host.process.pid:
                with host.process.log.open("rb") as log:
                    size = host.process.log.stat().st_size
                    log.seek(max(0, size - _LOG_TAIL_BYTES))
                    found = _LEADER.findall(log.read().decode(errors="replace"))
                if found:
                    votes[found[-1]] = votes.get(found[-1], 0) + 1
        best = max(votes, key=lambda ip: votes[ip], default="")
        return next((host for host in self.hosts if host.ip == best), None)

    def _make_host(self, domain: str, number: int) -> Host:
        index = DOMAINS.index(domain)
        return Host(
            domain,
            f"127.{self._network}.{index + 1}.{number + 1}",
            # The first host of each failure domain is the strongest.
            cores=(2.667 if number == 0 else 2.0) - index / 100,
            process=processes.Process(f"host-{domain}-{number}", self.folder),
            ahead_s=self._rng.uniform(-0.5, 0.5),
        )

    def _make_group(self, domain: str, group: int) -> UpstreamGroup:
        index = DOMAINS.index(domain)
        count = UPSTREAMS_PER_DOMAIN + UNLISTED_PER_DOMAIN
        return UpstreamGroup(
            processes.Process(f"upstreams-{domain}-{group}", self.folder),
            [
                Upstream(
                    f"{domain}-u{number}",
                    domain,
                    f"127.{self._network}.{index + 11}.{number + 1}",
                    clock_rate=self._rng.choice(CLOCK_RATES),
                    listed=number < UPSTREAMS_PER_DOMAIN,
                    guards_room=self._rng.random() < GUARDED_SHARE,
                )
                for number in range(group, count, GROUPS_PER_DOMAIN)
            ],
        )

    def _settings(self, host: Host) -> str:
        ip, step = host.ip, host.port_step
        seeds = [
            f"{each.ip}:{PEERS_PORT + each.port_step}"
            for each in self.hosts[: len(DOMAINS)]
        ]
        return (
            f"node={host.process.name}\n"
            f"zone={host.domain}\n"
            f"listen.front={ip}:{CALLERS_PORT + step}\n"
            f"listen.ready={ip}:{READY_PORT + step}\n"
            f"listen.control={ip}:{PEERS_PORT + step}\n"
            "port_range=7720,7735\n"
            f"seeds={','.join(seeds)}\n"
            f"platform.address={self.store_ip}:{STORE_PORT}\n"
            "limits.cpu_share=1.0\n"
            f"limits.cores={host.cores}\n"
            "bounds.grace_s=6\n"
        )

    def _relay(self, ip: str, port: int) -> None:
        """Starts a relay to an address, unless there is one."""
        if self._relayed and (ip, port) not in self._relay_addresses:
            self._relay_addresses.add((ip, port))
            self.relays.write_line(json.dumps({"listen": [ip, port]}))

    def _store(self) -> store_module.Store:
        address = f"{self.store_ip}:{STORE_PORT}"
        return store_module.Store(address, self._client)
