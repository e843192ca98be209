"""How the rates of generated loads vary, under names."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

_Route = TypeVar("_Route")


class Shapes(dict[str, Callable[[_Route, float], float]], Generic[_Route]):
    """The factor on a route's rate at a time, by name."""

    def register(
        self, name: str
    ) -> Callable[
        [Callable[[_Route, float], float]], Callable[[_Route, float], float]
    ]:
        """Registers a function under a name."""

        def add(
            function: Callable[[_Route, float], float],
        ) -> Callable[[_Route, float], float]:
            self[name] = function
            return function

        return add
