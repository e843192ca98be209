"""Election of the leader, the host that holds all leases and orders all runs.

The hosts don't vote. Among hosts that are linked to each other, the host with
the highest rank starts a new term. When two leaders get linked, the leader with
the lower term steps down; until then upstreams reject its orders. A leader
whose linked hosts are no majority of all hosts holds leases only on upstreams
of its own failure domain. A host whose linked hosts aren't even a majority of
its own failure domain waits longer before it starts a term, as it may be cut
off. In a divided fleet the hosts of each failure domain elect a leader of their
own, and the leaders of the other domains don't matter here.
"""

import enum
import zlib
from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_relays
from godwitnotch.core.leased import peer_messages

# Lets links to other hosts open after the start of the process.
FIRST_ELECTION_DELAY_S = 1.2
# Replaces FIRST_ELECTION_DELAY_S when at least two linked hosts have sent a
# Standing message.
LINKED_FIRST_ELECTION_DELAY_S = 0.2
ELECTION_DELAY_S = 0.08  # Lets the other hosts notice the loss of the leader.
# Extra delay for each linked host that is better suited to lead, and the delay
# after a pause of this process.
HIGHER_RANK_ELECTION_DELAY_S = 0.25
# A longer gap between two ticks counts as a pause of this process.
MIN_PROCESS_PAUSE_S = 0.35
# Extra delay while a linked host still follows another leader, since the link
# to that leader may open again.
LEADER_KNOWN_ELECTION_DELAY_S = 1.0
# Extra delay of a host whose linked hosts are no majority, neither of all hosts
# nor of its own failure domain: the host can't tell a network partition from
# the loss of all other hosts.
ISOLATED_ELECTION_DELAY_S = 8.0
MAX_SUCCESSORS_PER_DOMAIN = 3
STEP_DOWN_ELECTION_DELAY_S = 1.5  # Lets the link to the new leader open.
LOST_HOST_RETENTION_S = 15.0  # Lost hosts still count in majorities.

# A term consists of the Unix time in seconds, the host's rank and a hash of the
# host's id. If two hosts start a term at once, the host of higher rank remains
# the leader.
_TERMS_PER_SECOND = 1_000_000
_TERMS_PER_RANK = 1_000
_MAX_RANK = 999


class LeadershipChange(enum.Enum):
    """How an event changed the leader that this host follows."""

    NONE = "none"
    LEADER_CHANGED = "leader"  # This host follows another host, or none.
    ELECTED = "elected"  # This host leads from now on.


class Scope(enum.Enum):
    """The hosts of which this host and its linked hosts are a majority."""

    ALL = "all"  # All known hosts.
    DOMAIN = "domain"  # Only the hosts in this host's failure domain.
    NONE = "nothing"  # Neither of these groups.


class _LinkRecord(msgspec.Struct):
    """A host that is linked, or was within LOST_HOST_RETENTION_S.

    Attributes:
        domain: Failure domain of the host.
        link_lost_at: When the link was lost; None while the host is linked.
    """

    domain: ids.DomainId
    link_lost_at: float | None


class _Peer(msgspec.Struct):
    """The last Standing message of a linked host."""

    term: model.Term
    leader: ids.HostId
    rank: int
    draining: bool
    serving: bool


