"""Binds callers' idempotency keys to submission ids in the store.

A key is bound by a conditional write that expects its row to be absent, so
that only one host can bind it. Keys that arrive while a transaction is in
flight are batched into the next one. If the result of a write is unknown, the
binder reads the row to learn whether the write took effect.
"""

import collections
from collections.abc import Callable

import msgspec

from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import records
from godwitnotch.core import services as services_module
from godwitnotch.core import store_calls
from godwitnotch.core import timers as timers_module
from godwitnotch.core import token_bucket


class BindingUnavailable(msgspec.Struct, frozen=True):
    """The key can't be bound or looked up now.

    Attributes:
        reason: Why the key can't be bound or looked up.
        retry_after_s: When to try again, in seconds from now.
    """

    reason: model.Reason
    retry_after_s: float | None


BindResult = records.Binding | BindingUnavailable
BindCallback = Callable[[BindResult, float], None]
FindResult = records.Binding | BindingUnavailable | None
FindCallback = Callable[[FindResult, float], None]


class BindRequest(msgspec.Struct, frozen=True):
    """A request to bind a key.

    Attributes:
        row_key: Key of the binding's row in the store.
        submission: The id to bind the key to if it is not bound yet.
        digest: Digest of the job's body; empty if the key is bound to a
            reserved id before a job is submitted.
        deadline: When the caller stops waiting.
    """

    row_key: str
    submission: ids.SubmissionId
    digest: bytes
    deadline: float


class KeyBinder:
    """Binds keys in batches, with at most one batch in flight.

    `find` doesn't wait for the batch in flight.
    """

    def __init__(self, services: services_module.Services) -> None:
        self._store = services.store
        self._timers = services.timers
        self._limits = services.limits
        self._backoff = services.store_backoff()
        self._cache: collections.OrderedDict[str, records.Binding] = (
            collections.OrderedDict()
        )
        self._pending: dict[str, _PendingBind] = {}
        self._in_flight: list[_PendingBind] = []
        self._batch_limiter = token_bucket.TokenBucket(
            rate_per_s=self._limits.key_writes_per_s,
            burst=self._limits.key_write_burst,
        )
        self._resume_timer: timers_module.Timer | None = None

    @property
    def pending_count(self) -> int:
        """Number of keys that are being bound or may have been bound."""
        return len(self._pending)

    def set_host_count(self, count: int, *, now: float) -> None:
        """Divides the rate limit on batches by the number of hosts."""
        rate_per_s = self._limits.key_writes_per_s / count
        self._batch_limiter.set_rate(rate_per_s, now=now)

    def cached(self, row_key: str) -> records.Binding | None:
        """Returns the cached binding of a key, if any."""
        return self._cache.get(row_key)

    def find(self, row_key: str, on_found: FindCallback, *, now: float) -> None:
        """Looks up the binding of a key in the store without binding it.

        Args:
            row_key: Key of the binding's row.
            on_found: Called with the binding, with None if the key is not
                bound, or with the reason why the store can't be read.
            now: The current time.
        """
        if now < self._backoff.retry_at:
            on_found(self._unavailable(now), now)
            return

        def on_rows(event: store_calls.StoreEvent, now: float) -> None:
            if not isinstance(event, events.StoreRows):
                self._backoff.record_failure(now=now)
                on_found(self._unavailable(now), now)
                return
            row = event.rows[0]
            on_found(records.decode_binding(row) if row.version else None, now)

        self._store.read([row_key], on_rows)

    def bind(
        self, request: BindRequest, on_bound: BindCallback, *, now: float
    ) -> None:
        """Binds a key unless it is bound already.

        Args:
            request: The key and the id to bind it to.
            on_bound: Called with the key's binding, which may be older than
                this call, or with the reason why the key can't be bound.
            now: The current time.
        """
        cached = self._cache.get(request.row_key)
        if cached is not None:
            on_bound(cached, now)
            return
        if now < self._backoff.retry_at:
            on_bound(self._unavailable(now), now)
            return
        pending = self._pending.get(request.row_key)
        if pending is None:
            pending = _PendingBind(
                request.row_key, request.submission, request.digest
            )
            self._pending[request.row_key] = pending
        self._add_waiter(pending, request, on_bound)
        self._start_next_batch(now)

    def rebind(
        self,
        old: records.Binding,
        request: BindRequest,
        on_bound: BindCallback,
        *,
        now: float,
    ) -> None:
        """Binds a key to a new id in place of its old id.

        The old id must be closed, and its job must never have run.

        Args:
            old: The binding to replace.
            request: The key and its new id.
            on_bound: Called as in `bind`.
            now: The current time.
        """
        cached = self._cache.get(request.row_key)
        if cached == old:
            del self._cache[request.row_key]
        if request.row_key not in self._pending:
            self._pending[request.row_key] = _PendingBind(
                request.row_key,
                request.submission,
                request.digest,
                expected_version=old.version,
            )
        self.bind(request, on_bound, now=now)

    def _add_waiter(
        self,
        pending: "_PendingBind",
        request: BindRequest,
        on_bound: BindCallback,
    ) -> None:
        waiter = _Waiter(request.digest, on_bound)
        pending.waiters.append(waiter)

        def time_out(now: float) -> None:
            pending.waiters.remove(waiter)
            waiter.timer = None
            on_bound(BindingUnavailable(model.Reason.KEY_PENDING, 1.0), now)

        waiter.timer = self._timers.call_at(request.deadline, time_out)

    def _start_next_batch(self, now: float) -> None:
        """Starts the next batch: a read of uncertain rows, else a write."""
        if self._in_flight or self._resume_timer is not None:
            return
        self._drop_unneeded()
        waiting = [
            pending for pending in self._pending.values() if pending.waiters
        ]
        if not waiting:
            return
        if not self._batch_limiter.take(now=now):
            self._schedule_next_batch(now)
            return
        uncertain = [pending for pending in waiting if pending.uncertain]
        batch = (uncertain or waiting)[: self._limits.max_batch_rows]
        self._in_flight = batch
        if uncertain:
            self._store.read(
                [pending.row_key for pending in batch], self._on_read
            )
            return
        for pending in batch:
            # The write may take effect even if its response is lost.
            pending.uncertain = True
        writes = [pending.write() for pending in batch]
        self._store.transact(writes, self._on_write)

    def _drop_unneeded(self) -> None:
        """Drops keys without waiters whose writes, if any, had no effect."""
        for pending in list(self._pending.values()):
            if not pending.waiters and not pending.uncertain:
                del self._pending[pending.row_key]

    def _schedule_next_batch(self, now: float) -> None:
        def resume(now: float) -> None:
            self._resume_timer = None
            self._start_next_batch(now)

        self._resume_timer = self._timers.call_at(
            self._batch_limiter.ready_at(now=now), resume
        )

    def _on_read(self, event: store_calls.StoreEvent, now: float) -> None:
        if not isinstance(event, events.StoreRows):
            self._fail_all(now)
            return
        self._backoff.reset()
        batch = self._clear_in_flight()
        for row in event.rows:
            pending = batch[row.key]
            if row.version > pending.expected_version:
                self._complete(pending, records.decode_binding(row), now)
            else:
                pending.reset(row.version)
        self._start_next_batch(now)

    def _on_write(self, event: store_calls.StoreEvent, now: float) -> None:
        match event:
            case events.StoreCommitted():
                self._backoff.reset()
                for pending in self._clear_in_flight().values():
                    self._complete(pending, pending.binding(), now)
            case events.StoreConflict(rows=rows):
                self._backoff.reset()
                self._on_conflict(rows, now)
            case events.StoreFailed(uncertain=uncertain):
                for pending in self._in_flight:
                    pending.uncertain = uncertain
                self._fail_all(now)
                return
            case _:
                raise TypeError(f"unexpected result of a transaction: {event}")
        self._start_next_batch(now)

    def _on_conflict(self, rows: tuple[model.Row, ...], now: float) -> None:
        batch = self._clear_in_flight()
        for pending in batch.values():
            pending.uncertain = False
        for row in rows:
            pending = batch[row.key]
            if row.version:
                self._complete(pending, records.decode_binding(row), now)
            else:
                pending.reset(0)

    def _fail_all(self, now: float) -> None:
        """Tells all waiters that the store is unavailable."""
        self._clear_in_flight()
        self._backoff.record_failure(now=now)
        result = self._unavailable(now)
        for pending in list(self._pending.values()):
            pending.notify_waiters(result, now)
            if not pending.uncertain:
                del self._pending[pending.row_key]
            elif not pending.retained:
                self._retain_uncertain(pending, now)

    def _retain_uncertain(self, pending: "_PendingBind", now: float) -> None:
        """Keeps a key pending, so that a retry reads its row first."""
        pending.retained = True

        def expire(now: float) -> None:
            if self._pending.get(pending.row_key) is pending:
                pending.retained = False
                if not pending.waiters and pending not in self._in_flight:
                    del self._pending[pending.row_key]

        self._timers.call_at(now + self._limits.reservation_open_s, expire)

    def _clear_in_flight(self) -> "dict[str, _PendingBind]":
        batch = {pending.row_key: pending for pending in self._in_flight}
        self._in_flight = []
        return batch

    def _complete(
        self, pending: "_PendingBind", binding: records.Binding, now: float
    ) -> None:
        self._pending.pop(pending.row_key, None)
        self._cache[pending.row_key] = binding
        if len(self._cache) > self._limits.max_known_keys:
            self._cache.popitem(last=False)
        pending.notify_waiters(binding, now)

    def _unavailable(self, now: float) -> BindingUnavailable:
        wait_s = max(0.0, self._backoff.retry_at - now)
        return BindingUnavailable(model.Reason.STORE_UNAVAILABLE, wait_s)


