"""Which upstreams get no work because runs fail there.

A failed run speaks against its upstream and against its job. Runs of two jobs
that fail in a row eject the upstream for a while; afterwards one run at a time
tries it until one ends well.
"""

from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import ids
from godwitnotch.core.leased import model

EJECTION_FAILURE_COUNT = 2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
REJECTION_PAUSE_S = 0.15


@dataclass(slots=True)
class _Record:
    failed_jobs: set[model.JobName] = field(default_factory=set)
    ejections: int = 0
    paused_until: float = 0.0


@dataclass(frozen=True, slots=True)
class Ejection:
    """An upstream that is left alone, or tried with one run at a time.

    Attributes:
        ejections: How often in a row it was left alone.
        paused_until: Gets no work until then.
    """

    ejections: int
    paused_until: float


class UpstreamHealth:
    """Judges upstreams by how their runs end."""

    def __init__(self) -> None:
        self._records: dict[ids.UpstreamId, _Record] = {}

    def run_succeeded(self, upstream: ids.UpstreamId) -> None:
        """Clears what spoke against an upstream."""
        self._records.pop(upstream, None)

    def run_failed(
        self, upstream: ids.UpstreamId, job: model.JobName, *, now: float
    ) -> bool:
        """Notes a failed run; returns whether the upstream is ejected."""
        record = self._records.setdefault(upstream, _Record())
        record.failed_jobs.add(job)
        if (
            len(record.failed_jobs) < EJECTION_FAILURE_COUNT
            and not record.ejections
        ):
            return False
        pause_s = min(
            FIRST_EJECTION_S * (1 << min(record.ejections, 8)),
            MAX_EJECTION_S,
        )
        record.ejections += 1
        record.paused_until = now + pause_s
        return True

    def clear_failures_of(self, job: model.JobName) -> None:
        """Takes back what a job's failures said: it fails everywhere."""
        for record in self._records.values():
            record.failed_jobs.discard(job)

    def order_rejected(self, upstream: ids.UpstreamId, *, now: float) -> None:
        """Leaves an upstream alone for a moment that rejected an order."""
        record = self._records.setdefault(upstream, _Record())
        paused_until = now + REJECTION_PAUSE_S
        record.paused_until = max(record.paused_until, paused_until)

    def ejected(self) -> dict[ids.UpstreamId, Ejection]:
        """Returns the upstreams that were ejected and not yet cleared."""
        return {
            upstream: Ejection(record.ejections, record.paused_until)
            for upstream, record in self._records.items()
            if record.ejections
        }

    def set_ejected(
        self, upstream: ids.UpstreamId, *, ejections: int, paused_until: float
    ) -> None:
        """Takes what another host has seen; no ejections clear an upstream."""
        if not ejections:
            self._records.pop(upstream, None)
            return
        record = self._records.setdefault(upstream, _Record())
        record.ejections = ejections
        record.paused_until = paused_until

    def retain_only(self, upstreams: frozenset[ids.UpstreamId]) -> None:
        """Forgets all other upstreams."""
        for upstream in self._records.keys() - upstreams:
            del self._records[upstream]

    def usable(self, upstream: ids.UpstreamId, *, now: float) -> bool:
        """Returns whether work may go to an upstream."""
        record = self._records.get(upstream)
        return record is None or now >= record.paused_until

    def half_open(self, upstream: ids.UpstreamId) -> bool:
        """Returns whether an upstream gets one run at a time."""
        record = self._records.get(upstream)
        return record is not None and record.ejections > 0

    def has_recent_failure(self, upstream: ids.UpstreamId) -> bool:
        """Returns whether the last run on an upstream failed."""
        record = self._records.get(upstream)
        return record is not None and bool(record.failed_jobs)
