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

FIRST_ELECTION_DELAY_S = (
    1.2  # For links to open before a first leader is chosen.
)
# As long, once more than one other host is linked.
LINKED_FIRST_ELECTION_DELAY_S = 0.2
ELECTION_DELAY_S = 0.08  # For the others to notice a loss as well.
HIGHER_RANK_ELECTION_DELAY_S = (
    0.25  # Lower ranks leave higher ones so long to take over.
)
MIN_PROCESS_PAUSE_S = (
    0.35  # A gap between ticks that shows a pause of this process.
)
# A leader that others still hear is waited for before another is chosen.
LEADER_KNOWN_ELECTION_DELAY_S = 1.0
# A host alone can't tell a cut from the loss of all others.
ISOLATED_ELECTION_DELAY_S = 8.0
MAX_SUCCESSORS_PER_DOMAIN = 3
STEP_DOWN_ELECTION_DELAY_S = 1.5  # For the link to the leader that took over.
LOST_HOST_RETENTION_S = 15.0  # A host unheard for so long no longer counts.

# A term is a second of the day that it began, the rank and a part of the host's
# id, so that of two hosts that take one at once the better suited stays.
_TERMS_PER_SECOND = 1_000_000
_TERMS_PER_RANK = 1_000
_MAX_RANK = 999


class LeadershipChange(enum.Enum):
    """What came of an event."""

    NONE = "none"
    OTHER_LEADER = "leader"  # Another leader, or none.
    ELECTED = "elected"  # This host leads from now on.


class Scope(enum.Enum):
    """Which upstreams a leader may hold."""

    ALL = "all"
    DOMAIN = "domain"  # Those of its own failure domain.
    NOTHING = "nothing"


