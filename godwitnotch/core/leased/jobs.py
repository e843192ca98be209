"""The leader's records of jobs and their tasks."""

import enum
from collections.abc import Iterator

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages


class TaskState(enum.Enum):
    """State of a task."""

    WAITING = "waiting"
    ORDERED = "ordered"  # A run is ordered or active.
    DONE = "done"


class LeasedTask(msgspec.Struct):
    """One task of a job.

    Attributes:
        key: The job and the index of the task.
        state: State of the task.
        next_run: Number of its next run.
        failures: How many of its runs failed.
        excluded_instances: Instances of upstreams on which a run failed or was
            overdue.
        last_overdue_run_s: How long its last overdue run had lasted when it was
            stopped, in seconds; 0 if there was none.
        rack_wait: Its wait for the rack of its data; None if it had none. A
            task waits once, so this stays after the wait.
    """

    key: model.TaskKey
    state: TaskState = TaskState.WAITING
    next_run: int = 1
    failures: int = 0
    excluded_instances: set[model.UpstreamInstance] = msgspec.field(
        default_factory=set
    )
    last_overdue_run_s: float = 0.0
    rack_wait: locality.RackWait | None = None

    def waits_for_rack(self, *, now: float) -> bool:
        """Returns whether the task waits for the rack of its data by choice."""
        return self.rack_wait is not None and now < self.rack_wait.until


class FasterWait(msgspec.Struct, frozen=True):
    """A wait for an upstream on which the tasks of a job end in time.

    Attributes:
        slowness: Slowness of the best upstream that had a free place.
        until: When the wait is decided on anew.
    """

    slowness: float
    until: float


class LeasedJob(msgspec.Struct):
    """One job at the leader.

    Attributes:
        request: The job as its caller sent it.
        owner: The host that answers the caller.
        arrived_at: When the job reached its owner.
        deadline: When the caller stops waiting.
        handed_over_at: When its owner last handed it over.
        base_ms: Expected run time of a task on an upstream of average speed.
        earlier_runs_end_by: When all runs of earlier leaders have ended; 0 if
            there are none.
        earlier_term: Highest term of the earlier leaders; 0 if there are none.
        base_ms_measured: Whether base_ms comes from a task of this job that
            has succeeded, rather than from estimates.
        tasks: The tasks.
        waiting_task_count: How many of them have no run.
        started: Whether a run was ordered, or an earlier leader may have
            ordered a run.
        rechecked: Whether the job was checked for admission a second time.
        redirected: Whether the leader of another cell has redirected it.
        passed_by: Whether tasks of a later job were started while it waited.
        may_run_elsewhere: Whether tasks may have been started in another cell.
        kept_late: Whether it was kept though it is expected to end late, so
            that it waits behind all jobs that can end in time.
        over_share: Whether it is beyond its route's share of scarce room.
        rack_wait_since: When a task of the job first waited for the rack of its
            data; None if none did.
        faster_wait: Its last wait for a faster upstream; None if it had none.
    """

    request: model.JobRequest
    owner: ids.HostId
    arrived_at: float
    deadline: float
    base_ms: float
    handed_over_at: float = 0.0
    earlier_runs_end_by: float = 0.0
    earlier_term: model.Term = model.Term(0)
    base_ms_measured: bool = False
    tasks: list[LeasedTask] = msgspec.field(default_factory=list)
    waiting_task_count: int = 0
    started: bool = False
    rechecked: bool = False
    redirected: bool = False
    passed_by: bool = False
    may_run_elsewhere: bool = False
    kept_late: bool = False
    over_share: bool = False
    rack_wait_since: float | None = None
    faster_wait: FasterWait | None = None

    def __post_init__(self) -> None:
        """Creates the tasks."""
        self.tasks = [
            LeasedTask(model.TaskKey(self.request.job, index))
            for index in range(self.request.tasks.count)
        ]
        self.waiting_task_count = len(self.tasks)

    def record_earlier_leaders(
        self, message: peer_messages.JobHandedOver, *, now: float
    ) -> None:
        """Records the earlier leaders that an owner names."""
        if not message.had_earlier_leader:
            return
        self.started = True
        self.earlier_term = max(self.earlier_term, message.earlier_term)
        self.earlier_runs_end_by = max(
            self.earlier_runs_end_by, now + message.earlier_runs_end_in_s
        )

    @property
    def name(self) -> model.JobName:
        """The name that the caller gave the job."""
        return self.request.job

    @property
    def target_response_s(self) -> float:
        """The target response time by the route's settings, in seconds."""
        settings = self.request.settings
        return (self.base_ms * settings.stretch + settings.target_ms) / 1_000

    @property
    def target_end_at(self) -> float:
        """When the job must have ended to meet its target response time."""
        return self.arrived_at + self.target_response_s

    def iter_waiting_tasks(self) -> Iterator[LeasedTask]:
        """Yields the waiting tasks."""
        for task in self.tasks:
            if task.state is TaskState.WAITING:
                yield task

    def set_state(self, task: LeasedTask, state: TaskState) -> None:
        """Sets the state of a task and updates the count of waiting tasks."""
        was_waiting = task.state is TaskState.WAITING
        self.waiting_task_count += (state is TaskState.WAITING) - was_waiting
        task.state = state

    def finished(self) -> bool:
        """Returns whether every task is done."""
        return all(task.state is TaskState.DONE for task in self.tasks)
