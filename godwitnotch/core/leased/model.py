"""Values that the decisions about leased runs share."""

import enum
from dataclasses import dataclass
from typing import NewType

from godwitnotch.core import ids

JobName = NewType("JobName", str)  # The caller's own id of a job.
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
# Orders with a lower term than an upstream has seen are rejected there.
Term = NewType("Term", int)
RunNumber = NewType("RunNumber", int)
UpstreamCallId = NewType("UpstreamCallId", int)


class JobEnd(enum.Enum):
    """What a caller is told about a job."""

    COMPLETED = "completed"
    FAILED = "failed"  # A task failed as often as its route allows.
    REFUSED = "refused"  # No task of it has started.
    GIVEN_UP = "given_up"  # Something may have run, and was stopped.


class EndReason(enum.Enum):
    """Why a job was refused, failed or given up; each is counted."""

    NONE = "none"
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    MALFORMED_JOB = "malformed_job"
    SHAPE_NOT_SERVED = "shape_not_served"
    NO_LEADER = "no_leader"
    LEADER_LOST = "leader_lost"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    TASK_FAILED = "task_failed"
    DEADLINE_PASSED = "deadline_passed"
    DRAINING = "draining"
    CANCELLED = "cancelled"


class RunEnd(enum.Enum):
    """How a run ended at its upstream."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    OTHER = "other"


class OrderRefusal(enum.Enum):
    """Why an upstream rejected an order; it has then done nothing."""

    TERM = "term"  # It has seen a higher term.
    OLD_RUN = "old_run"  # A run as high was stopped or has ended there.
    LATE = "late"  # The order's deadline had passed.
    FULL = "full"
    OTHER_INSTANCE = "other_life"  # Another process answers at the address.
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Resources:
    """What a task needs, or an upstream has."""

    cpu_millis: int
    memory_mb: int
    gpus: int

    def fits_in(self, available: "Resources") -> bool:
        """Returns whether this fits into some room."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


@dataclass(frozen=True, slots=True)
class TaskGroup:
    """The like tasks of a job.

    Attributes:
        count: How many tasks.
        needs: Resources of each.
        estimate_ms: The caller's rough estimate of a task's run time.
        required_label: Label that an upstream must have, or empty.
        preferred_rack: Where the data lies, or empty.
        max_per_upstream: Tasks on one upstream at most; 0 for any number.
    """

    count: int
    needs: Resources
    estimate_ms: float
    required_label: str
    preferred_rack: str
    max_per_upstream: int


@dataclass(frozen=True, slots=True)
class RouteSettings:
    """What a route's configuration says of its jobs.

    Attributes:
        route: Name of the route.
        service: Service whose upstreams run the tasks.
        priority: 0 goes first.
        max_failures: A task that failed so often fails its job.
        stretch: Aimed response time, as a multiple of the run time.
        target_ms: Added to that aim.
    """

    route: RouteName
    service: ServiceName
    priority: int
    max_failures: int
    stretch: float
    target_ms: float


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job as its caller sent it, with the terms of its route."""

    job: JobName
    spec: str
    tasks: TaskGroup
    settings: RouteSettings


@dataclass(frozen=True, slots=True)
class LeasedUpstream:
    """An upstream in the platform's list.

    Attributes:
        upstream: Its id, which a restart may keep.
        address: IP number and port.
        domain: Its failure domain.
        service: The service that it runs.
        slots: Runs at one time at most.
        capacity: Resources that it has.
        labels: Its kind, its rack and others.
        draining: Whether it is leaving.
    """

    upstream: ids.UpstreamId
    address: str
    domain: ids.DomainId
    service: ServiceName
    slots: int
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool


@dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Names a task of a job."""

    job: JobName
    index: int


@dataclass(frozen=True, slots=True)
class RunKey:
    """Names one run of a task."""

    task: TaskKey
    run: RunNumber


@dataclass(frozen=True, slots=True)
class EndedRun:
    """An end that an upstream lists; numbered from 1 in each of its lives."""

    number: int
    key: RunKey
    end: RunEnd


@dataclass(frozen=True, slots=True)
class RunList:
    """What an upstream says that it runs, and what has ended there.

    Attributes:
        clock_ms: The upstream's own clock when it answered.
        instance_started_ms: When this life of the upstream began; 0 if it doesn't say.
        running: The runs there.
        ended: Ends that were not acknowledged yet.
    """

    clock_ms: int
    instance_started_ms: int
    running: tuple[RunKey, ...]
    ended: tuple[EndedRun, ...]


@dataclass(frozen=True, slots=True)
class KnownHost:
    """How another host is reached."""

    host: ids.HostId
    domain: ids.DomainId


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller is told.

    Attributes:
        end: What became of the job.
        reason: Why it wasn't completed.
        retry_after_s: When to come back, if nothing of it ran.
    """

    end: JobEnd
    reason: EndReason = EndReason.NONE
    retry_after_s: float = 0.0
