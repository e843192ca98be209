"""Binds caller keys to submission ids in the table service.

A key is bound once, by a write that expects its row to be absent. While one
transaction is in flight the next keys gather for another. A write whose
acknowledgement is lost is settled by reading the row back.
"""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import records
from godwitnotch.core import services as services_module
from godwitnotch.core import store_calls
from godwitnotch.core import timers as timers_module
from godwitnotch.core import token_bucket


@dataclass(frozen=True, slots=True)
class NotBound:
    """The key can't be bound now, nor can it be told whether it is."""

    reason: model.Reason
    retry_after_s: float | None


BindResult = records.Binding | NotBound
Done = Callable[[BindResult, float], None]
FindResult = records.Binding | NotBound | None
Found = Callable[[FindResult, float], None]


@dataclass(frozen=True, slots=True)
class BindRequest:
    """A key to bind.

    Attributes:
        row_key: Key of its row in the table service.
        submission: The id to bind it to, unless it is bound already.
        digest: Digest of the job's body.
        deadline: When the caller stops waiting.
    """

    row_key: str
    submission: ids.SubmissionId
    digest: bytes
    deadline: float


class KeyBinder:
    """Binds keys in batches, one transaction in flight."""

    def __init__(self, services: services_module.Services) -> None:
        self._store = services.store
        self._timers = services.timers
        self._limits = services.limits
        self._backoff = services.store_backoff()
        self._known: collections.OrderedDict[str, records.Binding] = (
            collections.OrderedDict()
        )
        self._pending: dict[str, _Pending] = {}
        self._flight: list[_Pending] = []
        self._pace = token_bucket.TokenBucket(
            rate_per_s=self._limits.key_writes_per_s,
            burst=self._limits.key_write_burst,
        )
        self._pause: timers_module.Timer | None = None

    @property
    def pending_count(self) -> int:
        """Keys that are being bound, or whose write may have taken effect."""
        return len(self._pending)

    def hosts_seen(self, count: int, *, now: float) -> None:
        """Takes this host's part of the pace when so many hosts share it."""
        rate_per_s = self._limits.key_writes_per_s / count
        self._pace.set_rate(rate_per_s, now=now)

    def known(self, row_key: str) -> records.Binding | None:
        """Returns a binding that needs no look at the table service."""
        return self._known.get(row_key)

    def find(self, row_key: str, found: Found, *, now: float) -> None:
        """Finds what a key is bound to, binding nothing, and calls back."""
        if now < self._backoff.retry_at:
            found(self._unavailable(now), now)
            return

        def on_rows(event: store_calls.StoreEvent, now: float) -> None:
            if not isinstance(event, events.StoreRows):
                self._backoff.failed(now=now)
                found(self._unavailable(now), now)
                return
            row = event.rows[0]
            found(records.decode_binding(row) if row.version else None, now)

        self._store.read([row_key], on_rows)

    def bind(self, request: BindRequest, done: Done, *, now: float) -> None:
        """Binds a key, or finds what it is bound to, and calls back."""
        known = self._known.get(request.row_key)
        if known is not None:
            done(known, now)
            return
        if now < self._backoff.retry_at:
            done(self._unavailable(now), now)
            return
        pending = self._pending.get(request.row_key)
        if pending is None:
            pending = _Pending(
                request.row_key, request.submission, request.digest
            )
            self._pending[request.row_key] = pending
        self._add_waiter(pending, request, done)
        self._pump(now)

    def rebind(
        self,
        old: records.Binding,
        request: BindRequest,
        done: Done,
        *,
        now: float,
    ) -> None:
        """Replaces a binding whose id is closed for good and never ran."""
        known = self._known.get(request.row_key)
        if known == old:
            del self._known[request.row_key]
        if request.row_key not in self._pending:
            self._pending[request.row_key] = _Pending(
                request.row_key,
                request.submission,
                request.digest,
                expected_version=old.version,
            )
        self.bind(request, done, now=now)

    def _add_waiter(
        self, pending: "_Pending", request: BindRequest, done: Done
    ) -> None:
        waiter = _Waiter(request.digest, done)
        pending.waiters.append(waiter)

        def give_up(now: float) -> None:
            pending.waiters.remove(waiter)
            waiter.timer = None
            done(NotBound(model.Reason.KEY_PENDING, 1.0), now)

        waiter.timer = self._timers.at(request.deadline, give_up)

    def _pump(self, now: float) -> None:
        if self._flight or self._pause is not None:
            return
        self._drop_abandoned()
        waiting = [each for each in self._pending.values() if each.waiters]
        if not waiting:
            return
        if not self._pace.take(now=now):
            self._pump_later(now)
            return
        uncertain = [each for each in waiting if each.uncertain]
        batch = (uncertain or waiting)[: self._limits.max_batch_rows]
        self._flight = batch
        if uncertain:
            self._store.read([each.row_key for each in batch], self._on_read)
            return
        for each in batch:
            # A reply that never comes leaves the write's effect unknown.
            each.uncertain = True
        writes = [each.write() for each in batch]
        self._store.transact(writes, self._on_write)

    def _drop_abandoned(self) -> None:
        for pending in list(self._pending.values()):
            if not pending.waiters and not pending.uncertain:
                del self._pending[pending.row_key]

    def _pump_later(self, now: float) -> None:
        def resume(now: float) -> None:
            self._pause = None
            self._pump(now)

        self._pause = self._timers.at(self._pace.ready_at(now=now), resume)

    def _on_read(self, event: store_calls.StoreEvent, now: float) -> None:
        if not isinstance(event, events.StoreRows):
            self._failed(now)
            return
        self._backoff.succeeded()
        batch = self._take_flight()
        for row in event.rows:
            pending = batch[row.key]
            if row.version > pending.expected_version:
                self._bound(pending, records.decode_binding(row), now)
            else:
                pending.prepare_again(row.version)
        self._pump(now)

    def _on_write(self, event: store_calls.StoreEvent, now: float) -> None:
        match event:
            case events.StoreCommitted():
                self._backoff.succeeded()
                for pending in self._take_flight().values():
                    self._bound(pending, pending.binding(), now)
            case events.StoreConflict(rows=rows):
                self._backoff.succeeded()
                self._on_conflict(rows, now)
            case events.StoreFailed(uncertain=uncertain):
                for pending in self._flight:
                    pending.uncertain = uncertain
                self._failed(now)
                return
            case _:
                raise TypeError(f"a write can't end with {event}")
        self._pump(now)

    def _on_conflict(self, rows: tuple[model.Row, ...], now: float) -> None:
        batch = self._take_flight()
        for pending in batch.values():
            pending.uncertain = False
        for row in rows:
            pending = batch[row.key]
            if row.version:
                self._bound(pending, records.decode_binding(row), now)
            else:
                pending.prepare_again(0)

    def _failed(self, now: float) -> None:
        self._take_flight()
        self._backoff.failed(now=now)
        result = self._unavailable(now)
        for pending in list(self._pending.values()):
            pending.tell(result, now)
            if not pending.uncertain:
                del self._pending[pending.row_key]
            elif not pending.kept:
                self._keep_uncertain(pending, now)

    def _keep_uncertain(self, pending: "_Pending", now: float) -> None:
        pending.kept = True

        def forget(now: float) -> None:
            if self._pending.get(pending.row_key) is pending:
                pending.kept = False
                if not pending.waiters and pending not in self._flight:
                    del self._pending[pending.row_key]

        self._timers.at(now + self._limits.reservation_open_s, forget)

    def _take_flight(self) -> "dict[str, _Pending]":
        batch = {pending.row_key: pending for pending in self._flight}
        self._flight = []
        return batch

    def _bound(
        self, pending: "_Pending", binding: records.Binding, now: float
    ) -> None:
        self._pending.pop(pending.row_key, None)
        self._known[pending.row_key] = binding
        if len(self._known) > self._limits.max_known_keys:
            self._known.popitem(last=False)
        pending.tell(binding, now)

    def _unavailable(self, now: float) -> NotBound:
        wait_s = max(0.0, self._backoff.retry_at - now)
        return NotBound(model.Reason.STORE_UNAVAILABLE, wait_s)


@dataclass(slots=True, eq=False)
class _Waiter:
    digest: bytes
    done: Done
    timer: timers_module.Timer | None = None


@dataclass(slots=True, eq=False)
class _Pending:
    row_key: str
    submission: ids.SubmissionId
    digest: bytes
    expected_version: int = 0
    uncertain: bool = False
    kept: bool = False
    waiters: list[_Waiter] = field(default_factory=list)

    def write(self) -> model.RowWrite:
        value = records.encode_binding(self.submission, self.digest)
        return model.RowWrite(self.row_key, value, self.expected_version)

    def binding(self) -> records.Binding:
        return records.Binding(
            self.submission, self.digest, self.expected_version + 1
        )

    def prepare_again(self, version: int) -> None:
        self.uncertain = False
        self.expected_version = version
        if self.waiters:
            self.digest = self.waiters[0].digest

    def tell(self, result: BindResult, now: float) -> None:
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            if waiter.timer is not None:
                waiter.timer.cancel()
            waiter.done(result, now)
