"""Passes events about leased runs to the host core; executes its actions."""

import asyncio
import itertools
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

from godwitnotch import log
from godwitnotch.core import events as peer_events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model as host_model
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import cancellations
from godwitnotch.core.leased import events
from godwitnotch.core.leased import explanation
from godwitnotch.core.leased import host as host_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages
from godwitnotch.net import addresses
from godwitnotch.net import leased_calls
from godwitnotch.net import order_queues
from godwitnotch.net import peer_links
from godwitnotch.platform import configuration as configuration_module
from godwitnotch.platform import fields

TICK_INTERVAL_S = 0.04
# While this host only follows a leader and has no job, little can become due.
# A longer gap than `stalls.MAX_TICK_GAP_S` counts as a stall.
IDLE_TICK_INTERVAL_S = 0.1
# A configuration is large, so a peer is asked for a newer version only if the
# store has not delivered it after this delay, and at most once per delay.
CONFIGURATION_REQUEST_DELAY_S = 0.8
WATCHED_UPDATE_INTERVAL_S = 0.5
# The core answers a cancel before, unless it meets a fault.
CANCEL_TIMEOUT_S = cancellations.CONFIRM_TIMEOUT_S + 0.5

_UNKNOWN_DOMAIN = ids.DomainId("")

OnDecided = Callable[[actions.Decided], None]
OnFault = Callable[[str, BaseException], None]


