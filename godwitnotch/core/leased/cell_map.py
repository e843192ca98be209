"""Which failure domain has which upstreams, racks and services."""

from collections import defaultdict
from collections.abc import Iterable

from godwitnotch.core import ids
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model


class CellMap:
    """Tells how well the upstreams of a failure domain suit a job.

    Args:
        racks: How much longer tasks take away from the rack of their data.
    """

    def __init__(self, racks: locality.Racks) -> None:
        self._racks = racks
        self._labels: dict[ids.DomainId, set[str]] = {}
        self._services: dict[ids.DomainId, set[model.ServiceName]] = {}

    @property
    def domains(self) -> frozenset[ids.DomainId]:
        """The failure domains that have upstreams."""
        return frozenset(self._services)

    def update(self, upstreams: Iterable[model.LeasedUpstream]) -> None:
        """Replaces the list of upstreams."""
        labels: dict[ids.DomainId, set[str]] = defaultdict(set)
        services: dict[ids.DomainId, set[model.ServiceName]] = defaultdict(set)
        for upstream in upstreams:
            labels[upstream.domain].update(upstream.labels)
            services[upstream.domain].add(upstream.service)
        self._labels = labels
        self._services = services

    def run_factor(
        self, request: model.JobRequest, domains: Iterable[ids.DomainId]
    ) -> float | None:
        """Returns the factor by which a job's tasks take longer in domains.

        Returns:
            1 if the domains have the rack that the job prefers, or if it
            prefers none; None if no upstream there can run the job.
        """
        tasks = request.tasks
        suited = [
            domain
            for domain in domains
            if request.settings.service in self._services.get(domain, ())
            and (
                not tasks.required_label
                or tasks.required_label in self._labels[domain]
            )
        ]
        if not suited:
            return None
        rack = tasks.preferred_rack
        if not rack or any(rack in self._labels[domain] for domain in suited):
            return 1.0
        return self._racks.slowdown_factor
