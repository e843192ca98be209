"""One host's view of all upstreams, and which of them have a free slot."""

import heapq
import itertools
import math
from collections.abc import Sequence

import msgspec

from godwitnotch.core import credit_ledger
from godwitnotch.core import credit_state
from godwitnotch.core import health
from godwitnotch.core import ids
from godwitnotch.core import ledger_messages
from godwitnotch.core import model
from godwitnotch.core import random_source
from godwitnotch.core import slot_caps

# Pause after a refused task or a failed connection; it doubles each time until
# the upstream answers a task.
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0
# An upstream that refused a task because it is leaving counts as leaving for
# this time, since the directory may lag behind.
LEAVING_RETENTION_S = 60.0
# Maximum size of the random sample of upstreams whose slots are requested.
MAX_CANDIDATE_COUNT = 24

# Submission and index of a task.
TaskKey = tuple[ids.SubmissionId, int]


class Upstream(msgspec.Struct, eq=False):
    """An upstream and this host's use of it.

    Attributes:
        entry: Entry of the upstream in the directory.
        credit: Slots of the upstream that this host uses, borrows or lends.
        start_times: When each running task of this host was started.
        start_times_sum: Sum of `start_times`.
        cap: Learnt maximum number of this host's tasks there.
        paused_until: When the upstream may be used again.
        pause_s: Length of the next pause in seconds.
        leaving_until: When the upstream no longer counts as leaving after it
            refused a task for that reason.
        kept_slot_count: Number of ended attempts whose slot stays in use, since
            the upstream may still run the task.
        gone: Whether the upstream is no longer in the directory.
    """

    entry: model.UpstreamEntry
    credit: credit_state.Credit
    start_times: dict[TaskKey, float] = msgspec.field(default_factory=dict)
    start_times_sum: float = 0.0
    cap: slot_caps.SlotCap = msgspec.field(default_factory=slot_caps.SlotCap)
    paused_until: float = 0.0
    pause_s: float = FIRST_PAUSE_S
    leaving_until: float = 0.0
    kept_slot_count: int = 0
    gone: bool = False

    def is_leaving(self, now: float) -> bool:
        """Returns whether the upstream is leaving or gone."""
        return self.gone or self.entry.leaving or self.leaving_until > now


