"""Notices when the process was stalled, by the time between two ticks."""

# The runtime ticks every 40 ms. A longer gap than this counts as a stall.
MAX_TICK_GAP_S = 0.15


class StallDetector:
    """Measures the time between ticks.

    A process that is paused, or that handles events for long, ticks late. What
    has arrived meanwhile may be handled before or after the late tick.
    """

    def __init__(self) -> None:
        self._last_tick_at: float | None = None

    def tick(self, *, now: float) -> float | None:
        """Returns the time since the last tick in seconds, if a stall."""
        last = self._last_tick_at
        self._last_tick_at = now
        if last is None or now - last <= MAX_TICK_GAP_S:
            return None
        return now - last
