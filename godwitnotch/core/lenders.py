"""Chooses the lender of each resource by rendezvous hashing."""

import hashlib
from collections.abc import Mapping

from godwitnotch.core import ids
from godwitnotch.core import ledger_messages


class Lenders:
    """Chooses lenders among this host and the hosts linked to it.

    A resource's lender is a host of the resource's failure domain, or any host
    if none of that domain is linked.

    Args:
        host: Id of this host.
        domain: Failure domain of this host.
    """

    def __init__(self, host: ids.HostId, domain: ids.DomainId) -> None:
        self._host = host
        self._domains: dict[ids.HostId, ids.DomainId] = {host: domain}
        self._candidates_by_domain: dict[
            ids.DomainId | None, list[ids.HostId]
        ] = {}
        self._scores: dict[str, dict[ids.HostId, int]] = {}

    def __contains__(self, host: ids.HostId) -> bool:
        """Returns whether a host is this host or linked to it."""
        return host in self._domains

    def __len__(self) -> int:
        """Returns the number of linked hosts plus this host."""
        return len(self._domains)

    def update_hosts(
        self, domains: Mapping[ids.HostId, ids.DomainId]
    ) -> set[ids.HostId]:
        """Sets the linked hosts and returns those no longer linked."""
        own = {self._host: self._domains[self._host]}
        unlinked = self._domains.keys() - domains.keys() - own.keys()
        self._domains = {**domains, **own}
        self._candidates_by_domain.clear()
        return unlinked

    def choose(self, resource: ledger_messages.Resource) -> ids.HostId:
        """Returns the lender of a resource."""
        return max(
            self._candidates(resource.domain),
            key=lambda host: self.score(resource.key, host),
        )

    def score(self, key: str, host: ids.HostId) -> int:
        """Returns the rendezvous hash of a resource and a host."""
        scores = self._scores.setdefault(key, {})
        score = scores.get(host)
        if score is None:
            score = scores[host] = _score(key, host)
        return score

    def forget(self, key: str) -> None:
        """Drops the cached scores of a resource."""
        self._scores.pop(key, None)

    def _candidates(self, domain: ids.DomainId | None) -> list[ids.HostId]:
        candidates = self._candidates_by_domain.get(domain)
        if candidates is None:
            candidates = [
                h for h, each in self._domains.items() if each == domain
            ]
            self._candidates_by_domain[domain] = candidates = (
                candidates or list(self._domains)
            )
        return candidates


def _score(key: str, host: ids.HostId) -> int:
    hasher = hashlib.blake2b(f"{key}/{host}".encode(), digest_size=8)
    return int.from_bytes(hasher.digest(), "big")
