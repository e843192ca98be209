"""Parses scenario files and runs them against a simulated world.

`python -m tests.scenarios [FILE ...]` runs some or all scenarios and prints a
line for each. scenarios/grammar.lark defines the language.
"""

import functools
import pathlib
from collections.abc import Callable

import lark

from godwitnotch.core import ids
from tests import callers
from tests import fakes
from tests import sim_host
from tests import world as worlds

DIRECTORY = pathlib.Path(__file__).parent / "scenarios"
SEED = 7


Step = Callable[["Scenario", lark.Tree], None]
_STEPS: dict[str, Step] = {}


class ScenarioError(AssertionError):
    """A scenario that can't be parsed, or an expectation that isn't met."""

    def __init__(
        self, path: pathlib.Path, line: int, problem: str, remedy: str
    ) -> None:
        super().__init__(f"{path.name}:{line}: {problem}; {remedy}")


def step(name: str) -> Callable[[Step], Step]:
    """Registers the function that runs a statement.

    Args:
        name: Name of the statement's rule in the grammar.
    """

    def register(function: Step) -> Step:
        _STEPS[name] = function
        return function

    return register


class NotReservedError(ScenarioError):
    """A submission under an id whose reservation has no answer yet."""


class Scenario:
    """A scenario file, to be run once.

    Args:
        path: The file.
        text: Text of the scenario; read from the file by default.
        seed: Seed of the random numbers.

    Attributes:
        path: The file.
        world: The simulated world.
        callers: Callers and operators of the world.
        workspace: Workspace of statements that name none.
        submissions: Reserved ids by their names in the scenario.
        identities: `JobCall.identity` of each reserved id, by the id's name.
        line: Line of the current statement.
    """

    def __init__(
        self, path: pathlib.Path, *, text: str | None = None, seed: int = SEED
    ) -> None:
        # Imported here because scenario_steps imports this module.
        from tests import scenario_steps  # noqa: F401

        self.path = path
        self.world = worlds.World(seed=seed)
        self.callers = callers.Callers(self.world)
        self.workspace = "shop"
        self.submissions: dict[str, ids.SubmissionId] = {}
        self.identities: dict[str, str] = {}
        self.line = 0
        self._tree = self._parse(path.read_text() if text is None else text)

    def run(self) -> None:
        """Runs all statements, then checks late effects."""
        for statement in self._tree.children:
            self.line = statement.meta.line
            self.run_statement(statement)
            self._check(self.callers.check())
        self._check(self.callers.settle())

    def run_statement(self, statement: lark.Tree) -> None:
        """Runs one statement."""
        _STEPS[statement.data](self, statement)

    def error(self, problem: str, remedy: str) -> ScenarioError:
        """Returns an error at the current line."""
        return ScenarioError(self.path, self.line, problem, remedy)

    def host(self, name: str) -> sim_host.SimHost:
        """Returns a declared host."""
        if name not in self.world.hosts:
            raise self.error(
                f"unknown host {name!r}",
                f"declare it first: `hosts {name} in DOMAIN`",
            )
        return self.world.hosts[name]

    def upstream(self, name: str) -> fakes.Upstream:
        """Returns a declared upstream."""
        if name not in self.world.upstreams:
            raise self.error(
                f"unknown upstream {name!r}",
                f"declare it first: `upstreams {name} in DOMAIN`",
            )
        return self.world.upstreams[name]

    def call(self, label: str) -> fakes.Call:
        """Returns a call by its label."""
        if label not in self.callers.calls:
            raise self.error(
                f"no call is labelled {label!r}",
                "use one of: " + ", ".join(sorted(self.callers.calls)),
            )
        return self.callers.calls[label]

    def submission(self, name: str) -> ids.SubmissionId:
        """Returns a reserved id by its name in the scenario."""
        if name not in self.submissions:
            reserved = callers.reserved(self.call(f"reserve-{name}"))
            if not reserved:
                raise NotReservedError(
                    self.path,
                    self.line,
                    f"id {name!r} is not reserved yet",
                    "run until its reservation is answered",
                )
            self.submissions[name] = reserved[0]
        return self.submissions[name]

    def endpoints(self, names: list[str]) -> list[str]:
        """Returns the named endpoints; a domain stands for all its members."""
        found = []
        for name in names:
            entries = [
                (entry_name, member.entry.domain)
                for members in (self.world.hosts, self.world.upstreams)
                for entry_name, member in members.items()
            ]
            matches = [n for n, domain in entries if name in (n, domain)]
            if name == worlds.PLATFORM:
                matches = [name]
            if not matches:
                raise self.error(
                    f"unknown end {name!r}",
                    "name a host, an upstream, a domain or `platform`",
                )
            found += matches
        return found

    def expect(self, met: bool, problem: str) -> None:
        """Raises a ScenarioError unless an expectation is met."""
        if not met:
            raise self.error(
                problem, "mend the core, or say why the promise allows it"
            )

    def _check(self, found: list[str]) -> None:
        self.expect(not found, "promise broken: " + " | ".join(found[:3]))

    def _parse(self, text: str) -> lark.Tree:
        try:
            return parser().parse(text.rstrip() + "\n")
        except lark.exceptions.UnexpectedInput as problem:
            expected = sorted(
                getattr(problem, "expected", None) or problem.allowed
            )
            raise ScenarioError(
                self.path,
                problem.line,
                "can't read: " + problem.get_context(text).split("\n")[0],
                "expected one of: " + ", ".join(expected),
            ) from None


class Options:
    """The options of a statement by name."""

    def __init__(self, statement: lark.Tree) -> None:
        self._trees = {
            child.data: child
            for child in statement.children
            if isinstance(child, lark.Tree)
        }

    def __contains__(self, name: str) -> bool:
        return name in self._trees

    def text(self, name: str, default: str = "") -> str:
        """Returns the value of an option."""
        tree = self._trees.get(name)
        return str(tree.children[0]) if tree else default

    def integer(self, name: str, default: int) -> int:
        """Returns the value of an option as a number."""
        return int(self.text(name, str(default)))

    def seconds(self, name: str, default: float) -> float:
        """Returns the value of an option in seconds."""
        return seconds(self.text(name, f"{default}s"))

    def names(self, name: str) -> list[str]:
        """Returns the list of names in an option."""
        tree = self._trees.get(name)
        return names_of(tree.children[0]) if tree else []


@functools.cache
def parser() -> lark.Lark:
    """Returns the parser of the scenario language."""
    grammar = (DIRECTORY / "grammar.lark").read_text()
    return lark.Lark(grammar, parser="lalr", propagate_positions=True)


def seconds(text: str) -> float:
    """Parses a duration such as 20ms into seconds."""
    if text.endswith("us"):
        return float(text[:-2]) / 1_000_000
    if text.endswith("ms"):
        return float(text[:-2]) / 1_000
    return float(text[:-1])


def names_of(tree: lark.Tree) -> list[str]:
    """Returns the names in a list."""
    return [str(token) for token in tree.children]
