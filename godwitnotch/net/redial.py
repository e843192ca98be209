"""Delays between attempts to dial a host."""

import asyncio
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core import random_source

_MAX_DOUBLINGS = 16


@dataclass(slots=True)
class _Wait:
    domain: ids.DomainId
    ended: asyncio.Event


class DialBackoff:
    """Exponential backoff with jitter between dials.

    A delay after a failed dial ends early when a link to another host of the
    same failure domain opens, since the fault that separated the domain has
    then probably ended. The dial follows after a random delay of less than
    `min_s`.

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

    async def wait(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        *,
        failures: int,
        extra_delay_s: float = 0.0,
    ) -> None:
        """Waits until a host may be dialled.

        Args:
            host: Host to dial.
            domain: Failure domain of the host.
            failures: Number of consecutive failed dials.
            extra_delay_s: Time in seconds that is added to the delay.
        """
        delay_s = self._delay_s(failures) + extra_delay_s
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

    def link_opened(self, domain: ids.DomainId) -> None:
        """Ends the delays for a failure domain to which a link has opened."""
        for wait in self._waits.values():
            if wait.domain == domain:
                wait.ended.set()

    def _delay_s(self, failures: int) -> float:
        factor = 1 << min(failures, _MAX_DOUBLINGS)
        max_delay_s = min(self._min_s * factor, self._max_s)
        return max_delay_s * (0.5 + self._rng.random() / 2)
