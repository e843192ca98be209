"""The decisions of one host that serves leased runs: events in, actions out."""

from collections.abc import Callable
from typing import Any

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import dispatcher as dispatcher_module
from godwitnotch.core.leased import events
from godwitnotch.core.leased import evidence as evidence_module
from godwitnotch.core.leased import leadership as leadership_module
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import listing as listing_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import owned_jobs
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased.leadership import Change
from godwitnotch.core.leased.leadership import Scope

_Handler = Callable[["LeasedHost", Any, float], None]
_HANDLERS: dict[type, _Handler] = {}

FIRST_TERM_JUMP_S = 2.0
MAX_TERM_JUMP_S = 256.0
TERM_JUMP_PAUSE_S = 0.5
# Links of hosts that reach each other open within this time.
LEADER_MET_S = 3.0
OUTRANKED_GAP_S = 2.5


def _handles(*kinds: type) -> Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        for kind in kinds:
            _HANDLERS[kind] = handler
        return handler

    return register


class LeasedHost:
    """Decides for one process; the caller performs the actions.

    Args:
        host: This host.
        domain: Its failure domain.
        rank: How well it is suited to lead; higher is better.
        unix_time: Time of day in seconds.
        now: The present time.
    """

    def __init__(
        self,
        *,
        host: ids.HostId,
        domain: ids.DomainId,
        rank: int,
        unix_time: Callable[[], float],
        now: float,
    ) -> None:
        self._host = host
        self._domain = domain
        self._out = outbox_module.Outbox()
        self._have_list: set[ids.HostId] = set()
        self._have_evidence: set[ids.HostId] = set()
        self._share_evidence_at = 0.0
        self._linked: dict[ids.HostId, ids.DomainId] = {}
        self._listing = listing_module.UpstreamListing(now=now)
        self._leadership = leadership_module.Leadership(
            host=host, domain=domain, rank=rank, unix_time=unix_time, now=now
        )
        self._owned = owned_jobs.OwnedJobs(self._out, send=self._send)
        self._dispatcher = dispatcher_module.Dispatcher(
            self._out,
            answer_owner=self._answer_owner,
            in_scope=self._in_scope,
            all_listed=lambda now: self._listing.complete(now=now),
            outranked=self._outranked,
        )
        self._term_jump_s = FIRST_TERM_JUMP_S
        self._term_jump_at = 0.0
        self._outranked_since = now
        self._outranked_at = float("-inf")
        self._draining = False
        self._now = now

    @property
    def leader(self) -> ids.HostId:
        """The leader that this host follows, or empty."""
        return self._leadership.leader

    @property
    def leads(self) -> bool:
        """Whether this host is the leader."""
        return self._leadership.leads

    @property
    def ready(self) -> bool:
        """Whether callers can be served."""
        return not self._draining and self._leadership.leader_serving

    @property
    def open_jobs(self) -> int:
        """Returns how many callers wait here."""
        return self._owned.open

    @property
    def waiting_jobs(self) -> int:
        """Returns how many jobs wait for a first run, if this host leads."""
        return self._dispatcher.waiting_jobs

    @property
    def held_upstreams(self) -> int:
        """Returns how many upstreams this host holds."""
        return self._dispatcher.keeper.held

    def handle(
        self, event: events.Event, *, now: float
    ) -> list[actions.Action]:
        """Takes one event; returns what is to be done."""
        self._now = now
        _HANDLERS[type(event)](self, event, now)
        self._note_serving()
        return self._out.take()

    def _take_change(self, change: Change, *, now: float) -> None:
        if change is Change.NONE:
            return
        leadership = self._leadership
        self._out.decided(
            "leader_changed",
            detail=f"leader={leadership.leader} term={leadership.term} "
            f"linked={len(self._linked)} scope={leadership.scope().value}",
        )
        self._dispatcher.resign()
        self._have_list.clear()
        self._have_evidence.clear()
        if change is Change.ELECTED:
            self._dispatcher.take_office(
                leadership.term,
                hosts=[self._host, *self._linked],
                upstreams=self._listing.upstreams,
                now=now,
            )
        self._tell_standing()
        self._owned.leader_changed(leadership.leader, leadership.term, now=now)

    def _tell_standing(self) -> None:
        standing = self._leadership.standing()
        for host in self._linked:
            self._out.add(actions.TellPeer(host, standing))

    def _note_serving(self) -> None:
        serving = self.leads and self._dispatcher.keeper.holds_any()
        if self._leadership.set_serving(serving):
            self._tell_standing()

    def _send(self, host: ids.HostId, message: peer_messages.Message) -> None:
        if host == self._host:
            self._take_message(host, message, now=self._now)
        else:
            self._out.add(actions.TellPeer(host, message))

    def _answer_owner(
        self, owner: ids.HostId, job: model.JobName, answer: model.Answer
    ) -> None:
        if owner == self._host:
            self._owned.answered(job, answer)
        else:
            message = peer_messages.JobAnswered(job, answer)
            self._out.add(actions.TellPeer(owner, message))

    def _in_scope(self, upstream: model.LeasedUpstream) -> bool:
        scope = self._leadership.scope()
        if scope is Scope.ALL:
            return True
        return upstream.domain == self._domain

    def _outranked(
        self, lease: lease_module.Lease, taken: bool, now: float
    ) -> None:
        if not self._in_scope(lease.upstream):
            return
        if taken and self._dispatcher.keeper.holds_any():
            change = self._leadership.deposed(now=now)
            self._take_change(change, now=now)
            return
        if self._dispatcher.keeper.holds_any() and self._may_be_met(now=now):
            return
        if now < self._term_jump_at:
            return
        # The leader of that term is gone, or the time of day was later there.
        self._leadership.raise_term(by_s=self._term_jump_s)
        self._term_jump_at = now + TERM_JUMP_PAUSE_S
        self._term_jump_s = min(MAX_TERM_JUMP_S, self._term_jump_s * 2)
        self._dispatcher.keeper.set_term(self._leadership.term)
        self._out.decided("term_raised", detail=f"term={self._leadership.term}")
        self._tell_standing()

    def _may_be_met(self, *, now: float) -> bool:
        """Returns whether the leader of a higher term may still link up."""
        if now - self._outranked_at > OUTRANKED_GAP_S:
            self._outranked_since = now
        self._outranked_at = now
        return now - self._outranked_since < LEADER_MET_S

    def _take_message(
        self, host: ids.HostId, message: peer_messages.Message, *, now: float
    ) -> None:
        match message:
            case peer_messages.Standing():
                change = self._leadership.heard(host, message, now=now)
                self._take_change(change, now=now)
                self._share_upstreams()
            case peer_messages.JobAnswered(job=job, answer=answer):
                self._owned.answered(job, answer)
            case peer_messages.UpstreamsCopy(upstreams=upstreams):
                if not self.leads:
                    self._take_list(events.UpstreamsListed(upstreams), now=now)
            case peer_messages.UpstreamsLearnt():
                if not self.leads:
                    self._dispatcher.evidence.take(message, now=now)
            case _ if self.leads:
                self._take_as_leader(host, message, now=now)

    def _take_list(self, event: events.UpstreamsListed, *, now: float) -> bool:
        """Returns whether other upstreams may be used than before."""
        changed = self._listing.take(
            event.upstreams, unreadable=event.unreadable, now=now
        )
        if changed:
            self._dispatcher.evidence.keep_only(self._listing.remembered)
        return changed

    def _share_upstreams(self) -> None:
        """Gives the list of upstreams to those who are next to lead."""
        if not self.leads or not self._listing.upstreams:
            return
        copy = peer_messages.UpstreamsCopy(self._listing.upstreams)
        for host in self._leadership.successors():
            if host not in self._have_list:
                self._have_list.add(host)
                self._out.add(actions.TellPeer(host, copy))

    def _share_evidence(self, *, now: float) -> None:
        """Tells those who are next to lead how the upstreams do."""
        if not self.leads or now < self._share_evidence_at:
            return
        self._share_evidence_at = now + evidence_module.SHARE_INTERVAL_S
        evidence = self._dispatcher.evidence
        successors = self._leadership.successors()
        new = [each for each in successors if each not in self._have_evidence]
        if new:
            known = evidence.all(now=now)
            for host in new:
                self._out.add(actions.TellPeer(host, known))
        news = evidence.news(now=now)
        if news is not None:
            for host in successors:
                if host not in new:
                    self._out.add(actions.TellPeer(host, news))
        self._have_evidence = set(successors)

    def _take_as_leader(
        self, host: ids.HostId, message: peer_messages.Message, *, now: float
    ) -> None:
        match message:
            case peer_messages.JobHandedOver():
                self._dispatcher.handed_over(host, message, now=now)
            case peer_messages.AllHandedOver(term=term):
                if term == self._leadership.term:
                    self._dispatcher.all_handed_over(host, now=now)
            case peer_messages.JobDropped(job=job):
                self._dispatcher.dropped(host, job, now=now)
            case peer_messages.JobCancelled(job=job):
                self._dispatcher.cancelled(job, now=now)


