"""Final answers that are kept for callers that submit the same job again."""

import collections

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import limits as limits_module
from godwitnotch.core import records


class _KeptAnswer(msgspec.Struct, frozen=True):
    """A kept answer, the size of its results and when it expires."""

    outcome: records.JobOutcome
    size_bytes: int
    expires_at: float


class KeptAnswers:
    """Final answers by submission id, limited in count, bytes and time.

    The oldest answers are evicted first.
    """

    def __init__(self, *, limits: limits_module.HostLimits) -> None:
        self._limits = limits
        self._kept: collections.OrderedDict[ids.SubmissionId, _KeptAnswer] = (
            collections.OrderedDict()
        )
        self._total_bytes = 0

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, outcome: records.JobOutcome, *, now: float) -> None:
        """Keeps an answer; evicts old answers if a limit is exceeded."""
        size_bytes = sum(map(len, outcome.answer.results))
        expires_at = now + self._limits.answer_keep_s
        self._kept[outcome.answer.submission] = _KeptAnswer(
            outcome, size_bytes, expires_at
        )
        self._total_bytes += size_bytes
        self._evict(now)

    def get(
        self, submission: ids.SubmissionId, *, now: float
    ) -> records.JobOutcome | None:
        """Returns the answer of a submission if it is still kept."""
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
            if not full and oldest.expires_at > now:
                return
            self._kept.popitem(last=False)
            self._total_bytes -= oldest.size_bytes
