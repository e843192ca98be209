"""Which host leads: it holds the upstreams' leases and orders all runs.

There is no vote. The host of the highest rank among those that hear each
other takes a new term, and of two leaders the one with the higher term stays.
Two may lead for a while: upstreams reject orders of the lower term. Hosts that
hear the smaller part of all hosts lead their own failure domain only, and a
host cut off from its own domain leads nothing.
"""

import enum
import zlib
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages

START_WAIT_S = 1.2  # For links to open before a first leader is chosen.
# As long, once more than one other host is linked.
LINKED_START_WAIT_S = 0.2
SETTLE_S = 0.08  # For the others to notice a loss as well.
STEP_S = 0.25  # Lower ranks leave higher ones so long to take over.
PAUSE_S = 0.35  # A gap between ticks that shows a pause of this process.
# A leader that others still hear is waited for before another is chosen.
HEARD_BY_OTHERS_S = 1.0
# A host alone can't tell a cut from the loss of all others.
ALONE_S = 8.0
SUCCESSORS_A_DOMAIN = 3
DEPOSED_WAIT_S = 1.5  # For the link to the leader that took over.
FORGET_S = 15.0  # A host unheard for so long no longer counts.

# A term is a second of the day that it began, the rank and a part of the host's
# id, so that of two hosts that take one at once the better suited stays.
_TERM_STEP = 1_000_000
_RANK_STEP = 1_000
_MAX_RANK = 999


class Change(enum.Enum):
    """What came of an event."""

    NONE = "none"
    LEADER = "leader"  # Another leader, or none.
    ELECTED = "elected"  # This host leads from now on.


class Scope(enum.Enum):
    """Which upstreams a leader may hold."""

    ALL = "all"
    DOMAIN = "domain"  # Those of its own failure domain.
    NOTHING = "nothing"


@dataclass(slots=True)
class _Known:
    domain: ids.DomainId
    unheard_since: float | None


@dataclass(slots=True)
class _Peer:
    term: model.Term
    leader: ids.HostId
    rank: int
    draining: bool
    serving: bool


