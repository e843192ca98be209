"""Ejects upstreams on which runs fail, like a circuit breaker.

A failed run may be the fault of its upstream or of its job. Failed runs of two
jobs, without a successful run in between, eject the upstream for a while. After
that the upstream is half-open: it gets one run at a time until a run succeeds.
"""

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model

EJECTION_FAILED_JOB_COUNT = 2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
REJECTION_DELAY_S = 0.15


class _Record(msgspec.Struct):
    """Failures and ejections of one upstream.

    Attributes:
        failed_jobs: Jobs whose runs have failed since the last successful run.
        ejections: How often the upstream was ejected since the last successful
            run.
        unusable_until: When the upstream may get runs again.
    """

    failed_jobs: set[model.JobName] = msgspec.field(default_factory=set)
    ejections: int = 0
    unusable_until: float = 0.0


class Ejection(msgspec.Struct, frozen=True):
    """An upstream that is ejected or half-open.

    Attributes:
        ejections: How often the upstream was ejected since the last successful
            run.
        unusable_until: When the upstream may get runs again.
    """

    ejections: int
    unusable_until: float


class UpstreamHealth:
    """Decides which upstreams may get runs, by how their last runs ended."""

    def __init__(self) -> None:
        self._records: dict[ids.UpstreamId, _Record] = {}

    def run_succeeded(self, upstream: ids.UpstreamId) -> None:
        """Clears the failures and ejections of an upstream."""
        self._records.pop(upstream, None)

    def run_failed(
        self, upstream: ids.UpstreamId, job: model.JobName, *, now: float
    ) -> bool:
        """Records a failed run; returns whether this ejects the upstream."""
        record = self._records.setdefault(upstream, _Record())
        record.failed_jobs.add(job)
        if (
            len(record.failed_jobs) < EJECTION_FAILED_JOB_COUNT
            and not record.ejections
        ):
            return False
        ejection_s = min(
            FIRST_EJECTION_S * (1 << min(record.ejections, 8)),
            MAX_EJECTION_S,
        )
        record.ejections += 1
        record.unusable_until = now + ejection_s
        return True

    def clear_failures_of(self, job: model.JobName) -> None:
        """Clears the failures of a job that fails on any upstream."""
        for record in self._records.values():
            record.failed_jobs.discard(job)

    def order_rejected(self, upstream: ids.UpstreamId, *, now: float) -> None:
        """Makes an upstream that rejected an order unusable for a while."""
        record = self._records.setdefault(upstream, _Record())
        unusable_until = now + REJECTION_DELAY_S
        record.unusable_until = max(record.unusable_until, unusable_until)

    def ejections(self) -> dict[ids.UpstreamId, Ejection]:
        """Returns the ejected and the half-open upstreams."""
        return {
            upstream: Ejection(record.ejections, record.unusable_until)
            for upstream, record in self._records.items()
            if record.ejections
        }

    def set_ejected(
        self, upstream: ids.UpstreamId, *, ejections: int, unusable_until: float
    ) -> None:
        """Applies another host's record; 0 ejections remove the record."""
        if not ejections:
            self._records.pop(upstream, None)
            return
        record = self._records.setdefault(upstream, _Record())
        record.ejections = ejections
        record.unusable_until = unusable_until

    def retain_only(self, upstreams: frozenset[ids.UpstreamId]) -> None:
        """Forgets all upstreams but these."""
        for upstream in self._records.keys() - upstreams:
            self.forget(upstream)

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Forgets an upstream, whose process has started anew."""
        self._records.pop(upstream, None)

    def usable(self, upstream: ids.UpstreamId, *, now: float) -> bool:
        """Returns whether an upstream may get runs now."""
        record = self._records.get(upstream)
        return record is None or now >= record.unusable_until

    def admits(
        self, upstream: ids.UpstreamId, *, probe: bool, now: float
    ) -> bool:
        """Returns whether an upstream may get a certain run now.

        Args:
            upstream: The upstream.
            probe: Whether the run could show that a half-open upstream works: it
                would be alone there, and its task has not failed before.
            now: The current time.
        """
        record = self._records.get(upstream)
        if record is None:
            return True
        return now >= record.unusable_until and (probe or not record.ejections)

    def half_open(self, upstream: ids.UpstreamId) -> bool:
        """Returns whether an upstream was ejected and no run succeeded since.

        When usable again, the upstream gets one run at a time.
        """
        record = self._records.get(upstream)
        return record is not None and record.ejections > 0

    def has_recent_failure(self, upstream: ids.UpstreamId) -> bool:
        """Returns whether a run has failed since the last successful run."""
        record = self._records.get(upstream)
        return record is not None and bool(record.failed_jobs)
