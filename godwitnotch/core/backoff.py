"""Exponential backoff between retries."""

from godwitnotch.core import random_source


class Backoff:
    """Exponential backoff with jitter; tells when the next retry may start.

    Each delay is random, from half of its upper bound to the whole bound. The
    bound doubles with each failure.

    Args:
        rng: Random numbers for the jitter.
        initial_s: Upper bound of the first delay, in seconds.
        max_s: Upper bound of all delays, in seconds.
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
        """When the next retry may start."""
        return self._retry_at

    def record_failure(self, *, now: float) -> float:
        """Records a failure and returns when the next retry may start."""
        max_delay_s = min(self._max_s, self._initial_s * 2**self._failures)
        self._failures += 1
        delay_s = max_delay_s * (0.5 + 0.5 * self._rng.random())
        self._retry_at = now + delay_s
        return self._retry_at

    def reset(self) -> None:
        """Resets the backoff after a success."""
        self._failures = 0
        self._retry_at = 0.0
