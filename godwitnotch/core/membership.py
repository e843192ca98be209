"""The other hosts: in the directory, linked, or only possibly live."""

import msgspec

from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import limits as limits_module
from godwitnotch.core import model


class _KnownHost(msgspec.Struct):
    """A possibly live host; expires unless the host is seen again."""

    entry: model.HostEntry
    expires_at: float


class Membership:
    """Tracks the directory, the peer links and the possibly live hosts.

    The directory is updated with a delay, and a host that loses its network
    disappears from the directory although it may still be running. So a host
    that was seen and did not announce that it leaves counts as possibly live
    for `missing_host_memory_s`.
    """

    def __init__(
        self,
        identity: model.HostEntry,
        *,
        limits: limits_module.HostLimits,
    ) -> None:
        self._identity = identity
        self._limits = limits
        self._directory = model.Directory()
        self._linked: dict[ids.HostId, model.HostEntry] = {}
        self._known: dict[ids.HostId, _KnownHost] = {}

    @property
    def upstreams(self) -> tuple[model.UpstreamEntry, ...]:
        """The upstreams in the latest directory."""
        return self._directory.upstreams

    @property
    def linked(self) -> tuple[model.HostEntry, ...]:
        """The hosts with an open peer link."""
        return tuple(self._linked.values())

    def linked_entry(self, host: ids.HostId) -> model.HostEntry | None:
        """Returns the entry of a host if its peer link is open."""
        return self._linked.get(host)

    def is_linked(self, entry: model.HostEntry | None) -> bool:
        """Returns whether the process of an entry is still linked."""
        if entry is None:
            return False
        linked = self._linked.get(entry.host)
        return linked is not None and linked.incarnation == entry.incarnation

    def update_directory(
        self, directory: model.Directory, *, now: float
    ) -> bool:
        """Applies a newer directory; returns whether its upstreams changed."""
        changed = directory.upstreams != self._directory.upstreams
        self._directory = directory
        for entry in directory.hosts:
            self._remember(entry, now)
        return changed

    def peer_up(self, event: events.PeerUp, *, now: float) -> None:
        """Records that a peer link was opened."""
        entry = model.HostEntry(event.host, event.domain, event.incarnation, "")
        self._linked[event.host] = entry
        self._remember(entry, now)

    def peer_down(self, host: ids.HostId, *, now: float) -> None:
        """Records that a peer link was closed; the host may still run."""
        entry = self._linked.pop(host, None)
        if entry is not None:
            self._remember(entry, now)

    def peer_leaving(self, host: ids.HostId) -> None:
        """Records that a host is draining, so it no longer counts as live."""
        self._known.pop(host, None)

    def current_incarnation(self, host: ids.HostId) -> ids.Incarnation | None:
        """Returns the incarnation of the linked or last known process."""
        linked = self._linked.get(host)
        if linked is not None:
            return linked.incarnation
        known = self._known.get(host)
        return known.entry.incarnation if known else None

    def possibly_live_hosts(self, now: float) -> frozenset[ids.HostId]:
        """Returns the other hosts that may be live and are not leaving."""
        for host, known in list(self._known.items()):
            if host not in self._linked and known.expires_at <= now:
                del self._known[host]
        return frozenset(self._known)

    def _remember(self, entry: model.HostEntry, now: float) -> None:
        if entry.host == self._identity.host:
            return
        if entry.leaving:
            self._known.pop(entry.host, None)
            return
        expires_at = now + self._limits.missing_host_memory_s
        self._known[entry.host] = _KnownHost(entry, expires_at)