class _Waiter(msgspec.Struct, eq=False):
    """A call that waits for a binding."""

    digest: bytes
    on_bound: BindCallback
    timer: timers_module.Timer | None = None


class _PendingBind(msgspec.Struct, eq=False):
    """A key that is being bound.

    Attributes:
        row_key: Key of the binding's row.
        submission: The id to bind the key to.
        digest: Digest of the job's body.
        expected_version: Version of the row that the write replaces; 0 if the
            row must be absent.
        uncertain: Whether a write may have taken effect; the row is then read
            before it is written again.
        retained: Whether the key stays pending without waiters until a timer
            expires, since its write may have taken effect.
        waiters: The calls that wait for the binding.
    """

    row_key: str
    submission: ids.SubmissionId
    digest: bytes
    expected_version: int = 0
    uncertain: bool = False
    retained: bool = False
    waiters: list[_Waiter] = msgspec.field(default_factory=list)

    def write(self) -> model.RowWrite:
        value = records.encode_binding(self.submission, self.digest)
        return model.RowWrite(self.row_key, value, self.expected_version)

    def binding(self) -> records.Binding:
        return records.Binding(
            self.submission, self.digest, self.expected_version + 1
        )

    def reset(self, version: int) -> None:
        """Prepares another write after the last write had no effect."""
        self.uncertain = False
        self.expected_version = version
        if self.waiters:
            self.digest = self.waiters[0].digest

    def notify_waiters(self, result: BindResult, now: float) -> None:
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            if waiter.timer is not None:
                waiter.timer.cancel()
            waiter.on_bound(result, now)
