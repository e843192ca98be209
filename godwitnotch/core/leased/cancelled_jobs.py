"""Remembers which jobs their callers have cancelled."""

from collections.abc import Iterator

from godwitnotch.core.leased import model

# Longer than callers wait for an answer: until then the owner of a job may hand it
# over, as it was frozen or cut off when the job was cancelled.
RETENTION_S = 120.0
# Bounds the memory; the oldest are forgotten first.
MAX_JOBS = 20_000


class CancelledJobs:
    """The jobs that were cancelled in the last RETENTION_S."""

    def __init__(self) -> None:
        self._cancelled_at: dict[model.JobName, float] = {}  # Oldest first.

    def __contains__(self, name: model.JobName) -> bool:
        """Returns whether a job was cancelled."""
        return name in self._cancelled_at

    def __len__(self) -> int:
        """Returns how many jobs are remembered."""
        return len(self._cancelled_at)

    def add(self, name: model.JobName, *, now: float) -> bool:
        """Remembers a job; returns whether its cancel is new."""
        if name in self._cancelled_at:
            return False
        self._cancelled_at[name] = now
        if len(self._cancelled_at) > MAX_JOBS:
            del self._cancelled_at[next(iter(self._cancelled_at))]
        return True

    def since(self, at: float) -> Iterator[model.JobName]:
        """Yields the jobs that were cancelled at a time or later."""
        for name, cancelled_at in self._cancelled_at.items():
            if cancelled_at >= at:
                yield name

    def forget_expired(self, *, now: float) -> None:
        """Forgets the jobs that were cancelled long ago."""
        expired = []
        for name, cancelled_at in self._cancelled_at.items():
            if now - cancelled_at < RETENTION_S:
                break
            expired.append(name)
        for name in expired:
            del self._cancelled_at[name]
