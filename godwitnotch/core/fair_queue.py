"""A queue of tasks that is fair between workspaces.

Each workspace is charged the expected run time of its started tasks, and the
workspace with the lowest charge goes next. Within a workspace the job with the
least remaining work goes first. A job becomes urgent when a share of the time
between its queueing and its deadline has passed. Urgent jobs go before the
other jobs of their workspace, by earliest deadline.
"""

import heapq
import itertools
from collections.abc import Callable

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import scheduler

# Share of the time from queueing to deadline after which a job is urgent.
URGENT_AFTER_SHARE = 0.5

_TASK_COUNT_CLASSES = 8


class TaskSizes(msgspec.Struct, frozen=True):
    """Expected sizes of the tasks of a job.

    Attributes:
        relative_sizes: Expected run time of each task relative to that of a
            typical task of the template.
        costs_s: Expected run time of each task in seconds.
    """

    relative_sizes: tuple[float, ...]
    costs_s: tuple[float, ...]


class QueuedJob(msgspec.Struct):
    """A job with queued tasks.

    Attributes:
        request: The job.
        tasks: Indices of the queued tasks; the last one goes first.
        relative_sizes: Expected run times of all tasks of the job relative to
            that of a typical task of the template.
        costs_s: Expected run times of all tasks of the job in seconds.
        arrival_number: Rises with each job; breaks ties by order of arrival.
        enqueued_at: When the job was queued.
        urgent_at: When the job becomes urgent.
        remaining_s: Expected run time of the queued tasks in seconds.
        in_heaps: Whether the job was added to the heaps of its workspace.
    """

    request: scheduler.JobRequest
    tasks: list[int]
    relative_sizes: tuple[float, ...]
    costs_s: tuple[float, ...]
    arrival_number: int
    enqueued_at: float
    urgent_at: float
    remaining_s: float = 0.0
    in_heaps: bool = False
    urgent: bool = False


class WorkspaceCharges:
    """The run time in seconds charged to each workspace.

    The virtual time is the charge that the last served workspace had before
    its task was charged.
    """

    def __init__(self) -> None:
        self._charged_s: dict[ids.WorkspaceId, float] = {}
        self._virtual_time_s = 0.0

    def charged_s(self, workspace: ids.WorkspaceId) -> float:
        """Returns the charge of a workspace.

        The charge is at least the virtual time, so that a workspace doesn't
        save up run time while it is idle.
        """
        return max(self._charged_s.get(workspace, 0.0), self._virtual_time_s)

    def charge(self, workspace: ids.WorkspaceId, cost_s: float) -> None:
        """Charges a workspace for a task that starts.

        The virtual time becomes the charge that the workspace had before the
        task. The workspace must therefore be the one with the lowest charge.
        """
        self._virtual_time_s = self.charged_s(workspace)
        self._charged_s[workspace] = self._virtual_time_s + cost_s
        if len(self._charged_s) > 4_096:
            self._forget_idle()

    def _forget_idle(self) -> None:
        """Removes charges that are no higher than the virtual time."""
        self._charged_s = {
            workspace: charge
            for workspace, charge in self._charged_s.items()
            if charge > self._virtual_time_s
        }


