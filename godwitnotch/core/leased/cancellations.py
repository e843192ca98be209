"""Takes the cancels of callers, and keeps them until no host can start the job.

A caller may cancel a job at any host. The owner of the job, or the leader that has
it, may be frozen, cut off or lost at that moment, and hand the job over or start it
later. So each host remembers the cancelled jobs, tells them to the hosts that it
links to, and starts and hands over none of them. A cancel is acknowledged once the
owner or the leader of the job has it, or all leaders have.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Protocol

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import cancelled_jobs
from godwitnotch.core.leased import fleet as fleet_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import owned_jobs
from godwitnotch.core.leased import peer_messages

# A cancel that no leader has confirmed by then isn't acknowledged; the caller is to
# ask again. The platform waits 4 s for an acknowledgement.
CONFIRM_TIMEOUT_S = 2.5
# A new leader is told the cancels of this time; it was told the earlier ones as they
# came, or when it was linked.
RECENT_S = 5.0
MAX_NAMES_PER_MESSAGE = 1_000


class JobCanceller(Protocol):
    """Ends a leader's jobs."""

    def job_cancelled(self, name: model.JobName, *, now: float) -> bool:
        """Ends a job; returns whether it was open here."""


class _PendingCancel(msgspec.Struct):
    """A cancel that isn't acknowledged yet.

    Attributes:
        gives_up_at: When its callers are told that it wasn't taken.
        calls: Ids of the callers' calls.
        found: Whether a host that has the job has ended it.
        asked: The hosts that were asked to confirm it.
        confirmed: Those that have.
    """

    gives_up_at: float
    calls: list[ids.CallId] = msgspec.field(default_factory=list)
    found: bool = False
    asked: set[ids.HostId] = msgspec.field(default_factory=set)
    confirmed: set[ids.HostId] = msgspec.field(default_factory=set)


