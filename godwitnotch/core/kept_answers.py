"""Final answers kept for resubmissions, bounded in count, bytes and time."""

import collections
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core import limits as limits_module
from godwitnotch.core import records


@dataclass(frozen=True, slots=True)
class _Kept:
    outcome: records.JobOutcome
    size_bytes: int
    deadline: float


class KeptAnswers:
    """Final answers by submission id; the oldest go first."""

    def __init__(self, *, limits: limits_module.HostLimits) -> None:
        self._limits = limits
        self._kept: collections.OrderedDict[ids.SubmissionId, _Kept] = (
            collections.OrderedDict()
        )
        self._total_bytes = 0

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, outcome: records.JobOutcome, *, now: float) -> None:
        """Keeps an answer."""
        size_bytes = sum(map(len, outcome.answer.results))
        deadline = now + self._limits.answer_keep_s
        self._kept[outcome.answer.submission] = _Kept(
            outcome, size_bytes, deadline
        )
        self._total_bytes += size_bytes
        self._evict(now)

    def get(
        self, submission: ids.SubmissionId, *, now: float
    ) -> records.JobOutcome | None:
        """Returns an answer that is still kept."""
        self._evict(now)
        kept = self._kept.get(submission)
        return kept.outcome if kept else None

    def _evict(self, now: float) -> None:
        while self._kept:
            oldest = next(iter(self._kept.values()))
            full = (
                len(self._kept) > self._limits.max_kept_answers
                or self._total_bytes > self._limits.max_kept_bytes
            )
            if not full and oldest.deadline > now:
                return
            self._kept.popitem(last=False)
            self._total_bytes -= oldest.size_bytes
