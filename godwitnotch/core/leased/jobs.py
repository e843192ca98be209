"""The jobs that a leader dispatches, and their tasks."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import ids
from godwitnotch.core.leased import model


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    ORDERED = "ordered"  # A run was ordered, or goes on.
    DONE = "done"


@dataclass(slots=True)
class LeasedTask:
    """One task of a job.

    Attributes:
        key: Its name.
        state: Where it stands.
        next_run: Number of its next run.
        failures: Its runs that failed.
        excluded_upstreams: Upstreams on which a run of it failed or hung.
        overdue_s: How long a run of it went on before it was stopped.
    """

    key: model.TaskKey
    state: TaskState = TaskState.WAITING
    next_run: int = 1
    failures: int = 0
    excluded_upstreams: set[ids.UpstreamId] = field(default_factory=set)
    overdue_s: float = 0.0


@dataclass(slots=True)
class LeasedJob:
    """One job at the leader.

    Attributes:
        request: What is to run.
        owner: The host that answers the caller.
        arrived_at: When it came to its owner.
        deadline: The caller waits until then.
        earlier_runs_end_by: Runs of an earlier leader may go on until then.
        base_ms: Expected run time of a task at average speed.
        base_ms_measured: Whether a task has ended well, so that base_ms is known and
            not only expected.
        tasks: Its tasks.
        waiting_task_count: How many of them have no run.
        started: Whether a run of it was ever ordered, perhaps by an earlier
            leader.
        rechecked: Whether it was looked at again after its arrival.
    """

    request: model.JobRequest
    owner: ids.HostId
    arrived_at: float
    deadline: float
    earlier_runs_end_by: float
    base_ms: float
    base_ms_measured: bool = False
    tasks: list[LeasedTask] = field(default_factory=list)
    waiting_task_count: int = 0
    started: bool = False
    rechecked: bool = False

    def __post_init__(self) -> None:
        """Makes the tasks."""
        self.tasks = [
            LeasedTask(model.TaskKey(self.request.job, index))
            for index in range(self.request.tasks.count)
        ]
        self.waiting_task_count = len(self.tasks)

    @property
    def name(self) -> model.JobName:
        """The caller's id of the job."""
        return self.request.job

    @property
    def target_response_s(self) -> float:
        """The response time that the route aims at, in seconds."""
        settings = self.request.settings
        return (self.base_ms * settings.stretch + settings.target_ms) / 1_000

    @property
    def target_end_at(self) -> float:
        """When the job is to have ended to be in time."""
        return self.arrived_at + self.target_response_s

    def iter_waiting_tasks(self) -> Iterator[LeasedTask]:
        """Yields the tasks that have no run."""
        for task in self.tasks:
            if task.state is TaskState.WAITING:
                yield task

    def set_state(self, task: LeasedTask, state: TaskState) -> None:
        """Moves a task of this job on."""
        was_waiting = task.state is TaskState.WAITING
        self.waiting_task_count += (state is TaskState.WAITING) - was_waiting
        task.state = state

    def finished(self) -> bool:
        """Returns whether every task is done."""
        return all(task.state is TaskState.DONE for task in self.tasks)
