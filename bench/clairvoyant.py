"""A central scheduler with perfect knowledge, as a bound to compare with."""

import heapq
from collections.abc import Sequence

from bench import recorded_load
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import scheduler

# A task waits for a faster slot if the queue drains sooner than this share
# of the time that it would lose on a slow one.
PATIENCE = 1.0


class Central:
    """All queues and slots in one place; true run times are known."""

    def __init__(self, load: recorded_load.Load) -> None:
        self._load = load
        self.free = {e.upstream: e.slots for e in load.upstreams}
        self.entries = sorted(
            load.upstreams, key=lambda each: -load.speeds[each.upstream]
        )
        self._whole = sum(
            load.speeds[each.upstream] * each.slots for each in load.upstreams
        )
        self._left: dict[ids.SubmissionId, float] = {}
        self._tasks: dict[ids.SubmissionId, list[int]] = {}
        self._jobs: list[tuple[float, ids.SubmissionId]] = []
        self._home: dict[ids.SubmissionId, ids.HostId] = {}
        self._ready: dict[ids.HostId, list[scheduler.Assignment]] = {}

    def view(self, host: ids.HostId) -> "CentralView":
        """Returns the scheduler that one host sees."""
        self._ready[host] = []
        return CentralView(self, host)

    def enqueue(self, host: ids.HostId, job: scheduler.JobRequest) -> None:
        """Queues a job, its longest task first."""
        work = self._load.work[job.submission]
        order = sorted(range(len(work)), key=lambda index: work[index])
        self._tasks[job.submission] = order
        self._left[job.submission] = sum(work)
        self._home[job.submission] = host
        heapq.heappush(self._jobs, (sum(work), job.submission))

    def dispatch(self) -> None:
        """Starts all that can start now, the least work left first."""
        waiting = sum(self._left.values())
        for entry in self.entries:
            speed = self._load.speeds[entry.upstream]
            while self.free[entry.upstream] and self._jobs:
                submission = self._jobs[0][1]
                tasks = self._tasks[submission]
                if not tasks:
                    heapq.heappop(self._jobs)
                    continue
                work = self._load.work[submission][tasks[-1]]
                fastest = self._load.speeds[self.entries[0].upstream]
                loss = work / speed - work / fastest
                if loss > PATIENCE * waiting / self._whole and loss > 0:
                    break
                waiting -= work
                self._start(submission, tasks.pop(), work, entry)

    def _start(
        self,
        submission: ids.SubmissionId,
        index: int,
        work: float,
        entry: model.UpstreamEntry,
    ) -> None:
        self.free[entry.upstream] -= 1
        self._left[submission] -= work
        heapq.heapreplace(self._jobs, (self._left[submission], submission))
        start = scheduler.Assignment(submission, index, entry)
        self._ready[self._home[submission]].append(start)

    def take(self, host: ids.HostId) -> list[scheduler.Assignment]:
        """Returns what a host starts now."""
        self.dispatch()
        starts, self._ready[host] = self._ready[host], []
        return starts

    def take_ready(self) -> list[ids.HostId]:
        """Returns the hosts that have starts to take."""
        return [host for host, starts in self._ready.items() if starts]

    def drop(self, submission: ids.SubmissionId) -> None:
        """Forgets a job."""
        self._left.pop(submission, None)
        self._tasks[submission] = []


class CentralView:
    """The scheduler of one host."""

    def __init__(self, central: Central, host: ids.HostId) -> None:
        self._central = central
        self._host = host

    def update_upstreams(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> None:
        """Ignores lists; the central scheduler knows all."""

    def update_hosts(
        self, hosts: Sequence[model.HostEntry], *, now: float
    ) -> None:
        """Ignores lists; the central scheduler knows all."""

    def admit(
        self, job: scheduler.JobRequest, *, now: float
    ) -> scheduler.Refusal | None:
        """Takes every job."""
        return None

    def enqueue(self, job: scheduler.JobRequest, *, now: float) -> None:
        """Queues the job centrally."""
        self._central.enqueue(self._host, job)

    def requeue(
        self, submission: ids.SubmissionId, task_index: int, *, now: float
    ) -> bool:
        """Nothing is ever refused."""
        return False

    def withdraw(self, submission: ids.SubmissionId, *, now: float) -> None:
        """Drops the job."""
        self._central.drop(submission)

    def assign(self, *, now: float) -> list[scheduler.Assignment]:
        """Returns the starts of this host."""
        return self._central.take(self._host)

    def attempt_ended(
        self,
        assignment: scheduler.Assignment,
        outcome: model.AttemptOutcome,
        *,
        started_at: float,
        now: float,
    ) -> None:
        """Frees the slot."""
        self._central.free[assignment.upstream.upstream] += 1

    def handle_peer_message(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Needs no messages."""

    def peer_messages(self, *, now: float) -> list[scheduler.PeerMessage]:
        """Needs no messages."""
        return []

    def next_deadline(self) -> float | None:
        """Wants no wake-up."""
        return None
