"""Messages between hosts about leased runs.

Times are seconds from now, since clocks of two hosts differ.
"""

from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core.leased import model


@dataclass(frozen=True, slots=True)
class Standing:
    """Whom the sender takes for the leader.

    Attributes:
        term: The highest term that the sender knows of.
        leader: The leader that the sender hears, or empty.
        rank: How well the sender is suited to lead; higher is better.
        draining: Whether the sender is leaving.
        serving: Whether the sender leads and holds upstreams.
    """

    term: model.Term
    leader: ids.HostId
    rank: int
    draining: bool
    serving: bool


@dataclass(frozen=True, slots=True)
class HostsKnown:
    """The hosts that the sender knows of."""

    hosts: tuple[model.KnownHost, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationWanted:
    """Asks for a configuration newer than a version, as the store is away."""

    newer_than: int


@dataclass(frozen=True, slots=True)
class ConfigurationCopy:
    """The newest configuration that the sender has read, as it was read."""

    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class UpstreamsCopy:
    """The list of upstreams as the leader sees it."""

    upstreams: tuple[model.LeasedUpstream, ...]


@dataclass(frozen=True, slots=True)
class UpstreamEvidence:
    """What the leader has learnt of an upstream from its runs.

    Attributes:
        upstream: Its id.
        slowness: The factor by which runs take longer there.
        ejections: How often in a row it was left alone because runs failed.
        paused_for_s: Gets no work for so long.
    """

    upstream: ids.UpstreamId
    slowness: float
    ejections: int
    paused_for_s: float


@dataclass(frozen=True, slots=True)
class UpstreamsLearnt:
    """What has changed of that since the leader last told."""

    upstreams: tuple[UpstreamEvidence, ...]


@dataclass(frozen=True, slots=True)
class JobHandedOver:
    """Hands a job to the leader; the sender remains the one that answers it.

    Attributes:
        request: The job.
        deadline_in_s: The caller waits so long.
        arrived_ago_s: The job came to its owner so long ago.
        earlier_runs_end_in_s: Runs ordered by an earlier leader are gone by then.
        had_earlier_leader: Whether an earlier leader had it.
    """

    request: model.JobRequest
    deadline_in_s: float
    arrived_ago_s: float
    earlier_runs_end_in_s: float
    had_earlier_leader: bool


@dataclass(frozen=True, slots=True)
class AllHandedOver:
    """All open jobs of the sender were handed to the leader of a term."""

    term: model.Term


@dataclass(frozen=True, slots=True)
class JobAnswered:
    """The leader's answer for the owner of a job."""

    job: model.JobName
    answer: model.Answer


@dataclass(frozen=True, slots=True)
class JobDropped:
    """The owner no longer wants a job: its runs are to be stopped."""

    job: model.JobName


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller cancels a job by its name, at a host that doesn't own it."""

    job: model.JobName


Message = (
    Standing
    | HostsKnown
    | ConfigurationWanted
    | ConfigurationCopy
    | UpstreamsCopy
    | UpstreamsLearnt
    | JobHandedOver
    | AllHandedOver
    | JobAnswered
    | JobDropped
    | JobCancelled
)
