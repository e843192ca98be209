"""Sends what the leader has learnt of upstreams to the possible next leaders.

Without this a new leader would start tasks on failing or slow upstreams until
it had learnt about them from its own runs.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from godwitnotch.core import ids
from godwitnotch.core.leased import health as health_module
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import run_times

SEND_INTERVAL_S = 0.5
# A slowness is sent again after it has changed by more than this factor.
MIN_SLOWNESS_CHANGE_FACTOR = 1.2
MAX_ENTRIES_PER_MESSAGE = 100


class EvidenceSharing:
    """Selects the evidence to send, and applies evidence that was received.

    The evidence on an upstream is its slowness and its ejections.

    Args:
        times: Tells how slow upstreams are.
        health: Tells which upstreams are ejected.
    """

    def __init__(
        self,
        times: run_times.RunTimes,
        health: health_module.UpstreamHealth,
    ) -> None:
        self._times = times
        self._health = health
        self._sent: dict[ids.UpstreamId, peer_messages.UpstreamEvidence] = {}
        self._instances: Mapping[ids.UpstreamId, int] = {}

    def all_entries(self, *, now: float) -> peer_messages.UpstreamsLearnt:
        """Returns the entries of all upstreams, for a host that has none."""
        return peer_messages.UpstreamsLearnt(tuple(self._entries(now=now)))

    def changed_entries(
        self, *, now: float
    ) -> peer_messages.UpstreamsLearnt | None:
        """Returns entries that have changed since they were sent, if any.

        Entries beyond MAX_ENTRIES_PER_MESSAGE are returned by later calls.
        """
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
        """Applies the entries that the leader has sent."""
        for entry in learnt.upstreams:
            self._times.set_slowness(entry.upstream, entry.slowness)
            self._health.set_ejected(
                entry.upstream,
                ejections=entry.ejections,
                unusable_until=now + entry.unusable_for_s,
            )

    def follow_listing(self, instances: Mapping[ids.UpstreamId, int]) -> None:
        """Forgets the upstreams that are gone, and those that have restarted.

        Args:
            instances: When the instance of each upstream started; 0 if not
                known.
        """
        former, self._instances = self._instances, instances
        for upstream, started_ms in instances.items():
            known_ms = former.get(upstream, 0)
            if known_ms and started_ms and known_ms != started_ms:
                self.forget(upstream)
        kept = frozenset(instances)
        self._times.retain_only(kept)
        self._health.retain_only(kept)
        self._sent = {
            upstream: entry
            for upstream, entry in self._sent.items()
            if upstream in kept
        }

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Forgets what the former instance of an upstream has shown."""
        self._times.forget(upstream)
        self._health.forget(upstream)
        self._sent.pop(upstream, None)

    def _entries(
        self, *, now: float
    ) -> Iterable[peer_messages.UpstreamEvidence]:
        ejections = self._health.ejections()
        for upstream in self._times.known_upstreams() | ejections.keys():
            ejection = ejections.get(upstream)
            yield peer_messages.UpstreamEvidence(
                upstream,
                round(self._times.learnt_slowness(upstream), 3),
                ejection.ejections if ejection else 0,
                max(0.0, ejection.unusable_until - now) if ejection else 0.0,
            )


def _has_changed(
    entry: peer_messages.UpstreamEvidence,
    sent: peer_messages.UpstreamEvidence | None,
) -> bool:
    if sent is None or sent.ejections != entry.ejections:
        return True
    low, high = sorted((sent.slowness, entry.slowness))
    return high > low * MIN_SLOWNESS_CHANGE_FACTOR
