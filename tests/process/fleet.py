"""Three hosts in three failure domains, with a relay on every path."""

import asyncio
from collections.abc import Sequence

from tests.process import caller
from tests.process import cluster
from tests.process import evidence
from tests.process import relay

DOMAINS = ("a", "b", "c")


class Fleet:
    """A cluster whose hosts reach all other processes through relays.

    Attributes:
        cluster: The processes.
        answer_log: The answers that callers received.
        peers: Relays to each host, by host name.
        upstreams: Relays to each upstream, by upstream name.
        platform: Relay between the hosts and the platform.
    """

    def __init__(self) -> None:
        self.cluster = cluster.Cluster()
        self.answer_log = evidence.AnswerLog()
        self.peers: dict[str, relay.Relay] = {}
        self.upstreams: dict[str, relay.Relay] = {}
        self.platform = relay.Relay()

    @property
    def hosts(self) -> list[cluster.Host]:
        """All hosts started so far, including those that have ended."""
        return self.cluster.hosts

    async def start(self, *, upstreams_per_domain: int = 1) -> None:
        """Starts all processes and relays and creates the workspace."""
        names = cluster.upstream_names(DOMAINS, per_domain=upstreams_per_domain)
        for name, _ in names:
            self.upstreams[name] = await relay.Relay().start()
        await asyncio.gather(
            self.cluster.start_upstreams(
                DOMAINS, per_domain=upstreams_per_domain
            ),
            self.cluster.start_platform(
                upstreams=[
                    (name, domain, self.upstreams[name].address)
                    for name, domain in names
                ]
            ),
        )
        for upstream in self.cluster.upstreams:
            self.upstreams[upstream.name].target = upstream.address
        self.platform.target = self.cluster.platform
        await self.platform.start()
        await asyncio.gather(*(self.start_host(domain) for domain in DOMAINS))
        self.hosts.sort(key=lambda host: host.name)
        await self.cluster.wait_linked()
        await self.cluster.put_workspace(self.hosts[0])

    async def start_host(
        self,
        domain: str,
        *,
        wait_ready: bool = True,
        drain_timeout_s: float = 30.0,
    ) -> cluster.Host:
        """Starts the host of a domain; a restarted host keeps its relay."""
        name = f"{domain}-1"
        host_relay = self.peers.get(name)
        if host_relay is None:
            host_relay = self.peers[name] = await relay.Relay().start()
        host = await self.cluster.start_host(
            name,
            domain,
            platform=self.platform.address,
            advertised=host_relay.address,
            drain_timeout_s=drain_timeout_s,
            wait_ready=False,
        )
        host_relay.target = host.peers
        if wait_ready:
            await cluster.wait_until(host.ready, f"{name} is ready")
        return host

    async def close(self) -> None:
        """Ends all processes and relays."""
        await self.cluster.close()
        relays = [*self.peers.values(), *self.upstreams.values(), self.platform]
        for each in relays:
            await each.close()

    async def submit(
        self,
        host: cluster.Host,
        submission: str,
        payloads: Sequence[object],
        *,
        timeout_s: float = 30.0,
    ) -> caller.Answer:
        """Submits a job at a host and records the answer."""
        answer = await self.cluster.caller.submit(
            host.address, submission, payloads, timeout_s=timeout_s
        )
        self.answer_log.add(answer, submission, payloads)
        return answer

    async def submit_keyed(
        self,
        host: cluster.Host,
        key: str,
        payloads: Sequence[object],
        *,
        timeout_s: float = 30.0,
    ) -> caller.Answer:
        """Submits a job under an idempotency key and records the answer."""
        answer = await self.cluster.caller.submit_keyed(
            host.address, key, payloads, timeout_s=timeout_s
        )
        self.answer_log.add_keyed(answer, key, payloads)
        return answer

    async def violations(self) -> list[str]:
        """Returns a line for each promise that was broken so far."""
        return self.answer_log.violations(await self.cluster.starts())


def jobs(
    submissions: Sequence[str], *, tasks: int, sleep_ms: float
) -> list[tuple[str, list[object]]]:
    """Returns a job for each id; all tasks have different payloads."""
    return [
        (
            submission,
            [
                {"sleep_ms": sleep_ms, "job": submission, "n": number}
                for number in range(tasks)
            ],
        )
        for submission in submissions
    ]