@_handles(events.JobAsked)
def _job_asked(core: LeasedHost, event: events.JobAsked, now: float) -> None:
    core._owned.asked(event.call, event.request, event.deadline, now=now)


@_handles(events.CallerLeft)
def _caller_left(
    core: LeasedHost, event: events.CallerLeft, now: float
) -> None:
    core._owned.caller_left(event.call)


@_handles(events.CancelAsked)
def _cancel_asked(
    core: LeasedHost, event: events.CancelAsked, now: float
) -> None:
    known = core._owned.cancelled(event.job)
    leader = core._leadership.leader
    if not known and leader:
        core._send(leader, peer_messages.JobCancelled(event.job))


@_handles(events.UpstreamsListed)
def _upstreams_listed(
    core: LeasedHost, event: events.UpstreamsListed, now: float
) -> None:
    changed = core._take_list(event, now=now)
    if not changed or not core.leads:
        return
    upstreams = core._listing.upstreams
    core._dispatcher.keeper.upstreams_listed(upstreams, now=now)
    core._have_list.clear()
    core._share_upstreams()
    core._dispatcher.settle(now=now)


@_handles(events.PeerLinked)
def _peer_linked(
    core: LeasedHost, event: events.PeerLinked, now: float
) -> None:
    core._linked[event.host] = event.domain
    core._leadership.peer_up(event.host, event.domain, now=now)
    core._dispatcher.owner_linked(event.host, now=now)
    standing = core._leadership.standing()
    core._out.add(actions.TellPeer(event.host, standing))


