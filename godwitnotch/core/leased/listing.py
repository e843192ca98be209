"""The list of upstreams, which may lack live upstreams for a while.

When the store is unavailable, or a failure domain is cut off from it, entries
of upstreams that still work disappear from the list. They are back within two
seconds after the store has returned, so a missing upstream is used until then.
"""

from collections.abc import Iterable

from godwitnotch.core import ids
from godwitnotch.core.leased import model

MISSING_RETENTION_S = 2.5
# How long runs may last at an upstream that has left the list: a leader in
# another partition may still hold a lease on it.
MAX_UNLISTED_RUN_S = 30.0


class UpstreamListing:
    """The usable upstreams, from the last few lists.

    Args:
        now: The present time.
    """

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._upstreams: tuple[model.LeasedUpstream, ...] = ()
        self._missing_since: dict[ids.UpstreamId, float] = {}
        self._delisted_at: dict[ids.UpstreamId, float] = {}

    @property
    def upstreams(self) -> tuple[model.LeasedUpstream, ...]:
        """The upstreams that may be used."""
        return self._upstreams

    @property
    def tracked(self) -> frozenset[ids.UpstreamId]:
        """Upstreams that are usable, or were within MAX_UNLISTED_RUN_S."""
        known = {each.upstream for each in self._upstreams}
        return frozenset(known | self._delisted_at.keys())

    def update(
        self,
        listed: tuple[model.LeasedUpstream, ...],
        *,
        unreadable: Iterable[ids.UpstreamId] = (),
        now: float,
    ) -> bool:
        """Applies a list.

        Args:
            listed: The readable entries.
            unreadable: Upstreams whose entries can't be decoded.
            now: The present time.

        Returns:
            Whether the set of usable upstreams has changed.
        """
        missing_usable = self._find_missing_usable(
            listed, frozenset(unreadable), now=now
        )
        usable = (*listed, *missing_usable)
        changed = usable != self._upstreams
        known = {each.upstream for each in usable}
        for upstream in self._upstreams:
            if upstream.upstream not in known:
                self._delisted_at[upstream.upstream] = now
        self._upstreams = usable
        self._forget_old(known, now=now)
        return changed

    def complete(self, *, now: float) -> bool:
        """Returns whether runs are possible only at the usable upstreams."""
        if now - self._started_at < MAX_UNLISTED_RUN_S:
            return False
        return not any(
            now - at < MAX_UNLISTED_RUN_S for at in self._delisted_at.values()
        )

    def _find_missing_usable(
        self,
        listed: tuple[model.LeasedUpstream, ...],
        unreadable: frozenset[ids.UpstreamId],
        *,
        now: float,
    ) -> tuple[model.LeasedUpstream, ...]:
        """Returns upstreams that are missing in the list but still usable."""
        present = {each.upstream for each in listed} | unreadable
        addresses = {each.address for each in listed}
        missing = [
            each for each in self._upstreams if each.upstream not in present
        ]
        self._missing_since = {
            each.upstream: self._missing_since.get(each.upstream, now)
            for each in missing
        }
        return tuple(
            each
            for each in missing
            if not each.draining
            and each.address not in addresses
            and now - self._missing_since[each.upstream] < MISSING_RETENTION_S
        )

    def _forget_old(self, known: set[ids.UpstreamId], *, now: float) -> None:
        self._delisted_at = {
            upstream: at
            for upstream, at in self._delisted_at.items()
            if upstream not in known and now - at < MAX_UNLISTED_RUN_S
        }
