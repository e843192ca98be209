"""Tells whether other hosts are dialling this host.

Of two hosts the one with the lower id dials. The other one dials only if the
first doesn't, which may not know it. While others dial in, processors are busy
on both sides, and a time alone doesn't tell whether a dial is still to come.
"""

import asyncio
import contextlib
from collections.abc import Callable
from collections.abc import Iterator


class IncomingDials:
    """The links that other hosts are opening to this host.

    Args:
        quiet_s: Without a new connection for this long, no dial is under way.
        max_wait_s: Maximum wait for the dial of one host.

    Attributes:
        open_handshakes: How many connections aren't authenticated yet.
    """

    def __init__(self, *, quiet_s: float, max_wait_s: float) -> None:
        self._quiet_s = quiet_s
        self._max_wait_s = max_wait_s
        self._loop = asyncio.get_running_loop()
        self._last_arrival_at = float("-inf")
        self.open_handshakes = 0

    def arrived(self) -> None:
        """Records that a host has opened a connection, or a link on it."""
        self._last_arrival_at = self._loop.time()

    @contextlib.contextmanager
    def handshake(self) -> Iterator[None]:
        """Counts a connection as being authenticated within the context."""
        self.open_handshakes += 1
        try:
            yield
        finally:
            self.open_handshakes -= 1
            self.arrived()

    async def wait_quiet(self, *, is_linked: Callable[[], bool]) -> None:
        """Waits until a host is linked, or until no host has dialled lately.

        Args:
            is_linked: Returns whether the host is linked.
        """
        began_at = self._loop.time()
        while not is_linked():
            if self.open_handshakes:
                self.arrived()
            quiet_from = max(began_at, self._last_arrival_at)
            until = min(quiet_from + self._quiet_s, began_at + self._max_wait_s)
            delay_s = until - self._loop.time()
            if delay_s <= 0:
                return
            await asyncio.sleep(delay_s)
