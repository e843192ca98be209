"""A caller of the tests: reserves, submits and asks over kept connections."""

import asyncio
import json
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from godwitnotch.net import http_client
from godwitnotch.net import http_types

TOKEN = "caller-of-the-process-tests"
MAX_CONNECTIONS = 256
RESPONSE_GRACE_S = 10.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a caller.

    Attributes:
        code: HTTP status code; 0 where there was no whole answer.
        value: The JSON object of the body.
    """

    code: int
    value: dict[str, Any]

    @property
    def outcome(self) -> str:
        """The outcome that the answer names; lost without an answer."""
        return str(self.value.get("outcome", "lost"))

    @property
    def ran(self) -> str:
        """What the answer says ran."""
        return str(self.value.get("ran", "possibly"))

    @property
    def reason(self) -> str | None:
        """The reason that the answer names."""
        return self.value.get("reason")

    @property
    def submission(self) -> str:
        """The id that the answer names."""
        return str(self.value.get("id", ""))


class Caller:
    """Sends requests of one workspace."""

    def __init__(self, workspace: str, template: str) -> None:
        self._base = f"/v1/{workspace}"
        self._template = template
        self._client = http_client.HttpClient(max_connections=MAX_CONNECTIONS)

    async def close(self) -> None:
        """Closes the kept connections."""
        await self._client.close()

    async def reserve(self, address: str, count: int = 1) -> list[str]:
        """Returns reserved ids."""
        answer = await self.try_reserve(address, count)
        assert answer.code == 201, answer
        reserved: list[str] = answer.value["ids"]
        return reserved

    async def try_reserve(self, address: str, count: int = 1) -> Answer:
        """Asks for ids; returns whatever the answer is."""
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
        """Submits a job under a key of the caller's own."""
        job = self._job(payloads, timeout_s)
        headers = {"idempotency-key": key}
        return await self._call(
            address, "POST", "/jobs", job, headers=headers, wait_s=timeout_s
        )

    async def status(self, address: str, submission: str) -> Answer:
        """Asks what became of a submission."""
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
        except http_client.ExchangeError:
            return Answer(0, {})
        return Answer(response.status, json.loads(response.body))
