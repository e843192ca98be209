"""Learns when an upstream has fewer slots than the directory says.

When an upstream refuses a task because it is full, the number of this host's
other tasks there becomes the cap, unless the cap is lower already. While the
upstream answers tasks, the cap is raised by one after a delay. The delay
doubles each time that a raise is followed by another refusal.
"""

import math

FIRST_RAISE_DELAY_S = 1.0
MAX_RAISE_DELAY_S = 64.0


class SlotCap:
    """Maximum number of this host's tasks at one upstream, once learnt."""

    def __init__(self) -> None:
        self._cap: int | None = None
        self._raise_delay_s = FIRST_RAISE_DELAY_S
        self._raise_at = math.inf
        self._raised_since_refusal = False

    @property
    def cap(self) -> int | None:
        """Maximum number of running tasks; None if there is no cap."""
        return self._cap

    def allows(self, running_count: int) -> bool:
        """Returns whether one more task may start."""
        return self._cap is None or running_count < self._cap

    def refused(self, running_count: int, *, now: float) -> bool:
        """Lowers the cap, if needed, after a refusal by a full upstream.

        Args:
            running_count: Number of other tasks of this host that run there.
            now: The current time.

        Returns:
            Whether the cap is lower than before.
        """
        fitting_count = max(running_count, 1)
        lowered = self._cap is None or fitting_count < self._cap
        if lowered:
            self._cap = fitting_count
        if self._raised_since_refusal:
            self._raise_delay_s = min(
                2 * self._raise_delay_s, MAX_RAISE_DELAY_S
            )
            self._raised_since_refusal = False
        self._raise_at = now + self._raise_delay_s
        return lowered

    def answered(self, listed_slots: int, *, now: float) -> None:
        """Raises the cap after an answered task, if a raise is due.

        Args:
            listed_slots: Number of slots according to the directory; a cap
                that reaches this number is removed.
            now: The current time.
        """
        if self._cap is None or now < self._raise_at:
            return
        self._cap += 1
        self._raised_since_refusal = True
        self._raise_at = now + self._raise_delay_s
        if self._cap >= listed_slots:
            self._cap = None
            self._raise_delay_s = FIRST_RAISE_DELAY_S
