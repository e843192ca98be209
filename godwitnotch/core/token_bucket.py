"""Limits a rate but allows short bursts."""

# Tolerates rounding errors of the time, so that a due token can be taken.
_ROUNDING_TOLERANCE = 1e-6


class TokenBucket:
    """A token bucket.

    Args:
        rate_per_s: Tokens added each second.
        burst: Capacity of the bucket in tokens; it starts full.
    """

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0

    def set_rate(self, rate_per_s: float, *, now: float) -> None:
        """Changes the rate from now on."""
        self._refill(now)
        self._rate_per_s = rate_per_s

    def has_token(self, *, now: float) -> bool:
        """Returns whether one token can be taken."""
        self._refill(now)
        return self._tokens >= 1.0 - _ROUNDING_TOLERANCE

    def take(self, *, now: float) -> bool:
        """Takes one token; returns False if no token is available."""
        if not self.has_token(now=now):
            return False
        self._tokens -= 1.0
        return True

    def ready_at(self, *, now: float) -> float:
        """Returns the earliest time at which a token can be taken."""
        self._refill(now)
        return now + max(0.0, 1.0 - self._tokens) / self._rate_per_s

    def _refill(self, now: float) -> None:
        """Adds the tokens due since the last refill."""
        gained = (now - self._refilled_at) * self._rate_per_s
        self._tokens = min(self._tokens + gained, self._burst)
        self._refilled_at = now
