"""Messages between hosts about leased runs.

Times are sent relative to the time of sending, as the clocks of hosts differ.
"""

from collections.abc import Iterator

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import cell_load
from godwitnotch.core.leased import explanation
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_results


class Standing(msgspec.Struct, frozen=True):
    """The sender's view of the leadership.

    Attributes:
        term: The highest term that the sender knows.
        leader: The leader that the sender follows; empty if none.
        rank: How well the sender is suited to lead; higher is better.
        draining: Whether the sender drains.
        serving: Whether the sender leads and holds leases.
    """

    term: model.Term
    leader: ids.HostId
    rank: int
    draining: bool
    serving: bool


class HostsKnown(msgspec.Struct, frozen=True):
    """The hosts that the sender knows."""

    hosts: tuple[model.KnownHost, ...]


class ConfigurationWanted(msgspec.Struct, frozen=True):
    """Requests the receiver's configuration if it is newer.

    Attributes:
        newer_than: Version of the sender's configuration.
    """

    newer_than: int


class ConfigurationCopy(msgspec.Struct, frozen=True):
    """The sender's newest configuration.

    Attributes:
        version: Version of the configuration.
        document: The configuration as the store provided it.
    """

    version: int
    document: bytes


class ListedUpstreams(msgspec.Struct, frozen=True):
    """The leader's list of usable upstreams."""

    upstreams: tuple[model.LeasedUpstream, ...]


class UpstreamEntry(msgspec.Struct, frozen=True):
    """An entry that doesn't state which instance it describes.

    See `model.LeasedUpstream`.
    """

    upstream: ids.UpstreamId
    address: str
    domain: ids.DomainId
    service: model.ServiceName
    slots: int
    capacity: model.Resources
    labels: tuple[str, ...]
    draining: bool


class UpstreamsCopy(msgspec.Struct, frozen=True):
    """`ListedUpstreams` as hosts of the former release send it."""

    upstreams: tuple[UpstreamEntry, ...]

    def listed(self) -> tuple[model.LeasedUpstream, ...]:
        """Returns the entries, whose instances aren't known."""
        return tuple(
            model.LeasedUpstream(*msgspec.structs.astuple(entry))
            for entry in self.upstreams
        )


class UpstreamEvidence(msgspec.Struct, frozen=True):
    """What the leader has learnt of an upstream from its runs.

    Attributes:
        upstream: Id of the upstream.
        slowness: Factor by which runs take longer there than on average.
        ejections: How often it was ejected since the last successful run.
        unusable_for_s: How long it gets no runs.
    """

    upstream: ids.UpstreamId
    slowness: float
    ejections: int
    unusable_for_s: float


class UpstreamsLearnt(msgspec.Struct, frozen=True):
    """The leader's evidence on upstreams: all of it, or what has changed."""

    upstreams: tuple[UpstreamEvidence, ...]


class UpstreamLoss(msgspec.Struct, frozen=True):
    """An upstream that was lost while a task ran there.

    Attributes:
        upstream: Id of the upstream.
        instance_started_ms: When its process started, by its own clock; 0 if
            not known.
        refused: Whether its address refused connections.
        crashed: Whether a crash is proven.
    """

    upstream: ids.UpstreamId
    instance_started_ms: int
    refused: bool
    crashed: bool


class FailedRun(msgspec.Struct, frozen=True):
    """A failed run of a task, at an upstream."""

    upstream: ids.UpstreamId
    run: model.RunNumber


class TaskHistory(msgspec.Struct, frozen=True):
    """What earlier runs of one task have shown, as far as the sender knows.

    Attributes:
        task: The task.
        failed_runs: Its runs that have failed.
        losses: The upstreams that were lost under it.
    """

    task: model.TaskKey
    failed_runs: tuple[FailedRun, ...]
    losses: tuple[UpstreamLoss, ...]


class TasksLearnt(msgspec.Struct, frozen=True):
    """The leader's records of tasks: all of them, or what has changed."""

    tasks: tuple[TaskHistory, ...]


class UnfinishedRuns(msgspec.Struct, frozen=True):
    """Runs without a known end that the sender left as it stopped leading.

    Attributes:
        tasks: Their tasks, with the upstreams as losses that aren't proven.
    """

    tasks: tuple[TaskHistory, ...]


class JobHandedOver(msgspec.Struct, frozen=True):
    """Hands a job over to the leader; the sender still answers its caller.

    Attributes:
        request: The job.
        deadline_in_s: How long the caller still waits.
        arrived_ago_s: How long ago the job reached its owner.
        earlier_runs_end_in_s: Time until all runs of earlier leaders have
            ended; 0 if there are none.
        earlier_term: Highest term of the earlier leaders that had the job; 0 if
            there are none.
    """

    request: model.JobRequest
    deadline_in_s: float
    arrived_ago_s: float
    earlier_runs_end_in_s: float
    earlier_term: model.Term

    @property
    def had_earlier_leader(self) -> bool:
        """Whether the job was handed to an earlier leader."""
        return self.earlier_term > 0


class AllHandedOver(msgspec.Struct, frozen=True):
    """The sender has handed all its open jobs over to the leader of a term."""

    term: model.Term


class JobDeadlineMoved(msgspec.Struct, frozen=True):
    """The owner of a job has to answer it sooner than it said.

    Attributes:
        job: The job.
        deadline_in_s: How long the owner still waits.
    """

    job: model.JobName
    deadline_in_s: float


class JobAnswered(msgspec.Struct, frozen=True):
    """The leader's answer for the owner of a job."""

    job: model.JobName
    answer: model.Answer


