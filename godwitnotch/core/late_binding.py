"""Chooses the slot that a task takes, or to wait for a better one."""

import heapq
import math
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import fair_queue
from godwitnotch.core import ids
from godwitnotch.core import speeds
from godwitnotch.core import upstream_pool

# A slower slot is taken only if the time lost on it is at most this share of
# the time that the queue takes to drain.
MAX_LOSS_SHARE = 0.6
# A task that has waited takes a slower slot that loses so many times the wait.
MAX_LOSS_PER_WAITED_TIME = 3.0
# An upstream whose running tasks are this many times older than expected is
# taken as slower than learnt.
STALL_AGE_RATIO = 3.0
STALL_TASK_COUNT = 3
# An upstream ranked before others by less than this is looked at no further.
DEVIATION_TOLERANCE = 0.05
# How long the speed of the fastest upstream is taken as unchanged.
FASTEST_CACHE_S = 0.5

RankedUpstream = tuple[float, ids.UpstreamId, upstream_pool.Upstream]


@dataclass(slots=True)
class UpstreamGroup:
    """The queue of the jobs that may use the same upstreams.

    Attributes:
        allowed: Names of the upstreams; empty means all.
        queue: The waiting tasks.
        slots: Slots of the upstreams that aren't leaving.
        horizon_s: Longest time that callers of queued jobs wait.
        upstreams: The upstreams that are known.
    """

    allowed: frozenset[ids.UpstreamId]
    queue: fair_queue.FairQueue
    slots: int = 0
    max_wait_s: float = 0.0
    upstreams: list[upstream_pool.Upstream] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class FreeSlot:
    """A free slot and how long a typical task would take there."""

    expected_s: float
    upstream: upstream_pool.Upstream


class LateBinding:
    """Compares slots by the time at which a task would finish.

    Attributes:
        hosts: Number of hosts that share the upstreams.
        running: Number of tasks that this host runs.
    """

    def __init__(
        self, pool: upstream_pool.UpstreamPool, speeds: speeds.SpeedModel
    ) -> None:
        self.host_count = 1
        self.running_count = 0
        self._pool = pool
        self._speeds = speeds
        self._fastest_deviation = 0.0
        self._fastest_until = -math.inf

    def reset_fastest(self) -> None:
        """Looks for the fastest upstream anew."""
        self._fastest_until = -math.inf

    def rank(
        self,
        group: UpstreamGroup,
        template: ids.TemplateName,
        free_upstreams: dict[ids.UpstreamId, upstream_pool.Upstream],
    ) -> list[RankedUpstream]:
        """Returns a heap of upstreams, the fastest for a template first."""
        deviations = self._speeds.deviations(template)
        ranked = [
            (
                deviations.get(name, upstream.credit.slowness / 100),
                name,
                upstream,
            )
            for name, upstream in free_upstreams.items()
            if not group.allowed or name in group.allowed
        ]
        heapq.heapify(ranked)
        return ranked

    def fastest_free(
        self,
        ranked: list[RankedUpstream],
        template: ids.TemplateName,
        *,
        now: float,
    ) -> FreeSlot | None:
        """Returns the fastest slot that is free."""
        while ranked:
            deviation, name, upstream = ranked[0]
            if not self._pool.is_free(upstream, now):
                self._pool.free.pop(name, None)
                heapq.heappop(ranked)
                continue
            expected_s = self._expect_s(upstream, template, now)
            typical_s = self._speeds.typical_s(template)
            actual_deviation = math.log(expected_s / typical_s)
            if actual_deviation <= deviation + DEVIATION_TOLERANCE:
                return FreeSlot(expected_s, upstream)
            heapq.heapreplace(ranked, (actual_deviation, name, upstream))
        return None

    def beats_waiting_head(
        self,
        group: UpstreamGroup,
        job: fair_queue.QueuedJob,
        slot: FreeSlot,
        *,
        now: float,
    ) -> bool:
        """Returns whether a slot beats the wait of the head job."""
        work_s = job.remaining_s * group.queue.workspace_count
        return self._beats_waiting(group, job, slot, work_s, now)

    def beats_waiting_longest(
        self,
        group: UpstreamGroup,
        job: fair_queue.QueuedJob,
        slot: FreeSlot,
        *,
        now: float,
    ) -> bool:
        """Returns whether a slot beats the wait of the longest job."""
        return self._beats_waiting(group, job, slot, group.queue.work_s, now)

    def max_slowness(
        self, group: UpstreamGroup, job: fair_queue.QueuedJob, *, now: float
    ) -> int:
        """Returns the slowness up to which a slot beats waiting."""
        template = job.request.template.name
        loss_s = self._max_loss_s(group, job, group.queue.work_s, now)
        fastest_s = self._fastest_s(group, template, now)
        ratio = (fastest_s + loss_s) / self._speeds.typical_s(template)
        return round(100 * math.log(ratio))

    def _beats_waiting(
        self,
        group: UpstreamGroup,
        job: fair_queue.QueuedJob,
        slot: FreeSlot,
        work_s: float,
        now: float,
    ) -> bool:
        template = job.request.template.name
        loss_s = slot.expected_s - self._fastest_s(group, template, now)
        if loss_s <= 0:
            return True
        factor = job.factors[job.tasks[-1]]
        return factor * loss_s <= self._max_loss_s(group, job, work_s, now)

    def _max_loss_s(
        self,
        group: UpstreamGroup,
        job: fair_queue.QueuedJob,
        work_s: float,
        now: float,
    ) -> float:
        """Returns how much a slot may lose and still beat waiting."""
        slots = max(group.slots / self.host_count, self.running_count, 1.0)
        waited_s = now - job.enqueued_at
        return max(
            MAX_LOSS_SHARE * work_s / slots, MAX_LOSS_PER_WAITED_TIME * waited_s
        )

    def _expect_s(
        self,
        upstream: upstream_pool.Upstream,
        template: ids.TemplateName,
        now: float,
    ) -> float:
        expected_s = self._speeds.expect_s(template, upstream.entry.upstream)
        count = len(upstream.start_times)
        if count >= STALL_TASK_COUNT:
            age_s = now - upstream.start_times_sum / count
            if age_s > STALL_AGE_RATIO * expected_s:
                return age_s
        return expected_s

    def _fastest_s(
        self, group: UpstreamGroup, template: ids.TemplateName, now: float
    ) -> float:
        if group.allowed:
            return min(
                self._speeds.expect_s(template, each.entry.upstream)
                for each in group.upstreams
            )
        if now >= self._fastest_until:
            self._fastest_until = now + FASTEST_CACHE_S
            self._fastest_deviation = min(
                (
                    self._speeds.deviation(each.entry.upstream)
                    for each in group.upstreams
                    if not each.is_leaving(now)
                    and self._pool.health.usable(each.entry.upstream)
                ),
                default=0.0,
            )
        return self._speeds.typical_s(template) * math.exp(
            self._fastest_deviation
        )
