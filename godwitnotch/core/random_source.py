"""Interface of the source of random numbers that the host core uses."""

from typing import Protocol


class RandomSource(Protocol):
    """The methods of `random.Random` that the dispatcher uses."""

    def random(self) -> float:
        """Returns a number in [0, 1)."""

    def randrange(self, stop: int, /) -> int:
        """Returns an integer in [0, stop)."""
