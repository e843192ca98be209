"""Outcomes of started jobs, recorded behind and read by other hosts.

Outcomes are written in batches after the callers were answered. A clean
shutdown writes a seal last: from then on an id of that incarnation without a
recorded outcome is proven not to have run.
"""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import records
from godwitnotch.core import services as services_module
from godwitnotch.core import store_calls

MAX_CACHED_LOOKUPS = 256
MAX_DELETES_PER_BATCH = 50


class OutcomeLog:
    """Writes the outcomes of one incarnation, one batch in flight.

    Args:
        services: Shared services.
        incarnation: The incarnation, the only writer of its rows.
    """

    def __init__(
        self, services: services_module.Services, incarnation: ids.Incarnation
    ) -> None:
        self._incarnation = incarnation
        self._store = services.store
        self._timers = services.timers
        self._out = services.out
        self._limits = services.limits
        self._backoff = services.store_backoff()
        self._flush_interval_s = services.limits.outcome_flush_s
        self._unwritten: collections.deque[_UnwrittenOutcome] = (
            collections.deque()
        )
        self._written: collections.deque[_WrittenRow] = collections.deque()
        self._in_flight: _Batch | None = None
        self._flush_scheduled = False
        self._batch_number = 0
        self._deleted_below = 0
        self._outcomes_dropped = False
        self._on_sealed: Callable[[float], None] | None = None

    @property
    def unwritten_count(self) -> int:
        """Outcomes that are not recorded yet."""
        in_flight = self._in_flight.outcome_count if self._in_flight else 0
        return len(self._unwritten) + in_flight

    def record(
        self,
        sequence: ids.Sequence,
        outcome: records.JobOutcome,
        *,
        now: float,
    ) -> None:
        """Queues the outcome of a job that started, or may have."""
        size = sum(map(len, outcome.answer.results))
        if size > self._limits.max_outcome_bytes:
            answer = replace(outcome.answer, results=())
            outcome = replace(outcome, answer=answer)
        self._unwritten.append(_UnwrittenOutcome(sequence, outcome))
        if len(self._unwritten) > self._limits.max_unwritten_outcomes:
            dropped = self._unwritten.popleft()
            self._outcomes_dropped = True
            self._out.note(
                "outcome_dropped", submission=dropped.outcome.answer.submission
            )
        self._schedule_flush(now + self._flush_interval_s)

    def set_host_count(self, count: int) -> None:
        """Takes this host's part of the pace when so many hosts share it."""
        shared_s = count / self._limits.outcome_writes_per_s
        self._flush_interval_s = max(self._limits.outcome_flush_s, shared_s)

    def seal(self, on_sealed: Callable[[float], None], *, now: float) -> None:
        """Writes what is left and then the seal, and calls back.

        If outcomes were dropped no seal is written, since it would be false.
        """
        self._on_sealed = on_sealed
        self._schedule_flush(now)
        if not self._in_flight:
            self._flush(now)

    def _schedule_flush(self, deadline: float) -> None:
        if self._flush_scheduled or self._in_flight:
            return
        self._flush_scheduled = True
        self._timers.call_at(max(deadline, self._backoff.retry_at), self._flush)

    def _flush(self, now: float) -> None:
        self._flush_scheduled = False
        if self._in_flight:
            return
        if self._unwritten:
            self._in_flight = self._next_batch(now)
            self._store.transact(self._in_flight.writes, self._on_written)
        elif self._on_sealed is not None:
            self._write_seal(now)

    def _next_batch(self, now: float) -> "_Batch":
        count = min(len(self._unwritten), self._limits.max_batch_rows)
        outcomes = [self._unwritten.popleft() for _ in range(count)]
        buckets: dict[str, list[_UnwrittenOutcome]] = {}
        for outcome in outcomes:
            prefix = records.bucket_prefix(self._incarnation, outcome.sequence)
            buckets.setdefault(prefix, []).append(outcome)
        self._batch_number += 1
        writes = [
            self._bucket_write(prefix, bucket, now)
            for prefix, bucket in buckets.items()
        ]
        return _Batch(writes + self._expired_deletes(now), count)

    def _bucket_write(
        self, prefix: str, bucket: "list[_UnwrittenOutcome]", now: float
    ) -> model.RowWrite:
        key = f"{prefix}{self._batch_number:010d}"
        highest = max(outcome.sequence for outcome in bucket)
        self._written.append(
            _WrittenRow(key, highest, now + self._limits.outcome_retention_s)
        )
        outcomes = [each.outcome for each in bucket]
        return model.RowWrite(key, records.encode_outcomes(outcomes))

    def _expired_deletes(self, now: float) -> list[model.RowWrite]:
        deletes: list[model.RowWrite] = []
        while self._written and self._written[0].deadline <= now:
            if len(deletes) == MAX_DELETES_PER_BATCH:
                break
            row = self._written.popleft()
            self._deleted_below = max(
                self._deleted_below, row.highest_sequence + 1
            )
            deletes.append(model.RowWrite(row.key, None))
        return deletes

    def _on_written(self, event: store_calls.StoreEvent, now: float) -> None:
        if isinstance(event, events.StoreCommitted):
            self._backoff.reset()
            self._in_flight = None
            full = len(self._unwritten) >= self._limits.max_batch_rows
            if full or self._on_sealed:
                self._flush(now)
            elif self._unwritten:
                self._schedule_flush(now + self._flush_interval_s)
            return
        # The same rows with the same values are written again: only this
        # incarnation writes them, so a repeat changes nothing.
        self._timers.call_at(
            self._backoff.record_failure(now=now), self._write_again
        )

    def _write_again(self, now: float) -> None:
        if self._in_flight:
            self._store.transact(self._in_flight.writes, self._on_written)

    def _write_seal(self, now: float) -> None:
        if self._outcomes_dropped:
            self._finish_seal(now)
            return
        write = model.RowWrite(
            records.seal_key(self._incarnation),
            records.encode_seal(self._deleted_below),
        )
        self._in_flight = _Batch([write], 0)
        self._store.transact([write], self._on_seal_written)

    def _on_seal_written(
        self, event: store_calls.StoreEvent, now: float
    ) -> None:
        if isinstance(event, events.StoreCommitted):
            self._finish_seal(now)
            return
        retry_at = self._backoff.record_failure(now=now)
        self._timers.call_at(retry_at, self._write_seal)

    def _finish_seal(self, now: float) -> None:
        if self._on_sealed is not None:
            self._on_sealed(now)


