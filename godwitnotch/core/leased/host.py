"""Turns the events of a host that serves leased runs into actions."""

from collections.abc import Callable
from typing import Any

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import cancellations
from godwitnotch.core.leased import cancelled_jobs
from godwitnotch.core.leased import cell_load
from godwitnotch.core.leased import dispatcher as dispatcher_module
from godwitnotch.core.leased import evacuation
from godwitnotch.core.leased import events
from godwitnotch.core.leased import fleet as fleet_module
from godwitnotch.core.leased import fleet_division
from godwitnotch.core.leased import job_reports
from godwitnotch.core.leased import leader_updates
from godwitnotch.core.leased import leadership as leadership_module
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import listing as listing_module
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_relays
from godwitnotch.core.leased import order_results
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import owned_jobs
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import queue_pass
from godwitnotch.core.leased import relaying
from godwitnotch.core.leased import stalls
from godwitnotch.core.leased import term_raises
from godwitnotch.core.leased import upstream_lists
from godwitnotch.core.leased.leadership import LeadershipChange
from godwitnotch.core.leased.leadership import Scope

_Handler = Callable[["LeasedHost", Any, float], None]
_HANDLERS: dict[type, _Handler] = {}


def _handles(*kinds: type) -> Callable[[_Handler], _Handler]:
    """Registers a function as the handler of event classes."""

    def register(handler: _Handler) -> _Handler:
        for kind in kinds:
            _HANDLERS[kind] = handler
        return handler

    return register


