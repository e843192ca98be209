"""Runs scenario files: parses them, drives a world, checks expectations.

`python -m tests.scenario [FILE ...]` runs some or all, a line for each.
"""

import functools
import operator
import pathlib
import sys
from collections.abc import Callable

import lark

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from tests import callers
from tests import fakes
from tests import sim_host
from tests import world as worlds

DIRECTORY = pathlib.Path(__file__).parent / "scenarios"
SEED = 7
CONFIG_TIMEOUT_S = 15.0
RUN_UNTIL_S = 60.0

FLEET = """\
hosts h1 in d1
hosts h2 in d2
hosts h3 in d3
upstreams u1, u2 in d1 taking 300ms
upstreams u3 in d2 taking 300ms
workspace shop wait 20s
"""

_COMPARE = {"=": operator.eq, "<=": operator.le, ">=": operator.ge}
_STORE_MODES = {
    "losing answers": fakes.StoreMode.LOSES_ANSWERS,
    "losing acks": fakes.StoreMode.LOSES_ACKS,
    "losing requests": fakes.StoreMode.LOSES_REQUESTS,
}
Step = Callable[["Scenario", lark.Tree], None]
_STEPS: dict[str, Step] = {}


class ScenarioError(AssertionError):
    """A scenario that can't be read, or whose expectation wasn't met."""

    def __init__(
        self, path: pathlib.Path, line: int, problem: str, remedy: str
    ) -> None:
        super().__init__(f"{path.name}:{line}: {problem}; {remedy}")


def step(name: str) -> Callable[[Step], Step]:
    """Registers the meaning of a statement."""

    def register(run: Step) -> Step:
        _STEPS[name] = run
        return run

    return register


class NotReservedError(ScenarioError):
    """A job under an id whose reservation was not answered."""


class Scenario:
    """One scenario file, run once.

    Args:
        path: The file.
        text: Its text; read from the file by default.
        seed: Seed of all chance.
    """

    def __init__(
        self, path: pathlib.Path, *, text: str | None = None, seed: int = SEED
    ) -> None:
        self.path = path
        self.world = worlds.World(seed=seed)
        self.callers = callers.Callers(self.world)
        self.workspace = "shop"
        self.submissions: dict[str, ids.SubmissionId] = {}
        self.identities: dict[str, str] = {}
        self.line = 0
        self._tree = self._parse(path.read_text() if text is None else text)

    def run(self) -> None:
        """Runs all statements, then waits for late effects."""
        for statement in self._tree.children:
            self.line = statement.meta.line
            _STEPS[statement.data](self, statement)
            self._check(self.callers.check())
        self._check(self.callers.settle())

    def error(self, problem: str, remedy: str) -> ScenarioError:
        """Returns an error at the present line."""
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
            got = callers.reserved(self.call(f"reserve-{name}"))
            if not got:
                raise NotReservedError(
                    self.path,
                    self.line,
                    f"id {name!r} is not reserved yet",
                    "run until its reservation is answered",
                )
            self.submissions[name] = got[0]
        return self.submissions[name]

    def ends(self, names: list[str]) -> list[str]:
        """Returns hosts, upstreams or the platform; a domain means its parts."""
        found = []
        for name in names:
            entries = [
                (entry_name, part.entry.domain)
                for parts in (self.world.hosts, self.world.upstreams)
                for entry_name, part in parts.items()
            ]
            ends = [n for n, domain in entries if name in (n, domain)]
            if name == worlds.PLATFORM:
                ends = [name]
            if not ends:
                raise self.error(
                    f"unknown end {name!r}",
                    "name a host, an upstream, a domain or `platform`",
                )
            found += ends
        return found

    def expect(self, met: bool, problem: str) -> None:
        """Raises unless an expectation is met."""
        if not met:
            raise self.error(
                problem, "mend the core, or say why the promise allows it"
            )

    def _check(self, found: list[str]) -> None:
        self.expect(not found, "promise broken: " + " | ".join(found[:3]))

    def _parse(self, text: str) -> lark.Tree:
        try:
            return _parser().parse(text.rstrip() + "\n")
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
    """The options of a statement, by name."""

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
        return _seconds(self.text(name, f"{default}s"))

    def names(self, name: str) -> list[str]:
        """Returns the names that an option lists."""
        tree = self._trees.get(name)
        return _names(tree.children[0]) if tree else []


