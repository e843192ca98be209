"""Simulates hosts, upstreams and links for the tests of leased runs."""

import collections
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import explanation
from godwitnotch.core.leased import host as leased_host
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_batches
from godwitnotch.core.leased import peer_messages

NETWORK_LATENCY_S = 0.002
TICK_INTERVAL_S = 0.04
UPSTREAM_LIST_INTERVAL_TICKS = 15
ORDER_TIMEOUT_S = 0.15
MAX_LEASE_DURATION_MS = 1_000
SILENCE_TIMEOUT_S = 0.45
RELINK_INTERVAL_S = 0.2
CRASH_DOWN_S = 3.0
CRASH_DELAY_S = 0.005  # From the start of a deadly task until the crash.
STOP_DURATION_S = 0.04  # From a stop order until the run has ended.
SERVICE = model.ServiceName("orders")


@dataclass
class UpstreamRun:
    """A run that an upstream has started.

    Attributes:
        key: The task and the number of the run.
        started_at: When the run started.
        ends_at: When the run ends unless it hangs or is stopped.
        labels: Labels of the upstream at the start.
        ended_at: When the run ended; None while active.
        end: How the run ended; None while active.
    """

    key: model.RunKey
    started_at: float
    ends_at: float
    labels: tuple[str, ...] = ()
    ended_at: float | None = None
    end: model.RunEnd | None = None


@dataclass
class Upstream:
    """An upstream that ends its runs when the lease expires.

    Attributes:
        entry: What describes the upstream, without its instance.
        listed_entry: The entry in the upstream list, which may still describe
            the former instance; None for `entry`.
        instance_started_ms: When the process started, by its own clock; 0 if
            the upstream does not report the time.
        slowness: Factor on the run time of all tasks.
        hangs: Whether runs never end by themselves.
        fails: Whether every run fails.
        order_delay_s: Delay in seconds before orders are executed; with a delay,
            no response is sent. 0 for no delay.
        loses_responses: Whether orders are executed without a response.
        latency_s: How long an order or a response takes, in seconds.
        response_delay_s: How much longer a response takes, in seconds.
        clock_rate: Seconds that the upstream's clock counts in a second; set
            before the world runs.
        clock_offset_ms: What the upstream's clock would show at time 0.
        down_until: Until when no process listens at the address.
        term: Highest term seen in an order.
        lease_until_ms: When the lease expires.
        last_blocked_run: Highest run number that may not start, by task.
        running: Active runs by task.
        ended_runs: Ended runs that the leader has not acknowledged.
        end_numbers: Source of numbers for ended runs.
        pending_responses: Callbacks of requests that wait for a run to end.
    """

    entry: model.LeasedUpstream
    listed_entry: model.LeasedUpstream | None = None
    instance_started_ms: int = 1
    slowness: float = 1.0
    hangs: bool = False
    fails: bool = False
    order_delay_s: float = 0.0
    loses_responses: bool = False
    latency_s: float = NETWORK_LATENCY_S
    response_delay_s: float = 0.0
    clock_rate: float = 1.0
    clock_offset_ms: float = 0.0
    down_until: float = 0.0
    term: int = 0
    lease_until_ms: int = 0
    last_blocked_run: dict[model.TaskKey, int] = field(default_factory=dict)
    running: dict[model.TaskKey, UpstreamRun] = field(default_factory=dict)
    ended_runs: list[model.EndedRun] = field(default_factory=list)
    end_numbers: itertools.count = field(
        default_factory=lambda: itertools.count(1)
    )
    pending_responses: list[Callable[[], None]] = field(default_factory=list)

    @property
    def current_entry(self) -> model.LeasedUpstream:
        """The entry that describes this instance."""
        return msgspec.structs.replace(
            self.entry, instance_started_ms=self.instance_started_ms
        )

    def clock_ms(self, now: float) -> int:
        """Returns what the upstream's clock shows."""
        return round(self.clock_offset_ms + now * 1_000 * self.clock_rate)

    def time_at(self, clock_ms: int) -> float:
        """Returns when the upstream's clock shows a time."""
        return (clock_ms - self.clock_offset_ms) / 1_000 / self.clock_rate


