"""Keeps tasks off the failure domains that the operators evacuate.

Answers the evacuation of a failure domain, also while the leader changes or the
store is out. Every host keeps the set of evacuated domains with the version of
the store at which it was read; the newest set wins, from whomever it comes.
"""

import enum
from collections.abc import Iterable

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased.lease import LeaseState

# A process that was paused for longer may have missed an evacuation for most of
# the 5 s that the operators grant. Its links have closed meanwhile, so that the
# first one to open tells it the set.
MAX_UNNOTICED_PAUSE_S = 2.0
# How long a process starts nothing after such a pause, unless it hears a set:
# a failed call of the store and its repetition, with the retry delay between.
RESUME_WAIT_S = 1.0

_NO_DOMAINS: frozenset[ids.DomainId] = frozenset()


class Learnt(enum.Enum):
    """What a set that was read or told has changed."""

    NOTHING = "nothing"  # It isn't newer than the known one.
    VERSION = "version"  # The domains are the same at a higher version.
    DOMAINS = "domains"  # The domains are others, or none were known before.


class Evacuations:
    """The newest set of evacuated domains that this host knows.

    While no set is known, no domain is permitted.
    """

    def __init__(self) -> None:
        self._newest: peer_messages.DomainsEvacuated | None = None
        self._unconfirmed_until = float("-inf")

    @property
    def newest(self) -> peer_messages.DomainsEvacuated | None:
        """The newest set that was read or told; None before the first."""
        return self._newest

    @property
    def domains(self) -> frozenset[ids.DomainId]:
        """The domains that are known to be evacuated."""
        return _NO_DOMAINS if self._newest is None else self._newest.domains

    def learn(self, told: peer_messages.DomainsEvacuated) -> Learnt:
        """Applies a set that was read or told, unless a newer one is known."""
        known = self._newest
        if known is not None and told.version < known.version:
            return Learnt.NOTHING
        self._unconfirmed_until = float("-inf")
        if known is not None and told.version == known.version:
            return Learnt.NOTHING
        self._newest = told
        if known is not None and told.domains == known.domains:
            return Learnt.VERSION
        return Learnt.DOMAINS

    def time_passed(self, passed_s: float, *, now: float) -> None:
        """Notices a long pause of this process.

        Args:
            passed_s: Time since the last event that this process has handled.
            now: The current time.
        """
        if passed_s > MAX_UNNOTICED_PAUSE_S:
            self._unconfirmed_until = now + RESUME_WAIT_S

    def permits(self, domain: ids.DomainId, *, now: float) -> bool:
        """Returns whether tasks may start in a domain."""
        return self._confirmed(now=now) and domain not in self.domains

    def open_leases(
        self, leases: Iterable[lease_module.Lease], *, now: float
    ) -> list[lease_module.Lease]:
        """Returns the leases on upstreams at which tasks may start."""
        if not self._confirmed(now=now):
            return []
        if not self.domains:
            return list(leases)
        return [
            lease
            for lease in leases
            if lease.upstream.domain not in self.domains
        ]

    def any_open(
        self, leases: Iterable[lease_module.Lease], *, now: float
    ) -> bool:
        """Returns whether a held lease is on an upstream that is permitted."""
        return any(
            lease.state is LeaseState.HELD
            and lease.entry_expected(now=now)
            and self.permits(lease.upstream.domain, now=now)
            for lease in leases
        )

    def _confirmed(self, *, now: float) -> bool:
        return self._newest is not None and now >= self._unconfirmed_until


class EvacuationSharing:
    """Learns sets for one host, logs what has changed and tells other hosts.

    Args:
        out: Collects the log events and the messages to send.
        evacuations: The newest set.
    """

    def __init__(
        self, out: outbox_module.Outbox, evacuations: Evacuations
    ) -> None:
        self._out = out
        self._evacuations = evacuations
        self._reported_unknown = _NO_DOMAINS

    def learn(
        self,
        told: peer_messages.DomainsEvacuated,
        *,
        source: ids.HostId | None,
        linked: Iterable[ids.HostId],
    ) -> bool:
        """Applies a set and tells it to the linked hosts if it is another one.

        Args:
            told: The set.
            source: The host that has told it; None if it was read.
            linked: The linked hosts.

        Returns:
            Whether the evacuated domains have changed.
        """
        former = self._evacuations.domains
        if self._evacuations.learn(told) is not Learnt.DOMAINS:
            return False
        if told.domains != former:
            self._out.add_decision(
                "evacuations_changed",
                detail=f"version={told.version} "
                f"domains={_names(told.domains)} "
                f"ended={_names(former - told.domains)} "
                f"source={source or 'store'}",
            )
        for host in linked:
            if host != source:
                self._out.add(actions.TellPeer(host, told))
        return True

    def tell(self, host: ids.HostId) -> None:
        """Tells the set to a host whose link has opened."""
        if self._evacuations.newest is not None:
            self._out.add(actions.TellPeer(host, self._evacuations.newest))

    def report_unknown(self, known: frozenset[ids.DomainId]) -> None:
        """Logs evacuated domains that neither upstreams nor hosts have, once.

        Args:
            known: The failure domains of all known upstreams and hosts.
        """
        unknown = self._evacuations.domains - known
        for domain in sorted(unknown - self._reported_unknown):
            self._out.add_decision(
                "evacuated_domain_unknown",
                detail=f"domain={domain} known={_names(known)} "
                'remedy="correct the key of the row"',
            )
        self._reported_unknown = unknown


def _names(domains: Iterable[ids.DomainId]) -> str:
    return ",".join(sorted(domains))
