"""Shared data types: jobs, answers, settings, directory and store rows."""

import enum
import hashlib
from collections.abc import Mapping

import msgspec

from godwitnotch.core import ids

MAX_TASKS_PER_JOB = 110


class Outcome(enum.Enum):
    """Status of a submission."""

    RESERVED = "reserved"  # The id is open; no job was submitted under it.
    RUNNING = "running"  # The job is queued or running.
    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"  # It is proven that no task of the job has started.
    UNKNOWN = "unknown"  # Tasks of the job may have started.


class Ran(enum.Enum):
    """Whether tasks of a submission have started."""

    NOTHING = "nothing"
    SOMETHING = "something"
    POSSIBLY = "possibly"


class Reason(enum.Enum):
    """Why a job was refused or failed, or why its status is unknown."""

    # Reasons for a refusal: no task has started. STORE_UNAVAILABLE and
    # KEY_PENDING leave the status of a job with an idempotency key unknown,
    # since an earlier call with the same key may have started tasks.
    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    INVALID_ID = "invalid_id"
    BODY_MISMATCH = "body_mismatch"
    NO_TEMPLATE = "no_template"
    NO_UPSTREAM = "no_upstream"
    NO_CONFIGURATION = "no_configuration"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_BEFORE_START = "deadline_before_start"
    DRAINING = "draining"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_PENDING = "key_pending"
    RESERVATION_EXPIRED = "reservation_expired"
    OWNER_SEALED = "owner_sealed"
    CANCELLED_BEFORE_START = "cancelled_before_start"
    # Reasons for a failure: tasks have started or may have started. A job with
    # RETRIES_EXHAUSTED is refused if none of its tasks may have started. With
    # ANSWER_NOT_KEPT, the status is unknown.
    CANCELLED = "cancelled"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TASK_FAILED = "task_failed"
    UPSTREAM_BROKE_OFF = "upstream_broke_off"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_BAD_ANSWER = "upstream_bad_answer"
    ANSWER_TOO_LARGE = "answer_too_large"
    RETRIES_EXHAUSTED = "retries_exhausted"
    SHUTDOWN_CUT = "shutdown_cut"
    ANSWER_NOT_KEPT = "answer_not_kept"
    # The status is unknown, since the owner of the id can't be reached or its
    # process has ended.
    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_GONE = "owner_gone"


class AttemptOutcome(enum.Enum):
    """How an attempt (one request to an upstream) ended."""

    ANSWERED = "answered"
    TASK_FAILED = "task_failed"  # The upstream ran the task and it failed.
    CONNECT_REFUSED = "connect_refused"
    NOTHING_SENT = "nothing_sent"  # No byte was passed to the kernel.
    REFUSED_FULL = "refused_full"  # Not started: the upstream is full.
    REFUSED_LEAVING = "refused_leaving"  # Not started: upstream is leaving.
    BROKE_OFF = "broke_off"  # Connection lost after the first byte was sent.
    TIMED_OUT = "timed_out"
    BAD_ANSWER = "bad_answer"  # Malformed, or for another task.
    ANSWER_TOO_LARGE = "answer_too_large"
    ABORTED = "aborted"  # This host closed the connection.


class TaskSpec(msgspec.Struct, frozen=True):
    """One task of a job.

    Attributes:
        payload: JSON text that is sent to the upstream as the request body.
        declared_ms: The caller's estimate of the run time, in milliseconds.
    """

    payload: bytes
    declared_ms: float | None = None


class JobBody(msgspec.Struct, frozen=True):
    """The content of a job; can't change after the job was submitted."""

    template: ids.TemplateName
    tasks: tuple[TaskSpec, ...]

    def digest(self) -> bytes:
        """Returns a digest of the template name and the payloads."""
        hasher = hashlib.blake2b(self.template.encode(), digest_size=16)
        for task in self.tasks:
            hasher.update(b"%d:" % len(task.payload))
            hasher.update(task.payload)
        return hasher.digest()


