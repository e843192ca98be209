"""The cells of a fleet: groups of upstreams with one leader each.

A small fleet is one cell. In a fleet that is too large for one leader, the
upstreams of each failure domain are a cell, led by a host of that domain.
"""

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model

WHOLE_FLEET = model.CellId("")


class CellLeader(msgspec.Struct, frozen=True):
    """The leader of a cell.

    Attributes:
        host: The leader.
        term: Its term.
        serving: Whether it holds leases on upstreams.
    """

    host: ids.HostId
    term: model.Term
    serving: bool


class CellLeaders:
    """The leaders that this host knows."""

    def __init__(self) -> None:
        self._leaders: dict[model.CellId, CellLeader] = {}
        self._closed: frozenset[model.CellId] = frozenset()

    @property
    def hosts(self) -> list[ids.HostId]:
        """All known leaders."""
        return [leader.host for leader in self._leaders.values()]

    @property
    def cells(self) -> list[model.CellId]:
        """All cells whose leader is known."""
        return list(self._leaders)

    @property
    def any_serving(self) -> bool:
        """Whether any cell can take jobs."""
        return any(leader.serving for leader in self._leaders.values())

    def get(self, cell: model.CellId) -> CellLeader | None:
        """Returns the leader of a cell; None if none is known."""
        return self._leaders.get(cell)

    def host(self, cell: model.CellId) -> ids.HostId:
        """Returns the leader of a cell; empty if none is known."""
        leader = self._leaders.get(cell)
        return ids.HostId("") if leader is None else leader.host

    def cell_of(self, host: ids.HostId) -> model.CellId | None:
        """Returns the cell that a host leads; None if it leads none."""
        for cell, leader in self._leaders.items():
            if leader.host == host:
                return cell
        return None

    def serving_cells(self) -> list[model.CellId]:
        """Returns the cells that can take jobs, in a fixed order."""
        return sorted(
            cell for cell, leader in self._leaders.items() if leader.serving
        )

    def close(self, cells: frozenset[model.CellId]) -> None:
        """Sets the cells that are to take no jobs while others can."""
        self._closed = cells

    def open_cells(self) -> list[model.CellId]:
        """Returns the serving cells that aren't closed, or all if all are."""
        serving = self.serving_cells()
        return [cell for cell in serving if cell not in self._closed] or serving

    def set(self, cell: model.CellId, leader: CellLeader | None) -> bool:
        """Sets the leader of a cell; returns whether host or term changed."""
        known = self._leaders.get(cell)
        if leader is None:
            self._leaders.pop(cell, None)
            return known is not None
        self._leaders[cell] = leader
        return known is None or (known.host, known.term) != (
            leader.host,
            leader.term,
        )

    def clear(self) -> None:
        """Forgets all leaders."""
        self._leaders.clear()
