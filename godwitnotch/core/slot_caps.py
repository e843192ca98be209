"""Learns that an upstream has fewer slots than the platform's list says.

A refusal as full with some tasks running there shows how many fit. The cap
rises by one at a time while tasks are answered, ever more rarely if that meets
refusals again.
"""

import math

FIRST_RAISE_S = 1.0
LONGEST_RAISE_S = 64.0


class SlotCap:
    """Bound of this host's tasks at one upstream; none until it refuses."""

    def __init__(self) -> None:
        self._cap: int | None = None
        self._raise_s = FIRST_RAISE_S
        self._raise_at = math.inf
        self._raised = False

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
        fits = max(running, 1)
        lower = self._cap is None or fits < self._cap
        if lower:
            self._cap = fits
        if self._raised:
            self._raise_s = min(2 * self._raise_s, LONGEST_RAISE_S)
            self._raised = False
        self._raise_at = now + self._raise_s
        return lower

    def answered(self, listed: int, *, now: float) -> None:
        """Takes an answer of an upstream with so many listed slots."""
        if self._cap is None or now < self._raise_at:
            return
        self._cap += 1
        self._raised = True
        self._raise_at = now + self._raise_s
        if self._cap >= listed:
            self._cap = None
            self._raise_s = FIRST_RAISE_S