def _seconds(text: str) -> float:
    if text.endswith("us"):
        return float(text[:-2]) / 1_000_000
    if text.endswith("ms"):
        return float(text[:-2]) / 1_000
    return float(text[:-1])


def _names(tree: lark.Tree) -> list[str]:
    return [str(token) for token in tree.children]


@functools.cache
def _parser() -> lark.Lark:
    grammar = (DIRECTORY / "grammar.lark").read_text()
    return lark.Lark(grammar, parser="lalr", propagate_positions=True)


@step("promise")
def _promise(scenario: Scenario, tree: lark.Tree) -> None:
    """Names the promise for the reader."""


@step("fleet")
def _fleet(scenario: Scenario, tree: lark.Tree) -> None:
    for statement in _parser().parse(FLEET).children:
        _STEPS[statement.data](scenario, statement)


@step("hosts")
def _hosts(scenario: Scenario, tree: lark.Tree) -> None:
    for name in _names(tree.children[0]):
        scenario.world.add_host(name, str(tree.children[1]))


@step("upstreams")
def _upstreams(scenario: Scenario, tree: lark.Tree) -> None:
    options = Options(tree)
    for name in _names(tree.children[0]):
        scenario.world.add_upstream(
            name,
            str(tree.children[1]),
            slots=options.integer("slots", 8),
            taking_s=options.seconds("taking", 0.1),
        )


def _config(
    workspace: str, version: int, options: Options
) -> model.WorkspaceConfig:
    name = ids.TemplateName("check")
    template = model.Template(
        name,
        "/check",
        upstreams=frozenset(
            ids.UpstreamId(upstream) for upstream in options.names("on")
        ),
        max_wait_s=options.seconds("wait", 30.0),
        idempotent="idempotent" in options,
    )
    return model.WorkspaceConfig(
        ids.WorkspaceId(workspace),
        version,
        {name: template},
        max_running_tasks=options.integer("quota", 1_000),
        max_queued_tasks=options.integer("queue", 10_000),
    )


@step("workspace")
def _workspace(scenario: Scenario, tree: lark.Tree) -> None:
    name = str(tree.children[0])
    if not scenario.world.hosts:
        raise scenario.error("no host yet", "declare `hosts` above")
    scenario.workspace = name
    scenario.world.run(3.0)
    call = scenario.callers.put(
        f"workspace-{name}",
        host=next(iter(scenario.world.hosts)),
        config=_config(name, 1, Options(tree)),
        within_s=CONFIG_TIMEOUT_S,
    )
    scenario.world.run(CONFIG_TIMEOUT_S, lambda: call.reply is not None)
    reply = call.reply
    told = isinstance(reply, actions.ReplyConfig) and reply.recorded
    scenario.expect(bool(told), f"workspace {name} not recorded: {reply}")
    scenario.world.run(2.0)


@step("reserve")
def _reserve(scenario: Scenario, tree: lark.Tree) -> None:
    name, host = (str(token) for token in tree.children[:2])
    scenario.host(host)
    options = Options(tree)
    key = options.text("key")
    scenario.identities[name] = f"key:{key}" if key else name
    scenario.callers.reserve(
        f"reserve-{name}",
        host=host,
        workspace=options.text("of_workspace", scenario.workspace),
        key=key or None,
    )


def _identity(scenario: Scenario, name: str, options: Options) -> str:
    identity = scenario.identities.get(name, name)
    body = options.text("body")
    return f"{identity}/{body}" if body else identity


@step("submit")
def _submit(scenario: Scenario, tree: lark.Tree) -> None:
    name, host = (str(token) for token in tree.children[:2])
    scenario.host(host)
    options = Options(tree)
    identity = _identity(scenario, name, options)
    scenario.callers.submit(
        options.text("as_label", name),
        host=host,
        workspace=options.text("of_workspace", scenario.workspace),
        submission=scenario.submission(name),
        body=callers.body_of(identity, tasks=options.integer("tasks", 3)),
        identity=identity,
        within_s=options.seconds("within", 10.0),
    )