@dataclass(frozen=True)
class Crash:
    """A task has crashed an upstream.

    Attributes:
        at: When.
        upstream: The upstream.
        task: The task.
        neighbours: The other tasks that ran there.
    """

    at: float
    upstream: str
    task: model.TaskKey
    neighbours: set[model.TaskKey]


class World:
    """Runs hosts and upstreams on a virtual clock, without randomness.

    Args:
        hosts: Ids of hosts by failure domain.
        upstreams: Number of upstreams in each failure domain.
        runs_per_s: How many runs a second each host can order as a leader.
        racks: How much longer tasks take away from the rack of their data.

    Attributes:
        now: Current time, in seconds.
        hosts: The latest process of each host.
        domains: Failure domain of each host.
        dead: Hosts whose process has ended.
        paused_until: Until when the process of a host is paused.
        pauses: Host and end of each pause so far.
        stalled: Events that wait for a stalled host, by host.
        unlisted: Upstreams that are missing from the upstream list.
        hosts_without_store: Hosts that cannot read the store.
        cold_until: Until when the entries of upstreams call them cold.
        store_down: Whether no host can read the operators' rows.
        store_version: Version of the store.
        evacuated: The failure domains that the operators evacuate.
        cut_pairs: Pairs of hosts and upstreams that cannot reach each other.
        unconnected_pairs: Pairs of these without an open connection: a call
            has timed out, so that the next one has to connect first.
        known_lives: Start time of the upstream's process that a host's
            connections lead to, by the pair of both; 0 if not known.
        links: Pairs of hosts whose link is open.
        link_openings: How often the link of a pair has opened.
        lost_messages: Sender and receiver of messages that don't arrive: a cut
            one way, which the receiver alone could notice.
        relay_delays: How much later a relay sends the orders of a leader.
        relayed_orders: Time, relay and action of each order that a relay has
            sent.
        upstreams: Upstreams by id.
        orders: Time and action of each order that a host has sent.
        answers: Time and answer of each answered call.
        cancels: Time of each answered cancel, and whether it was taken.
        reports: The report of each call that asked for one.
        decisions: Time, host and action of each decision.
        started_runs: All runs that were started, each with its upstream.
        run_time_ms: Run time of new runs at an upstream of slowness 1.
        target_ms: What jobs may take beyond 1.6 times their run time.
        racks: How much longer tasks take away from the rack of their data.
        preferred_racks: The racks that jobs have named.
        deadly_tasks: Tasks that crash each upstream that starts them.
        crashes: All such crashes.
    """

    def __init__(
        self,
        hosts: dict[str, list[str]],
        *,
        upstreams: int = 2,
        runs_per_s: float = float("inf"),
        racks: locality.Racks = locality.DEFAULT_RACKS,
    ) -> None:
        self.now = 100.0
        self.hosts: dict[str, leased_host.LeasedHost] = {}
        self.domains: dict[str, str] = {}
        self.dead: set[str] = set()
        self.paused_until: dict[str, float] = {}
        self.pauses: list[tuple[str, float]] = []
        self.stalled: dict[str, list[events.Event]] = {}
        self.unlisted: frozenset[str] = frozenset()
        self.hosts_without_store: set[str] = set()
        self.cold_until: dict[str, float] = {}
        self.store_down = False
        self.store_version = 1
        self.evacuated: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.unconnected_pairs: set[frozenset[str]] = set()
        self.known_lives: dict[frozenset[str], int] = {}
        self.links: set[frozenset[str]] = set()
        self.link_openings: collections.Counter[frozenset[str]] = (
            collections.Counter()
        )
        self.lost_messages: set[tuple[str, str]] = set()
        self.relay_delays: dict[str, float] = {}
        self.relayed_orders: list[tuple[float, str, actions.Order]] = []
        self.upstreams: dict[str, Upstream] = {}
        self.orders: list[tuple[float, actions.Action]] = []
        self.answers: dict[int, tuple[float, model.Answer]] = {}
        self.cancels: dict[int, tuple[float, bool]] = {}
        self.reports: dict[int, explanation.JobReport | None] = {}
        self.decisions: list[tuple[float, str, actions.Decided]] = []
        self.started_runs: list[tuple[str, UpstreamRun]] = []
        self.run_time_ms = 100.0
        self.target_ms = 60.0
        self.racks = racks
        self.preferred_racks: dict[model.JobName, str] = {}
        self.deadly_tasks: set[model.TaskKey] = set()
        self.crashes: list[Crash] = []
        self._runs_per_s = runs_per_s
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._call_ids = itertools.count(1)
        for domain, names in hosts.items():
            for number in range(upstreams):
                self.add_upstream(domain, f"{domain}-u{number}")
            for name in names:
                self.domains[name] = domain
        for rank, name in enumerate(sorted(self.domains, reverse=True)):
            self.start_host(name, rank=rank)
        self._relink_periodically()

    def start_host(self, name: str, *, rank: int = 0) -> None:
        """Starts a host process without any state."""
        self.dead.discard(name)
        self.stalled.pop(name, None)
        core = leased_host.LeasedHost(
            host=ids.HostId(name),
            domain=ids.DomainId(self.domains[name]),
            rank=rank,
            unix_time=lambda: 1_000.0 + self.now,
            now=self.now,
            runs_per_s=self._runs_per_s,
            racks=self.racks,
        )
        self.hosts[name] = core
        self.read_evacuations(name)
        self.list_upstreams(name)
        self._tick(name, core)

    def read_evacuations(self, name: str) -> None:
        """Delivers the evacuated domains to a host that can read the store."""
        if not self.store_down and name not in self.hosts_without_store:
            told = peer_messages.DomainsEvacuated(
                self.store_version,
                frozenset(map(ids.DomainId, self.evacuated)),
            )
            self.deliver(name, events.EvacuationsRead(told))

    def evacuate(self, *domains: str) -> None:
        """Sets the evacuated domains; hosts read them after a latency."""
        self.evacuated = set(domains)
        self.store_version += 1
        for name, core in self.hosts.items():
            self.call_later(
                NETWORK_LATENCY_S,
                lambda name=name, core=core: self._read_if_same(name, core),
            )

    def _read_if_same(self, name: str, core: leased_host.LeasedHost) -> None:
        if self.hosts.get(name) is core:
            self.read_evacuations(name)

    def kill(self, name: str) -> None:
        """Ends a host's process; its links break at once."""
        self.dead.add(name)
        for pair in [pair for pair in self.links if name in pair]:
            self._close_link(pair)

    def restart_upstream(
        self,
        upstream_id: str,
        *,
        labels: tuple[str, ...] = (),
        listed_after_s: float = 0.0,
    ) -> None:
        """Restarts an upstream under its id; its state is lost.

        Args:
            upstream_id: The upstream.
            labels: Its labels from now on; empty for those that it had.
            listed_after_s: When the list describes the new instance.
        """
        upstream = self.upstreams[upstream_id]
        upstream.listed_entry = upstream.current_entry
        if labels:
            upstream.entry = msgspec.structs.replace(
                upstream.entry, labels=labels
            )
        self.call_later(
            listed_after_s, lambda: setattr(upstream, "listed_entry", None)
        )
        for run in tuple(upstream.running.values()):
            self._end_run(upstream, run, model.RunEnd.LOST)
        upstream.ended_runs.clear()
        upstream.last_blocked_run.clear()
        upstream.end_numbers = itertools.count(1)
        upstream.term = 0
        upstream.lease_until_ms = 0
        upstream.instance_started_ms += 1

    def crash_upstream(self, upstream_id: str) -> None:
        """Ends an upstream's process; it starts again after CRASH_DOWN_S."""
        upstream = self.upstreams[upstream_id]
        upstream.pending_responses.clear()
        self.restart_upstream(upstream_id)
        upstream.down_until = self.now + CRASH_DOWN_S

    def reset_link(self, one: str, other: str) -> None:
        """Resets a link, which opens again after 60 ms."""
        pair = frozenset((one, other))
        if pair in self.links:
            self._close_link(pair)
            if pair not in self.cut_pairs:
                self.call_later(0.06, lambda: self._open_link(pair))

    def pause(self, name: str, duration_s: float) -> None:
        """Pauses a host process; events for the host wait until it resumes."""
        until = max(self.now + duration_s, self.paused_until.get(name, 0.0))
        self.paused_until[name] = until
        self.pauses.append((name, until))
        for pair in [pair for pair in self.links if name in pair]:
            other = next(iter(pair - {name}))
            self.call_later(
                SILENCE_TIMEOUT_S,
                lambda o=other: self._close_silent_link(o, name),
            )

    def _close_silent_link(self, host: str, paused_host: str) -> None:
        if self.now < self.paused_until.get(paused_host, 0.0):
            pair = frozenset((host, paused_host))
            if pair in self.links:
                self._close_link(pair)
                left_s = self.paused_until[paused_host] - self.now
                self.call_later(left_s + 0.06, lambda: self._open_link(pair))

    def stall(self, name: str, duration_s: float, *, tick_first: bool) -> None:
        """Stalls a host process, as if its event loop got no processor.

        The timer of the tick falls due once, whatever the duration. On the
        event loop it fires before the responses that wait in sockets reach
        the host core, unless the process stalled while it handled them.

        Args:
            name: The host.
            duration_s: How long the process does nothing.
            tick_first: Whether the tick comes before the waiting events.
        """
        core = self.hosts[name]
        waiting: list[events.Event] = []
        self.stalled[name] = waiting
        for pair in [pair for pair in self.links if name in pair]:
            self.call_later(
                SILENCE_TIMEOUT_S,
                lambda pair=pair: self._close_stalled_link(pair, name, core),
            )
        self.call_later(
            duration_s, lambda: self._end_stall(name, waiting, tick_first)
        )

    def _close_stalled_link(
        self, pair: frozenset[str], name: str, core: leased_host.LeasedHost
    ) -> None:
        if name in self.stalled and self.hosts.get(name) is core:
            self._close_link(pair)

    def _end_stall(
        self, name: str, waiting: list[events.Event], tick_first: bool
    ) -> None:
        if self.stalled.get(name) is not waiting:
            return
        del self.stalled[name]
        due = [
            event for event in waiting if not isinstance(event, events.Ticked)
        ]
        due.insert(0 if tick_first else len(due), events.Ticked())
        for event in due:
            self.deliver(name, event)

    def partition(self, first: set[str], second: set[str]) -> None:
        """Cuts hosts off from hosts and upstreams.

        Links between them are closed after SILENCE_TIMEOUT_S.
        """
        for one in first:
            for other in second:
                pair = frozenset((one, other))
                self.cut_pairs.add(pair)
                if pair in self.links:
                    self.call_later(
                        SILENCE_TIMEOUT_S,
                        lambda pair=pair: self._close_cut_link(pair),
                    )

    def _close_cut_link(self, pair: frozenset[str]) -> None:
        if pair in self.cut_pairs:
            self._close_link(pair)

    def _relink_periodically(self) -> None:
        """Reopens broken links at intervals, as hosts that dial again do."""
        self.link_all()
        self.call_later(RELINK_INTERVAL_S, self._relink_periodically)

    def heal(self, *, gap_s: float = 0.0) -> None:
        """Ends all cuts and reopens the links one by one, `gap_s` apart."""
        self.cut_pairs.clear()
        for number, pair in enumerate(self._missing_links()):
            self.call_later(
                number * gap_s, lambda pair=pair: self._open_link(pair)
            )

    def link_all(self) -> None:
        """Opens the links between all hosts that can reach each other."""
        for pair in self._missing_links():
            self._open_link(pair)

    def _missing_links(self) -> list[frozenset[str]]:
        pairs = map(frozenset, itertools.combinations(sorted(self.hosts), 2))
        return [
            pair
            for pair in pairs
            if pair not in self.links
            and pair not in self.cut_pairs
            and not pair & self.dead
            and not any(self.now < self.paused_until.get(n, 0.0) for n in pair)
            and not pair & self.stalled.keys()
        ]

    def _open_link(self, pair: frozenset[str]) -> None:
        if pair in self.links or pair & self.dead or pair in self.cut_pairs:
            return
        self.links.add(pair)
        self.link_openings[pair] += 1
        one, other = sorted(pair)
        self._report_link(one, other)
        self._report_link(other, one)

    def list_upstreams(
        self, name: str, *, without: frozenset[str] = frozenset()
    ) -> None:
        """Delivers the upstream list to a host."""
        listed = tuple(
            upstream.listed_entry or upstream.current_entry
            for upstream_id, upstream in self.upstreams.items()
            if upstream_id not in without
        )
        cold = {
            ids.UpstreamId(upstream_id): remaining_ms
            for upstream_id, until in self.cold_until.items()
            if (remaining_ms := round((until - self.now) * 1_000)) > 0
        }
        self.deliver(name, events.UpstreamsListed(listed, (), cold))

    def cancel(self, name: str, job: str) -> int:
        """Cancels a job at a host; returns the id of the call."""
        call = ids.CallId(next(self._call_ids))
        cancel = events.CancelAsked(call, model.JobName(job))
        self.deliver(name, cancel)
        return call

    def submit(
        self,
        name: str,
        job: str,
        *,
        tasks: int = 1,
        wait_s: float = 2.0,
        rack: str = "",
        label: str = "",
    ) -> int:
        """Submits a job at a host; returns the id of the call."""
        call = next(self._call_ids)
        self.preferred_racks[model.JobName(job)] = rack
        self.deliver(
            name,
            events.JobAsked(
                ids.CallId(call),
                request(
                    job,
                    tasks,
                    estimate_ms=self.run_time_ms,
                    target_ms=self.target_ms,
                    rack=rack,
                    label=label,
                ),
                self.now + wait_s,
            ),
        )
        return call

    def deliver(self, name: str, event: events.Event) -> None:
        """Delivers an event to a host and executes the resulting actions."""
        if name in self.dead:
            return
        if name in self.stalled:
            self.stalled[name].append(event)
            return
        if self.now < self.paused_until.get(name, 0.0):
            core = self.hosts[name]
            resume_in_s = self.paused_until[name] - self.now
            self.call_later(
                resume_in_s, lambda: self._deliver_later(name, core, event)
            )
            return
        core = self.hosts[name]
        for action in core.handle(event, now=self.now):
            self._execute_action(name, core, action)

    def _deliver_later(
        self, name: str, core: leased_host.LeasedHost, event: events.Event
    ) -> None:
        if self.hosts.get(name) is core:
            self.deliver(name, event)

    def run(self, duration_s: float) -> None:
        """Advances the clock and runs all callbacks that fall due."""
        end = self.now + duration_s
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Calls a function after a delay."""
        due = self.now + delay_s
        heapq.heappush(self._queue, (due, next(self._sequence), callback))

    def leaders(self) -> list[str]:
        """Returns the live hosts that lead."""
        return [
            name
            for name, core in self.hosts.items()
            if core.leads and name not in self.dead
        ]

    def overlaps(self) -> list[str]:
        """Returns the tasks that had two active runs at the same time."""
        found = []
        by_task: dict[model.TaskKey, list[UpstreamRun]] = {}
        for _, started in self.started_runs:
            by_task.setdefault(started.key.task, []).append(started)
        for key, runs in by_task.items():
            for one, other in itertools.combinations(runs, 2):
                one_end = one.ended_at if one.ended_at else float("inf")
                other_end = other.ended_at if other.ended_at else float("inf")
                if one.started_at < other_end and other.started_at < one_end:
                    found.append(f"{key.job}.{key.index}")
        return found

    def start_count(self, job: str) -> int:
        """Returns the number of runs that were started for a job."""
        return sum(run.key.task.job == job for _, run in self.started_runs)

    def add_upstream(self, domain: str, name: str) -> None:
        self.upstreams[name] = Upstream(
            model.LeasedUpstream(
                upstream=ids.UpstreamId(name),
                address=f"{name}:1",
                domain=ids.DomainId(domain),
                service=SERVICE,
                slots=8,
                capacity=model.Resources(2_000, 1_000, 0),
                labels=("a", f"rack-{domain}"),
                draining=False,
            )
        )

    def _tick(self, name: str, core: leased_host.LeasedHost) -> None:
        if self.hosts.get(name) is core and name not in self.dead:
            self.deliver(name, events.Ticked())
            self.call_later(TICK_INTERVAL_S, lambda: self._tick(name, core))
            due = (
                round(self.now / TICK_INTERVAL_S) % UPSTREAM_LIST_INTERVAL_TICKS
                == 0
            )
            if (
                core.lists_upstreams
                and due
                and name not in self.hosts_without_store
                and name not in self.stalled
            ):
                self.list_upstreams(name, without=self.unlisted)

    def _report_link(self, name: str, other: str) -> None:
        event = events.PeerLinked(
            ids.HostId(other), ids.DomainId(self.domains[other])
        )
        self.call_later(0.0, lambda: self.deliver(name, event))

    def _close_link(self, pair: frozenset[str]) -> None:
        if pair not in self.links:
            return
        self.links.discard(pair)
        one, other = sorted(pair)
        self.deliver(one, events.PeerLost(ids.HostId(other)))
        self.deliver(other, events.PeerLost(ids.HostId(one)))

    def _execute_action(
        self, name: str, core: leased_host.LeasedHost, action: actions.Action
    ) -> None:
        match action:
            case actions.AnswerCaller(call=call, answer=answer):
                assert call not in self.answers, "answered twice"
                self.answers[call] = (self.now, answer)
            case actions.ReportJob(call=call, report=report):
                self.reports[call] = report
            case actions.ReadUpstreams():
                if name not in self.hosts_without_store:
                    self.call_later(
                        NETWORK_LATENCY_S,
                        lambda: self.list_upstreams(
                            name, without=self.unlisted
                        ),
                    )
            case actions.AnswerCancel(call=call, taken=taken):
                assert call not in self.cancels, "answered twice"
                self.cancels[call] = (self.now, taken)
            case actions.Decided():
                self.decisions.append((self.now, name, action))
            case actions.TellPeer(host=host, message=message):
                pair = frozenset((name, host))
                if (name, host) in self.lost_messages:
                    return
                if pair in self.links and pair not in self.cut_pairs:
                    event = events.PeerTold(ids.HostId(name), message)
                    self.call_later(
                        NETWORK_LATENCY_S,
                        lambda: self._deliver_message(pair, host, event),
                    )
            case actions.RelayOrder(relay=relay, order=order):
                message = order_batches.pack_orders(order.term, [order])
                told = actions.TellPeer(relay, message)
                self._execute_action(name, core, told)
            case actions.SendForLeader():
                self._send_for_leader(name, core, action)
            case _:
                self._send_order(name, core, action)

    def _send_for_leader(
        self,
        name: str,
        core: leased_host.LeasedHost,
        action: actions.SendForLeader,
    ) -> None:
        """Lets a relay send orders, and the results on the same link."""
        pair = frozenset((name, action.leader))
        opening = self.link_openings[pair]

        def report(event: events.Event) -> None:
            if self.link_openings[pair] != opening or pair not in self.links:
                return
            if self.now < self.paused_until.get(name, 0.0):
                resume_in_s = self.paused_until[name] - self.now
                self.call_later(resume_in_s, lambda: report(event))
                return
            results = order_batches.pack_results(action.term, [event])
            told = actions.TellPeer(action.leader, results)
            self._execute_action(name, core, told)

        def send(order: actions.Order) -> None:
            if self.hosts.get(name) is not core or name in self.dead:
                return
            if self.now < self.paused_until.get(name, 0.0):
                resume_in_s = self.paused_until[name] - self.now
                self.call_later(resume_in_s, lambda: send(order))
                return
            self.relayed_orders.append((self.now, name, order))
            self._send_order(name, core, order, report=report)

        for order in action.orders:
            delay_s = self.relay_delays.get(name, 0.0)
            if delay_s:
                self.call_later(delay_s, lambda order=order: send(order))
            else:
                send(order)

    def _deliver_message(
        self, pair: frozenset[str], host: str, event: events.PeerTold
    ) -> None:
        if pair in self.links and pair not in self.cut_pairs:
            self.deliver(host, event)

    def _send_order(self, name: str, core, action, *, report=None) -> None:
        """Sends an order; `report` takes the result in place of the host."""
        upstream = self.upstreams[action.upstream.upstream]
        self.orders.append((self.now, action))
        pair = frozenset((name, upstream.entry.upstream))
        self.unconnected_pairs &= self.cut_pairs
        connected = pair not in self.unconnected_pairs
        state = {"responded": False}

        def respond(event: events.Event) -> None:
            if state["responded"] or self.hosts.get(name) is not core:
                return
            state["responded"] = True
            if report is not None:
                report(event)
            else:
                self.deliver(name, event)

        def arrive() -> None:
            if pair in self.cut_pairs:
                return
            if not self._reaches_expected_life(pair, upstream, action):
                respond(self._not_meant_for(pair, upstream, action))
                return
            if self.now < upstream.down_until:
                respond(_not_sent(action, model.CallFailure.REFUSED))
                return
            if upstream.loses_responses:
                self._execute_order(upstream, action, lambda _: None)
                return
            if upstream.order_delay_s:
                self.call_later(
                    upstream.order_delay_s,
                    lambda: self._execute_order(
                        upstream, action, lambda _: None
                    ),
                )
                return
            self._execute_order(
                upstream,
                action,
                lambda event: self.call_later(
                    upstream.latency_s + upstream.response_delay_s,
                    lambda: respond(event),
                ),
            )

        self.call_later(upstream.latency_s, arrive)
        wait_s = getattr(action, "wait_ms", 0) / 1_000

        def time_out() -> None:
            if pair in self.cut_pairs and not state["responded"]:
                self.unconnected_pairs.add(pair)
            respond(events.OrderUnanswered(action.call))

        if connected:
            self.call_later(ORDER_TIMEOUT_S + wait_s, time_out)
        else:
            failure = model.CallFailure.NOT_CONNECTED
            self.call_later(
                ORDER_TIMEOUT_S, lambda: respond(_not_sent(action, failure))
            )

    def _reaches_expected_life(
        self, pair: frozenset[str], upstream: Upstream, action
    ) -> bool:
        """Returns whether an order client's connection leads to the life.

        A connection ends with the upstream's process. On a new one, the client
        first asks for the list of runs.
        """
        expected = getattr(action, "instance_started_ms", 0)
        life = upstream.instance_started_ms
        if not expected or not life or self.now < upstream.down_until:
            return True
        if self.known_lives.get(pair) != life:
            responds = not upstream.order_delay_s
            self.known_lives[pair] = life if responds else 0
        return self.known_lives[pair] == expected

    def _not_meant_for(
        self, pair: frozenset[str], upstream: Upstream, action
    ) -> events.Event:
        """Returns the result of an order that a client has not sent."""
        if not self.known_lives[pair]:
            return _not_sent(action, model.CallFailure.NOT_CONNECTED)
        if isinstance(action, actions.StartRun):
            return events.OrderRejected(
                action.call, model.OrderRejection.RESTARTED
            )
        return events.RunsListed(action.call, self._list(upstream))

    def _list(self, upstream: Upstream) -> model.RunList:
        return model.RunList(
            upstream.clock_ms(self.now),
            upstream.instance_started_ms,
            tuple(run.key for run in upstream.running.values()),
            tuple(upstream.ended_runs),
        )

    def _execute_order(self, upstream: Upstream, action, reply) -> None:
        if action.term < upstream.term:
            rejection = model.OrderRejection.TERM
            reply(events.OrderRejected(action.call, rejection))
            return
        upstream.term = action.term
        match action:
            case actions.StartRun():
                self._start(upstream, action, reply)
            case actions.StopRun():
                task = action.key.task
                upstream.last_blocked_run[task] = max(
                    upstream.last_blocked_run.get(task, 0), action.key.run
                )
                running = upstream.running.get(task)
                if running is not None and running.key.run <= action.key.run:
                    end = model.RunEnd.STOPPED
                    self.call_later(
                        STOP_DURATION_S,
                        lambda: self._end_run(upstream, running, end),
                    )
                reply(self._order_taken(upstream, action))
            case actions.RenewLease():
                self._renew(upstream, action, reply)

    def _start(self, upstream: Upstream, action, reply) -> None:
        key = action.key
        rejection = None
        if upstream.clock_ms(self.now) > action.deadline_ms:
            rejection = model.OrderRejection.LATE
        elif key.run <= upstream.last_blocked_run.get(key.task, 0):
            rejection = model.OrderRejection.OLD_RUN
        elif len(upstream.running) >= 2:
            rejection = model.OrderRejection.FULL
        if rejection is not None:
            reply(events.OrderRejected(action.call, rejection))
            return
        self._extend(upstream, action.deadline_ms)
        run_time_s = self.run_time_ms * upstream.slowness / 1_000
        rack = self.preferred_racks.get(action.key.task.job)
        if rack and rack not in upstream.entry.labels:
            run_time_s *= self.racks.slowdown_factor
        run = UpstreamRun(
            key, self.now, self.now + run_time_s, upstream.entry.labels
        )
        upstream.running[key.task] = run
        self.started_runs.append((upstream.entry.upstream, run))
        if key.task in self.deadly_tasks:
            self.call_later(
                CRASH_DELAY_S, lambda: self._crash_by(upstream, run)
            )
        if not upstream.hangs:
            end = model.RunEnd.FAILED if upstream.fails else model.RunEnd.DONE
            self.call_later(
                run_time_s, lambda: self._end_run(upstream, run, end)
            )
        reply(self._order_taken(upstream, action))

    def _crash_by(self, upstream: Upstream, run: UpstreamRun) -> None:
        if upstream.running.get(run.key.task) is run:
            name = upstream.entry.upstream
            others = set(upstream.running) - {run.key.task}
            self.crashes.append(Crash(self.now, name, run.key.task, others))
            self.crash_upstream(name)

    def _renew(self, upstream: Upstream, action, reply) -> None:
        upstream.ended_runs = [
            ended
            for ended in upstream.ended_runs
            if ended.number > action.acknowledged_end
        ]
        if action.deadline_ms is not None:
            self._extend(upstream, action.deadline_ms)
        state = {"responded": False}
        instance = upstream.instance_started_ms

        def respond() -> None:
            crashed = upstream.instance_started_ms != instance
            if state["responded"] or crashed:
                return
            state["responded"] = True
            reply(events.RunsListed(action.call, self._list(upstream)))

        if action.wait_ms and not upstream.ended_runs:
            upstream.pending_responses.append(respond)
            self.call_later(action.wait_ms / 1_000, respond)
        else:
            respond()

    def _extend(self, upstream: Upstream, deadline_ms: int) -> None:
        max_until = upstream.clock_ms(self.now) + MAX_LEASE_DURATION_MS
        until = max(upstream.lease_until_ms, min(deadline_ms, max_until))
        upstream.lease_until_ms = until
        self.call_later(
            upstream.time_at(until + 1) - self.now,
            lambda: self._expire_runs(upstream),
        )

    def _expire_runs(self, upstream: Upstream) -> None:
        if upstream.clock_ms(self.now) <= upstream.lease_until_ms:
            return
        for run in tuple(upstream.running.values()):
            self._end_run(upstream, run, model.RunEnd.LOST)

    def _end_run(
        self, upstream: Upstream, run: UpstreamRun, end: model.RunEnd
    ) -> None:
        if upstream.running.get(run.key.task) is not run:
            return
        del upstream.running[run.key.task]
        run.ended_at = self.now
        run.end = end
        task = run.key.task
        upstream.last_blocked_run[task] = max(
            upstream.last_blocked_run.get(task, 0), run.key.run
        )
        upstream.ended_runs.append(
            model.EndedRun(next(upstream.end_numbers), run.key, end)
        )
        pending, upstream.pending_responses = upstream.pending_responses, []
        for respond in pending:
            respond()

    def _order_taken(self, upstream: Upstream, action) -> events.OrderTaken:
        # Only lists of runs state when the process started.
        return events.OrderTaken(action.call, upstream.clock_ms(self.now), 0)


def _not_sent(action, failure: model.CallFailure) -> events.Event:
    """Returns the result of an order that no connection has taken."""
    if isinstance(action, actions.StartRun):
        return events.OrderRejected(action.call, model.OrderRejection.NOT_SENT)
    return events.OrderUnanswered(action.call, failure)


def request(
    job: str,
    tasks: int = 1,
    *,
    estimate_ms: float = 100.0,
    target_ms: float = 60.0,
    rack: str = "",
    label: str = "",
) -> model.JobRequest:
    """Returns a job whose tasks need half of an upstream's processors each."""
    return model.JobRequest(
        model.JobName(job),
        "spec",
        model.TaskGroup(
            count=tasks,
            needs=model.Resources(1_000, 10, 0),
            estimate_ms=estimate_ms,
            required_label=label,
            preferred_rack=rack,
            max_per_upstream=0,
        ),
        model.RouteSettings(
            route=model.RouteName("route"),
            service=SERVICE,
            priority=0,
            max_failures=3,
            stretch=1.6,
            target_ms=target_ms,
        ),
    )