class FairQueue:
    """The queued tasks of jobs that may use the same upstreams.

    Args:
        charges: Charges of the workspaces, shared with other queues.
    """

    def __init__(self, charges: WorkspaceCharges) -> None:
        self._charges = charges
        self._count = 0
        self._work_s = 0.0
        self._sequence = itertools.count()
        self._jobs: dict[ids.SubmissionId, QueuedJob] = {}
        self._backlogs: dict[ids.WorkspaceId, _Backlog] = {}
        self._workspace_heap: list[tuple[float, int, ids.WorkspaceId]] = []
        self._blocked: set[ids.WorkspaceId] = set()

    def __len__(self) -> int:
        return self._count

    @property
    def work_s(self) -> float:
        """Expected run time of all queued tasks in seconds."""
        return self._work_s

    @property
    def workspace_count(self) -> int:
        """Number of workspaces with queued tasks."""
        return len(self._backlogs)

    def queued_count(self, workspace: ids.WorkspaceId) -> int:
        """Returns the number of queued tasks of a workspace."""
        backlog = self._backlogs.get(workspace)
        return backlog.count if backlog else 0

    def queued_before(self, workspace: ids.WorkspaceId, task_count: int) -> int:
        """Returns how many tasks start before the last task of a new job.

        Only tasks of the same workspace are counted, and of these only the
        tasks of jobs whose task-count class isn't higher than that of the new
        job.

        Args:
            workspace: Workspace of the new job.
            task_count: Number of tasks of the new job.
        """
        backlog = self._backlogs.get(workspace)
        if backlog is None:
            return 0
        return sum(backlog.count_by_class[: _task_count_class(task_count) + 1])

    def push(
        self,
        request: scheduler.JobRequest,
        tasks: list[int],
        sizes: TaskSizes,
        *,
        now: float,
    ) -> None:
        """Queues tasks of a job.

        Args:
            request: The job.
            tasks: Indices of the tasks; the last one goes first.
            sizes: Sizes of all tasks of the job.
            now: The current time.
        """
        job = self._jobs.get(request.submission)
        if job is None:
            wait_s = max(request.deadline - now, 0.0)
            job = QueuedJob(
                request,
                [],
                sizes.relative_sizes,
                sizes.costs_s,
                next(self._sequence),
                now,
                now + URGENT_AFTER_SHARE * wait_s,
            )
            self._jobs[request.submission] = job
        job.tasks.extend(tasks)
        work_s = sum(sizes.costs_s[index] for index in tasks)
        job.remaining_s += work_s
        self._work_s += work_s
        self._count += len(tasks)
        self._backlog(request.workspace.workspace).push(job, len(tasks))

    def withdraw(self, submission: ids.SubmissionId) -> None:
        """Removes a job and its queued tasks."""
        job = self._jobs.pop(submission, None)
        if job is None or not job.tasks:
            return
        workspace = job.request.workspace.workspace
        count = len(job.tasks)
        job.tasks.clear()
        self._count -= count
        self._work_s -= job.remaining_s
        self._backlogs[workspace].remove(job, count)
        self._drop_if_empty(workspace)

    def head(
        self, may_run: Callable[[ids.WorkspaceId], bool], *, now: float
    ) -> QueuedJob | None:
        """Returns the job whose task goes next; None if no task may run.

        Args:
            may_run: Returns whether the quota of a workspace has room. A
                workspace without room is skipped until `unblock` is called.
            now: The current time.
        """
        while self._workspace_heap:
            charge, entry_number, workspace = self._workspace_heap[0]
            backlog = self._backlogs.get(workspace)
            if backlog is None or backlog.heap_entry_number != entry_number:
                heapq.heappop(self._workspace_heap)
                continue
            charged_s = self._charges.charged_s(workspace)
            if charged_s > charge:
                heapq.heapreplace(
                    self._workspace_heap, (charged_s, entry_number, workspace)
                )
                continue
            if not may_run(workspace):
                heapq.heappop(self._workspace_heap)
                self._blocked.add(workspace)
                continue
            return backlog.head(now)
        return None

    def largest_job(self) -> QueuedJob:
        """Returns the job with the most remaining work in the next workspace.

        Valid only directly after `head` has returned a job.
        """
        return self._backlogs[self._workspace_heap[0][2]].largest_job()

    def take(self, job: QueuedJob) -> int:
        """Removes the next task of a job and returns its index."""
        workspace = job.request.workspace.workspace
        index = job.tasks.pop()
        cost_s = job.costs_s[index]
        job.remaining_s -= cost_s
        self._work_s -= cost_s
        self._count -= 1
        self._backlogs[workspace].remove(job, 1)
        self._charges.charge(workspace, cost_s)
        if not job.tasks:
            del self._jobs[job.request.submission]
        if not self._count:
            self._work_s = 0.0
        self._drop_if_empty(workspace)
        return index

    def unblock(self, workspace: ids.WorkspaceId) -> None:
        """Stops skipping a workspace whose quota may have room again."""
        if workspace in self._blocked:
            self._blocked.remove(workspace)
            self._push_workspace(workspace)

    @property
    def blocked(self) -> set[ids.WorkspaceId]:
        """Workspaces skipped because of their quota; not to be modified."""
        return self._blocked

    def _backlog(self, workspace: ids.WorkspaceId) -> "_Backlog":
        """Returns the backlog of a workspace, created if needed."""
        backlog = self._backlogs.get(workspace)
        if backlog is None:
            backlog = self._backlogs[workspace] = _Backlog()
            self._push_workspace(workspace)
        return backlog

    def _push_workspace(self, workspace: ids.WorkspaceId) -> None:
        """Adds a workspace to the heap of workspaces."""
        entry_number = next(self._sequence)
        self._backlogs[workspace].heap_entry_number = entry_number
        charged_s = self._charges.charged_s(workspace)
        heapq.heappush(
            self._workspace_heap, (charged_s, entry_number, workspace)
        )

    def _drop_if_empty(self, workspace: ids.WorkspaceId) -> None:
        """Removes the backlog of a workspace without queued tasks."""
        if not self._backlogs[workspace].count:
            del self._backlogs[workspace]
            self._blocked.discard(workspace)


