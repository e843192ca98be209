"""Forecasts the rate of starts: load that rises within a second or two."""

from collections import deque

BUCKET_S = 0.1
# The line through this many buckets smooths the starts of wide jobs. A shorter
# window follows a burst sooner, but its trend is mostly noise.
WINDOW_BUCKETS = 20


class StartRate:
    """Counts starts, and extends their rate by its trend."""

    def __init__(self) -> None:
        self._counts: deque[int] = deque(maxlen=WINDOW_BUCKETS)
        self._open_count = 0
        self._open_until: float | None = None

    def clear(self) -> None:
        """Forgets all starts."""
        self._counts.clear()
        self._open_count = 0
        self._open_until = None

    def add(self, *, now: float) -> None:
        """Counts a start."""
        self._advance(now=now)
        self._open_count += 1

    def per_s(self, *, now: float) -> float:
        """Returns the mean rate over the window, per second."""
        self._advance(now=now)
        if not self._counts:
            return 0.0
        return sum(self._counts) / (len(self._counts) * BUCKET_S)

    def forecast(self, ahead_s: float, *, now: float) -> float:
        """Returns the rate after a time, per second, by a line of least squares.

        A falling trend isn't extended: the rate of a burst's end says nothing
        about the next burst. Without a full window there is no trend.
        """
        mean = self.per_s(now=now)
        count = len(self._counts)
        if count < WINDOW_BUCKETS:
            return mean
        middle = (count - 1) / 2
        slope = sum(
            (index - middle) * value for index, value in enumerate(self._counts)
        ) / (count * (count * count - 1) / 12)
        buckets_ahead = middle + 0.5 + ahead_s / BUCKET_S
        rise = max(0.0, slope * buckets_ahead) / BUCKET_S
        return mean + rise

    def _advance(self, *, now: float) -> None:
        """Closes the buckets that are over."""
        if self._open_until is None:
            self._open_until = now + BUCKET_S
        missed = int((now - self._open_until) / BUCKET_S) - WINDOW_BUCKETS
        if missed > 0:
            # The process was paused; the window is empty after it.
            self._open_until += missed * BUCKET_S
        while now >= self._open_until:
            self._counts.append(self._open_count)
            self._open_count = 0
            self._open_until += BUCKET_S
