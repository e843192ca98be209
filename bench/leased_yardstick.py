"""Baseline schedulers to compare the host core of a leader with.

`FirstComeFirstServed` starts jobs in the order of their arrival on the first
upstream with room, `TwoChoices` on the better of two random upstreams.
`Clairvoyant` knows all run times and the slowness of all upstreams in advance,
and waits for a faster upstream if a task can end in time only there.
`lone_job_end_times` gives an upper bound for the results of every scheduler:
each job runs alone on the fastest upstreams.

A task or job ends in time if it ends within the job's target response time.
"""

import bisect
import heapq
import itertools
import random
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from bench import leased_load
from godwitnotch.core.leased import model


@dataclass(slots=True)
class WaitingJob:
    """A job with tasks that have not started.

    Attributes:
        job: The job.
        waiting_work_ms: Run times of the waiting tasks on an upstream of
            slowness 1, the longest last.
        running_count: Number of running tasks.
    """

    job: leased_load.Job
    waiting_work_ms: list[float]
    running_count: int = 0

    @property
    def total_waiting_work_ms(self) -> float:
        """Total run time of the waiting tasks at slowness 1."""
        return sum(self.waiting_work_ms)


@dataclass(slots=True)
class UpstreamState:
    """An upstream and its free resources.

    Attributes:
        load_upstream: The upstream in the load.
        free_cpu_millis: Free CPU capacity in millicores.
        free_slots: Number of free slots.
        available: Whether the upstream accepts runs.
        running_ends: End time and CPU millicores of each running task, sorted
            by end time.
    """

    load_upstream: leased_load.Upstream
    free_cpu_millis: int
    free_slots: int
    available: bool = True
    running_ends: list[tuple[float, int]] = field(default_factory=list)

    def has_room_for(self, job: leased_load.Job) -> bool:
        """Returns whether a task of a job can start now."""
        needs = job.request.tasks.needs
        has_slot = self.available and self.free_slots > 0
        return has_slot and needs.cpu_millis <= self.free_cpu_millis

    def start_task(self, job: leased_load.Job, *, end: float) -> None:
        """Takes the resources of a task until its end time."""
        cpu_millis = job.request.tasks.needs.cpu_millis
        self.free_slots -= 1
        self.free_cpu_millis -= cpu_millis
        bisect.insort(self.running_ends, (end, cpu_millis))

    def end_task(self, job: leased_load.Job, *, now: float) -> None:
        """Frees the resources of a task that ends now."""
        cpu_millis = job.request.tasks.needs.cpu_millis
        self.free_slots += 1
        self.free_cpu_millis += cpu_millis
        self.running_ends.remove((now, cpu_millis))

    def room_at(self, job: leased_load.Job) -> float:
        """Returns the time when ended tasks have freed enough CPU for a job.

        Returns infinity if no such time exists.
        """
        free_cpu_millis = self.free_cpu_millis
        for end, cpu_millis in self.running_ends:
            free_cpu_millis += cpu_millis
            if (
                self.available
                and job.request.tasks.needs.cpu_millis <= free_cpu_millis
            ):
                return end
        return float("inf")


class Scheduler(Protocol):
    """Orders waiting jobs and chooses upstreams for their tasks."""

    def sort_key(self, waiting_job: WaitingJob, *, now: float) -> float:
        """Returns the sort key of a job; the lowest key comes first."""

    def choose_upstream(
        self,
        waiting_job: WaitingJob,
        upstreams: Sequence[UpstreamState],
        *,
        now: float,
    ) -> UpstreamState | None:
        """Returns the upstream for the next task, None if the task waits."""


class FirstComeFirstServed:
    """First come, first served, on the first upstream with room."""

    def sort_key(self, waiting_job: WaitingJob, *, now: float) -> float:
        """Returns the arrival time."""
        return waiting_job.job.arrives_at

    def choose_upstream(
        self,
        waiting_job: WaitingJob,
        upstreams: Sequence[UpstreamState],
        *,
        now: float,
    ) -> UpstreamState | None:
        """Returns the first upstream with room."""
        return next(
            (
                upstream
                for upstream in upstreams
                if upstream.has_room_for(waiting_job.job)
            ),
            None,
        )


