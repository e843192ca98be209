"""An idealised scheduler with perfect knowledge, to compare policies with.

"Clairvoyant" means that the scheduler knows the true run time of every task in
advance. It also sees all queues and slots of all hosts without any message.
"""

import heapq
from collections.abc import Sequence

from bench import recorded_load
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import scheduler

# A task waits for a faster upstream if its run time on the free upstream exceeds
# its run time on the fastest upstream by more than this share of the time that
# all upstreams together need for the waiting work.
MAX_EXTRA_RUN_SHARE = 1.0


class ClairvoyantScheduler:
    """Places the tasks of all hosts, knowing true run times and free slots.

    Args:
        load: The load with the true run times of all tasks.

    Attributes:
        free_slots: Number of free slots of each upstream.
        upstreams_by_speed: All upstreams, the fastest first.
    """

    def __init__(self, load: recorded_load.Load) -> None:
        self._load = load
        self.free_slots = {
            entry.upstream: entry.slots for entry in load.upstreams
        }
        self.upstreams_by_speed = sorted(
            load.upstreams,
            key=lambda upstream: -load.speeds[upstream.upstream],
        )
        self._total_capacity = sum(
            load.speeds[upstream.upstream] * upstream.slots
            for upstream in load.upstreams
        )
        self._waiting_work_s: dict[ids.SubmissionId, float] = {}
        self._waiting_tasks: dict[ids.SubmissionId, list[int]] = {}
        self._job_heap: list[tuple[float, ids.SubmissionId]] = []
        self._host_by_job: dict[ids.SubmissionId, ids.HostId] = {}
        self._new_starts: dict[ids.HostId, list[scheduler.Assignment]] = {}

    def host_scheduler(self, host: ids.HostId) -> "HostScheduler":
        """Returns the scheduler interface for one host."""
        self._new_starts[host] = []
        return HostScheduler(self, host)

    def enqueue(self, host: ids.HostId, job: scheduler.JobRequest) -> None:
        """Queues a job; its longest task starts first."""
        work_s = self._load.work_s[job.submission]
        task_order = sorted(
            range(len(work_s)), key=lambda task_index: work_s[task_index]
        )
        self._waiting_tasks[job.submission] = task_order
        self._waiting_work_s[job.submission] = sum(work_s)
        self._host_by_job[job.submission] = host
        heapq.heappush(self._job_heap, (sum(work_s), job.submission))

    def assign_tasks(self) -> None:
        """Starts tasks on free slots, in order of the waiting work of jobs."""
        waiting_work_s = sum(self._waiting_work_s.values())
        for entry in self.upstreams_by_speed:
            speed = self._load.speeds[entry.upstream]
            while self.free_slots[entry.upstream] and self._job_heap:
                submission = self._job_heap[0][1]
                tasks = self._waiting_tasks[submission]
                if not tasks:
                    heapq.heappop(self._job_heap)
                    continue
                work_s = self._load.work_s[submission][tasks[-1]]
                max_speed = self._load.speeds[
                    self.upstreams_by_speed[0].upstream
                ]
                extra_run_s = work_s / speed - work_s / max_speed
                if (
                    extra_run_s
                    > MAX_EXTRA_RUN_SHARE
                    * waiting_work_s
                    / self._total_capacity
                    and extra_run_s > 0
                ):
                    break
                waiting_work_s -= work_s
                self._start_task(submission, tasks.pop(), work_s, entry)

    def _start_task(
        self,
        submission: ids.SubmissionId,
        task_index: int,
        work_s: float,
        entry: model.UpstreamEntry,
    ) -> None:
        """Takes a slot and adds the task to the starts of its job's host."""
        self.free_slots[entry.upstream] -= 1
        self._waiting_work_s[submission] -= work_s
        heapq.heapreplace(
            self._job_heap, (self._waiting_work_s[submission], submission)
        )
        assignment = scheduler.Assignment(submission, task_index, entry)
        self._new_starts[self._host_by_job[submission]].append(assignment)

    def take_starts(self, host: ids.HostId) -> list[scheduler.Assignment]:
        """Returns the tasks that a host is to start now."""
        self.assign_tasks()
        starts, self._new_starts[host] = self._new_starts[host], []
        return starts

    def hosts_with_starts(self) -> list[ids.HostId]:
        """Returns the hosts that have tasks to start."""
        return [host for host, starts in self._new_starts.items() if starts]

    def remove_job(self, submission: ids.SubmissionId) -> None:
        """Removes a job and its waiting tasks."""
        self._waiting_work_s.pop(submission, None)
        self._waiting_tasks[submission] = []


class HostScheduler:
    """The scheduler interface of one host, backed by the shared scheduler.

    Args:
        clairvoyant_scheduler: The scheduler that all hosts share.
        host: The host that starts the tasks.
    """

    def __init__(
        self, clairvoyant_scheduler: ClairvoyantScheduler, host: ids.HostId
    ) -> None:
        self._scheduler = clairvoyant_scheduler
        self._host = host

    def update_upstreams(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> None:
        """Ignores the list; the shared scheduler knows all upstreams."""

    def update_hosts(
        self, hosts: Sequence[model.HostEntry], *, now: float
    ) -> None:
        """Ignores the list; the shared scheduler knows all hosts."""

    def admit(
        self, job: scheduler.JobRequest, *, now: float
    ) -> scheduler.Refusal | None:
        """Admits every job."""
        return None

    def enqueue(self, job: scheduler.JobRequest, *, now: float) -> None:
        """Queues the job at the shared scheduler."""
        self._scheduler.enqueue(self._host, job)

    def requeue(
        self, submission: ids.SubmissionId, task_index: int, *, now: float
    ) -> bool:
        """Returns False, so that a refused task fails its job.

        This scheduler uses free slots only, so that upstreams refuse tasks only
        if they accept no connections.
        """
        return False

    def withdraw(self, submission: ids.SubmissionId, *, now: float) -> None:
        """Removes the job from the shared scheduler."""
        self._scheduler.remove_job(submission)

    def assign(self, *, now: float) -> list[scheduler.Assignment]:
        """Returns the tasks that this host is to start now."""
        return self._scheduler.take_starts(self._host)

    def attempt_ended(
        self,
        assignment: scheduler.Assignment,
        outcome: model.AttemptOutcome,
        *,
        started_at: float,
        now: float,
    ) -> None:
        """Frees the slot that the attempt used."""
        self._scheduler.free_slots[assignment.upstream.upstream] += 1

    def handle_peer_message(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Ignores the message; the shared scheduler needs none."""

    def peer_messages(self, *, now: float) -> list[scheduler.PeerMessage]:
        """Returns no messages; the shared scheduler needs none."""
        return []

    def next_deadline(self) -> float | None:
        """Returns None; this scheduler needs no timer."""
        return None