@step("submit_keyed")
def _submit_keyed(scenario: Scenario, tree: lark.Tree) -> None:
    key, host = (str(token) for token in tree.children[:2])
    scenario.host(host)
    options = Options(tree)
    identity = _identity(scenario, f"key:{key}", options)
    scenario.callers.submit_keyed(
        options.text("as_label", key),
        host=host,
        workspace=options.text("of_workspace", scenario.workspace),
        key=key,
        body=callers.body_of(identity, tasks=options.integer("tasks", 3)),
        within_s=options.seconds("within", 10.0),
    )


@step("submit_jobs")
def _submit_jobs(scenario: Scenario, tree: lark.Tree) -> None:
    count, prefix = int(tree.children[0]), str(tree.children[1])
    hosts = _names(tree.children[2])
    options = Options(tree)
    for number in range(count):
        name, host = f"{prefix}-{number}", hosts[number % len(hosts)]
        scenario.host(host)
        scenario.callers.reserve(
            f"reserve-{name}", host=host, workspace=scenario.workspace
        )
        scenario.callers.submit(
            name,
            host=host,
            workspace=scenario.workspace,
            submission=scenario.submission(name),
            body=callers.body_of(name, tasks=options.integer("tasks", 3)),
            identity=name,
            within_s=options.seconds("within", 10.0),
        )


def _ask(
    scenario: Scenario,
    tree: lark.Tree,
    kind: type[events.StatusAsked] | type[events.CancelAsked],
) -> None:
    name, host = (str(token) for token in tree.children[:2])
    scenario.host(host)
    scenario.callers.ask(
        kind,
        Options(tree).text("as_label", f"{tree.data}-{name}"),
        host=host,
        workspace=scenario.workspace,
        submission=scenario.submission(name),
        identity=scenario.identities.get(name, name),
    )


@step("status")
def _status(scenario: Scenario, tree: lark.Tree) -> None:
    _ask(scenario, tree, events.StatusAsked)


@step("cancel")
def _cancel(scenario: Scenario, tree: lark.Tree) -> None:
    _ask(scenario, tree, events.CancelAsked)


@step("put")
def _put(scenario: Scenario, tree: lark.Tree) -> None:
    name, version, host = (str(token) for token in tree.children[:3])
    scenario.host(host)
    options = Options(tree)
    scenario.callers.put(
        options.text("as_label", f"put-{name}-{version}"),
        host=host,
        config=_config(name, int(version), options),
        within_s=options.seconds("within", 10.0),
    )


@step("kill")
def _kill(scenario: Scenario, tree: lark.Tree) -> None:
    name = str(tree.children[0])
    scenario.host(name)
    scenario.world.kill(name, silently=tree.children[1] is not None)


@step("restart")
def _restart(scenario: Scenario, tree: lark.Tree) -> None:
    name = str(tree.children[0])
    old = scenario.host(name)
    if old.alive:
        scenario.world.kill(name)
    scenario.world.add_host(name, old.entry.domain)


@step("revive")
def _revive(scenario: Scenario, tree: lark.Tree) -> None:
    if not scenario.host(str(tree.children[0])).alive:
        _restart(scenario, tree)


@step("pause")
def _pause(scenario: Scenario, tree: lark.Tree) -> None:
    host = scenario.host(str(tree.children[0]))
    host.pause(after_deciding=tree.children[1] is not None)


@step("resume")
def _resume(scenario: Scenario, tree: lark.Tree) -> None:
    scenario.host(str(tree.children[0])).resume()


@step("drain")
def _drain(scenario: Scenario, tree: lark.Tree) -> None:
    host = scenario.host(str(tree.children[0]))
    within_s = Options(tree).seconds("within", 30.0)
    host.drain_deadline = host.clock + within_s
    host.deliver(events.DrainAsked(host.drain_deadline))


@step("cut")
def _cut(scenario: Scenario, tree: lark.Tree) -> None:
    for one in scenario.ends(_names(tree.children[0])):
        for other in scenario.ends(_names(tree.children[1])):
            if one != other:
                scenario.world.cut(one, other)


@step("heal")
def _heal(scenario: Scenario, tree: lark.Tree) -> None:
    for one in scenario.ends(_names(tree.children[0])):
        for other in scenario.ends(_names(tree.children[1])):
            scenario.world.heal(one, other)


@step("heal_all")
def _heal_all(scenario: Scenario, tree: lark.Tree) -> None:
    scenario.world.heal_all()


