"""Knows which upstreams are still slow after their start.

Answers upstreams that have started shortly before, as after the evacuation of a
failure domain has ended: their entries say how much longer they remain slow.
"""

from collections.abc import Mapping

import msgspec

from godwitnotch.core import ids


class _ColdState(msgspec.Struct, frozen=True):
    """What the last list says of a cold upstream.

    Attributes:
        remaining_ms: The remaining time in its entry.
        until: When it stops being slow.
        instance_started_ms: When the instance that the entry describes started;
            0 if not known.
    """

    remaining_ms: int
    until: float
    instance_started_ms: int


class ColdUpstreams:
    """The upstreams that are still slow after their start."""

    def __init__(self) -> None:
        self._cold: dict[ids.UpstreamId, _ColdState] = {}

    def update(
        self,
        remaining_ms: Mapping[ids.UpstreamId, int],
        instances: Mapping[ids.UpstreamId, int],
        *,
        now: float,
    ) -> None:
        """Applies the remaining times of a list of upstreams.

        An entry may be older than the list, and stay the same for long. So only
        a longer remaining time than before, or a new instance, puts off the end.

        Args:
            remaining_ms: Remaining time of the cold upstreams.
            instances: When the listed instances started; 0 if not known.
            now: The current time.
        """
        cold = {}
        for upstream, remaining in remaining_ms.items():
            until = now + remaining / 1_000
            started_ms = instances.get(upstream, 0)
            known = self._cold.get(upstream)
            if (
                known is not None
                and known.instance_started_ms == started_ms
                and remaining <= known.remaining_ms
            ):
                until = min(until, known.until)
            cold[upstream] = _ColdState(remaining, until, started_ms)
        self._cold = cold

    def is_cold(self, upstream: ids.UpstreamId, *, now: float) -> bool:
        """Returns whether an upstream is still slow after its start."""
        state = self._cold.get(upstream)
        return state is not None and now < state.until
