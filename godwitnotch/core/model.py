"""Values that the decisions share: jobs, answers, templates, directory."""

import enum
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import ids

MAX_TASKS_PER_JOB = 110


class Outcome(enum.Enum):
    """What became of a submission."""

    RESERVED = "reserved"  # The id is open; nothing was submitted under it.
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"  # Proven that no task of the submission started.
    UNKNOWN = "unknown"  # Tasks of the submission may have started.


class Ran(enum.Enum):
    """Whether tasks of a submission have started."""

    NOTHING = "nothing"
    SOMETHING = "something"
    POSSIBLY = "possibly"


class Reason(enum.Enum):
    """Why a job was refused, failed or is unknown, or an attempt retried."""

    # Refusals and closed ids: nothing ran.
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
    # Failures: something ran, or may have run.
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
    # The owner of the id can't be asked.
    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_GONE = "owner_gone"


class AttemptOutcome(enum.Enum):
    """How one request to an upstream ended."""

    ANSWERED = "answered"
    TASK_FAILED = "task_failed"  # The upstream ran the task; it failed.
    CONNECT_REFUSED = "connect_refused"
    NOTHING_SENT = "nothing_sent"  # No byte was handed to the kernel.
    REFUSED_FULL = "refused_full"  # The upstream's own "not started".
    REFUSED_LEAVING = "refused_leaving"  # Likewise.
    BROKE_OFF = "broke_off"  # Connection lost after the first byte.
    TIMED_OUT = "timed_out"
    BAD_ANSWER = "bad_answer"
    ANSWER_TOO_LARGE = "answer_too_large"
    ABORTED = "aborted"  # This host closed the connection.


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """One task of a job.

    Attributes:
        payload: JSON text sent to the upstream as the request body.
        declared_ms: The caller's own estimate of the run time.
    """

    payload: bytes
    declared_ms: float | None = None


@dataclass(frozen=True, slots=True)
class JobBody:
    """What a caller submits under an id; fixed once submitted."""

    template: ids.TemplateName
    tasks: tuple[TaskSpec, ...]

    def digest(self) -> bytes:
        """Returns a digest that tells this body from any other."""
        hasher = hashlib.blake2b(self.template.encode(), digest_size=16)
        for task in self.tasks:
            hasher.update(b"%d:" % len(task.payload))
            hasher.update(task.payload)
        return hasher.digest()


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """What a caller is told about a submission.

    Attributes:
        submission: The submission id; empty where none was assigned.
        outcome: What became of the submission.
        ran: Whether tasks started.
        reason: Why, unless complete, running or reserved.
        detail: A sentence that names the cause and the remedy.
        results: JSON texts in task order; all of them, or none.
        retry_after_s: When to come back, in seconds from now; None where
            coming back can't help.
    """

    submission: ids.SubmissionId
    outcome: Outcome
    ran: Ran
    reason: Reason | None = None
    detail: str = ""
    results: tuple[bytes, ...] = ()
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Template:
    """How the tasks of one kind are sent.

    Attributes:
        name: The name that callers give.
        path: Request path at the upstream.
        upstreams: Upstreams that may serve it; empty means all.
        max_wait_s: Longest time that a caller may wait for a job, in seconds.
        idempotent: Whether the upstream may safely see a task twice. The
            dispatcher starts no task twice in either case.
        max_answer_bytes: Largest accepted answer to one task.
    """

    name: ids.TemplateName
    path: str
    upstreams: frozenset[ids.UpstreamId] = frozenset()
    max_wait_s: float = 30.0
    idempotent: bool = False
    max_answer_bytes: int = 65_536


@dataclass(frozen=True, slots=True)
class WorkspaceConfig:
    """One recorded version of a workspace's settings.

    Attributes:
        workspace: The workspace.
        version: Number of the version, rising by one with each change.
        templates: The templates by name.
        token_sha256: Hex digest of the callers' bearer token.
        max_running_tasks: Quota of tasks under way, over all hosts.
        max_queued_tasks: Bound of tasks waiting on one host.
    """

    workspace: ids.WorkspaceId
    version: int
    templates: Mapping[ids.TemplateName, Template] = field(default_factory=dict)
    token_sha256: str = ""
    max_running_tasks: int = 1_000
    max_queued_tasks: int = 10_000


@dataclass(frozen=True, slots=True)
class HostEntry:
    """An entry host in the platform's list."""

    host: ids.HostId
    domain: ids.DomainId
    incarnation: ids.Incarnation
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream in the platform's list."""

    upstream: ids.UpstreamId
    domain: ids.DomainId
    rack: str
    address: str
    slots: int
    connections: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Directory:
    """The platform's list of live and leaving hosts; it lags."""

    hosts: tuple[HostEntry, ...] = ()
    upstreams: tuple[UpstreamEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; version 0 stands for an absent row."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class RowWrite:
    """One write of a transaction.

    Attributes:
        key: Key of the row.
        value: The new value; None deletes the row.
        expected_version: The version that the row must have; 0 if it must be
            absent, None if any will do.
    """

    key: str
    value: bytes | None
    expected_version: int | None = None