class LeasedHost:
    """Decides what one host process does; the runtime executes the actions.

    Args:
        host: This host.
        domain: Failure domain of this host.
        rank: How well this host is suited to lead; higher is better.
        unix_time: Returns the Unix time in seconds.
        now: The current time.
        runs_per_s: How many runs a second this host can order as a leader.
        racks: How much longer tasks take away from the rack of their data.
    """

    def __init__(
        self,
        *,
        host: ids.HostId,
        domain: ids.DomainId,
        rank: int,
        unix_time: Callable[[], float],
        now: float,
        runs_per_s: float = float("inf"),
        racks: locality.Racks = locality.DEFAULT_RACKS,
    ) -> None:
        self._host = host
        self._domain = domain
        self._out = outbox_module.Outbox()
        self._evacuations = evacuation.Evacuations()
        self._evacuation_sharing = evacuation.EvacuationSharing(
            self._out, self._evacuations
        )
        self._fleet = fleet_module.Fleet(
            host=host,
            domain=domain,
            evacuations=self._evacuations,
            racks=racks,
        )
        self._linked_domains: dict[ids.HostId, ids.DomainId] = {}
        self._listing = listing_module.UpstreamListing(now=now)
        self._leadership = leadership_module.Leadership(
            host=host, domain=domain, rank=rank, unix_time=unix_time, now=now
        )
        cancelled = cancelled_jobs.CancelledJobs()
        self._owned_jobs = owned_jobs.OwnedJobs(
            self._out,
            self._fleet.leaders,
            send=self._send,
            cancelled=cancelled,
        )
        self._relays = order_relays.OrderRelays(runs_per_s=runs_per_s)
        self._dispatcher = dispatcher_module.Dispatcher(
            self._out,
            racks=racks,
            send=self._send,
            suitability=self._fleet.suitability,
            in_scope=self._in_scope,
            listing_complete=lambda now: self._listing.complete(now=now),
            higher_term_seen=self._higher_term_seen,
            evacuations=self._evacuations,
            closed_to=self._fleet.closed_to,
            cancelled=cancelled,
            relays=self._relays,
        )
        self._cancellations = cancellations.Cancellations(
            self._out,
            host,
            self._fleet,
            cancelled,
            self._owned_jobs,
            self._dispatcher,
            linked_domains=self._linked_domains,
        )
        self._division = fleet_division.FleetDivision(
            self._out,
            self._fleet,
            self._leadership,
            self._dispatcher,
            self._owned_jobs,
            self._listing,
            domain=domain,
            linked_domains=self._linked_domains,
            runs_per_s=runs_per_s,
            on_divided=self._follow_cell_leader,
        )
        self._relaying = relaying.Relaying(
            self._out, self._leadership, self._dispatcher, self._relays
        )
        self._job_reports = job_reports.JobReports(
            self._out,
            host,
            self._leadership,
            self._owned_jobs,
            self._dispatcher.explainer,
            send=self._send,
        )
        self._updates = leader_updates.LeaderUpdates(
            self._out, self._dispatcher.evidence, self._dispatcher.task_records
        )
        self._lists = upstream_lists.UpstreamLists(
            self._listing,
            self._fleet,
            self._leadership,
            self._dispatcher,
            self._division,
            self._updates,
            self._evacuation_sharing,
        )
        self._term_raises = term_raises.TermRaises(now=now)
        self._draining = False
        self._told_leading = False
        self._elected_term = model.Term(0)
        self._stalls = stalls.StallDetector(self._out)
        self._now = now

    @property
    def leader(self) -> ids.HostId:
        """The leader that this host follows; empty if none."""
        return self._leadership.leader

    @property
    def leads(self) -> bool:
        """Whether this host is the leader."""
        return self._leadership.leads

    @property
    def ready(self) -> bool:
        """Whether this host accepts jobs from callers."""
        return not self._draining and self._fleet.leaders.any_serving

    @property
    def lists_upstreams(self) -> bool:
        """Whether this host reads the list of upstreams for all leaders."""
        return self._lists.reads

    @property
    def leads_cell(self) -> bool:
        """Whether this host leads one of several cells."""
        return self.leads and self._fleet.divided

    @property
    def links_to_all(self) -> bool:
        """Whether this host opens links to hosts of other failure domains.

        In a divided fleet only the leaders do, so that owners reach them.
        """
        return self.leads or not self._fleet.divided

    @property
    def watched_hosts(self) -> frozenset[ids.HostId] | None:
        """The hosts whose loss this host must notice soon; None for all.

        A host that follows a leader sends its jobs to leaders only, so it has to
        notice no other loss. While it has no leader, an election goes by the
        hosts that it is linked to.
        """
        if self.leads or not self.leader:
            return None
        return frozenset((self.leader, *self._fleet.leaders.hosts))

    @property
    def idle(self) -> bool:
        """Whether this host follows a leader and no caller waits for it."""
        return (
            bool(self.leader)
            and not self.leads
            and not self._owned_jobs.open_count
        )

    @property
    def open_jobs(self) -> int:
        """How many callers wait for an answer from this host."""
        return self._owned_jobs.open_count

    @property
    def queue_figures(self) -> queue_pass.QueueFigures:
        """Figures about this leader's queue; all 0 if it isn't the leader."""
        return self._dispatcher.queue_figures

    @property
    def waiting_jobs(self) -> int:
        """How many jobs have not had a run; 0 unless this host leads."""
        return self._dispatcher.waiting_jobs

    @property
    def refused_share(self) -> float:
        """Share of new jobs that this leader's processor has no time for."""
        return self._dispatcher.processor.refused_share

    @property
    def relays(self) -> order_relays.OrderRelays:
        """The hosts that send this leader's calls."""
        return self._relays

    @property
    def held_upstreams(self) -> int:
        """How many upstreams this host holds a lease on."""
        return self._dispatcher.lease_manager.held_count

    @property
    def evacuated(self) -> peer_messages.DomainsEvacuated | None:
        """The newest set of evacuated domains; None before the first."""
        return self._evacuations.newest

    def handle(
        self, event: events.Event, *, now: float
    ) -> list[actions.Action]:
        """Handles one event and returns the actions to execute."""
        self._evacuations.time_passed(now - self._now, now=now)
        self._now = now
        change = self._leadership.notice_pause(now=now)
        self._apply_change(change, now=now)
        _HANDLERS[type(event)](self, event, now)
        self._update_serving()
        self._update_home_leader()
        return self._out.take()

    def _apply_change(self, change: LeadershipChange, *, now: float) -> None:
        """Starts or stops leading, and hands jobs over to a new leader."""
        if change is LeadershipChange.NONE:
            return
        leadership = self._leadership
        self._out.add_decision(
            "leader_changed",
            detail=f"leader={leadership.leader} term={leadership.term} "
            f"linked={len(self._linked_domains)} "
            f"scope={leadership.scope().value}",
        )
        self._dispatcher.stop_leading(now=now)
        self._relays.reset()
        self._updates.clear()
        if change is LeadershipChange.ELECTED:
            self._elected_term = leadership.term
            self._division.divide_if_too_large(now=now)
            self._dispatcher.start_leading(
                leadership.term,
                hosts=[self._host, *self._linked_domains],
                upstreams=self._fleet.held(self._listing.upstreams),
                now=now,
            )
        self._send_standing()
        self._update_home_leader()
        self._report_unfinished_runs(now=now)
        self._cancellations.leader_changed(leadership.leader, now=now)
        self._owned_jobs.leader_changed(
            self._fleet.home, leadership.leader, leadership.term, now=now
        )

    def _report_unfinished_runs(self, *, now: float) -> None:
        """Tells the next leader which runs this host left without an end."""
        message = self._dispatcher.unfinished_runs.message(now=now)
        leader = self._leadership.leader
        if message is not None and leader not in ("", self._host):
            self._send(leader, message)

    def _update_home_leader(self) -> None:
        """Tells the fleet's state who leads this host's cell."""
        leadership = self._leadership
        self._fleet.set_home_leader(
            leadership.leader,
            leadership.term,
            serving=leadership.leader_serving,
        )

    def _follow_cell_leader(
        self, change: LeadershipChange, *, now: float
    ) -> None:
        """Follows the leader of this host's cell, as the fleet was divided."""
        self._apply_change(change, now=now)
        self._send_standing()

    def _send_standing(self) -> None:
        """Tells the linked hosts what this host knows of its leader.

        In a divided fleet the hosts of other domains hear only from a leader:
        that it leads, and that it no longer does.
        """
        standing = self._leadership.standing()
        told_all = self.leads or self._told_leading or not self._fleet.divided
        self._told_leading = self.leads
        leaders = self._fleet.leaders.hosts
        for host, domain in self._linked_domains.items():
            if told_all or domain == self._domain or host in leaders:
                self._out.add(actions.TellPeer(host, standing))

    def _update_serving(self) -> None:
        """Tells linked hosts when this leader gets or loses all its leases."""
        serving = (
            self.leads
            and self._evacuations.newest is not None
            and self._dispatcher.lease_manager.holds_any()
        )
        if self._leadership.set_serving(serving):
            self._send_standing()

    def _send(self, host: ids.HostId, message: peer_messages.Message) -> None:
        """Sends a message to a host, or handles it if this host is meant."""
        if host == self._host:
            self._handle_message(host, message, now=self._now)
        else:
            self._out.add(actions.TellPeer(host, message))

    def _in_scope(self, upstream: model.LeasedUpstream) -> bool:
        """Returns whether this host may hold a lease on an upstream."""
        if self._fleet.divided:
            return self._fleet.holds(upstream.domain)
        scope = self._leadership.scope()
        if scope is Scope.ALL:
            return True
        return upstream.domain == self._domain

    def _higher_term_seen(
        self, lease: lease_module.Lease, was_held: bool, now: float
    ) -> None:
        """Steps down for the leader of a higher term, or raises its own term.

        If this host held the lease on the upstream, another leader has taken
        the upstream over, and this host steps down. Otherwise the link to that
        leader may not be open yet. This host raises its own term if the link
        doesn't open in time, or if this host holds no lease at all.
        """
        if not self._in_scope(lease.upstream):
            return
        adopted = self._fleet.divided and lease.upstream.domain != self._domain
        if (
            was_held
            and not adopted
            and self._dispatcher.lease_manager.holds_any()
        ):
            change = self._leadership.step_down(now=now)
            self._apply_change(change, now=now)
            return
        if (
            self._dispatcher.lease_manager.holds_any()
            and self._term_raises.other_leader_may_link(now=now)
        ):
            return
        raise_s = self._term_raises.take(now=now)
        if raise_s is None:
            return
        self._leadership.raise_term(by_s=raise_s)
        self._dispatcher.raise_term(
            self._leadership.term,
            hosts=[self._host, *self._linked_domains],
            now=now,
        )
        self._out.add_decision(
            "term_raised", detail=f"term={self._leadership.term}"
        )
        self._send_standing()

    def _handle_message(
        self, host: ids.HostId, message: peer_messages.Message, *, now: float
    ) -> None:
        match message:
            case peer_messages.FleetDivided():
                self._division.divide(now=now)
                self._division.hold_upstreams(now=now)
            case peer_messages.Standing():
                self._division.other_standing(host, message, now=now)
                change = self._leadership.standing_received(
                    host, message, now=now
                )
                self._apply_change(change, now=now)
                self._notice_departed_owner(host, message, now=now)
                self._lists.send()
            case peer_messages.JobAnswered(job=job, answer=answer):
                self._owned_jobs.job_answered(host, job, answer)
            case peer_messages.JobRedirected(job=job, leader=leader):
                self._owned_jobs.job_redirected(host, job, leader, now=now)
            case peer_messages.ListedUpstreams(upstreams=upstreams):
                self._lists.received(upstreams, now=now)
            case peer_messages.UpstreamsCopy():
                self._lists.received(message.listed(), now=now)
            case peer_messages.UpstreamsLearnt():
                if not self.leads:
                    self._dispatcher.evidence.apply(message, now=now)
            case peer_messages.DomainsEvacuated():
                self._learn_evacuations(message, host, now=now)
            case peer_messages.TasksLearnt():
                self._dispatcher.task_records.apply(message, now=now)
            case peer_messages.UnfinishedRuns(tasks=tasks):
                self._dispatcher.task_records.add_losses(tasks, now=now)
            case peer_messages.OrdersRelayed():
                self._relaying.orders_received(host, message)
            case peer_messages.JobReportWanted():
                self._job_reports.wanted(host, message, now=now)
            case peer_messages.JobReported():
                self._job_reports.reported(message)
            case peer_messages.JobCancelled(job=job):
                self._cancellations.asked_by_host(host, job, now=now)
            case peer_messages.JobsCancelled(jobs=jobs):
                self._cancellations.spread_received(jobs, now=now)
            case peer_messages.CancelConfirmed(job=job, found=found):
                self._cancellations.confirmed(host, job, found=found)
            case _ if self.leads:
                self._handle_leader_message(host, message, now=now)

    def _notice_departed_owner(
        self, host: ids.HostId, standing: peer_messages.Standing, *, now: float
    ) -> None:
        """Notices that an owner has left this leader for another one."""
        if not self.leads or standing.leader in ("", self._host):
            return
        if self._fleet.divided and self._linked_domains.get(host) != (
            self._domain
        ):
            return
        self._dispatcher.owner_left(host, now=now)

    def _learn_evacuations(
        self,
        told: peer_messages.DomainsEvacuated,
        source: ids.HostId | None,
        *,
        now: float,
    ) -> None:
        """Applies a set of evacuated domains that was read or told."""
        if self._evacuation_sharing.learn(
            told, source=source, linked=self._linked_domains
        ):
            self._fleet.evacuations_changed()
            self._dispatcher.evacuations_changed(now=now)
            self._lists.report_unknown_evacuations()

    def _handle_leader_message(
        self, host: ids.HostId, message: peer_messages.Message, *, now: float
    ) -> None:
        """Handles a message that only a leader accepts."""
        match message:
            case peer_messages.JobHandedOver():
                self._dispatcher.job_handed_over(host, message, now=now)
            case peer_messages.JobMoved(
                job=handed_over,
                redirected=redirected,
                may_run_elsewhere=may_run_elsewhere,
            ):
                self._dispatcher.job_handed_over(
                    host,
                    handed_over,
                    redirected=redirected,
                    may_run_elsewhere=may_run_elsewhere,
                    now=now,
                )
            case peer_messages.OrderResults():
                self._relaying.results_received(host, message, now=now)
            case cell_load.CellLoad():
                self._dispatcher.overflow.load_received(host, message, now=now)
            case peer_messages.AllHandedOver(term=term):
                # The sender may know a higher term, or not yet a raised one.
                if term >= self._elected_term:
                    self._dispatcher.all_handed_over(host, now=now)
            case peer_messages.JobDeadlineMoved():
                self._dispatcher.job_deadline_moved(host, message, now=now)
            case peer_messages.JobDropped(job=job):
                self._dispatcher.job_dropped(host, job, now=now)


