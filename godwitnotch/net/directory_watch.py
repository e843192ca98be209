"""Keeps the directory of hosts and upstreams, and this host's entry, current.

The directory comes from the platform. Until the platform has sent it, the host
uses a copy that its peers send, so that a host that was replaced during an
outage of the platform can serve callers.
"""

import asyncio
from collections.abc import Callable

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.net import platform_client

READ_INTERVAL_S = 1.0
REGISTER_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 1.5

OnDirectory = Callable[[model.Directory], None]
OnNote = Callable[[actions.Note], None]
SendPeer = Callable[[ids.HostId, messages.Message], object]


class DirectoryWatcher:
    """Reads the directory, registers this host, and shares it with peers.

    Args:
        identity: Directory entry of this host.
        platform: Client of the platform.
        send_peer: Sends a message to a linked peer.
        on_directory: Called with each directory that is received.
        on_note: Called with notes for the log and the counters.
    """

    def __init__(
        self,
        *,
        identity: model.HostEntry,
        platform: platform_client.Platform,
        send_peer: SendPeer,
        on_directory: OnDirectory,
        on_note: OnNote,
    ) -> None:
        self._identity = identity
        self._platform = platform
        self._send_peer = send_peer
        self._on_directory = on_directory
        self._on_note = on_note
        self._directory: model.Directory | None = None
        self._from_platform = False

    @property
    def directory(self) -> model.Directory:
        """The latest directory; empty before the first one is received."""
        return self._directory or model.Directory()

    async def read(self) -> None:
        """Reads the directory; reports a failure as a note."""
        try:
            directory = await self._platform.directory(deadline=_deadline())
        except platform_client.PlatformUnavailable:
            self._on_note(actions.Note("directory_unavailable"))
        else:
            self._from_platform = True
            self._update(directory)

    async def register(self) -> None:
        """Registers this host; reports a failure as a note."""
        try:
            await self._platform.register(self._identity, deadline=_deadline())
        except platform_client.PlatformUnavailable:
            self._on_note(actions.Note("registration_failed"))

    async def register_leaving(self, identity: model.HostEntry) -> None:
        """Replaces this host's directory entry by one marked as leaving."""
        self._identity = identity
        await self.register()

    def handle_peer_event(self, event: events.Event) -> bool:
        """Handles an event of a peer link if it is about the directory.

        Returns:
            Whether the event was handled here and must not go to the host core.
        """
        match event:
            case (
                events.PeerUp(host=host)
                | events.PeerSaid(host=host, message=messages.Heartbeat())
            ) if self._directory is None:
                self._send_peer(host, messages.DirectoryWanted())
                return False
            case events.PeerSaid(host=host, message=messages.DirectoryWanted()):
                self._send_directory(host)
                return True
            case events.PeerSaid(
                message=messages.DirectorySnapshot(directory=directory)
            ):
                self._update_from_peer(directory)
                return True
        return False

    def _send_directory(self, host: ids.HostId) -> None:
        if self._directory is not None:
            snapshot = messages.DirectorySnapshot(self._directory)
            self._send_peer(host, snapshot)

    def _update_from_peer(self, directory: model.Directory) -> None:
        if self._from_platform:
            return
        self._on_note(actions.Note("directory_from_peer"))
        self._update(directory)

    def _update(self, directory: model.Directory) -> None:
        self._directory = directory
        self._on_directory(directory)


def _deadline() -> float:
    return asyncio.get_running_loop().time() + CALL_TIMEOUT_S
