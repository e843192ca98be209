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

LEASE_DURATION_MS = 950  # Upstreams shorten a longer one to 1 s.
# An upstream's clock may be 2% slow, and its answer is some ms old.
MAX_LEASE_DURATION_S = 1.0
# One answer may be lost on its way; after two the upstream is left alone.
SUSPENSION_FAILURE_COUNT = 2


class LeaseState(enum.Enum):
    """States of charts/lease.yaml."""

    UNHELD = "unheld"
    QUERYING = "looking"
    RECONCILING = "reconciling"
    HELD = "held"


class LeaseChange(enum.Enum):
    """Events of charts/lease.yaml."""

    QUERY = "look"
    RUNS_LISTED = "seen"
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
        confirmed_at: Since when a list without it shows that it is gone; None
            while an order about it has no answer.
        start_expires_at: When it has ended, if the lease isn't renewed.
        next_stop_at: When to repeat that order.
    """

    key: model.RunKey
    job: jobs.LeasedJob | None
    needs: model.Resources
    state: RunState
    ordered_at: float
    expected_s: float
    confirmed_at: float | None = None
    start_expires_at: float = 0.0
    next_stop_at: float = 0.0


@dataclass(slots=True)
class Lease:
    """What the leader knows of one upstream.

    Attributes:
        upstream: Its entry in the list.
        state: State of the lease.
        listed: Whether the entry is still in the list.
        clock_ms: The upstream's clock in its last answer.
        answered_at: When that answer came.
        instance_started_ms: When this life of the upstream began.
        acknowledged_end: Ends up to this number were taken over.
        expires_at: All runs there have ended by then unless it is renewed.
        pending_renewals: Renewals that have no answer yet.
        next_query_at: When to ask again after a failure.
        failures: Failed exchanges in a row.
        runs: The runs there.
        stopping: Those of them that are to end.
        free_resources: The resources that no run takes.
    """

    upstream: model.LeasedUpstream
    state: LeaseState = LeaseState.UNHELD
    listed: bool = True
    clock_ms: int = 0
    answered_at: float = 0.0
    instance_started_ms: int = 0
    acknowledged_end: int = 0
    expires_at: float = 0.0
    pending_renewals: int = 0
    next_query_at: float = 0.0
    failures: int = 0
    runs: dict[model.TaskKey, Run] = field(default_factory=dict)
    stopping: set[model.TaskKey] = field(default_factory=set)
    free_resources: model.Resources = field(init=False)

    def __post_init__(self) -> None:
        """Starts with all room free."""
        self.free_resources = self.upstream.capacity

    def add_run(self, run: Run) -> None:
        """Counts a run's resources as taken."""
        self.runs[run.key.task] = run
        self.free_resources = self.free_resources.minus(run.needs)

    def remove_run(self, run: Run) -> None:
        """Frees a run's resources."""
        del self.runs[run.key.task]
        self.stopping.discard(run.key.task)
        self.free_resources = self.free_resources.plus(run.needs)

    def set_needs(self, run: Run, needs: model.Resources) -> None:
        """Counts what a run takes, once that is known."""
        self.free_resources = self.free_resources.plus(run.needs).minus(needs)
        run.needs = needs

    def update_entry(self, upstream: model.LeasedUpstream) -> None:
        """Takes a newer entry of the list."""
        taken = self.upstream.capacity.minus(self.free_resources)
        self.upstream = upstream
        self.free_resources = upstream.capacity.minus(taken)
        self.listed = True

    def transition(self, change: LeaseChange) -> None:
        """Moves to the next state of the chart."""
        self.state = CHART.next(self.state, change)

    def deadline_ms(self, *, now: float) -> int:
        """Returns the end of a lease that begins now, by the clock there.

        The clock is known from an answer that has travelled, so the result is
        early rather than late, also after a pause of this process.
        """
        return (
            self.clock_ms
            + round((now - self.answered_at) * 1_000)
            + LEASE_DURATION_MS
        )

    def record_answer(self, clock_ms: int, *, now: float) -> None:
        """Takes the clock of an answer."""
        self.clock_ms = clock_ms
        self.answered_at = now
        self.failures = 0

    def record_renewal(self, *, now: float) -> None:
        """Notes that an order was sent that may have renewed the lease."""
        self.expires_at = max(self.expires_at, now + MAX_LEASE_DURATION_S)

    def available_at(self, needs: model.Resources, *, now: float) -> float:
        """Returns when there is room for a task, as far as is expected."""
        free = self.free_resources
        ends = sorted(
            (max(now, run.ordered_at + run.expected_s), key, run.needs)
            for key, run in self.runs.items()
        )
        for end, _, freed in ends:
            free = free.plus(freed)
            if needs.fits_in(free):
                return end
        return float("inf")

    def accepts_work(self) -> bool:
        """Returns whether a run may be ordered at all."""
        return (
            self.state is LeaseState.HELD
            and self.listed
            and not self.upstream.draining
            and self.failures < SUSPENSION_FAILURE_COUNT
            and len(self.runs) < self.upstream.slots
        )
