"""Caps repeats of attempts as a share of the tasks taken."""

RETRIES_PER_TASK = 0.1
INITIAL_RETRIES = 20.0
MAX_SAVED_RETRIES = 500.0


class RetryBudget:
    """A count of repeats that are still allowed.

    Args:
        share: Repeats earned by each task.
        least: Repeats allowed at the start.
        most: Bound of the repeats that can be saved up.
    """

    def __init__(
        self,
        *,
        retries_per_task: float = RETRIES_PER_TASK,
        initial: float = INITIAL_RETRIES,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._retries_per_task = retries_per_task
        self._max_saved = max_saved
        self._remaining = initial

    @property
    def remaining(self) -> float:
        """Repeats still allowed."""
        return self._remaining

    def earn(self, tasks: int) -> None:
        """Counts tasks that were taken."""
        self._remaining = min(
            self._remaining + self._retries_per_task * tasks, self._max_saved
        )

    def refund(self) -> None:
        """Gives one repeat back, for a refusal that can't recur at once."""
        self._remaining = min(self._remaining + 1.0, self._max_saved)

    def spend(self) -> bool:
        """Takes one repeat; False where none is left."""
        if self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        return True
