"""HTTP client of the platform's services.

The protocol is described in docs/design/platform-protocol.md.
"""

import base64
import json
import urllib.parse
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Protocol

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.net import http_types

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_HTTP_OK = 200
_HTTP_NOT_MODIFIED = 304
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409
_HTTP_SERVER_ERROR = 500


class Committed(msgspec.Struct, frozen=True):
    """Result of a transaction that took effect."""


class Conflict(msgspec.Struct, frozen=True):
    """Result of a transaction that was rejected.

    Attributes:
        rows: Current state of the rows whose versions did not match.
    """

    rows: tuple[model.Row, ...]


class PlatformCounts(msgspec.Struct):
    """Counters of the exchanges with the platform.

    Attributes:
        reads: Read requests.
        writes: Write requests.
        failures: Requests that failed.
        bytes_sent: Bytes of request bodies.
        bytes_received: Bytes of response bodies.
    """

    reads: int = 0
    writes: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class _CachedDirectory(msgspec.Struct, frozen=True):
    etag: str
    directory: model.Directory


class PlatformUnavailable(Exception):
    """Raised when the platform gave no valid response.

    Attributes:
        uncertain: Whether a write may have taken effect.
    """

    def __init__(self, detail: str, *, uncertain: bool) -> None:
        super().__init__(detail)
        self.uncertain = uncertain


class Platform(Protocol):
    """The platform's services; any call may raise PlatformUnavailable.

    Deadlines are loop times at which a call fails.
    """

    async def transact(
        self, writes: Sequence[model.RowWrite], *, deadline: float
    ) -> Committed | Conflict:
        """Writes all rows or none."""

    async def read(
        self, keys: Sequence[str], *, deadline: float
    ) -> tuple[model.Row, ...]:
        """Reads the rows of the keys, in the given order.

        Missing rows have version 0.
        """

    async def scan(
        self, prefix: str, *, deadline: float
    ) -> tuple[model.Row, ...]:
        """Reads the rows whose keys start with a prefix."""

    async def directory(self, *, deadline: float) -> model.Directory:
        """Returns the directory of live and leaving hosts and upstreams."""

    async def register(
        self, entry: model.HostEntry, *, deadline: float
    ) -> None:
        """Registers a host in the directory until its registration expires."""

    async def put_object(
        self, name: str, body: bytes, *, deadline: float
    ) -> None:
        """Stores an object."""

    async def get_object(self, name: str, *, deadline: float) -> bytes | None:
        """Returns an object, or None if it does not exist."""


