"""A caller for the tests: reserves ids, submits jobs and queries them."""

import asyncio
import json
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.net import http_types

TOKEN = "caller-of-the-process-tests"
MAX_CONNECTIONS = 256
RESPONSE_GRACE_S = 10.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a caller.

    Attributes:
        code: HTTP status code; 0 if no complete response arrived.
        value: The JSON object of the body.
    """

    code: int
    value: dict[str, Any]

    @property
    def outcome(self) -> str:
        """The outcome in the answer; "lost" if no answer arrived."""
        return str(self.value.get("outcome", "lost"))

    @property
    def ran(self) -> str:
        """How much of the job has run; "possibly" if that is not known."""
        return str(self.value.get("ran", "possibly"))

    @property
    def reason(self) -> str | None:
        """The reason in the answer, if any."""
        return self.value.get("reason")

    @property
    def submission(self) -> str:
        """The submission id in the answer; empty if there is none."""
        return str(self.value.get("id", ""))


class Caller:
    """Sends requests for one workspace over persistent connections.

    Args:
        workspace: The workspace.
        template: Template of all jobs.
    """

    def __init__(self, workspace: str, template: str) -> None:
        self._base = f"/v1/{workspace}"
        self._template = template
        self._client = http_client.HttpClient(max_connections=MAX_CONNECTIONS)

    async def close(self) -> None:
        """Closes the persistent connections."""
        await self._client.close()

    async def reserve(self, address: str, count: int = 1) -> list[str]:
        """Reserves ids and returns them; a refusal fails the test."""
        answer = await self.try_reserve(address, count)
        assert answer.code == 201, answer
        reserved: list[str] = answer.value["ids"]
        return reserved

    async def try_reserve(self, address: str, count: int = 1) -> Answer:
        """Requests ids; returns the answer, which may be a refusal."""
        return await self._call(
            address, "POST", "/reservations", {"count": count}
        )

    async def submit(
        self,
        address: str,
        submission: str,
        payloads: Sequence[object],
        *,
        timeout_s: float = 30.0,
    ) -> Answer:
        """Submits a job under a reserved id."""
        job = self._job(payloads, timeout_s)
        return await self._call(
            address, "PUT", f"/jobs/{submission}", job, wait_s=timeout_s
        )

    async def submit_keyed(
        self,
        address: str,
        key: str,
        payloads: Sequence[object],
        *,
        timeout_s: float = 30.0,
    ) -> Answer:
        """Submits a job under an idempotency key."""
        job = self._job(payloads, timeout_s)
        headers = {"idempotency-key": key}
        return await self._call(
            address, "POST", "/jobs", job, headers=headers, wait_s=timeout_s
        )

    async def status(self, address: str, submission: str) -> Answer:
        """Queries the status of a submission."""
        return await self._call(address, "GET", f"/jobs/{submission}")

    def _job(
        self, payloads: Sequence[object], timeout_s: float
    ) -> dict[str, object]:
        return {
            "template": self._template,
            "tasks": [{"payload": payload} for payload in payloads],
            "timeout_ms": timeout_s * 1_000,
        }

    async def _call(
        self,
        address: str,
        method: str,
        path: str,
        value: object = None,
        *,
        headers: Mapping[str, str] | None = None,
        wait_s: float = 0.0,
    ) -> Answer:
        request = http_types.HttpRequest(
            method,
            self._base + path,
            headers={"authorization": f"Bearer {TOKEN}", **(headers or {})},
            body=b"" if value is None else json.dumps(value).encode(),
        )
        now = asyncio.get_running_loop().time()
        try:
            response = await self._client.request(
                address,
                request,
                deadline=now + wait_s + RESPONSE_GRACE_S,
                max_body_bytes=MAX_RESPONSE_BYTES,
            )
        except http_connection.ExchangeError:
            return Answer(0, {})
        return Answer(response.status, json.loads(response.body))
