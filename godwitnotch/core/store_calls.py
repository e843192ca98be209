"""Calls to the store, each with a callback for its result.

The store is the platform's table service.
"""

import itertools
from collections.abc import Callable
from collections.abc import Sequence

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import outbox

StoreEvent = (
    events.StoreCommitted
    | events.StoreConflict
    | events.StoreRows
    | events.StoreFailed
)
StoreCallback = Callable[[StoreEvent, float], None]


class StoreCalls:
    """Starts calls to the store and passes each result to its callback."""

    def __init__(self, out: outbox.Outbox) -> None:
        self._out = out
        self._call_numbers = itertools.count(1)
        self._callbacks: dict[ids.StoreCallId, StoreCallback] = {}

    def transact(
        self, writes: Sequence[model.RowWrite], callback: StoreCallback
    ) -> None:
        """Writes rows in one transaction."""
        call = self._register(callback)
        self._out.add(actions.StoreTransact(call, tuple(writes)))

    def read(self, keys: Sequence[str], callback: StoreCallback) -> None:
        """Reads rows by key."""
        call = self._register(callback)
        self._out.add(actions.StoreRead(call, tuple(keys)))

    def scan(self, prefix: str, callback: StoreCallback) -> None:
        """Reads a snapshot of the rows whose key starts with a prefix."""
        call = self._register(callback)
        self._out.add(actions.StoreScan(call, prefix))

    def finish(self, event: StoreEvent, *, now: float) -> None:
        """Passes a result to its callback; ignores a second result."""
        callback = self._callbacks.pop(event.call, None)
        if callback is not None:
            callback(event, now)

    def _register(self, callback: StoreCallback) -> ids.StoreCallId:
        call = ids.StoreCallId(next(self._call_numbers))
        self._callbacks[call] = callback
        return call