@dataclass(frozen=True, slots=True)
class _UnwrittenOutcome:
    sequence: ids.Sequence
    outcome: records.JobOutcome


@dataclass(frozen=True, slots=True)
class _WrittenRow:
    key: str
    highest_sequence: int
    deadline: float


@dataclass(frozen=True, slots=True)
class _Batch:
    writes: list[model.RowWrite]
    outcome_count: int


@dataclass(frozen=True, slots=True)
class LookupResult:
    """What the table service tells of an id whose owner can't be asked.

    Attributes:
        read: Whether the table service could be read.
        sealed: Whether all outcomes of the owner are known to be recorded.
        outcome: The recorded outcome, if any.
    """

    read: bool
    sealed: bool = False
    outcome: records.JobOutcome | None = None


LookupCallback = Callable[[LookupResult, float], None]


class OutcomeReader:
    """Looks up outcomes that other incarnations recorded."""

    def __init__(self, services: services_module.Services) -> None:
        self._store = services.store
        self._limits = services.limits
        self._lookups: collections.OrderedDict[str, _Lookup] = (
            collections.OrderedDict()
        )

    def find(
        self,
        owner: ids.SubmissionOwner,
        submission: ids.SubmissionId,
        on_found: LookupCallback,
        *,
        now: float,
    ) -> None:
        """Finds the recorded outcome of an id, and calls back."""
        prefix = records.bucket_prefix(owner.incarnation, owner.sequence)
        lookup = self._lookups.get(prefix)
        if lookup is not None and lookup.is_usable(submission, now):
            on_found(lookup.result(owner, submission), now)
            return
        if lookup is None or not lookup.running:
            lookup = self._start_lookup(owner, prefix)
        lookup.waiters.append(_LookupWaiter(owner, submission, on_found))

    def _start_lookup(
        self, owner: ids.SubmissionOwner, prefix: str
    ) -> "_Lookup":
        lookup = _Lookup(prefix)
        self._lookups[prefix] = lookup
        self._lookups.move_to_end(prefix)
        if len(self._lookups) > MAX_CACHED_LOOKUPS:
            self._drop_oldest()

        def on_seal(event: store_calls.StoreEvent, now: float) -> None:
            if not isinstance(event, events.StoreRows):
                lookup.fail(now)
                return
            # The seal is read before the outcomes: it is the last write, so
            # all outcomes are there to be read after it.
            lookup.set_seal(event.rows)
            self._store.scan(prefix, on_outcomes)

        def on_outcomes(event: store_calls.StoreEvent, now: float) -> None:
            if not isinstance(event, events.StoreRows):
                lookup.fail(now)
                return
            usable_until = now + self._limits.lookup_cache_s
            lookup.finish(event.rows, usable_until, now)

        self._store.read([records.seal_key(owner.incarnation)], on_seal)
        return lookup

    def _drop_oldest(self) -> None:
        for prefix, lookup in self._lookups.items():
            if not lookup.running:
                del self._lookups[prefix]
                return


@dataclass(frozen=True, slots=True)
class _LookupWaiter:
    owner: ids.SubmissionOwner
    submission: ids.SubmissionId
    on_found: LookupCallback


@dataclass(slots=True)
class _Lookup:
    prefix: str
    running: bool = True
    failed: bool = False
    sealed: bool = False
    deleted_below: int = 0
    usable_until: float = 0.0
    outcomes: dict[ids.SubmissionId, records.JobOutcome] = field(
        default_factory=dict
    )
    waiters: list[_LookupWaiter] = field(default_factory=list)

    def is_usable(self, submission: ids.SubmissionId, now: float) -> bool:
        if self.running or self.failed:
            return False
        final = self.sealed or submission in self.outcomes
        return final or now < self.usable_until

    def result(
        self, owner: ids.SubmissionOwner, submission: ids.SubmissionId
    ) -> LookupResult:
        if self.failed:
            return LookupResult(read=False)
        sealed = self.sealed and owner.sequence >= self.deleted_below
        return LookupResult(
            read=True, sealed=sealed, outcome=self.outcomes.get(submission)
        )

    def set_seal(self, rows: tuple[model.Row, ...]) -> None:
        seals = [row for row in rows if row.version]
        self.sealed = bool(seals)
        if seals:
            self.deleted_below = records.decode_seal(seals[0])

    def finish(
        self, rows: tuple[model.Row, ...], usable_until: float, now: float
    ) -> None:
        self.usable_until = usable_until
        for row in rows:
            for outcome in records.decode_outcomes(row.value):
                self.outcomes[outcome.answer.submission] = outcome
        self._notify_waiters(now)

    def fail(self, now: float) -> None:
        self.failed = True
        self._notify_waiters(now)

    def _notify_waiters(self, now: float) -> None:
        self.running = False
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.on_found(self.result(waiter.owner, waiter.submission), now)
