"""Replays a load against the host core of a leader on a virtual clock.

No sockets, message encoding or real clock are involved. The replay records when
jobs are completed, and measures the CPU time of the host core.
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

import msgspec

from bench import leased_load
from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import host as host_module
from godwitnotch.core.leased import leadership
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages

HOST = ids.HostId("h")
TICK_INTERVAL_S = 0.01
ORDER_ROUND_TRIP_S = 0.001
START_TIME_S = 100.0
ELECTION_WAIT_S = (
    leadership.FIRST_ELECTION_DELAY_S
    + leadership.ISOLATED_ELECTION_DELAY_S
    + 1.0
)
FINAL_WAIT_S = 10.0


@dataclass(slots=True)
class ReplayResult:
    """Result of a replay.

    Attributes:
        ended_at: When each completed job was answered, in seconds from the
            start of the load.
        refused_jobs: Jobs that were refused.
        returned_jobs: New requests of callers that were refused before.
        run_count: Number of runs that were ordered.
        rack_run_count: Number of these whose job names a rack.
        away_count: Number of these that were away from that rack.
        cpu_s: CPU time of the host core, in seconds.
        ran_cpu_s: Core-seconds that the runs of each job took, also of runs that
            were stopped.
    """

    ended_at: dict[model.JobName, float] = field(default_factory=dict)
    refused_jobs: set[model.JobName] = field(default_factory=set)
    returned_jobs: list[leased_load.Job] = field(default_factory=list)
    run_count: int = 0
    rack_run_count: int = 0
    away_count: int = 0
    cpu_s: float = 0.0
    ran_cpu_s: dict[model.JobName, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Upstream:
    """State of a simulated upstream.

    Attributes:
        load_upstream: The upstream in the load.
        running: Current run of each running task.
        started_at: When these runs started.
        unacknowledged_ends: Ended runs that the leader has not acknowledged.
        end_numbers: Source of the numbers of ended runs.
        pending_responses: Responses to requests for the list of runs; they wait
            for the end of a run.
    """

    load_upstream: leased_load.Upstream
    running: dict[model.TaskKey, model.RunKey] = field(default_factory=dict)
    started_at: dict[model.TaskKey, float] = field(default_factory=dict)
    unacknowledged_ends: deque[model.EndedRun] = field(default_factory=deque)
    end_numbers: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(1)
    )
    pending_responses: list[Callable[[], None]] = field(default_factory=list)


class Replay:
    """Replay of a load to one host, which is the leader.

    Args:
        load: The load to replay.
        max_returns: How often a refused caller comes back with a new request,
            once its Retry-After has passed.
    """

    def __init__(self, load: leased_load.Load, *, max_returns: int = 0) -> None:
        self._load = load
        self._max_returns = max_returns
        self._return_counts: dict[model.JobName, int] = {}
        self._now = START_TIME_S
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._jobs = {job.request.job: job for job in load.jobs}
        self._job_by_call: dict[ids.CallId, model.JobName] = {}
        self._upstreams = {
            upstream.entry.upstream: _Upstream(upstream)
            for upstream in load.upstreams
        }
        self._result = ReplayResult()
        self._load_started_at = START_TIME_S + ELECTION_WAIT_S
        self._core = host_module.LeasedHost(
            host=HOST,
            domain=ids.DomainId("d"),
            rank=1,
            unix_time=lambda: self._now,
            now=self._now,
            racks=load.racks,
        )

    def run(self) -> ReplayResult:
        """Replays the load and returns the result."""
        evacuated = peer_messages.DomainsEvacuated(1, frozenset())
        self._handle_event(events.EvacuationsRead(evacuated))
        self._list_upstreams()
        for upstream in self._load.upstreams:
            for change_at in (
                upstream.available_from,
                upstream.available_until,
            ):
                if math.isfinite(change_at):
                    delay_s = self._load_started_at + change_at - self._now
                    self._call_later(max(0.0, delay_s), self._list_upstreams)
        self._tick()
        for job in self._load.jobs:
            arrives_at = self._load_started_at + leased_load.acceptance_time(
                job, self._load.outages
            )
            self._call_later(
                arrives_at - self._now, functools.partial(self._submit, job)
            )
        ends_at = (
            self._load_started_at
            + self._load.jobs[-1].arrives_at
            + FINAL_WAIT_S
        )
        while self._timers and self._timers[0][0] <= ends_at:
            self._now, _, callback = heapq.heappop(self._timers)
            callback()
        return self._result

    def _list_upstreams(self) -> None:
        """Tells the leader which upstreams accept runs now."""
        load_time = self._now - self._load_started_at
        entries = (
            msgspec.structs.replace(
                upstream.entry, draining=not upstream.is_available(load_time)
            )
            for upstream in self._load.upstreams
        )
        self._handle_event(events.UpstreamsListed(tuple(entries)))

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        timer = (self._now + delay_s, next(self._sequence), callback)
        heapq.heappush(self._timers, timer)

    def _tick(self) -> None:
        self._handle_event(events.Ticked())
        self._call_later(TICK_INTERVAL_S, self._tick)

    def _submit(self, job: leased_load.Job) -> None:
        call = ids.CallId(len(self._job_by_call) + 1)
        self._job_by_call[call] = job.request.job
        deadline = self._load_started_at + job.arrives_at + job.max_wait_s
        if deadline > self._now:
            self._handle_event(events.JobAsked(call, job.request, deadline))

    def _handle_event(self, event: events.Event) -> None:
        started_at = time.process_time()
        new_actions = self._core.handle(event, now=self._now)
        self._result.cpu_s += time.process_time() - started_at
        for action in new_actions:
            self._execute(action)

    def _execute(self, action: actions.Action) -> None:
        match action:
            case actions.AnswerCaller(call=call, answer=answer):
                self._record_answer(self._job_by_call[call], answer)
            case actions.StartRun():
                self._start_run(action)
            case actions.StopRun(call=call):
                self._stop_run(action)
            case actions.RenewLease():
                self._handle_list_request(action)

    def _record_answer(self, name: model.JobName, answer: model.Answer) -> None:
        if answer.end is model.JobEnd.COMPLETED:
            self._result.ended_at[name] = self._now - self._load_started_at
        elif answer.end is model.JobEnd.REFUSED:
            self._result.refused_jobs.add(name)
            self._return_later(name, answer.retry_after_s)

    def _return_later(self, name: model.JobName, retry_after_s: float) -> None:
        """Sends a new request of a refused caller after its Retry-After.

        The header has whole seconds, and at least one.
        """
        return_count = self._return_counts.get(name, 0) + 1
        if return_count > self._max_returns:
            return
        job = self._jobs[name]
        delay_s = max(1, math.ceil(retry_after_s))
        new_name = model.JobName(f"{name}r")
        again = dataclasses.replace(
            job,
            arrives_at=self._now - self._load_started_at + delay_s,
            request=msgspec.structs.replace(job.request, job=new_name),
        )
        self._jobs[new_name] = again
        self._return_counts[new_name] = return_count
        self._result.returned_jobs.append(again)
        self._call_later(delay_s, functools.partial(self._submit, again))

    def _start_run(self, action: actions.StartRun) -> None:
        upstream = self._upstreams[action.upstream.upstream]
        assert isinstance(action.upstream, model.LeasedUpstream)
        self._result.run_count += 1
        key = action.key
        upstream.running[key.task] = key
        upstream.started_at[key.task] = self._now
        job = self._jobs[key.task.job]
        rack = job.request.tasks.preferred_rack
        self._result.rack_run_count += bool(rack)
        self._result.away_count += bool(
            rack and rack not in action.upstream.labels
        )
        factor = upstream.load_upstream.slowness * self._load.racks.factor(
            job.request, action.upstream
        )
        run_s = job.work_ms[key.task.index] * factor / 1_000
        end = model.RunEnd.DONE
        self._call_later(run_s, lambda: self._end_run(upstream, key, end))
        self._respond(self._order_taken(action.call))

    def _stop_run(self, action: actions.StopRun) -> None:
        upstream = self._upstreams[action.upstream.upstream]
        self._end_run(upstream, action.key, model.RunEnd.STOPPED)
        self._respond(self._order_taken(action.call))

    def _order_taken(self, call: model.UpstreamCallId) -> events.OrderTaken:
        return events.OrderTaken(call, round(self._now * 1_000), 1)

    def _end_run(
        self, upstream: _Upstream, key: model.RunKey, end: model.RunEnd
    ) -> None:
        if upstream.running.get(key.task) != key:
            return
        del upstream.running[key.task]
        self._record_use(key, upstream.started_at.pop(key.task))
        number = next(upstream.end_numbers)
        upstream.unacknowledged_ends.append(model.EndedRun(number, key, end))
        pending_responses, upstream.pending_responses = (
            upstream.pending_responses,
            [],
        )
        for respond in pending_responses:
            respond()

    def _record_use(self, key: model.RunKey, started_at: float) -> None:
        job = self._jobs[key.task.job]
        cores = job.request.tasks.needs.cpu_millis / 1_000
        used = self._result.ran_cpu_s
        used[key.task.job] = used.get(key.task.job, 0.0) + cores * (
            self._now - started_at
        )

    def _handle_list_request(self, action: actions.RenewLease) -> None:
        """Responds with the list of runs.

        If the request has a wait time and no ended run is unacknowledged, the
        response waits for the next end of a run, or for the wait time.
        """
        upstream = self._upstreams[action.upstream.upstream]
        while (
            upstream.unacknowledged_ends
            and upstream.unacknowledged_ends[0].number
            <= action.acknowledged_end
        ):
            upstream.unacknowledged_ends.popleft()
        responded: list[bool] = []

        def respond() -> None:
            if not responded:
                responded.append(True)
                self._respond(
                    events.RunsListed(action.call, self._run_list(upstream))
                )

        if action.wait_ms and not upstream.unacknowledged_ends:
            upstream.pending_responses.append(respond)
            self._call_later(action.wait_ms / 1_000, respond)
        else:
            respond()

    def _run_list(self, upstream: _Upstream) -> model.RunList:
        return model.RunList(
            round(self._now * 1_000),
            1,
            tuple(upstream.running.values()),
            tuple(upstream.unacknowledged_ends),
        )

    def _respond(self, event: events.Event) -> None:
        """Delivers an event to the leader after the round trip."""
        self._call_later(ORDER_ROUND_TRIP_S, lambda: self._handle_event(event))
