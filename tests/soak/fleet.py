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
from godwitnotch.platform import store as store_module
from tests.soak import host_process
from tests.soak import processes

DOMAINS = ("z0", "z1", "z2")
SERVICE = "orders"
AUTHORITY = "orders.example"
PREFIX = "/orders/"
STORE_PORT = 8169
CALLERS_PORT, READY_PORT, PEERS_PORT = 8161, 8167, 8166
UPSTREAM_PORT = 9000
SLOTS = 8
CPU_MILLIS = 2_000
UNLISTED = 2  # Upstreams of a domain that are not listed at first.
CALL_TIMEOUT_S = 5.0
_LEADER = re.compile(r"event=leader_changed leader=([\d.]+):")


@dataclass(slots=True)
class Host:
    """A host; `port_step` is added to its ports after a change of ports."""

    name: str
    domain: str
    ip: str
    cores: float
    process: processes.Process
    port_step: int = 0
    suspended_s: float = 0.0
    ahead_s: float = 0.0

    @property
    def clock_file(self) -> pathlib.Path:
        """File that tells the process about its clocks."""
        return self.process.log.with_suffix(".clock")

    def write_clocks(self) -> None:
        """Writes the clocks; the process reads them on SIGUSR1."""
        text = f"{self.suspended_s} {self.ahead_s}"
        new = self.clock_file.with_suffix(".new")
        new.write_text(text)
        new.rename(self.clock_file)

    @property
    def callers(self) -> tuple[str, int]:
        """Address that serves callers."""
        return self.ip, CALLERS_PORT + self.port_step


@dataclass(slots=True)
class Upstream:
    """An upstream, as the store lists it."""

    name: str
    domain: str
    ip: str
    clock_rate: float
    port: int = UPSTREAM_PORT
    listed: bool = True


@dataclass(slots=True)
class UpstreamGroup:
    """Upstreams that one process serves."""

    process: processes.Process
    upstreams: list[Upstream]


