"""Calls the store and returns the results as events."""

import asyncio

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.net import platform_client

STORE_TIMEOUT_S = 2.0


class StoreClient:
    """Calls the store for one host.

    Args:
        platform: The platform's services, which include the store.
        loop: Event loop; the deadlines are times on its clock.
    """

    def __init__(
        self,
        platform: platform_client.Platform,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._platform = platform
        self._loop = loop

    async def transact(self, action: actions.StoreTransact) -> events.Event:
        """Writes all rows of a transaction or none."""
        result = await self._platform.transact(
            action.writes, deadline=self._deadline()
        )
        if isinstance(result, platform_client.Conflict):
            return events.StoreConflict(action.call, result.rows)
        return events.StoreCommitted(action.call)

    async def read(self, action: actions.StoreRead) -> events.Event:
        """Reads rows by their keys."""
        rows = await self._platform.read(action.keys, deadline=self._deadline())
        return events.StoreRows(action.call, rows)

    async def scan(self, action: actions.StoreScan) -> events.Event:
        """Reads the rows whose keys start with a prefix."""
        rows = await self._platform.scan(
            action.prefix, deadline=self._deadline()
        )
        return events.StoreRows(action.call, rows)

    def _deadline(self) -> float:
        return self._loop.time() + STORE_TIMEOUT_S
