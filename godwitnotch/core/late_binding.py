"""Decides whether a task takes a free slot or waits for a faster one."""

import heapq
import math

import msgspec

from godwitnotch.core import fair_queue
from godwitnotch.core import ids
from godwitnotch.core import speeds
from godwitnotch.core import upstream_pool

# A task takes a slower slot if the run time lost there is at most this share
# of the expected time until the queued work is finished.
MAX_LOSS_SHARE = 0.6
# A task also takes a slower slot if the run time lost there is at most this
# many times the time since its job was queued.
MAX_LOSS_PER_WAITED_TIME = 3.0
# An upstream counts as stalled if the mean age of its running tasks exceeds the
# expected run time this many times. The mean age is then used as the run time.
STALL_AGE_RATIO = 3.0
# An upstream with fewer running tasks than this doesn't count as stalled.
MIN_STALLED_TASK_COUNT = 3
# An upstream is ranked again if its deviation has grown by more than this since
# the ranking.
DEVIATION_TOLERANCE = 0.05
# The deviation of the fastest upstream is cached for this time.
FASTEST_CACHE_S = 0.5

# Deviation of an upstream for a template, its id, and the upstream.
RankedUpstream = tuple[float, ids.UpstreamId, upstream_pool.Upstream]


class UpstreamGroup(msgspec.Struct):
    """A set of upstreams and the queue of the jobs that may use it.

    Attributes:
        allowed: Ids of the upstreams that the jobs may use; empty if they may
            use all.
        queue: The queued tasks of these jobs.
        slots: Number of slots of the upstreams that aren't leaving.
        max_wait_s: Maximum time in seconds between the queueing of a job and
            its deadline, over all jobs queued since the queue was last empty.
        upstreams: Those of the allowed upstreams that are known.
    """

    allowed: frozenset[ids.UpstreamId]
    queue: fair_queue.FairQueue
    slots: int = 0
    max_wait_s: float = 0.0
    upstreams: list[upstream_pool.Upstream] = msgspec.field(
        default_factory=list
    )


class FreeSlot(msgspec.Struct, frozen=True):
    """A free slot of an upstream.

    Attributes:
        expected_s: Expected run time of a typical task there, in seconds.
        upstream: The upstream.
    """

    expected_s: float
    upstream: upstream_pool.Upstream


class LateBinding:
    """Decides between a free slot and waiting by the expected run times.

    Args:
        pool: The upstreams.
        speeds: Learnt run times.

    Attributes:
        host_count: Number of hosts that share the upstreams.
        running_count: Number of tasks that this host runs.
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
        """Drops the cached deviation of the fastest upstream."""
        self._fastest_until = -math.inf

    def rank(
        self,
        group: UpstreamGroup,
        template: ids.TemplateName,
        free_upstreams: dict[ids.UpstreamId, upstream_pool.Upstream],
    ) -> list[RankedUpstream]:
        """Returns a heap of upstreams, the fastest for a template first.

        Args:
            group: The group whose upstreams are allowed.
            template: The template.
            free_upstreams: Upstreams with a free slot, by id.
        """
        deviations = self._speeds.deviations(template)
        ranked = [
            (
                deviations.get(upstream_id, upstream.credit.slowness / 100),
                upstream_id,
                upstream,
            )
            for upstream_id, upstream in free_upstreams.items()
            if not group.allowed or upstream_id in group.allowed
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
        """Returns the fastest free slot, or None.

        Args:
            ranked: Heap of upstreams; entries without a free slot are removed.
            template: Template for which the upstreams are ranked.
            now: The current time.
        """
        while ranked:
            deviation, upstream_id, upstream = ranked[0]
            if not self._pool.is_free(upstream, now):
                self._pool.free.pop(upstream_id, None)
                heapq.heappop(ranked)
                continue
            expected_s = self._expected_s(upstream, template, now)
            typical_s = self._speeds.typical_s(template)
            actual_deviation = math.log(expected_s / typical_s)
            if actual_deviation <= deviation + DEVIATION_TOLERANCE:
                return FreeSlot(expected_s, upstream)
            heapq.heapreplace(ranked, (actual_deviation, upstream_id, upstream))
        return None

    def head_job_should_take_slot(
        self,
        group: UpstreamGroup,
        job: fair_queue.QueuedJob,
        slot: FreeSlot,
        *,
        now: float,
    ) -> bool:
        """Returns whether the job at the head should take a slot now.

        The queued work is taken to be the remaining work of this job times the
        number of workspaces with queued tasks.
        """
        work_s = job.remaining_s * group.queue.workspace_count
        return self._should_take_slot(group, job, slot, work_s, now)

    def largest_job_should_take_slot(
        self,
        group: UpstreamGroup,
        job: fair_queue.QueuedJob,
        slot: FreeSlot,
        *,
        now: float,
    ) -> bool:
        """Returns whether the job with most work should take a slot now.

        The queued work is that of the whole queue.
        """
        return self._should_take_slot(group, job, slot, group.queue.work_s, now)

    def max_slowness(
        self, group: UpstreamGroup, job: fair_queue.QueuedJob, *, now: float
    ) -> int:
        """Returns the maximum slowness of an upstream that a job should use.

        The slowness is in the unit of `LoanUpdate.slowness`.
        """
        template = job.request.template.name
        loss_s = self._max_loss_s(group, job, group.queue.work_s, now)
        fastest_s = self._fastest_s(group, template, now)
        ratio = (fastest_s + loss_s) / self._speeds.typical_s(template)
        return round(100 * math.log(ratio))

    def _should_take_slot(
        self,
        group: UpstreamGroup,
        job: fair_queue.QueuedJob,
        slot: FreeSlot,
        work_s: float,
        now: float,
    ) -> bool:
        """Returns whether the next task of a job should take a slot now."""
        template = job.request.template.name
        loss_s = slot.expected_s - self._fastest_s(group, template, now)
        if loss_s <= 0:
            return True
        relative_size = job.relative_sizes[job.tasks[-1]]
        return relative_size * loss_s <= self._max_loss_s(
            group, job, work_s, now
        )

    def _max_loss_s(
        self,
        group: UpstreamGroup,
        job: fair_queue.QueuedJob,
        work_s: float,
        now: float,
    ) -> float:
        """Returns the maximum loss of run time at a slower slot, in seconds."""
        parallel_tasks = max(
            group.slots / self.host_count, self.running_count, 1.0
        )
        waited_s = now - job.enqueued_at
        return max(
            MAX_LOSS_SHARE * work_s / parallel_tasks,
            MAX_LOSS_PER_WAITED_TIME * waited_s,
        )

    def _expected_s(
        self,
        upstream: upstream_pool.Upstream,
        template: ids.TemplateName,
        now: float,
    ) -> float:
        """Returns the expected run time of a typical task at an upstream."""
        expected_s = self._speeds.expected_s(template, upstream.entry.upstream)
        count = len(upstream.start_times)
        if count >= MIN_STALLED_TASK_COUNT:
            age_s = now - upstream.start_times_sum / count
            if age_s > STALL_AGE_RATIO * expected_s:
                return age_s
        return expected_s

    def _fastest_s(
        self, group: UpstreamGroup, template: ids.TemplateName, now: float
    ) -> float:
        """Returns the expected run time at the group's fastest upstream."""
        if group.allowed:
            return min(
                self._speeds.expected_s(template, each.entry.upstream)
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
