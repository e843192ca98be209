"""What is known of upstreams by their runs, shared with who may lead next.

The load is a leader that is lost: without this the next one would send work to
upstreams that fail or are slow, until it had learnt so itself.
"""

from collections.abc import Iterable

from godwitnotch.core import ids
from godwitnotch.core.leased import health as health_module
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import run_times

SEND_INTERVAL_S = 0.5
# A speed is told again once it has changed by this factor.
MIN_SLOWNESS_CHANGE_FACTOR = 1.2
MAX_ENTRIES_PER_MESSAGE = 100


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
        self._sent: dict[ids.UpstreamId, peer_messages.UpstreamEvidence] = {}

    def all_entries(self, *, now: float) -> peer_messages.UpstreamsLearnt:
        """Returns everything, for a host that knows nothing yet."""
        return peer_messages.UpstreamsLearnt(tuple(self._entries(now=now)))

    def changed_entries(
        self, *, now: float
    ) -> peer_messages.UpstreamsLearnt | None:
        """Returns what has changed since it was last told, if anything."""
        changed = [
            entry
            for entry in self._entries(now=now)
            if _has_changed(entry, self._sent.get(entry.upstream))
        ][:MAX_ENTRIES_PER_MESSAGE]
        for entry in changed:
            self._sent[entry.upstream] = entry
        return (
            peer_messages.UpstreamsLearnt(tuple(changed)) if changed else None
        )

    def apply(
        self, learnt: peer_messages.UpstreamsLearnt, *, now: float
    ) -> None:
        """Believes what the leader has learnt."""
        for entry in learnt.upstreams:
            self._times.set_slowness(entry.upstream, entry.slowness)
            self._health.set_ejected(
                entry.upstream,
                ejections=entry.ejections,
                paused_until=now + entry.paused_for_s,
            )

    def retain_only(self, kept: frozenset[ids.UpstreamId]) -> None:
        """Forgets upstreams that are gone."""
        self._times.retain_only(kept)
        self._health.retain_only(kept)
        self._sent = {
            upstream: entry
            for upstream, entry in self._sent.items()
            if upstream in kept
        }

    def _entries(
        self, *, now: float
    ) -> Iterable[peer_messages.UpstreamEvidence]:
        ejected = self._health.ejected()
        for upstream in self._times.known_upstreams() | ejected.keys():
            ejection = ejected.get(upstream)
            yield peer_messages.UpstreamEvidence(
                upstream,
                round(self._times.slowness_of(upstream), 3),
                ejection.ejections if ejection else 0,
                max(0.0, ejection.paused_until - now) if ejection else 0.0,
            )


def _has_changed(
    entry: peer_messages.UpstreamEvidence,
    sent: peer_messages.UpstreamEvidence | None,
) -> bool:
    if sent is None or sent.ejections != entry.ejections:
        return True
    low, high = sorted((sent.slowness, entry.slowness))
    return high > low * MIN_SLOWNESS_CHANGE_FACTOR
