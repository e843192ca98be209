"""Interface and registry of scheduling policies.

A policy decides which queued task starts at which upstream, and when.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import random_source


class Refusal(msgspec.Struct, frozen=True):
    """Why a job is refused before any of its tasks starts.

    Attributes:
        reason: Code of the reason, for the caller.
        detail: The reason in words, with a remedy.
        retry_after_s: Seconds after which a retry may succeed; None if a retry
            can't succeed.
    """

    reason: model.Reason
    detail: str
    retry_after_s: float | None


class JobRequest(msgspec.Struct, frozen=True):
    """A job that is submitted to the scheduler.

    Attributes:
        submission: Id of the job.
        workspace: Settings of the workspace at the time of submission.
        template: The template at the time of submission.
        declared_ms: Declared run times in milliseconds, in task order; None
            where the caller declared none.
        deadline: When the caller gives up.
    """

    submission: ids.SubmissionId
    workspace: model.WorkspaceConfig
    template: model.Template
    declared_ms: tuple[float | None, ...]
    deadline: float


class Assignment(msgspec.Struct, frozen=True):
    """A task that is to start now at an upstream."""

    submission: ids.SubmissionId
    task_index: int
    upstream: model.UpstreamEntry


class PeerMessage(msgspec.Struct, frozen=True):
    """A message from the policy of this host to that of another host."""

    host: ids.HostId
    message: messages.Message


class Scheduler(Protocol):
    """A scheduling policy: admission, queueing and choice of upstreams."""

    def update_upstreams(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> None:
        """Replaces the list of upstreams, which includes leaving ones."""

    def update_hosts(
        self, hosts: Sequence[model.HostEntry], *, now: float
    ) -> None:
        """Replaces the list of linked hosts, which excludes this host."""

    def admit(self, job: JobRequest, *, now: float) -> Refusal | None:
        """Returns why a job is refused, or None; doesn't queue the job."""

    def enqueue(self, job: JobRequest, *, now: float) -> None:
        """Queues all tasks of an admitted job."""

    def requeue(
        self, submission: ids.SubmissionId, task_index: int, *, now: float
    ) -> bool:
        """Queues a task again that did not start.

        Returns:
            False if no retry is allowed; the task isn't queued then.
        """

    def withdraw(self, submission: ids.SubmissionId, *, now: float) -> None:
        """Removes the queued tasks of a job that has ended."""

    def assign(self, *, now: float) -> list[Assignment]:
        """Removes from the queue the tasks that start now, and returns them."""

    def attempt_ended(
        self,
        assignment: Assignment,
        outcome: model.AttemptOutcome,
        *,
        started_at: float,
        now: float,
    ) -> None:
        """Frees the slot of an attempt and learns from its outcome."""

    def handle_peer_message(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Handles a message from the same policy on another host."""

    def peer_messages(self, *, now: float) -> list[PeerMessage]:
        """Returns the messages to send now; each is returned once."""

    def next_deadline(self) -> float | None:
        """Returns when the policy must be called next, or None."""


SchedulerFactory = Callable[
    [ids.HostId, ids.DomainId, random_source.RandomSource], Scheduler
]
_POLICIES: dict[str, SchedulerFactory] = {}


def policy(name: str) -> Callable[[SchedulerFactory], SchedulerFactory]:
    """Registers a policy under the name that selects it in settings."""

    def register(factory: SchedulerFactory) -> SchedulerFactory:
        _POLICIES[name] = factory
        return factory

    return register


def policy_names() -> tuple[str, ...]:
    """Returns the names of all policies."""
    _load_policies()
    return tuple(_POLICIES)


def create(
    name: str,
    *,
    host: ids.HostId,
    domain: ids.DomainId,
    rng: random_source.RandomSource,
) -> Scheduler:
    """Returns a new scheduler of the named policy.

    Args:
        name: Name of the policy.
        host: Id of this host.
        domain: Failure domain of this host.
        rng: Source of random numbers.
    """
    _load_policies()
    return _POLICIES[name](host, domain, rng)


def _load_policies() -> None:
    # Policies import this module, so a top-level import would be circular.
    from godwitnotch.core import policies  # noqa: F401
