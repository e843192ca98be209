"""Interface of the runtime for the HTTP routes."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol

import msgspec

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model

Answer = actions.Reply | actions.ReplyReserved | actions.ReplyConfig
EventFactory = Callable[[ids.CallId], events.Event]


class PeerStatus(msgspec.Struct, frozen=True):
    """Another host, as seen by this host.

    Attributes:
        host: Id of the host.
        domain: Failure domain of the host.
        linked: Whether a peer link to the host is open.
    """

    host: ids.HostId
    domain: ids.DomainId
    linked: bool


class UpstreamStatus(msgspec.Struct, frozen=True):
    """An upstream, as seen by this host.

    Attributes:
        upstream: Id of the upstream.
        domain: Failure domain of the upstream.
        slots: Number of tasks that the upstream runs at once.
        running: Number of this host's attempts in progress at the upstream.
        leaving: Whether the directory lists the upstream as leaving.
    """

    upstream: ids.UpstreamId
    domain: ids.DomainId
    slots: int
    running: int
    leaving: bool


class HostStatus(msgspec.Struct, frozen=True):
    """State of one host process.

    Attributes:
        entry: Directory entry of the host.
        ready: Whether the load balancer may send callers to this host.
        draining: Whether the host drains or has stopped; the directory lists
            a draining host as leaving.
        store_up: Whether the last call to the store succeeded.
        jobs: Number of queued and running jobs.
        running_tasks: Number of attempts in progress.
        queued_tasks: Number of tasks that wait for a slot.
        peers: The other hosts that are linked or listed in the directory.
        upstreams: The upstreams of the directory.
    """

    entry: model.HostEntry
    ready: bool
    draining: bool
    store_up: bool = True
    jobs: int = 0
    running_tasks: int = 0
    queued_tasks: int = 0
    peers: tuple[PeerStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()


class RuntimePort(Protocol):
    """The runtime of a host, as its HTTP routes use it."""

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers to this host."""

    @property
    def configs(self) -> Mapping[ids.WorkspaceId, model.WorkspaceConfig]:
        """The workspace settings that this host has applied."""

    def now(self) -> float:
        """Returns the loop time in seconds; deadlines are loop times too."""

    def status(self) -> HostStatus:
        """Returns the state of this host."""

    async def ask(self, make_event: EventFactory) -> Answer:
        """Passes a new call's event to the host core; awaits the answer.

        Cancellation passes `events.CallerGone` to the host core; the job
        continues.
        """

    def drain(self, *, deadline: float) -> None:
        """Starts a drain, as SIGTERM does; the earliest given deadline applies.

        Args:
            deadline: Loop time at which the jobs that still run are aborted.
        """
