"""Chooses who sends a leader's calls: peaks of starts beyond its processor.

See docs/design/order-relays.md.
"""

import hashlib
import math
from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import capacity
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_results
from godwitnotch.core.leased import start_rate

FORECAST_S = 0.5
# Relays go on for this long after the last forecast above the lower threshold.
MIN_ACTIVE_S = 3.0
# A result has two more hops and passes two more event loops than a response to
# a direct call. A list request with the longest wait, its loss and the direct
# request after it must fit in the rest of a lease.
RESULT_MARGIN_S = 0.1
# Checks for missing results come each 40 ms. After a longer gap this host was late
# itself, and results wait in its sockets: they get the gap as well, up to a limit
# that leaves a lost list request time to be repeated.
CHECK_INTERVAL_S = 0.04
MAX_OWN_DELAY_S = 0.3
# After a missing result the relay may be paused or its link cut one way.
SILENT_RELAY_DELAY_S = 2.0
# A cut between a relay and an upstream rarely ends sooner.
UNREACHED_UPSTREAM_DELAY_S = 5.0
# Bytes of specs in open starts at one relay. At 9.5 Mbit/s, the slowest link
# of a host, they occupy the link for 20 ms.
MAX_OPEN_SPEC_BYTES = 24_000

NO_RELAY = ids.HostId("")

_HASH_BYTES = 8


class Candidate(msgspec.Struct, frozen=True):
    """A linked host that may relay.

    Attributes:
        host: The host.
        domain: Its failure domain.
        rank: Its rank; a host of twice the rank gets twice the upstreams.
    """

    host: ids.HostId
    domain: ids.DomainId
    rank: int


class _OpenCall(msgspec.Struct, frozen=True):
    """A call at a relay that has no result yet."""

    relay: ids.HostId
    upstream: ids.UpstreamId
    spec_bytes: int
    result_due_at: float


class Switch(msgspec.Struct, frozen=True):
    """That relays begin or end, with the figures.

    Attributes:
        active: Whether relays are used from now on.
        starts_per_s: Rate of starts over the last two seconds.
        forecast_per_s: Forecast of the rate.
        limit_per_s: The threshold that it has passed.
        relays: How many hosts relay.
    """

    active: bool
    starts_per_s: float
    forecast_per_s: float
    limit_per_s: float
    relays: int

    def pairs(self) -> str:
        """Returns the figures as key=value pairs for the log."""
        return (
            f"starts_per_s={self.starts_per_s:.0f} "
            f"forecast_per_s={self.forecast_per_s:.0f} "
            f"limit_per_s={self.limit_per_s:.0f} relays={self.relays}"
        )


