"""An upstream whose run ends are exact, however late its process is scheduled.

The end of a run is computed from clock values, as the earliest of its natural
end, the end of the lease and the end of a stop.
"""

import functools
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MAX_LEASE_MS = 1_000
MAX_STOP_S = 0.05
MAX_LISTED_ENDS = 500
FAILED_SHARE = 0.005
UNHEALTHY_SHARE = 0.003
SLOW_SHARE, SLOW_FACTOR = 0.01, 6.0
# A task with this word in its specification crashes each upstream that starts it.
DEADLY = "deadly"
MAX_CRASH_DELAY_S = 0.03
START_PATH, STOP_PATH, RENEW_PATH = "/run-start", "/run-stop", "/hold"

# Called with the kind and the fields of a record.
Record = Callable[..., None]


@dataclass(slots=True)
class _Run:
    """A run that has not ended.

    Attributes:
        ends_at: When the run ends by itself.
        fails: Whether that end is a failure.
        stops_at: When a stop takes effect; infinite without a stop.
    """

    task: str
    number: int
    ends_at: float
    fails: bool
    stops_at: float = float("inf")


class ExactUpstream:
    """The state of one upstream; all times are monotonic seconds.

    Responses to a start or a stop don't say when the upstream was started.

    Args:
        upstream: Id of the upstream.
        max_runs: How many runs it has room for.
        clock_rate: Speed of its clock; 0.98 for a clock that is 2% slow.
        started_at: When it starts; its clock shows 0 then.
        born_ms: Unix time of its start.
        rng: Source of run times, stop times and failures.
        record: Writes a record.
        ignores_leases: Whether runs go on when the lease ends.
        guards_room: Whether it rejects starts that it has no room for.

    Attributes:
        crashes_at: When a task that it runs crashes it; infinite if none does.
        crashed_by: That task; empty if there is none.
    """

    def __init__(
        self,
        upstream: str,
        *,
        max_runs: int,
        clock_rate: float,
        started_at: float,
        born_ms: int,
        rng: random.Random,
        record: Record,
        ignores_leases: bool = False,
        guards_room: bool = True,
    ) -> None:
        self.upstream = upstream
        self.crashes_at = float("inf")
        self.crashed_by = ""
        self._guards_room = guards_room
        self._room_set_at = started_at
        self._max_runs = max_runs
        self._rate = clock_rate
        self._started_at = started_at
        self._born_ms = born_ms
        self._rng = rng
        self._record = functools.partial(record, up=upstream, life=born_ms)
        self._ignores_leases = ignores_leases
        self._term = 0
        self._lease_ms = 0
        self._runs: dict[tuple[str, int], _Run] = {}
        self._blocked: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._end_count = 0

    @property
    def has_ends(self) -> bool:
        """Whether there are ends that no order has acknowledged."""
        return bool(self._ends)

    def set_room(self, max_runs: int, now: float) -> None:
        """Changes how many runs it has room for; none is ended."""
        self._max_runs = max_runs
        self._room_set_at = now

    def next_end(self) -> float:
        """Returns when the next run ends; infinite without runs."""
        return min(map(self._end_of, self._runs.values()), default=float("inf"))

    def settle(self, now: float) -> None:
        """Ends the runs whose end has passed, in the order of their ends."""
        for run in sorted(self._runs.values(), key=self._end_of):
            ended_at = self._end_of(run)
            if ended_at > now:
                return
            how = "stopped" if ended_at == run.stops_at else "lapsed"
            if ended_at == run.ends_at:
                how = "failed" if run.fails else "done"
            self._end(run, how, ended_at)

    def kill(self, now: float) -> None:
        """Ends all runs, as the upstream's process is killed."""
        self.settle(now)
        for run in tuple(self._runs.values()):
            self._end(run, "killed", now)

    def execute(
        self, path: str, body: dict[str, Any], sender: str, now: float
    ) -> tuple[int, dict[str, Any]]:
        """Executes an order; returns the status and the response's body."""
        self.settle(now)
        unhealthy = self._rng.random() < UNHEALTHY_SHARE
        reason = "unhealthy" if unhealthy else self._execute(path, body, now)
        self._record(
            "order",
            at=now,
            path=path,
            task=body.get("task"),
            run=body.get("run"),
            term=body["fence"],
            sender=sender,
            reason=reason,
            observed=body.get("observed"),
            lease_until=self._lease_until(),
        )
        if unhealthy:
            return 503, {}
        if reason:
            return 409, {"clock_ms": self._clock_ms(now), "reason": reason}
        return 200, {"clock_ms": self._clock_ms(now)}

    def lists(self, now: float) -> dict[str, Any]:
        """Returns the response to a renewal."""
        self.settle(now)
        return {
            "clock_ms": self._clock_ms(now),
            "born": self._born_ms,
            "running": [
                [run.task, run.number, "", 100] for run in self._runs.values()
            ],
            "finished": self._ends[:MAX_LISTED_ENDS],
        }

    def _execute(self, path: str, body: dict[str, Any], now: float) -> str:
        """Returns why an order is rejected; empty if it is executed."""
        if body["fence"] < self._term:
            return "fence"
        self._term = body["fence"]
        if path == START_PATH:
            return self._start(body, now)
        if path == STOP_PATH:
            self._stop(body["task"], body["run"], now)
            return ""
        self._ends = [row for row in self._ends if row[0] > body["observed"]]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"], now)
        return ""

    def _start(self, body: dict[str, Any], now: float) -> str:
        task, number = body["task"], body["run"]
        if (task, number) in self._runs:
            return ""
        if body["deadline_ms"] < self._clock_ms(now):
            return "late"
        self._extend(body["deadline_ms"], now)
        if number <= self._blocked.get(task, 0):
            return "old"
        over = len(self._runs) >= self._max_runs
        if over and self._guards_room:
            return "room"
        spec, _, kind = body["spec"].partition(" ")
        run_time_s = float(spec) * self._rng.uniform(0.9, 1.2) / 1_000
        if self._rng.random() < SLOW_SHARE:
            run_time_s *= SLOW_FACTOR
        fails = self._rng.random() < FAILED_SHARE
        run = _Run(task, number, now + run_time_s, fails)
        self._runs[task, number] = run
        self._record(
            "start",
            at=now,
            task=task,
            run=number,
            term=body["fence"],
            ends_at=run.ends_at,
            over_room=over,
            room_age_s=now - self._room_set_at,
        )
        if kind == DEADLY and task.endswith(".0"):
            delay_s = self._rng.uniform(0.0, MAX_CRASH_DELAY_S)
            self.crashes_at = min(self.crashes_at, now + delay_s)
            self.crashed_by = task
        return ""

    def _stop(self, task: str, number: int, now: float) -> None:
        self._blocked[task] = max(self._blocked.get(task, 0), number)
        for run in self._runs.values():
            if run.task == task and run.number <= number:
                stops_at = now + self._rng.uniform(0.0, MAX_STOP_S)
                run.stops_at = min(run.stops_at, stops_at)

    def _end(self, run: _Run, how: str, ended_at: float) -> None:
        del self._runs[run.task, run.number]
        blocked = self._blocked.get(run.task, 0)
        self._blocked[run.task] = max(blocked, run.number)
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.number, how, ""])
        self._record(
            "end",
            at=ended_at,
            task=run.task,
            run=run.number,
            how=how,
            number=self._end_count,
            stopped=run.stops_at != float("inf"),
        )

    def _end_of(self, run: _Run) -> float:
        return min(run.ends_at, run.stops_at, self._lease_until())

    def _lease_until(self) -> float:
        if self._ignores_leases:
            return float("inf")
        return self._started_at + self._lease_ms / 1_000 / self._rate

    def _extend(self, deadline_ms: int, now: float) -> None:
        until = min(deadline_ms, self._clock_ms(now) + MAX_LEASE_MS)
        self._lease_ms = max(self._lease_ms, until)

    def _clock_ms(self, now: float) -> int:
        return int((now - self._started_at) * 1_000 * self._rate)
