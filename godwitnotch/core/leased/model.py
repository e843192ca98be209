"""Value types for leased runs: jobs, tasks, runs, upstreams and answers."""

import enum
from typing import NewType

import msgspec

from godwitnotch.core import ids

JobName = NewType("JobName", str)  # Chosen by the caller.
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
# An upstream rejects orders of a lower term than the highest that it has seen.
Term = NewType("Term", int)
RunNumber = NewType("RunNumber", int)
UpstreamCallId = NewType("UpstreamCallId", int)
# A group of upstreams with one leader: a failure domain, or the whole fleet.
CellId = NewType("CellId", str)


class JobEnd(enum.Enum):
    """How a job ended; a part of the answer to its caller."""

    COMPLETED = "completed"
    # A task failed max_failures times or crashes upstreams, or the job was
    # cancelled or malformed.
    FAILED = "failed"
    REFUSED = "refused"  # No task has started.
    GIVEN_UP = "given_up"  # Tasks may have run; running tasks are stopped.


class EndReason(enum.Enum):
    """Why a job was refused, failed or given up; a label in the metrics."""

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
    TASK_CRASHES_UPSTREAMS = "task_crashes_upstreams"
    UPSTREAM_LOST = "upstream_lost"
    DEADLINE_PASSED = "deadline_passed"
    DRAINING = "draining"
    CANCELLED = "cancelled"


class RunEnd(enum.Enum):
    """How a run ended at its upstream, or why the leader takes it for ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lapsed"  # The upstream reports that the lease has expired.
    LEASE_EXPIRED = "lease_expired"  # By the leader's clock.
    MISSING = "missing"  # The upstream's list lacks the run.
    CRASHED = "crashed"  # Another process answers in place of the upstream's.
    OTHER = "other"


class OrderRejection(enum.Enum):
    """Why an upstream rejected an order, which then has no effect."""

    TERM = "term"  # The upstream has seen a higher term.
    OLD_RUN = "old_run"  # A run of the task with this or a higher number ended.
    LATE = "late"  # The order's deadline had passed.
    FULL = "full"
    OTHER_INSTANCE = "other_process"  # Another process responds at the address.
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"
    RESTARTED = "restarted"  # The upstream's process is a new one.
    NOT_SENT = "not_sent"  # The upstream accepted no connection.


class CallFailure(enum.Enum):
    """Why a call to an upstream has no response; written to the log."""

    REFUSED = "refused"  # The address accepts no connection: nobody listens.
    NOT_CONNECTED = "not_connected"  # No connection in time.
    CLOSED = "closed"  # The connection was closed or reset.
    TIMED_OUT = "timed_out"
    # A response that proves nothing, or a fault of the host that sent the call.
    UNREADABLE = "unreadable"
    RELAY_LOST = "relay_lost"  # The link to the relay closed.
    RELAY_SILENT = "relay_silent"  # The relay sent no result in time.
    RELAY_REFUSED = "relay_refused"  # The relay follows another leader.

    @property
    def not_sent(self) -> bool:
        """Whether no byte of the call was sent, and none will be."""
        return self in (
            CallFailure.REFUSED,
            CallFailure.NOT_CONNECTED,
            CallFailure.RELAY_REFUSED,
        )


class Resources(msgspec.Struct, frozen=True):
    """Resources that a task needs or that an upstream has.

    Attributes:
        cpu_millis: CPU cores, in thousandths.
        memory_mb: Memory in MB.
        gpus: Number of GPUs.
    """

    cpu_millis: int
    memory_mb: int
    gpus: int

    def fits_in(self, available: "Resources") -> bool:
        """Returns whether these resources are available."""
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


class TaskGroup(msgspec.Struct, frozen=True):
    """The tasks of a job, which all need the same resources.

    Attributes:
        count: Number of tasks.
        needs: Resources that each task needs.
        estimate_ms: The caller's rough estimate of a task's run time; 0 if
            none was given.
        required_label: Label that an upstream must have; empty if none.
        preferred_rack: Rack that holds the data; empty if none.
        max_per_upstream: Maximum number of tasks on one upstream; 0 for no
            maximum.
    """

    count: int
    needs: Resources
    estimate_ms: float
    required_label: str
    preferred_rack: str
    max_per_upstream: int


class RouteSettings(msgspec.Struct, frozen=True):
    """What a route's configuration sets for its jobs.

    Attributes:
        route: Name of the route.
        service: Service whose upstreams run the tasks.
        priority: Priority of the jobs; 0 is the highest.
        max_failures: How many failed runs of one task fail the job.
        stretch: Target response time as a multiple of the run time.
        target_ms: Time that is added to that multiple, in ms.
    """

    route: RouteName
    service: ServiceName
    priority: int
    max_failures: int
    stretch: float
    target_ms: float


class JobRequest(msgspec.Struct, frozen=True):
    """A job as its caller sent it, with the settings of its route."""

    job: JobName
    spec: str
    tasks: TaskGroup
    settings: RouteSettings


class LeasedUpstream(msgspec.Struct, frozen=True):
    """An upstream, as an entry in the platform's list of upstreams.

    Attributes:
        upstream: Id of the upstream; a restarted upstream may keep its id.
        address: IP address and port.
        domain: Failure domain of the upstream.
        service: Service whose tasks the upstream runs.
        slots: Maximum number of runs at one time.
        capacity: All resources of the upstream.
        labels: The first label is the kind of the upstream, by which run times
            are averaged; the others name its rack and other properties.
        draining: Whether it is shutting down and accepts no new runs.
        instance_started_ms: When the instance that the entry describes started,
            by its own clock; 0 if the entry doesn't state it.
    """

    upstream: ids.UpstreamId
    address: str
    domain: ids.DomainId
    service: ServiceName
    slots: int
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    instance_started_ms: int = 0


class UpstreamAddress(msgspec.Struct, frozen=True):
    """What a call needs to know of an upstream.

    Attributes:
        upstream: Id of the upstream.
        address: IP address and port.
    """

    upstream: ids.UpstreamId
    address: str


CalledUpstream = LeasedUpstream | UpstreamAddress


class UpstreamInstance(msgspec.Struct, frozen=True):
    """One instance of an upstream; a restart under the same id is another one.

    Attributes:
        upstream: Id of the upstream.
        started_ms: When it started, by its own clock; 0 if not known.
    """

    upstream: ids.UpstreamId
    started_ms: int


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a task of a job."""

    job: JobName
    index: int