class TwoChoices(FirstComeFirstServed):
    """First come, first served, on the better of two random upstreams."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)

    def choose_upstream(
        self,
        waiting_job: WaitingJob,
        upstreams: Sequence[UpstreamState],
        *,
        now: float,
    ) -> UpstreamState | None:
        """Draws two upstreams with room and returns the one with more free CPU.

        Returns None if no upstream has room.
        """
        free = [
            upstream
            for upstream in upstreams
            if upstream.has_room_for(waiting_job.job)
        ]
        if not free:
            return None
        candidates = [self._rng.choice(free) for _ in range(2)]
        return max(candidates, key=lambda upstream: upstream.free_cpu_millis)


class Clairvoyant:
    """Least waiting work first; jobs that can't end in time come last."""

    def sort_key(self, waiting_job: WaitingJob, *, now: float) -> float:
        """Returns the waiting work, plus a penalty if the job will be late.

        Work is the total run time of tasks at slowness 1.
        """
        longest_s = max(waiting_job.waiting_work_ms, default=0.0) / 1_000
        will_be_late = (
            now + longest_s
            > waiting_job.job.arrives_at + target_response_s(waiting_job.job)
        )
        return waiting_job.total_waiting_work_ms + (
            1e9 if will_be_late else 0.0
        )

    def choose_upstream(
        self,
        waiting_job: WaitingJob,
        upstreams: Sequence[UpstreamState],
        *,
        now: float,
    ) -> UpstreamState | None:
        """Returns the fastest upstream with room.

        Returns None if the task would end late there, but in time on a faster
        upstream that has room later.
        """
        free = (
            upstream
            for upstream in upstreams
            if upstream.has_room_for(waiting_job.job)
        )
        fastest = min(
            free,
            key=lambda upstream: upstream.load_upstream.slowness,
            default=None,
        )
        if fastest is None or _ends_in_time(waiting_job, fastest, now):
            return fastest
        faster_in_time = (
            upstream
            for upstream in upstreams
            if upstream.load_upstream.slowness < fastest.load_upstream.slowness
            and _ends_in_time(
                waiting_job, upstream, upstream.room_at(waiting_job.job)
            )
        )
        return fastest if next(faster_in_time, None) is None else None


def _ends_in_time(
    waiting_job: WaitingJob, upstream: UpstreamState, starts_at: float
) -> bool:
    """Returns whether the next task ends in time if started at `starts_at`."""
    run_s = (
        waiting_job.waiting_work_ms[-1]
        * upstream.load_upstream.slowness
        / 1_000
    )
    return starts_at + run_s <= waiting_job.job.arrives_at + target_response_s(
        waiting_job.job
    )


