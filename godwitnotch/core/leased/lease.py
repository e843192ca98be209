"""The leader's lease on one upstream, and the runs under that lease.

One lease covers all runs at an upstream. A new leader therefore renews a lease
only after it knows every run at the upstream and has stopped the runs that no
owner claims.
"""

import enum
import math

import msgspec

from godwitnotch.core import charts
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import model

LEASE_DURATION_MS = 950  # Upstreams shorten longer leases to 1 s.
# The platform's bound: an upstream's clock is at most 2% slow.
MIN_CLOCK_RATE = 0.98
# All runs under a lease count as ended this long after it was last renewed. It
# exceeds LEASE_DURATION_MS on a clock of MIN_CLOCK_RATE, 0.970 s, by the time to
# end the runs.
MAX_LEASE_DURATION_S = 1.0
# An upstream responds to a request for its list of runs when a run ends, or
# after a wait in which the next run is expected to end. The maximum lets the
# leader notice a lost response soon, the minimum limits the rate of requests,
# and the margin lets the run end before the wait is over.
MAX_LIST_WAIT_MS = 300
MIN_LIST_WAIT_MS = 60
LIST_WAIT_MARGIN_MS = 40
BASE_LIST_RETRY_DELAY_S = 0.06
MAX_LIST_RETRY_DELAY_S = 1.0
# A single failed call may be a lost response; after two in a row the upstream
# gets no new runs.
SUSPENSION_FAILURE_COUNT = 2
# The entry of a new instance is expected within this time after its first response;
# until then the room that its former instance had counts as room to come.
MAX_ENTRY_WAIT_S = 1.0
# Resources reserved for a run that was found at an upstream, until its job is
# known.
UNKNOWN_NEEDS = model.Resources(0, 0, 0)


class LeaseState(enum.Enum):
    """States of charts/lease.toml; their values are written to the log."""

    UNHELD = "unheld"
    AWAITING_LIST = "looking"
    RECONCILING = "reconciling"
    HELD = "held"


class LeaseEvent(enum.Enum):
    """Events of charts/lease.toml."""

    LIST_REQUESTED = "look"
    RUNS_LISTED = "seen"
    RECONCILED = "reconciled"
    LOST = "lost"


CHART = charts.load("lease", LeaseState, LeaseEvent)


class RunState(enum.Enum):
    """State of a run as far as the leader knows."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class Run(msgspec.Struct):
    """A run that is active, or may be active, at an upstream.

    Attributes:
        key: The task and the number of the run.
        job: The job that the run belongs to; None if no owner claims it.
        needs: Resources that the run uses.
        state: State of the run as far as the leader knows.
        ordered_at: When the start was ordered; replaced by the time of the
            upstream's confirmation. For a run that was found at an upstream:
            when the list of runs arrived.
        expected_s: Expected run time in seconds; 0 for a run that was found at
            an upstream, until the lease is held.
        confirmed_at: When the upstream confirmed the last order about the run;
            None while that order is unanswered. If a list that was requested
            later lacks the run, the run has ended.
        start_expires_at: When an unanswered start order can no longer be
            executed.
        next_stop_at: When to repeat an unanswered stop order.
        alone: Whether no other run may share the upstream.
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
    alone: bool = False


class Renewal(msgspec.Struct, frozen=True, eq=False):
    """An order that may renew a lease.

    Attributes:
        former_expires_at: When the lease expires without it.
    """

    former_expires_at: float