class Leadership:
    """Decides which host this host follows as the leader.

    Args:
        host: This host.
        domain: Failure domain of this host.
        rank: How well this host is suited to lead; higher is better.
        unix_time: Returns the Unix time in seconds. Terms begin with the Unix
            time, so that a restarted process starts above the terms that
            upstreams have seen.
        now: The current time.
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
        self._known_hosts: dict[ids.HostId, _LinkRecord] = {}
        self._leaderless_since = now
        self._started_at = now
        self._election_wait_from = now + FIRST_ELECTION_DELAY_S
        self._draining = False
        self._serving = False
        self._divided = False
        self._last_tick_at = now

    @property
    def leader(self) -> ids.HostId:
        """The leader that this host follows, possibly itself; empty if none."""
        return self._leader

    @property
    def leads(self) -> bool:
        """Whether this host is the leader."""
        return self._leader == self._host

    @property
    def term(self) -> model.Term:
        """The highest term that this host knows."""
        return self._term

    @property
    def leader_serving(self) -> bool:
        """Whether the leader holds leases on upstreams."""
        if self.leads:
            return self._serving
        peer = self._peers.get(self._leader)
        return peer is not None and peer.serving

    def standing(self) -> peer_messages.Standing:
        """Returns the state of this host's leadership for the other hosts."""
        return peer_messages.Standing(
            self._term, self._leader, self._rank, self._draining, self._serving
        )

    def set_serving(self, serving: bool) -> bool:
        """Sets whether this host holds leases; returns whether that changed."""
        changed = serving != self._serving
        self._serving = serving
        return changed

    def standings(
        self,
    ) -> list[tuple[ids.HostId, peer_messages.Standing]]:
        """Returns the last Standing message of each linked host."""
        return [
            (
                host,
                peer_messages.Standing(
                    peer.term,
                    peer.leader,
                    peer.rank,
                    peer.draining,
                    peer.serving,
                ),
            )
            for host, peer in self._peers.items()
        ]

    def divide(self, *, now: float) -> LeadershipChange:
        """Elects a leader for this host's failure domain from now on."""
        self._divided = True
        if not self._leader or self._is_elector(self._leader):
            return LeadershipChange.NONE
        return self._lose_leader(now=now)

    def drain(self) -> None:
        """Marks this host as draining, so that another host starts to lead."""
        self._draining = True

    def peer_linked(
        self, host: ids.HostId, domain: ids.DomainId, *, now: float
    ) -> None:
        """Records the link to a host."""
        self._known_hosts[host] = _LinkRecord(domain, None)

    def successors(self) -> list[ids.HostId]:
        """Returns the electors of highest rank in each failure domain."""
        by_domain: dict[ids.DomainId, list[tuple[int, ids.HostId]]] = {}
        for host, peer in self._electors():
            if host in self._known_hosts:
                domain = self._known_hosts[host].domain
                by_domain.setdefault(domain, []).append((peer.rank, host))
        return [
            host
            for ranked in by_domain.values()
            for _, host in sorted(ranked, reverse=True)[
                :MAX_SUCCESSORS_PER_DOMAIN
            ]
        ]

    def relay_candidates(self) -> list[order_relays.Candidate]:
        """Returns the successors that don't drain."""
        return [
            order_relays.Candidate(
                host, self._known_hosts[host].domain, self._peers[host].rank
            )
            for host in self.successors()
            if not self._peers[host].draining
        ]

    def scope(self) -> Scope:
        """Returns the hosts of which the linked hosts are a majority.

        This host counts as linked. Unless the scope is ALL, a leader holds
        leases only on the upstreams of its own failure domain.
        """
        linked = sum(
            link.link_lost_at is None for link in self._known_hosts.values()
        )
        if linked + 1 > len(self._known_hosts) - linked:
            return Scope.ALL
        own = [
            link
            for link in self._known_hosts.values()
            if link.domain == self._domain
        ]
        linked = sum(link.link_lost_at is None for link in own)
        if linked + 1 > len(own) - linked:
            return Scope.DOMAIN
        return Scope.NONE

    def peer_lost(self, host: ids.HostId, *, now: float) -> LeadershipChange:
        """Handles the loss of the link to a host."""
        self._peers.pop(host, None)
        if host in self._known_hosts:
            self._known_hosts[host].link_lost_at = now
        if host != self._leader:
            return LeadershipChange.NONE
        return self._lose_leader(now=now)

    def standing_received(
        self, host: ids.HostId, standing: peer_messages.Standing, *, now: float
    ) -> LeadershipChange:
        """Handles the leadership state that a linked host has sent."""
        self._peers[host] = _Peer(
            standing.term,
            standing.leader,
            standing.rank,
            standing.draining,
            standing.serving,
        )
        if not self._is_elector(host):
            return LeadershipChange.NONE
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
        """Stops leading because upstreams have seen a higher term."""
        if not self.leads:
            return LeadershipChange.NONE
        self._election_wait_from = now + STEP_DOWN_ELECTION_DELAY_S
        return self._lose_leader(now=now)

    def notice_pause(self, *, now: float) -> LeadershipChange:
        """Stops following the leader if this process was paused.

        A gap of more than MIN_PROCESS_PAUSE_S since the last tick counts as a
        pause. Called before each event, since events that waited during a pause
        may be handled before the next tick.
        """
        if now - self._last_tick_at <= MIN_PROCESS_PAUSE_S:
            return LeadershipChange.NONE
        self._last_tick_at = now
        return self._process_resumed(now=now)

    def tick(self, *, now: float) -> LeadershipChange:
        """Starts a term if an election is due."""
        change = self.notice_pause(now=now)
        if change is not LeadershipChange.NONE:
            return change
        self._last_tick_at = now
        self._forget_lost_hosts(now=now)
        if self._leader and not self._leader_is_draining():
            return LeadershipChange.NONE
        if not self._election_is_due(now=now):
            return LeadershipChange.NONE
        return self._start_term()

    def _election_wait_start(self) -> float:
        """Returns the earliest start of the wait for an election."""
        # The time keeps its initial value until this host follows a leader,
        # steps down, or was paused.
        initial_delay = (
            self._election_wait_from
            == self._started_at + FIRST_ELECTION_DELAY_S
        )
        if initial_delay and len(self._peers) > 1:
            return self._started_at + LINKED_FIRST_ELECTION_DELAY_S
        return self._election_wait_from

    def _process_resumed(self, *, now: float) -> LeadershipChange:
        """Stops following a leader that may have changed during the pause."""
        self._election_wait_from = max(
            self._election_wait_from, now + HIGHER_RANK_ELECTION_DELAY_S
        )
        return (
            self._lose_leader(now=now)
            if self._leader
            else LeadershipChange.NONE
        )

    def _leader_is_draining(self) -> bool:
        """Returns whether the leader is draining and this host isn't."""
        peer = self._peers.get(self._leader)
        return peer is not None and peer.draining and not self._draining

    def _election_is_due(self, *, now: float) -> bool:
        """Returns whether this host should start a term now.

        The delay grows with the number of linked hosts that are better suited
        to lead. The best host starts a term first and the others follow it.
        """
        if self._leader_is_draining():
            return self._count_better_peers(excluding=self._leader) == 0
        waited_s = now - max(
            self._leaderless_since, self._election_wait_start()
        )
        wait_s = (
            ELECTION_DELAY_S
            + self._count_better_peers() * HIGHER_RANK_ELECTION_DELAY_S
        )
        if any(
            self._reports_other_leader(peer) for _, peer in self._electors()
        ):
            wait_s += LEADER_KNOWN_ELECTION_DELAY_S
        if self.scope() is Scope.NONE:
            wait_s += ISOLATED_ELECTION_DELAY_S
        return waited_s >= wait_s

    def _reports_other_leader(self, peer: _Peer) -> bool:
        return bool(peer.leader) and peer.leader != self._host

    def _count_better_peers(
        self, *, excluding: ids.HostId | None = None
    ) -> int:
        """Returns how many linked hosts are better suited to lead."""
        mine = (not self._draining, self._rank, self._host)
        better = 0
        for host, peer in self._electors():
            if host != excluding:
                better += (not peer.draining, peer.rank, host) > mine
        return better

    def _forget_lost_hosts(self, *, now: float) -> None:
        for host, link in tuple(self._known_hosts.items()):
            since = link.link_lost_at
            if since is not None and now - since > LOST_HOST_RETENTION_S:
                del self._known_hosts[host]

    def _start_term(self) -> LeadershipChange:
        """Makes this host the leader, with a term above all known terms."""
        known = max(self._term, self._term_of_lost_leader())
        unix_s = max(int(self._unix_time()), known // _TERMS_PER_SECOND + 1)
        self._set_term(unix_s)
        self._leader = self._host
        self._serving = False
        return LeadershipChange.ELECTED

    def _term_of_lost_leader(self) -> model.Term:
        """Returns the highest term of the linked hosts; 0 if one has a leader.

        This host may not know that term, as it has restarted, and its clock may
        be behind. The term of a leader that is only cut off from this host isn't
        exceeded, so that its hosts go on following it.
        """
        peers = [peer for _, peer in self._electors()]
        if any(map(self._reports_other_leader, peers)):
            return model.Term(0)
        return max((peer.term for peer in peers), default=model.Term(0))

    def raise_term(self, *, by_s: float) -> None:
        """Raises this leader's term, as upstreams have seen a higher term.

        Args:
            by_s: How far to raise the term, in seconds of its Unix time.
        """
        self._set_term(self._term // _TERMS_PER_SECOND + max(1, round(by_s)))

    def _set_term(self, unix_s: int) -> None:
        """Sets the term, given its Unix time, with this host's rank and id."""
        own = zlib.crc32(self._host.encode()) % _TERMS_PER_RANK
        own += min(self._rank, _MAX_RANK) * _TERMS_PER_RANK
        self._term = model.Term(unix_s * _TERMS_PER_SECOND + own)

    def _follow(self, host: ids.HostId, term: model.Term) -> LeadershipChange:
        changed = host != self._leader
        # The delay after the start of the process no longer applies.
        self._election_wait_from = self._last_tick_at
        self._term = term
        self._leader = host
        self._serving = False
        return (
            LeadershipChange.LEADER_CHANGED
            if changed
            else LeadershipChange.NONE
        )

    def _lose_leader(self, *, now: float) -> LeadershipChange:
        """Stops following the leader; follows another linked leader, if any."""
        self._leader = ids.HostId("")
        self._serving = False
        self._leaderless_since = now
        return self._follow_known_leader() or LeadershipChange.LEADER_CHANGED

    def _follow_known_leader(self) -> LeadershipChange | None:
        """Follows the linked leader of the highest term, if there is one.

        A leader whose term is lower than the highest known one is followed only
        if it holds leases.
        """
        leaders = list(self._peer_leaders())
        if not leaders:
            return None
        term, host = max(leaders)
        if term < self._term and not self._peers[host].serving:
            return None
        return self._follow(host, max(term, self._term))

    def _is_elector(self, host: ids.HostId) -> bool:
        """Returns whether a host takes part in the elections of this host."""
        if not self._divided or host == self._host:
            return True
        known = self._known_hosts.get(host)
        return known is not None and known.domain == self._domain

    def _electors(self) -> Iterator[tuple[ids.HostId, _Peer]]:
        """Yields the linked hosts that take part in the elections."""
        for host, peer in self._peers.items():
            if self._is_elector(host):
                yield host, peer

    def _peer_leaders(self) -> Iterator[tuple[model.Term, ids.HostId]]:
        for host, peer in self._electors():
            if peer.leader == host and not peer.draining:
                yield peer.term, host
