"""Response times of a clairvoyant central scheduler on a recorded load.

It knows true run times and the state of every slot, and needs no messages.
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
    """Returns each job's response time over its ideal time."""
    return _Replay(load).run()


class _Replay:
    def __init__(self, load: recorded_load.Load) -> None:
        self._load = load
        self._central = clairvoyant.Central(load)
        self._views = {
            entry.host: self._central.view(entry.host) for entry in load.hosts
        }
        self._jobs = {job.submission: job for job in load.jobs}
        self._left = {job.submission: len(job.declared_ms) for job in load.jobs}
        self._order = itertools.count()
        self._due: list[tuple[float, int, object]] = []
        self._ratios: dict[ids.SubmissionId, float] = {}

    def run(self) -> dict[ids.SubmissionId, float]:
        for job in self._load.jobs:
            self._push(job.at, job)
        while self._due:
            now, _, what = heapq.heappop(self._due)
            if isinstance(what, recorded_load.Job):
                self._arrive(what, now)
            elif isinstance(what, scheduler.Assignment):
                self._end(what, now)
            self._start_all(now)
        return self._ratios

    def _push(self, at: float, what: object) -> None:
        heapq.heappush(self._due, (at, next(self._order), what))

    def _arrive(self, job: recorded_load.Job, now: float) -> None:
        request = scheduler.JobRequest(
            job.submission,
            job.workspace,
            job.template,
            job.declared_ms,
            now + job.max_wait_s,
        )
        self._views[job.host].enqueue(request, now=now)

    def _end(self, assignment: scheduler.Assignment, now: float) -> None:
        self._central.free[assignment.upstream.upstream] += 1
        submission = assignment.submission
        self._left[submission] -= 1
        if not self._left[submission]:
            job = self._jobs[submission]
            self._ratios[submission] = (now - job.at) / self._load.ideal(job)

    def _start_all(self, now: float) -> None:
        for view in self._views.values():
            for start in view.assign(now=now):
                work = self._load.work[start.submission][start.task_index]
                speed = self._load.speeds[start.upstream.upstream]
                self._push(now + work / speed, start)
