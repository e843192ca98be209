"""Decides which queued task goes to which upstream, and when."""

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

    def update_upstreams(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> None:
        """Takes a newer list of upstreams, leaving ones included."""

    def update_hosts(
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

    def attempt_ended(
        self,
        assignment: Assignment,
        outcome: model.AttemptOutcome,
        *,
        started_at: float,
        now: float,
    ) -> None:
        """Frees the slot of an attempt, and learns from it."""

    def handle_peer_message(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Takes a message of the same policy on another host."""

    def peer_messages(self, *, now: float) -> list[PeerMessage]:
        """Returns the messages to send now."""

    def next_deadline(self) -> float | None:
        """Returns when the policy next wants to be asked, if ever."""


SchedulerFactory = Callable[
    [ids.HostId, ids.DomainId, chance.Chance], Scheduler
]
_POLICIES: dict[str, SchedulerFactory] = {}


def policy(name: str) -> Callable[[SchedulerFactory], SchedulerFactory]:
    """Registers a policy under a name that settings can give."""

    def register(factory: SchedulerFactory) -> SchedulerFactory:
        _POLICIES[name] = factory
        return factory

    return register


def policy_names() -> tuple[str, ...]:
    """Returns the names that settings can give."""
    _load_policies()
    return tuple(_POLICIES)


def create(
    name: str,
    *,
    host: ids.HostId,
    domain: ids.DomainId,
    rng: chance.Chance,
) -> Scheduler:
    """Returns a new scheduler of the named policy."""
    _load_policies()
    return _POLICIES[name](host, domain, rng)


def _load_policies() -> None:
    # The policies import this module, so they are loaded on first use.
    from godwitnotch.core import policies  # noqa: F401
