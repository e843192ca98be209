"""Whole hosts and stand-ins of the platform as processes on loopback."""

import asyncio
import logging
import multiprocessing
import multiprocessing.connection
import multiprocessing.context
import time
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

from godwitnotch import leased_root
from godwitnotch.core import ids
from godwitnotch.net import listeners
from godwitnotch.platform import settings
from godwitnotch.standins import leased_platform

START_TIMEOUT_S = 60.0
_IP = "127.0.0.1"

Pipe = multiprocessing.connection.Connection


@dataclass(frozen=True, slots=True)
class HostState:
    """What a host process tells of itself.

    Attributes:
        cpu_s: Processor time that it has used.
        leads: Whether it is the leader.
        relayed_count: Calls that other hosts have sent for it.
        lost_count: Those of them that have no result.
        linked_count: Hosts that it is linked to.
    """

    cpu_s: float
    leads: bool
    relayed_count: int
    lost_count: int
    linked_count: int


@dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """The upstreams that the stand-in of the platform serves.

    Attributes:
        count: How many there are.
        domains: Their failure domains, in turn.
        slots: Slots of each.
        run_time_s: How long a run takes.
    """

    count: int
    domains: tuple[str, ...]
    slots: int = 8
    run_time_s: float = 0.06


class HostProcesses:
    """A store, its upstreams and some hosts, each host a process.

    Args:
        domains: The failure domain of each host.
        upstreams: The upstreams, which are all one process.
        relayed: Whether other hosts send the leader's calls: always, never, or
            as the hosts decide if None.
    """

    def __init__(
        self,
        domains: Sequence[str],
        upstreams: UpstreamPlan,
        *,
        relayed: bool | None = None,
    ) -> None:
        self._domains = domains
        self._upstreams = upstreams
        self._relayed = relayed
        self._context = multiprocessing.get_context("spawn")
        self._processes: list[multiprocessing.context.SpawnProcess] = []
        self._hosts: list[Pipe] = []
        self.callers: list[str] = []

    def start(self) -> None:
        """Starts all processes and learns where callers are served."""
        store = self._start(_serve_platform, self._upstreams).recv()
        self._hosts = [
            self._start(_serve_host, number, domain, store, self._relayed)
            for number, domain in enumerate(self._domains)
        ]
        self.callers = [host.recv() for host in self._hosts]

    def states(self) -> list[HostState]:
        """Asks all hosts for their state."""
        for host in self._hosts:
            host.send("state")
        return [host.recv() for host in self._hosts]

    async def wait_ready(self) -> None:
        """Waits until one host leads and all are linked.

        Raises:
            TimeoutError: That takes longer than `START_TIMEOUT_S`.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                states = self.states()
                linked = min(state.linked_count for state in states)
                leaders = sum(state.leads for state in states)
                if leaders == 1 and linked == len(states) - 1:
                    return
                await asyncio.sleep(0.1)

    def close(self) -> None:
        """Ends all processes."""
        for process in self._processes:
            # A host answers SIGTERM with a drain.
            process.kill()
            process.join()

    def _start(self, target: Callable[..., None], *args: object) -> Pipe:
        here, there = self._context.Pipe()
        process = self._context.Process(
            target=target, args=(there, *args), daemon=True
        )
        process.start()
        self._processes.append(process)
        return here


def _serve_platform(pipe: Pipe, plan: UpstreamPlan) -> None:
    async def serve() -> None:
        store = leased_platform.StandInStore()
        address = await store.start()
        store.put_configuration("orders")
        for number in range(plan.count):
            upstream = leased_platform.StandInUpstream(
                upstream=f"u-{number}",
                domain=plan.domains[number % len(plan.domains)],
                service="orders",
                slots=plan.slots,
                run_time_s=plan.run_time_s,
            )
            await upstream.start()
            store.put_upstream(upstream)
        pipe.send(address)
        await asyncio.get_running_loop().create_future()

    asyncio.run(serve())


def _serve_host(
    pipe: Pipe, number: int, domain: str, store: str, relayed: bool | None
) -> None:
    async def serve() -> None:
        logging.disable(logging.CRITICAL)
        sockets = [listeners.bind(_IP, 0) for _ in range(4)]
        callers, ready, peers, metrics = (
            bound.getsockname()[1] for bound in sockets
        )
        host = leased_root.LeasedHost(
            settings.PlatformSettings(
                name=f"bench-{number}",
                domain=ids.DomainId(domain),
                callers=f"{_IP}:{callers}",
                ready=f"{_IP}:{ready}",
                peers=ids.HostId(f"{_IP}:{peers}"),
                metrics_port=metrics,
                seeds=(),
                store=store,
                relative_cpu_speed=1.0,
                link_mbps=settings.DEFAULT_LINK_MBPS,
                termination_grace_s=6.0,
            )
        )
        relays = host._core.relays
        if relayed is not None:
            limit = -1.0 if relayed else float("inf")
            relays._start_limit = relays._stop_limit = limit
        await host.start(
            {f"{_IP}:{bound.getsockname()[1]}": bound for bound in sockets}
        )

        def answer() -> None:
            pipe.recv()
            pipe.send(
                HostState(
                    cpu_s=time.process_time(),
                    leads=host.leads,
                    relayed_count=relays.relayed_count,
                    lost_count=relays.lost_count,
                    linked_count=len(host._links.linked),
                )
            )

        asyncio.get_running_loop().add_reader(pipe.fileno(), answer)
        pipe.send(f"{_IP}:{callers}")
        await asyncio.get_running_loop().create_future()

    asyncio.run(serve())
