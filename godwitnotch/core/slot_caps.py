"""Learns that an upstream has fewer slots than the platform's list says.

A refusal as full with some tasks running there shows how many fit. The cap
rises by one at a time while tasks are answered, ever more rarely if that meets
refusals again.
"""

import math

FIRST_RAISE_DELAY_S = 1.0
LONGEST_RAISE_DELAY_S = 64.0


class SlotCap:
    """Bound of this host's tasks at one upstream; none until it refuses."""

    def __init__(self) -> None:
        self._cap: int | None = None
        self._raise_delay_s = FIRST_RAISE_DELAY_S
        self._raise_at = math.inf
        self._raised_since_refusal = False

    @property
    def cap(self) -> int | None:
        """The bound, if any."""
        return self._cap

    def allows(self, running: int) -> bool:
        """Returns whether one more task may start there."""
        return self._cap is None or running < self._cap

    def refused(self, running: int, *, now: float) -> bool:
        """Takes a refusal as full while some other tasks run there.

        Returns:
            Whether the bound is lower now.
        """
        fitting_count = max(running, 1)
        lowered = self._cap is None or fitting_count < self._cap
        if lowered:
            self._cap = fitting_count
        if self._raised_since_refusal:
            self._raise_delay_s = min(
                2 * self._raise_delay_s, LONGEST_RAISE_DELAY_S
            )
            self._raised_since_refusal = False
        self._raise_at = now + self._raise_delay_s
        return lowered

    def answered(self, listed_slots: int, *, now: float) -> None:
        """Takes an answer of an upstream with so many listed slots."""
        if self._cap is None or now < self._raise_at:
            return
        self._cap += 1
        self._raised_since_refusal = True
        self._raise_at = now + self._raise_delay_s
        if self._cap >= listed_slots:
            self._cap = None
            self._raise_delay_s = FIRST_RAISE_DELAY_S
