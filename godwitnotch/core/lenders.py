"""Which host holds a resource: rendezvous hashing over the linked hosts."""

import hashlib
from collections.abc import Mapping

from godwitnotch.core import ids
from godwitnotch.core import ledger_messages


class Lenders:
    """Chooses holders among the hosts of a resource's failure domain.

    Args:
        host: This host.
        domain: Its failure domain.
    """

    def __init__(self, host: ids.HostId, domain: ids.DomainId) -> None:
        self._host = host
        self._domains: dict[ids.HostId, ids.DomainId] = {host: domain}
        self._candidates_by_domain: dict[
            ids.DomainId | None, list[ids.HostId]
        ] = {}
        self._scores: dict[str, dict[ids.HostId, int]] = {}

    def __contains__(self, host: ids.HostId) -> bool:
        """Returns whether a host is linked, or this one."""
        return host in self._domains

    def __len__(self) -> int:
        """Returns how many hosts there are, with this one."""
        return len(self._domains)

    def update_hosts(
        self, domains: Mapping[ids.HostId, ids.DomainId]
    ) -> set[ids.HostId]:
        """Takes the linked hosts; returns those that are gone."""
        own = {self._host: self._domains[self._host]}
        unlinked = self._domains.keys() - domains.keys() - own.keys()
        self._domains = {**domains, **own}
        self._candidates_by_domain.clear()
        return unlinked

    def choose(self, resource: ledger_messages.Resource) -> ids.HostId:
        """Returns the holder of a resource."""
        return max(
            self._candidates(resource.domain),
            key=lambda host: self.score(resource.key, host),
        )

    def score(self, key: str, host: ids.HostId) -> int:
        """Returns a number by which hosts are ordered for one resource."""
        scores = self._scores.setdefault(key, {})
        score = scores.get(host)
        if score is None:
            score = scores[host] = _score(key, host)
        return score

    def forget(self, key: str) -> None:
        """Forgets a resource."""
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
    digest = hashlib.blake2b(f"{key}/{host}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
