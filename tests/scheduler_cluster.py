"""Schedulers of several hosts whose messages a test delivers itself."""

import random
from collections import Counter
from collections import deque
from collections.abc import Sequence

from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import scheduler
from tests import scheduler_fixtures as fixtures


class Cluster:
    """Schedulers of several hosts and ordered links between them.

    Args:
        hosts: The hosts, which at first see all other hosts.
        upstreams: The upstreams that all hosts use.
        policy: Name of the scheduling policy.

    Attributes:
        now: Current time, in seconds.
        upstreams: The upstreams that all hosts use.
        running: Running attempts, each with its host.
        start_counts: How often each task was started.
        sent_count: Number of sent messages.
        links: Undelivered messages by sender and receiver.
        entries: Hosts by id.
        policies: The scheduler of each host.
    """

    def __init__(
        self,
        hosts: Sequence[model.HostEntry],
        upstreams: Sequence[model.UpstreamEntry],
        *,
        policy: str = "credits",
    ) -> None:
        self.now = 0.0
        self.upstreams = list(upstreams)
        self.running: list[tuple[ids.HostId, scheduler.Assignment]] = []
        self.start_counts: Counter[tuple[ids.SubmissionId, int]] = Counter()
        self.sent_count = 0
        self.links: dict[
            tuple[ids.HostId, ids.HostId], deque[messages.Message]
        ] = {}
        self.entries = {each.host: each for each in hosts}
        self.policies = {
            each.host: scheduler.create(
                policy,
                host=each.host,
                domain=each.domain,
                rng=random.Random(1),
            )
            for each in hosts
        }
        self.set_visible_hosts(self.policies)
        for each in self.policies.values():
            each.update_upstreams(self.upstreams, now=self.now)
        self.settle()

    def set_visible_hosts(
        self, hosts: Sequence[ids.HostId] | dict[ids.HostId, object]
    ) -> None:
        """Lets each given host see only the other given hosts."""
        for host in hosts:
            others = [self.entries[other] for other in hosts if other != host]
            self.policies[host].update_hosts(others, now=self.now)

    def run_host(self, host: ids.HostId) -> list[scheduler.Assignment]:
        """Starts the attempts that a host assigns, and queues its messages."""
        policy = self.policies[host]
        starts = policy.assign(now=self.now)
        for start in starts:
            self.running.append((host, start))
            self.start_counts[start.submission, start.task_index] += 1
        for sent in policy.peer_messages(now=self.now):
            self.sent_count += 1
            queue = self.links.setdefault((host, sent.host), deque())
            queue.append(sent.message)
        return starts

    def deliver(self, link: tuple[ids.HostId, ids.HostId]) -> None:
        """Delivers the oldest message of a link."""
        message = self.links[link].popleft()
        self.policies[link[1]].handle_peer_message(
            link[0], message, now=self.now
        )
        self.run_host(link[1])

    def run_all_hosts(self) -> None:
        """Runs all hosts and delivers messages until none is queued."""
        for host in self.policies:
            self.run_host(host)
        while busy := [link for link, queue in self.links.items() if queue]:
            for link in busy:
                self.deliver(link)

    def settle(self, duration_s: float = 3.0) -> None:
        """Advances the clock and delivers all messages."""
        until = self.now + duration_s
        while self.now < until:
            self.now += 0.05
            self.run_all_hosts()

    def end_attempt(
        self,
        index: int,
        outcome: model.AttemptOutcome = model.AttemptOutcome.ANSWERED,
    ) -> scheduler.Assignment:
        """Ends a running attempt; returns its assignment."""
        host, start = self.running.pop(index)
        self.policies[host].attempt_ended(
            start, outcome, started_at=self.now - 0.1, now=self.now
        )
        return start

    def running_by_upstream(self) -> Counter[ids.UpstreamId]:
        """Returns the number of running attempts at each upstream."""
        return Counter(start.upstream.upstream for _, start in self.running)


def hosts_of_domain(name: str, host_count: int) -> list[model.HostEntry]:
    """Returns the hosts of a domain."""
    return [
        fixtures.host(f"{name}-h{each}", name) for each in range(host_count)
    ]


def upstreams_of_domain(
    name: str, upstream_count: int
) -> list[model.UpstreamEntry]:
    """Returns the upstreams of a domain."""
    return [
        fixtures.upstream(f"{name}-u{each}", name)
        for each in range(upstream_count)
    ]
