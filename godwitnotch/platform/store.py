"""Reads and writes rows of the platform's store over HTTP."""

import base64
import binascii
import json
from typing import Any

import msgspec

from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.net import http_types
from godwitnotch.platform import fields

CONFIG_TABLE = "op"  # Holds what the operators configure.
CONFIG_KEY = "config"
UPSTREAMS_TABLE = "servers"  # The platform calls an upstream a server.
HOSTS_TABLE = "godwitnotch_hosts"

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
_HTTP_OK = 200
_HTTP_GONE = 410


class StoreUnavailable(Exception):
    """The store gave no usable response; retry later."""


class StoreRow(msgspec.Struct, frozen=True):
    """A row; `value` is None if the row was removed."""

    key: str
    value: bytes | None


class StoreRows(msgspec.Struct, frozen=True):
    """Rows of a table at one version of the store."""

    rows: tuple[StoreRow, ...]
    version: int


class Store:
    """Reads and writes rows.

    Args:
        address: Address of the store, IP:PORT.
        client: HTTP client to send the requests with.
    """

    def __init__(self, address: str, client: http_client.HttpClient) -> None:
        self._address = address
        self._client = client
        self._request_count = 0

    @property
    def request_count(self) -> int:
        """Number of requests sent so far."""
        return self._request_count

    async def rows(self, table: str, *, deadline: float) -> StoreRows:
        """Reads all rows of a table in the partition with the empty name.

        Requests further pages until the store has no more rows. The version is
        that of the first page: rows that change while the others are read are
        among the changes after it.

        Raises:
            StoreUnavailable: There was no usable response by the deadline.
        """
        found: list[StoreRow] = []
        version: int | None = None
        start = ""
        while True:
            query = {"table": table, "part": ""}
            if start:
                query["from"] = start
            values = await self._read("/rows-get", query, deadline)
            found += _decode_rows(values)
            if version is None:
                version = _decode_version(values)
            if not values.get("has_more") or not found:
                return StoreRows(tuple(found), version)
            start = found[-1].key + "\0"

    async def changes(
        self, table: str, *, after: int, wait_ms: int, deadline: float
    ) -> StoreRows | None:
        """Waits for rows of a table that changed after a version.

        Args:
            table: Name of the table.
            after: Version of the store after which changes are returned.
            wait_ms: How long the store waits for a change before it responds
                without rows.
            deadline: Loop time at which the request fails.

        Returns:
            The changed rows; None if the store no longer keeps the changes
            since that version, or responds with a part of them, so that all rows
            have to be read again.

        Raises:
            StoreUnavailable: There was no usable response by the deadline.
        """
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(wait_ms),
        }
        request = http_types.HttpRequest("GET", "/rows-feed", query=query)
        response = await self._exchange(request, deadline)
        if response.status == _HTTP_GONE:
            return None
        values = _parse_response(response)
        if values.get("has_more"):
            return None
        return StoreRows(tuple(_decode_rows(values)), _decode_version(values))

    async def put(
        self, table: str, key: str, value: bytes, *, deadline: float
    ) -> None:
        """Writes a row.

        Raises:
            StoreUnavailable: The row may or may not have been written.
        """
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        await self._write({"set_keys": [row]}, deadline)

    async def remove(self, table: str, key: str, *, deadline: float) -> None:
        """Removes a row.

        Raises:
            StoreUnavailable: The row may or may not have been removed.
        """
        row = {"table": table, "part": "", "key": key}
        await self._write({"remove": [row]}, deadline)

    async def _write(self, body: dict[str, Any], deadline: float) -> None:
        request = http_types.HttpRequest(
            "POST",
            "/rows-tx",
            headers={"content-type": "application/json"},
            body=json.dumps(body).encode(),
        )
        _parse_response(await self._exchange(request, deadline))

    async def _read(
        self, path: str, query: dict[str, str], deadline: float
    ) -> dict[str, Any]:
        request = http_types.HttpRequest("GET", path, query=query)
        return _parse_response(await self._exchange(request, deadline))

    async def _exchange(
        self, request: http_types.HttpRequest, deadline: float
    ) -> http_types.HttpResponse:
        self._request_count += 1
        try:
            return await self._client.request(
                self._address,
                request,
                deadline=deadline,
                max_body_bytes=MAX_RESPONSE_BYTES,
            )
        except http_connection.ExchangeError as error:
            raise StoreUnavailable(str(error)) from error


def _parse_response(response: http_types.HttpResponse) -> dict[str, Any]:
    if response.status != _HTTP_OK:
        raise StoreUnavailable(
            f"the store responded with status {response.status}; retry later"
        )
    try:
        return fields.parse_object(response.body)
    except fields.WrongFormatError as error:
        raise StoreUnavailable(f"the store's response: {error}") from error


def _decode_version(values: dict[str, Any]) -> int:
    version = values.get("ver")
    if type(version) is not int:
        raise StoreUnavailable(
            "the store's response has no version; retry later"
        )
    return version


def _decode_rows(values: dict[str, Any]) -> list[StoreRow]:
    rows = values.get("rows")
    if not isinstance(rows, list):
        raise StoreUnavailable("the store's response has no rows; retry later")
    return [row for value in rows if (row := _decode_row(value)) is not None]


def _decode_row(row: Any) -> StoreRow | None:
    if not isinstance(row, dict) or not isinstance(row.get("key"), str):
        return None
    if isinstance(row.get("part"), str) and row["part"]:
        return None  # Changes of a table include rows of all its partitions.
    if row.get("deleted"):
        return StoreRow(row["key"], None)
    try:
        value = base64.b64decode(row.get("value", ""), validate=True)
    except (binascii.Error, TypeError, ValueError):
        # The code that decodes the row rejects an empty value and logs it.
        value = b""
    return StoreRow(row["key"], value)
