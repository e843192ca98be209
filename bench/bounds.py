"""Simulates the clairvoyant scheduler on a generated load.

Other policies are compared with the result, since the clairvoyant scheduler
knows all true run times and the state of every slot, and needs no messages.
"""

import heapq
import itertools

from bench import clairvoyant
from bench import recorded_load
from godwitnotch.core import ids
from godwitnotch.core import scheduler


def clairvoyant_ratios(
    load: recorded_load.Load,
) -> dict[ids.SubmissionId, float]:
    """Simulates a load under the clairvoyant scheduler.

    Returns:
        Each job's response time divided by its ideal response time.
    """
    return _ClairvoyantReplay(load).run()


class _ClairvoyantReplay:
    """Simulation of one load, driven by a queue of events."""

    def __init__(self, load: recorded_load.Load) -> None:
        self._load = load
        self._scheduler = clairvoyant.ClairvoyantScheduler(load)
        self._host_schedulers = {
            entry.host: self._scheduler.host_scheduler(entry.host)
            for entry in load.hosts
        }
        self._jobs = {job.submission: job for job in load.jobs}
        self._remaining_tasks = {
            job.submission: len(job.declared_ms) for job in load.jobs
        }
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, object]] = []
        self._ratios: dict[ids.SubmissionId, float] = {}

    def run(self) -> dict[ids.SubmissionId, float]:
        for job in self._load.jobs:
            self._schedule(job.arrives_at, job)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if isinstance(event, recorded_load.Job):
                self._handle_arrival(event, now)
            elif isinstance(event, scheduler.Assignment):
                self._handle_task_end(event, now)
            self._start_tasks(now)
        return self._ratios

    def _schedule(self, event_time: float, event: object) -> None:
        heapq.heappush(self._events, (event_time, next(self._sequence), event))

    def _handle_arrival(self, job: recorded_load.Job, now: float) -> None:
        request = scheduler.JobRequest(
            job.submission,
            job.workspace,
            job.template,
            job.declared_ms,
            now + job.max_wait_s,
        )
        self._host_schedulers[job.host].enqueue(request, now=now)

    def _handle_task_end(
        self, assignment: scheduler.Assignment, now: float
    ) -> None:
        self._scheduler.free_slots[assignment.upstream.upstream] += 1
        submission = assignment.submission
        self._remaining_tasks[submission] -= 1
        if not self._remaining_tasks[submission]:
            job = self._jobs[submission]
            self._ratios[submission] = (
                now - job.arrives_at
            ) / self._load.ideal_response_s(job)

    def _start_tasks(self, now: float) -> None:
        for host_scheduler in self._host_schedulers.values():
            for start in host_scheduler.assign(now=now):
                work_s = self._load.work_s[start.submission][start.task_index]
                speed = self._load.speeds[start.upstream.upstream]
                self._schedule(now + work_s / speed, start)