@_handles(events.JobAsked)
def _job_asked(host: LeasedHost, event: events.JobAsked, now: float) -> None:
    host._owned_jobs.job_received(
        event.call, event.request, event.deadline, now=now
    )


@_handles(events.ReportAsked)
def _report_asked(
    host: LeasedHost, event: events.ReportAsked, now: float
) -> None:
    host._job_reports.asked(event)


@_handles(events.CallerLeft)
def _caller_left(
    host: LeasedHost, event: events.CallerLeft, now: float
) -> None:
    host._owned_jobs.caller_left(event.call)


@_handles(events.CancelAsked)
def _cancel_asked(
    host: LeasedHost, event: events.CancelAsked, now: float
) -> None:
    host._cancellations.asked_by_caller(event.call, event.job, now=now)


@_handles(events.UpstreamsListed)
def _upstreams_listed(
    host: LeasedHost, event: events.UpstreamsListed, now: float
) -> None:
    host._lists.read(event, now=now)


@_handles(events.EvacuationsRead)
def _evacuations_read(
    host: LeasedHost, event: events.EvacuationsRead, now: float
) -> None:
    host._learn_evacuations(event.evacuated, None, now=now)


@_handles(events.PeerLinked)
def _peer_linked(
    host: LeasedHost, event: events.PeerLinked, now: float
) -> None:
    host._linked_domains[event.host] = event.domain
    # Before the standing, so that no host follows a leader that it knows and
    # starts tasks in a domain of whose evacuation it doesn't.
    host._evacuation_sharing.tell(event.host)
    # Likewise, so that an owner hands over no job that was cancelled meanwhile.
    host._cancellations.host_linked(event.host, now=now)
    host._fleet.hosts_seen((event.domain,))
    host._leadership.peer_linked(event.host, event.domain, now=now)
    host._dispatcher.owner_linked(event.host, now=now)
    if host._fleet.divided:
        divided = peer_messages.FleetDivided()
        host._out.add(actions.TellPeer(event.host, divided))
    standing = host._leadership.standing()
    host._out.add(actions.TellPeer(event.host, standing))