@dataclass(slots=True)
class Simulation:
    """Simulates a load under a scheduler.

    Args:
        load: The load.
        scheduler: The scheduler that places the tasks.
    """

    load: leased_load.Load
    scheduler: Scheduler
    _now: float = 0.0
    _upstreams: list[UpstreamState] = field(default_factory=list)
    _waiting_jobs: list[WaitingJob] = field(default_factory=list)
    _task_ends: list[tuple[float, int, WaitingJob, UpstreamState]] = field(
        default_factory=list
    )
    _ended_at: dict[model.JobName, float] = field(default_factory=dict)

    def run(self) -> dict[model.JobName, float]:
        """Returns end times of jobs that ended while their callers waited."""
        self._upstreams = [
            UpstreamState(
                upstream,
                upstream.entry.capacity.cpu_millis,
                upstream.entry.slots,
            )
            for upstream in self.load.upstreams
        ]
        sequence = itertools.count()
        arrivals = sorted(
            (
                leased_load.acceptance_time(job, self.load.outages),
                next(sequence),
                job,
            )
            for job in self.load.jobs
        )
        for accepted_at, _, job in arrivals:
            self._advance_to(accepted_at, sequence)
            self._now = accepted_at
            self._waiting_jobs.append(WaitingJob(job, sorted(job.work_ms)))
            self._start_waiting(sequence)
        self._advance_to(float("inf"), sequence)
        return self._ended_at

    def _advance_to(
        self, end_at: float, sequence: "itertools.count[int]"
    ) -> None:
        """Ends all tasks whose end time is not after `end_at`."""
        while self._task_ends and self._task_ends[0][0] <= end_at:
            self._now, _, waiting_job, upstream = heapq.heappop(self._task_ends)
            upstream.end_task(waiting_job.job, now=self._now)
            waiting_job.running_count -= 1
            if (
                not waiting_job.waiting_work_ms
                and not waiting_job.running_count
            ):
                self._record_end(waiting_job)
            self._start_waiting(sequence)

    def _record_end(self, waiting_job: WaitingJob) -> None:
        if self._now <= waiting_job.job.arrives_at + waiting_job.job.max_wait_s:
            self._ended_at[waiting_job.job.request.job] = self._now

    def _start_waiting(self, sequence: "itertools.count[int]") -> None:
        """Starts waiting tasks while the scheduler finds upstreams."""
        now = self._now
        for upstream_state in self._upstreams:
            upstream_state.available = (
                upstream_state.load_upstream.is_available(now)
            )
        self._waiting_jobs = [
            waiting
            for waiting in self._waiting_jobs
            if waiting.waiting_work_ms
            and now < waiting.job.arrives_at + waiting.job.max_wait_s
        ]
        self._waiting_jobs.sort(
            key=lambda waiting: self.scheduler.sort_key(waiting, now=now)
        )
        for waiting_job in self._waiting_jobs:
            while waiting_job.waiting_work_ms:
                upstream = self.scheduler.choose_upstream(
                    waiting_job, self._upstreams, now=now
                )
                if upstream is None:
                    break
                run_s = (
                    waiting_job.waiting_work_ms.pop()
                    * upstream.load_upstream.slowness
                    / 1_000
                )
                upstream.start_task(waiting_job.job, end=now + run_s)
                waiting_job.running_count += 1
                end = (now + run_s, next(sequence), waiting_job, upstream)
                heapq.heappush(self._task_ends, end)
            if not any(upstream.free_slots > 0 for upstream in self._upstreams):
                return


def lone_job_end_times(load: leased_load.Load) -> dict[model.JobName, float]:
    """Returns when each job would end if it ran alone.

    Jobs that would end after their caller left are omitted.
    """
    min_slowness = min(upstream.slowness for upstream in load.upstreams)
    ended_at = {}
    for job in load.jobs:
        accepted_at = leased_load.acceptance_time(job, load.outages)
        ends_at = accepted_at + max(job.work_ms) * min_slowness / 1_000
        if ends_at <= job.arrives_at + job.max_wait_s:
            ended_at[job.request.job] = ends_at
    return ended_at


def target_response_s(job: leased_load.Job) -> float:
    """Returns the target response time of a job, in seconds."""
    settings = job.request.settings
    work_ms = sum(job.work_ms) / len(job.work_ms)
    return (work_ms * settings.stretch + settings.target_ms) / 1_000


def work_in_time_share(
    load: leased_load.Load, ended_at: Mapping[model.JobName, float]
) -> float:
    """Returns the share of the work that belongs to jobs that ended in time.

    Work is the total run time of tasks at slowness 1.
    """
    total_work_ms = sum(sum(job.work_ms) for job in load.jobs)
    in_time_work_ms = sum(
        sum(job.work_ms)
        for job in load.jobs
        if ended_at.get(job.request.job, float("inf"))
        <= job.arrives_at + target_response_s(job)
    )
    return in_time_work_ms / total_work_ms


def completed_share(
    load: leased_load.Load, ended_at: Mapping[model.JobName, float]
) -> float:
    """Returns the share of jobs that were completed."""
    return len(ended_at) / len(load.jobs)