class PlatformClient:
    """Calls the platform's services, which include the store, over HTTP.

    Args:
        address: IP address and port of the platform.
        client: HTTP client to use; a new one if None.
    """

    def __init__(
        self, address: str, *, client: http_client.HttpClient | None = None
    ) -> None:
        self._address = address
        self._client = client or http_client.HttpClient()
        self._counts = PlatformCounts()
        self._cached = _CachedDirectory("", model.Directory())

    @property
    def counts(self) -> PlatformCounts:
        """Counters of the exchanges so far."""
        return self._counts

    async def transact(
        self, writes: Sequence[model.RowWrite], *, deadline: float
    ) -> Committed | Conflict:
        """Writes all rows or none."""
        body = json.dumps({"writes": [_write_json(write) for write in writes]})
        response = await self._write(
            "POST", "/table/transact", body.encode(), deadline
        )
        if response.status == _HTTP_CONFLICT:
            return Conflict(self._rows(response, uncertain=False))
        self._check_status(response, writing=True)
        return Committed()

    async def read(
        self, keys: Sequence[str], *, deadline: float
    ) -> tuple[model.Row, ...]:
        """Reads the rows of the keys, in the given order.

        Missing rows have version 0.
        """
        body = json.dumps({"keys": list(keys)}).encode()
        response = await self._read("POST", "/table/read", deadline, body=body)
        return self._rows(response, uncertain=False)

    async def scan(
        self, prefix: str, *, deadline: float
    ) -> tuple[model.Row, ...]:
        """Reads the rows whose keys start with a prefix."""
        target = f"/table/scan?prefix={urllib.parse.quote(prefix, safe='')}"
        response = await self._read("GET", target, deadline)
        return self._rows(response, uncertain=False)

    async def directory(self, *, deadline: float) -> model.Directory:
        """Returns the directory of live and leaving hosts and upstreams.

        An unchanged directory is not sent again, and the same object is
        returned.
        """
        response = await self._read(
            "GET",
            "/hosts",
            deadline,
            headers={"if-none-match": self._cached.etag},
        )
        if response.status != _HTTP_NOT_MODIFIED:
            self._cached = self._decode_directory(response)
        return self._cached.directory

    async def register(
        self, entry: model.HostEntry, *, deadline: float
    ) -> None:
        """Registers a host in the directory until its registration expires."""
        body = json.dumps(msgspec.to_builtins(entry)).encode()
        response = await self._write("POST", "/hosts", body, deadline)
        self._check_status(response, writing=True)

    async def put_object(
        self, name: str, body: bytes, *, deadline: float
    ) -> None:
        """Stores an object."""
        response = await self._write("PUT", _object_path(name), body, deadline)
        self._check_status(response, writing=True)

    async def get_object(self, name: str, *, deadline: float) -> bytes | None:
        """Returns an object, or None if it does not exist."""
        response = await self._read(
            "GET", _object_path(name), deadline, allow_missing=True
        )
        return None if response.status == _HTTP_NOT_FOUND else response.body

    async def close(self) -> None:
        """Closes all idle connections."""
        await self._client.close()

    async def _write(
        self, method: str, path: str, body: bytes, deadline: float
    ) -> http_types.HttpResponse:
        self._counts.writes += 1
        return await self._exchange(
            http_types.HttpRequest(method, path, body=body), deadline, True
        )

    async def _read(
        self,
        method: str,
        path: str,
        deadline: float,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        allow_missing: bool = False,
    ) -> http_types.HttpResponse:
        self._counts.reads += 1
        request = http_types.HttpRequest(
            method, path, headers=headers or {}, body=body
        )
        response = await self._exchange(request, deadline, False)
        if response.status == _HTTP_NOT_MODIFIED:
            return response
        if not (allow_missing and response.status == _HTTP_NOT_FOUND):
            self._check_status(response, writing=False)
        return response

    async def _exchange(
        self, request: http_types.HttpRequest, deadline: float, writing: bool
    ) -> http_types.HttpResponse:
        self._counts.bytes_sent += len(request.body)
        try:
            response = await self._client.request(
                self._address,
                request,
                deadline=deadline,
                max_body_bytes=MAX_RESPONSE_BYTES,
            )
        except http_connection.ExchangeError as error:
            self._counts.failures += 1
            sent = error.progress is http_connection.Progress.SENT
            raise PlatformUnavailable(
                str(error), uncertain=writing and sent
            ) from error
        self._counts.bytes_received += len(response.body)
        return response

    def _check_status(
        self, response: http_types.HttpResponse, *, writing: bool
    ) -> None:
        if response.status == _HTTP_OK:
            return
        self._counts.failures += 1
        raise PlatformUnavailable(
            f"the platform at {self._address} responded with status "
            f"{response.status} {response.body[:200]!r}; see its own log",
            uncertain=writing and response.status >= _HTTP_SERVER_ERROR,
        )

    def _decode_directory(
        self, response: http_types.HttpResponse
    ) -> "_CachedDirectory":
        try:
            directory = directory_from_json(json.loads(response.body))
        except (ValueError, KeyError, TypeError) as error:
            raise self._malformed_response(error, uncertain=False) from error
        return _CachedDirectory(response.headers.get("etag", ""), directory)

    def _rows(
        self, response: http_types.HttpResponse, *, uncertain: bool
    ) -> tuple[model.Row, ...]:
        try:
            return tuple(
                row_from_json(row) for row in json.loads(response.body)["rows"]
            )
        except (ValueError, KeyError, TypeError) as error:
            raise self._malformed_response(
                error, uncertain=uncertain
            ) from error

    def _malformed_response(
        self, error: Exception, *, uncertain: bool
    ) -> PlatformUnavailable:
        self._counts.failures += 1
        return PlatformUnavailable(
            f"the platform at {self._address} sent a malformed response "
            f"({error!r}); check the address in the settings",
            uncertain=uncertain,
        )


def row_json(row: model.Row) -> dict[str, object]:
    """Returns a row as JSON."""
    return {
        "key": row.key,
        "version": row.version,
        "value": base64.b64encode(row.value).decode(),
    }


def row_from_json(row: dict[str, Any]) -> model.Row:
    """Returns a row from its JSON."""
    return model.Row(
        row["key"], int(row["version"]), base64.b64decode(row["value"])
    )


def writes_from_json(writes: Iterable[dict[str, Any]]) -> list[model.RowWrite]:
    """Returns the writes of a transaction from their JSON."""
    return [
        model.RowWrite(
            write["key"],
            None
            if write["value"] is None
            else base64.b64decode(write["value"]),
            write["expected_version"],
        )
        for write in writes
    ]


def host_from_json(entry: dict[str, Any]) -> model.HostEntry:
    """Returns a host's directory entry from its JSON."""
    return model.HostEntry(
        ids.HostId(entry["host"]),
        ids.DomainId(entry["domain"]),
        ids.Incarnation(entry["incarnation"]),
        entry["address"],
        bool(entry.get("leaving", False)),
    )


def upstream_from_json(entry: dict[str, Any]) -> model.UpstreamEntry:
    """Returns an upstream's directory entry from its JSON."""
    return model.UpstreamEntry(
        ids.UpstreamId(entry["upstream"]),
        ids.DomainId(entry["domain"]),
        str(entry.get("rack", "")),
        entry["address"],
        int(entry["slots"]),
        int(entry["connections"]),
        bool(entry.get("leaving", False)),
    )


def directory_from_json(listing: dict[str, Any]) -> model.Directory:
    """Returns the directory from its JSON."""
    return model.Directory(
        tuple(host_from_json(entry) for entry in listing["hosts"]),
        tuple(upstream_from_json(entry) for entry in listing["upstreams"]),
    )


def _write_json(write: model.RowWrite) -> dict[str, object]:
    value = write.value
    return {
        "key": write.key,
        "value": None if value is None else base64.b64encode(value).decode(),
        "expected_version": write.expected_version,
    }


def _object_path(name: str) -> str:
    return f"/objects/{urllib.parse.quote(name, safe='')}"
