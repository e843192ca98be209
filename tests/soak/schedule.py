"""Draws a schedule of faults from a seed."""

import random
from dataclasses import dataclass

LEADER = "leader"
# Weights of the kinds of faults.
KINDS = {
    "pause_host": 10,
    "pause_series": 4,
    "pause_many": 3,
    "suspend_host": 4,
    "starve_host": 8,
    "kill_host": 3,
    "term_host": 1,
    "move_host": 1,
    "pause_upstreams": 4,
    "starve_upstreams": 3,
    "restart_upstreams": 3,
    "move_upstreams": 2,
    "blink_upstreams": 3,
    "unlist_upstream": 4,
    "step_clock": 1,
    "add_upstream": 2,
    "busy": 1,
}
# These need relays.
LINK_KINDS = {
    "delay_links": 4,
    "cut_upstreams": 4,
    "cut_hosts": 4,
    "cut_domain": 2,
    "cut_domains": 3,
    "cut_store": 2,
    "reset_links": 2,
    "silence_links": 3,
}
LEADER_SHARE = 0.6
KIND_SHARE = 0.4
MEAN_GAPS_S = (0.8, 1.6, 3.2)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a schedule.

    Attributes:
        at_s: When it begins, from the start of the faults.
        kind: What happens.
        target: Number of the host or of the upstreams' process, or `LEADER`.
        duration_s: How long it lasts.
        share: Share of the time that a starved process runs.
        number: Seed of what else is left to chance.
    """

    at_s: float
    kind: str
    target: str
    duration_s: float
    share: float = 0.0
    number: int = 0

    def line(self) -> str:
        """Returns the fault as text."""
        share = f" share={self.share:g}" if self.share else ""
        return (
            f"{self.at_s:7.2f} {self.kind} {self.target} "
            f"duration_s={self.duration_s:g}{share}"
        )


def draw(
    seed: int,
    duration_s: float,
    *,
    relayed: bool,
    kinds: frozenset[str] = frozenset(),
) -> list[Fault]:
    """Returns the faults of a seed; only those of `kinds` if there are any."""
    rng = random.Random(seed)
    possible = {**KINDS, **LINK_KINDS} if relayed else KINDS
    # Some faults hide what others would show, so each seed has some kinds only.
    drawn = {kind for kind in possible if rng.random() < KIND_SHARE}
    weights = {
        kind: weight
        for kind, weight in possible.items()
        if kind in (kinds or drawn or possible)
    }
    faults = []
    gap_s = rng.choice(MEAN_GAPS_S)
    at_s = 0.0
    while True:
        at_s += rng.expovariate(1 / gap_s)
        if at_s >= duration_s:
            return faults
        kind = rng.choices(tuple(weights), tuple(weights.values()))[0]
        leads = rng.random() < LEADER_SHARE
        target = LEADER if leads else str(rng.randrange(1_000))
        faults.append(
            Fault(
                round(at_s, 2),
                kind,
                target,
                round(_duration_s(kind, rng), 2),
                round(rng.uniform(0.1, 0.5), 2) if "starve" in kind else 0.0,
                number=rng.randrange(1 << 30),
            )
        )


def _duration_s(kind: str, rng: random.Random) -> float:
    if "starve" in kind or kind == "busy":
        return rng.uniform(2.0, 6.0)
    if "restart" in kind or "move" in kind or "kill" in kind:
        return rng.uniform(0.0, 2.0)
    if kind == "unlist_upstream":
        return rng.uniform(0.3, 5.0)
    return rng.uniform(0.2, rng.choice((0.6, 1.2, 3.0)))
