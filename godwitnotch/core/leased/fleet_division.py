"""Answers a fleet that is too large for one leader: one leader a failure domain.

The host that notices it tells its linked hosts, which tell theirs. From then on
each domain is a cell, whose hosts elect a leader of their own, and each leader
holds the upstreams of its cell.
"""

from collections.abc import Mapping
from typing import Protocol

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import capacity
from godwitnotch.core.leased import dispatcher as dispatcher_module
from godwitnotch.core.leased import fleet as fleet_module
from godwitnotch.core.leased import leadership as leadership_module
from godwitnotch.core.leased import listing as listing_module
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import owned_jobs
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased.leadership import LeadershipChange
from godwitnotch.core.leased.leadership import Scope


class OnDivided(Protocol):
    """Follows the leader of this host's cell from now on."""

    def __call__(self, change: LeadershipChange, *, now: float) -> None:
        """Applies the change of the leader and tells it to the other hosts."""


class FleetDivision:
    """Divides the fleet, and keeps to what this host's cell holds.

    Args:
        out: Collects the actions to execute.
        fleet: The cells of the fleet.
        leadership: Tells which leader this host follows.
        dispatcher: The dispatcher of this host while it leads.
        jobs: The jobs whose callers this host answers.
        listing: The list of upstreams.
        domain: Failure domain of this host.
        linked_domains: Failure domain of each linked host.
        runs_per_s: How many runs a second this host can order as a leader.
        on_divided: Called when the fleet was divided.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        fleet: fleet_module.Fleet,
        leadership: leadership_module.Leadership,
        dispatcher: dispatcher_module.Dispatcher,
        jobs: owned_jobs.OwnedJobs,
        listing: listing_module.UpstreamListing,
        *,
        domain: ids.DomainId,
        linked_domains: Mapping[ids.HostId, ids.DomainId],
        runs_per_s: float,
        on_divided: OnDivided,
    ) -> None:
        self._out = out
        self._fleet = fleet
        self._leadership = leadership
        self._dispatcher = dispatcher
        self._jobs = jobs
        self._listing = listing
        self._domain = domain
        self._linked_domains = linked_domains
        self._runs_per_s = runs_per_s
        self._on_divided = on_divided
        self._host_count = 1

    def count_hosts(self, count: int) -> None:
        """Sets how many hosts are known, this one included."""
        self._host_count = count

    def divide_if_too_large(self, *, now: float) -> bool:
        """Divides the fleet if one leader is too few for it.

        A leader whose jobs have runs doesn't, since these jobs would have to
        wait until all their runs have ended; the next leader then does.

        Returns:
            Whether the fleet was divided; a leader then holds fewer upstreams.
        """
        if self._fleet.divided or not self._fleet.can_divide:
            return False
        too_large = (
            self._host_count > capacity.MAX_LINKED_HOSTS
            or capacity.exceeds_one_leader(
                len(self._listing.upstreams), runs_per_s=self._runs_per_s
            )
        )
        if not too_large or self._dispatcher.any_started:
            return False
        self.divide(now=now)
        return True

    def divide(self, *, now: float) -> None:
        """Lets each failure domain elect a leader of its own, from now on."""
        if self._fleet.divided:
            return
        self._out.add_decision(
            "fleet_divided",
            detail=f"domain={self._domain} "
            f"upstreams={len(self._listing.upstreams)}",
        )
        self._fleet.divide()
        self._jobs.fleet_divided(self._fleet.home, now=now)
        for host in self._linked_domains:
            self._out.add(actions.TellPeer(host, peer_messages.FleetDivided()))
        self._on_divided(self._leadership.divide(now=now), now=now)
        for host, standing in self._leadership.standings():
            self.other_standing(host, standing, now=now)

    def other_standing(
        self, host: ids.HostId, standing: peer_messages.Standing, *, now: float
    ) -> None:
        """Handles who leads the cell of another failure domain."""
        domain = self._linked_domains.get(host)
        if not self._fleet.divided or domain in (None, self._domain):
            return
        assert domain is not None
        cell = self._fleet.other_standing(host, domain, standing)
        if cell is not None:
            self._jobs.leader_changed(
                cell, self._fleet.leaders.host(cell), standing.term, now=now
            )

    def hold_upstreams(self, *, now: float) -> None:
        """Gives the lease manager the upstreams that this leader holds."""
        if not self._leadership.leads:
            return
        held = self._fleet.held(self._listing.upstreams)
        self._dispatcher.lease_manager.update_upstreams(held, now=now)

    def update_adopted(self, *, now: float) -> None:
        """Adopts upstreams of domains that have no host, or releases them."""
        if not self._fleet.divided or not self._leadership.leads:
            return
        if self._leadership.scope() is not Scope.ALL:
            return
        if self._fleet.update_adopted(now=now):
            self.hold_upstreams(now=now)
