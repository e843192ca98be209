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
        avoid: Upstreams on which a run of it failed or hung.
        overdue_s: How long a run of it went on before it was stopped.
    """

    key: model.TaskKey
    state: TaskState = TaskState.WAITING
    next_run: int = 1
    failures: int = 0
    avoid: set[ids.UpstreamId] = field(default_factory=set)
    overdue_s: float = 0.0


@dataclass(slots=True)
class LeasedJob:
    """One job at the leader.

    Attributes:
        request: What is to run.
        owner: The host that answers the caller.
        arrived_at: When it came to its owner.
        deadline: The caller waits until then.
        unsure_until: Runs of an earlier leader may go on until then.
        base_ms: Expected run time of a task at average speed.
        measured: Whether a task has ended well, so that base_ms is known and
            not only expected.
        tasks: Its tasks.
        waiting_tasks: How many of them have no run.
        started: Whether a run of it was ever ordered, perhaps by an earlier
            leader.
        checked: Whether it was looked at again after its arrival.
    """

    request: model.JobRequest
    owner: ids.HostId
    arrived_at: float
    deadline: float
    unsure_until: float
    base_ms: float
    measured: bool = False
    tasks: list[LeasedTask] = field(default_factory=list)
    waiting_tasks: int = 0
    started: bool = False
    checked: bool = False

    def __post_init__(self) -> None:
        """Makes the tasks."""
        self.tasks = [
            LeasedTask(model.TaskKey(self.request.job, index))
            for index in range(self.request.tasks.count)
        ]
        self.waiting_tasks = len(self.tasks)

    @property
    def name(self) -> model.JobName:
        """The caller's id of the job."""
        return self.request.job

    @property
    def aim_s(self) -> float:
        """The response time that the route aims at, in seconds."""
        terms = self.request.terms
        return (self.base_ms * terms.stretch + terms.target_ms) / 1_000

    @property
    def aimed_end(self) -> float:
        """When the job is to have ended to be in time."""
        return self.arrived_at + self.aim_s

    def waiting(self) -> Iterator[LeasedTask]:
        """Yields the tasks that have no run."""
        for task in self.tasks:
            if task.state is TaskState.WAITING:
                yield task

    def set_state(self, task: LeasedTask, state: TaskState) -> None:
        """Moves a task of this job on."""
        was_waiting = task.state is TaskState.WAITING
        self.waiting_tasks += (state is TaskState.WAITING) - was_waiting
        task.state = state

    def finished(self) -> bool:
        """Returns whether every task is done."""
        return all(task.state is TaskState.DONE for task in self.tasks)
