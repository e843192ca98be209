"""The leader's lease on one upstream, and the runs under it.

A lease covers all that runs at an upstream, so a new leader renews none before
it knows what runs there and has stopped what no owner claims.
"""

import enum
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import charts
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import model

LEASE_MS = 950  # Upstreams shorten a longer one to 1 s.
# An upstream's clock may be 2% slow, and its answer is some ms old.
LEASE_BOUND_S = 1.0
# One answer may be lost on its way; after two the upstream is left alone.
FAILURES_TO_WAIT = 2


class LeaseState(enum.Enum):
    """States of charts/lease.yaml."""

    UNHELD = "unheld"
    LOOKING = "looking"
    RECONCILING = "reconciling"
    HELD = "held"


class LeaseChange(enum.Enum):
    """Events of charts/lease.yaml."""

    LOOK = "look"
    SEEN = "seen"
    RECONCILED = "reconciled"
    LOST = "lost"


CHART = charts.load("lease", LeaseState, LeaseChange)


class RunState(enum.Enum):
    """What the leader knows of a run."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """A run that goes on, or may.

    Attributes:
        key: Its name.
        job: The job that wants it; None once it is only to end.
        needs: Resources that it takes.
        state: What is known of it.
        ordered_at: When its start was ordered.
        expected_s: How long it was expected to run.
        settled_at: Since when a list without it shows that it is gone; None
            while an order about it has no answer.
        gone_by: When it has ended, if the lease isn't renewed.
        next_stop_at: When to repeat that order.
    """

    key: model.RunKey
    job: jobs.LeasedJob | None
    needs: model.Resources
    state: RunState
    ordered_at: float
    expected_s: float
    settled_at: float | None = None
    gone_by: float = 0.0
    next_stop_at: float = 0.0


@dataclass(slots=True)
class Lease:
    """What the leader knows of one upstream.

    Attributes:
        upstream: Its entry in the list.
        state: State of the lease.
        listed: Whether the entry is still in the list.
        clock_ms: The upstream's clock in its last answer.
        clock_at: When that answer came.
        born_ms: When this life of the upstream began.
        observed: Ends up to this number were taken over.
        lapses_at: All runs there have ended by then unless it is renewed.
        waits: Renewals under way that wait for an end.
        next_look_at: When to ask again after a failure.
        failures: Failed exchanges in a row.
        runs: The runs there.
        stopping: Those of them that are to end.
        room: The resources that no run takes.
    """

    upstream: model.LeasedUpstream
    state: LeaseState = LeaseState.UNHELD
    listed: bool = True
    clock_ms: int = 0
    clock_at: float = 0.0
    born_ms: int = 0
    observed: int = 0
    lapses_at: float = 0.0
    waits: int = 0
    next_look_at: float = 0.0
    failures: int = 0
    runs: dict[model.TaskKey, Run] = field(default_factory=dict)
    stopping: set[model.TaskKey] = field(default_factory=set)
    room: model.Resources = field(init=False)

    def __post_init__(self) -> None:
        """Starts with all room free."""
        self.room = self.upstream.capacity

    def add(self, run: Run) -> None:
        """Counts a run's resources as taken."""
        self.runs[run.key.task] = run
        self.room = self.room.minus(run.needs)

    def drop(self, run: Run) -> None:
        """Frees a run's resources."""
        del self.runs[run.key.task]
        self.stopping.discard(run.key.task)
        self.room = self.room.plus(run.needs)

    def take_needs(self, run: Run, needs: model.Resources) -> None:
        """Counts what a run takes, once that is known."""
        self.room = self.room.plus(run.needs).minus(needs)
        run.needs = needs

    def relist(self, upstream: model.LeasedUpstream) -> None:
        """Takes a newer entry of the list."""
        taken = self.upstream.capacity.minus(self.room)
        self.upstream = upstream
        self.room = upstream.capacity.minus(taken)
        self.listed = True

    def change(self, change: LeaseChange) -> None:
        """Moves to the next state of the chart."""
        self.state = CHART.next(self.state, change)

    def deadline_ms(self, *, now: float) -> int:
        """Returns the end of a lease that begins now, by the clock there.

        The clock is known from an answer that has travelled, so the result is
        early rather than late, also after a pause of this process.
        """
        return self.clock_ms + round((now - self.clock_at) * 1_000) + LEASE_MS

    def answered(self, clock_ms: int, *, now: float) -> None:
        """Takes the clock of an answer."""
        self.clock_ms = clock_ms
        self.clock_at = now
        self.failures = 0

    def renewed(self, *, now: float) -> None:
        """Notes that an order was sent that may have renewed the lease."""
        self.lapses_at = max(self.lapses_at, now + LEASE_BOUND_S)

    def free_at(self, needs: model.Resources, *, now: float) -> float:
        """Returns when there is room for a task, as far as is expected."""
        room = self.room
        ends = sorted(
            (max(now, run.ordered_at + run.expected_s), key, run.needs)
            for key, run in self.runs.items()
        )
        for end, _, freed in ends:
            room = room.plus(freed)
            if needs.fits(room):
                return end
        return float("inf")

    def takes_work(self) -> bool:
        """Returns whether a run may be ordered at all."""
        return (
            self.state is LeaseState.HELD
            and self.listed
            and not self.upstream.draining
            and self.failures < FAILURES_TO_WAIT
            and len(self.runs) < self.upstream.slots
        )
