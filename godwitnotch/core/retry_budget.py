"""Limits retries to a share of the admitted tasks."""

RETRIES_PER_TASK = 0.1
INITIAL_RETRIES = 20.0
MAX_SAVED_RETRIES = 500.0


class RetryBudget:
    """Counts the retries that are still allowed.

    Args:
        retries_per_task: Retries added for each admitted task.
        initial: Retries allowed at the start.
        max_saved: Maximum number of unused retries.
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
        """Number of retries still allowed."""
        return self._remaining

    def earn(self, task_count: int) -> None:
        """Adds the retries of newly admitted tasks."""
        self._remaining = min(
            self._remaining + self._retries_per_task * task_count,
            self._max_saved,
        )

    def refund(self) -> None:
        """Gives back the retry of a task that an upstream refused.

        Used only if the refusal lowered the cap of the upstream, so that the
        same refusal can't recur at once.
        """
        self._remaining = min(self._remaining + 1.0, self._max_saved)

    def spend(self) -> bool:
        """Takes one retry; returns False if no retry is left."""
        if self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        return True
