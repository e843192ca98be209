"""Deadlines at which the decisions want to be called back."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

Callback = Callable[[float], None]


@dataclass(order=True, slots=True)
class Timer:
    """A pending callback; `cancel` makes it do nothing."""

    deadline: float
    order: int
    callback: Callback | None = field(compare=False)

    def cancel(self) -> None:
        """Drops the callback."""
        self.callback = None


class Timers:
    """A queue of callbacks ordered by deadline."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._next_order = itertools.count()

    def call_at(self, deadline: float, callback: Callback) -> Timer:
        """Calls back with the present time once the deadline has passed."""
        timer = Timer(deadline, next(self._next_order), callback)
        heapq.heappush(self._heap, timer)
        return timer

    def run_due(self, *, now: float) -> None:
        """Runs the callbacks that are due, earliest first."""
        while self._heap and self._heap[0].deadline <= now:
            timer = heapq.heappop(self._heap)
            if timer.callback is not None:
                timer.callback(now)

    def next_deadline(self) -> float | None:
        """Returns the earliest deadline that still has a callback."""
        while self._heap and self._heap[0].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0].deadline if self._heap else None
