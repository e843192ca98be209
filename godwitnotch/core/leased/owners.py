"""The hosts whose jobs a leader dispatches: who has handed over, who is lost."""

from collections.abc import Iterable

from godwitnotch.core import ids

CLAIM_PERIOD_S = 0.25  # For the owners to hand over their open jobs.
# For a link that broke to open again before its owner's jobs are stopped.
OWNER_RELINK_GRACE_S = 0.25


class Owners:
    """Tells when what no owner claims may be stopped."""

    def __init__(self) -> None:
        self._awaited: set[ids.HostId] = set()
        self._claim_period_ends_at = 0.0
        self._lost: dict[ids.HostId, float] = {}

    def clear(self) -> None:
        """Forgets all hosts."""
        self._awaited.clear()
        self._lost.clear()

    def await_hosts(self, hosts: Iterable[ids.HostId], *, now: float) -> None:
        """Awaits the open jobs of hosts that are heard from now on."""
        for host in hosts:
            self._awaited.add(host)
            self._lost.pop(host, None)
        self._claim_period_ends_at = now + CLAIM_PERIOD_S

    def handed_over(self, host: ids.HostId) -> None:
        """Notes that a host has handed over all its open jobs."""
        self._awaited.discard(host)

    def host_lost(self, host: ids.HostId, *, now: float) -> None:
        """Notes that a host is no longer heard."""
        self._awaited.discard(host)
        self._lost[host] = now + OWNER_RELINK_GRACE_S

    def all_handed_over(self, *, now: float) -> bool:
        """Returns whether nobody is awaited any longer."""
        return not self._awaited or now >= self._claim_period_ends_at

    def pop_expired(self, *, now: float) -> list[ids.HostId]:
        """Returns the hosts that were not heard again in time, once."""
        expired = [host for host, at in self._lost.items() if now >= at]
        for host in expired:
            del self._lost[host]
        return expired