class RunKey(msgspec.Struct, frozen=True):
    """Identifies one run of a task."""

    task: TaskKey
    run: RunNumber

    def pairs(self) -> str:
        """Returns the task and the run as key=value pairs for the log."""
        return f"task={self.task.index} run={self.run}"


class EndedRun(msgspec.Struct, frozen=True):
    """An ended run in an upstream's list.

    Attributes:
        number: Serial number of the end, counted from 1 in each instance of the
            upstream; not the run number in `key`.
        key: The run.
        end: How it ended.
    """

    number: int
    key: RunKey
    end: RunEnd


class RunList(msgspec.Struct, frozen=True):
    """An upstream's list of its active and ended runs.

    Attributes:
        clock_ms: The upstream's own clock when it responded.
        instance_started_ms: When the upstream's process started, by its own
            clock; 0 if not known.
        running: The active runs.
        ended: The ended runs that the leader has not acknowledged yet.
    """

    clock_ms: int
    instance_started_ms: int
    running: tuple[RunKey, ...]
    ended: tuple[EndedRun, ...]


class KnownHost(msgspec.Struct, frozen=True):
    """A host and its failure domain, which is empty while not known.

    The id of the host is the address at which other hosts link to it.
    """

    host: ids.HostId
    domain: ids.DomainId


class Answer(msgspec.Struct, frozen=True):
    """The answer to the caller of a job.

    Attributes:
        end: How the job ended.
        reason: Why the job wasn't completed.
        retry_after_s: When the caller should retry a refused job.
    """

    end: JobEnd
    reason: EndReason = EndReason.NONE
    retry_after_s: float = 0.0