class Lease(msgspec.Struct):
    """The leader's lease on one upstream, and the runs that it knows there.

    Attributes:
        upstream: The upstream's entry in the list of upstreams.
        state: State of the lease.
        listed: Whether the entry is still in the list.
        entry_current: Whether the entry describes the instance that responds.
            Another one may be of another kind, size, service or domain.
        entry_awaited_since: Since when it doesn't; None while it does.
        clock_ms: The upstream's clock in its last response.
        responded_at: When that response arrived.
        instance_started_ms: When the upstream's process started, by its own
            clock; 0 if not known. A restart is a new instance.
        instance_seen_at: When the last response that states this time arrived.
        instance_changed_at: When the first response of a new instance arrived.
        replaced: Whether another process responds at the address.
        refused: Whether the address has refused a connection since the last
            response.
        acknowledged_end: Serial number of the last end that was processed.
        expires_at: When all runs will have ended unless the lease is renewed.
        pending_calls: How many calls have no response yet.
        pending_list_requests: How many requests for the list of runs have no
            response yet.
        last_list_request_at: When the list of runs was last requested.
        next_list_request_at: Earliest time of the next request for the list of
            runs.
        last_renewal: The last order that may renew the lease; None if none.
        failures: Consecutive failed calls.
        runs: The runs at the upstream, by task.
        stopping: Tasks whose runs are being stopped.
        unknown_needs: Tasks whose runs use resources that are not known.
        free_resources: Resources that no run uses.
        reserved_for: The run that no other run may join; None if there is none.
    """

    upstream: model.LeasedUpstream
    state: LeaseState = LeaseState.UNHELD
    listed: bool = True
    entry_current: bool = True
    entry_awaited_since: float | None = None
    clock_ms: int = 0
    responded_at: float = 0.0
    instance_started_ms: int = 0
    instance_seen_at: float = 0.0
    instance_changed_at: float = float("-inf")
    replaced: bool = False
    refused: bool = False
    acknowledged_end: int = 0
    expires_at: float = 0.0
    last_renewal: Renewal | None = None
    pending_calls: int = 0
    pending_list_requests: int = 0
    last_list_request_at: float = float("-inf")
    next_list_request_at: float = 0.0
    failures: int = 0
    runs: dict[model.TaskKey, Run] = msgspec.field(default_factory=dict)
    stopping: set[model.TaskKey] = msgspec.field(default_factory=set)
    unknown_needs: set[model.TaskKey] = msgspec.field(default_factory=set)
    free_resources: model.Resources = UNKNOWN_NEEDS
    reserved_for: Run | None = None

    def __post_init__(self) -> None:
        """Sets all resources free."""
        self.free_resources = self.upstream.capacity

    def add_run(self, run: Run) -> None:
        """Adds a run and reserves its resources."""
        self.runs[run.key.task] = run
        if run.needs is UNKNOWN_NEEDS:
            self.unknown_needs.add(run.key.task)
        if run.alone:
            self.reserved_for = run
        self.free_resources = self.free_resources.minus(run.needs)

    def remove_run(self, run: Run) -> None:
        """Removes a run and frees its resources."""
        del self.runs[run.key.task]
        self.stopping.discard(run.key.task)
        self.unknown_needs.discard(run.key.task)
        if self.reserved_for is run:
            self.reserved_for = None
        self.free_resources = self.free_resources.plus(run.needs)

    def set_needs(self, run: Run, needs: model.Resources) -> None:
        """Sets the resources reserved for a run once its job is known."""
        self.free_resources = self.free_resources.plus(run.needs).minus(needs)
        run.needs = needs
        self.unknown_needs.discard(run.key.task)

    def update_entry(
        self, upstream: model.LeasedUpstream, *, now: float
    ) -> None:
        """Replaces the upstream's entry by a newer one."""
        taken = self.upstream.capacity.minus(self.free_resources)
        self.upstream = upstream
        self.free_resources = upstream.capacity.minus(taken)
        self.listed = True
        self._compare_instances(now=now)

    def _compare_instances(self, *, now: float) -> None:
        """Notes whether the entry describes the instance that responds."""
        described = self.upstream.instance_started_ms
        responding = self.instance_started_ms
        self.entry_current = (
            not described or not responding or described == responding
        )
        if self.entry_current:
            self.entry_awaited_since = None
        elif self.entry_awaited_since is None:
            self.entry_awaited_since = now

    def entry_expected(self, *, now: float) -> bool:
        """Returns whether the entry is current, or should be so soon."""
        return (
            self.entry_awaited_since is None
            or now - self.entry_awaited_since < MAX_ENTRY_WAIT_S
        )

    def counts_as_room(self, *, now: float) -> bool:
        """Returns whether the upstream runs tasks now or should do so soon."""
        return (
            bool(self.runs)
            or self.accepts_runs()
            or (
                not self.entry_current
                and self.entry_expected(now=now)
                and self.state is LeaseState.HELD
                and self.listed
            )
        )

    @property
    def instance(self) -> model.UpstreamInstance:
        """The instance that has responded last."""
        return model.UpstreamInstance(
            self.upstream.upstream, self.instance_started_ms
        )

    @property
    def unused(self) -> bool:
        """Whether the upstream isn't listed and nothing is awaited from it."""
        return not self.listed and not self.runs and not self.pending_calls

    def transition(self, event: LeaseEvent) -> None:
        """Applies an event to the state, as charts/lease.toml defines."""
        self.state = CHART.next(self.state, event)

    def deadline_ms(self, *, now: float) -> int:
        """Returns the end of a lease that begins now, by the upstream's clock.

        The upstream read its clock before its response arrived here, and that
        clock runs at MIN_CLOCK_RATE at least. The result is therefore never too
        late, however old the reading is, and even if this process was paused
        before it handled the response. On other clocks the lease is shorter the
        older the reading is.
        """
        min_elapsed_s = (now - self.responded_at) * MIN_CLOCK_RATE
        return (
            self.clock_ms
            + math.floor(min_elapsed_s * 1_000)
            + LEASE_DURATION_MS
        )

    def record_response(self, clock_ms: int, *, now: float) -> None:
        """Records a successful response and the upstream's clock in it."""
        self.clock_ms = clock_ms
        self.responded_at = now
        self.failures = 0
        self.replaced = False
        self.refused = False

    def call_failed(self, *, now: float, relayed: bool = False) -> None:
        """Counts a failed call and delays the next list request.

        A relay may be cut off from an upstream that this host reaches, so the
        failures of relayed calls count as one, and the list is requested at
        once.
        """
        if relayed:
            if not self.failures:
                self.failures = 1
                self.next_list_request_at = min(self.next_list_request_at, now)
            return
        self.failures += 1
        if self.state in (LeaseState.AWAITING_LIST, LeaseState.RECONCILING):
            self.lose(now=now)
            return
        delay_s = BASE_LIST_RETRY_DELAY_S * (self.failures - 1)
        self.next_list_request_at = now + min(MAX_LIST_RETRY_DELAY_S, delay_s)

    def lose(self, *, now: float) -> None:
        """Marks the lease as unheld, to be acquired again after a delay."""
        if self.state is not LeaseState.UNHELD:
            self.transition(LeaseEvent.LOST)
        delay_s = BASE_LIST_RETRY_DELAY_S * (1 << min(self.failures, 5))
        self.next_list_request_at = now + min(MAX_LIST_RETRY_DELAY_S, delay_s)

    def follow_instance(
        self, started_ms: int, *, sent_at: float, now: float
    ) -> bool:
        """Notes which instance of the upstream has responded to a call.

        The order of the start times proves nothing, as a clock may have been
        set back. An instance is newer if it has responded to a call that was
        sent after the last response of the known one. Runs of the known one end
        when they are missing in a list.

        A response without a start time may be from an earlier instance unless
        its call was sent after the first response of the newest one. Its clock
        reading would give deadlines by another clock.

        Args:
            started_ms: Start time in the response; 0 if it states none.
            sent_at: When the call was sent.
            now: The current time.

        Returns:
            Whether the response is from the newest instance that is known.
        """
        if not started_ms:
            return sent_at >= self.instance_changed_at
        if self.instance_started_ms not in (0, started_ms):
            if sent_at < self.instance_seen_at:
                return False
            self.acknowledged_end = 0
            self.instance_changed_at = now
        self.instance_started_ms = started_ms
        self.instance_seen_at = now
        self._compare_instances(now=now)
        return True

    def record_renewal(self, *, now: float) -> Renewal:
        """Extends expires_at, as an order that may renew the lease is sent."""
        self.last_renewal = Renewal(self.expires_at)
        self.expires_at = max(self.expires_at, now + MAX_LEASE_DURATION_S)
        return self.last_renewal

    def withdraw_renewal(self, renewal: Renewal) -> None:
        """Takes the last renewal back, as its order was not sent."""
        if self.last_renewal is renewal:
            self.expires_at = renewal.former_expires_at

    def expired(self, *, now: float) -> bool:
        """Returns whether runs should have ended, as nothing was renewed."""
        return bool(self.runs) and now >= self.expires_at

    def expiry_pairs(self, *, now: float) -> str:
        """Returns what preceded the expiry as key=value pairs for the log."""
        renewed_at = self.expires_at - MAX_LEASE_DURATION_S
        return (
            f"upstream={self.upstream.upstream} "
            f"runs={len(self.runs)} state={self.state.value} "
            f"response_ago_ms={_ago_ms(self.responded_at, now=now)} "
            f"renewal_ago_ms={_ago_ms(renewed_at, now=now)} "
            f"expired_ago_ms={_ago_ms(self.expires_at, now=now)}"
        )

    def asked_since_expiry(self) -> bool:
        """Returns whether a request sent after the expiry has no result yet."""
        return (
            self.pending_list_requests > 0
            and self.last_list_request_at >= self.expires_at
        )

    def list_wait_ms(self, *, now: float) -> int:
        """Returns how long the upstream may wait for a run to end, in ms."""
        if self.failures or not self.runs:
            return 0
        left_s = min(
            run.ordered_at + run.expected_s - now for run in self.runs.values()
        )
        wait_ms = round(left_s * 1_000) + LIST_WAIT_MARGIN_MS
        return max(MIN_LIST_WAIT_MS, min(MAX_LIST_WAIT_MS, wait_ms))

    def available_at(
        self, needs: model.Resources, *, now: float, places_taken: int = 0
    ) -> float:
        """Returns when runs are expected to have freed a task's resources.

        The result is infinite if the resources are never free.

        Args:
            needs: The resources of the task.
            now: The current time.
            places_taken: How many places of this size other tasks take first.
        """
        free = self.free_resources
        ends = sorted(
            (max(now, run.ordered_at + run.expected_s), key, run.needs)
            for key, run in self.runs.items()
        )
        for end, _, freed in ends:
            free = free.plus(freed)
            while needs.fits_in(free):
                if not places_taken:
                    return end
                places_taken -= 1
                free = free.minus(needs)
        return float("inf")

    def accepts_runs(self) -> bool:
        """Returns whether the leader may start new runs at the upstream."""
        return (
            self.state is LeaseState.HELD
            and self.listed
            and self.entry_current
            and not self.upstream.draining
            and self.failures < SUSPENSION_FAILURE_COUNT
            and self.reserved_for is None
            and not self.unknown_needs
            and len(self.runs) < self.upstream.slots
        )


def _ago_ms(at: float, *, now: float) -> str:
    """Returns how long ago a time was, in ms; `none` if the time isn't set."""
    return f"{(now - at) * 1_000:.0f}" if at else "none"
