"""A small world of fakes around real `HostCore`s, on a virtual clock."""

import enum
import functools
import heapq
import itertools
import json
import random
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import host as host_core
from godwitnotch.core import ids
from godwitnotch.core import limits
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import scheduler
from godwitnotch.standins import table

EPOCH_S = 1_000_000.0
HOP_S = 0.001
SILENCE_S = 3.0  # Until a silent peer link is given up.
REDIAL_S = 0.2
CONNECT_TIMEOUT_S = 1.0
STORE_TIMEOUT_S = 2.0
POLL_S = 1.0
HEARTBEAT_S = 1.0
UNLIST_S = 5.0  # Until the platform drops a dead host from its list.
LEAVING_GRACE_S = 5.0
PLATFORM = "platform"
SECRET = b"world secret of the fleet".ljust(32)


class Mode(enum.Enum):
    """What an upstream does with a request."""

    SERVES = "serves"
    FULL = "full"
    LEAVING = "leaving"
    FAILS = "fails"
    SILENT = "silent"  # Starts the task and never answers.
    DEAF = "deaf"  # Takes the bytes, starts nothing, never answers.
    BREAKS = "breaks"  # Starts the task and drops the connection.
    REFUSES = "refuses"  # Refuses connections.
    CROSSES = "crosses"  # Answers with the answer to another task.
    REPEATS = "repeats"  # Answers twice.


class StoreMode(enum.Enum):
    """What the table service does with a request."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSES_ANSWERS = "answers"
    LOSES_ACKS = "acks"  # Answers to writes only.
    LOSES_REQUESTS = "requests"
    FLAKY = "flaky"  # Loses half of the answers, at random.


@dataclass(frozen=True, slots=True)
class Start:
    """One task that an upstream began, from the upstream's own log."""

    at: float
    upstream: ids.UpstreamId
    host: ids.HostId
    submission: ids.SubmissionId
    task_index: int
    payload: bytes


@dataclass(slots=True)
class Call:
    """One exchange of a caller or operator with a host."""

    label: str
    sent_at: float
    host: "SimHost"
    due: float
    payloads: tuple[bytes, ...] = ()
    reply: (
        actions.Reply | actions.ReplyReserved | actions.ReplyConfig | None
    ) = None
    answered_at: float = 0.0
    put: model.WorkspaceConfig | None = None

    @property
    def answer(self) -> model.JobAnswer | None:
        """The job answer, if one came."""
        if isinstance(self.reply, actions.Reply):
            return self.reply.answer
        return None


@dataclass(slots=True)
class Upstream:
    """A fake upstream."""

    entry: model.UpstreamEntry
    taking_s: float
    mode: Mode = Mode.SERVES
    running: int = 0
    left_at: float | None = None


@dataclass(slots=True)
class Attempt:
    """The wire side of one request to an upstream."""

    host: "SimHost"
    start: actions.StartAttempt
    open: bool = True

    def end(self, outcome: model.AttemptOutcome, **answer: object) -> None:
        """Tells the host how the request ended, once."""
        if self.open:
            self.open = False
            self.host.attempts.pop(self.start.attempt, None)
            self.host.deliver(
                events.AttemptEnded(self.start.attempt, outcome, **answer)
            )


@dataclass(slots=True)
class Store:
    """The table service and its faults."""

    mode: StoreMode = StoreMode.UP
    slow_s: float = 0.0
    rows: table.Table = field(default_factory=table.Table)
    writes: int = 0


@dataclass(slots=True)
class Link:
    """A peer link between two processes."""

    ends: tuple["SimHost", "SimHost"]
    up: bool = True
    backlog: list[Callable[[], None]] = field(default_factory=list)