class JobAnswer(msgspec.Struct, frozen=True):
    """The answer to a caller about a submission.

    Attributes:
        submission: The submission id; empty if none was assigned.
        outcome: Status of the submission.
        ran: Whether tasks have started.
        reason: Why the job was refused or failed, or why its status is
            unknown; None for other outcomes.
        detail: The cause and what the caller can do about it.
        results: JSON texts in task order; either of all tasks or of none.
        retry_after_s: When to try again, in seconds from now; None if a retry
            can't help.
    """

    submission: ids.SubmissionId
    outcome: Outcome
    ran: Ran
    reason: Reason | None = None
    detail: str = ""
    results: tuple[bytes, ...] = ()
    retry_after_s: float | None = None


class Template(msgspec.Struct, frozen=True):
    """How tasks are sent to upstreams; each job names a template.

    Attributes:
        name: The name by which jobs refer to the template.
        path: Request path at the upstream.
        upstreams: Upstreams that may run the tasks; empty means all.
        max_wait_s: Maximum time that a caller may wait for a job, in seconds.
        idempotent: Whether a task may safely run twice. Informational: the
            dispatcher never starts a task twice.
        max_answer_bytes: Maximum size of an upstream's response to one task.
    """

    name: ids.TemplateName
    path: str
    upstreams: frozenset[ids.UpstreamId] = frozenset()
    max_wait_s: float = 30.0
    idempotent: bool = False
    max_answer_bytes: int = 65_536


class WorkspaceConfig(msgspec.Struct, frozen=True):
    """One recorded version of a workspace's settings.

    Attributes:
        workspace: The workspace.
        version: Number of the version; increases by one with each change.
        templates: The templates by name.
        token_sha256: SHA-256 of the callers' bearer token, in hexadecimal.
        max_running_tasks: Maximum number of running tasks, summed over all
            hosts; the workspace's quota.
        max_queued_tasks: Maximum number of queued tasks per host.
    """

    workspace: ids.WorkspaceId
    version: int
    templates: Mapping[ids.TemplateName, Template] = msgspec.field(
        default_factory=dict
    )
    token_sha256: str = ""
    max_running_tasks: int = 1_000
    max_queued_tasks: int = 10_000


class HostEntry(msgspec.Struct, frozen=True):
    """A host in the directory.

    Attributes:
        host: The host.
        domain: Failure domain of the host.
        incarnation: Incarnation of the host's process.
        address: Address for other hosts; empty if the host is known from a
            peer link only.
        leaving: Whether the host is leaving; a draining host is listed as
            leaving.
    """

    host: ids.HostId
    domain: ids.DomainId
    incarnation: ids.Incarnation
    address: str
    leaving: bool = False


class UpstreamEntry(msgspec.Struct, frozen=True):
    """An upstream in the directory.

    Attributes:
        upstream: The upstream.
        domain: Failure domain of the upstream.
        rack: Rack of the upstream.
        address: Address of the upstream.
        slots: Maximum number of tasks that the upstream runs at once.
        connections: Maximum number of connections that a host may open to the
            upstream.
        leaving: Whether the upstream is shutting down.
    """

    upstream: ids.UpstreamId
    domain: ids.DomainId
    rack: str
    address: str
    slots: int
    connections: int
    leaving: bool = False


class Directory(msgspec.Struct, frozen=True):
    """The platform's list of hosts and upstreams; updated with a delay."""

    hosts: tuple[HostEntry, ...] = ()
    upstreams: tuple[UpstreamEntry, ...] = ()


class Row(msgspec.Struct, frozen=True):
    """A row of the store; version 0 means that the row is absent."""

    key: str
    version: int
    value: bytes


class RowWrite(msgspec.Struct, frozen=True):
    """One write of a transaction.

    Attributes:
        key: Key of the row.
        value: The new value; None deletes the row.
        expected_version: The version that the row must have; 0 if the row
            must be absent, None for an unconditional write.
    """

    key: str
    value: bytes | None
    expected_version: int | None = None
