"""The hosts whose jobs a leader dispatches: who has handed over, who is lost."""

from collections.abc import Iterable

from godwitnotch.core import ids

CLAIMS_WAIT_S = 0.25  # For the owners to hand over their open jobs.
# For a link that broke to open again before its owner's jobs are stopped.
OWNER_GRACE_S = 0.25


class Owners:
    """Tells when what no owner claims may be stopped."""

    def __init__(self) -> None:
        self._awaited: set[ids.HostId] = set()
        self._claims_until = 0.0
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
        self._claims_until = now + CLAIMS_WAIT_S

    def handed_over(self, host: ids.HostId) -> None:
        """Notes that a host has handed over all its open jobs."""
        self._awaited.discard(host)

    def lost(self, host: ids.HostId, *, now: float) -> None:
        """Notes that a host is no longer heard."""
        self._awaited.discard(host)
        self._lost[host] = now + OWNER_GRACE_S

    def all_handed_over(self, *, now: float) -> bool:
        """Returns whether nobody is awaited any longer."""
        return not self._awaited or now >= self._claims_until

    def take_gone(self, *, now: float) -> list[ids.HostId]:
        """Returns the hosts that were not heard again in time, once."""
        gone = [host for host, at in self._lost.items() if now >= at]
        for host in gone:
            del self._lost[host]
        return gone