class SimHost:
    """One process: a core, its sockets and its timers."""

    def __init__(
        self, world: "World", entry: model.HostEntry, *, policy: str
    ) -> None:
        self.world = world
        self.entry = entry
        self.alive = True
        self.stopped = False
        self.paused = False
        self.resumed_at = 0.0
        self.offset_s = 0.0
        self.drain_deadline: float | None = None
        self.attempts: dict[ids.AttemptId, Attempt] = {}
        self.calls: dict[ids.CallId, Call] = {}
        self.last_attempt: Attempt | None = None
        self.versions: dict[ids.WorkspaceId, int] = {}
        self._held: list[Callable[[], None]] = []
        self._pause_after_deciding = False
        self._armed: float | None = None
        self.core = host_core.HostCore(
            identity=entry,
            mint=ids.IdMint(secret=SECRET),
            scheduler=scheduler.create(
                policy,
                host=entry.host,
                domain=entry.domain,
                chance=world.chance,
            ),
            chance=world.chance,
            limits=limits.HostLimits(),
        )

    def __str__(self) -> str:
        return self.entry.host

    @property
    def clock(self) -> float:
        """This host's own time."""
        return self.world.now + self.offset_s

    def deliver(self, event: events.Event) -> None:
        """Hands an event to the core, or holds it while paused."""
        if not self.alive:
            return
        if self.paused:
            self._held.append(functools.partial(self.deliver, event))
            return
        acts = self.core.handle(event, now=self.clock)
        if self._pause_after_deciding and acts:
            self._pause_after_deciding = False
            self.paused = True
            self._held = [functools.partial(self._perform_all, acts)]
            self.world.link_silent(self)
            return
        self._perform_all(acts)

    def pause(self, *, after_deciding: bool = False) -> None:
        """Stops the process, at once or between decision and action."""
        if after_deciding:
            self._pause_after_deciding = True
            return
        self.paused = True
        self.world.link_silent(self)

    def resume(self) -> None:
        """Lets the process go on with all that it missed."""
        self.paused = False
        self.resumed_at = self.world.now
        self._pause_after_deciding = False
        held, self._held = self._held, []
        self._armed = None
        for act in held:
            act()
        self.deliver(events.TimePassed())
        self.world.redial(self)

    def kill(self) -> None:
        """Drops the process; what it sent is still on its way."""
        self.alive = False
        for attempt in list(self.attempts.values()):
            attempt.open = False

    def _perform_all(self, acts: list[actions.Action]) -> None:
        for act in acts:
            self._perform(act)
        self._watch_versions()
        self._arm()

    def _arm(self) -> None:
        due = self.core.next_deadline()
        if due is None or (self._armed is not None and self._armed <= due):
            return
        self._armed = due
        at = max(due - self.offset_s, self.world.now)
        self.world.at(at, functools.partial(self._wake, due))

    def _wake(self, due: float) -> None:
        if self._armed == due:
            self._armed = None
        self.deliver(events.TimePassed())

    def _watch_versions(self) -> None:
        for workspace, config in self.core.configs.items():
            before = self.versions.get(workspace, 0)
            if config.version < before:
                self.world.violate(
                    f"{self} went back from version {before} to "
                    f"{config.version} of {workspace}"
                )
            self.versions[workspace] = config.version

    @functools.singledispatchmethod
    def _perform(self, act: actions.Action) -> None:
        raise AssertionError(f"no fake for {act}")

    @_perform.register
    def _(self, act: actions.Reply) -> None:
        self._answer(act)

    @_perform.register
    def _(self, act: actions.ReplyReserved) -> None:
        self._answer(act)

    @_perform.register
    def _(self, act: actions.ReplyConfig) -> None:
        self._answer(act)

    @_perform.register
    def _(self, act: actions.SendPeer) -> None:
        self.world.send(self, act.host, act.message)

    @_perform.register
    def _(self, act: actions.StartAttempt) -> None:
        attempt = Attempt(self, act)
        self.attempts[act.attempt] = attempt
        self.last_attempt = attempt
        self.world.connect(attempt)

    @_perform.register
    def _(self, act: actions.AbortAttempt) -> None:
        if attempt := self.attempts.get(act.attempt):
            end = functools.partial(attempt.end, model.AttemptOutcome.ABORTED)
            self.world.after(0, end)

    @_perform.register
    def _(self, act: actions.StoreTransact) -> None:
        def effect() -> events.Event:
            self.world.store.writes += 1
            rows = self.world.store.rows.transact(act.writes)
            if rows:
                return events.StoreConflict(act.call, rows)
            return events.StoreCommitted(act.call)

        self.world.store_call(self, act.call, effect, writes=True)

    @_perform.register
    def _(self, act: actions.StoreRead) -> None:
        def effect() -> events.Event:
            rows = self.world.store.rows.read(act.keys)
            return events.StoreRows(act.call, rows)

        self.world.store_call(self, act.call, effect)

    @_perform.register
    def _(self, act: actions.StoreScan) -> None:
        def effect() -> events.Event:
            rows = self.world.store.rows.scan(act.prefix)
            return events.StoreRows(act.call, rows)

        self.world.store_call(self, act.call, effect)

    @_perform.register
    def _(self, act: actions.Note) -> None:
        key = (act.event, act.reason)
        self.world.notes[key] = self.world.notes.get(key, 0) + 1

    @_perform.register
    def _(self, act: actions.Stopped) -> None:
        due = self.drain_deadline
        if due is None or self.clock < due:
            waiting = [c.label for c in self.calls.values() if not c.reply]
            if waiting or self.attempts:
                self.world.violate(
                    f"{self} stopped and cut {waiting} and "
                    f"{len(self.attempts)} requests to upstreams"
                )
        self.stopped = True
        self.world.kill(self.entry.host)

    def _answer(
        self,
        act: actions.Reply | actions.ReplyReserved | actions.ReplyConfig,
    ) -> None:
        call = self.calls[act.call]
        if call.reply is not None:
            self.world.violate(f"{call.label} was answered twice")
        call.reply = act
        call.answered_at = self.world.now
        if isinstance(act, actions.ReplyConfig) and act.recorded:
            self.world.config_told(call, act)


