"""What a host knows of the cells of its fleet, and which cell is its own."""

import zlib
from collections.abc import Iterable

from godwitnotch.core import ids
from godwitnotch.core.leased import cell_map
from godwitnotch.core.leased import cells
from godwitnotch.core.leased import evacuation
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model
from godwitnotch.core.leased import overflow
from godwitnotch.core.leased import peer_messages

# Time for links to the hosts of a failure domain to open, before its upstreams
# are led from another domain. A domain whose hosts are only lost is never led
# from outside: it may be cut off and go on by itself.
ORPHAN_DELAY_S = 2.0


class Fleet:
    """The cells of a fleet as one host sees them.

    A fleet is divided once and stays so.

    Args:
        host: This host.
        domain: Failure domain of this host.
        evacuations: The evacuated failure domains.
        racks: How much longer tasks take away from the rack of their data.
    """

    def __init__(
        self,
        *,
        host: ids.HostId,
        domain: ids.DomainId,
        evacuations: evacuation.Evacuations,
        racks: locality.Racks,
    ) -> None:
        self._host = host
        self._domain = domain
        self._evacuations = evacuations
        self._divided = False
        self._leaders = cells.CellLeaders()
        self._map = cell_map.CellMap(racks)
        self._orphaned_since: dict[ids.DomainId, float] = {}
        self._adopted: frozenset[ids.DomainId] = frozenset()
        self._host_domains = {domain}

    @property
    def divided(self) -> bool:
        """Whether each failure domain is a cell."""
        return self._divided

    @property
    def home(self) -> model.CellId:
        """The cell of this host."""
        return (
            model.CellId(self._domain) if self._divided else cells.WHOLE_FLEET
        )

    @property
    def leaders(self) -> cells.CellLeaders:
        """The known leaders of all cells."""
        return self._leaders

    @property
    def can_divide(self) -> bool:
        """Whether more than one failure domain has hosts."""
        return len(self._host_domains) > 1

    @property
    def other_leaders(self) -> list[ids.HostId]:
        """The known leaders without this host."""
        return [host for host in self._leaders.hosts if host != self._host]

    def leader_of_each_cell(self) -> list[ids.HostId] | None:
        """Returns the leaders of all cells; None if one isn't known."""
        cell_ids = [self.home]
        if self._divided:
            cell_ids = [model.CellId(domain) for domain in self._host_domains]
        leaders = [self._leaders.host(cell) for cell in cell_ids]
        return leaders if all(leaders) else None

    @property
    def lists_upstreams(self) -> bool:
        """Whether this host, if it leads, reads the list for all leaders."""
        return self._host == min(self._leaders.hosts, default=self._host)

    @property
    def domains(self) -> frozenset[ids.DomainId]:
        """The failure domains that have upstreams or hosts."""
        return self._map.domains | self._host_domains

    def hosts_seen(self, domains: Iterable[ids.DomainId]) -> None:
        """Records that failure domains have hosts."""
        self._host_domains.update(domains)

    def divide(self) -> None:
        """Makes each failure domain a cell."""
        self._divided = True
        self._leaders.clear()

    def update_map(self, upstreams: Iterable[model.LeasedUpstream]) -> None:
        """Replaces the list of upstreams."""
        self._map.update(upstreams)

    def set_home_leader(
        self, leader: ids.HostId, term: model.Term, *, serving: bool
    ) -> None:
        """Sets the leader of this host's cell; empty if there is none."""
        self._leaders.set(
            self.home,
            cells.CellLeader(leader, term, serving) if leader else None,
        )

    def other_standing(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        standing: peer_messages.Standing,
    ) -> model.CellId | None:
        """Handles what a host of another failure domain says of its leader.

        Returns:
            The cell whose leader has changed, if any.
        """
        cell = model.CellId(domain)
        known = self._leaders.get(cell)
        leads = standing.leader == host and not standing.draining
        if leads and (known is None or standing.term >= known.term):
            leader = cells.CellLeader(host, standing.term, standing.serving)
            return cell if self._leaders.set(cell, leader) else None
        if known is not None and known.host == host and not leads:
            self._leaders.set(cell, None)
            return cell
        return None

    def host_lost(self, host: ids.HostId) -> model.CellId | None:
        """Handles the loss of a host; returns the cell that it led, if any."""
        cell = self._leaders.cell_of(host)
        if cell is None or cell == self.home:
            return None
        self._leaders.set(cell, None)
        return cell

    def holds(self, domain: ids.DomainId) -> bool:
        """Returns whether this host's leader holds the upstreams of a domain.

        In a fleet that isn't divided, the leader's scope decides as well.
        """
        return (
            not self._divided
            or domain == self._domain
            or domain in self._adopted
        )

    def held(
        self, upstreams: Iterable[model.LeasedUpstream]
    ) -> tuple[model.LeasedUpstream, ...]:
        """Returns those of the upstreams that this host's leader holds."""
        return tuple(each for each in upstreams if self.holds(each.domain))

    def suitability(self, request: model.JobRequest) -> overflow.Suitability:
        """Returns how long the tasks of a job take in each cell."""
        evacuated = self._evacuations.domains
        own_domains = {self._domain, *self._adopted} - evacuated
        own = self._map.run_factor(request, own_domains)
        others = {}
        for cell in self._leaders.serving_cells():
            domain = ids.DomainId(cell)
            factor = self._map.run_factor(request, (domain,))
            if domain in evacuated or domain == self._domain:
                continue
            if factor is not None:
                others[self._leaders.host(cell)] = factor
        return overflow.Suitability(own, others)

    def closed_to(self, request: model.JobRequest) -> bool:
        """Returns whether only evacuated upstreams could run a job here."""
        evacuated = self._evacuations.domains
        if not evacuated:
            return False
        held = {domain for domain in self._map.domains if self.holds(domain)}
        return (
            self._map.run_factor(request, held - evacuated) is None
            and self._map.run_factor(request, held) is not None
        )

    def evacuations_changed(self) -> None:
        """Keeps jobs from the cells of evacuated domains."""
        self._leaders.close(
            frozenset(map(model.CellId, self._evacuations.domains))
        )

    def update_adopted(self, *, now: float) -> bool:
        """Decides which domains without any host this host's leader adopts.

        Of all leaders, one adopts a domain; all compute the same one.

        Returns:
            Whether the adopted domains have changed.
        """
        orphans: frozenset[ids.DomainId] = frozenset()
        if self.other_leaders:  # Else this host may only be cut off.
            orphans = self._map.domains - self._host_domains
        self._orphaned_since = {
            domain: self._orphaned_since.get(domain, now) for domain in orphans
        }
        adopted = frozenset(
            domain
            for domain, since in self._orphaned_since.items()
            if now - since >= ORPHAN_DELAY_S
            and self._host == self._adopter(domain)
        )
        changed = adopted != self._adopted
        self._adopted = adopted
        return changed

    def _adopter(self, domain: ids.DomainId) -> ids.HostId:
        return min(
            self._leaders.hosts,
            key=lambda host: zlib.crc32(f"{domain} {host}".encode()),
            default=self._host,
        )
