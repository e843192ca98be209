"""Pauses between attempts to reach something that failed."""

from godwitnotch.core import chance as chance_module


class Backoff:
    """Exponential backoff with jitter, kept as the time of the next try.

    Args:
        chance: Source of the jitter.
        first_s: Longest first pause, in seconds.
        longest_s: Longest pause, in seconds.
    """

    def __init__(
        self,
        *,
        chance: chance_module.Chance,
        first_s: float,
        longest_s: float,
    ) -> None:
        self._chance = chance
        self._first_s = first_s
        self._longest_s = longest_s
        self._failures = 0
        self._retry_at = 0.0

    @property
    def retry_at(self) -> float:
        """When the next try may start."""
        return self._retry_at

    def failed(self, *, now: float) -> float:
        """Notes a failure; returns when the next try may start."""
        ceiling = min(self._longest_s, self._first_s * 2**self._failures)
        self._failures += 1
        pause_s = ceiling * (0.5 + 0.5 * self._chance.random())
        self._retry_at = now + pause_s
        return self._retry_at

    def succeeded(self) -> None:
        """Forgets earlier failures."""
        self._failures = 0
        self._retry_at = 0.0