class OrderRelays:
    """Decides which host sends the calls to which upstream.

    Args:
        runs_per_s: How many runs a second this host can order as a leader.

    Attributes:
        active: Whether relays are in use.
        relayed_count: How many calls relays were given since the start.
        lost_count: How many of them had no result.
    """

    def __init__(self, *, runs_per_s: float) -> None:
        self.active = False
        self.relayed_count = 0
        self.lost_count = 0
        self._start_limit = capacity.RELAY_START_SHARE * runs_per_s
        self._stop_limit = capacity.RELAY_STOP_SHARE * runs_per_s
        self._rate = start_rate.StartRate()
        self._active_until = 0.0
        self._last_check_at: float | None = None
        self._candidates: tuple[Candidate, ...] = ()
        self._assigned: dict[ids.UpstreamId, ids.HostId] = {}
        self._open_calls: dict[model.UpstreamCallId, _OpenCall] = {}
        self._open_spec_bytes: dict[ids.HostId, int] = {}
        self._silent_until: dict[ids.HostId, float] = {}
        self._unreached_until: dict[
            tuple[ids.HostId, ids.UpstreamId], float
        ] = {}

    def reset(self) -> None:
        """Forgets all calls and figures, as this host stops or starts to lead."""
        self.active = False
        self._rate.clear()
        self._active_until = 0.0
        self._last_check_at = None
        self._candidates = ()
        self._assigned.clear()
        self._open_calls.clear()
        self._open_spec_bytes.clear()
        self._silent_until.clear()
        self._unreached_until.clear()

    def count_start(self, *, now: float) -> None:
        """Counts the start of a run that this leader orders."""
        self._rate.add(now=now)

    def update(
        self,
        candidates: Callable[[], Sequence[Candidate]],
        *,
        behind: bool = False,
        now: float,
    ) -> Switch | None:
        """Begins or ends the use of relays; called regularly by a leader.

        Args:
            candidates: Returns the hosts that may relay now.
            behind: Whether this leader handles events late, whatever the rate.
            now: The current time.

        Returns:
            The change, if there is one.
        """
        forecast = self._rate.forecast(FORECAST_S, now=now)
        was_active = self.active
        limit = self._stop_limit if was_active else self._start_limit
        if forecast > limit or behind:
            self._active_until = now + MIN_ACTIVE_S
        self.active = now < self._active_until
        if self.active:
            self._set_candidates(candidates(), now=now)
            # Without a host that may relay, there is nothing to begin.
            self.active = was_active or bool(self._candidates)
        if self.active is was_active:
            return None
        return Switch(
            self.active,
            self._rate.per_s(now=now),
            forecast,
            limit,
            len(self._candidates),
        )

    def open_call(
        self,
        call: model.UpstreamCallId,
        upstream: model.LeasedUpstream,
        *,
        spec_bytes: int,
        timeout_s: float,
        now: float,
    ) -> ids.HostId:
        """Chooses who sends a call; remembers it as open if a relay does.

        Args:
            call: The call.
            upstream: Its upstream.
            spec_bytes: Length of the spec in a start; 0 for other calls.
            timeout_s: After this time the upstream's response is late.
            now: The current time.

        Returns:
            The relay; NO_RELAY if this host must send the call.
        """
        relay = self._relay_of(upstream, now=now)
        if relay == NO_RELAY:
            return NO_RELAY
        open_bytes = self._open_spec_bytes.get(relay, 0) + spec_bytes
        if spec_bytes and open_bytes > MAX_OPEN_SPEC_BYTES:
            return NO_RELAY
        self._open_spec_bytes[relay] = open_bytes
        self._open_calls[call] = _OpenCall(
            relay,
            upstream.upstream,
            spec_bytes,
            now + timeout_s + RESULT_MARGIN_S,
        )
        self.relayed_count += 1
        return relay

    def take_result(
        self,
        relay: ids.HostId,
        result: order_results.OrderResult,
        *,
        now: float,
    ) -> bool:
        """Closes a call that a relay reports a result of.

        Returns:
            Whether the call was open at this relay; otherwise the result comes
            too late, and is ignored.
        """
        call = self._open_calls.get(result.call)
        if call is None or call.relay != relay:
            return False
        self._close(result.call)
        if _upstream_not_reached(result):
            key = (relay, call.upstream)
            self._unreached_until[key] = now + UNREACHED_UPSTREAM_DELAY_S
        return True

    def take_overdue(
        self, *, now: float
    ) -> list[order_results.OrderUnanswered]:
        """Closes the calls without a result in time, and avoids their relays."""
        own_delay_s = 0.0
        if self._last_check_at is not None:
            gap_s = now - self._last_check_at
            own_delay_s = min(MAX_OWN_DELAY_S, gap_s - CHECK_INTERVAL_S)
        self._last_check_at = now
        due_until = now - max(0.0, own_delay_s)
        overdue = [
            (call_id, call)
            for call_id, call in self._open_calls.items()
            if due_until >= call.result_due_at
        ]
        for _, call in overdue:
            self._silent_until[call.relay] = now + SILENT_RELAY_DELAY_S
        if overdue:
            self._set_candidates(self._candidates, now=now)
        return self._lose(
            [call_id for call_id, _ in overdue], model.CallFailure.RELAY_SILENT
        )

    def host_lost(
        self, host: ids.HostId, *, now: float
    ) -> list[order_results.OrderUnanswered]:
        """Closes the calls at a host whose link has closed."""
        others = [each for each in self._candidates if each.host != host]
        self._set_candidates(others, now=now)
        return self._lose(
            [
                call_id
                for call_id, call in self._open_calls.items()
                if call.relay == host
            ],
            model.CallFailure.RELAY_LOST,
        )

    def _lose(
        self,
        calls: Sequence[model.UpstreamCallId],
        failure: model.CallFailure,
    ) -> list[order_results.OrderUnanswered]:
        """Closes calls that the upstream may have executed or not."""
        self.lost_count += len(calls)
        for call in calls:
            self._close(call)
        return [order_results.OrderUnanswered(call, failure) for call in calls]

    def _close(self, call_id: model.UpstreamCallId) -> None:
        call = self._open_calls.pop(call_id)
        self._open_spec_bytes[call.relay] -= call.spec_bytes

    def _set_candidates(
        self, candidates: Sequence[Candidate], *, now: float
    ) -> None:
        """Replaces the hosts that may relay; drops those that were silent."""
        usable = tuple(
            each
            for each in candidates
            if now >= self._silent_until.get(each.host, now)
        )
        if usable != self._candidates:
            self._candidates = usable
            self._assigned.clear()

    def _relay_of(
        self, upstream: model.LeasedUpstream, *, now: float
    ) -> ids.HostId:
        relay = self._assigned.get(upstream.upstream)
        if relay is None:
            relay = assign(upstream, self._candidates)
            self._assigned[upstream.upstream] = relay
        if not self._unreached_until or relay == NO_RELAY:
            return relay
        key = (relay, upstream.upstream)
        until = self._unreached_until.get(key)
        if until is None:
            return relay
        if now < until:
            return NO_RELAY
        del self._unreached_until[key]
        return relay


def assign(
    upstream: model.LeasedUpstream, candidates: Sequence[Candidate]
) -> ids.HostId:
    """Returns the candidate that relays to an upstream; NO_RELAY if none.

    Rendezvous hashing weighted by rank: without one candidate only its own
    upstreams move.
    """
    near = [each for each in candidates if each.domain == upstream.domain]
    best = max(
        near or candidates,
        key=lambda each: (_score(each, upstream.upstream), each.host),
        default=None,
    )
    return NO_RELAY if best is None else best.host


def _score(candidate: Candidate, upstream: ids.UpstreamId) -> float:
    digest = hashlib.blake2b(
        f"{candidate.host} {upstream}".encode(), digest_size=_HASH_BYTES
    ).digest()
    share = (int.from_bytes(digest) + 1) / (256**_HASH_BYTES + 2)
    return max(candidate.rank, 1) / -math.log(share)


def _upstream_not_reached(result: order_results.OrderResult) -> bool:
    """Returns whether a relay had no response of the upstream."""
    match result:
        case order_results.OrderRejected(rejection=rejection):
            return rejection is model.OrderRejection.NOT_SENT
        case order_results.OrderUnanswered():
            return True
        case _:
            return False
