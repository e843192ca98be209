"""Notices when the process was stalled, by the time between two ticks."""

from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module

# The runtime ticks every 40 ms. A longer gap than this counts as a stall.
MAX_TICK_GAP_S = 0.15


class StallDetector:
    """Measures the time between ticks.

    A process that is paused, or that handles events for long, ticks late. What
    has arrived meanwhile may be handled before or after the late tick.

    Args:
        out: Collects the log events.
    """

    def __init__(self, out: outbox_module.Outbox) -> None:
        self._out = out
        self._last_tick_at: float | None = None

    def tick(self, *, leading: bool, term: model.Term, now: float) -> None:
        """Logs a stall that this tick ends, before anything is done about it.

        Args:
            leading: Whether this host leads.
            term: The highest term that this host knows.
            now: The current time.
        """
        last = self._last_tick_at
        self._last_tick_at = now
        if last is None or now - last <= MAX_TICK_GAP_S:
            return
        self._out.add_decision(
            "process_stalled",
            reason="leading" if leading else "",
            detail=f"stalled_ms={(now - last) * 1_000:.0f} term={term}",
        )