@_handles(events.PeerLost)
def _peer_lost(host: LeasedHost, event: events.PeerLost, now: float) -> None:
    host._linked_domains.pop(event.host, None)
    host._updates.host_lost(event.host)
    host._dispatcher.overflow.host_lost(event.host)
    change = host._leadership.peer_lost(event.host, now=now)
    host._relaying.host_lost(event.host, now=now)
    if host.leads:
        host._dispatcher.owner_lost(event.host, now=now)
    host._apply_change(change, now=now)
    cell = host._fleet.host_lost(event.host)
    if cell is not None:
        nobody = ids.HostId("")
        host._owned_jobs.leader_changed(cell, nobody, model.Term(0), now=now)


@_handles(events.PeerTold)
def _peer_told(host: LeasedHost, event: events.PeerTold, now: float) -> None:
    host._handle_message(event.host, event.message, now=now)


@_handles(
    events.OrderTaken,
    events.OrderRejected,
    events.OrderUnanswered,
    events.RunsListed,
)
def _call_ended(
    host: LeasedHost, event: order_results.OrderResult, now: float
) -> None:
    host._dispatcher.lease_manager.call_ended(event, now=now)
    host._dispatcher.place_waiting(now=now)


@_handles(events.HostsCounted)
def _hosts_counted(
    host: LeasedHost, event: events.HostsCounted, now: float
) -> None:
    host._fleet.hosts_seen(event.domains)
    host._division.count_hosts(event.count)
    if not host.leader:
        host._division.divide_if_too_large(now=now)


@_handles(events.DrainStarted)
def _drain_started(
    host: LeasedHost, event: events.DrainStarted, now: float
) -> None:
    host._draining = True
    host._leadership.drain()
    host._send_standing()
    host._owned_jobs.drain(answer_by=event.answer_by, now=now)


@_handles(events.Ticked)
def _ticked(host: LeasedHost, event: events.Ticked, now: float) -> None:
    host._stalls.tick(leading=host.leads, term=host._leadership.term, now=now)
    change = host._leadership.tick(now=now)
    host._apply_change(change, now=now)
    if host.leads and host._division.divide_if_too_large(now=now):
        host._division.hold_upstreams(now=now)
    host._division.update_adopted(now=now)
    host._relaying.tick(now=now)
    host._dispatcher.tick(now=now, late_s=event.late_s)
    if host.leads:
        if host._fleet.divided:
            host._updates.send_load(
                host._dispatcher.cell_load, host._fleet.other_leaders, now=now
            )
        successors = host._leadership.successors()
        host._updates.send_evidence(successors, now=now)
        host._updates.send_task_records(successors + host._fleet.other_leaders)
    host._cancellations.tick(now=now)
    host._owned_jobs.tick(now=now)
