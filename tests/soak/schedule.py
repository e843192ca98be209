"""Draws a schedule of faults from a seed."""

import random
from dataclasses import dataclass

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
    "step_clock": 1,
    "pause_upstreams": 4,
    "starve_upstreams": 3,
    "restart_upstreams": 3,
    "move_upstreams": 2,
    "blink_upstreams": 3,
    "unlist_upstream": 4,
    "add_upstream": 2,
    "shrink_rooms": 3,
    "deadly_jobs": 4,
    "busy": 1,
}
# These need relays.
LINK_KINDS = {
    "delay_links": 4,
    "hold_links": 8,
    "reset_links": 2,
    "silence_links": 3,
    "cut_domain": 2,
    "cut_domains": 3,
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
        on_leader: Whether it happens to the leader, if it is about a host.
        duration_s: How long it lasts.
        share: Share of the time that a starved process runs.
        number: Seed of what else is left to chance.
    """

    at_s: float
    kind: str
    on_leader: bool
    duration_s: float
    share: float
    number: int

    def line(self) -> str:
        """Returns the fault as text."""
        return (
            f"{self.at_s:.2f} {self.kind} on_leader={self.on_leader} "
            f"duration_s={self.duration_s:g} share={self.share:g} "
            f"number={self.number}"
        )


def draw(
    seed: int, duration_s: float, *, relayed: bool, kinds: frozenset[str]
) -> list[Fault]:
    """Returns the faults of a seed.

    Each seed has some kinds only, as some faults hide what others would show.

    Args:
        seed: The seed.
        duration_s: Time in which faults begin.
        relayed: Whether links can be changed.
        kinds: The kinds to draw from; empty to draw them, too.
    """
    rng = random.Random(seed)
    weights = {**KINDS, **LINK_KINDS} if relayed else KINDS
    drawn = [kind for kind in weights if rng.random() < KIND_SHARE]
    chosen = [kind for kind in weights if kind in kinds] or drawn
    gap_s = rng.choice(MEAN_GAPS_S)
    faults = []
    at_s = rng.expovariate(1 / gap_s)
    while at_s < duration_s and chosen:
        kind = rng.choices(chosen, [weights[each] for each in chosen])[0]
        faults.append(
            Fault(
                at_s=round(at_s, 2),
                kind=kind,
                on_leader=rng.random() < LEADER_SHARE,
                duration_s=round(_duration_s(kind, rng), 2),
                share=round(rng.uniform(0.1, 0.5), 2),
                number=rng.randrange(1 << 30),
            )
        )
        at_s += rng.expovariate(1 / gap_s)
    return faults


def _duration_s(kind: str, rng: random.Random) -> float:
    match kind.partition("_")[0]:
        case "starve" | "busy" | "deadly":
            return rng.uniform(2.0, 6.0)
        case "shrink":
            return rng.uniform(1.0, 12.0)
        case "kill" | "term" | "move" | "restart":
            return rng.uniform(0.0, 2.0)
        case "unlist" | "cut":
            return rng.uniform(0.3, 5.0)
    return rng.uniform(0.2, rng.choice((0.6, 1.2, 3.0)))
