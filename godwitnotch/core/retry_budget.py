"""Caps repeats of attempts as a share of the tasks taken."""

SHARE = 0.1
LEAST = 20.0
MOST = 500.0


class RetryBudget:
    """A count of repeats that are still allowed.

    Args:
        share: Repeats earned by each task.
        least: Repeats allowed at the start.
        most: Bound of the repeats that can be saved up.
    """

    def __init__(
        self, *, share: float = SHARE, least: float = LEAST, most: float = MOST
    ) -> None:
        self._share = share
        self._most = most
        self._left = least

    @property
    def left(self) -> float:
        """Repeats still allowed."""
        return self._left

    def earn(self, tasks: int) -> None:
        """Counts tasks that were taken."""
        self._left = min(self._left + self._share * tasks, self._most)

    def refund(self) -> None:
        """Gives one repeat back, for a refusal that can't recur at once."""
        self._left = min(self._left + 1.0, self._most)

    def spend(self) -> bool:
        """Takes one repeat; False where none is left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