@dataclass(slots=True)
class _KnownHost:
    domain: ids.DomainId
    link_lost_at: float | None


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
        self._known: dict[ids.HostId, _KnownHost] = {}
        self._leaderless_since = now
        self._started_at = now
        self._earliest_election_at = now + FIRST_ELECTION_DELAY_S
        self._draining = False
        self._serving = False
        self._last_tick_at = now

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

    def peer_linked(
        self, host: ids.HostId, domain: ids.DomainId, *, now: float
    ) -> None:
        """Counts a linked host among those that may be heard."""
        self._known[host] = _KnownHost(domain, None)

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
            for _, host in sorted(ranked, reverse=True)[
                :MAX_SUCCESSORS_PER_DOMAIN
            ]
        ]

    def scope(self) -> Scope:
        """Returns which upstreams the hosts that hear each other may hold."""
        linked = sum(each.link_lost_at is None for each in self._known.values())
        if linked + 1 > len(self._known) - linked:
            return Scope.ALL
        own = [
            each for each in self._known.values() if each.domain == self._domain
        ]
        linked = sum(each.link_lost_at is None for each in own)
        if linked + 1 > len(own) - linked:
            return Scope.DOMAIN
        return Scope.NOTHING

    def peer_lost(self, host: ids.HostId, *, now: float) -> LeadershipChange:
        """Forgets a host that is no longer heard."""
        self._peers.pop(host, None)
        if host in self._known:
            self._known[host].link_lost_at = now
        if host != self._leader:
            return LeadershipChange.NONE
        return self._lose_leader(now=now)

    def standing_received(
        self, host: ids.HostId, standing: peer_messages.Standing, *, now: float
    ) -> LeadershipChange:
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
                return LeadershipChange.NONE
            return self._follow(host, standing.term)
        if host == self._leader and standing.leader != host:
            return self._lose_leader(now=now)
        return LeadershipChange.NONE

    def step_down(self, *, now: float) -> LeadershipChange:
        """Gives up the lead: upstreams have seen a higher term."""
        if not self.leads:
            return LeadershipChange.NONE
        self._earliest_election_at = now + STEP_DOWN_ELECTION_DELAY_S
        return self._lose_leader(now=now)

    def tick(self, *, now: float) -> LeadershipChange:
        """Looks whether a leader is to be chosen; to be called often."""
        paused = now - self._last_tick_at > MIN_PROCESS_PAUSE_S
        self._last_tick_at = now
        if paused:
            return self._process_resumed(now=now)
        self._forget_lost_hosts(now=now)
        if self._leader and not self._leader_is_draining():
            return LeadershipChange.NONE
        if not self._election_is_due(now=now):
            return LeadershipChange.NONE
        return self._start_term()

    def _first_election_at(self) -> float:
        """Returns when a leader may be chosen at the earliest."""
        first = (
            self._earliest_election_at
            == self._started_at + FIRST_ELECTION_DELAY_S
        )
        if first and len(self._peers) > 1:
            return self._started_at + LINKED_FIRST_ELECTION_DELAY_S
        return self._earliest_election_at

    def _process_resumed(self, *, now: float) -> LeadershipChange:
        """After a pause nothing that was believed before is taken as true."""
        self._earliest_election_at = max(
            self._earliest_election_at, now + HIGHER_RANK_ELECTION_DELAY_S
        )
        return (
            self._lose_leader(now=now)
            if self._leader
            else LeadershipChange.NONE
        )

    def _leader_is_draining(self) -> bool:
        peer = self._peers.get(self._leader)
        return peer is not None and peer.draining and not self._draining

    def _election_is_due(self, *, now: float) -> bool:
        if self._leader_is_draining():
            return self._count_better_peers(excluding=self._leader) == 0
        waited_s = now - max(self._leaderless_since, self._first_election_at())
        wait_s = (
            ELECTION_DELAY_S
            + self._count_better_peers() * HIGHER_RANK_ELECTION_DELAY_S
        )
        if any(
            self._reports_other_leader(peer) for peer in self._peers.values()
        ):
            wait_s += LEADER_KNOWN_ELECTION_DELAY_S
        if self.scope() is Scope.NOTHING:
            wait_s += ISOLATED_ELECTION_DELAY_S
        return waited_s >= wait_s

    def _reports_other_leader(self, peer: _Peer) -> bool:
        return bool(peer.leader) and peer.leader != self._host

    def _count_better_peers(
        self, *, excluding: ids.HostId | None = None
    ) -> int:
        mine = (not self._draining, self._rank, self._host)
        better = 0
        for host, peer in self._peers.items():
            if host != excluding:
                better += (not peer.draining, peer.rank, host) > mine
        return better

    def _forget_lost_hosts(self, *, now: float) -> None:
        for host, known in tuple(self._known.items()):
            since = known.link_lost_at
            if since is not None and now - since > LOST_HOST_RETENTION_S:
                del self._known[host]

    def _start_term(self) -> LeadershipChange:
        second = int(self._unix_time())
        second = max(second, self._term // _TERMS_PER_SECOND + 1)
        self._set_term(second)
        self._leader = self._host
        self._serving = False
        return LeadershipChange.ELECTED

    def raise_term(self, *, by_s: float) -> None:
        """Takes a later term, as upstreams have seen a higher one."""
        self._set_term(self._term // _TERMS_PER_SECOND + max(1, round(by_s)))

    def _set_term(self, second: int) -> None:
        own = zlib.crc32(self._host.encode()) % _TERMS_PER_RANK
        own += min(self._rank, _MAX_RANK) * _TERMS_PER_RANK
        self._term = model.Term(second * _TERMS_PER_SECOND + own)

    def _follow(self, host: ids.HostId, term: model.Term) -> LeadershipChange:
        changed = host != self._leader
        self._earliest_election_at = self._last_tick_at  # The start is over.
        self._term = term
        self._leader = host
        self._serving = False
        return (
            LeadershipChange.OTHER_LEADER if changed else LeadershipChange.NONE
        )

    def _lose_leader(self, *, now: float) -> LeadershipChange:
        self._leader = ids.HostId("")
        self._serving = False
        self._leaderless_since = now
        return self._follow_known_leader() or LeadershipChange.OTHER_LEADER

    def _follow_known_leader(self) -> LeadershipChange | None:
        leaders = list(self._peer_leaders())
        if not leaders:
            return None
        term, host = max(leaders)
        if term < self._term and not self._peers[host].serving:
            return None
        return self._follow(host, max(term, self._term))

    def _peer_leaders(self) -> Iterator[tuple[model.Term, ids.HostId]]:
        for host, peer in self._peers.items():
            if peer.leader == host and not peer.draining:
                yield peer.term, host
