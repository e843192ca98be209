"""Records the outcomes of started jobs in the store, for other hosts to read.

Outcomes are written in batches, after the callers are answered (write-behind).
A clean shutdown writes the seal, a row that states that all outcomes of the
incarnation are recorded. If the seal exists, no task of an id without an
outcome has started, unless the outcome was deleted after its retention.
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

MAX_CACHED_LOOKUPS = 256
MAX_DELETES_PER_BATCH = 50


class OutcomeLog:
    """Writes the outcomes of one incarnation, one batch at a time.

    Args:
        services: Shared services.
        incarnation: This process's incarnation; no other process writes its
            rows.
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
        """Number of outcomes that are not in the store yet."""
        in_flight = self._in_flight.outcome_count if self._in_flight else 0
        return len(self._unwritten) + in_flight

    def record(
        self,
        sequence: ids.Sequence,
        outcome: records.JobOutcome,
        *,
        now: float,
    ) -> None:
        """Queues the outcome of a job whose tasks may have started.

        Args:
            sequence: Sequence number of the submission id.
            outcome: The outcome; large results are not recorded.
            now: The current time.
        """
        size_bytes = sum(map(len, outcome.answer.results))
        if size_bytes > self._limits.max_outcome_bytes:
            answer = msgspec.structs.replace(outcome.answer, results=())
            outcome = msgspec.structs.replace(outcome, answer=answer)
        self._unwritten.append(_UnwrittenOutcome(sequence, outcome))
        if len(self._unwritten) > self._limits.max_unwritten_outcomes:
            dropped = self._unwritten.popleft()
            self._outcomes_dropped = True
            self._out.note(
                "outcome_dropped", submission=dropped.outcome.answer.submission
            )
        self._schedule_flush(now + self._flush_interval_s)

    def set_host_count(self, count: int) -> None:
        """Sets the flush interval so that all hosts share the rate limit."""
        shared_s = count / self._limits.outcome_writes_per_s
        self._flush_interval_s = max(self._limits.outcome_flush_s, shared_s)

    def seal(self, on_sealed: Callable[[float], None], *, now: float) -> None:
        """Writes the remaining outcomes and then the seal.

        If outcomes were dropped, the seal is not written, since it would
        state that all outcomes are recorded.

        Args:
            on_sealed: Called after the last write.
            now: The current time.
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
        """Returns a batch with one row for each bucket of sequence numbers."""
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
        return _Batch(writes + self._deletes_of_expired_rows(now), count)

    def _bucket_write(
        self, prefix: str, bucket: "list[_UnwrittenOutcome]", now: float
    ) -> model.RowWrite:
        key = f"{prefix}{self._batch_number:010d}"
        highest = max(outcome.sequence for outcome in bucket)
        self._written.append(
            _WrittenRow(key, highest, now + self._limits.outcome_retention_s)
        )
        outcomes = [unwritten.outcome for unwritten in bucket]
        return model.RowWrite(key, records.encode_outcomes(outcomes))

    def _deletes_of_expired_rows(self, now: float) -> list[model.RowWrite]:
        """Returns deletes of rows whose retention period has ended."""
        deletes: list[model.RowWrite] = []
        while self._written and self._written[0].expires_at <= now:
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
        # Only this incarnation writes these rows, so the retry is idempotent.
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


class _UnwrittenOutcome(msgspec.Struct, frozen=True):
    """An outcome that waits for the next batch."""

    sequence: ids.Sequence
    outcome: records.JobOutcome


class _WrittenRow(msgspec.Struct, frozen=True):
    """A row in the store and when it is due to be deleted.

    Attributes:
        key: Key of the row.
        highest_sequence: Highest sequence number of its outcomes.
        expires_at: End of the retention period.
    """

    key: str
    highest_sequence: int
    expires_at: float


class _Batch(msgspec.Struct, frozen=True):
    """The writes of one transaction and the number of their outcomes."""

    writes: list[model.RowWrite]
    outcome_count: int


class LookupResult(msgspec.Struct, frozen=True):
    """What the store knows about an id whose owner can't be reached.

    Attributes:
        store_available: Whether the store could be read.
        missing_proves_not_started: Whether a missing outcome proves that no
            task has started.
        outcome: The recorded outcome, if any.
    """

    store_available: bool
    missing_proves_not_started: bool = False
    outcome: records.JobOutcome | None = None


LookupCallback = Callable[[LookupResult, float], None]


class OutcomeReader:
    """Looks up the recorded outcomes of other incarnations."""

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
        """Looks up the recorded outcome of an id.

        Args:
            owner: Owner of the id.
            submission: The id.
            on_found: Called with the result.
            now: The current time.
        """
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
            # The seal is written after all outcomes. If the seal is read
            # first, the scan that follows returns all outcomes.
            lookup.set_seal(event.rows)
            self._store.scan(prefix, on_outcomes)

        def on_outcomes(event: store_calls.StoreEvent, now: float) -> None:
            if not isinstance(event, events.StoreRows):
                lookup.fail(now)
                return
            expires_at = now + self._limits.lookup_cache_s
            lookup.finish(event.rows, expires_at, now)

        self._store.read([records.seal_key(owner.incarnation)], on_seal)
        return lookup

    def _drop_oldest(self) -> None:
        for prefix, lookup in self._lookups.items():
            if not lookup.running:
                del self._lookups[prefix]
                return


class _LookupWaiter(msgspec.Struct, frozen=True):
    """A call that waits for a lookup."""

    owner: ids.SubmissionOwner
    submission: ids.SubmissionId
    on_found: LookupCallback


class _Lookup(msgspec.Struct):
    """A running or cached scan of the outcome rows with one prefix.

    Attributes:
        prefix: The prefix of the rows.
        running: Whether the store has not responded yet.
        failed: Whether the store could not be read.
        sealed: Whether the incarnation has written its seal.
        deleted_below: Outcomes of sequence numbers below this may have been
            deleted.
        expires_at: When the result expires, if it may still change.
        outcomes: The recorded outcomes by id.
        waiters: The calls that wait for the result.
    """

    prefix: str
    running: bool = True
    failed: bool = False
    sealed: bool = False
    deleted_below: int = 0
    expires_at: float = 0.0
    outcomes: dict[ids.SubmissionId, records.JobOutcome] = msgspec.field(
        default_factory=dict
    )
    waiters: list[_LookupWaiter] = msgspec.field(default_factory=list)

    def is_usable(self, submission: ids.SubmissionId, now: float) -> bool:
        if self.running or self.failed:
            return False
        final = self.sealed or submission in self.outcomes
        return final or now < self.expires_at

    def result(
        self, owner: ids.SubmissionOwner, submission: ids.SubmissionId
    ) -> LookupResult:
        if self.failed:
            return LookupResult(store_available=False)
        missing_proves_not_started = (
            self.sealed and owner.sequence >= self.deleted_below
        )
        return LookupResult(
            store_available=True,
            missing_proves_not_started=missing_proves_not_started,
            outcome=self.outcomes.get(submission),
        )

    def set_seal(self, rows: tuple[model.Row, ...]) -> None:
        seals = [row for row in rows if row.version]
        self.sealed = bool(seals)
        if seals:
            self.deleted_below = records.decode_seal(seals[0])

    def finish(
        self, rows: tuple[model.Row, ...], expires_at: float, now: float
    ) -> None:
        self.expires_at = expires_at
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
