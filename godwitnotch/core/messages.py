"""Messages between hosts; `net.codec` encodes them.

A message holds times as seconds from now, since the clocks of two hosts
differ. The receiver converts them to deadlines of its own clock at once.
"""

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core.leased import peer_messages

PROTOCOL_VERSION = 3


class Hello(msgspec.Struct, frozen=True):
    """The first message on a link, sent by both sides.

    Attributes:
        version: Protocol version of the sender.
        host: The sender.
        domain: Failure domain of the sender.
        incarnation: Incarnation of the sender's process.
    """

    version: int
    host: ids.HostId
    domain: ids.DomainId
    incarnation: ids.Incarnation


class Heartbeat(msgspec.Struct, frozen=True):
    """Shows that the sender's event loop is running.

    Attributes:
        config_counter: Number of the last configuration change that the
            sender has applied.
        draining: Whether the sender is draining, so it accepts no new jobs.
        interval_s: Maximum time until the sender's next heartbeat, in
            seconds.
        probe: Whether the receiver must reply with a heartbeat at once.
    """

    config_counter: int
    draining: bool
    interval_s: float = 1.0
    probe: bool = False


class ForwardSubmit(msgspec.Struct, frozen=True):
    """Forwards a job to the owner of its id.

    Attributes:
        call: Id of the call; chosen by the sender.
        workspace: The caller's workspace.
        submission: The id of the job.
        body: The job.
        timeout_s: Time that is left until the caller stops waiting, in
            seconds.
    """

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId
    body: model.JobBody
    timeout_s: float


class ForwardStatus(msgspec.Struct, frozen=True):
    """Asks the owner of an id for the status of the submission."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId


class ForwardCancel(msgspec.Struct, frozen=True):
    """Asks the owner of an id to cancel the submission."""

    call: ids.CallId
    workspace: ids.WorkspaceId
    submission: ids.SubmissionId


class ForwardReply(msgspec.Struct, frozen=True):
    """Replies to a forwarded call.

    Attributes:
        call: Id of the call, as chosen by the forwarding host.
        answer: The answer for the caller.
    """

    call: ids.CallId
    answer: model.JobAnswer


class ConfigChanged(msgspec.Struct, frozen=True):
    """Announces a recorded configuration change.

    Attributes:
        counter: Number of the change.
    """

    counter: int


class ConfigApplied(msgspec.Struct, frozen=True):
    """Confirms that the sender has applied all changes up to `counter`.

    Attributes:
        counter: Number of the last applied change.
    """

    counter: int


class ConfigWanted(msgspec.Struct, frozen=True):
    """Asks a peer for its configuration because the sender has none."""


class ConfigSnapshot(msgspec.Struct, frozen=True):
    """The sender's configuration.

    Attributes:
        counter: Number of the last applied change.
        configs: The settings of all workspaces.
    """

    counter: int
    configs: tuple[model.WorkspaceConfig, ...]


class DirectoryWanted(msgspec.Struct, frozen=True):
    """Asks for the directory because the sender can't reach the platform."""


class DirectorySnapshot(msgspec.Struct, frozen=True):
    """The latest directory that the sender has."""

    directory: model.Directory


class SlotsWanted(msgspec.Struct, frozen=True):
    """A borrower reports its use of an upstream's slots and its demand.

    One host, the lender, lends the slots of an upstream to other hosts, the
    borrowers.

    Attributes:
        upstream: The upstream.
        in_use: Number of slots that the borrower holds, used or not.
        wanted: Number of slots that the borrower wants in total.
        serial: Serial number of the last `SlotsLent` that the borrower
            received.
    """

    upstream: ids.UpstreamId
    in_use: int
    wanted: int
    serial: int = 0


class SlotsLent(msgspec.Struct, frozen=True):
    """A lender tells a borrower how many slots of an upstream it may use.

    Attributes:
        upstream: The upstream.
        allowed: Number of slots that the borrower may use.
        serial: Serial number of the last change of `allowed`; a repeated
            message has the same number.
        slowness: Slowness of the upstream as seen by the lender, in the unit
            of `SlotsAsked.max_slowness`.
    """

    upstream: ids.UpstreamId
    allowed: int
    serial: int = 0
    slowness: int = 0


class SlotsAsked(msgspec.Struct, frozen=True):
    """A borrower asks for more slots of any upstreams that the peer lends.

    Unlike `SlotsWanted`, it names no upstream.

    Attributes:
        count: Number of slots.
        max_slowness: Maximum slowness of the upstreams: 100 times the natural
            logarithm of an upstream's run time over that of an average
            upstream.
    """

    count: int
    max_slowness: int


class SlotsBatch(msgspec.Struct, frozen=True):
    """A batch of messages about slots."""

    wanted: tuple[SlotsWanted, ...]
    lent: tuple[SlotsLent, ...]


class QuotaWanted(msgspec.Struct, frozen=True):
    """Like `SlotsWanted`, for a workspace's quota of running tasks.

    Attributes:
        workspace: The workspace.
        in_use: Number of tasks of the quota that the borrower holds, running or
            not.
        wanted: Number of tasks of the quota that the borrower wants in total.
        serial: Serial number of the last `QuotaLent` that the borrower
            received.
        limit: The whole quota, since the lender may not know the workspace.
    """

    workspace: ids.WorkspaceId
    in_use: int
    wanted: int
    serial: int = 0
    limit: int = 0


class QuotaLent(msgspec.Struct, frozen=True):
    """Like `SlotsLent`, for a workspace's quota of running tasks."""

    workspace: ids.WorkspaceId
    allowed: int
    serial: int = 0


# Messages that peer links and runtimes handle without the host core.
TransportMessage = Hello | DirectoryWanted | DirectorySnapshot
# Messages between the schedulers of two hosts.
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
# All messages of peer links, including those about leased runs.
LinkMessage = Message | peer_messages.Message
