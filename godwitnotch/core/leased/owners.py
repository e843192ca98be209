"""Tracks which owners have handed over their jobs, and which are lost."""

from collections.abc import Iterable

from godwitnotch.core import ids

CLAIM_PERIOD_S = 0.25  # Time for owners to hand over their open jobs.
# Time for a lost owner to come back before its jobs are stopped.
OWNER_RELINK_GRACE_S = 0.25


class Owners:
    """Decides when unclaimed runs and the jobs of lost owners are stopped.

    An owner is lost when its link is lost or it follows another leader. It is
    back only when it has handed over its jobs, since another leader may have
    had them meanwhile. No task of a lost owner starts.
    """

    def __init__(self) -> None:
        self._awaited: set[ids.HostId] = set()
        self._claim_period_ends_at = 0.0
        self._lost: dict[ids.HostId, float] = {}
        self._away_since: dict[ids.HostId, float] = {}

    def clear(self) -> None:
        """Forgets all hosts."""
        self._awaited.clear()
        self._lost.clear()
        self._away_since.clear()

    def await_hosts(self, hosts: Iterable[ids.HostId], *, now: float) -> None:
        """Starts a claim period, in which hosts hand over their open jobs."""
        for host in hosts:
            self._awaited.add(host)
            self._away_since.setdefault(host, now)
            if host in self._lost:
                self._lost[host] = now + CLAIM_PERIOD_S
        self._claim_period_ends_at = now + CLAIM_PERIOD_S

    def handed_over(self, host: ids.HostId) -> float:
        """Records that a host has handed over all its open jobs.

        Returns:
            Since when messages of the host may have been lost. A job that it
            hasn't handed over since is no longer open.
        """
        self._awaited.discard(host)
        self._lost.pop(host, None)
        return self._away_since.pop(host, float("-inf"))

    def host_left(self, host: ids.HostId, *, now: float) -> None:
        """Records that a linked host follows another leader."""
        self._away_since.setdefault(host, now)
        self._lost.setdefault(host, now + OWNER_RELINK_GRACE_S)

    def host_lost(self, host: ids.HostId, *, now: float) -> None:
        """Records that the link to a host was lost."""
        self._awaited.discard(host)
        self._away_since.setdefault(host, now)
        self._lost[host] = now + OWNER_RELINK_GRACE_S

    def all_handed_over(self, *, now: float) -> bool:
        """Returns whether all hosts have handed over or the period ended."""
        return not self._awaited or now >= self._claim_period_ends_at

    def is_lost(self, host: ids.HostId) -> bool:
        """Returns whether a host was lost and has not handed over its jobs."""
        return host in self._lost

    def pop_expired(self, *, now: float) -> list[ids.HostId]:
        """Removes and returns the hosts that were not back in time."""
        expired = [host for host, at in self._lost.items() if now >= at]
        for host in expired:
            del self._lost[host]
        return expired