class World:
    """Hosts, upstreams, platform and network on one virtual clock."""

    def __init__(self, *, seed: int, policy: str = "credits") -> None:
        self.now = EPOCH_S
        self.chance = random.Random(seed)
        self.hosts: dict[str, SimHost] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.store = Store()
        self.starts: list[Start] = []
        self.calls: list[Call] = []
        self.notes: dict[tuple[str, object], int] = {}
        self.violations: list[str] = []
        self.directory_lag_s = 0.0
        self.peak_running = 0
        self._policy = policy
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self._tick = itertools.count(1)
        self._started: dict[bytes, Start] = {}
        self._tasks: dict[tuple[ids.SubmissionId, int], Start] = {}
        self._cuts: set[frozenset[str]] = set()
        self._links: dict[frozenset[str], Link] = {}
        self._listed: dict[str, model.HostEntry] = {}
        self._directories: list[tuple[float, model.Directory]] = []
        self._in_force: dict[ids.WorkspaceId, int] = {}

    def at(self, time: float, act: Callable[[], None]) -> None:
        """Does something at a time."""
        heapq.heappush(self._agenda, (time, next(self._tick), act))

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Does something after a delay."""
        self.at(self.now + delay_s, act)

    def run(
        self, duration_s: float, until: Callable[[], bool] | None = None
    ) -> None:
        """Runs for a time, or until something holds."""
        end = self.now + duration_s
        while self._agenda and self._agenda[0][0] <= end:
            if until and until():
                return
            self.now, _, act = heapq.heappop(self._agenda)
            act()
        if not until or not until():
            self.now = end

    def starts_of(self, payloads: Iterable[bytes]) -> list[Start]:
        """Returns the first starts of some tasks."""
        found = (self._started.get(payload) for payload in payloads)
        return [start for start in found if start]

    def violate(self, text: str) -> None:
        """Records that a promise was broken."""
        self.violations.append(f"at {self.now - EPOCH_S:.3f} s: {text}")

    def add_host(self, name: str, domain: str) -> SimHost:
        """Starts a process; under a known name, its next incarnation."""
        entry = model.HostEntry(
            ids.HostId(name),
            ids.DomainId(domain),
            ids.Incarnation(f"{next(self._tick):06x}"),
            f"{name}:1",
        )
        sim = SimHost(self, entry, policy=self._policy)
        self.hosts[name] = sim
        self._listed[name] = entry
        self._list_changed()
        self.after(0, functools.partial(self._poll, sim))
        self.after(HEARTBEAT_S, functools.partial(self._beat, sim))
        self.redial(sim)
        return sim

    def add_upstream(
        self, name: str, domain: str, *, slots: int = 8, taking_s: float = 0.1
    ) -> None:
        """Adds an upstream."""
        entry = model.UpstreamEntry(
            ids.UpstreamId(name),
            ids.DomainId(domain),
            f"{domain}-rack",
            name,
            slots,
            slots * 8,
        )
        self.upstreams[name] = Upstream(entry, taking_s)
        self._list_changed()

    def leave(self, name: str) -> None:
        """Marks an upstream as leaving in the platform's list."""
        upstream = self.upstreams[name]
        upstream.entry = replace(upstream.entry, leaving=True)
        upstream.left_at = self.now
        self._list_changed()

    def kill(self, name: str, *, silently: bool = False) -> None:
        """Ends a process without warning."""
        sim = self.hosts[name]
        sim.kill()
        self.after(UNLIST_S, functools.partial(self._unlist, sim))
        if silently:
            self.link_silent(sim)
            return
        for link in self._links_of(sim):
            self._close(link)

    def cut(self, one: str, other: str) -> None:
        """Loses all that one end sends to the other."""
        self._cuts.add(frozenset((one, other)))
        if link := self._links.get(frozenset((one, other))):
            self.after(SILENCE_S, functools.partial(self._close_if_cut, link))

    def heal(self, one: str, other: str) -> None:
        """Ends a cut."""
        self._cuts.discard(frozenset((one, other)))
        if link := self._links.get(frozenset((one, other))):
            backlog, link.backlog = link.backlog, []
            for act in backlog if link.up else ():
                self.after(HOP_S, act)
        if one in self.hosts:
            self.redial(self.hosts[one])

    def heal_all(self) -> None:
        """Ends all cuts."""
        for pair in sorted(self._cuts, key=sorted):
            one, other = sorted(pair)
            self.heal(one, other)

    def is_cut(self, one: str, other: str) -> bool:
        """Returns whether nothing passes between two ends."""
        return frozenset((one, other)) in self._cuts

    def link_silent(self, sim: SimHost) -> None:
        """Lets the links of a silent process be given up after a while."""
        for link in self._links_of(sim):
            self.after(SILENCE_S, functools.partial(self._close_if_cut, link))

    def redial(self, sim: SimHost) -> None:
        """Lets a process link with all peers that it can reach."""
        for other in list(self.hosts.values()):
            if other is not sim:
                dial = functools.partial(self._dial, sim, other)
                self.after(REDIAL_S, dial)

    def send(
        self, sender: SimHost, to: ids.HostId, message: messages.Message
    ) -> None:
        """Sends a message on a link; lost where there is none."""
        link = self._links.get(frozenset((sender.entry.host, to)))
        if link is None or not link.up or sender not in link.ends:
            return
        receiver = link.ends[link.ends[0] is sender]
        event = events.PeerSaid(sender.entry.host, message)
        self.after(HOP_S, lambda: self._arrive(link, receiver, event))

    def connect(self, attempt: Attempt) -> None:
        """Carries a request to its upstream."""
        sim, start = attempt.host, attempt.start
        upstream = self.upstreams[start.upstream]
        if self.is_cut(sim.entry.host, start.upstream):
            wait = min(CONNECT_TIMEOUT_S, max(start.deadline - sim.clock, 0))
            outcome = model.AttemptOutcome.NOTHING_SENT
            self.after(wait, functools.partial(attempt.end, outcome))
            return
        due = max(start.deadline - sim.offset_s, self.now)
        timeout = model.AttemptOutcome.TIMED_OUT
        self.at(due, functools.partial(attempt.end, timeout))
        self.after(HOP_S, functools.partial(self._serve, upstream, attempt))

    def store_call(
        self,
        sim: SimHost,
        call: ids.StoreCallId,
        effect: Callable[[], events.Event],
        *,
        writes: bool = False,
    ) -> None:
        """Carries a request to the table service, with its faults."""
        mode, name = self.store.mode, sim.entry.host
        failed = events.StoreFailed(call, uncertain=mode is not StoreMode.DOWN)
        fail = functools.partial(sim.deliver, failed)
        if self.is_cut(name, PLATFORM) or mode is StoreMode.LOSES_REQUESTS:
            self.after(STORE_TIMEOUT_S, fail)
            return
        if mode is StoreMode.DOWN:
            self.after(HOP_S, fail)
            return
        lost = mode is StoreMode.LOSES_ANSWERS
        lost |= mode is StoreMode.LOSES_ACKS and writes
        lost |= mode is StoreMode.FLAKY and self.chance.random() < 0.5
        one_way = self.store.slow_s / 2 if mode is StoreMode.SLOW else HOP_S
        late = 2 * one_way > STORE_TIMEOUT_S

        def arrive() -> None:
            event = effect()
            if not lost and not late:
                self.after(one_way, functools.partial(sim.deliver, event))

        self.after(one_way, arrive)
        if lost or late:
            self.after(STORE_TIMEOUT_S, fail)

    def config_told(self, call: Call, told: actions.ReplyConfig) -> None:
        """Checks a version told as in force on all hosts but some."""
        assert call.put is not None
        workspace, version = call.put.workspace, call.put.version
        if not told.lagging:
            known = self._in_force.get(workspace, 0)
            self._in_force[workspace] = max(known, version)
        for sim in self.hosts.values():
            if not sim.alive or sim.entry.host in told.lagging:
                continue
            self._check_version(sim, workspace, version)

    def check_versions(self) -> None:
        """Checks that serving hosts have all that was told in force."""
        for sim in self.hosts.values():
            for workspace, version in self._in_force.items():
                if sim.alive and not sim.paused and sim.core.ready:
                    self._check_version(sim, workspace, version)

    def _check_version(
        self, sim: SimHost, workspace: ids.WorkspaceId, version: int
    ) -> None:
        found = sim.core.configs.get(workspace)
        have = found.version if found else 0
        serving = sim.core.ready or sim.paused
        if serving and have < version:
            self.violate(
                f"version {version} of {workspace} was told in force, but "
                f"{sim} has {have}"
            )

    def _serve(self, upstream: Upstream, attempt: Attempt) -> None:
        mode = upstream.mode
        refusals = {
            Mode.REFUSES: model.AttemptOutcome.CONNECT_REFUSED,
            Mode.LEAVING: model.AttemptOutcome.REFUSED_LEAVING,
            Mode.FULL: model.AttemptOutcome.REFUSED_FULL,
        }
        if upstream.running >= upstream.entry.slots:
            mode = Mode.FULL
        if mode in refusals:
            end = functools.partial(attempt.end, refusals[mode])
            self._return(upstream, attempt, end, HOP_S)
            return
        if mode is Mode.DEAF:
            return
        self._start(upstream, attempt)
        upstream.running += 1
        running = sum(each.running for each in self.upstreams.values())
        self.peak_running = max(self.peak_running, running)
        self.after(upstream.taking_s, lambda: self._free(upstream))
        answers = {
            Mode.FAILS: model.AttemptOutcome.TASK_FAILED,
            Mode.BREAKS: model.AttemptOutcome.BROKE_OFF,
        }
        if mode in answers:
            end = functools.partial(attempt.end, answers[mode])
            self._return(upstream, attempt, end, HOP_S)
        elif mode is not Mode.SILENT:
            end = self._answer(mode, attempt)
            self._return(upstream, attempt, end, upstream.taking_s)

    def _answer(self, mode: Mode, attempt: Attempt) -> Callable[[], None]:
        start = attempt.start
        submission, index, body = (
            start.submission,
            start.task_index,
            start.payload,
        )
        others = [s for s in self.starts if s.submission != submission]
        # One with the same task index is the harder to tell.
        others.sort(key=lambda s: (s.task_index == index, s.at))
        other = others[-1] if others else None
        if mode is Mode.CROSSES and other:
            submission, index = other.submission, other.task_index
            body = other.payload
        elif mode is Mode.CROSSES:
            index, body = index + 1, b'"of nobody"'

        def end() -> None:
            ended = functools.partial(
                events.AttemptEnded,
                body=result_of(body),
                submission=submission,
                task_index=index,
            )
            outcome = model.AttemptOutcome.ANSWERED
            was_open, attempt.open = attempt.open, False
            attempt.host.attempts.pop(start.attempt, None)
            if was_open:
                attempt.host.deliver(ended(start.attempt, outcome))
            if mode is Mode.REPEATS:
                attempt.host.deliver(ended(start.attempt, outcome))

        return end

    def _return(
        self,
        upstream: Upstream,
        attempt: Attempt,
        end: Callable[[], None],
        delay_s: float,
    ) -> None:
        def arrive() -> None:
            if not self.is_cut(
                attempt.host.entry.host, upstream.entry.upstream
            ):
                end()

        self.after(delay_s, arrive)

    def _start(self, upstream: Upstream, attempt: Attempt) -> None:
        start = attempt.start
        name = upstream.entry.upstream
        task = (start.submission, start.task_index)
        first = self._started.get(start.payload) or self._tasks.get(task)
        if first is not None:
            self.violate(
                f"task {start.task_index} of {start.submission} started "
                f"again by {attempt.host}, first by {first.host}"
            )
        left = upstream.left_at
        if left is not None and self.now > left + LEAVING_GRACE_S:
            self.violate(f"{name} got new work from {attempt.host}, leaving")
        began = Start(
            self.now,
            name,
            attempt.host.entry.host,
            start.submission,
            start.task_index,
            start.payload,
        )
        self.starts.append(began)
        self._started.setdefault(start.payload, began)
        self._tasks.setdefault(task, began)

    def _free(self, upstream: Upstream) -> None:
        upstream.running -= 1

    def _arrive(
        self, link: Link, receiver: SimHost, event: events.PeerSaid
    ) -> None:
        if not link.up:
            return
        if self.is_cut(*(end.entry.host for end in link.ends)):
            link.backlog.append(lambda: self._arrive(link, receiver, event))
            return
        receiver.deliver(event)

    def _links_of(self, sim: SimHost) -> list[Link]:
        return [link for link in self._links.values() if sim in link.ends]

    def _close_if_cut(self, link: Link) -> None:
        names = [end.entry.host for end in link.ends]
        silent = any(not end.alive or end.paused for end in link.ends)
        if silent or self.is_cut(*names):
            self._close(link)

    def _close(self, link: Link) -> None:
        if not link.up:
            return
        link.up = False
        one, other = link.ends
        one.deliver(events.PeerDown(other.entry.host))
        other.deliver(events.PeerDown(one.entry.host))

    def _dial(self, one: SimHost, other: SimHost) -> None:
        names = frozenset((one.entry.host, other.entry.host))
        known = self._links.get(names)
        able = all(end.alive and not end.paused for end in (one, other))
        if not able or names in self._cuts:
            return
        if known and known.up and {one, other} == set(known.ends):
            return
        if known:
            self._close(known)
        self._links[names] = Link((one, other))
        for end, peer in ((one, other.entry), (other, one.entry)):
            up = events.PeerUp(peer.host, peer.domain, peer.incarnation)
            end.deliver(up)

    def _beat(self, sim: SimHost) -> None:
        if not sim.alive:
            return
        if not sim.paused:
            heartbeat = sim.core.heartbeat()
            for link in self._links_of(sim):
                peer = link.ends[link.ends[0] is sim]
                self.send(sim, peer.entry.host, heartbeat)
        self.after(HEARTBEAT_S, functools.partial(self._beat, sim))

    def _unlist(self, sim: SimHost) -> None:
        if self._listed.get(sim.entry.host) == sim.entry:
            del self._listed[sim.entry.host]
            self._list_changed()

    def _list_changed(self) -> None:
        directory = model.Directory(
            tuple(self._listed.values()),
            tuple(upstream.entry for upstream in self.upstreams.values()),
        )
        self._directories.append((self.now, directory))

    def _poll(self, sim: SimHost) -> None:
        if not sim.alive:
            return
        seen = [
            directory
            for time, directory in self._directories
            if time <= self.now - self.directory_lag_s
        ]
        if seen and not self.is_cut(sim.entry.host, PLATFORM):
            sim.deliver(events.DirectorySeen(seen[-1]))
        self.after(POLL_S, functools.partial(self._poll, sim))


def result_of(payload: bytes) -> bytes:
    """Returns the only right answer to a task."""
    return json.dumps({"answer to": json.loads(payload)}).encode()
