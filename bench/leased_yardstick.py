"""Schedulers to compare the leader's decisions with, on the same load.

`Naive` takes jobs as they come; `TwoChoices` too, on the better of two random
upstreams; `Clairvoyant` knows all run times and speeds, and waits for a
faster upstream where only that ends a task in time. `alone` is what no
scheduler can pass: each job by itself on the fastest upstreams.
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
class Waiting:
    """A job with tasks that have not started.

    Attributes:
        job: The job.
        left: Its tasks that wait, the longest last.
        running: How many go on.
    """

    job: leased_load.Job
    left: list[float]
    running: int = 0

    @property
    def work_ms(self) -> float:
        """Run time of all that waits, on usual upstreams."""
        return sum(self.left)


@dataclass(slots=True)
class Room:
    """An upstream and what is free there."""

    known: leased_load.Upstream
    cpu_millis: int
    slots: int
    open: bool = True
    ends: list[tuple[float, int]] = field(default_factory=list)

    def fits(self, job: leased_load.Job) -> bool:
        """Returns whether a task of a job finds room."""
        needs = job.request.tasks.needs
        room = self.open and self.slots > 0
        return room and needs.cpu_millis <= self.cpu_millis

    def start(self, job: leased_load.Job, *, end: float) -> None:
        """Takes the room of a task until its end."""
        cpu_millis = job.request.tasks.needs.cpu_millis
        self.slots -= 1
        self.cpu_millis -= cpu_millis
        bisect.insort(self.ends, (end, cpu_millis))

    def end(self, job: leased_load.Job, *, now: float) -> None:
        """Frees the room of a task that has ended now."""
        cpu_millis = job.request.tasks.needs.cpu_millis
        self.slots += 1
        self.cpu_millis += cpu_millis
        self.ends.remove((now, cpu_millis))

    def free_at(self, job: leased_load.Job) -> float:
        """Returns when a task of a job finds room."""
        room = self.cpu_millis
        for end, cpu_millis in self.ends:
            room += cpu_millis
            if self.open and job.request.tasks.needs.cpu_millis <= room:
                return end
        return float("inf")


class Scheduler(Protocol):
    """Orders jobs and chooses upstreams."""

    def rank(self, waiting: Waiting, *, now: float) -> float:
        """Returns the place of a job; the lowest is served first."""

    def choose(
        self, waiting: Waiting, rooms: Sequence[Room], *, now: float
    ) -> Room | None:
        """Returns the upstream of its next task, None if it is to wait."""


class Naive:
    """First come, first served, on the first upstream with room."""

    def rank(self, waiting: Waiting, *, now: float) -> float:
        """Returns the arrival."""
        return waiting.job.at

    def choose(
        self, waiting: Waiting, rooms: Sequence[Room], *, now: float
    ) -> Room | None:
        """Returns the first with room."""
        return next((each for each in rooms if each.fits(waiting.job)), None)


class TwoChoices(Naive):
    """First come, first served, on the emptier of two random upstreams."""

    def __init__(self, seed: int) -> None:
        self._draw = random.Random(seed)

    def choose(
        self, waiting: Waiting, rooms: Sequence[Room], *, now: float
    ) -> Room | None:
        """Returns the emptier of two with room."""
        free = [each for each in rooms if each.fits(waiting.job)]
        if not free:
            return None
        drawn = [self._draw.choice(free) for _ in range(2)]
        return max(drawn, key=lambda room: room.cpu_millis)


class Clairvoyant:
    """Least work left first, among those that can still end in time."""

    def rank(self, waiting: Waiting, *, now: float) -> float:
        """Returns the work left; what must end late comes last."""
        longest_s = max(waiting.left, default=0.0) / 1_000
        late = now + longest_s > waiting.job.at + aim_s(waiting.job)
        return waiting.work_ms + (1e9 if late else 0.0)

    def choose(
        self, waiting: Waiting, rooms: Sequence[Room], *, now: float
    ) -> Room | None:
        """Returns the fastest with room, unless only a wait ends in time."""
        free = (each for each in rooms if each.fits(waiting.job))
        best = min(free, key=lambda room: room.known.slowness, default=None)
        if best is None or _in_time(waiting, best, now):
            return best
        faster = (
            each
            for each in rooms
            if each.known.slowness < best.known.slowness
            and _in_time(waiting, each, each.free_at(waiting.job))
        )
        return best if next(faster, None) is None else None


def _in_time(waiting: Waiting, room: Room, start: float) -> bool:
    run_s = waiting.left[-1] * room.known.slowness / 1_000
    return start + run_s <= waiting.job.at + aim_s(waiting.job)


@dataclass(slots=True)
class Day:
    """Plays a load against a scheduler.

    Args:
        load: The load.
        scheduler: Orders and places.
    """

    load: leased_load.Load
    scheduler: Scheduler
    _now: float = 0.0
    _rooms: list[Room] = field(default_factory=list)
    _waiting: list[Waiting] = field(default_factory=list)
    _ends: list[tuple[float, int, Waiting, Room]] = field(default_factory=list)
    _ended_at: dict[model.JobName, float] = field(default_factory=dict)

    def run(self) -> dict[model.JobName, float]:
        """Returns when each job ended before its caller left."""
        self._rooms = [
            Room(each, each.entry.capacity.cpu_millis, each.entry.slots)
            for each in self.load.upstreams
        ]
        order = itertools.count()
        arrivals = sorted(
            (leased_load.arrival(job, self.load.outages), next(order), job)
            for job in self.load.jobs
        )
        for at, _, job in arrivals:
            self._until(at, order)
            self._now = at
            self._waiting.append(Waiting(job, sorted(job.work_ms)))
            self._place(order)
        self._until(float("inf"), order)
        return self._ended_at

    def _until(self, until: float, order: "itertools.count[int]") -> None:
        while self._ends and self._ends[0][0] <= until:
            self._now, _, waiting, room = heapq.heappop(self._ends)
            room.end(waiting.job, now=self._now)
            waiting.running -= 1
            if not waiting.left and not waiting.running:
                self._end(waiting)
            self._place(order)

    def _end(self, waiting: Waiting) -> None:
        if self._now <= waiting.job.at + waiting.job.wait_s:
            self._ended_at[waiting.job.request.job] = self._now

    def _place(self, order: "itertools.count[int]") -> None:
        now = self._now
        for each in self._rooms:
            each.open = each.known.takes_work(now)
        self._waiting = [
            each
            for each in self._waiting
            if each.left and now < each.job.at + each.job.wait_s
        ]
        self._waiting.sort(key=lambda each: self.scheduler.rank(each, now=now))
        for waiting in self._waiting:
            while waiting.left:
                room = self.scheduler.choose(waiting, self._rooms, now=now)
                if room is None:
                    break
                run_s = waiting.left.pop() * room.known.slowness / 1_000
                room.start(waiting.job, end=now + run_s)
                waiting.running += 1
                end = (now + run_s, next(order), waiting, room)
                heapq.heappush(self._ends, end)
            if not any(room.slots > 0 for room in self._rooms):
                return


def alone(load: leased_load.Load) -> dict[model.JobName, float]:
    """Returns when each job would end if it were the only one."""
    fastest = min(each.slowness for each in load.upstreams)
    ended_at = {}
    for job in load.jobs:
        begin = leased_load.arrival(job, load.outages)
        end = begin + max(job.work_ms) * fastest / 1_000
        if end <= job.at + job.wait_s:
            ended_at[job.request.job] = end
    return ended_at


def aim_s(job: leased_load.Job) -> float:
    """Returns the response time that a job's route aims at."""
    terms = job.request.settings
    work_ms = sum(job.work_ms) / len(job.work_ms)
    return (work_ms * terms.stretch + terms.target_ms) / 1_000


def in_aim(
    load: leased_load.Load, ended_at: Mapping[model.JobName, float]
) -> float:
    """Returns the share of the jobs' work that ended in time."""
    whole = sum(sum(job.work_ms) for job in load.jobs)
    good = sum(
        sum(job.work_ms)
        for job in load.jobs
        if ended_at.get(job.request.job, float("inf")) <= job.at + aim_s(job)
    )
    return good / whole


def served(
    load: leased_load.Load, ended_at: Mapping[model.JobName, float]
) -> float:
    """Returns the share of the jobs that ended at all."""
    return len(ended_at) / len(load.jobs)