class JobDropped(msgspec.Struct, frozen=True):
    """The owner has dropped a job; the leader stops its runs."""

    job: model.JobName


class JobCancelled(msgspec.Struct, frozen=True):
    """A caller has cancelled a job at a host that doesn't own it.

    The receiver confirms that it remembers the cancel.
    """

    job: model.JobName


class JobsCancelled(msgspec.Struct, frozen=True):
    """Callers have cancelled these jobs; no host may start them any more."""

    jobs: tuple[model.JobName, ...]


class CancelConfirmed(msgspec.Struct, frozen=True):
    """The sender remembers a cancel that `JobCancelled` has told.

    Attributes:
        job: The job.
        found: Whether the sender had the job, and has ended it.
    """

    job: model.JobName
    found: bool


class FleetDivided(msgspec.Struct, frozen=True):
    """Each failure domain has a leader of its own from now on."""


class DomainsEvacuated(msgspec.Struct, frozen=True):
    """The failure domains in which no task may start.

    Attributes:
        version: Version of the store at which the set was read.
        domains: All evacuated domains.
    """

    version: int
    domains: frozenset[ids.DomainId]


class JobRedirected(msgspec.Struct, frozen=True):
    """The sender has started no task of a job; another leader takes it sooner.

    Attributes:
        job: The job.
        leader: The leader of the other cell.
    """

    job: model.JobName
    leader: ids.HostId


class JobMoved(msgspec.Struct, frozen=True):
    """Hands a job over that was handed to the leader of another cell before.

    Attributes:
        job: The job.
        redirected: Whether that leader has redirected it.
        may_run_elsewhere: Whether tasks may have been started in that cell.
    """

    job: JobHandedOver
    redirected: bool
    may_run_elsewhere: bool


class RelayedStart(msgspec.Struct, frozen=True):
    """An order to start a run, see `actions.StartRun`.

    The fields are flat, which halves the time to encode them.

    Attributes:
        call: Id of the leader's call.
        upstream: Id of the upstream.
        address: IP address and port of the upstream.
        job: Job of the task.
        index: Index of the task in the job.
        run: Number of the run.
        spec: Index of the spec in the message.
        deadline_ms: New end of the lease by the upstream's clock.
        instance_started_ms: When the instance started that is meant.
    """

    call: model.UpstreamCallId
    upstream: ids.UpstreamId
    address: str
    job: model.JobName
    index: int
    run: model.RunNumber
    spec: int
    deadline_ms: int
    instance_started_ms: int


class RelayedStop(msgspec.Struct, frozen=True):
    """An order to stop a run, see `actions.StopRun`."""

    call: model.UpstreamCallId
    upstream: ids.UpstreamId
    address: str
    job: model.JobName
    index: int
    run: model.RunNumber


class RelayedRenewal(msgspec.Struct, frozen=True):
    """A request for a list of runs, see `actions.RenewLease`."""

    call: model.UpstreamCallId
    upstream: ids.UpstreamId
    address: str
    acknowledged_end: int
    deadline_ms: int | None
    wait_ms: int
    instance_started_ms: int


class OrdersRelayed(msgspec.Struct, frozen=True):
    """Orders of the leader that the receiver sends to the upstreams.

    Attributes:
        term: The leader's term.
        specs: The specs of the runs to start, each once.
        starts: Runs to start.
        stops: Runs to stop.
        renewals: Requests for lists of runs.
    """

    term: model.Term
    specs: tuple[str, ...]
    starts: tuple[RelayedStart, ...]
    stops: tuple[RelayedStop, ...]
    renewals: tuple[RelayedRenewal, ...]


class OrderResults(msgspec.Struct, frozen=True):
    """The results of orders that the sender has sent for the leader.

    Attributes:
        term: The term of the orders.
        taken: Orders that the upstreams have accepted.
        rejected: Orders that have no effect.
        unanswered: Orders that may or may not be executed, unless the failure
            says that they were not sent.
        lists: Lists of runs.
    """

    term: model.Term
    taken: tuple[order_results.OrderTaken, ...]
    rejected: tuple[order_results.OrderRejected, ...]
    unanswered: tuple[order_results.OrderUnanswered, ...]
    lists: tuple[order_results.RunsListed, ...]

    def all(self) -> Iterator[order_results.OrderResult]:
        """Yields all results."""
        yield from self.taken
        yield from self.rejected
        yield from self.unanswered
        yield from self.lists


class JobReportWanted(msgspec.Struct, frozen=True):
    """Asks a leader where a job would go now; the job isn't handed over.

    Attributes:
        call: Id of the sender's call.
        request: The job, without its spec, which no decision reads.
        wait_s: How long its caller would wait.
    """

    call: ids.CallId
    request: model.JobRequest
    wait_s: float


class JobReported(msgspec.Struct, frozen=True):
    """The answer to `JobReportWanted`.

    Attributes:
        call: Id of the receiver's call.
        report: The report; None if the sender doesn't lead.
    """

    call: ids.CallId
    report: explanation.JobReport | None


Message = (
    Standing
    | HostsKnown
    | ConfigurationWanted
    | ConfigurationCopy
    | ListedUpstreams
    | UpstreamsCopy
    | UpstreamsLearnt
    | TasksLearnt
    | JobHandedOver
    | AllHandedOver
    | JobDeadlineMoved
    | JobAnswered
    | JobDropped
    | JobCancelled
    | JobsCancelled
    | CancelConfirmed
    | FleetDivided
    | DomainsEvacuated
    | cell_load.CellLoad
    | JobRedirected
    | JobMoved
    | UnfinishedRuns
    | OrdersRelayed
    | OrderResults
    | JobReportWanted
    | JobReported
)
