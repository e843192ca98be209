"""Which upstreams are known: the load is a list that lacks some for a while.

While the store is away, or a failure domain is cut off from it, upstreams that
live and work drop out of the list. They are back within two seconds of the
store's return, so until then they are used as before.
"""

from collections.abc import Iterable

from godwitnotch.core import ids
from godwitnotch.core.leased import model

MISSING_RETENTION_S = 2.5
# An upstream that has left the list may be held in a part that was cut off.
MAX_UNLISTED_RUN_S = 30.0


class UpstreamListing:
    """The upstreams of the last lists.

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
        """The same, and those that may come back."""
        known = {each.upstream for each in self._upstreams}
        return frozenset(known | self._delisted_at.keys())

    def update(
        self,
        listed: tuple[model.LeasedUpstream, ...],
        *,
        unreadable: Iterable[ids.UpstreamId] = (),
        now: float,
    ) -> bool:
        """Takes a list that was read.

        Args:
            listed: Its entries.
            unreadable: Upstreams whose entries can't be read.
            now: The present time.

        Returns:
            Whether other upstreams may be used than before.
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
        """Returns whether nothing runs at upstreams that aren't known."""
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
        """Returns what the list lacks and is used all the same."""
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