class Leadership:
    """Decides whom this host takes for the leader.

    Args:
        host: This host.
        domain: Its failure domain.
        rank: How well it is suited to lead.
        unix_time: Time of day in seconds; starts the terms of a new process
            above those that upstreams have seen.
        now: The present time.
    """

    def __init__(
        self,
        *,
        host: ids.HostId,
        domain: ids.DomainId,
        rank: int,
        unix_time: Callable[[], float],
        now: float,
    ) -> None:
        self._host = host
        self._domain = domain
        self._rank = rank
        self._unix_time = unix_time
        self._term = model.Term(0)
        self._leader = ids.HostId("")
        self._peers: dict[ids.HostId, _Peer] = {}
        self._known: dict[ids.HostId, _Known] = {}
        self._leaderless_since = now
        self._begun_at = now
        self._first_choice_at = now + START_WAIT_S
        self._draining = False
        self._serving = False
        self._ticked_at = now

    @property
    def leader(self) -> ids.HostId:
        """The leader that this host follows, itself, or empty."""
        return self._leader

    @property
    def leads(self) -> bool:
        """Whether this host is the leader."""
        return self._leader == self._host

    @property
    def term(self) -> model.Term:
        """The highest term known."""
        return self._term

    @property
    def leader_serving(self) -> bool:
        """Whether the leader holds upstreams."""
        if self.leads:
            return self._serving
        peer = self._peers.get(self._leader)
        return peer is not None and peer.serving

    def standing(self) -> peer_messages.Standing:
        """Returns what the other hosts are to know."""
        return peer_messages.Standing(
            self._term, self._leader, self._rank, self._draining, self._serving
        )

    def set_serving(self, serving: bool) -> bool:
        """Notes whether upstreams are held; returns whether that is new."""
        changed = serving != self._serving
        self._serving = serving
        return changed

    def drain(self) -> None:
        """Leaves the lead to another host once one takes it."""
        self._draining = True

    def peer_up(
        self, host: ids.HostId, domain: ids.DomainId, *, now: float
    ) -> None:
        """Counts a linked host among those that may be heard."""
        self._known[host] = _Known(domain, None)

    def successors(self) -> list[ids.HostId]:
        """Returns the linked hosts that are next to lead, some a domain."""
        by_domain: dict[ids.DomainId, list[tuple[int, ids.HostId]]] = {}
        for host, peer in self._peers.items():
            if host in self._known:
                domain = self._known[host].domain
                by_domain.setdefault(domain, []).append((peer.rank, host))
        return [
            host
            for ranked in by_domain.values()
            for _, host in sorted(ranked, reverse=True)[:SUCCESSORS_A_DOMAIN]
        ]

    def scope(self) -> Scope:
        """Returns which upstreams the hosts that hear each other may hold."""
        heard = sum(each.unheard_since is None for each in self._known.values())
        if heard + 1 > len(self._known) - heard:
            return Scope.ALL
        own = [
            each for each in self._known.values() if each.domain == self._domain
        ]
        heard = sum(each.unheard_since is None for each in own)
        if heard + 1 > len(own) - heard:
            return Scope.DOMAIN
        return Scope.NOTHING

    def peer_down(self, host: ids.HostId, *, now: float) -> Change:
        """Forgets a host that is no longer heard."""
        self._peers.pop(host, None)
        if host in self._known:
            self._known[host].unheard_since = now
        if host != self._leader:
            return Change.NONE
        return self._lose(now=now)

    def heard(
        self, host: ids.HostId, standing: peer_messages.Standing, *, now: float
    ) -> Change:
        """Takes what a linked host says of itself."""
        self._peers[host] = _Peer(
            standing.term,
            standing.leader,
            standing.rank,
            standing.draining,
            standing.serving,
        )
        if standing.leader == host and standing.term > self._term:
            return self._follow(host, standing.term)
        if standing.leader == host and standing.term == self._term:
            if self.leads and host < self._host:
                return Change.NONE
            return self._follow(host, standing.term)
        if host == self._leader and standing.leader != host:
            return self._lose(now=now)
        return Change.NONE

    def deposed(self, *, now: float) -> Change:
        """Gives up the lead: upstreams have seen a higher term."""
        if not self.leads:
            return Change.NONE
        self._first_choice_at = now + DEPOSED_WAIT_S
        return self._lose(now=now)

    def tick(self, *, now: float) -> Change:
        """Looks whether a leader is to be chosen; to be called often."""
        paused = now - self._ticked_at > PAUSE_S
        self._ticked_at = now
        if paused:
            return self._resumed(now=now)
        self._forget(now=now)
        if self._leader and not self._leader_leaves():
            return Change.NONE
        if not self._is_due(now=now):
            return Change.NONE
        return self._elect()

    def _choice_at(self) -> float:
        """Returns when a leader may be chosen at the earliest."""
        first = self._first_choice_at == self._begun_at + START_WAIT_S
        if first and len(self._peers) > 1:
            return self._begun_at + LINKED_START_WAIT_S
        return self._first_choice_at

    def _resumed(self, *, now: float) -> Change:
        """After a pause nothing that was believed before is taken as true."""
        self._first_choice_at = max(self._first_choice_at, now + STEP_S)
        return self._lose(now=now) if self._leader else Change.NONE

    def _leader_leaves(self) -> bool:
        peer = self._peers.get(self._leader)
        return peer is not None and peer.draining and not self._draining

    def _is_due(self, *, now: float) -> bool:
        if self._leader_leaves():
            return self._better_peers(leaving=self._leader) == 0
        waited_s = now - max(self._leaderless_since, self._choice_at())
        wait_s = SETTLE_S + self._better_peers() * STEP_S
        if any(self._hears_leader(peer) for peer in self._peers.values()):
            wait_s += HEARD_BY_OTHERS_S
        if self.scope() is Scope.NOTHING:
            wait_s += ALONE_S
        return waited_s >= wait_s

    def _hears_leader(self, peer: _Peer) -> bool:
        return bool(peer.leader) and peer.leader != self._host

    def _better_peers(self, *, leaving: ids.HostId | None = None) -> int:
        mine = (not self._draining, self._rank, self._host)
        better = 0
        for host, peer in self._peers.items():
            if host != leaving:
                better += (not peer.draining, peer.rank, host) > mine
        return better

    def _forget(self, *, now: float) -> None:
        for host, known in tuple(self._known.items()):
            since = known.unheard_since
            if since is not None and now - since > FORGET_S:
                del self._known[host]

    def _elect(self) -> Change:
        step = int(self._unix_time())
        step = max(step, self._term // _TERM_STEP + 1)
        self._raise_term(step)
        self._leader = self._host
        self._serving = False
        return Change.ELECTED

    def raise_term(self, *, by_s: float) -> None:
        """Takes a later term, as upstreams have seen a higher one."""
        self._raise_term(self._term // _TERM_STEP + max(1, round(by_s)))

    def _raise_term(self, step: int) -> None:
        own = zlib.crc32(self._host.encode()) % _RANK_STEP
        own += min(self._rank, _MAX_RANK) * _RANK_STEP
        self._term = model.Term(step * _TERM_STEP + own)

    def _follow(self, host: ids.HostId, term: model.Term) -> Change:
        changed = host != self._leader
        self._first_choice_at = self._ticked_at  # The start is over.
        self._term = term
        self._leader = host
        self._serving = False
        return Change.LEADER if changed else Change.NONE

    def _lose(self, *, now: float) -> Change:
        self._leader = ids.HostId("")
        self._serving = False
        self._leaderless_since = now
        return self._best_known_leader() or Change.LEADER

    def _best_known_leader(self) -> Change | None:
        leaders = list(self._leaders())
        if not leaders:
            return None
        term, host = max(leaders)
        if term < self._term and not self._peers[host].serving:
            return None
        return self._follow(host, max(term, self._term))

    def _leaders(self) -> Iterator[tuple[model.Term, ids.HostId]]:
        for host, peer in self._peers.items():
            if peer.leader == host and not peer.draining:
                yield peer.term, host