class Fleet:
    """All processes of a soak.

    Args:
        folder: Folder for settings, logs and records.
        network: Second number of all addresses, 127.NETWORK.x.y.
        hosts_per_domain: Number of hosts in each failure domain.
        upstreams_per_domain: Number of upstreams in each failure domain.
        groups_per_domain: Number of processes that serve those.
        relayed: Whether hosts connect by relays.
        seed: Seed of the upstreams' clocks and run times.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        network: int,
        hosts_per_domain: int,
        upstreams_per_domain: int,
        groups_per_domain: int,
        relayed: bool,
        seed: int,
    ) -> None:
        self.folder = folder
        self.records = folder / "records.jsonl"
        self.defect = ""
        self.relayed = relayed
        self._rng = random.Random(seed)
        self._starts = 0
        self._client = http_client.HttpClient()
        self.store_ip = f"127.{network}.0.1"
        self.store = processes.Process("store", folder)
        self.relays = processes.Process("relays", folder)
        self._relay_addresses: set[tuple[str, int]] = set()
        self._rule_numbers = itertools.count(1)
        self.hosts = [
            Host(
                f"{domain}-h{number}",
                domain,
                f"127.{network}.{index + 1}.{number + 1}",
                # The first host of each domain is the strongest.
                cores=(2.667 if number == 0 else 2.0) - index / 100,
                process=processes.Process(f"host-{domain}-{number}", folder),
                ahead_s=self._rng.uniform(-0.5, 0.5),
            )
            for index, domain in enumerate(DOMAINS)
            for number in range(hosts_per_domain)
        ]
        self.groups = [
            UpstreamGroup(
                processes.Process(f"upstreams-{domain}-{group}", folder),
                [
                    Upstream(
                        f"{domain}-u{number}",
                        domain,
                        f"127.{network}.{index + 11}.{number + 1}",
                        clock_rate=self._rng.choice((1.0, 0.98)),
                        # The last ones are added later.
                        listed=number < upstreams_per_domain - UNLISTED,
                    )
                    for number in range(
                        group, upstreams_per_domain, groups_per_domain
                    )
                ],
            )
            for index, domain in enumerate(DOMAINS)
            for group in range(groups_per_domain)
        ]

    async def start(self) -> None:
        """Starts all processes and waits until the hosts are ready."""
        await self.store.start(
            "-m", "tests.soak.store_process", self.store_ip, str(STORE_PORT)
        )
        await self.store.wait_for_line("listening")
        await self._put("op", "config", _configuration())
        if self.relayed:
            await self.relays.start("-m", "tests.soak.relay_process")
            await self.relays.wait_for_line("listening")
            self.relay(self.store_ip, STORE_PORT)
        await asyncio.gather(*map(self.start_group, self.groups))
        await asyncio.gather(*map(self.start_host, self.hosts))
        for host in self.hosts:
            await host.process.wait_for_line("event=host_started")

    async def close(self) -> None:
        """Ends all processes."""
        for group in self.groups:
            while group.process.paused:
                group.process.resume()
        await asyncio.gather(
            *(each.process.end() for each in self.hosts),
            *(each.process.end(signal.SIGTERM) for each in self.groups),
            self.store.end(),
            self.relays.end(),
        )
        await self._client.close()

    async def start_host(self, host: Host) -> None:
        """Starts a host's process."""
        self.relay(host.ip, PEERS_PORT + host.port_step)
        file = self.folder / f"{host.process.name}.conf"
        file.write_text(self._settings(host))
        host.suspended_s = 0.0
        host.write_clocks()
        environment = {
            host_process.CLOCK_FILE_VARIABLE: str(host.clock_file),
            "GODWITNOTCH_NODE_FILE": str(file),
            host_process.IP_VARIABLE: host.ip,
            host_process.RELAY_VARIABLE: "1" if self.relayed else "",
        }
        await host.process.start(
            "-m", "tests.soak.host_process", environment=environment
        )

    async def start_group(self, group: UpstreamGroup) -> None:
        """Starts the process of some upstreams and lists them."""
        self._starts += 1
        log = group.process.log
        since = log.stat().st_size if log.exists() else 0
        settings = {
            "records": str(self.records),
            "seed": self._rng.random(),
            "upstreams": [
                {
                    "id": each.name,
                    "ip": each.ip,
                    "port": each.port,
                    "cpu_millis": CPU_MILLIS,
                    "clock_rate": each.clock_rate,
                    "ignores_leases": self.defect == "ignores_leases",
                }
                for each in group.upstreams
            ],
        }
        await group.process.start(
            "-m", "tests.soak.upstream_process", json.dumps(settings)
        )
        await group.process.wait_for_line("listening", since=since)
        for each in group.upstreams:
            self.relay(each.ip, each.port)
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
            "capacity": {"cpu": CPU_MILLIS, "mem_mb": 4_000},
            "labels": ["a", "r1"],
            "seq": self._starts,
        }
        await self._put("servers", upstream.name, json.dumps(entry).encode())

    async def unlist_upstream(self, upstream: Upstream) -> None:
        """Removes an upstream from the store's list."""
        upstream.listed = False
        await self._store().remove(
            "servers", upstream.name, deadline=self._deadline()
        )

    def upstreams(self) -> list[Upstream]:
        """Returns all upstreams."""
        return [each for group in self.groups for each in group.upstreams]

    def relay(self, ip: str, port: int) -> None:
        """Starts a relay to an address, unless there is one."""
        if self.relayed and (ip, port) not in self._relay_addresses:
            self._relay_addresses.add((ip, port))
            self.relays.write_line(json.dumps({"listen": [ip, port]}))

    @contextlib.contextmanager
    def rule(
        self,
        mode: str,
        source: list[str],
        target: list[str],
        delay_s: float = 0.0,
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
                    log.seek(max(0, host.process.log.stat().st_size - 200_000))
                    found = _LEADER.findall(log.read().decode())
                if found:
                    votes[found[-1]] = votes.get(found[-1], 0) + 1
        best = max(votes, key=lambda ip: votes[ip], default="")
        return next((host for host in self.hosts if host.ip == best), None)

    def _settings(self, host: Host) -> str:
        ip, step = host.ip, host.port_step
        seeds = [
            f"{each.ip}:{PEERS_PORT + each.port_step}"
            for each in self.hosts[:: max(1, len(self.hosts) // 3)]
        ]
        return "\n".join(
            (
                f"node={host.name}",
                f"zone={host.domain}",
                f"listen.front={ip}:{CALLERS_PORT + step}",
                f"listen.ready={ip}:{READY_PORT + step}",
                f"listen.control={ip}:{PEERS_PORT + step}",
                "port_range=7720,7735",
                f"seeds={','.join(seeds[:3])}",
                f"platform.address={self.store_ip}:{STORE_PORT}",
                "limits.cpu_share=1.0",
                f"limits.cores={host.cores}",
                "bounds.grace_s=6",
                "",
            )
        )

    async def _put(self, table: str, key: str, value: bytes) -> None:
        await self._store().put(table, key, value, deadline=self._deadline())

    def _store(self) -> store_module.Store:
        return store_module.Store(
            f"{self.store_ip}:{STORE_PORT}", self._client
        )

    def _deadline(self) -> float:
        return time.monotonic() + CALL_TIMEOUT_S


def _configuration() -> bytes:
    route = {
        "name": "route",
        "host": AUTHORITY,
        "prefix": PREFIX,
        "service": SERVICE,
        "target_duration_ms": 1_500,
        "stretch": 1.6,
        "timeout_ms": 1_500,
    }
    return json.dumps({"version": 1, "routes": [route]}).encode()