class UpstreamPool:
    """All upstreams with their slots and health.

    Args:
        host: Id of this host.
        domain: Failure domain of this host.

    Attributes:
        ledger: Loans of slots.
        health: Health of the upstreams.
        free: Upstreams that had a free slot when they were last checked.
        newly_free: Those of `free` that were checked since the last assignment
            of tasks.
    """

    def __init__(self, host: ids.HostId, domain: ids.DomainId) -> None:
        self.ledger = credit_ledger.CreditLedger(host, domain)
        self.health = health.HealthTracker()
        self.free: dict[ids.UpstreamId, Upstream] = {}
        self.newly_free: dict[ids.UpstreamId, Upstream] = {}
        self._upstreams: dict[ids.UpstreamId, Upstream] = {}
        self._listed: tuple[model.UpstreamEntry, ...] = ()
        self._upstream_ids: list[ids.UpstreamId] = []
        self._paused: dict[ids.UpstreamId, Upstream] = {}
        self._kept_slots: list[tuple[float, int, Upstream]] = []
        self._sequence = itertools.count()

    def get(self, upstream_id: ids.UpstreamId) -> Upstream | None:
        """Returns an upstream in the directory or still in use, or None."""
        return self._upstreams.get(upstream_id)

    def select(self, upstream_ids: frozenset[ids.UpstreamId]) -> list[Upstream]:
        """Returns the known upstreams of a set; all if the set is empty."""
        found = [
            self._upstreams.get(upstream_id) for upstream_id in upstream_ids
        ]
        if not upstream_ids:
            return list(self._upstreams.values())
        return [upstream for upstream in found if upstream is not None]

    def update_upstreams(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> list[ids.UpstreamId] | None:
        """Replaces the list of upstreams.

        Returns:
            The known upstreams that aren't in the list; None if the list is
            the same as before.
        """
        if tuple(upstreams) == self._listed:
            return None
        self._listed = tuple(upstreams)
        self.health.update_upstreams(upstreams)
        self.ledger.update_resources(
            [
                ledger_messages.Resource(each.upstream, each.slots, each.domain)
                for each in upstreams
            ],
            now=now,
        )
        entries = {each.upstream: each for each in upstreams}
        gone = [
            upstream_id
            for upstream_id in self._upstreams
            if upstream_id not in entries
        ]
        for upstream_id in gone:
            self._mark_gone(self._upstreams[upstream_id])
        for entry in entries.values():
            self._add(entry)
        self._upstream_ids = list(self._upstreams)
        return gone

    def refresh_free(self, *, now: float) -> None:
        """Updates `free` and `newly_free` for all upstreams."""
        for upstream in self._upstreams.values():
            self.update_free(upstream, now)

    def is_free(self, upstream: Upstream, now: float) -> bool:
        """Returns whether a task may start at an upstream now."""
        return (
            upstream.credit.free > 0
            and upstream.cap.allows(len(upstream.start_times))
            and upstream.paused_until <= now
            and not upstream.is_leaving(now)
            and self.health.usable(upstream.entry.upstream)
        )

    def update_free(self, upstream: Upstream, now: float) -> None:
        """Updates `free` and `newly_free` for an upstream."""
        upstream_id = upstream.entry.upstream
        if self.is_free(upstream, now):
            self.free[upstream_id] = upstream
            self.newly_free[upstream_id] = upstream
        else:
            self.free.pop(upstream_id, None)
            self.newly_free.pop(upstream_id, None)

    def start_attempt(
        self, upstream: Upstream, task: TaskKey, *, now: float
    ) -> None:
        """Takes a slot for a task that starts."""
        self.ledger.acquire(upstream.credit)
        self.health.attempt_started(upstream.entry.upstream)
        upstream.start_times[task] = now
        upstream.start_times_sum += now

    def end_attempt(self, upstream: Upstream, task: TaskKey) -> None:
        """Records that an attempt ended; its slot stays in use."""
        upstream.start_times_sum -= upstream.start_times.pop(task)

    def release(self, upstream: Upstream, *, now: float) -> None:
        """Frees the slot of an attempt that ended."""
        self.ledger.release(upstream.credit, now=now)
        self._drop_if_unused(upstream)
        self.update_free(upstream, now)

    def release_later(self, upstream: Upstream, until: float) -> None:
        """Keeps the slot of an attempt that ended, and frees it later."""
        upstream.kept_slot_count += 1
        entry = (until, next(self._sequence), upstream)
        heapq.heappush(self._kept_slots, entry)

    def pause(self, upstream: Upstream, *, now: float) -> None:
        """Pauses an upstream; each pause is twice as long as the last one.

        Called after a refused task or a failed connection.
        """
        if upstream.paused_until > now:
            return
        upstream.paused_until = now + upstream.pause_s
        upstream.pause_s = min(2 * upstream.pause_s, MAX_PAUSE_S)
        self._paused[upstream.entry.upstream] = upstream

    def mark_leaving(self, upstream: Upstream, *, now: float) -> None:
        """Treats an upstream as leaving after a refusal for that reason."""
        upstream.leaving_until = now + LEAVING_RETENTION_S
        upstream.paused_until = upstream.leaving_until
        self._paused[upstream.entry.upstream] = upstream

    def advance(self, *, now: float) -> None:
        """Handles timeouts that are due and changes of the ledger."""
        self.ledger.advance(now=now)
        for upstream_id in self.health.advance(now=now):
            self.update_free(self._upstreams[upstream_id], now)
        while self._kept_slots and self._kept_slots[0][0] <= now:
            upstream = heapq.heappop(self._kept_slots)[2]
            upstream.kept_slot_count -= 1
            self.release(upstream, now=now)
        if self.ledger.changed:
            self._update_changed(now)
        if self._paused:
            self._end_pauses(now)

    def next_deadline(self) -> float | None:
        """Returns when `advance` must be called next, or None."""
        earliest = math.inf
        if self._kept_slots:
            earliest = self._kept_slots[0][0]
        for each in (self.ledger.next_deadline(), self.health.next_deadline()):
            if each is not None and each < earliest:
                earliest = each
        for upstream in self._paused.values():
            earliest = min(earliest, upstream.paused_until)
        return None if earliest == math.inf else earliest

    def request_candidates(
        self, rng: random_source.RandomSource, *, now: float
    ) -> list[Upstream]:
        """Returns upstreams to request slots of; a random sample if many."""
        upstream_ids = self._upstream_ids
        if len(upstream_ids) > MAX_CANDIDATE_COUNT:
            size = len(upstream_ids)
            upstream_ids = [
                upstream_ids[rng.randrange(size)]
                for _ in range(MAX_CANDIDATE_COUNT)
            ]
        found = {
            upstream_id: self._upstreams.get(upstream_id)
            for upstream_id in upstream_ids
        }
        return [
            upstream
            for upstream in found.values()
            if upstream is not None and self.worth_requesting(upstream, now)
        ]

    def worth_requesting(self, upstream: Upstream, now: float) -> bool:
        """Returns whether to request more slots of an upstream."""
        credit = upstream.credit
        upstream_id = upstream.entry.upstream
        return (
            not credit.is_lender
            and credit.held < upstream.entry.slots
            and not upstream.is_leaving(now)
            and self.health.state(upstream_id) is health.State.HEALTHY
        )

    def _add(self, entry: model.UpstreamEntry) -> None:
        """Adds a listed upstream or updates its entry."""
        credit = self.ledger.credit(entry.upstream)
        assert credit is not None
        upstream = self._upstreams.get(entry.upstream)
        if upstream is None:
            upstream = Upstream(entry, credit)
            self._upstreams[entry.upstream] = upstream
        upstream.entry = entry
        upstream.credit = credit
        upstream.gone = False
        self.free[entry.upstream] = upstream

    def _mark_gone(self, upstream: Upstream) -> None:
        """Stops using an upstream that is no longer listed."""
        upstream_id = upstream.entry.upstream
        upstream.gone = True
        self.free.pop(upstream_id, None)
        self.newly_free.pop(upstream_id, None)
        self._paused.pop(upstream_id, None)
        self._drop_if_unused(upstream)

    def _drop_if_unused(self, upstream: Upstream) -> None:
        """Removes a gone upstream when no slot of it is in use."""
        if (
            upstream.gone
            and not upstream.start_times
            and not upstream.kept_slot_count
        ):
            self._upstreams.pop(upstream.entry.upstream, None)

    def _update_changed(self, now: float) -> None:
        """Updates upstreams whose slots changed in the ledger."""
        for key in sorted(self.ledger.changed):
            upstream = self._upstreams.get(ids.UpstreamId(key))
            if upstream is not None:
                self.update_free(upstream, now)
        self.ledger.changed.clear()

    def _end_pauses(self, now: float) -> None:
        """Ends the pauses that have passed."""
        due = [u for u in self._paused.values() if u.paused_until <= now]
        for upstream in due:
            del self._paused[upstream.entry.upstream]
            self.update_free(upstream, now)
