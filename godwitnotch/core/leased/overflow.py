"""Moves jobs that would wait to another cell with free slots.

Answers a load that is uneven over the failure domains: callers that move from
one domain to another, a burst in one of them, or a domain that has lost many of
its upstreams. Leaders tell each other their load; a leader that expects a job
to end clearly sooner in another cell sends its owner there, at most once for
each job and before any of its tasks has started.
"""

from collections.abc import Mapping

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import cell_load
from godwitnotch.core.leased import jobs

SEND_INTERVAL_S = 0.08
# A load that was not renewed for this long is unknown.
MAX_LOAD_AGE_S = 0.4
# A job moves only if it is expected to end this much sooner elsewhere: moving
# takes two messages, and the load of the other cell may be SEND_INTERVAL_S old.
MIN_GAIN_S = 0.03


class Suitability(msgspec.Struct, frozen=True):
    """How long the tasks of a job take in each cell.

    Attributes:
        own: Factor by which they take longer in this cell; None if no upstream
            here can run them.
        others: The same for other cells, by their leaders; leaders whose
            upstreams can't run them are missing.
    """

    own: float | None
    others: Mapping[ids.HostId, float]


class Overflow:
    """Chooses the cell for a job among the cells whose load is known."""

    def __init__(self) -> None:
        self._loads: dict[ids.HostId, tuple[cell_load.CellLoad, float]] = {}

    @property
    def any_known(self) -> bool:
        """Whether another leader has told its load."""
        return bool(self._loads)

    def copy(self) -> "Overflow":
        """Returns the same loads, which then change independently."""
        twin = Overflow()
        twin._loads = dict(self._loads)
        return twin

    def load_received(
        self, host: ids.HostId, load: cell_load.CellLoad, *, now: float
    ) -> None:
        """Records the load that another leader has told."""
        self._loads[host] = (load, now + MAX_LOAD_AGE_S)

    def host_lost(self, host: ids.HostId) -> None:
        """Forgets the load of a host."""
        self._loads.pop(host, None)

    def clear(self) -> None:
        """Forgets all loads."""
        self._loads.clear()

    def choose(
        self,
        job: jobs.LeasedJob,
        own: cell_load.CellLoad,
        suitability: Suitability,
        *,
        now: float,
    ) -> ids.HostId | None:
        """Returns the leader to which a job should move; None to keep it.

        The load of the chosen cell counts the job from now on, so that a burst
        is spread before the next loads arrive.

        Args:
            job: The job.
            own: Load of this cell, with only the work ahead of the job.
            suitability: How long the tasks of the job take in each cell.
            now: The current time.
        """
        best: ids.HostId | None = None
        best_s = float("inf")
        if suitability.own is not None:
            best_s = _response_s(job, own, suitability.own) - MIN_GAIN_S
        for host, (load, expires_at) in sorted(self._loads.items()):
            factor = suitability.others.get(host)
            if factor is None or now >= expires_at:
                continue
            response_s = _response_s(job, load, factor)
            if response_s < best_s:
                best, best_s = host, response_s
        if best is not None:
            load, expires_at = self._loads[best]
            added = load.with_job(len(job.tasks), job.base_ms)
            self._loads[best] = (added, expires_at)
        return best


def _response_s(
    job: jobs.LeasedJob, load: cell_load.CellLoad, factor: float
) -> float:
    """Returns the expected time until a job ends in a cell."""
    return load.wait_s(len(job.tasks), job.base_ms) + (
        job.base_ms * factor / 1_000
    )