class LeasedRuntime:
    """Runs a host core on the current event loop.

    Args:
        core: Host core.
        identity: Id and failure domain of this host.
        links: Links to the other hosts.
        order_client: Sends orders to upstreams.
        on_decided: Called with decisions for the log and the counters.
        on_fault: Called with a description of the operation and its unexpected
            exception.
        on_leader_tick: Called with the seconds by which a tick is late, while
            this host leads.
    """

    def __init__(
        self,
        *,
        core: host_module.LeasedHost,
        identity: model.KnownHost,
        links: peer_links.PeerLinks,
        order_client: leased_calls.OrderClient,
        on_decided: OnDecided,
        on_fault: OnFault,
        on_leader_tick: Callable[[float], None] = lambda late_s: None,
    ) -> None:
        self._core = core
        self._identity = identity
        self._links = links
        self._order_client = order_client
        self._order_queues = order_queues.OrderQueues(links.send)
        self._on_decided = on_decided
        self._on_fault = on_fault
        self._on_leader_tick = on_leader_tick
        self._loop = asyncio.get_running_loop()
        self._call_ids = itertools.count(1)
        self._pending_answers: dict[
            ids.CallId, asyncio.Future[model.Answer]
        ] = {}
        self._pending_reports: dict[
            ids.CallId, asyncio.Future[explanation.JobReport | None]
        ] = {}
        self._pending_cancels: dict[ids.CallId, asyncio.Future[bool]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._known_hosts: dict[ids.HostId, model.KnownHost] = {}
        self._configuration: configuration_module.Configuration | None = None
        self._document = b""
        self._request_configuration_at: float | None = None
        self._read_upstreams: Callable[[], None] = lambda: None
        self._was_leader = False
        self._linked_to_all = True
        self._next_watched_update_at = 0.0
        self._watches_leader = ids.HostId("")
        self._timer: asyncio.TimerHandle | None = None

    @property
    def core(self) -> host_module.LeasedHost:
        """The host core."""
        return self._core

    @property
    def configuration(self) -> configuration_module.Configuration | None:
        """The applied configuration; None before the first."""
        return self._configuration

    @property
    def ready(self) -> bool:
        """Whether callers can be served."""
        return self._configuration is not None and self._core.ready

    @property
    def leads(self) -> bool:
        """Whether this host is the leader."""
        return self._core.leads

    @property
    def lists_upstreams(self) -> bool:
        """Whether this host reads the list of upstreams for all leaders."""
        return self._core.lists_upstreams

    @property
    def wants_hosts(self) -> bool:
        """Whether this host needs to find hosts that it may not know.

        It does while it has no link, and as the leader of a cell, since no host
        of another failure domain links to it by itself.
        """
        return not self._links.linked or self._core.leads_cell

    def start(self, *, read_upstreams: Callable[[], None]) -> None:
        """Starts the host core.

        Args:
            read_upstreams: Reads the list of upstreams at once; called when this
                host becomes the leader, and when it needs a newer list.
        """
        self._read_upstreams = read_upstreams
        self._tick()

    def spawn(self, operation: Coroutine[Any, Any, None]) -> None:
        """Runs an operation as a task; `close` cancels it."""
        task = self._loop.create_task(operation)
        self._tasks.add(task)
        task.add_done_callback(self._operation_done)

    async def close(self) -> None:
        """Cancels all tasks that are still running."""
        if self._timer is not None:
            self._timer.cancel()
        pending = tuple(self._tasks)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def run_job(
        self, request: model.JobRequest, *, deadline: float
    ) -> model.Answer:
        """Runs a job and returns its answer; cancellation drops the job."""
        call = ids.CallId(next(self._call_ids))
        answer_future: asyncio.Future[model.Answer] = self._loop.create_future()
        self._pending_answers[call] = answer_future
        self.feed(events.JobAsked(call, request, deadline))
        try:
            return await answer_future
        finally:
            del self._pending_answers[call]
            if not answer_future.done() or answer_future.cancelled():
                self.feed(events.CallerLeft(call))

    async def report_job(
        self, request: model.JobRequest, *, wait_s: float, deadline: float
    ) -> explanation.JobReport | None:
        """Returns a leader's report on a job, which isn't run.

        Args:
            request: The job.
            wait_s: How long its caller would wait.
            deadline: Loop time at which this call gives up.

        Returns:
            The report; None without a leader.

        Raises:
            TimeoutError: The leader has not answered by the deadline.
        """
        call = ids.CallId(next(self._call_ids))
        future: asyncio.Future[explanation.JobReport | None] = (
            self._loop.create_future()
        )
        self._pending_reports[call] = future
        try:
            self.feed(events.ReportAsked(call, request, wait_s))
            async with asyncio.timeout_at(deadline):
                return await future
        finally:
            del self._pending_reports[call]

    async def cancel_job(self, name: model.JobName) -> bool:
        """Cancels a job.

        Returns:
            Whether the job won't be started any more; if not, that isn't known.
        """
        call = ids.CallId(next(self._call_ids))
        future: asyncio.Future[bool] = self._loop.create_future()
        self._pending_cancels[call] = future
        try:
            self.feed(events.CancelAsked(call, name))
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                return await future
        except TimeoutError:
            return False
        finally:
            del self._pending_cancels[call]

    def feed(self, event: events.Event) -> None:
        """Passes an event to the host core; executes the resulting actions."""
        try:
            resulting_actions = self._core.handle(event, now=self._loop.time())
        except Exception as error:
            self._on_fault(f"handling {type(event).__name__}", error)
            return
        for action in resulting_actions:
            try:
                self._execute(action)
            except Exception as error:
                # The actions after it are of other jobs and hosts.
                self._on_fault(f"executing {type(action).__name__}", error)
        if self._core.leader != self._watches_leader:
            self._update_watched()
        self._hasten_tick()
        if self._core.leads != self._was_leader:
            self._was_leader = self._core.leads
            if self._was_leader:
                self._read_upstreams()

    def feed_peer(self, event: peer_events.LinkEvent) -> None:
        """Handles an event of a peer link; a fault doesn't end the link."""
        try:
            self._handle_link_event(event)
        except Exception as error:
            self._on_fault(f"handling {type(event).__name__}", error)

    def _handle_link_event(self, event: peer_events.LinkEvent) -> None:
        match event:
            case peer_events.PeerUp(host=host, domain=domain):
                self._order_queues.link_changed(host)
                self.add_hosts([model.KnownHost(host, domain)])
                self._send_known_hosts(host)
                self.feed(events.PeerLinked(host, domain))
            case peer_events.PeerDown(host=host):
                self._order_queues.link_changed(host)
                self.feed(events.PeerLost(host))
            case peer_events.LeasedPeerSaid(
                message=peer_messages.HostsKnown(hosts=hosts)
            ):
                self.add_hosts(hosts)
            case peer_events.PeerSaid(
                host=host,
                message=messages.Heartbeat(config_counter=version),
            ):
                self._request_newer_configuration(host, version)
            case peer_events.LeasedPeerSaid(
                host=host,
                message=peer_messages.ConfigurationWanted(newer_than=version),
            ):
                self._send_configuration(host, version)
            case peer_events.LeasedPeerSaid(
                message=peer_messages.ConfigurationCopy(document=document)
            ):
                self._apply_copy(document)
            case peer_events.LeasedPeerSaid(host=host, message=message):
                self.feed(events.PeerTold(host, message))

    def apply_configuration(
        self, configuration: configuration_module.Configuration, document: bytes
    ) -> None:
        """Applies a configuration if it is newer than the current one.

        Args:
            configuration: The decoded document.
            document: The configuration as the store provided it; peers that
                ask for the configuration get the document.
        """
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._document = document
        self._request_configuration_at = None
        routes = sum(map(len, configuration.routes.values()))
        self._on_decided(
            actions.Decided(
                "configuration_in_force",
                detail=f"version={configuration.version} routes={routes}",
            )
        )
        for remark in configuration.remarks:
            self._on_decided(
                actions.Decided(
                    "configuration_value_replaced",
                    detail=f"cause={log.format_value(remark)}",
                )
            )

    def update_evacuations(
        self, version: int, domains: frozenset[ids.DomainId]
    ) -> None:
        """Passes the evacuated domains that were read to the host core."""
        told = peer_messages.DomainsEvacuated(version, domains)
        self.feed(events.EvacuationsRead(told))

    def update_upstreams(self, listed: events.UpstreamsListed) -> None:
        """Passes a new list of upstreams to the host core."""
        self.feed(listed)

    def add_hosts(self, hosts: Iterable[model.KnownHost]) -> None:
        """Opens links to hosts that were not known before."""
        new_hosts = {
            other.host: other
            for other in hosts
            if other.host != self._identity.host
            and self._tells_more(other)
            and addresses.is_address(other.host)
        }
        if not new_hosts:
            return
        self._known_hosts.update(new_hosts)
        domains = {known.domain for known in self._known_hosts.values()}
        self.feed(
            events.HostsCounted(
                len(self._known_hosts) + 1,
                frozenset(domains - {_UNKNOWN_DOMAIN}),
            )
        )
        self._update_links()

    def _tells_more(self, other: model.KnownHost) -> bool:
        """Returns whether a host was unknown, or its domain was."""
        known = self._known_hosts.get(other.host)
        if known is None:
            return True
        return known.domain == _UNKNOWN_DOMAIN != other.domain

    def _update_links(self) -> None:
        """Dials all known hosts, or only those of this failure domain."""
        self._linked_to_all = self._core.links_to_all
        near = (self._identity.domain, _UNKNOWN_DOMAIN)
        self._links.update_hosts(
            # The id of a host is also its address for peers.
            host_model.HostEntry(
                known.host, known.domain, ids.Incarnation(""), known.host
            )
            for known in self._known_hosts.values()
            if self._linked_to_all or known.domain in near
        )

    def _send_known_hosts(self, host: ids.HostId) -> None:
        known_hosts = (self._identity, *self._known_hosts.values())
        self._links.send(host, peer_messages.HostsKnown(known_hosts))

    def _request_newer_configuration(
        self, host: ids.HostId, version: int
    ) -> None:
        """Asks a peer for a newer version that the store has not delivered."""
        if version <= self._configuration_version():
            return
        now = self._loop.time()
        if self._request_configuration_at is None:
            self._request_configuration_at = now + CONFIGURATION_REQUEST_DELAY_S
        if now < self._request_configuration_at:
            return
        self._request_configuration_at = now + CONFIGURATION_REQUEST_DELAY_S
        request = peer_messages.ConfigurationWanted(
            self._configuration_version()
        )
        self._links.send(host, request)

    def _send_configuration(self, host: ids.HostId, newer_than: int) -> None:
        if self._configuration_version() > newer_than:
            copy = peer_messages.ConfigurationCopy(
                self._configuration_version(), self._document
            )
            self._links.send(host, copy)

    def _configuration_version(self) -> int:
        current = self._configuration
        return -1 if current is None else current.version

    def _apply_copy(self, document: bytes) -> None:
        try:
            configuration = configuration_module.decode(document)
        except fields.WrongFormatError as error:
            self._on_fault("decoding a peer's configuration", error)
            return
        self.apply_configuration(configuration, document)

    def _execute(self, action: actions.Action) -> None:
        match action:
            case actions.AnswerCaller(call=call, answer=answer):
                answer_future = self._pending_answers.get(call)
                if answer_future is not None and not answer_future.done():
                    answer_future.set_result(answer)
            case actions.ReportJob(call=call, report=report):
                report_future = self._pending_reports.get(call)
                if report_future is not None and not report_future.done():
                    report_future.set_result(report)
            case actions.AnswerCancel(call=call, taken=taken):
                cancel_future = self._pending_cancels.get(call)
                if cancel_future is not None and not cancel_future.done():
                    cancel_future.set_result(taken)
            case actions.TellPeer(host=host, message=message):
                self._links.send(host, message)
            case actions.ReadUpstreams():
                self._read_upstreams()
            case actions.Decided():
                self._on_decided(action)
            case actions.RelayOrder(relay=relay, order=order):
                self._order_queues.add_order(relay, order)
            case actions.SendForLeader():
                link_number = self._order_queues.link_number(action.leader)
                for order in action.orders:
                    self.spawn(self._relay_order(action, order, link_number))
            case _:
                self.spawn(self._send_order(action))

    async def _send_order(self, order: leased_calls.Order) -> None:
        self.feed(await self._result_of(order))

    async def _result_of(
        self, order: leased_calls.Order
    ) -> leased_calls.OrderResult:
        """Sends an order; returns its result, whatever happens.

        The core waits for it: without a result the upstream would not be used
        again.
        """
        try:
            return await self._order_client.send(order)
        except Exception as error:
            self._on_fault(f"sending {type(order).__name__}", error)
            failure = model.CallFailure.UNREADABLE
            return events.OrderUnanswered(order.call, failure)

    async def _relay_order(
        self,
        action: actions.SendForLeader,
        order: actions.Order,
        link_number: int,
    ) -> None:
        """Sends an order for a leader, and the result to the leader."""
        result = await self._result_of(order)
        self._order_queues.add_result(
            action.leader, action.term, result, link_number=link_number
        )

    def _tick(self) -> None:
        ticked_at = self._loop.time()
        late_s = 0.0
        if self._timer is not None:
            late_s = max(0.0, ticked_at - self._timer.when())
        # Before all else, so that no fault can end the ticks.
        self._schedule_tick(ticked_at + TICK_INTERVAL_S)
        self._order_client.late_s = late_s
        if self._core.leads:
            self._on_leader_tick(late_s)
        self.feed(events.Ticked(late_s))
        if self._core.idle:
            self._schedule_tick(ticked_at + IDLE_TICK_INTERVAL_S)
        if self._loop.time() >= self._next_watched_update_at:
            self._update_watched()
        if self._core.links_to_all != self._linked_to_all:
            self._update_links()

    def _schedule_tick(self, at: float) -> None:
        """Schedules the next tick, in place of the one that is scheduled."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(at, self._tick)

    def _hasten_tick(self) -> None:
        """Schedules the next tick as usual if this host is idle no more."""
        if self._timer is None or self._core.idle:
            return
        latest = self._loop.time() + TICK_INTERVAL_S
        if self._timer.when() > latest:
            self._schedule_tick(latest)

    def _update_watched(self) -> None:
        """Tells the links which hosts must be watched closely."""
        self._watches_leader = self._core.leader
        self._next_watched_update_at = (
            self._loop.time() + WATCHED_UPDATE_INTERVAL_S
        )
        self._links.set_watched(self._core.watched_hosts)

    def _operation_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            assert error is not None
            self._on_fault("background task", error)