@_handles(events.PeerLost)
def _peer_lost(core: LeasedHost, event: events.PeerLost, now: float) -> None:
    core._linked.pop(event.host, None)
    core._have_list.discard(event.host)
    core._have_evidence.discard(event.host)
    change = core._leadership.peer_down(event.host, now=now)
    if core.leads:
        core._dispatcher.owner_lost(event.host, now=now)
    core._take_change(change, now=now)


@_handles(events.PeerTold)
def _peer_told(core: LeasedHost, event: events.PeerTold, now: float) -> None:
    core._take_message(event.host, event.message, now=now)


@_handles(events.OrderTaken)
def _order_taken(
    core: LeasedHost, event: events.OrderTaken, now: float
) -> None:
    core._dispatcher.keeper.order_taken(event, now=now)
    core._dispatcher.settle(now=now)


@_handles(events.OrderRejected)
def _order_rejected(
    core: LeasedHost, event: events.OrderRejected, now: float
) -> None:
    core._dispatcher.keeper.order_rejected(event, now=now)
    core._dispatcher.settle(now=now)


@_handles(events.OrderUnanswered)
def _order_unanswered(
    core: LeasedHost, event: events.OrderUnanswered, now: float
) -> None:
    core._dispatcher.keeper.order_unanswered(event, now=now)
    core._dispatcher.settle(now=now)


@_handles(events.RunsListed)
def _runs_listed(
    core: LeasedHost, event: events.RunsListed, now: float
) -> None:
    core._dispatcher.keeper.runs_listed(event, now=now)
    core._dispatcher.settle(now=now)


@_handles(events.DrainStarted)
def _drain_started(
    core: LeasedHost, event: events.DrainStarted, now: float
) -> None:
    core._draining = True
    core._leadership.drain()
    core._tell_standing()


@_handles(events.Ticked)
def _ticked(core: LeasedHost, event: events.Ticked, now: float) -> None:
    change = core._leadership.tick(now=now)
    core._take_change(change, now=now)
    core._dispatcher.tick(now=now)
    core._share_evidence(now=now)
    core._owned.tick(now=now)
