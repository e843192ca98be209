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
PATIENCE = 0.6
# A task that has waited takes a slower slot that loses so many times the wait.
WAITED_WEIGHT = 3.0
# An upstream whose running tasks are this many times older than expected is
# taken as slower than learnt.
STALL_AGE = 3.0
STALL_TASKS = 3
# An upstream ranked before others by less than this is looked at no further.
RANK_SLACK = 0.05
# How long the speed of the fastest upstream is taken as unchanged.
FASTEST_S = 0.5

Ranked = tuple[float, ids.UpstreamId, upstream_pool.Upstream]


@dataclass(slots=True)
class Lane:
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
    horizon_s: float = 0.0
    upstreams: list[upstream_pool.Upstream] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Offer:
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
        self.hosts = 1
        self.running = 0
        self._pool = pool
        self._speeds = speeds
        self._fastest = 0.0
        self._fastest_until = -math.inf

    def forget_fastest(self) -> None:
        """Looks for the fastest upstream anew."""
        self._fastest_until = -math.inf

    def rank(
        self,
        lane: Lane,
        template: ids.TemplateName,
        offered: dict[ids.UpstreamId, upstream_pool.Upstream],
    ) -> list[Ranked]:
        """Returns a heap of upstreams, the fastest for a template first."""
        ranks = self._speeds.ranks(template)
        ranked = [
            (ranks.get(name, upstream.credit.slowness / 100), name, upstream)
            for name, upstream in offered.items()
            if not lane.allowed or name in lane.allowed
        ]
        heapq.heapify(ranked)
        return ranked

    def best(
        self, ranked: list[Ranked], template: ids.TemplateName, *, now: float
    ) -> Offer | None:
        """Returns the fastest slot that is free."""
        while ranked:
            rank, name, upstream = ranked[0]
            if not self._pool.is_free(upstream, now):
                self._pool.free.pop(name, None)
                heapq.heappop(ranked)
                continue
            expected_s = self._expect_s(upstream, template, now)
            typical_s = self._speeds.typical_s(template)
            true_rank = math.log(expected_s / typical_s)
            if true_rank <= rank + RANK_SLACK:
                return Offer(expected_s, upstream)
            heapq.heapreplace(ranked, (true_rank, name, upstream))
        return None

    def worth_head(
        self,
        lane: Lane,
        job: fair_queue.QueuedJob,
        offer: Offer,
        *,
        now: float,
    ) -> bool:
        """Returns whether a slot beats the wait of the head job."""
        work_s = job.left_s * lane.queue.workspaces
        return self._beats(lane, job, offer, work_s, now)

    def worth_longest(
        self,
        lane: Lane,
        job: fair_queue.QueuedJob,
        offer: Offer,
        *,
        now: float,
    ) -> bool:
        """Returns whether a slot beats the wait of the longest job."""
        return self._beats(lane, job, offer, lane.queue.work_s, now)

    def slowest(
        self, lane: Lane, job: fair_queue.QueuedJob, *, now: float
    ) -> int:
        """Returns the slowness up to which a slot beats waiting."""
        template = job.request.template.name
        lost_s = self._patience_s(lane, job, lane.queue.work_s, now)
        fastest_s = self._fastest_s(lane, template, now)
        ratio = (fastest_s + lost_s) / self._speeds.typical_s(template)
        return round(100 * math.log(ratio))

    def _beats(
        self,
        lane: Lane,
        job: fair_queue.QueuedJob,
        offer: Offer,
        work_s: float,
        now: float,
    ) -> bool:
        template = job.request.template.name
        lost_s = offer.expected_s - self._fastest_s(lane, template, now)
        if lost_s <= 0:
            return True
        factor = job.factors[job.tasks[-1]]
        return factor * lost_s <= self._patience_s(lane, job, work_s, now)

    def _patience_s(
        self,
        lane: Lane,
        job: fair_queue.QueuedJob,
        work_s: float,
        now: float,
    ) -> float:
        """Returns how much a slot may lose and still beat waiting."""
        slots = max(lane.slots / self.hosts, self.running, 1.0)
        waited_s = now - job.enqueued_at
        return max(PATIENCE * work_s / slots, WAITED_WEIGHT * waited_s)

    def _expect_s(
        self,
        upstream: upstream_pool.Upstream,
        template: ids.TemplateName,
        now: float,
    ) -> float:
        expected_s = self._speeds.expect_s(template, upstream.entry.upstream)
        count = len(upstream.starts)
        if count >= STALL_TASKS:
            age_s = now - upstream.starts_sum / count
            if age_s > STALL_AGE * expected_s:
                return age_s
        return expected_s

    def _fastest_s(
        self, lane: Lane, template: ids.TemplateName, now: float
    ) -> float:
        if lane.allowed:
            return min(
                self._speeds.expect_s(template, each.entry.upstream)
                for each in lane.upstreams
            )
        if now >= self._fastest_until:
            self._fastest_until = now + FASTEST_S
            self._fastest = min(
                (
                    self._speeds.deviation(each.entry.upstream)
                    for each in lane.upstreams
                    if not each.leaving(now)
                    and self._pool.health.usable(each.entry.upstream)
                ),
                default=0.0,
            )
        return self._speeds.typical_s(template) * math.exp(self._fastest)
