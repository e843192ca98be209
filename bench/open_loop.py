"""Open-loop load generator: sends jobs on time even if answers are late."""

import asyncio
import json
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from bench import fleet
from bench import recorded_load
from godwitnotch.core import ids
from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.net import http_types

RESERVATION_BATCH_SIZE = 500
MAX_CONNECTIONS = 1024
ANSWER_GRACE_S = 5.0
_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
_NO_RESPONSE_CODE = 0


@dataclass(frozen=True, slots=True)
class Exchange:
    """Request and response of one job; all times are loop times.

    Attributes:
        job: The job.
        submission: The reserved id under which the job was submitted; differs
            from the id of the job in the load.
        due_at: When the job was due to be sent.
        sent_at: When the job was sent.
        answered_at: When the response arrived or the request failed.
        status_code: HTTP status code, 0 if there was no response.
        answer: The answer as a JSON object without the results; empty if there
            was no response.
        correct: Whether the answer holds the correct result of every task.
    """

    job: recorded_load.Job
    submission: str
    due_at: float
    sent_at: float
    answered_at: float
    status_code: int
    answer: Mapping[str, object]
    correct: bool

    @property
    def response_s(self) -> float:
        """Time from when the job was due until its response, in seconds."""
        return self.answered_at - self.due_at


class OpenLoopGenerator:
    """Sends one load to a deployment.

    Args:
        load: The load.
        deployment: The processes that receive the load.
        time_scale: Seconds of the run for each second of the load.
    """

    def __init__(
        self,
        load: recorded_load.Load,
        deployment: fleet.Deployment,
        *,
        time_scale: float,
    ) -> None:
        self._load = load
        self._deployment = deployment
        self._time_scale = time_scale
        self._client = http_client.HttpClient(max_connections=MAX_CONNECTIONS)
        self._loop = asyncio.get_running_loop()
        self._reserved: dict[tuple[str, str], list[str]] = defaultdict(list)
        self._submission_by_job: dict[ids.SubmissionId, str] = {}

    async def reserve_all_ids(self) -> None:
        """Reserves submission ids for all jobs."""
        counts: dict[tuple[ids.HostId, ids.WorkspaceId], int] = defaultdict(int)
        for job in self._load.jobs:
            counts[job.host, job.workspace.workspace] += 1
        for (host, workspace), count in counts.items():
            for batch_start in range(0, count, RESERVATION_BATCH_SIZE):
                batch_size = min(RESERVATION_BATCH_SIZE, count - batch_start)
                await self._reserve(host, workspace, batch_size)

    async def run(self) -> list[Exchange]:
        """Sends each job when it is due and returns all exchanges."""
        started_at = self._loop.time()
        tasks = []
        for job in self._load.jobs:
            due_at = started_at + job.arrives_at * self._time_scale
            delay_s = due_at - self._loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            tasks.append(asyncio.create_task(self._submit(job, due_at)))
        exchanges = await asyncio.gather(*tasks)
        await self._client.close()
        return exchanges

    async def cancel_unanswered(self, share: float) -> int:
        """Cancels a share of the unanswered jobs and returns their number."""
        unanswered_jobs = list(self._submission_by_job.items())
        cancelled = unanswered_jobs[: int(len(unanswered_jobs) * share)]
        await asyncio.gather(*(self._cancel(*item) for item in cancelled))
        return len(cancelled)

    async def _reserve(
        self, host: ids.HostId, workspace: ids.WorkspaceId, count: int
    ) -> None:
        response = await self._call(
            host, "POST", f"/v1/{workspace}/reservations", {"count": count}
        )
        if response.status != 201:
            raise RuntimeError(f"host reserved no ids: {response.body!r}")
        submissions = json.loads(response.body)["ids"]
        self._reserved[host, workspace] += submissions

    async def _submit(self, job: recorded_load.Job, due_at: float) -> Exchange:
        workspace = job.workspace.workspace
        submission = self._reserved[job.host, workspace].pop()
        payloads = self._payloads(job)
        self._submission_by_job[job.submission] = submission
        sent_at = self._loop.time()
        status_code, body = await self._send_job(job, submission, payloads)
        answered_at = self._loop.time()
        del self._submission_by_job[job.submission]
        answer = json.loads(body) if body else {}
        return Exchange(
            job,
            submission,
            due_at,
            sent_at,
            answered_at,
            status_code,
            {key: value for key, value in answer.items() if key != "results"},
            answer.get("results") == payloads,
        )

    async def _send_job(
        self,
        job: recorded_load.Job,
        submission: str,
        payloads: list[dict[str, object]],
    ) -> tuple[int, bytes]:
        """Sends a job and returns status code and body of the response."""
        tasks = [
            {"payload": payload, "declared_ms": declared_ms * self._time_scale}
            for payload, declared_ms in zip(
                payloads, job.declared_ms, strict=True
            )
            if declared_ms is not None
        ]
        value = {
            "template": job.template.name,
            "tasks": tasks,
            "timeout_ms": job.max_wait_s * self._time_scale * 1e3,
        }
        path = f"/v1/{job.workspace.workspace}/jobs/{submission}"
        try:
            response = await self._call(job.host, "PUT", path, value)
        except http_connection.ExchangeError:
            return _NO_RESPONSE_CODE, b""
        return response.status, response.body

    def _payloads(self, job: recorded_load.Job) -> list[dict[str, object]]:
        return [
            {
                "index": index,
                "job": job.submission,
                "sleep_ms": round(work_s * self._time_scale * 1e3, 3),
            }
            for index, work_s in enumerate(self._load.work_s[job.submission])
        ]

    async def _cancel(self, job: ids.SubmissionId, submission: str) -> None:
        load_job = next(
            entry for entry in self._load.jobs if entry.submission == job
        )
        path = f"/v1/{load_job.workspace.workspace}/jobs/{submission}"
        try:
            await self._call(load_job.host, "DELETE", path, None)
        except http_connection.ExchangeError:
            return

    async def _call(
        self, host: ids.HostId, method: str, path: str, value: object
    ) -> http_types.HttpResponse:
        request = http_types.HttpRequest(
            method,
            path,
            headers={"authorization": f"Bearer {fleet.CALLER_TOKEN}"},
            body=b"" if value is None else json.dumps(value).encode(),
        )
        max_wait_s = recorded_load.MAX_WAIT_S * self._time_scale
        return await self._client.request(
            self._deployment.hosts[host].address,
            request,
            deadline=self._loop.time() + max_wait_s + ANSWER_GRACE_S,
            max_body_bytes=_MAX_RESPONSE_BYTES,
        )
