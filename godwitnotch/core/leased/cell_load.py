"""The load of a cell, which its leader tells the other leaders."""

import msgspec


class CellLoad(msgspec.Struct, frozen=True):
    """The load of the cell that the sender leads; also a message.

    Attributes:
        slots: How many tasks of average size can run at once.
        free_slots: How many of the slots have no run.
        waiting_ms: Expected run time of all waiting tasks.
    """

    slots: float
    free_slots: float
    waiting_ms: float

    def wait_s(self, task_count: int, task_ms: float) -> float:
        """Returns the expected time until the last of a job's tasks starts."""
        if self.slots <= 0:
            return float("inf")
        work_ms = self.waiting_ms + task_count * task_ms
        return max(0.0, work_ms - self.free_slots * task_ms) / (
            self.slots * 1_000
        )

    def with_job(self, task_count: int, task_ms: float) -> "CellLoad":
        """Returns the load after a job has been added."""
        started = min(self.free_slots, task_count)
        return msgspec.structs.replace(
            self,
            free_slots=self.free_slots - started,
            waiting_ms=self.waiting_ms + (task_count - started) * task_ms,
        )
