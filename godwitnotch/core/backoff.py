"""Pauses between attempts to reach something that failed."""

from godwitnotch.core import random_source


class Backoff:
    """Exponential backoff with jitter, kept as the time of the next try.

    Args:
        rng: Source of the jitter.
        initial_s: Longest first pause, in seconds.
        max_s: Longest pause, in seconds.
    """

    def __init__(
        self,
        *,
        rng: random_source.RandomSource,
        initial_s: float,
        max_s: float,
    ) -> None:
        self._rng = rng
        self._initial_s = initial_s
        self._max_s = max_s
        self._failures = 0
        self._retry_at = 0.0

    @property
    def retry_at(self) -> float:
        """When the next try may start."""
        return self._retry_at

    def record_failure(self, *, now: float) -> float:
        """Notes a failure; returns when the next try may start."""
        max_pause_s = min(self._max_s, self._initial_s * 2**self._failures)
        self._failures += 1
        pause_s = max_pause_s * (0.5 + 0.5 * self._rng.random())
        self._retry_at = now + pause_s
        return self._retry_at

    def reset(self) -> None:
        """Forgets earlier failures."""
        self._failures = 0
        self._retry_at = 0.0
