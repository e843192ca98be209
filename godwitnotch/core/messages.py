"""Messages between hosts, as typed values; `net.codec` puts them on the wire.

Times on the wire are seconds from now, since clocks of two hosts differ; a
receiver turns them into deadlines of its own at once.
"""

from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core.leased import peer_messages

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a link, both ways."""

    version: int
    host: ids.HostId
    domain: ids.DomainId
    incarnation: ids.Incarnation


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender's loop still turns.

    Attributes:
        config_counter: Changes of configuration in force at the sender.
        draining: Whether the sender takes no new jobs.
        interval_s: The sender's next heartbeat comes within this time.
        probe: Whether the receiver is to send one back at once.
    """

    config_counter: int
    draining: bool
    interval_s: float = 1.0
    probe: bool = False


@dataclass(frozen=True, slots=True)
class ForwardSubmit:
    """Hands a job to the owner of its id."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId
    body: model.JobBody
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ForwardStatus:
    """Asks the owner of an id what became of it."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId


@dataclass(frozen=True, slots=True)
class ForwardCancel:
    """Asks the owner of an id to cancel it."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """Answers a forwarded exchange."""

    call: ids.CallId
    answer: model.JobAnswer


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """Tells that a configuration change was recorded at this counter."""

    counter: int


@dataclass(frozen=True, slots=True)
class ConfigApplied:
    """Tells that all changes up to this counter are in force here."""

    counter: int


@dataclass(frozen=True, slots=True)
class ConfigWanted:
    """A starting host asks for the peer's configuration."""


@dataclass(frozen=True, slots=True)
class ConfigSnapshot:
    """The peer's configuration."""

    counter: int
    configs: tuple[model.WorkspaceConfig, ...]


@dataclass(frozen=True, slots=True)
class DirectoryWanted:
    """A host that can't reach the platform asks for the list of hosts."""


@dataclass(frozen=True, slots=True)
class DirectorySnapshot:
    """The latest list of hosts and upstreams that the peer has."""

    directory: model.Directory


@dataclass(frozen=True, slots=True)
class SlotsWanted:
    """A borrower tells a holder what it uses and would use of an upstream.

    Attributes:
        upstream: The upstream.
        in_use: Slots that the borrower may use and hasn't given back.
        wanted: Slots that it would use.
        serial: Serial of the last `SlotsLent` that it saw.
    """

    upstream: ids.UpstreamId
    in_use: int
    wanted: int
    serial: int = 0


@dataclass(frozen=True, slots=True)
class SlotsLent:
    """A holder tells a borrower how many slots of an upstream it may use.

    Attributes:
        upstream: The upstream.
        allowed: Slots that the borrower may use.
        serial: Rises by one with each change of the loan.
        slowness: How much slower than the average the holder finds it; see
            `SlotsAsked`.
    """

    upstream: ids.UpstreamId
    allowed: int
    serial: int = 0
    slowness: int = 0


@dataclass(frozen=True, slots=True)
class SlotsAsked:
    """A borrower would use more slots of any upstreams that the peer holds.

    Attributes:
        count: Number of slots.
        max_slowness: How much slower than the average an upstream may be, as the
            natural logarithm of the ratio of run times, in hundredths.
    """

    count: int
    max_slowness: int


@dataclass(frozen=True, slots=True)
class SlotsBatch:
    """Several messages about slots in one."""

    wanted: tuple[SlotsWanted, ...]
    lent: tuple[SlotsLent, ...]


@dataclass(frozen=True, slots=True)
class QuotaWanted:
    """The same as `SlotsWanted`, of a workspace's quota of running tasks.

    Attributes:
        workspace: The workspace.
        in_use: Part of the quota that the borrower may use.
        wanted: Part that it would use.
        serial: Serial of the last `QuotaLent` that it saw.
        limit: The whole quota, as the holder may not know the workspace.
    """

    workspace: ids.WorkspaceId
    in_use: int
    wanted: int
    serial: int = 0
    limit: int = 0


@dataclass(frozen=True, slots=True)
class QuotaLent:
    """The same as `SlotsLent`, of a workspace's quota of running tasks."""

    workspace: ids.WorkspaceId
    allowed: int
    serial: int = 0


# What links and runtimes deal with themselves.
TransportMessage = Hello | DirectoryWanted | DirectorySnapshot
# What the schedulers of two hosts say to each other.
SchedulerMessage = (
    SlotsWanted | SlotsLent | SlotsAsked | SlotsBatch | QuotaWanted | QuotaLent
)
Message = (
    TransportMessage
    | Heartbeat
    | ForwardSubmit
    | ForwardStatus
    | ForwardCancel
    | ForwardReply
    | ConfigChanged
    | ConfigApplied
    | ConfigWanted
    | ConfigSnapshot
    | SchedulerMessage
)
# What a link carries for either way of serving.
LinkMessage = Message | peer_messages.Message
