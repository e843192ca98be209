"""Tests of the platform client against the stand-in, with faults."""

import asyncio
import unittest

from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import platform_client
from godwitnotch.standins import platform

_UPSTREAM = model.UpstreamEntry(
    ids.UpstreamId("u1"), ids.DomainId("d1"), "r1", "127.0.0.1:1", 8, 64
)
_HOST = model.HostEntry(
    ids.HostId("h1"), ids.DomainId("d1"), ids.Incarnation("1"), "127.0.0.1:2"
)


class PlatformClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = platform.Platform([_UPSTREAM], registration_ttl_s=60.0)
        port = await self.platform.start("127.0.0.1", 0)
        self.client = platform_client.PlatformClient(f"127.0.0.1:{port}")

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.platform.stop()

    def _deadline(self, timeout_s: float = 5.0) -> float:
        return asyncio.get_running_loop().time() + timeout_s

    async def _write(
        self, *writes: model.RowWrite, timeout_s: float = 5.0
    ) -> platform_client.Committed | platform_client.Conflict:
        return await self.client.transact(
            writes, deadline=self._deadline(timeout_s)
        )

    async def test_committed_rows_are_read_and_scanned(self) -> None:
        result = await self._write(
            model.RowWrite("a/1", b"\x00x", 0), model.RowWrite("b", b"y")
        )
        self.assertEqual(result, platform_client.Committed())
        rows = await self.client.read(["b", "c"], deadline=self._deadline())
        self.assertEqual(
            rows, (model.Row("b", 1, b"y"), model.Row("c", 0, b""))
        )
        rows = await self.client.scan("a/", deadline=self._deadline())
        self.assertEqual(rows, (model.Row("a/1", 1, b"\x00x"),))

    async def test_an_unchanged_list_is_not_sent_again(self) -> None:
        first = await self.client.directory(deadline=self._deadline())
        received = self.client.counts.bytes_received
        again = await self.client.directory(deadline=self._deadline())
        self.assertIs(again, first)
        self.assertEqual(self.client.counts.bytes_received, received)
        self.platform.set_leaving(_UPSTREAM.upstream, leaving=True)
        changed = await self.client.directory(deadline=self._deadline())
        self.assertTrue(changed.upstreams[0].leaving)

    async def test_conflict_has_no_effect(self) -> None:
        await self._write(model.RowWrite("a", b"1"))
        answer = await self._write(
            model.RowWrite("b", b"1", 0), model.RowWrite("a", b"2", 0)
        )
        self.assertEqual(
            answer, platform_client.Conflict((model.Row("a", 1, b"1"),))
        )
        rows = await self.client.read(["b"], deadline=self._deadline())
        self.assertEqual(rows[0].version, 0)

    async def test_lost_acknowledgement_is_uncertain(self) -> None:
        self.platform.faults.lose_answers = 1
        with self.assertRaises(platform_client.PlatformUnavailable) as caught:
            await self._write(model.RowWrite("a", b"1", 0))
        self.assertTrue(caught.exception.uncertain)
        rows = await self.client.read(["a"], deadline=self._deadline())
        self.assertEqual(rows, (model.Row("a", 1, b"1"),))

    async def test_lost_read_is_not_uncertain(self) -> None:
        self.platform.faults.lose_answers = 1
        with self.assertRaises(platform_client.PlatformUnavailable) as caught:
            await self.client.read(["a"], deadline=self._deadline())
        self.assertFalse(caught.exception.uncertain)

    async def test_unanswered_write_is_uncertain(self) -> None:
        self.platform.faults.silent = True
        with self.assertRaises(platform_client.PlatformUnavailable) as caught:
            await self._write(model.RowWrite("a", b"1"), timeout_s=0.05)
        self.assertTrue(caught.exception.uncertain)

    async def test_write_to_a_stopped_platform_is_not_uncertain(self) -> None:
        await self.platform.stop()
        with self.assertRaises(platform_client.PlatformUnavailable) as caught:
            await self._write(model.RowWrite("a", b"1"))
        self.assertFalse(caught.exception.uncertain)

    async def test_rejected_write_is_not_uncertain(self) -> None:
        with self.assertRaises(platform_client.PlatformUnavailable) as caught:
            await self._write(
                model.RowWrite("a", b"1"), model.RowWrite("a", b"2")
            )
        self.assertFalse(caught.exception.uncertain)

    async def test_directory_lists_hosts_and_leaving_upstreams(self) -> None:
        await self.client.register(_HOST, deadline=self._deadline())
        self.platform.set_leaving(_UPSTREAM.upstream, leaving=True)
        listing = await self.client.directory(deadline=self._deadline())
        self.assertEqual(listing.hosts, (_HOST,))
        self.assertTrue(listing.upstreams[0].leaving)

    async def test_objects_are_stored_and_read(self) -> None:
        name = "a b/c?d"
        deadline = self._deadline()
        self.assertIsNone(await self.client.get_object(name, deadline=deadline))
        await self.client.put_object(name, b"\xff\x00", deadline=deadline)
        stored = await self.client.get_object(name, deadline=deadline)
        self.assertEqual(stored, b"\xff\x00")

    async def test_calls_and_bytes_are_counted(self) -> None:
        await self._write(model.RowWrite("a", b"1"))
        await self.client.read(["a"], deadline=self._deadline())
        counts = self.client.counts
        self.assertEqual((counts.reads, counts.writes), (1, 1))
        self.assertGreater(counts.bytes_sent, 0)
        self.assertGreater(counts.bytes_received, 0)
