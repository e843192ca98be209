"""Stand-in of an upstream that runs a task by sleeping."""

import asyncio
import json

import msgspec

from godwitnotch import log
from godwitnotch.net import http_server
from godwitnotch.net import http_types
from godwitnotch.net import upstream_client
from godwitnotch.standins import faults

STARTS_PATH = "/starts"
DEFAULT_SLOTS = 8
_RETRY_AFTER_S = 1


class Start(msgspec.Struct):
    """One task start, as `GET /starts` lists it.

    Attributes:
        submission_id: Submission of the task.
        task_index: Index of the task in its job.
        started_at: Loop time of the start.
        ended_at: Loop time of the end; None unless the task ran for its whole
            duration.
    """

    submission_id: str
    task_index: int
    started_at: float
    ended_at: float | None = None


class Upstream:
    """Serves the upstream protocol.

    A task's body is a JSON object: `sleep_ms` is its duration at speed 1.0, and
    `fail` makes the task fail. The response to a completed task repeats the
    task's body. When the host closes the connection, the slot is freed at once.

    Args:
        slots: Maximum number of concurrent tasks; more tasks are refused as
            not started.
        speed: Factor by which tasks run faster than at speed 1.0.
    """

    def __init__(
        self, *, slots: int = DEFAULT_SLOTS, speed: float = 1.0
    ) -> None:
        self.faults = faults.Faults()
        self.starts: list[Start] = []
        self._slots = slots
        self._speed = speed
        self._running = 0
        self._refused_count = 0
        self._server = http_server.HttpServer(
            faults.with_faults(
                self._handle,
                lambda: self.faults,
                exempt_paths=frozenset((STARTS_PATH,)),
                adds_delay=False,
            ),
            limits=http_types.HttpLimits(),
        )

    @property
    def running(self) -> int:
        """Number of tasks that are running."""
        return self._running

    async def start(self, ip: str, port: int) -> int:
        """Listens on an address and returns the port."""
        return await self._server.start(ip, port)

    async def stop(self) -> None:
        """Aborts all tasks and closes all connections."""
        await self._server.stop(deadline=asyncio.get_running_loop().time())

    async def _handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        if request.path == STARTS_PATH:
            return self._list_starts()
        if request.method != "POST":
            return http_server.error_response(
                405, "bad_method", "send tasks by POST"
            )
        task = _parse_task_id(request)
        if task is None:
            return self._reject_stray(request)
        if self.faults.not_started:
            return self._refuse(self.faults.not_started)
        if self._running >= self._slots:
            return self._refuse("full")
        return await self._run(request, *task)

    def _list_starts(self) -> http_types.HttpResponse:
        body = {
            "starts": [msgspec.to_builtins(start) for start in self.starts],
            "refused": self._refused_count,
        }
        return http_types.HttpResponse(200, json.dumps(body).encode())

    def _refuse(self, reason: str) -> http_types.HttpResponse:
        self._refused_count += 1
        headers = {
            upstream_client.NOT_STARTED_HEADER: reason,
            upstream_client.RETRY_AFTER_HEADER: str(_RETRY_AFTER_S),
        }
        return http_types.HttpResponse(503, b"", headers)

    def _reject_stray(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Rejects a request that names no task; it counts as no start."""
        log.event("stray_request", path=request.path)
        return http_server.error_response(
            400,
            "no_task",
            f"send {upstream_client.SUBMISSION_HEADER} and "
            f"{upstream_client.TASK_HEADER}",
        )

    async def _run(
        self,
        request: http_types.HttpRequest,
        submission: str,
        task_index: int,
    ) -> http_types.HttpResponse:
        loop = asyncio.get_running_loop()
        start = Start(submission, task_index, loop.time())
        self.starts.append(start)
        if self.faults.fail_fast:
            return _failed("this upstream fails everything")
        self._running += 1
        try:
            task = json.loads(request.body)
            run_s = task["sleep_ms"] / 1000 / self._speed
            await asyncio.sleep(run_s + self.faults.slow_s)
        except (ValueError, KeyError, TypeError) as error:
            return _failed(f"sleep_ms must be a number ({error!r})")
        finally:
            self._running -= 1
        start.ended_at = loop.time()
        if task.get("fail"):
            return _failed("the task asked to fail")
        headers = {
            upstream_client.SUBMISSION_HEADER: start.submission_id,
            upstream_client.TASK_HEADER: str(start.task_index),
        }
        return http_types.HttpResponse(200, request.body, headers)


def _parse_task_id(request: http_types.HttpRequest) -> tuple[str, int] | None:
    """Returns the submission and index of a task; None if not given."""
    submission = request.headers.get(upstream_client.SUBMISSION_HEADER, "")
    index = request.headers.get(upstream_client.TASK_HEADER, "")
    return (submission, int(index)) if submission and index.isdigit() else None


def _failed(detail: str) -> http_types.HttpResponse:
    return http_server.error_response(500, "task_failed", detail)
