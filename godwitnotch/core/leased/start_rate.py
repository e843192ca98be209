"""Forecasts the rate of starts: load that rises within a second or two."""

import math
from collections import deque

BUCKET_S = 0.1
# The line through this many buckets smooths the starts of wide jobs. A shorter
# window follows a burst sooner, but its trend is mostly noise.
WINDOW_BUCKETS = 20
# Standard errors of the trend that count as noise. At 340 starts a second, jobs of 2
# to 8 tasks and a limit of 535, relays began without a burst 12 times in 20
# minutes with 1.5, and once with 2.5; 1.0 s after the rate had doubled, for 0.7 s.
TREND_NOISE_FACTOR = 2.5


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
        """Returns the mean rate over the window, per second.

        The first second counts as a whole one, as a single wide job is no peak.
        """
        self._advance(now=now)
        buckets = max(len(self._counts), WINDOW_BUCKETS // 2)
        return sum(self._counts) / (buckets * BUCKET_S)

    def forecast(self, ahead_s: float, *, now: float) -> float:
        """Returns the rate after a time, per second, by a line of least squares.

        The trend counts as far as it exceeds its noise, as starts of wide jobs
        come in groups. A falling trend isn't extended, as the end of a burst
        says nothing about the next one. Without a full window there is no
        trend.
        """
        mean = self.per_s(now=now)
        if len(self._counts) < WINDOW_BUCKETS:
            return mean
        return mean + self._rise(mean, ahead_s)

    def _rise(self, mean: float, ahead_s: float) -> float:
        """Returns by how much the line exceeds the mean after a time."""
        count = len(self._counts)
        middle = (count - 1) / 2
        mean_count = mean * BUCKET_S
        spread = count * (count * count - 1) / 12
        slope = (
            sum(
                (index - middle) * value
                for index, value in enumerate(self._counts)
            )
            / spread
        )
        residuals = sum(
            (value - mean_count - slope * (index - middle)) ** 2
            for index, value in enumerate(self._counts)
        )
        noise = math.sqrt(residuals / (count - 2) / spread)
        rise = max(0.0, slope - TREND_NOISE_FACTOR * noise)
        buckets_ahead = middle + 0.5 + ahead_s / BUCKET_S
        return rise * buckets_ahead / BUCKET_S

    def _advance(self, *, now: float) -> None:
        """Closes the buckets that are over."""
        if self._open_until is None:
            self._open_until = now + BUCKET_S
        missed = int((now - self._open_until) / BUCKET_S) - WINDOW_BUCKETS
        if missed > 0:  # The process was paused.
            self._open_until += missed * BUCKET_S
            self._open_count = 0
        while now >= self._open_until:
            self._counts.append(self._open_count)
            self._open_count = 0
            self._open_until += BUCKET_S
