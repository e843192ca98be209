"""When hosts are dialled: after a failed dial, after a partition, in turn."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import random_source

_MAX_DOUBLINGS = 16

ConnectionT = TypeVar("ConnectionT")


class _Wait(msgspec.Struct):
    domain: ids.DomainId
    ended: asyncio.Event


class _Attempt(msgspec.Struct):
    """A connection that is being opened.

    Attributes:
        domain: Failure domain of the host that is dialled.
        began_at: When the attempt began.
        timeout: Ends the attempt.
        restarted: Whether the attempt is ended to begin anew.
    """

    domain: ids.DomainId
    began_at: float
    timeout: asyncio.Timeout
    restarted: bool = False

    @property
    def ending(self) -> bool:
        """Whether the attempt is about to end; its timeout can't change."""
        return self.restarted or self.timeout.expired()


class DialTurns:
    """Lets few handshakes go on at once.

    If all began at once on a busy host, each would take as long as all of them,
    and what times out has to be done again. A handshake with a host that doesn't
    respond must not keep others waiting, so each counts only for a while.

    Args:
        max_open: Maximum number of handshakes that count.
        max_turn_s: How long a handshake counts at most, in seconds.
    """

    def __init__(self, *, max_open: int, max_turn_s: float) -> None:
        self._turns = asyncio.Semaphore(max_open)
        self._max_turn_s = max_turn_s

    @contextlib.asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Waits for a turn, which ends with the context or before."""
        await self._turns.acquire()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._max_turn_s, self._turns.release)
        try:
            yield
        finally:
            if timer.when() > loop.time():  # Else it has ended the turn.
                timer.cancel()
                self._turns.release()


class DialBackoff:
    """Exponential backoff with jitter between dials.

    A delay after a failed dial ends early when a link to another host of the
    same failure domain opens, since the fault that separated the domain has
    then probably ended. The dial follows after a random delay of less than
    `min_s`. An attempt to connect that has lasted for `min_s` by then begins
    anew: its lost packets would only be sent again after a second.

    Args:
        min_s: Initial upper bound of the delay before a dial, in seconds. The
            bound doubles with each failed dial.
        max_s: Value up to which the upper bound grows, in seconds.
        rng: Source of random numbers for the jitter.
    """

    def __init__(
        self, *, min_s: float, max_s: float, rng: random_source.RandomSource
    ) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._rng = rng
        self._waits: dict[ids.HostId, _Wait] = {}
        self._attempts: dict[ids.HostId, _Attempt] = {}

    async def wait(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        *,
        failures: int,
    ) -> None:
        """Waits until a host may be dialled.

        Args:
            host: Host to dial.
            domain: Failure domain of the host.
            failures: Number of consecutive failed dials.
        """
        delay_s = self._delay_s(failures)
        if not failures:
            await asyncio.sleep(delay_s)
            return
        wait = _Wait(domain, asyncio.Event())
        self._waits[host] = wait
        try:
            async with asyncio.timeout(delay_s):
                await wait.ended.wait()
        except TimeoutError:
            return
        finally:
            del self._waits[host]
        await asyncio.sleep(self._min_s * self._rng.random())

    async def connect(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        connect: Callable[[], Awaitable[ConnectionT]],
        *,
        timeout_s: float,
    ) -> ConnectionT:
        """Opens a connection to a host.

        Args:
            host: Host to dial.
            domain: Failure domain of the host.
            connect: Opens the connection.
            timeout_s: Maximum time of one attempt, in seconds.

        Raises:
            TimeoutError: The last attempt took longer than its maximum time.
        """
        while True:
            began_at = asyncio.get_running_loop().time()
            timeout = asyncio.timeout(timeout_s)
            attempt = _Attempt(domain, began_at, timeout)
            self._attempts[host] = attempt
            try:
                async with timeout:
                    return await connect()
            except TimeoutError:
                if not attempt.restarted:
                    raise
            finally:
                del self._attempts[host]

    def link_opened(self, domain: ids.DomainId) -> None:
        """Ends the delays for a failure domain to which a link has opened."""
        for wait in self._waits.values():
            if wait.domain == domain:
                wait.ended.set()
        now = asyncio.get_running_loop().time()
        for attempt in self._attempts.values():
            lasts = now - attempt.began_at >= self._min_s
            if attempt.domain == domain and lasts and not attempt.ending:
                attempt.restarted = True
                attempt.timeout.reschedule(now)

    def _delay_s(self, failures: int) -> float:
        factor = 1 << min(failures, _MAX_DOUBLINGS)
        max_delay_s = min(self._min_s * factor, self._max_s)
        return max_delay_s * (0.5 + self._rng.random() / 2)
