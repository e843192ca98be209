"""Drives the decisions about leased runs: events in, actions performed."""

import asyncio
import itertools
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

from godwitnotch.core import events as peer_events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model as host_model
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import host as host_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages
from godwitnotch.net import leased_calls
from godwitnotch.net import peer_link
from godwitnotch.platform import configuration as configuration_module
from godwitnotch.platform import fields

TICK_S = 0.04
# A configuration is large, so that a peer is asked for it only when the store
# has not shown it for so long, and not again before.
BEHIND_WAIT_S = 0.8

OnDecided = Callable[[actions.Decided], None]
OnFault = Callable[[str, BaseException], None]


class LeasedRuntime:
    """Runs one host's decisions on the running loop.

    Args:
        core: The decisions.
        me: This host.
        links: Links to the other hosts.
        calls: Carries orders to upstreams.
        on_decided: Takes decisions for the log and the counters.
        on_fault: Takes exceptions that nothing else expected.
    """

    def __init__(
        self,
        *,
        core: host_module.LeasedHost,
        me: model.KnownHost,
        links: peer_link.PeerLinks,
        calls: leased_calls.LeasedCalls,
        on_decided: OnDecided,
        on_fault: OnFault,
    ) -> None:
        self._core = core
        self._me = me
        self._links = links
        self._calls = calls
        self._on_decided = on_decided
        self._on_fault = on_fault
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1)
        self._waiting: dict[ids.CallId, asyncio.Future[model.Answer]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._known: dict[ids.HostId, model.KnownHost] = {}
        self._configuration: configuration_module.Configuration | None = None
        self._document = b""
        self._ask_at: float | None = None
        self._on_lead: Callable[[], None] | None = None
        self._led = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def core(self) -> host_module.LeasedHost:
        """The decisions."""
        return self._core

    @property
    def configuration(self) -> configuration_module.Configuration | None:
        """The newest configuration that was read."""
        return self._configuration

    @property
    def ready(self) -> bool:
        """Whether callers can be served."""
        return self._configuration is not None and self._core.ready

    @property
    def leads(self) -> bool:
        """Whether this host leads."""
        return self._core.leads

    @property
    def alone(self) -> bool:
        """Whether this host has no link to another one."""
        return not self._links.linked

    def start(self, *, on_lead: Callable[[], None]) -> None:
        """Begins to decide; `on_lead` is called when this host takes office."""
        self._on_lead = on_lead
        self._tick()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work until the runtime is closed."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._work_done)

    async def close(self) -> None:
        """Ends what is under way."""
        if self._timer is not None:
            self._timer.cancel()
        pending = tuple(self._tasks)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def ask(
        self, request: model.JobRequest, *, deadline: float
    ) -> model.Answer:
        """Runs a job and returns the answer; cancelling this drops the job."""
        call = ids.CallId(next(self._numbers))
        answered: asyncio.Future[model.Answer] = self._loop.create_future()
        self._waiting[call] = answered
        self.feed(events.JobAsked(call, request, deadline))
        try:
            return await answered
        finally:
            del self._waiting[call]
            if not answered.done() or answered.cancelled():
                self.feed(events.CallerLeft(call))

    def feed(self, event: events.Event) -> None:
        """Decides on an event and performs what follows from it."""
        try:
            decided = self._core.handle(event, now=self._loop.time())
        except Exception as error:
            self._on_fault(f"deciding on {type(event).__name__}", error)
            return
        for action in decided:
            self._perform(action)
        if self._core.leads != self._led:
            self._led = self._core.leads
            if self._led and self._on_lead is not None:
                self._on_lead()

    def feed_peer(self, event: peer_events.LinkEvent) -> None:
        """Decides on an event of a link."""
        match event:
            case peer_events.PeerUp(host=host, domain=domain):
                self.take_hosts([model.KnownHost(host, domain)])
                self._greet(host)
                self.feed(events.PeerLinked(host, domain))
            case peer_events.PeerDown(host=host):
                self.feed(events.PeerLost(host))
            case peer_events.LeasedPeerSaid(
                message=peer_messages.HostsKnown(hosts=hosts)
            ):
                self.take_hosts(hosts)
            case peer_events.PeerSaid(
                host=host,
                message=messages.Heartbeat(config_counter=version),
            ):
                self._peer_has(host, version)
            case peer_events.LeasedPeerSaid(
                host=host,
                message=peer_messages.ConfigurationWanted(newer_than=version),
            ):
                self._share_configuration(host, version)
            case peer_events.LeasedPeerSaid(
                message=peer_messages.ConfigurationCopy(document=document)
            ):
                self._take_copy(document)
            case peer_events.LeasedPeerSaid(host=host, message=message):
                self.feed(events.PeerTold(host, message))

    def take_configuration(
        self, read: configuration_module.Configuration, document: bytes
    ) -> None:
        """Puts a configuration in force unless a newer one is."""
        current = self._configuration
        if current is not None and read.version <= current.version:
            return
        self._configuration = read
        self._document = document
        self._ask_at = None
        routes = sum(map(len, read.routes.values()))
        self._on_decided(
            actions.Decided(
                "configuration_in_force",
                detail=f"version={read.version} routes={routes}",
            )
        )

    def take_upstreams(self, listed: events.UpstreamsListed) -> None:
        """Takes a list of upstreams."""
        self.feed(listed)

    def take_hosts(self, hosts: Iterable[model.KnownHost]) -> None:
        """Keeps links to hosts that are known."""
        new = {each.host: each for each in hosts if each.host != self._me.host}
        if all(host in self._known for host in new):
            return
        self._known.update(new)
        self._links.hosts_seen(
            host_model.HostEntry(
                known.host, known.domain, ids.Incarnation(""), known.host
            )
            for known in self._known.values()
        )

    def _greet(self, host: ids.HostId) -> None:
        known = (self._me, *self._known.values())
        self._links.send(host, peer_messages.HostsKnown(known))

    def _peer_has(self, host: ids.HostId, version: int) -> None:
        """Asks a peer for its configuration, if the store doesn't show it."""
        if version <= self._version():
            return
        now = self._loop.time()
        if self._ask_at is None:
            self._ask_at = now + BEHIND_WAIT_S
        if now < self._ask_at:
            return
        self._ask_at = now + BEHIND_WAIT_S
        wanted = peer_messages.ConfigurationWanted(self._version())
        self._links.send(host, wanted)

    def _share_configuration(self, host: ids.HostId, newer_than: int) -> None:
        if self._version() > newer_than:
            copy = peer_messages.ConfigurationCopy(
                self._version(), self._document
            )
            self._links.send(host, copy)

    def _version(self) -> int:
        current = self._configuration
        return -1 if current is None else current.version

    def _take_copy(self, document: bytes) -> None:
        try:
            read = configuration_module.decode(document)
        except fields.WrongFormatError as error:
            self._on_fault("reading a peer's configuration", error)
            return
        self.take_configuration(read, document)

    def _perform(self, action: actions.Action) -> None:
        match action:
            case actions.AnswerCaller(call=call, answer=answer):
                waiting = self._waiting.get(call)
                if waiting is not None and not waiting.done():
                    waiting.set_result(answer)
            case actions.TellPeer(host=host, message=message):
                self._links.send(host, message)
            case actions.Decided():
                self._on_decided(action)
            case _:
                self.spawn(self._send(action))

    async def _send(self, order: leased_calls.Order) -> None:
        self.feed(await self._calls.send(order))

    def _tick(self) -> None:
        self._timer = self._loop.call_later(TICK_S, self._tick)
        self.feed(events.Ticked())

    def _work_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            assert error is not None
            self._on_fault("work", error)
