"""Client of a host's HTTP API, used by the commands."""

import asyncio
import json
import pathlib
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.net import http_types

DEFAULT_TIMEOUT_S = 10.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

EMPTY_MAPPING: Mapping[str, str] = {}


class HostUnreachable(Exception):
    """The host gave no complete response."""


@dataclass(frozen=True, slots=True)
class HostResponse:
    """An HTTP response of a host.

    Attributes:
        status: HTTP status code.
        value: The JSON object of the body.
        headers: Headers by name in lower case.
    """

    status: int
    value: dict[str, Any]
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def ok(self) -> bool:
        """Whether the status code means success."""
        return 200 <= self.status < 300

    @property
    def error(self) -> str:
        """Kind and detail of the error, on one line."""
        error = self.value.get("error")
        if isinstance(error, dict):
            return f"{error.get('kind')}: {error.get('detail')}"
        return f"{self.value.get('reason')}: {self.value.get('detail')}"


@dataclass(frozen=True, slots=True)
class HostClient:
    """Client of one host; each request opens a new connection.

    Attributes:
        address: IP:PORT that serves the host's callers.
        token: Bearer token; empty to send none.
    """

    address: str
    token: str = field(repr=False)

    def call(
        self,
        method: str,
        path: str,
        *,
        value: object = None,
        body: bytes = b"",
        query: Mapping[str, str] = EMPTY_MAPPING,
        headers: Mapping[str, str] = EMPTY_MAPPING,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> HostResponse:
        """Sends a request and waits for the response.

        The body is the value as JSON; without a value it is `body` as it is.

        Raises:
            HostUnreachable: There was no complete response.
        """
        return asyncio.run(
            self.call_async(
                method,
                path,
                value=value,
                body=body,
                query=query,
                headers=headers,
                timeout_s=timeout_s,
            )
        )

    async def call_async(
        self,
        method: str,
        path: str,
        *,
        value: object = None,
        body: bytes = b"",
        query: Mapping[str, str] = EMPTY_MAPPING,
        headers: Mapping[str, str] = EMPTY_MAPPING,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> HostResponse:
        """Same as `call`, for use on a running event loop."""
        request = http_types.HttpRequest(
            method,
            path,
            query,
            {
                **self._authorization(),
                "content-type": "application/json",
                **headers,
            },
            body if value is None else json.dumps(value).encode(),
        )
        client = http_client.HttpClient(max_connections=1)
        try:
            response = await client.request(
                self.address,
                request,
                deadline=asyncio.get_running_loop().time() + timeout_s,
                max_body_bytes=MAX_RESPONSE_BYTES,
            )
        except http_connection.ExchangeError as error:
            raise HostUnreachable(str(error)) from error
        finally:
            await client.close()
        return _decode_response(response)

    def _authorization(self) -> dict[str, str]:
        """Returns the header with the token; empty if there is no token."""
        if not self.token:
            return {}
        return {"authorization": f"Bearer {self.token}"}


def read_token(
    variable: str, file: pathlib.Path | None, environment: Mapping[str, str]
) -> str:
    """Reads a token from a file if given, else from an environment variable.

    Raises:
        OSError: The file can't be read.
        ValueError: The token is empty or can't be sent in a header.
    """
    text = environment.get(variable, "") if file is None else file.read_text()
    token = text.strip()
    if not token:
        raise ValueError("no token")
    if not token.isascii() or not token.isprintable():
        raise ValueError("the token has characters other than printable ASCII")
    return token


async def call_all(
    clients: Sequence[HostClient], method: str, path: str, *, timeout_s: float
) -> list[HostResponse | HostUnreachable]:
    """Sends the same request to several hosts concurrently.

    Returns:
        The response or the error of each host, in the order of the clients.
    """

    async def call(client: HostClient) -> HostResponse | HostUnreachable:
        try:
            return await client.call_async(method, path, timeout_s=timeout_s)
        except HostUnreachable as error:
            return error

    return await asyncio.gather(*(call(client) for client in clients))


def _decode_response(response: http_types.HttpResponse) -> HostResponse:
    try:
        value = json.loads(response.body)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise HostUnreachable(
            f"status {response.status} without a JSON object; check that the "
            "address is the one that serves the host's callers"
        )
    return HostResponse(response.status, value, response.headers)