@step("skew")
def _skew(scenario: Scenario, tree: lark.Tree) -> None:
    host = scenario.host(str(tree.children[0]))
    host.offset_s = _seconds(str(tree.children[1]))


@step("store")
def _store(scenario: Scenario, tree: lark.Tree) -> None:
    text, slow = str(tree.children[0]), tree.children[1]
    platform = scenario.world.store
    platform.mode = _STORE_MODES.get(text) or fakes.StoreMode(text)
    platform.slow_s = _seconds(str(slow)) if slow else 0.0


@step("upstream_mode")
def _upstream_mode(scenario: Scenario, tree: lark.Tree) -> None:
    upstream = scenario.upstream(str(tree.children[0]))
    upstream.mode = fakes.Mode(str(tree.children[1]))


@step("upstream_time")
def _upstream_time(scenario: Scenario, tree: lark.Tree) -> None:
    upstream = scenario.upstream(str(tree.children[0]))
    upstream.taking_s = _seconds(str(tree.children[1]))


@step("leave")
def _leave(scenario: Scenario, tree: lark.Tree) -> None:
    name = str(tree.children[0])
    scenario.upstream(name)
    scenario.world.leave(name)


@step("lag")
def _lag(scenario: Scenario, tree: lark.Tree) -> None:
    scenario.world.directory_lag_s = _seconds(str(tree.children[0]))


@step("run")
def _run(scenario: Scenario, tree: lark.Tree) -> None:
    scenario.world.run(_seconds(str(tree.children[0])))


@step("run_until")
def _run_until(scenario: Scenario, tree: lark.Tree) -> None:
    label = str(tree.children[0])
    call = scenario.call(label)
    limit = Options(tree).seconds("within", RUN_UNTIL_S)
    scenario.world.run(limit, lambda: call.reply is not None)
    scenario.expect(
        call.reply is not None, f"{label} was not answered in {limit} s"
    )


def _outcomes(tree: lark.Tree) -> set[str]:
    return {
        str(child.children[0])
        for child in tree.children
        if isinstance(child, lark.Tree) and child.data == "outcome"
    }


def _detail(tree: lark.Tree, name: str) -> list[str]:
    return [
        str(token)
        for child in tree.children
        if isinstance(child, lark.Tree) and child.data == name
        for token in child.children
    ]


@step("expect_answer")
def _expect_answer(scenario: Scenario, tree: lark.Tree) -> None:
    label = str(tree.children[0])
    call = scenario.call(label)
    answer = call.answer
    if answer is None:
        raise scenario.error(f"{label} has {call.reply}", "run longer")
    reason = answer.reason.value if answer.reason else "no reason"
    told = (
        f"{label} is {answer.outcome.value} ({reason}, ran "
        f"{answer.ran.value}): {answer.detail}"
    )
    scenario.expect(answer.outcome.value in _outcomes(tree), told)
    because = _detail(tree, "because")
    scenario.expect(not because or reason in because, told)
    ran = _detail(tree, "ran")
    scenario.expect(not ran or answer.ran.value in ran, told)
    if any(_is(child, "retry") for child in tree.children):
        scenario.expect(answer.retry_after_s is not None, told + ": no retry")
    for limit in _detail(tree, "answered_within"):
        took = call.answered_at - call.sent_at
        scenario.expect(took <= _seconds(limit), f"{label} took {took:.3f} s")


def _is(child: object, name: str) -> bool:
    return isinstance(child, lark.Tree) and child.data == name


@step("expect_unanswered")
def _expect_unanswered(scenario: Scenario, tree: lark.Tree) -> None:
    call = scenario.call(str(tree.children[0]))
    scenario.expect(call.reply is None, f"answered: {call.reply}")


@step("expect_same_id")
def _expect_same_id(scenario: Scenario, tree: lark.Tree) -> None:
    one, other = (
        scenario.submission(str(token).removeprefix("reserve-"))
        for token in tree.children
    )
    scenario.expect(one == other, f"{one} is not {other}")


def _count(scenario: Scenario, tree: lark.Tree, found: int) -> None:
    compare, wanted = str(tree.children[-2]), int(tree.children[-1])
    scenario.expect(
        _COMPARE[compare](found, wanted),
        f"found {found}, not {compare} {wanted}",
    )


