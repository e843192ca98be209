"""Decides which queued task goes to which upstream, and when."""

from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from godwitnotch.core import chance
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job that can't be taken; nothing of it ran."""

    reason: model.Reason
    detail: str
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job that asks for slots.

    Attributes:
        submission: Its id.
        workspace: Settings of its workspace, as admitted.
        template: Its template, as admitted.
        declared_ms: Declared run times in task order; None where not given.
        deadline: When its caller stops waiting.
    """

    submission: ids.SubmissionId
    workspace: model.WorkspaceConfig
    template: model.Template
    declared_ms: tuple[float | None, ...]
    deadline: float


@dataclass(frozen=True, slots=True)
class Assignment:
    """A task that starts now at an upstream."""

    submission: ids.SubmissionId
    task_index: int
    upstream: model.UpstreamEntry


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message that the policy sends to a peer."""

    host: ids.HostId
    message: messages.Message


class Scheduler(Protocol):
    """A policy of queueing and routing; the registry below names each."""

    def upstreams_seen(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> None:
        """Takes a newer list of upstreams, leaving ones included."""

    def hosts_seen(
        self, hosts: Sequence[model.HostEntry], *, now: float
    ) -> None:
        """Takes the entry hosts now linked, this one not included."""

    def admit(self, job: JobRequest, *, now: float) -> Refusal | None:
        """Refuses a job that can't be done in time; takes no note of it."""

    def enqueue(self, job: JobRequest, *, now: float) -> None:
        """Queues all tasks of an admitted job."""

    def requeue(
        self, submission: ids.SubmissionId, task_index: int, *, now: float
    ) -> bool:
        """Queues a task again that did not start; False if over budget."""

    def withdraw(self, submission: ids.SubmissionId, *, now: float) -> None:
        """Drops the queued tasks of a job that has ended."""

    def assign(self, *, now: float) -> list[Assignment]:
        """Returns the tasks that start now."""

    def ended(
        self,
        assignment: Assignment,
        outcome: model.AttemptOutcome,
        *,
        started_at: float,
        now: float,
    ) -> None:
        """Frees the slot of an attempt, and learns from it."""

    def peer_said(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Takes a message of the same policy on another host."""

    def peer_messages(self, *, now: float) -> list[PeerMessage]:
        """Returns the messages to send now."""

    def next_deadline(self) -> float | None:
        """Returns when the policy next wants to be asked, if ever."""


Factory = Callable[[ids.HostId, ids.DomainId, chance.Chance], Scheduler]
_POLICIES: dict[str, Factory] = {}


def policy(name: str) -> Callable[[Factory], Factory]:
    """Registers a policy under a name that settings can give."""

    def register(factory: Factory) -> Factory:
        _POLICIES[name] = factory
        return factory

    return register


def policy_names() -> tuple[str, ...]:
    """Returns the names that settings can give."""
    return tuple(_POLICIES)


def create(
    name: str,
    *,
    host: ids.HostId,
    domain: ids.DomainId,
    chance: chance.Chance,
) -> Scheduler:
    """Returns a new scheduler of the named policy."""
    return _POLICIES[name](host, domain, chance)


@dataclass(slots=True)
class _Waiting:
    job: JobRequest
    task_index: int


@dataclass(slots=True)
class _Load:
    entry: model.UpstreamEntry
    running: int = 0


@policy("uniform")
class UniformScheduler:
    """First come, first served, to any upstream at random: the baseline."""

    def __init__(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        chance: chance.Chance,
    ) -> None:
        self._host = host
        self._domain = domain
        self._chance = chance
        self._loads: dict[ids.UpstreamId, _Load] = {}
        self._queue: deque[_Waiting] = deque()
        self._jobs: dict[ids.SubmissionId, JobRequest] = {}

    def upstreams_seen(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> None:
        """Keeps the running counts of the upstreams that stay."""
        loads = {entry.upstream: _Load(entry) for entry in upstreams}
        for upstream, load in loads.items():
            if upstream in self._loads:
                load.running = self._loads[upstream].running
        self._loads = loads

    def hosts_seen(
        self, hosts: Sequence[model.HostEntry], *, now: float
    ) -> None:
        """Ignores the other hosts."""

    def admit(self, job: JobRequest, *, now: float) -> Refusal | None:
        """Refuses only what no upstream may serve."""
        if self._allowed(job.template):
            return None
        return Refusal(
            model.Reason.NO_UPSTREAM,
            f"no live upstream may serve template {job.template.name!r}; "
            "come back later, or allow more upstreams in the template",
            1.0,
        )

    def enqueue(self, job: JobRequest, *, now: float) -> None:
        """Queues the tasks in order."""
        self._jobs[job.submission] = job
        for index in range(len(job.declared_ms)):
            self._queue.append(_Waiting(job, index))

    def requeue(
        self, submission: ids.SubmissionId, task_index: int, *, now: float
    ) -> bool:
        """Queues the task last."""
        job = self._jobs.get(submission)
        if job is None:
            return False
        self._queue.append(_Waiting(job, task_index))
        return True

    def withdraw(self, submission: ids.SubmissionId, *, now: float) -> None:
        """Drops the job's queued tasks."""
        if self._jobs.pop(submission, None) is None:
            return
        self._queue = deque(
            waiting
            for waiting in self._queue
            if waiting.job.submission != submission
        )

    def assign(self, *, now: float) -> list[Assignment]:
        """Assigns from the head of the queue while a slot is free."""
        assignments = []
        while self._queue:
            waiting = self._queue[0]
            load = self._pick(waiting.job.template)
            if load is None:
                break
            self._queue.popleft()
            load.running += 1
            assignments.append(
                Assignment(
                    waiting.job.submission, waiting.task_index, load.entry
                )
            )
        return assignments

    def ended(
        self,
        assignment: Assignment,
        outcome: model.AttemptOutcome,
        *,
        started_at: float,
        now: float,
    ) -> None:
        """Frees the slot."""
        load = self._loads.get(assignment.upstream.upstream)
        if load is not None:
            load.running -= 1

    def peer_said(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Ignores messages."""

    def peer_messages(self, *, now: float) -> list[PeerMessage]:
        """Sends none."""
        return []

    def next_deadline(self) -> float | None:
        """Wants no wake-up."""
        return None

    def _allowed(self, template: model.Template) -> list[_Load]:
        return [
            load
            for load in self._loads.values()
            if not load.entry.leaving
            and (
                not template.upstreams
                or load.entry.upstream in template.upstreams
            )
        ]

    def _pick(self, template: model.Template) -> _Load | None:
        free = [
            load
            for load in self._allowed(template)
            if load.running < load.entry.slots
        ]
        if not free:
            return None
        return free[self._chance.randrange(len(free))]
