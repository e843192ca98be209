"""Callbacks at deadlines; the host core runs them when it gets an event."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

Callback = Callable[[float], None]


@dataclass(order=True, slots=True)
class Timer:
    """A callback that is due at a deadline.

    Attributes:
        deadline: When the callback is due.
        order: Order of creation; breaks ties between equal deadlines.
        callback: The callback; None after it was cancelled.
    """

    deadline: float
    order: int
    callback: Callback | None = field(compare=False)

    def cancel(self) -> None:
        """Cancels the callback."""
        self.callback = None


class Timers:
    """A queue of callbacks ordered by deadline."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._next_order = itertools.count()

    def call_at(self, deadline: float, callback: Callback) -> Timer:
        """Schedules a callback, which is called with the current time."""
        timer = Timer(deadline, next(self._next_order), callback)
        heapq.heappush(self._heap, timer)
        return timer

    def run_due(self, *, now: float) -> None:
        """Runs the callbacks that are due, in the order of their deadlines."""
        while self._heap and self._heap[0].deadline <= now:
            timer = heapq.heappop(self._heap)
            if timer.callback is not None:
                timer.callback(now)

    def next_deadline(self) -> float | None:
        """Returns the earliest deadline of a callback that is not cancelled."""
        while self._heap and self._heap[0].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0].deadline if self._heap else None
