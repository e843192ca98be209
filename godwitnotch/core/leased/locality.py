"""Answers a load of jobs whose data is in one rack.

A task that names a rack takes longer on upstreams of other racks, by a factor
that the deployment sets. It waits for a place in its rack if it is expected to
end sooner there than at the best place that is free now. Places that tasks wait
for are taken for others, so that a hot rack gets no more waiting tasks than it
frees places in time. docs/design/locality.md has the reasons and the figures.
"""

import enum
from collections.abc import Iterable

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module

# How often the waits of tasks that never started are forgotten, and how long
# they are kept: a task that finds no place at the end of its wait starts later.
CLEANUP_INTERVAL_S = 5.0
DEFAULT_SLOWDOWN_FACTOR = 1.5  # The smallest of the known deployments.


class Racks(msgspec.Struct, frozen=True):
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


class Place(msgspec.Struct, frozen=True):
    """A place at an upstream that a run is expected to free.

    Attributes:
        upstream: The upstream.
        free_at: When the place is expected to be free.
        expected_s: Expected run time of the task there, in seconds.
    """

    upstream: ids.UpstreamId
    free_at: float
    expected_s: float

    @property
    def end_at(self) -> float:
        """When the task is expected to end there."""
        return self.free_at + self.expected_s


class RackWait(msgspec.Struct, frozen=True):
    """The wait of a task for its rack.

    Attributes:
        upstream: The upstream whose place it waits for.
        since: When the first wait of its job began.
        until: When the wait ends without a place: a later start would end no
            sooner than a start away from the rack at `since`.
        away_end_at: When the task was expected to end after that start.
    """

    upstream: ids.UpstreamId
    since: float
    until: float
    away_end_at: float


class WaitEnd(enum.Enum):
    """How a wait has ended; the values are written to the log."""

    GAINED = "gained"  # The task is expected to end sooner than without it.
    LOST = "lost"


def decide(
    places: Iterable[Place],
    former: RackWait | None,
    *,
    away_s: float,
    since: float,
) -> RackWait | None:
    """Returns the wait of a task for its rack; None if waiting doesn't pay.

    All waits of a job together are bounded: tasks of a wide job that waited one
    after the other would otherwise queue at a hot rack.

    Args:
        places: The places of the rack that are expected to be free.
        former: The wait that the task is in, if its upstream can't be used any
            more. The new wait ends no later.
        away_s: Expected run time at the best free place, in seconds.
        since: When the job first waited for its rack; now if it didn't.
    """
    best = min(places, key=lambda place: place.end_at, default=None)
    if best is None:
        return None
    away_end_at = since + away_s
    until = away_end_at - best.expected_s
    if former is not None:
        until = min(until, former.until)
    if best.free_at >= until:
        return None
    return RackWait(best.upstream, since, until, away_end_at)


class RackWaits:
    """The waits of all tasks, by the upstream whose place they wait for.

    Args:
        out: Collects the decisions for the log.
    """

    def __init__(self, out: outbox_module.Outbox) -> None:
        self._out = out
        self._waits: dict[ids.UpstreamId, dict[model.TaskKey, RackWait]] = {}
        self._next_cleanup_at = float("-inf")

    def count(self, upstream: ids.UpstreamId, *, now: float) -> int:
        """Returns how many tasks wait for a place at an upstream."""
        waits = self._waits.get(upstream)
        if not waits:
            return 0
        return sum(wait.until > now for wait in waits.values())

    def begin(self, task: model.TaskKey, wait: RackWait, *, now: float) -> None:
        """Records the wait of a task."""
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + CLEANUP_INTERVAL_S
            self._forget_expired(now=now)
        self._waits.setdefault(wait.upstream, {})[task] = wait

    def end(
        self,
        task: model.TaskKey,
        wait: RackWait,
        end_at: float,
        *,
        now: float,
    ) -> None:
        """Forgets the wait of a task that starts, and logs its effect.

        Args:
            task: The task.
            wait: Its wait.
            end_at: When the task is expected to end.
            now: The current time.
        """
        waits = self._waits.get(wait.upstream, {})
        if waits.pop(task, None) is None:
            return
        gain_s = wait.away_end_at - end_at
        self._out.add_decision(
            "rack_wait_ended",
            job=task.job,
            reason=(WaitEnd.GAINED if gain_s > 0 else WaitEnd.LOST).value,
            detail=f"task={task.index} waited_ms="
            f"{(now - wait.since) * 1_000:.0f} gain_ms={gain_s * 1_000:.0f}",
        )

    def _forget_expired(self, *, now: float) -> None:
        """Forgets waits that are over, as those of jobs that were dropped."""
        self._waits = {
            upstream: kept
            for upstream, waits in self._waits.items()
            if (
                kept := {
                    task: wait
                    for task, wait in waits.items()
                    if now < wait.until + CLEANUP_INTERVAL_S
                }
            )
        }
