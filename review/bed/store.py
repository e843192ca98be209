"""A stand-in of the platform's store: rows in tables, and what has changed."""

import asyncio
import json
from typing import Any

from review.bed import web


class Store:
    """Keeps rows, and answers at once, as a sound store does."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._server = web.Server(self._handle)

    @property
    def address(self) -> str:
        """The address, once the store was started."""
        return self._server.address

    async def start(self) -> None:
        """Begins to serve."""
        await self._server.start()

    def close(self) -> None:
        """Ends all channels."""
        self._server.close()

    def put(self, table: str, key: str, value: str, part: str = "") -> None:
        """Writes a row; the value is encoded already."""
        self._version += 1
        self._rows[table, part, key] = self._row(table, part, key, value=value)
        self._wake()

    def remove(self, table: str, key: str, part: str = "") -> None:
        """Removes a row."""
        self._version += 1
        row = self._row(table, part, key, deleted=True)
        self._rows[table, part, key] = row
        self._wake()

    def _row(
        self, table: str, part: str, key: str, **values: object
    ) -> dict[str, Any]:
        place = {"table": table, "part": part, "key": key}
        return {**place, "ver": self._version, **values}

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, request: web.Request
    ) -> tuple[int, dict[str, Any]] | None:
        match request.path:
            case "/rows-get":
                return 200, self._get(request.query)
            case "/rows-feed":
                return 200, await self._feed(request.query)
            case "/rows-tx":
                return self._write(json.loads(request.body))
        return 404, {}

    def _state(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now_ms = int(asyncio.get_running_loop().time() * 1_000)
        return {"rows": rows, "ver": self._version, "now_ms": now_ms}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and "deleted" not in row
        ]
        return {**self._state(rows[:500]), "has_more": len(rows) > 500}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["wait_ms"]) / 1_000
        while True:
            rows = [
                row
                for (table, _, _), row in self._rows.items()
                if table == query["table"] and row["ver"] > int(query["after"])
            ]
            if rows or loop.time() >= end:
                rows.sort(key=lambda row: row["ver"])
                return self._state(rows)
            try:
                async with asyncio.timeout_at(end):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _write(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for expected in body.get("expected_rev", []):
            place = (expected["table"], expected["part"], expected["key"])
            row = self._rows.get(place, {"ver": 0, "deleted": True})
            found = 0 if "deleted" in row else row["ver"]
            if found != expected["ver"]:
                return 412, self._state([])
        for row in body.get("set_keys", []):
            self.put(row["table"], row["key"], row["value"], row["part"])
        for row in body.get("remove", []):
            self.remove(row["table"], row["key"], row["part"])
        return 200, self._state([])
