"""Answers a burst of one route while room is short: max-min shares of room.

Routes that send less than an equal share get all they send; what they leave is
lent to the others in equal parts. A route's work beyond its share is excess. It is
taken only if it need not wait long, so that it fills room that is free and not
the queue of the others. Nothing is excess unless a job was expected to end late
within the last SHORT_HOLD_S.
"""

import collections
import copy
import enum
from collections.abc import Mapping

import msgspec

from godwitnotch.core.leased import arrival_rates
from godwitnotch.core.leased import model

# Overload lasts this long after the last job that was expected to end late.
SHORT_HOLD_S = 0.5
# A route may use this much of its share at once, as jobs arrive unevenly.
BURST_S = 0.4
REPORT_INTERVAL_S = 1.0
# A job beyond its route's share may wait for this share of its slack. It keeps
# its place in the queue, as excess behind all others would leave upstreams idle.
EXCESS_SLACK_SHARE = 0.5


class Standing(enum.Enum):
    """Where a job stands in regard to its route's share of room."""

    UNLIMITED = "unlimited"  # There is room for all.
    WITHIN = "within"
    EXCESS = "excess"


class ShareUse(msgspec.Struct, frozen=True):
    """Work of one route that was counted against its share.

    Attributes:
        route: The route.
        standing: Whether the work was within the share or beyond it.
        work_ms: Expected run time of the tasks.
    """

    route: model.RouteName
    standing: Standing
    work_ms: float

    def pairs(self) -> str:
        """Returns the use as key=value pairs for the log."""
        return f"route={self.route} work_ms={self.work_ms:.0f}"


class Credit(msgspec.Struct, frozen=True):
    """Work that a route may still send within its share.

    Attributes:
        left_ms: The work; below 0 after a job larger than what was left.
        updated_at: When left_ms was brought up to date.
    """

    left_ms: float
    updated_at: float


class Claim(msgspec.Struct, frozen=True):
    """What a job would take of its route's share.

    Attributes:
        standing: Where the job stands.
        credit: What is left of the share then; None if the route sends less
            than its share.
    """

    standing: Standing
    credit: Credit | None = None


def allocate(
    demands: Mapping[model.RouteName, float], capacity: float
) -> dict[model.RouteName, float]:
    """Returns the max-min shares of a capacity.

    Args:
        demands: What each route asks for.
        capacity: What there is, in the same unit.
    """
    shares: dict[model.RouteName, float] = {}
    left = max(0.0, capacity)
    ordered = sorted(demands.items(), key=lambda pair: pair[1])
    for position, (route, demand) in enumerate(ordered):
        shares[route] = min(demand, left / (len(ordered) - position))
        left -= shares[route]
    return shares


def slack_share(*, over_share: bool) -> float:
    """Returns the share of its slack that a job may wait."""
    return EXCESS_SLACK_SHARE if over_share else 1.0


class RouteShares:
    """Tells which jobs are beyond their route's share of room.

    Args:
        rates: The rates of arriving work.
    """

    def __init__(self, rates: arrival_rates.ArrivalRates) -> None:
        self._rates = rates
        self._short_until = float("-inf")
        self._credits: dict[model.RouteName, Credit] = {}
        self._used_ms: dict[tuple[model.RouteName, Standing], float] = (
            collections.defaultdict(float)
        )
        self._next_report_at = float("-inf")

    def copy(self, rates: arrival_rates.ArrivalRates) -> "RouteShares":
        """Returns the same shares, which then change independently."""
        twin = copy.copy(self)
        twin._rates = rates
        twin._credits = dict(self._credits)
        twin._used_ms = self._used_ms.copy()
        return twin

    def reset(self) -> None:
        """Forgets all shares."""
        self._short_until = float("-inf")
        self._credits.clear()
        self._used_ms.clear()

    def is_short(self, *, now: float) -> bool:
        """Returns whether more work waits than can end in time."""
        return now < self._short_until

    def record_short(self, *, now: float) -> None:
        """Records that a job is expected to end late."""
        if not self.is_short(now=now):
            self._credits.clear()
        self._short_until = now + SHORT_HOLD_S

    def take(
        self,
        route: model.RouteName,
        work_ms: float,
        capacity_ms_per_s: float,
        *,
        now: float,
    ) -> Standing:
        """Returns where a job stands, and counts it against its route's share.

        Args:
            route: The route of the job.
            work_ms: Expected run time of its tasks.
            capacity_ms_per_s: Work that the upstreams do per second.
            now: The current time.
        """
        claim = self.claim(route, work_ms, capacity_ms_per_s, now=now)
        if claim.credit is not None:
            self._credits[route] = claim.credit
        if claim.standing is not Standing.UNLIMITED:
            self._used_ms[route, claim.standing] += work_ms
        return claim.standing

    def take_uses(self, *, now: float) -> tuple[ShareUse, ...]:
        """Returns the use since the last call, at most each REPORT_INTERVAL_S."""
        if not self._used_ms or now < self._next_report_at:
            return ()
        self._next_report_at = now + REPORT_INTERVAL_S
        uses = tuple(
            ShareUse(route, standing, work_ms)
            for (route, standing), work_ms in self._used_ms.items()
        )
        self._used_ms.clear()
        return uses

    def claim(
        self,
        route: model.RouteName,
        work_ms: float,
        capacity_ms_per_s: float,
        *,
        now: float,
    ) -> Claim:
        """Returns what a job would take of its route's share; takes nothing.

        Args:
            route: The route of the job.
            work_ms: Expected run time of its tasks.
            capacity_ms_per_s: Work that the upstreams do per second.
            now: The current time.
        """
        if not self.is_short(now=now) or not self._rates.known(now=now):
            return Claim(Standing.UNLIMITED)
        demands = self._rates.by_route(now=now)
        share = allocate(demands, capacity_ms_per_s).get(route, 0.0)
        if share >= demands.get(route, 0.0):
            return Claim(Standing.WITHIN)
        credit = self._credits.get(route, Credit(share * BURST_S, now))
        elapsed_s = max(0.0, now - credit.updated_at)
        left_ms = min(share * BURST_S, credit.left_ms + share * elapsed_s)
        if left_ms <= 0:
            return Claim(Standing.EXCESS, Credit(left_ms, now))
        # A job larger than what is left counts as within the share, so that
        # wide jobs are served as often as narrow ones.
        left = Credit(left_ms - work_ms, now)
        return Claim(Standing.WITHIN, left)
