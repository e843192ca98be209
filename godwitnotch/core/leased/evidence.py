"""What is known of upstreams by their runs, shared with who may lead next.

The load is a leader that is lost: without this the next one would send work to
upstreams that fail or are slow, until it had learnt so itself.
"""

from collections.abc import Iterable

from godwitnotch.core import ids
from godwitnotch.core.leased import health as health_module
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import run_times

SHARE_INTERVAL_S = 0.5
# A speed is told again once it has changed by this factor.
CHANGE_FACTOR = 1.2
MOST_AT_ONCE = 100


class Evidence:
    """Speeds and failures of all upstreams.

    Args:
        times: Knows how fast upstreams are.
        health: Knows which ones fail.
    """

    def __init__(
        self,
        times: run_times.RunTimes,
        health: health_module.UpstreamHealth,
    ) -> None:
        self._times = times
        self._health = health
        self._told: dict[ids.UpstreamId, peer_messages.UpstreamEvidence] = {}

    def all(self, *, now: float) -> peer_messages.UpstreamsLearnt:
        """Returns everything, for a host that knows nothing yet."""
        return peer_messages.UpstreamsLearnt(tuple(self._entries(now=now)))

    def news(self, *, now: float) -> peer_messages.UpstreamsLearnt | None:
        """Returns what has changed since it was last told, if anything."""
        news = [
            entry
            for entry in self._entries(now=now)
            if _differs(entry, self._told.get(entry.upstream))
        ][:MOST_AT_ONCE]
        for entry in news:
            self._told[entry.upstream] = entry
        return peer_messages.UpstreamsLearnt(tuple(news)) if news else None

    def take(
        self, learnt: peer_messages.UpstreamsLearnt, *, now: float
    ) -> None:
        """Believes what the leader has learnt."""
        for entry in learnt.upstreams:
            self._times.set_slowness(entry.upstream, entry.slowness)
            self._health.set_ejected(
                entry.upstream,
                ejections=entry.ejections,
                until=now + entry.left_alone_s,
            )

    def keep_only(self, kept: frozenset[ids.UpstreamId]) -> None:
        """Forgets upstreams that are gone."""
        self._times.keep_only(kept)
        self._health.keep_only(kept)
        self._told = {
            upstream: entry
            for upstream, entry in self._told.items()
            if upstream in kept
        }

    def _entries(
        self, *, now: float
    ) -> Iterable[peer_messages.UpstreamEvidence]:
        ejected = self._health.ejected()
        for upstream in self._times.known() | ejected.keys():
            ejection = ejected.get(upstream)
            yield peer_messages.UpstreamEvidence(
                upstream,
                round(self._times.slowness_of(upstream), 3),
                ejection.ejections if ejection else 0,
                max(0.0, ejection.until - now) if ejection else 0.0,
            )


def _differs(
    entry: peer_messages.UpstreamEvidence,
    told: peer_messages.UpstreamEvidence | None,
) -> bool:
    if told is None or told.ejections != entry.ejections:
        return True
    low, high = sorted((told.slowness, entry.slowness))
    return high > low * CHANGE_FACTOR
