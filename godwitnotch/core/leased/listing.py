"""Tracks the list of upstreams, which may lack live upstreams for a while.

When the store is unavailable, or a failure domain is cut off from the store,
entries of upstreams that still work disappear from the list. They are back
within two seconds after the store has returned, so an upstream that is missing
in the list stays usable for MISSING_RETENTION_S.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from godwitnotch.core import ids
from godwitnotch.core.leased import model

MISSING_RETENTION_S = 2.5
# How long runs may last at an upstream that was removed: a leader in another
# partition may still hold a lease on the upstream.
MAX_RUN_AFTER_REMOVAL_S = 30.0


class UpstreamListing:
    """The usable upstreams: those of the last list, and some missing ones.

    Args:
        now: The current time.
    """

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._upstreams: tuple[model.LeasedUpstream, ...] = ()
        self._missing_since: dict[ids.UpstreamId, float] = {}
        self._removed_at: dict[ids.UpstreamId, float] = {}
        self._instances: dict[ids.UpstreamId, int] = {}

    @property
    def upstreams(self) -> tuple[model.LeasedUpstream, ...]:
        """The upstreams that may be used."""
        return self._upstreams

    @property
    def instances(self) -> Mapping[ids.UpstreamId, int]:
        """When the last listed instance of each tracked upstream started.

        These upstreams are usable, or were within MAX_RUN_AFTER_REMOVAL_S. The
        time is 0 if not known.
        """
        return self._instances

    def update(
        self,
        listed: tuple[model.LeasedUpstream, ...],
        *,
        unreadable: Iterable[ids.UpstreamId] = (),
        now: float,
    ) -> bool:
        """Applies a new list.

        Args:
            listed: The readable entries.
            unreadable: Upstreams whose entries can't be decoded.
            now: The current time.

        Returns:
            Whether the usable upstreams or their entries have changed.
        """
        missing_usable = self._find_missing_usable(
            listed, frozenset(unreadable), now=now
        )
        usable = (*listed, *missing_usable)
        changed = usable != self._upstreams
        usable_ids = {entry.upstream for entry in usable}
        for upstream in self._upstreams:
            if upstream.upstream not in usable_ids:
                self._removed_at[upstream.upstream] = now
        self._upstreams = usable
        self._forget_old(usable_ids, now=now)
        self._instances = {
            upstream: self._instances[upstream] for upstream in self._removed_at
        } | {entry.upstream: entry.instance_started_ms for entry in usable}
        return changed

    def complete(self, *, now: float) -> bool:
        """Returns whether all upstreams that can have runs are usable.

        The result is False until MAX_RUN_AFTER_REMOVAL_S after the start, as
        upstreams may have been removed shortly before the start.
        """
        if now - self._started_at < MAX_RUN_AFTER_REMOVAL_S:
            return False
        return not any(
            now - at < MAX_RUN_AFTER_REMOVAL_S
            for at in self._removed_at.values()
        )

    def _find_missing_usable(
        self,
        listed: tuple[model.LeasedUpstream, ...],
        unreadable: frozenset[ids.UpstreamId],
        *,
        now: float,
    ) -> tuple[model.LeasedUpstream, ...]:
        """Returns upstreams that are missing in the list but still usable.

        An upstream that was draining, or whose address is now listed for
        another upstream, isn't usable.
        """
        present = {entry.upstream for entry in listed} | unreadable
        addresses = {entry.address for entry in listed}
        missing = [
            entry for entry in self._upstreams if entry.upstream not in present
        ]
        self._missing_since = {
            entry.upstream: self._missing_since.get(entry.upstream, now)
            for entry in missing
        }
        return tuple(
            entry
            for entry in missing
            if not entry.draining
            and entry.address not in addresses
            and now - self._missing_since[entry.upstream] < MISSING_RETENTION_S
        )

    def _forget_old(
        self, usable_ids: set[ids.UpstreamId], *, now: float
    ) -> None:
        self._removed_at = {
            upstream: at
            for upstream, at in self._removed_at.items()
            if upstream not in usable_ids and now - at < MAX_RUN_AFTER_REMOVAL_S
        }
