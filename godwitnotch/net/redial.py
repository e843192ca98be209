"""When to dial a host again whose link is not open."""

import asyncio
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core import random_source

_MAX_DOUBLINGS = 16


@dataclass(slots=True)
class _Pause:
    domain: ids.DomainId
    over: asyncio.Event


class Redial:
    """The pauses between dials.

    They grow with each failure, and end early once a link to another host of
    the same failure domain opens: what had cut it off has probably ended.

    Args:
        min_s: First pause after a failed dial.
        max_s: Longest pause.
        chance: Jitter.
    """

    def __init__(
        self, *, min_s: float, max_s: float, chance: random_source.RandomSource
    ) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._chance = chance
        self._pauses: dict[ids.HostId, _Pause] = {}

    async def pause(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        *,
        failures: int,
        extra_s: float = 0.0,
    ) -> None:
        """Returns when a host may be dialled.

        Args:
            host: Whom to dial.
            domain: Its failure domain.
            failures: Failed dials in a row.
            extra_s: Added to the pause.
        """
        pause_s = self._pause_s(failures) + extra_s
        if not failures:
            await asyncio.sleep(pause_s)
            return
        pause = _Pause(domain, asyncio.Event())
        self._pauses[host] = pause
        try:
            async with asyncio.timeout(pause_s):
                await pause.over.wait()
        except TimeoutError:
            return
        finally:
            del self._pauses[host]
        await asyncio.sleep(self._min_s * self._chance.random())

    def link_opened(self, domain: ids.DomainId) -> None:
        """Ends the pauses of hosts in a failure domain that is reached."""
        for pause in self._pauses.values():
            if pause.domain == domain:
                pause.over.set()

    def _pause_s(self, failures: int) -> float:
        factor = 1 << min(failures, _MAX_DOUBLINGS)
        full_s = min(self._min_s * factor, self._max_s)
        return full_s * (0.5 + self._chance.random() / 2)
