"""Sends heartbeats on a host's links, and closes links that are silent."""

import asyncio
import functools
from collections.abc import Callable
from collections.abc import Mapping

from godwitnotch.core import actions
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.net import link_limits
from godwitnotch.net import peer_link

# A message that has arrived is read after a few passes of the event loop.
_PASSES_TO_READ = 10

OnNote = Callable[[actions.Note], None]


class LinkMonitor:
    """Monitors the links of one host.

    Links to hosts that aren't watched are background links: they get fewer
    heartbeats, so that the cost of a host doesn't grow with the number of hosts. A
    message to such a host that isn't answered still shows its loss, and while a
    watched host is overdue, all are asked whether they are there.

    Args:
        links: The open links by host, as they are at any time.
        heartbeat: Returns the heartbeat to send.
        on_note: Called with notes for the log and the counters.
        limits: Timeouts and limits.

    Attributes:
        watched: The hosts whose loss must be noticed soon; None for all.
    """

    def __init__(
        self,
        links: Mapping[ids.HostId, peer_link.PeerLink],
        *,
        heartbeat: Callable[[], messages.Heartbeat],
        on_note: OnNote,
        limits: link_limits.PeerLimits,
    ) -> None:
        self.watched: frozenset[ids.HostId] | None = None
        self._links = links
        self._heartbeat = heartbeat
        self._on_note = on_note
        self._limits = limits
        self._next_background_probe_at = 0.0
        self._told: messages.Heartbeat | None = None

    async def run(self) -> None:
        """Sends heartbeats and closes silent links, until it is cancelled."""
        loop = asyncio.get_running_loop()
        limits = self._limits
        last_check_at = loop.time()
        while True:
            await asyncio.sleep(limits.heartbeat_interval_s)
            if loop.time() - last_check_at > 2 * limits.heartbeat_interval_s:
                await _read_waiting_messages()
            now = loop.time()
            last_check_at = now
            interval_s = max(
                limits.heartbeat_interval_s,
                len(self._links) / limits.max_heartbeats_per_s,
            )
            background_interval_s = self._background_interval_s(interval_s)
            news = self._take_news()
            watched_overdue = False
            for link in list(self._links.values()):
                watched = self._is_watched(link.hello.host)
                link_interval_s = (
                    interval_s if watched else background_interval_s
                )
                self._monitor_link(
                    link,
                    functools.partial(
                        link.check, link_interval_s, now=now, news=news
                    ),
                )
                watched_overdue |= watched and link.overdue(now=now)
            if watched_overdue and self.watched is not None:
                self._probe_background_links(now=now)

    def _is_watched(self, host: ids.HostId) -> bool:
        return self.watched is None or host in self.watched

    def _background_interval_s(self, interval_s: float) -> float:
        """Returns the interval between heartbeats on a background link."""
        count = sum(not self._is_watched(host) for host in self._links)
        rate = self._limits.max_background_heartbeats_per_s
        return max(interval_s, count / rate)

    def _take_news(self) -> bool:
        """Returns whether this host's heartbeat has changed since the last call.

        Peers learn of a newer configuration at once, also on background links.
        """
        try:
            current = self._heartbeat()
        except Exception:  # Noted for each link on which it can't be sent.
            return False
        changed = current != self._told
        self._told = current
        return changed

    def _probe_background_links(self, *, now: float) -> None:
        """Asks all background links for a reply, at most once in a while.

        Hosts that were lost together with a watched one are thus noticed soon
        after it, before they can mislead an election.
        """
        if now < self._next_background_probe_at:
            return
        self._next_background_probe_at = (
            now + self._limits.background_probe_interval_s
        )
        for host, link in list(self._links.items()):
            if not self._is_watched(host):
                self._monitor_link(link, functools.partial(link.probe, now=now))

    def _monitor_link(
        self, link: peer_link.PeerLink, operation: Callable[[], None]
    ) -> None:
        """Checks or probes a link; a fault closes that link only."""
        try:
            operation()
        except Exception:  # A fault on one link must not stop the others.
            self._on_note(
                actions.Note(
                    "peer_watch_fault", detail=f"peer={link.hello.host}"
                )
            )
            link.stop(peer_link.LinkEndReason.CLOSED)


async def _read_waiting_messages() -> None:
    """Lets all links read the messages that have arrived during a stall."""
    for _ in range(_PASSES_TO_READ):
        await asyncio.sleep(0)
