"""Tests that the stand-ins behave like the services that they replace."""

import asyncio
import json
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.net import http_types
from godwitnotch.net import upstream_client
from godwitnotch.standins import faults
from godwitnotch.standins import platform
from godwitnotch.standins import table
from godwitnotch.standins import upstream

_WRITE = st.builds(
    model.RowWrite,
    st.sampled_from(("a", "b", "c")),
    st.sampled_from((b"x", b"y", None)),
    st.sampled_from((None, 0, 1, 2)),
)
_TASK_HEADERS = {
    upstream_client.SUBMISSION_HEADER: "s-1",
    upstream_client.TASK_HEADER: "0",
}
_TRANSACTION = st.lists(_WRITE, max_size=3, unique_by=lambda write: write.key)


class TableTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(_TRANSACTION, max_size=12))
    def test_transactions_match_a_naive_table(
        self, transactions: list[list[model.RowWrite]]
    ) -> None:
        rows = table.Table()
        naive: dict[str, tuple[int, bytes]] = {}
        for writes in transactions:
            differing = [
                write.key
                for write in writes
                if write.expected_version
                not in (None, naive.get(write.key, (0, b""))[0])
            ]
            answer = rows.transact(writes)
            self.assertEqual([row.key for row in answer], differing)
            for write in () if differing else writes:
                version, _ = naive.pop(write.key, (0, b""))
                if write.value is not None:
                    naive[write.key] = (version + 1, write.value)
            scanned = {
                row.key: (row.version, row.value) for row in rows.scan("")
            }
            self.assertEqual(scanned, naive)

    def test_same_key_twice_is_rejected(self) -> None:
        write = model.RowWrite("a", b"")
        with self.assertRaises(ValueError):
            table.Table().transact([write, write])

    def test_scan_is_by_prefix_and_sorted(self) -> None:
        rows = table.Table()
        rows.transact([model.RowWrite(key, b"") for key in ("p/2", "q", "p/1")])
        self.assertEqual([row.key for row in rows.scan("p/")], ["p/1", "p/2"])


class FaultsTest(unittest.TestCase):
    def test_invalid_changes_have_no_effect(self) -> None:
        for changes in (
            {"down": True, "dwon": True},
            {"down": True, "slow_s": "1"},
            {"down": True, "not_started": "maybe"},
            {"down": 1},
        ):
            state = faults.Faults()
            with self.assertRaises(ValueError):
                state.change(changes)
            self.assertEqual(state, faults.Faults())


class ServedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = http_client.HttpClient()

    async def asyncTearDown(self) -> None:
        await self.client.close()

    async def _request(
        self, port: int, method: str, path: str, value: object = None
    ) -> http_types.HttpResponse:
        body = b"" if value is None else json.dumps(value).encode()
        return await self.client.request(
            f"127.0.0.1:{port}",
            http_types.HttpRequest(
                method,
                path,
                headers=_TASK_HEADERS if path == "/run" else {},
                body=body,
            ),
            deadline=asyncio.get_running_loop().time() + 5.0,
            max_body_bytes=100_000,
        )

    async def test_registrations_expire(self) -> None:
        served = platform.Platform(registration_ttl_s=0.05)
        port = await served.start("127.0.0.1", 0)
        entry = {
            "host": "h1",
            "domain": "d1",
            "incarnation": "1",
            "address": "127.0.0.1:1",
        }
        await self._request(port, "POST", "/hosts", entry)
        listing = await self._request(port, "GET", "/hosts")
        self.assertEqual(len(json.loads(listing.body)["hosts"]), 1)
        await asyncio.sleep(0.06)
        listing = await self._request(port, "GET", "/hosts")
        self.assertEqual(json.loads(listing.body)["hosts"], [])
        await served.stop()

    async def test_upstream_list_from_yaml(self) -> None:
        entries = platform.read_upstreams(
            "- {upstream: u1, domain: d1, rack: r1, address: '127.0.0.1:1',\n"
            "   slots: 8, connections: 64, leaving: true}\n"
        )
        self.assertTrue(entries[0].leaving)
        with self.assertRaisesRegex(ValueError, "slots"):
            platform.read_upstreams("- {upstream: u1}")

    async def test_faults_are_set_over_http(self) -> None:
        served = upstream.Upstream()
        port = await served.start("127.0.0.1", 0)
        await self._request(port, "POST", faults.PATH, {"down": True})
        with self.assertRaises(http_connection.ExchangeError):
            await self._request(port, "POST", "/run", {"sleep_ms": 0})
        starts = await self._request(port, "GET", upstream.STARTS_PATH)
        self.assertEqual(json.loads(starts.body)["starts"], [])
        await self._request(port, "POST", faults.PATH, {"down": False})
        await self._request(port, "POST", "/run", {"sleep_ms": 0})
        starts = await self._request(port, "GET", upstream.STARTS_PATH)
        self.assertEqual(len(json.loads(starts.body)["starts"]), 1)
        bad = await self._request(port, "POST", faults.PATH, {"dwon": 1})
        self.assertEqual(bad.status, 400)
        await served.stop()

    async def test_request_that_names_no_task_is_no_start(self) -> None:
        # A host of another installation may register at a port that its
        # platform has left and this upstream uses now.
        served = upstream.Upstream()
        port = await served.start("127.0.0.1", 0)
        entry = {"host": "h1", "domain": "d1", "address": "127.0.0.1:1"}
        for _ in range(2):
            stray = await self._request(port, "POST", "/hosts", entry)
            self.assertEqual(stray.status, 400)
        self.assertEqual(served.starts, [])
        await served.stop()

    async def test_slow_task_keeps_its_slot(self) -> None:
        served = upstream.Upstream(slots=1)
        port = await served.start("127.0.0.1", 0)
        served.faults.slow_s = 60.0
        slow = asyncio.create_task(
            self._request(port, "POST", "/run", {"sleep_ms": 0})
        )
        while not served.starts:
            await asyncio.sleep(0.001)
        refused = await self._request(port, "POST", "/run", {"sleep_ms": 0})
        self.assertEqual(refused.headers["not-started"], "full")
        slow.cancel()
        await served.stop()

    async def test_task_that_fails_at_once_counts_as_a_start(self) -> None:
        served = upstream.Upstream()
        port = await served.start("127.0.0.1", 0)
        served.faults.fail_fast = True
        answer = await self._request(port, "POST", "/run", {"sleep_ms": 9000})
        self.assertEqual(answer.status, 500)
        self.assertEqual(len(served.starts), 1)
        await served.stop()

    async def test_upstream_is_marked_as_leaving(self) -> None:
        entry = model.UpstreamEntry(
            ids.UpstreamId("u1"), ids.DomainId("d1"), "r", "127.0.0.1:1", 1, 1
        )
        served = platform.Platform([entry])
        port = await served.start("127.0.0.1", 0)
        await self._request(port, "POST", "/upstreams/u1", {"leaving": True})
        listing = await self._request(port, "GET", "/hosts")
        self.assertTrue(json.loads(listing.body)["upstreams"][0]["leaving"])
        unknown = await self._request(
            port, "POST", "/upstreams/u2", {"leaving": True}
        )
        self.assertEqual(unknown.status, 400)
        await served.stop()
