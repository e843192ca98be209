"""What the caller API needs of the running host; the runtime provides it."""

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
    """Another entry host as this one sees it."""

    host: ids.HostId
    domain: ids.DomainId
    linked: bool


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """An upstream as this host sees it; `running` counts its own requests."""

    upstream: ids.UpstreamId
    domain: ids.DomainId
    slots: int
    running: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class HostStatus:
    """State of one host process.

    Attributes:
        entry: Its entry in the platform's list.
        ready: Whether it takes new work.
        draining: Whether it is shutting down.
        store_up: Whether its last exchange with the table service succeeded.
        jobs: Jobs of its own that have no outcome yet.
        running_tasks: Requests to upstreams under way.
        queued_tasks: Tasks that wait for a slot.
        peers: The other entry hosts of the platform's list.
        upstreams: The upstreams of the platform's list.
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


class CorePort(Protocol):
    """The running host, seen from its HTTP routes."""

    @property
    def ready(self) -> bool:
        """Whether the platform's balancer may send callers here."""

    @property
    def configs(self) -> Mapping[ids.WorkspaceId, model.WorkspaceConfig]:
        """Settings of the workspaces, as in force on this host."""

    def now(self) -> float:
        """Returns the present time of the host's clock, in seconds.

        Deadlines in events are times of this clock.
        """

    def status(self) -> HostStatus:
        """Returns the state of this host."""

    async def ask(self, make_event: EventFactory) -> Answer:
        """Feeds an event with a fresh call id and waits for its answer.

        A cancelled wait feeds `events.CallerGone`; the job goes on.
        """

    def drain(self, *, deadline: float) -> None:
        """Starts a graceful shutdown, as SIGTERM does; may be repeated."""