class Cancellations:
    """The cancels that this host has taken or was told.

    Args:
        out: Collects the actions to execute.
        host: This host.
        fleet: Tells who leads the cells.
        cancelled: The cancelled jobs, which this object adds to.
        owned: The jobs whose callers this host answers.
        leader: The jobs of this host while it leads.
        linked_domains: Failure domain of each linked host.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        host: ids.HostId,
        fleet: fleet_module.Fleet,
        cancelled: cancelled_jobs.CancelledJobs,
        owned: owned_jobs.OwnedJobs,
        leader: JobCanceller,
        *,
        linked_domains: Mapping[ids.HostId, ids.DomainId],
    ) -> None:
        self._out = out
        self._host = host
        self._fleet = fleet
        self._cancelled = cancelled
        self._owned = owned
        self._leader = leader
        self._linked_domains = linked_domains
        self._pending: dict[model.JobName, _PendingCancel] = {}

    def asked_by_caller(
        self, call: ids.CallId, name: model.JobName, *, now: float
    ) -> None:
        """Handles a caller's cancel, which is acknowledged now or later."""
        owned = name in self._owned
        found = self._cancel_here(name, now=now)
        self._tell(self._linked_domains, (name,))
        if owned:
            # Nobody but this host could hand the job over.
            self._out.add(actions.AnswerCancel(call, taken=True))
            return
        pending = self._pending.get(name)
        if pending is None:
            pending = _PendingCancel(now + CONFIRM_TIMEOUT_S)
            self._pending[name] = pending
        pending.calls.append(call)
        pending.found = pending.found or found
        self._ask(name, pending)
        self._settle(name, pending)

    def asked_by_host(
        self, host: ids.HostId, name: model.JobName, *, now: float
    ) -> None:
        """Handles a cancel that another host asks this one to confirm."""
        found = self._cancel_here(name, now=now)
        confirmed = peer_messages.CancelConfirmed(name, found)
        self._out.add(actions.TellPeer(host, confirmed))
        if self._fleet.divided:
            # The other host isn't linked to all hosts of this domain.
            near = [
                other
                for other, domain in self._linked_domains.items()
                if model.CellId(domain) == self._fleet.home and other != host
            ]
            self._tell(near, (name,))

    def spread_received(
        self, names: Iterable[model.JobName], *, now: float
    ) -> None:
        """Handles cancels that another host spreads."""
        for name in names:
            self._cancel_here(name, now=now)

    def confirmed(
        self, host: ids.HostId, name: model.JobName, *, found: bool
    ) -> None:
        """Handles the confirmation that another host has a cancel."""
        pending = self._pending.get(name)
        if pending is None:
            return
        pending.confirmed.add(host)
        pending.found = pending.found or found
        self._settle(name, pending)

    def host_linked(self, host: ids.HostId, *, now: float) -> None:
        """Tells a newly linked host all cancels."""
        since = now - cancelled_jobs.RETENTION_S
        self._tell((host,), tuple(self._cancelled.since(since)))

    def leader_changed(self, leader: ids.HostId, *, now: float) -> None:
        """Tells a new leader the cancels that may not have reached it."""
        if leader not in ("", self._host):
            names = tuple(self._cancelled.since(now - RECENT_S))
            self._tell((leader,), names)

    def tick(self, *, now: float) -> None:
        """Asks new leaders, and gives up what nobody has confirmed in time."""
        self._cancelled.forget_expired(now=now)
        for name, pending in tuple(self._pending.items()):
            self._ask(name, pending)
            self._settle(name, pending)
            if name in self._pending and now >= pending.gives_up_at:
                self._out.add_decision("cancel_not_taken", job=name)
                self._answer(name, pending, taken=False)

    def _cancel_here(self, name: model.JobName, *, now: float) -> bool:
        """Ends a job at this host; returns whether it was open here."""
        is_new = self._cancelled.add(name, now=now)
        owned = self._owned.cancel(name)
        led = self._leader.job_cancelled(name, now=now)
        if is_new:
            self._out.add_decision(
                "job_cancelled",
                job=name,
                detail=f"owned={owned} led={led}".lower(),
            )
        return owned or led

    def _ask(self, name: model.JobName, pending: _PendingCancel) -> None:
        """Asks those to confirm a cancel who were not asked yet."""
        others: Iterable[ids.HostId] = self._fleet.other_leaders
        if not others:
            # Another host must know the cancel if this leader is lost, or if
            # there is no leader.
            others = self._linked_domains
        for host in others:
            if host not in pending.asked and host in self._linked_domains:
                pending.asked.add(host)
                told = peer_messages.JobCancelled(name)
                self._out.add(actions.TellPeer(host, told))

    def _settle(self, name: model.JobName, pending: _PendingCancel) -> None:
        """Acknowledges a cancel that is safe from the loss of a host."""
        kept_elsewhere = bool(pending.confirmed) or not self._linked_domains
        if kept_elsewhere and (pending.found or self._all_have(pending)):
            self._answer(name, pending, taken=True)

    def _all_have(self, pending: _PendingCancel) -> bool:
        """Returns whether the leaders of all cells have a cancel."""
        leaders = self._fleet.leader_of_each_cell()
        return leaders is not None and all(
            leader == self._host or leader in pending.confirmed
            for leader in leaders
        )

    def _answer(
        self, name: model.JobName, pending: _PendingCancel, *, taken: bool
    ) -> None:
        del self._pending[name]
        for call in pending.calls:
            self._out.add(actions.AnswerCancel(call, taken=taken))

    def _tell(
        self, hosts: Iterable[ids.HostId], names: tuple[model.JobName, ...]
    ) -> None:
        """Spreads cancels to hosts."""
        for message in _messages(names):
            for host in hosts:
                self._out.add(actions.TellPeer(host, message))


def _messages(
    names: tuple[model.JobName, ...],
) -> Iterator[peer_messages.JobsCancelled]:
    for first in range(0, len(names), MAX_NAMES_PER_MESSAGE):
        part = names[first : first + MAX_NAMES_PER_MESSAGE]
        yield peer_messages.JobsCancelled(part)