@step("expect_starts_of")
def _expect_starts_of(scenario: Scenario, tree: lark.Tree) -> None:
    name = str(tree.children[0])
    call = scenario.call(name)
    payloads = set(call.payloads)
    starts = [s for s in scenario.world.starts if s.payload in payloads]
    _count(scenario, tree, len(starts))


@step("expect_starts_at")
def _expect_starts_at(scenario: Scenario, tree: lark.Tree) -> None:
    name = scenario.upstream(str(tree.children[0])).entry.upstream
    starts = [s for s in scenario.world.starts if s.upstream == name]
    _count(scenario, tree, len(starts))


@step("expect_starts_by")
def _expect_starts_by(scenario: Scenario, tree: lark.Tree) -> None:
    name = scenario.host(str(tree.children[0])).entry.host
    starts = [s for s in scenario.world.starts if s.host == name]
    _count(scenario, tree, len(starts))


@step("expect_jobs")
def _expect_jobs(scenario: Scenario, tree: lark.Tree) -> None:
    prefix = str(tree.children[0]) + "-"
    outcomes = _outcomes(tree)
    found = [
        call
        for label, call in scenario.callers.calls.items()
        if label.startswith(prefix)
        and call.answer
        and call.answer.outcome.value in outcomes
    ]
    _count(scenario, tree, len(found))


@step("expect_version")
def _expect_version(scenario: Scenario, tree: lark.Tree) -> None:
    version, workspace = int(tree.children[0]), str(tree.children[1])
    for name in _names(tree.children[2]):
        configs = scenario.host(name).core.configs
        config = configs.get(ids.WorkspaceId(workspace))
        found = config.version if config else 0
        scenario.expect(found == version, f"{name} has version {found}")


def _told(scenario: Scenario, label: str) -> actions.ReplyConfig:
    reply = scenario.call(label).reply
    if not isinstance(reply, actions.ReplyConfig):
        raise scenario.error(f"{label} has {reply}", "run longer")
    return reply


@step("expect_in_force")
def _expect_in_force(scenario: Scenario, tree: lark.Tree) -> None:
    told = _told(scenario, str(tree.children[0]))
    scenario.expect(bool(told.recorded) and not told.lagging, str(told))


@step("expect_lagging")
def _expect_lagging(scenario: Scenario, tree: lark.Tree) -> None:
    told = _told(scenario, str(tree.children[0]))
    names = set(_names(tree.children[1]))
    met = bool(told.recorded) and set(told.lagging) == names
    scenario.expect(met, str(told))


@step("expect_conflict")
def _expect_conflict(scenario: Scenario, tree: lark.Tree) -> None:
    told = _told(scenario, str(tree.children[0]))
    version = told.current.version if told.current else 0
    met = told.recorded is False and version == int(tree.children[1])
    scenario.expect(met, str(told))


@step("expect_unrecorded")
def _expect_unrecorded(scenario: Scenario, tree: lark.Tree) -> None:
    told = _told(scenario, str(tree.children[0]))
    scenario.expect(not told.recorded, str(told))


@step("expect_host")
def _expect_host(scenario: Scenario, tree: lark.Tree) -> None:
    name, state = (str(token) for token in tree.children)
    host = scenario.host(name)
    met = {
        "ready": host.alive and host.core.ready,
        "unready": host.alive and not host.core.ready,
        "stopped": host.stopped,
        "alive": host.alive,
    }[state]
    scenario.expect(met, f"{name} is not {state}")


@step("expect_writes")
def _expect_writes(scenario: Scenario, tree: lark.Tree) -> None:
    _count(scenario, tree, scenario.world.store.writes)


@step("expect_peak")
def _expect_peak(scenario: Scenario, tree: lark.Tree) -> None:
    _count(scenario, tree, scenario.world.peak_running)


def main(names: list[str]) -> int:
    """Runs scenario files and prints a line for each."""
    paths = [pathlib.Path(name) for name in names]
    failed = 0
    for path in paths or sorted(DIRECTORY.glob("*.scn")):
        try:
            scenario = Scenario(path)
            scenario.run()
            print(f"passed {path.stem} starts={len(scenario.world.starts)}")
        except ScenarioError as problem:
            failed += 1
            print(f"FAILED {problem}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
