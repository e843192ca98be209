"""Hosts, upstreams and links on a virtual clock, for tests of leased runs."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import host as host_module
from godwitnotch.core.leased import model

LATENCY_S = 0.002
TICK_S = 0.04
LIST_TICKS = 15  # A leader reads the list so often.
TIMEOUT_S = 0.15
MAX_LEASE_MS = 1_000
SILENCE_S = 0.45
RELINK_S = 0.2
STOP_S = 0.04  # An upstream takes so long to end a run.
SERVICE = model.ServiceName("orders")


@dataclass
class Started:
    """A run that an upstream has begun."""

    key: model.RunKey
    started_at: float
    ends_at: float
    ended_at: float | None = None
    end: model.RunEnd | None = None


@dataclass
class Upstream:
    """A guarded upstream with a lease on its own clock."""

    entry: model.LeasedUpstream
    instance_started_ms: int = 1
    slowness: float = 1.0
    hangs: bool = False
    fails: bool = False
    late_s: float = 0.0
    loses_answers: bool = False
    term: int = 0
    lease_until_ms: int = 0
    blocked: dict[model.TaskKey, int] = field(default_factory=dict)
    running: dict[model.TaskKey, Started] = field(default_factory=dict)
    ends: list[model.EndedRun] = field(default_factory=list)
    numbers: itertools.count = field(default_factory=lambda: itertools.count(1))
    waiting: list[Callable[[], None]] = field(default_factory=list)


class World:
    """Runs hosts against upstreams; nothing here is random.

    Args:
        hosts: Ids of hosts by failure domain.
        upstreams: How many upstreams each failure domain has.
    """

    def __init__(
        self, hosts: dict[str, list[str]], *, upstreams: int = 2
    ) -> None:
        self.now = 100.0
        self.hosts: dict[str, host_module.LeasedHost] = {}
        self.domains: dict[str, str] = {}
        self.dead: set[str] = set()
        self.frozen: dict[str, float] = {}
        self.freezes: list[tuple[str, float]] = []
        self.unlisted: frozenset[str] = frozenset()
        self.without_store: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.links: set[frozenset[str]] = set()
        self.upstreams: dict[str, Upstream] = {}
        self.answers: dict[int, tuple[float, model.Answer]] = {}
        self.decided: list[tuple[float, str, actions.Decided]] = []
        self.history: list[tuple[str, Started]] = []
        self.work_ms = 100.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._calls = itertools.count(1)
        for domain, names in hosts.items():
            for number in range(upstreams):
                self._add_upstream(domain, f"{domain}-u{number}")
            for name in names:
                self.domains[name] = domain
        for rank, name in enumerate(sorted(self.domains, reverse=True)):
            self.boot(name, rank=rank)
        self._relink()

    def boot(self, name: str, *, rank: int = 0) -> None:
        """Starts a host that knows nothing."""
        self.dead.discard(name)
        core = host_module.LeasedHost(
            host=ids.HostId(name),
            domain=ids.DomainId(self.domains[name]),
            rank=rank,
            unix_time=lambda: 1_000.0 + self.now,
            now=self.now,
        )
        self.hosts[name] = core
        self.list_upstreams(name)
        self._tick(name, core)

    def kill(self, name: str) -> None:
        """Ends a host's process; its links break at once."""
        self.dead.add(name)
        for pair in [pair for pair in self.links if name in pair]:
            self._unlink(pair)

    def crash_upstream(self, key: str) -> None:
        """Restarts an upstream under its id; it knows nothing of before."""
        upstream = self.upstreams[key]
        for run in tuple(upstream.running.values()):
            self._end(upstream, run, model.RunEnd.LOST)
        upstream.ends.clear()
        upstream.blocked.clear()
        upstream.numbers = itertools.count(1)
        upstream.term = 0
        upstream.lease_until_ms = 0
        upstream.instance_started_ms += 1

    def break_link(self, one: str, other: str) -> None:
        """Resets a link, which opens again soon."""
        pair = frozenset((one, other))
        if pair in self.links:
            self._unlink(pair)
            if pair not in self.cut:
                self.at(0.06, lambda: self._link(pair))

    def freeze(self, name: str, seconds: float) -> None:
        """Lets a host stand still; what comes for it waits."""
        until = max(self.now + seconds, self.frozen.get(name, 0.0))
        self.frozen[name] = until
        self.freezes.append((name, until))
        for pair in [pair for pair in self.links if name in pair]:
            other = next(iter(pair - {name}))
            self.at(SILENCE_S, lambda o=other: self._silent(o, name))

    def _silent(self, host: str, frozen: str) -> None:
        if self.now < self.frozen.get(frozen, 0.0):
            pair = frozenset((host, frozen))
            if pair in self.links:
                self._unlink(pair)
                left = self.frozen[frozen] - self.now
                self.at(left + 0.06, lambda: self._link(pair))

    def part(self, first: set[str], second: set[str]) -> None:
        """Cuts hosts from hosts and upstreams; links are found silent."""
        for one in first:
            for other in second:
                pair = frozenset((one, other))
                self.cut.add(pair)
                if pair in self.links:
                    self.at(SILENCE_S, lambda pair=pair: self._cut_off(pair))

    def _cut_off(self, pair: frozenset[str]) -> None:
        if pair in self.cut:
            self._unlink(pair)

    def _relink(self) -> None:
        """Opens links again that broke, as their ends dial each other."""
        self.link_all()
        self.at(RELINK_S, self._relink)

    def heal(self, *, gap_s: float = 0.0) -> None:
        """Ends all cuts, and links hosts again, a gap after each other."""
        self.cut.clear()
        for number, pair in enumerate(self._unlinked()):
            self.at(number * gap_s, lambda pair=pair: self._link(pair))

    def link_all(self) -> None:
        """Opens the links between hosts that reach each other."""
        for pair in self._unlinked():
            self._link(pair)

    def _unlinked(self) -> list[frozenset[str]]:
        pairs = map(frozenset, itertools.combinations(sorted(self.hosts), 2))
        return [
            pair
            for pair in pairs
            if pair not in self.links
            and pair not in self.cut
            and not pair & self.dead
            and not any(self.now < self.frozen.get(n, 0.0) for n in pair)
        ]

    def _link(self, pair: frozenset[str]) -> None:
        if pair in self.links or pair & self.dead or pair in self.cut:
            return
        self.links.add(pair)
        one, other = sorted(pair)
        self._linked(one, other)
        self._linked(other, one)

    def list_upstreams(
        self, name: str, *, without: frozenset[str] = frozenset()
    ) -> None:
        """Gives a host the list of upstreams."""
        listed = tuple(
            upstream.entry
            for key, upstream in self.upstreams.items()
            if key not in without
        )
        self.feed(name, events.UpstreamsListed(listed))

    def ask(
        self, name: str, job: str, *, tasks: int = 1, wait_s: float = 2.0
    ) -> int:
        """Sends a job to a host; returns its call."""
        call = next(self._calls)
        self.feed(
            name,
            events.JobAsked(
                ids.CallId(call),
                request(job, tasks, estimate_ms=self.work_ms),
                self.now + wait_s,
            ),
        )
        return call

    def feed(self, name: str, event: events.Event) -> None:
        """Lets a host decide, and performs what follows."""
        if name in self.dead:
            return
        if self.now < self.frozen.get(name, 0.0):
            core = self.hosts[name]
            wake_s = self.frozen[name] - self.now
            self.at(wake_s, lambda: self._feed_later(name, core, event))
            return
        core = self.hosts[name]
        for action in core.handle(event, now=self.now):
            self._perform(name, core, action)

    def _feed_later(
        self, name: str, core: host_module.LeasedHost, event: events.Event
    ) -> None:
        if self.hosts.get(name) is core:
            self.feed(name, event)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, work = heapq.heappop(self._queue)
            work()
        self.now = end

    def at(self, delay_s: float, work: Callable[[], None]) -> None:
        """Does something later."""
        due = self.now + delay_s
        heapq.heappush(self._queue, (due, next(self._order), work))

    def leaders(self) -> list[str]:
        """Returns the hosts that lead."""
        return [
            name
            for name, core in self.hosts.items()
            if core.leads and name not in self.dead
        ]

    def overlaps(self) -> list[str]:
        """Returns tasks of which two runs went on at one time."""
        found = []
        by_task: dict[model.TaskKey, list[Started]] = {}
        for _, started in self.history:
            by_task.setdefault(started.key.task, []).append(started)
        for key, runs in by_task.items():
            for one, other in itertools.combinations(runs, 2):
                one_end = one.ended_at if one.ended_at else float("inf")
                other_end = other.ended_at if other.ended_at else float("inf")
                if one.started_at < other_end and other.started_at < one_end:
                    found.append(f"{key.job}.{key.index}")
        return found

    def starts(self, job: str) -> int:
        """Returns how many runs of a job's tasks have begun."""
        return sum(run.key.task.job == job for _, run in self.history)

    def _add_upstream(self, domain: str, name: str) -> None:
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

    def _tick(self, name: str, core: host_module.LeasedHost) -> None:
        if self.hosts.get(name) is core and name not in self.dead:
            self.feed(name, events.Ticked())
            self.at(TICK_S, lambda: self._tick(name, core))
            due = round(self.now / TICK_S) % LIST_TICKS == 0
            if core.leads and due and name not in self.without_store:
                self.list_upstreams(name, without=self.unlisted)

    def _linked(self, name: str, other: str) -> None:
        event = events.PeerLinked(
            ids.HostId(other), ids.DomainId(self.domains[other])
        )
        self.at(0.0, lambda: self.feed(name, event))

    def _unlink(self, pair: frozenset[str]) -> None:
        if pair not in self.links:
            return
        self.links.discard(pair)
        one, other = sorted(pair)
        self.feed(one, events.PeerLost(ids.HostId(other)))
        self.feed(other, events.PeerLost(ids.HostId(one)))

    def _perform(
        self, name: str, core: host_module.LeasedHost, action: actions.Action
    ) -> None:
        match action:
            case actions.AnswerCaller(call=call, answer=answer):
                assert call not in self.answers, "answered twice"
                self.answers[call] = (self.now, answer)
            case actions.Decided():
                self.decided.append((self.now, name, action))
            case actions.TellPeer(host=host, message=message):
                pair = frozenset((name, host))
                if pair in self.links and pair not in self.cut:
                    event = events.PeerTold(ids.HostId(name), message)
                    self.at(LATENCY_S, lambda: self._tell(pair, host, event))
            case _:
                self._order_upstream(name, core, action)

    def _tell(
        self, pair: frozenset[str], host: str, event: events.PeerTold
    ) -> None:
        if pair in self.links and pair not in self.cut:
            self.feed(host, event)

    def _order_upstream(self, name: str, core, action) -> None:
        upstream = self.upstreams[action.upstream.upstream]
        state = {"done": False}

        def answer(event: events.Event) -> None:
            if state["done"] or self.hosts.get(name) is not core:
                return
            state["done"] = True
            self.feed(name, event)

        def reach() -> None:
            if frozenset((name, upstream.entry.upstream)) in self.cut:
                return
            if upstream.loses_answers:
                self._carry_out(upstream, action, lambda _: None)
                return
            if upstream.late_s:
                self.at(
                    upstream.late_s,
                    lambda: self._carry_out(upstream, action, lambda _: None),
                )
                return
            self._carry_out(
                upstream,
                action,
                lambda event: self.at(LATENCY_S, lambda: answer(event)),
            )

        self.at(LATENCY_S, reach)
        wait_s = getattr(action, "wait_ms", 0) / 1_000
        self.at(
            TIMEOUT_S + wait_s,
            lambda: answer(events.OrderUnanswered(action.call)),
        )

    def _clock_ms(self) -> int:
        return round(self.now * 1_000)

    def _carry_out(self, upstream: Upstream, action, reply) -> None:
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
                upstream.blocked[task] = max(
                    upstream.blocked.get(task, 0), action.key.run
                )
                running = upstream.running.get(task)
                if running is not None and running.key.run <= action.key.run:
                    end = model.RunEnd.STOPPED
                    self.at(STOP_S, lambda: self._end(upstream, running, end))
                reply(self._taken(upstream, action))
            case actions.RenewLease():
                self._renew(upstream, action, reply)

    def _start(self, upstream: Upstream, action, reply) -> None:
        key = action.key
        rejection = None
        if self._clock_ms() > action.deadline_ms:
            rejection = model.OrderRejection.LATE
        elif key.run <= upstream.blocked.get(key.task, 0):
            rejection = model.OrderRejection.OLD_RUN
        elif len(upstream.running) >= 2:
            rejection = model.OrderRejection.FULL
        if rejection is not None:
            reply(events.OrderRejected(action.call, rejection))
            return
        self._extend(upstream, action.deadline_ms)
        work_s = self.work_ms * upstream.slowness / 1_000
        run = Started(key, self.now, self.now + work_s)
        upstream.running[key.task] = run
        self.history.append((upstream.entry.upstream, run))
        if not upstream.hangs:
            end = model.RunEnd.FAILED if upstream.fails else model.RunEnd.DONE
            self.at(work_s, lambda: self._end(upstream, run, end))
        reply(self._taken(upstream, action))

    def _renew(self, upstream: Upstream, action, reply) -> None:
        upstream.ends = [
            ended
            for ended in upstream.ends
            if ended.number > action.acknowledged_end
        ]
        if action.deadline_ms is not None:
            self._extend(upstream, action.deadline_ms)
        state = {"done": False}

        def respond() -> None:
            if state["done"]:
                return
            state["done"] = True
            listed = model.RunList(
                self._clock_ms(),
                upstream.instance_started_ms,
                tuple(run.key for run in upstream.running.values()),
                tuple(upstream.ends),
            )
            reply(events.RunsListed(action.call, listed))

        if action.wait_ms and not upstream.ends:
            upstream.waiting.append(respond)
            self.at(action.wait_ms / 1_000, respond)
        else:
            respond()

    def _extend(self, upstream: Upstream, deadline_ms: int) -> None:
        most = self._clock_ms() + MAX_LEASE_MS
        until = max(upstream.lease_until_ms, min(deadline_ms, most))
        upstream.lease_until_ms = until
        self.at(
            (until - self._clock_ms()) / 1_000 + 0.001,
            lambda: self._lapse(upstream),
        )

    def _lapse(self, upstream: Upstream) -> None:
        if self._clock_ms() <= upstream.lease_until_ms:
            return
        for run in tuple(upstream.running.values()):
            self._end(upstream, run, model.RunEnd.LOST)

    def _end(self, upstream: Upstream, run: Started, end: model.RunEnd) -> None:
        if upstream.running.get(run.key.task) is not run:
            return
        del upstream.running[run.key.task]
        run.ended_at = self.now
        run.end = end
        task = run.key.task
        upstream.blocked[task] = max(upstream.blocked.get(task, 0), run.key.run)
        upstream.ends.append(
            model.EndedRun(next(upstream.numbers), run.key, end)
        )
        waiting, upstream.waiting = upstream.waiting, []
        for respond in waiting:
            respond()

    def _taken(self, upstream: Upstream, action) -> events.OrderTaken:
        return events.OrderTaken(
            action.call, self._clock_ms(), upstream.instance_started_ms
        )


def request(
    job: str, tasks: int = 1, *, estimate_ms: float = 100.0
) -> model.JobRequest:
    """Returns a job whose tasks take half of an upstream each."""
    return model.JobRequest(
        model.JobName(job),
        "spec",
        model.TaskGroup(
            count=tasks,
            needs=model.Resources(1_000, 10, 0),
            estimate_ms=estimate_ms,
            required_label="",
            preferred_rack="",
            max_per_upstream=0,
        ),
        model.RouteSettings(
            route=model.RouteName("route"),
            service=SERVICE,
            priority=0,
            max_failures=3,
            stretch=1.6,
            target_ms=60.0,
        ),
    )
