"""Random histories against the naive dispatcher.

A history is a scenario text, so a failing one can be kept as a file.
`make histories` tries more, from a seed of its own.
"""

import os
import pathlib

from hypothesis import strategies

from tests import naive
from tests import scenario

EXAMPLES = int(os.environ.get("HISTORIES", "150"))
SEED = os.environ.get("HISTORIES_SEED")
HOSTS = ("h1", "h2", "h3")
UPSTREAMS = ("u1", "u2", "u3")
IDS = tuple(f"r{number}" for number in range(1, 7))
KEYS = ("k1", "k2", "k3")
PROLOGUE = """\
hosts h1 in d1
hosts h2 in d2
hosts h3 in d3
upstreams u1, u2 in d1 with 3 slots taking 300ms
upstreams u3 in d2 with 3 slots taking 150ms
workspace shop wait 20s
reserve r1 at h1
reserve r2 at h1
reserve r3 at h2
reserve r4 at h2
reserve r5 at h3
reserve r6 at h3
"""

_host = strategies.sampled_from(HOSTS)
_upstream = strategies.sampled_from(UPSTREAMS)
_id = strategies.sampled_from(IDS)
_key = strategies.sampled_from(KEYS)
_end = strategies.sampled_from((*HOSTS, *UPSTREAMS, "store"))
_body = strategies.sampled_from(("", "", "", " body other"))


def _line(text: str, **parts: strategies.SearchStrategy) -> object:
    return strategies.builds(text.format, **parts)


_CALLS = (
    _line("submit {i} at {h}{b}", i=_id, h=_host, b=_body),
    _line("submit key {k} at {h}{b}", k=_key, h=_host, b=_body),
)
_PAUSE = _line(
    "run {t}",
    t=strategies.sampled_from(("1ms", "40ms", "300ms", "1s", "4s", "12s")),
)
_FAULTS = (
    _line("cancel {i} at {h}", i=_id, h=_host),
    _line("status {i} at {h}", i=_id, h=_host),
    _line("kill {h}", h=_host),
    _line("kill {h} silently", h=_host),
    _line("restart {h}", h=_host),
    _line("pause {h}", h=_host),
    _line("pause {h} after deciding", h=_host),
    _line("resume {h}", h=_host),
    _line("drain {h}", h=_host),
    _line("cut {h} from {e}", h=_host, e=_end),
    strategies.just("heal all"),
    _line(
        "store is {m}",
        m=strategies.sampled_from(
            ("up", "down", "slow 5s", "losing answers", "flaky")
            + ("slow 300ms", "losing requests")
        ),
    ),
    _line(
        "upstream {u} is {m}",
        u=_upstream,
        m=strategies.sampled_from(
            ("serves", "serves", "full", "fails", "silent", "deaf", "breaks")
            + ("refuses", "crosses", "repeats")
        ),
    ),
    _line(
        "put shop version {v} at {h} wait {w}s",
        v=strategies.integers(2, 5),
        h=_host,
        w=strategies.integers(15, 30),
    ),
)


def _histories(*, faults: bool) -> strategies.SearchStrategy:
    kinds = (*_CALLS, *_CALLS, _PAUSE, _PAUSE)
    if faults:
        kinds += (*_FAULTS, *_CALLS, _PAUSE)
    step = strategies.one_of(*kinds)
    return strategies.lists(step, min_size=3, max_size=30)


class History:
    """One random history, run in a world and on the naive dispatcher."""

    def __init__(self, lines: list[str]) -> None:
        self._naive = naive.NaiveDispatcher()
        self._wanted: dict[str, tuple[bytes, ...]] = {}
        self._lines = [_labelled(n, line) for n, line in enumerate(lines)]
        text = PROLOGUE + "\n".join(self._lines) + "\n"
        path = pathlib.Path("history.scn")
        self.scenario = scenario.Scenario(path, text=text)

    def run(self) -> None:
        """Runs the history, and all its jobs once more when all is well."""
        self.scenario.run(skip=(scenario.NotReservedError, _HostGoneError))
        self._recover()

    def _recover(self) -> None:
        run = self.scenario
        world = run.world
        world.heal_all()
        world.table.mode = type(world.table.mode).UP
        for upstream in world.upstreams.values():
            upstream.mode = type(upstream.mode).SERVES
        for name, host in list(world.hosts.items()):
            if not host.alive:
                world.add_host(name, host.entry.domain)
            elif host.paused:
                host.resume()
        world.run(30.0)


class _HostGoneError(scenario.ScenarioError):
    pass


def _labelled(number: int, line: str) -> str:
    if line.split()[0] in ("submit", "cancel", "status", "put"):
        return f"{line} as c{number}"
    return line
