"""A stand-in of a worker, as PROTOCOL.md describes it under Running tasks."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from typing import Any

from review.bed import record as record_module
from review.bed import store as store_module
from review.bed import web

MAX_HOLD_MS = 1_000
STOP_S = 0.03  # At most stop_ms, which is 50.
HEARTBEAT_S = 1.5


@dataclass
class _Run:
    """A run that has not ended."""

    number: int
    needs: int
    timer: asyncio.TimerHandle
    stopping: bool = False


class Worker:
    """Runs tasks whose spec is `SECONDS CPU [LABEL]`, as a sound worker does.

    It guards its capacity.

    Args:
        name: Id of the worker.
        zone: Its zone.
        service: Its service.
        record: Where starts and ends are recorded.
        cpu: Its capacity, in thousandths of a core.
        labels: Its labels.
    """

    def __init__(
        self,
        name: str,
        *,
        zone: str,
        service: str,
        record: record_module.Record,
        cpu: int = 32_000,
        labels: tuple[str, ...] = ("a", "r1-1"),
    ) -> None:
        self.name = name
        self._zone = zone
        self._service = service
        self._record = record
        self._cpu = cpu
        self._labels = labels
        self._server = web.Server(self._handle)
        self._loop = asyncio.get_running_loop()
        self._beats: asyncio.Task[None] | None = None
        self._begin_life()

    def _begin_life(self) -> None:
        """Begins with nothing that is known of before."""
        self._started_at = time.monotonic()
        self._born = int(time.time() * 1_000)
        self._fence = 0
        self._lease_ms = 0
        self._runs: dict[str, _Run] = {}
        self._blocked: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._end_count = 0
        self._seq = 0
        self._ended = asyncio.Event()

    async def start(self, store: store_module.Store) -> None:
        """Begins to serve, and registers in the store."""
        await self._server.start()
        self._beats = asyncio.create_task(self._beat(store))

    def close(self) -> None:
        """Ends all channels and runs."""
        if self._beats is not None:
            self._beats.cancel()
        for run in self._runs.values():
            run.timer.cancel()
        self._server.close()

    async def restart(
        self,
        store: store_module.Store,
        *,
        down_s: float,
        labels: tuple[str, ...],
    ) -> None:
        """Crashes, and starts again under its id, maybe as another kind."""
        self.close()
        for task, run in self._runs.items():
            self._record.add(
                "end", worker=self.name, task=task, run=run.number, how="crash"
            )
        self._runs.clear()
        await asyncio.sleep(down_s)
        self._labels = labels
        self._begin_life()
        self._record.add(
            "life", worker=self.name, labels=",".join(labels), born=self._born
        )
        await self.start(store)

    async def _beat(self, store: store_module.Store) -> None:
        while True:
            self._seq += 1
            entry = {
                "service": self._service,
                "address": self._server.address,
                "zone": self._zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self._cpu, "mem_mb": 131_072, "gpu": 0},
                "labels": list(self._labels),
                "clock_ms": self._clock_ms(),
                "born": self._born,
                "seq": self._seq,
            }
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            store.put("servers", self.name, value)
            await asyncio.sleep(HEARTBEAT_S)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._started_at) * 1_000)

    async def _handle(
        self, request: web.Request
    ) -> tuple[int, dict[str, Any]] | None:
        if request.path == "/health":
            return 200, {}
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return 421, self._said()
        body = json.loads(request.body)
        if body.get("fence", 0) < self._fence:
            return 409, self._said(reason="fence")
        self._fence = body.get("fence", 0)
        match request.path:
            case "/run-start":
                return self._start(body)
            case "/run-stop":
                self._stop(body["task"], body["run"])
                return 200, self._said()
            case "/hold":
                return 200, await self._hold(body)
        return 400, self._said()

    def _said(self, **values: object) -> dict[str, Any]:
        return {"clock_ms": self._clock_ms(), **values}

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self._clock_ms():
            return 409, self._said(reason="late")
        self._extend(body["deadline_ms"])
        known = self._runs.get(task)
        if known is not None and known.number == number:
            return 200, self._said()
        if known is not None or number <= self._blocked.get(task, 0):
            return 409, self._said(reason="old")
        seconds, needs, *label = body["spec"].split()
        used = sum(run.needs for run in self._runs.values())
        if used + int(needs) > self._cpu:
            return 409, self._said(reason="room")
        timer = self._loop.call_later(
            float(seconds), self._end, task, number, "done"
        )
        self._runs[task] = _Run(number, int(needs), timer)
        self._record.add(
            "start",
            worker=self.name,
            task=task,
            run=number,
            fence=self._fence,
            wants=",".join(label),
            labels=",".join(self._labels),
        )
        return 200, self._said()

    def _stop(self, task: str, number: int) -> None:
        self._blocked[task] = max(self._blocked.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            run.timer.cancel()
            run.timer = self._loop.call_later(
                STOP_S, self._end, task, run.number, "stopped"
            )

    async def _hold(self, body: dict[str, Any]) -> dict[str, Any]:
        observed = body.get("observed", 0)
        self._ends = [end for end in self._ends if end[0] > observed]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        if body.get("wait_ms") and not self._ends:
            try:
                async with asyncio.timeout(body["wait_ms"] / 1_000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        running = [
            [task, run.number, "", 100, run.needs]
            for task, run in self._runs.items()
        ]
        return self._said(
            born=self._born, running=running, finished=self._ends[:500]
        )

    def _extend(self, deadline_ms: int) -> None:
        latest = self._clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, latest))
        self._loop.call_later(
            max(0.0, (self._lease_ms - self._clock_ms()) / 1_000) + 0.001,
            self._check_lease,
        )

    def _check_lease(self) -> None:
        if self._clock_ms() < self._lease_ms:
            return
        for task, run in tuple(self._runs.items()):
            self._end(task, run.number, "lapsed")

    def _end(self, task: str, number: int, how: str) -> None:
        run = self._runs.get(task)
        if run is None or run.number != number:
            return
        run.timer.cancel()
        del self._runs[task]
        self._blocked[task] = max(self._blocked.get(task, 0), number)
        self._end_count += 1
        self._ends.append([self._end_count, task, number, how, ""])
        self._record.add(
            "end", worker=self.name, task=task, run=number, how=how
        )
        self._ended.set()
        self._ended = asyncio.Event()
