"""Interface between the HTTP routes and the running host."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model

Answer = actions.Reply | actions.ReplyReserved | actions.ReplyConfig
EventFactory = Callable[[ids.CallId], events.Event]


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Another entry host, as seen by this host."""

    host: ids.HostId
    domain: ids.DomainId
    linked: bool


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """An upstream, as seen by this host.

    Attributes:
        upstream: Id of the upstream.
        domain: Failure domain of the upstream.
        slots: Number of tasks that the upstream runs at a time.
        running: Tasks that this host has sent and that have not ended.
        leaving: Whether the upstream is shutting down.
    """

    upstream: ids.UpstreamId
    domain: ids.DomainId
    slots: int
    running: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class HostStatus:
    """State of one host process.

    Attributes:
        entry: Directory entry of the host.
        ready: Whether the host accepts new work.
        draining: Whether the host is shutting down.
        store_up: Whether the last call to the table service succeeded.
        jobs: Number of the host's own jobs without an outcome.
        running_tasks: Number of requests to upstreams in progress.
        queued_tasks: Number of tasks that wait for a slot.
        peers: The other entry hosts of the directory.
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
    """The running host, as used by its HTTP routes."""

    @property
    def ready(self) -> bool:
        """Whether the platform's balancer may send callers to this host."""

    @property
    def configs(self) -> Mapping[ids.WorkspaceId, model.WorkspaceConfig]:
        """The workspace settings in force on this host."""

    def now(self) -> float:
        """Returns the time of the host's clock, in seconds.

        Deadlines in events are times of this clock.
        """

    def status(self) -> HostStatus:
        """Returns the state of this host."""

    async def ask(self, make_event: EventFactory) -> Answer:
        """Passes an event with a new call id to the core; awaits the answer.

        Cancellation passes `events.CallerGone` to the core; the job continues.
        """

    def drain(self, *, deadline: float) -> None:
        """Starts a graceful shutdown, as SIGTERM does; may be called again."""
