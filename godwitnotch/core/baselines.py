"""Simple scheduling policies that serve as baselines."""

import zlib
from collections import deque
from collections.abc import Sequence

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import random_source
from godwitnotch.core import scheduler

# A full upstream that refused a task gets no task for this time.
REFUSED_FULL_PAUSE_S = 0.02


class _QueuedTask(msgspec.Struct):
    """A queued task and its job."""

    job: scheduler.JobRequest
    task_index: int


class _UpstreamLoad(msgspec.Struct):
    """An upstream and the number of tasks that this host runs there."""

    entry: model.UpstreamEntry
    running_count: int = 0
    paused_until: float = 0.0


@scheduler.policy("uniform")
class UniformScheduler:
    """Starts tasks at random upstreams, in the order of arrival."""

    def __init__(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        rng: random_source.RandomSource,
    ) -> None:
        self._host = host
        self._domain = domain
        self._rng = rng
        self._loads: dict[ids.UpstreamId, _UpstreamLoad] = {}
        self._queue: deque[_QueuedTask] = deque()
        self._jobs: dict[ids.SubmissionId, scheduler.JobRequest] = {}
        self._sharing_hosts = [host]
        self._assigned_at = 0.0

    def update_upstreams(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> None:
        """Replaces the list but keeps the load of upstreams that stay."""
        loads = {entry.upstream: _UpstreamLoad(entry) for entry in upstreams}
        for upstream, load in loads.items():
            if upstream in self._loads:
                load.running_count = self._loads[upstream].running_count
                load.paused_until = self._loads[upstream].paused_until
        self._loads = loads

    def update_hosts(
        self, hosts: Sequence[model.HostEntry], *, now: float
    ) -> None:
        """Ignores the other hosts."""

    def admit(
        self, job: scheduler.JobRequest, *, now: float
    ) -> scheduler.Refusal | None:
        """Refuses only jobs that no upstream may serve."""
        if self._allowed(job.template):
            return None
        return scheduler.Refusal(
            model.Reason.NO_UPSTREAM,
            f"no live upstream may serve template {job.template.name!r}; "
            "come back later, or allow more upstreams in the template",
            1.0,
        )

    def enqueue(self, job: scheduler.JobRequest, *, now: float) -> None:
        """Queues the tasks in order."""
        self._jobs[job.submission] = job
        for index in range(len(job.declared_ms)):
            self._queue.append(_QueuedTask(job, index))

    def requeue(
        self, submission: ids.SubmissionId, task_index: int, *, now: float
    ) -> bool:
        """Queues the task at the end; retries aren't limited."""
        job = self._jobs.get(submission)
        if job is None:
            return False
        self._queue.append(_QueuedTask(job, task_index))
        return True

    def withdraw(self, submission: ids.SubmissionId, *, now: float) -> None:
        """Removes the job's queued tasks."""
        if self._jobs.pop(submission, None) is None:
            return
        self._queue = deque(
            task for task in self._queue if task.job.submission != submission
        )

    def assign(self, *, now: float) -> list[scheduler.Assignment]:
        """Assigns tasks from the head of the queue while a slot is free."""
        self._assigned_at = now
        assignments = []
        while self._queue:
            task = self._queue[0]
            load = self._pick_upstream(task.job.template, now)
            if load is None:
                break
            self._queue.popleft()
            load.running_count += 1
            assignments.append(
                scheduler.Assignment(
                    task.job.submission, task.task_index, load.entry
                )
            )
        return assignments

    def attempt_ended(
        self,
        assignment: scheduler.Assignment,
        outcome: model.AttemptOutcome,
        *,
        started_at: float,
        now: float,
    ) -> None:
        """Frees the slot of the attempt."""
        load = self._loads.get(assignment.upstream.upstream)
        if load is not None and load.running_count:
            load.running_count -= 1
        if load is not None and outcome is model.AttemptOutcome.REFUSED_FULL:
            load.paused_until = now + REFUSED_FULL_PAUSE_S

    def handle_peer_message(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Ignores messages of other hosts."""

    def peer_messages(self, *, now: float) -> list[scheduler.PeerMessage]:
        """Returns no messages."""
        return []

    def next_deadline(self) -> float | None:
        """Returns when a paused upstream may be used again, or None."""
        pause_ends = [
            load.paused_until
            for load in self._loads.values()
            if load.paused_until > self._assigned_at
        ]
        return min(pause_ends, default=None) if self._queue else None

    def _allowed(self, template: model.Template) -> list[_UpstreamLoad]:
        """Returns the upstreams that tasks of a template may use."""
        return [
            load
            for load in self._loads.values()
            if not load.entry.leaving
            and (
                not template.upstreams
                or load.entry.upstream in template.upstreams
            )
        ]

    def _pick_upstream(
        self, template: model.Template, now: float
    ) -> _UpstreamLoad | None:
        """Returns an allowed upstream with a free slot, or None."""
        free = [
            load
            for load in self._allowed(template)
            if load.running_count < self._slot_limit(load.entry)
            and load.paused_until <= now
        ]
        if not free:
            return None
        return self._choose(free)

    def _slot_limit(self, entry: model.UpstreamEntry) -> int:
        """Returns how many slots of an upstream this host may use."""
        return entry.slots

    def _choose(self, free: list[_UpstreamLoad]) -> _UpstreamLoad:
        """Chooses among the upstreams with a free slot."""
        return free[self._rng.randrange(len(free))]


@scheduler.policy("two_choices")
class TwoChoicesScheduler(UniformScheduler):
    """Picks the less loaded of two random upstreams of this host's domain."""

    def _allowed(self, template: model.Template) -> list[_UpstreamLoad]:
        allowed = super()._allowed(template)
        same_domain = [
            load for load in allowed if load.entry.domain == self._domain
        ]
        return same_domain or allowed

    def _choose(self, free: list[_UpstreamLoad]) -> _UpstreamLoad:
        first, second = super()._choose(free), super()._choose(free)
        return first if first.running_count <= second.running_count else second


@scheduler.policy("even_split")
class EvenSplitScheduler(UniformScheduler):
    """Splits the slots of a domain evenly among its linked hosts."""

    def update_hosts(
        self, hosts: Sequence[model.HostEntry], *, now: float
    ) -> None:
        """Shares slots with the linked hosts of this host's domain."""
        same_domain = [
            each.host for each in hosts if each.domain == self._domain
        ]
        self._sharing_hosts = sorted([*same_domain, self._host])

    def _allowed(self, template: model.Template) -> list[_UpstreamLoad]:
        allowed = super()._allowed(template)
        same_domain = [
            load for load in allowed if load.entry.domain == self._domain
        ]
        return same_domain or allowed

    def _slot_limit(self, entry: model.UpstreamEntry) -> int:
        # The remainder of the split goes to different hosts per upstream.
        rank = self._sharing_hosts.index(self._host) + zlib.crc32(
            entry.upstream.encode()
        )
        extra = rank % len(self._sharing_hosts) < entry.slots % len(
            self._sharing_hosts
        )
        return entry.slots // len(self._sharing_hosts) + extra
