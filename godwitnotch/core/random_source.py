"""The random numbers that decisions draw, from a generator handed in."""

from typing import Protocol


class RandomSource(Protocol):
    """The part of `random.Random` that the decisions use."""

    def random(self) -> float:
        """Returns a number in [0, 1)."""

    def randrange(self, stop: int, /) -> int:
        """Returns an integer in [0, stop)."""
