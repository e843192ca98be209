"""Replays a load through the leader's decisions on a virtual clock.

No socket, codec or clock takes part: what is measured is what the decisions
earn, and the processor time that they take.
"""

import dataclasses
import functools
import heapq
import itertools
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from bench import leased_load
from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import host as host_module
from godwitnotch.core.leased import leadership
from godwitnotch.core.leased import model

HOST = ids.HostId("h")
TICK_S = 0.01
TRIP_S = 0.001  # To an upstream and back.
BEGIN_S = 100.0
LEAD_S = (
    leadership.FIRST_ELECTION_DELAY_S
    + leadership.ISOLATED_ELECTION_DELAY_S
    + 1.0
)
END_S = 10.0


@dataclass(slots=True)
class Outcome:
    """What became of a load.

    Attributes:
        ended_at: When each completed job was answered.
        refused: Jobs that were turned away.
        runs: Runs that were ordered.
        processor_s: Processor time of the decisions.
    """

    ended_at: dict[model.JobName, float] = field(default_factory=dict)
    refused: set[model.JobName] = field(default_factory=set)
    runs: int = 0
    processor_s: float = 0.0


@dataclass(slots=True)
class _Upstream:
    known: leased_load.Upstream
    running: dict[model.TaskKey, model.RunKey] = field(default_factory=dict)
    ends: deque[model.EndedRun] = field(default_factory=deque)
    numbers: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(1)
    )
    waiting: list[Callable[[], None]] = field(default_factory=list)


class Replay:
    """One host that leads, fed with a load.

    Args:
        load: What is replayed.
    """

    def __init__(self, load: leased_load.Load) -> None:
        self._load = load
        self._now = BEGIN_S
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._jobs = {job.request.job: job for job in load.jobs}
        self._calls: dict[ids.CallId, model.JobName] = {}
        self._upstreams = {
            each.entry.upstream: _Upstream(each) for each in load.upstreams
        }
        self._outcome = Outcome()
        self._begin = BEGIN_S + LEAD_S
        self._core = host_module.LeasedHost(
            host=HOST,
            domain=ids.DomainId("d"),
            rank=1,
            unix_time=lambda: self._now,
            now=self._now,
        )

    def run(self) -> Outcome:
        """Returns what became of the load."""
        self._list_upstreams()
        for each in self._load.upstreams:
            for change in (each.begin, each.end):
                if math.isfinite(change):
                    delay_s = self._begin + change - self._now
                    self._at(max(0.0, delay_s), self._list_upstreams)
        self._tick()
        for job in self._load.jobs:
            at = self._begin + leased_load.arrival(job, self._load.outages)
            self._at(at - self._now, functools.partial(self._ask, job))
        end = self._begin + self._load.jobs[-1].at + END_S
        while self._queue and self._queue[0][0] <= end:
            self._now, _, work = heapq.heappop(self._queue)
            work()
        return self._outcome

    def _list_upstreams(self) -> None:
        now = self._now - self._begin
        listed = (
            dataclasses.replace(each.entry, draining=not each.takes_work(now))
            for each in self._load.upstreams
        )
        self._feed(events.UpstreamsListed(tuple(listed)))

    def _at(self, delay_s: float, work: Callable[[], None]) -> None:
        entry = (self._now + delay_s, next(self._order), work)
        heapq.heappush(self._queue, entry)

    def _tick(self) -> None:
        self._feed(events.Ticked())
        self._at(TICK_S, self._tick)

    def _ask(self, job: leased_load.Job) -> None:
        call = ids.CallId(len(self._calls) + 1)
        self._calls[call] = job.request.job
        deadline = self._begin + job.at + job.wait_s
        if deadline > self._now:
            self._feed(events.JobAsked(call, job.request, deadline))

    def _feed(self, event: events.Event) -> None:
        began_at = time.process_time()
        todo = self._core.handle(event, now=self._now)
        self._outcome.processor_s += time.process_time() - began_at
        for action in todo:
            self._perform(action)

    def _perform(self, action: actions.Action) -> None:
        match action:
            case actions.AnswerCaller(call=call, answer=answer):
                self._answered(self._calls[call], answer)
            case actions.StartRun():
                self._start(action)
            case actions.StopRun(call=call):
                self._stop(action)
            case actions.RenewLease():
                self._renew(action)

    def _answered(self, name: model.JobName, answer: model.Answer) -> None:
        if answer.end is model.JobEnd.COMPLETED:
            self._outcome.ended_at[name] = self._now - self._begin
        elif answer.end is model.JobEnd.REFUSED:
            self._outcome.refused.add(name)

    def _start(self, action: actions.StartRun) -> None:
        upstream = self._upstreams[action.upstream.upstream]
        self._outcome.runs += 1
        key = action.key
        upstream.running[key.task] = key
        work_ms = self._jobs[key.task.job].work_ms[key.task.index]
        run_s = work_ms * upstream.known.slowness / 1_000
        end = model.RunEnd.DONE
        self._at(run_s, lambda: self._end(upstream, key, end))
        self._reply(self._taken(action.call))

    def _stop(self, action: actions.StopRun) -> None:
        upstream = self._upstreams[action.upstream.upstream]
        self._end(upstream, action.key, model.RunEnd.STOPPED)
        self._reply(self._taken(action.call))

    def _taken(self, call: model.UpstreamCallId) -> events.OrderTaken:
        return events.OrderTaken(call, round(self._now * 1_000), 1)

    def _end(
        self, upstream: _Upstream, key: model.RunKey, end: model.RunEnd
    ) -> None:
        if upstream.running.pop(key.task, None) is None:
            return
        number = next(upstream.numbers)
        upstream.ends.append(model.EndedRun(number, key, end))
        waiting, upstream.waiting = upstream.waiting, []
        for respond in waiting:
            respond()

    def _renew(self, action: actions.RenewLease) -> None:
        upstream = self._upstreams[action.upstream.upstream]
        while (
            upstream.ends and upstream.ends[0].number <= action.acknowledged_end
        ):
            upstream.ends.popleft()
        answered: list[bool] = []

        def respond() -> None:
            if not answered:
                answered.append(True)
                self._reply(
                    events.RunsListed(action.call, self._list(upstream))
                )

        if action.wait_ms and not upstream.ends:
            upstream.waiting.append(respond)
            self._at(action.wait_ms / 1_000, respond)
        else:
            respond()

    def _list(self, upstream: _Upstream) -> model.RunList:
        return model.RunList(
            round(self._now * 1_000),
            1,
            tuple(upstream.running.values()),
            tuple(upstream.ends),
        )

    def _reply(self, event: events.Event) -> None:
        self._at(TRIP_S, lambda: self._feed(event))
