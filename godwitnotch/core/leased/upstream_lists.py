"""Applies lists of upstreams, read or told, and tells them to other hosts.

One leader reads the list for all; it tells the other leaders and the hosts that may
lead next.
"""

from godwitnotch.core.leased import dispatcher as dispatcher_module
from godwitnotch.core.leased import evacuation
from godwitnotch.core.leased import events
from godwitnotch.core.leased import fleet as fleet_module
from godwitnotch.core.leased import fleet_division
from godwitnotch.core.leased import leader_updates
from godwitnotch.core.leased import leadership as leadership_module
from godwitnotch.core.leased import listing as listing_module
from godwitnotch.core.leased import model


class UpstreamLists:
    """The lists of upstreams that this host reads or is told.

    Args:
        listing: The usable upstreams.
        fleet: The cells of the fleet.
        leadership: Tells whether this host leads, and who may lead next.
        dispatcher: Holds the upstreams while this host leads.
        division: Divides the fleet if a list is too large for one leader.
        updates: Tells the lists to other hosts.
        evacuation_sharing: Reports evacuated domains that have no upstream.
    """

    def __init__(
        self,
        listing: listing_module.UpstreamListing,
        fleet: fleet_module.Fleet,
        leadership: leadership_module.Leadership,
        dispatcher: dispatcher_module.Dispatcher,
        division: fleet_division.FleetDivision,
        updates: leader_updates.LeaderUpdates,
        evacuation_sharing: evacuation.EvacuationSharing,
    ) -> None:
        self._listing = listing
        self._fleet = fleet
        self._leadership = leadership
        self._dispatcher = dispatcher
        self._division = division
        self._updates = updates
        self._evacuation_sharing = evacuation_sharing

    @property
    def reads(self) -> bool:
        """Whether this host reads the list for all leaders."""
        return self._leadership.leads and self._fleet.lists_upstreams

    def read(self, event: events.UpstreamsListed, *, now: float) -> None:
        """Applies a list; a leader holds what is new and tells others."""
        changed = self._update(event, now=now)
        if not changed or not self._leadership.leads:
            return
        self.report_unknown_evacuations()
        self._division.divide_if_too_large(now=now)
        self._division.hold_upstreams(now=now)
        self._updates.list_changed()
        self.send()
        self._dispatcher.place_waiting(now=now)

    def received(
        self, upstreams: tuple[model.LeasedUpstream, ...], *, now: float
    ) -> None:
        """Applies a list that a leader has sent, unless this host reads it."""
        listed = events.UpstreamsListed(upstreams)
        if not self._leadership.leads:
            self._update(listed, now=now)
        elif not self.reads:
            self.read(listed, now=now)

    def send(self) -> None:
        """Sends the list to the hosts that may lead next, if this one leads."""
        if not self._leadership.leads or not self._listing.upstreams:
            return
        receivers = self._leadership.successors()
        if self._fleet.divided and self.reads:
            receivers += self._fleet.other_leaders
        self._updates.send_list(self._listing.upstreams, receivers)

    def report_unknown_evacuations(self) -> None:
        """Reports evacuated domains that have neither upstreams nor hosts."""
        if self._leadership.leads and self._listing.upstreams:
            self._evacuation_sharing.report_unknown(self._fleet.domains)

    def _update(self, event: events.UpstreamsListed, *, now: float) -> bool:
        """Applies a list; returns whether the usable upstreams have changed."""
        changed = self._listing.update(
            event.upstreams, unreadable=event.unreadable, now=now
        )
        instances = self._listing.instances
        if event.cold_remaining_ms is not None:
            cold = self._dispatcher.cold_upstreams
            cold.update(event.cold_remaining_ms, instances, now=now)
        if changed:
            self._dispatcher.evidence.follow_listing(instances)
            self._fleet.update_map(self._listing.upstreams)
        return changed