def _task_count_class(task_count: int) -> int:
    """Returns the class of a job by its number of tasks."""
    return min(task_count.bit_length(), _TASK_COUNT_CLASSES - 1)


class _Backlog(msgspec.Struct):
    """The queued jobs of one workspace.

    The heaps may hold jobs that have no queued tasks any more. These jobs are
    removed when they reach the top. All heaps but `by_deadline` are also
    cleaned when they hold far more jobs than there are queued tasks.

    Attributes:
        count: Number of queued tasks.
        heap_entry_number: Number of the valid entry of the workspace in the
            heap of workspaces.
        count_by_class: Number of queued tasks by class of their job.
        smallest_first: Jobs by remaining work, ascending.
        largest_first: Jobs by remaining work, descending.
        by_urgent_at: Jobs that aren't moved to `by_deadline` yet, by the time
            when they become urgent.
        by_deadline: Urgent jobs by deadline.
    """

    count: int = 0
    heap_entry_number: int = -1
    count_by_class: list[int] = msgspec.field(
        default_factory=lambda: [0] * _TASK_COUNT_CLASSES
    )
    smallest_first: list[tuple[float, int, QueuedJob]] = msgspec.field(
        default_factory=list
    )
    largest_first: list[tuple[float, int, QueuedJob]] = msgspec.field(
        default_factory=list
    )
    by_urgent_at: list[tuple[float, int, QueuedJob]] = msgspec.field(
        default_factory=list
    )
    by_deadline: list[tuple[float, int, QueuedJob]] = msgspec.field(
        default_factory=list
    )

    def push(self, job: QueuedJob, count: int) -> None:
        self.count += count
        self.count_by_class[
            _task_count_class(len(job.request.declared_ms))
        ] += count
        if job.in_heaps:
            return
        job.in_heaps = True
        heapq.heappush(
            self.smallest_first, (job.remaining_s, job.arrival_number, job)
        )
        heapq.heappush(
            self.largest_first, (-job.remaining_s, job.arrival_number, job)
        )
        heapq.heappush(
            self.by_urgent_at, (job.urgent_at, job.arrival_number, job)
        )

    def remove(self, job: QueuedJob, count: int) -> None:
        self.count -= count
        self.count_by_class[
            _task_count_class(len(job.request.declared_ms))
        ] -= count
        if len(self.by_urgent_at) > 2 * self.count + 16:
            self.by_urgent_at = [
                each for each in self.by_urgent_at if each[2].tasks
            ]
            heapq.heapify(self.by_urgent_at)
        if len(self.smallest_first) > 2 * self.count + 16:
            self.smallest_first = [
                each for each in self.smallest_first if each[2].tasks
            ]
            heapq.heapify(self.smallest_first)
        if len(self.largest_first) > 2 * self.count + 16:
            self.largest_first = [
                each for each in self.largest_first if each[2].tasks
            ]
            heapq.heapify(self.largest_first)

    def largest_job(self) -> QueuedJob:
        while True:
            listed_s, arrival_number, job = self.largest_first[0]
            if not job.tasks:
                heapq.heappop(self.largest_first)
            elif job.remaining_s != -listed_s:
                entry = (-job.remaining_s, arrival_number, job)
                heapq.heapreplace(self.largest_first, entry)
            else:
                return job

    def head(self, now: float) -> QueuedJob:
        while self.by_urgent_at and self.by_urgent_at[0][0] <= now:
            job = heapq.heappop(self.by_urgent_at)[2]
            if job.tasks:
                entry = (job.request.deadline, job.arrival_number, job)
                heapq.heappush(self.by_deadline, entry)
        while self.by_deadline:
            if self.by_deadline[0][2].tasks:
                return self.by_deadline[0][2]
            heapq.heappop(self.by_deadline)
        return self._smallest_job()

    def _smallest_job(self) -> QueuedJob:
        """Returns the job with the least remaining work."""
        while True:
            listed_s, arrival_number, job = self.smallest_first[0]
            if not job.tasks:
                heapq.heappop(self.smallest_first)
            elif job.remaining_s != listed_s:
                entry = (job.remaining_s, arrival_number, job)
                heapq.heapreplace(self.smallest_first, entry)
            else:
                return job
