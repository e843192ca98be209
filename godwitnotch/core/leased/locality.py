"""Answers a load of jobs whose data is in one rack.

A task that names a rack takes longer on upstreams of other racks, by a factor
that the deployment sets.
"""

from dataclasses import dataclass

from godwitnotch.core.leased import model

DEFAULT_SLOWDOWN_FACTOR = 1.5  # The smallest of the known deployments.


@dataclass(frozen=True, slots=True)
class Racks:
    """How much longer tasks take away from the rack of their data.

    Attributes:
        slowdown_factor: Factor by which a task takes longer there; at least 1.
    """

    slowdown_factor: float = DEFAULT_SLOWDOWN_FACTOR

    def factor(
        self, request: model.JobRequest, upstream: model.LeasedUpstream
    ) -> float:
        """Returns the factor for a job's tasks on an upstream."""
        rack = request.tasks.preferred_rack
        if not rack or rack in upstream.labels:
            return 1.0
        return self.slowdown_factor


DEFAULT_RACKS = Racks()
