"""Simulates hosts, upstreams, platform and network on a virtual clock."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from tests import fakes
from tests import sim_host

EPOCH_S = 1_000_000.0
NETWORK_LATENCY_S = 0.001
SILENCE_TIMEOUT_S = 3.0  # After this, a link without traffic is closed.
REDIAL_DELAY_S = 0.2
CONNECT_TIMEOUT_S = 1.0
STORE_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 1.0
HEARTBEAT_INTERVAL_S = 1.0
UNLIST_DELAY_S = 5.0  # After this, the platform no longer lists a dead host.
LEAVING_GRACE_S = 5.0
PLATFORM = "platform"


class World:
    """Simulates hosts, upstreams, platform and network on a virtual clock.

    Args:
        seed: Seed of the random numbers.
        policy: Name of the scheduling policy of the hosts.

    Attributes:
        now: Current time, in seconds.
        rng: Source of random numbers.
        hosts: The latest process of each host.
        upstreams: Upstreams by id.
        store: The store of the platform.
        starts: All task starts, in order.
        calls: All calls of callers and operators, in order.
        note_counts: Number of notes with each event and reason.
        violations: Broken promises, a line each.
        directory_lag_s: Age of the directory that hosts get from the platform.
        peak_running: Maximum number of tasks that ran at the same time.
    """

    def __init__(self, *, seed: int, policy: str = "credits") -> None:
        self.now = EPOCH_S
        self.rng = random.Random(seed)
        self.hosts: dict[str, sim_host.SimHost] = {}
        self.upstreams: dict[str, fakes.Upstream] = {}
        self.store = fakes.Store()
        self.starts: list[fakes.Start] = []
        self.calls: list[fakes.Call] = []
        self.note_counts: dict[tuple[str, object], int] = {}
        self.violations: list[str] = []
        self.directory_lag_s = 0.0
        self.peak_running = 0
        self._policy = policy
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count(1)
        self._first_start_by_payload: dict[bytes, fakes.Start] = {}
        self._first_start_by_task: dict[
            tuple[ids.SubmissionId, int], fakes.Start
        ] = {}
        self._cut_pairs: set[frozenset[str]] = set()
        self._links: dict[frozenset[str], fakes.Link] = {}
        self._listed_hosts: dict[str, model.HostEntry] = {}
        self._directories: list[tuple[float, model.Directory]] = []
        self._versions_in_force: dict[ids.WorkspaceId, int] = {}

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Calls a function at a time."""
        heapq.heappush(self._queue, (time, next(self._sequence), callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Calls a function after a delay."""
        self.call_at(self.now + delay_s, callback)

    def run(
        self, duration_s: float, until: Callable[[], bool] | None = None
    ) -> None:
        """Advances the clock by a duration, or until a condition is met."""
        end = self.now + duration_s
        while self._queue and self._queue[0][0] <= end:
            if until and until():
                return
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        if not until or not until():
            self.now = end

    def starts_of(self, payloads: Iterable[bytes]) -> list[fakes.Start]:
        """Returns the first start of each task that was started.

        Args:
            payloads: Payloads of the tasks.
        """
        found = (
            self._first_start_by_payload.get(payload) for payload in payloads
        )
        return [start for start in found if start]

    def record_violation(self, text: str) -> None:
        """Records that a promise was broken."""
        self.violations.append(f"at {self.now - EPOCH_S:.3f} s: {text}")

    def add_host(self, name: str, domain: str) -> sim_host.SimHost:
        """Starts a host process; a known name gets a new incarnation."""
        entry = model.HostEntry(
            ids.HostId(name),
            ids.DomainId(domain),
            ids.Incarnation(f"{next(self._sequence):06x}"),
            f"{name}:1",
        )
        sim = sim_host.SimHost(self, entry, policy=self._policy)
        self.hosts[name] = sim
        self._list_host(sim)
        self.call_later(0, functools.partial(self._poll, sim))
        self.call_later(
            HEARTBEAT_INTERVAL_S, functools.partial(self._send_heartbeats, sim)
        )
        self.redial(sim)
        return sim

    def add_upstream(
        self, name: str, domain: str, *, slots: int = 8, run_time_s: float = 0.1
    ) -> None:
        """Adds an upstream to the world and to the platform's list."""
        entry = model.UpstreamEntry(
            ids.UpstreamId(name),
            ids.DomainId(domain),
            f"{domain}-rack",
            name,
            slots,
            slots * 8,
        )
        self.upstreams[name] = fakes.Upstream(entry, run_time_s)
        self._record_directory()

    def mark_leaving(self, name: str) -> None:
        """Marks an upstream as leaving in the platform's list."""
        upstream = self.upstreams[name]
        upstream.entry = msgspec.structs.replace(upstream.entry, leaving=True)
        upstream.leaving_since = self.now
        self._record_directory()

    def kill(self, name: str, *, silently: bool = False) -> None:
        """Kills a host process.

        Args:
            name: The host.
            silently: Whether peers notice only by the silence timeout.
        """
        sim = self.hosts[name]
        sim.kill()
        self.call_later(
            UNLIST_DELAY_S, functools.partial(self._unlist_host, sim)
        )
        if silently:
            self.close_silent_links(sim)
            return
        for link in self._links_of(sim):
            self._close(link)

    def cut(self, one: str, other: str) -> None:
        """Drops or holds back all traffic between two endpoints."""
        self._cut_pairs.add(frozenset((one, other)))
        if other == PLATFORM and one in self.hosts:
            unlist = functools.partial(self._unlist_if_cut, self.hosts[one])
            self.call_later(UNLIST_DELAY_S, unlist)
        if link := self._links.get(frozenset((one, other))):
            self.call_later(
                SILENCE_TIMEOUT_S,
                functools.partial(self._close_if_silent, link),
            )

    def heal(self, one: str, other: str) -> None:
        """Ends a cut."""
        self._cut_pairs.discard(frozenset((one, other)))
        if other == PLATFORM and one in self.hosts:
            self._list_host(self.hosts[one])
        if link := self._links.get(frozenset((one, other))):
            backlog, link.backlog = link.backlog, []
            for callback in backlog if link.up else ():
                self.call_later(NETWORK_LATENCY_S, callback)
        if one in self.hosts:
            self.redial(self.hosts[one])

    def heal_all(self) -> None:
        """Ends all cuts."""
        for pair in sorted(self._cut_pairs, key=sorted):
            one, other = sorted(pair)
            self.heal(one, other)

    def is_cut(self, one: str, other: str) -> bool:
        """Returns whether two endpoints are cut off from each other."""
        return frozenset((one, other)) in self._cut_pairs

    def close_silent_links(self, sim: sim_host.SimHost) -> None:
        """Closes the links of a process still silent after SILENCE_TIMEOUT_S."""
        for link in self._links_of(sim):
            self.call_later(
                SILENCE_TIMEOUT_S,
                functools.partial(self._close_if_silent, link),
            )

    def redial(self, sim: sim_host.SimHost) -> None:
        """Lets a process dial all other hosts after REDIAL_DELAY_S."""
        for other in list(self.hosts.values()):
            if other is not sim:
                dial = functools.partial(self._dial, sim, other)
                self.call_later(REDIAL_DELAY_S, dial)

    def send(
        self,
        sender: sim_host.SimHost,
        to: ids.HostId,
        message: messages.Message,
    ) -> None:
        """Sends a message over a link; without a link the message is lost."""
        link = self._links.get(frozenset((sender.entry.host, to)))
        if link is None or not link.up or sender not in link.ends:
            return
        receiver = link.ends[link.ends[0] is sender]
        event = events.PeerSaid(sender.entry.host, message)
        self.call_later(
            NETWORK_LATENCY_S, lambda: self._deliver(link, receiver, event)
        )

    def connect(self, attempt: fakes.Attempt) -> None:
        """Sends a request to its upstream and schedules the timeout."""
        sim, start = attempt.host, attempt.start
        upstream = self.upstreams[start.upstream]
        if self.is_cut(sim.entry.host, start.upstream):
            wait = min(CONNECT_TIMEOUT_S, max(start.deadline - sim.clock, 0))
            outcome = model.AttemptOutcome.NOTHING_SENT
            self.call_later(wait, functools.partial(attempt.end, outcome))
            return
        due = max(start.deadline - sim.clock_offset_s, self.now)
        timeout = model.AttemptOutcome.TIMED_OUT
        self.call_at(due, functools.partial(attempt.end, timeout))
        self.call_later(
            NETWORK_LATENCY_S, functools.partial(self._serve, upstream, attempt)
        )

    def store_call(
        self,
        sim: sim_host.SimHost,
        call: ids.StoreCallId,
        effect: Callable[[], events.Event],
        *,
        writes: bool = False,
    ) -> None:
        """Sends a request to the store, subject to its faults.

        Args:
            sim: The process that sends the request.
            call: The id of the request.
            effect: Applies the request to the table and returns the response.
            writes: Whether the request writes.
        """
        mode, name = self.store.mode, sim.entry.host
        failed = events.StoreFailed(
            call, uncertain=mode is not fakes.StoreMode.DOWN
        )
        fail = functools.partial(sim.deliver, failed)
        if (
            self.is_cut(name, PLATFORM)
            or mode is fakes.StoreMode.LOSES_REQUESTS
        ):
            self.call_later(STORE_TIMEOUT_S, fail)
            return
        if mode is fakes.StoreMode.DOWN:
            self.call_later(NETWORK_LATENCY_S, fail)
            return
        lost = mode is fakes.StoreMode.LOSES_RESPONSES
        lost |= mode is fakes.StoreMode.LOSES_ACKS and writes
        lost |= mode is fakes.StoreMode.FLAKY and self.rng.random() < 0.5
        one_way = (
            self.store.response_time_s / 2
            if mode is fakes.StoreMode.SLOW
            else NETWORK_LATENCY_S
        )
        late = 2 * one_way > STORE_TIMEOUT_S

        def arrive() -> None:
            event = effect()
            if not lost and not late:
                self.call_later(one_way, functools.partial(sim.deliver, event))

        self.call_later(one_way, arrive)
        if lost or late:
            self.call_later(STORE_TIMEOUT_S, fail)

    def check_config_reply(
        self, call: fakes.Call, reply: actions.ReplyConfig
    ) -> None:
        """Checks that all hosts except the lagging hosts have the version."""
        assert call.config is not None
        workspace, version = call.config.workspace, call.config.version
        if not reply.lagging:
            known = self._versions_in_force.get(workspace, 0)
            self._versions_in_force[workspace] = max(known, version)
        for sim in self.hosts.values():
            if not sim.alive or sim.entry.host in reply.lagging:
                continue
            self._check_version(sim, workspace, version)

    def check_versions(self) -> None:
        """Checks that ready hosts have all versions reported as in force."""
        for sim in self.hosts.values():
            for workspace, version in self._versions_in_force.items():
                if sim.alive and not sim.paused and sim.core.ready:
                    self._check_version(sim, workspace, version)

    def _check_version(
        self, sim: sim_host.SimHost, workspace: ids.WorkspaceId, version: int
    ) -> None:
        found = sim.core.configs.get(workspace)
        have = found.version if found else 0
        serving = sim.core.ready or sim.paused
        if serving and have < version:
            self.record_violation(
                f"version {version} of {workspace} was told in force, but "
                f"{sim} has {have}"
            )

    def _serve(self, upstream: fakes.Upstream, attempt: fakes.Attempt) -> None:
        mode = upstream.mode
        refusals = {
            fakes.UpstreamMode.REFUSES: model.AttemptOutcome.CONNECT_REFUSED,
            fakes.UpstreamMode.LEAVING: model.AttemptOutcome.REFUSED_LEAVING,
            fakes.UpstreamMode.FULL: model.AttemptOutcome.REFUSED_FULL,
        }
        if upstream.running >= upstream.entry.slots:
            mode = fakes.UpstreamMode.FULL
        if mode in refusals:
            end = functools.partial(attempt.end, refusals[mode])
            self._send_response(upstream, attempt, end, NETWORK_LATENCY_S)
            return
        if mode is fakes.UpstreamMode.IGNORES_REQUESTS:
            return
        self._record_start(upstream, attempt)
        upstream.running += 1
        running = sum(each.running for each in self.upstreams.values())
        self.peak_running = max(self.peak_running, running)
        self.call_later(
            upstream.run_time_s, lambda: self._release_slot(upstream)
        )
        answers = {
            fakes.UpstreamMode.FAILS: model.AttemptOutcome.TASK_FAILED,
            fakes.UpstreamMode.BREAKS_OFF: model.AttemptOutcome.BROKE_OFF,
        }
        if mode in answers:
            end = functools.partial(attempt.end, answers[mode])
            self._send_response(upstream, attempt, end, NETWORK_LATENCY_S)
        elif mode is not fakes.UpstreamMode.NEVER_ANSWERS:
            end = self._make_answer(mode, attempt)
            self._send_response(upstream, attempt, end, upstream.run_time_s)

    def _make_answer(
        self, mode: fakes.UpstreamMode, attempt: fakes.Attempt
    ) -> Callable[[], None]:
        start = attempt.start
        submission, index, body = (
            start.submission,
            start.task_index,
            start.payload,
        )
        others = [s for s in self.starts if s.submission != submission]
        # A result with the same task index is harder to detect as wrong.
        others.sort(key=lambda s: (s.task_index == index, s.started_at))
        other = others[-1] if others else None
        if mode is fakes.UpstreamMode.ANSWERS_OTHER_TASK and other:
            submission, index = other.submission, other.task_index
            body = other.payload
        elif mode is fakes.UpstreamMode.ANSWERS_OTHER_TASK:
            index, body = index + 1, b'"of nobody"'

        def end() -> None:
            ended = functools.partial(
                events.AttemptEnded,
                body=fakes.expected_result(body),
                submission=submission,
                task_index=index,
            )
            outcome = model.AttemptOutcome.ANSWERED
            was_open, attempt.open = attempt.open, False
            attempt.host.attempts.pop(start.attempt, None)
            if was_open:
                attempt.host.deliver(ended(start.attempt, outcome))
            if mode is fakes.UpstreamMode.ANSWERS_TWICE:
                attempt.host.deliver(ended(start.attempt, outcome))

        return end

    def _send_response(
        self,
        upstream: fakes.Upstream,
        attempt: fakes.Attempt,
        end: Callable[[], None],
        delay_s: float,
    ) -> None:
        def arrive() -> None:
            if not self.is_cut(
                attempt.host.entry.host, upstream.entry.upstream
            ):
                end()

        self.call_later(delay_s, arrive)

    def _record_start(
        self, upstream: fakes.Upstream, attempt: fakes.Attempt
    ) -> None:
        start = attempt.start
        name = upstream.entry.upstream
        task = (start.submission, start.task_index)
        first = self._first_start_by_payload.get(
            start.payload
        ) or self._first_start_by_task.get(task)
        if first is not None:
            self.record_violation(
                f"task {start.task_index} of {start.submission} started "
                f"again by {attempt.host}, first by {first.host}"
            )
        leaving_since = upstream.leaving_since
        if (
            leaving_since is not None
            and self.now > leaving_since + LEAVING_GRACE_S
        ):
            self.record_violation(
                f"{name} got new work from {attempt.host}, leaving"
            )
        started = fakes.Start(
            self.now,
            name,
            attempt.host.entry.host,
            start.submission,
            start.task_index,
            start.payload,
        )
        self.starts.append(started)
        self._first_start_by_payload.setdefault(start.payload, started)
        self._first_start_by_task.setdefault(task, started)

    def _release_slot(self, upstream: fakes.Upstream) -> None:
        upstream.running -= 1

    def _deliver(
        self,
        link: fakes.Link,
        receiver: sim_host.SimHost,
        event: events.PeerSaid,
    ) -> None:
        if not link.up:
            return
        if self.is_cut(*(end.entry.host for end in link.ends)):
            link.backlog.append(lambda: self._deliver(link, receiver, event))
            return
        receiver.deliver(event)

    def _links_of(self, sim: sim_host.SimHost) -> list[fakes.Link]:
        return [link for link in self._links.values() if sim in link.ends]

    def _close_if_silent(self, link: fakes.Link) -> None:
        names = [end.entry.host for end in link.ends]
        silent = any(not end.alive or end.paused for end in link.ends)
        if silent or self.is_cut(*names):
            self._close(link)

    def _close(self, link: fakes.Link) -> None:
        if not link.up:
            return
        link.up = False
        one, other = link.ends
        one.deliver(events.PeerDown(other.entry.host))
        other.deliver(events.PeerDown(one.entry.host))

    def _dial(self, one: sim_host.SimHost, other: sim_host.SimHost) -> None:
        names = frozenset((one.entry.host, other.entry.host))
        known = self._links.get(names)
        able = all(end.alive and not end.paused for end in (one, other))
        if not able or names in self._cut_pairs:
            return
        if known and known.up and {one, other} == set(known.ends):
            return
        if known:
            self._close(known)
        self._links[names] = fakes.Link((one, other))
        for end, peer in ((one, other.entry), (other, one.entry)):
            up = events.PeerUp(peer.host, peer.domain, peer.incarnation)
            end.deliver(up)

    def _send_heartbeats(self, sim: sim_host.SimHost) -> None:
        if not sim.alive:
            return
        if not sim.paused:
            heartbeat = sim.core.heartbeat()
            for link in self._links_of(sim):
                peer = link.ends[link.ends[0] is sim]
                self.send(sim, peer.entry.host, heartbeat)
        self.call_later(
            HEARTBEAT_INTERVAL_S, functools.partial(self._send_heartbeats, sim)
        )

    def _list_host(self, sim: sim_host.SimHost) -> None:
        if sim.alive:
            self._listed_hosts[sim.entry.host] = sim.entry
            self._record_directory()

    def _unlist_if_cut(self, sim: sim_host.SimHost) -> None:
        if self.is_cut(sim.entry.host, PLATFORM):
            self._unlist_host(sim)

    def _unlist_host(self, sim: sim_host.SimHost) -> None:
        if self._listed_hosts.get(sim.entry.host) == sim.entry:
            del self._listed_hosts[sim.entry.host]
            self._record_directory()

    def _record_directory(self) -> None:
        directory = model.Directory(
            tuple(self._listed_hosts.values()),
            tuple(upstream.entry for upstream in self.upstreams.values()),
        )
        self._directories.append((self.now, directory))

    def _poll(self, sim: sim_host.SimHost) -> None:
        if not sim.alive:
            return
        directories = [
            directory
            for time, directory in self._directories
            if time <= self.now - self.directory_lag_s
        ]
        if directories and not self.is_cut(sim.entry.host, PLATFORM):
            sim.deliver(events.DirectorySeen(directories[-1]))
        self.call_later(POLL_INTERVAL_S, functools.partial(self._poll, sim))
