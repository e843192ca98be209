"""Tests of the HTTP client's connection pool.

A response must never be taken for the response to another request, and a failed
exchange must report whether its request was sent.
"""

import asyncio
import time
import unittest
from collections.abc import Awaitable
from collections.abc import Callable

from godwitnotch.net import http_client
from godwitnotch.net import http_connection
from godwitnotch.net import http_types

_Respond = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def _response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = http_client.HttpClient(max_idle_s=60.0)
        self.connections = 0
        self.requests: list[bytes] = []
        self.respond: _Respond = self._echo
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def asyncTearDown(self) -> None:
        await self.client.close()
        self.server.close()
        await self.server.wait_closed()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self.respond(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _read_path(self, reader: asyncio.StreamReader) -> bytes:
        head = await reader.readuntil(b"\r\n\r\n")
        path = head.split(b" ")[1]
        self.requests.append(path)
        return path

    async def _echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            writer.write(_response(await self._read_path(reader)))

    async def _get(
        self, path: str, *, timeout_s: float = 5.0, max_bytes: int = 100
    ) -> bytes:
        response = await self.client.request(
            self.address,
            http_types.HttpRequest("GET", path),
            deadline=asyncio.get_running_loop().time() + timeout_s,
            max_body_bytes=max_bytes,
        )
        return response.body

    async def _assert_fails(
        self,
        path: str,
        progress: http_connection.Progress,
        cause: http_connection.Cause,
        *,
        timeout_s: float = 5.0,
    ) -> None:
        with self.assertRaises(http_connection.ExchangeError) as caught:
            await self._get(path, timeout_s=timeout_s)
        error = caught.exception
        self.assertEqual((error.progress, error.cause), (progress, cause))

    async def test_connection_is_kept(self) -> None:
        for path in ("/1", "/2", "/3"):
            self.assertEqual(await self._get(path), path.encode())
        self.assertEqual(self.connections, 1)

    async def test_no_reuse_after_a_pause_of_the_process(self) -> None:
        self.client = http_client.HttpClient(max_idle_s=0.02)
        await self._get("/1")
        time.sleep(0.03)  # Blocks all timers, as a stopped process does.
        await self._get("/2")
        self.assertEqual(self.connections, 2)

    async def test_idle_connections_are_closed(self) -> None:
        self.client = http_client.HttpClient(max_idle_s=0.01)
        await self._get("/1")
        self.assertEqual(self.client.idle_connections(self.address), 1)
        while self.client.idle_connections(self.address):
            await asyncio.sleep(0.001)

    async def test_kept_connection_that_closed_is_replaced(self) -> None:
        async def respond_once(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_response(await self._read_path(reader)))

        self.respond = respond_once
        for path in ("/1", "/2", "/3"):
            self.assertEqual(await self._get(path), path.encode())
        self.assertEqual(self.requests, [b"/1", b"/2", b"/3"])

    async def test_unrequested_response_is_not_used_for_the_next_request(
        self,
    ) -> None:
        async def respond_twice(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_response(await self._read_path(reader)))
            await release.wait()
            writer.write(_response(b"stray"))
            await reader.read()

        release = asyncio.Event()
        self.respond = respond_twice
        await self._get("/1")
        release.set()
        await asyncio.sleep(0.01)
        self.assertEqual(await self._get("/2"), b"/2")
        self.assertEqual(self.connections, 2)

    async def test_connection_with_bytes_after_the_response_is_not_kept(
        self,
    ) -> None:
        async def respond_with_extra_bytes(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            path = await self._read_path(reader)
            writer.write(_response(path) + _response(b"stray"))
            await reader.read()

        self.respond = respond_with_extra_bytes
        for path in ("/1", "/2"):
            self.assertEqual(await self._get(path), path.encode())
        self.assertEqual(self.connections, 2)

    async def test_late_response_is_not_used_for_the_next_request(self) -> None:
        release = asyncio.Event()

        async def respond_late(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                path = await self._read_path(reader)
                if path == b"/slow":
                    await release.wait()
                writer.write(_response(path))

        self.respond = respond_late
        await self._assert_fails(
            "/slow",
            http_connection.Progress.SENT,
            http_connection.Cause.TIMED_OUT,
            timeout_s=0.02,
        )
        release.set()
        self.assertEqual(await self._get("/next"), b"/next")
        self.assertEqual(self.connections, 2)

    async def test_timeout_closes_the_idle_connections_too(self) -> None:
        async def fall_silent_after_one_response(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if self.connections > 2:
                await self._echo(reader, writer)
            writer.write(_response(await self._read_path(reader)))
            await reader.read()

        self.respond = fall_silent_after_one_response
        await asyncio.gather(self._get("/1"), self._get("/2"))
        self.assertEqual(self.client.idle_connections(self.address), 2)
        await self._assert_fails(
            "/3",
            http_connection.Progress.SENT,
            http_connection.Cause.TIMED_OUT,
            timeout_s=0.02,
        )
        self.assertEqual(await self._get("/4"), b"/4")
        self.assertEqual(self.connections, 3)

    async def test_cancelled_exchange_closes_its_connection(self) -> None:
        closed = asyncio.Event()

        async def wait_for_close(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._read_path(reader)
            self.assertEqual(await reader.read(), b"")
            closed.set()

        self.respond = wait_for_close
        task = asyncio.create_task(self._get("/1"))
        while not self.requests:
            await asyncio.sleep(0.001)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await closed.wait()
        self.assertEqual(self.client.idle_connections(self.address), 0)

    async def test_exchange_that_breaks_off_counts_as_sent(self) -> None:
        async def break_off(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._read_path(reader)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab")

        self.respond = break_off
        await self._assert_fails(
            "/1", http_connection.Progress.SENT, http_connection.Cause.CLOSED
        )
        self.assertEqual(len(self.requests), 1)

    async def test_request_on_a_kept_connection_is_not_retried(
        self,
    ) -> None:
        async def respond_once_then_break_off(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_response(await self._read_path(reader)))
            await self._read_path(reader)

        self.respond = respond_once_then_break_off
        await self._get("/1")
        with self.assertRaises(http_connection.ExchangeError) as caught:
            await self._get("/2")
        self.assertIs(caught.exception.progress, http_connection.Progress.SENT)
        self.assertEqual(self.requests, [b"/1", b"/2"])

    async def test_connect_refused(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        await self._assert_fails(
            "/1",
            http_connection.Progress.CONNECT_REFUSED,
            http_connection.Cause.CONNECT_FAILED,
        )

    async def test_nothing_is_sent_after_the_deadline(self) -> None:
        await self._get("/1")
        for timeout_s in (0.0, -1.0):
            await self._assert_fails(
                "/late",
                http_connection.Progress.NOTHING_SENT,
                http_connection.Cause.TIMED_OUT,
                timeout_s=timeout_s,
            )
        await self._get("/2")
        self.assertEqual(self.requests, [b"/1", b"/2"])

    async def test_malformed_request_sends_nothing(self) -> None:
        for path in ("/a b", "/\xe9"):
            await self._assert_fails(
                path,
                http_connection.Progress.NOTHING_SENT,
                http_connection.Cause.MALFORMED,
            )
        self.assertEqual(self.requests, [])
        await self._get("/next")

    async def test_address_must_be_an_ip_number_and_port(self) -> None:
        for address in ("localhost:80", "127.0.0.1", "127.0.0.1:99999", ""):
            self.address = address
            await self._assert_fails(
                "/",
                http_connection.Progress.CONNECT_REFUSED,
                http_connection.Cause.CONNECT_FAILED,
            )

    async def test_removed_address_keeps_no_connection(self) -> None:
        await self._get("/1")
        self.assertTrue(self.client.remove_pool(self.address))
        await self._get("/2")
        self.assertEqual(self.connections, 2)

    async def test_address_in_use_is_not_removed(self) -> None:
        running = asyncio.create_task(self._get("/1"))
        await asyncio.sleep(0)
        self.assertFalse(self.client.remove_pool(self.address))
        self.assertEqual(await running, b"/1")

    async def test_body_of_unknown_length_ends_at_the_close(self) -> None:
        async def respond_without_length(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._read_path(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")

        self.respond = respond_without_length
        self.assertEqual(await self._get("/1"), b"whole")
        self.assertEqual(self.client.idle_connections(self.address), 0)

    async def test_body_of_unknown_length_is_limited(self) -> None:
        async def respond_without_end(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._read_path(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                writer.write(b"x" * 1000)
                await writer.drain()

        self.respond = respond_without_end
        await self._assert_fails(
            "/1", http_connection.Progress.SENT, http_connection.Cause.TOO_LARGE
        )

    async def test_connections_are_limited_and_shared_in_order(self) -> None:
        self.client.set_max_connections(self.address, 2)
        paths = [f"/{index}" for index in range(20)]
        bodies = await asyncio.gather(*map(self._get, paths))
        self.assertEqual(bodies, [path.encode() for path in paths])
        self.assertEqual(self.connections, 2)

    async def test_cancelled_waiter_passes_its_turn_on(self) -> None:
        self.client.set_max_connections(self.address, 1)
        gate = asyncio.Event()

        async def wait_for_gate(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await gate.wait()
            await self._echo(reader, writer)

        self.respond = wait_for_gate
        tasks = [
            asyncio.create_task(self._get(f"/{index}")) for index in range(3)
        ]
        await asyncio.sleep(0.01)
        tasks[1].cancel()
        gate.set()
        self.assertEqual(await tasks[2], b"/2")
        self.assertTrue(tasks[1].cancelled())

    async def test_waiter_cancelled_at_its_turn_passes_it_on(self) -> None:
        self.client.set_max_connections(self.address, 1)
        gate = asyncio.Event()

        async def wait_for_gate(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            path = await self._read_path(reader)
            if path == b"/0":
                await gate.wait()
            writer.write(_response(path))

        self.respond = wait_for_gate
        tasks = [
            asyncio.create_task(self._get(f"/{index}")) for index in range(3)
        ]
        while not self.requests:
            await asyncio.sleep(0.001)
        self.client.set_max_connections(self.address, 2)
        tasks[1].cancel()
        self.assertEqual(await tasks[2], b"/2")
        gate.set()
        await tasks[0]

    async def test_partly_written_request_counts_as_sent(self) -> None:
        release = asyncio.Event()

        async def read_nothing(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()

        self.respond = read_nothing
        with self.assertRaises(http_connection.ExchangeError) as caught:
            await self.client.request(
                self.address,
                http_types.HttpRequest("POST", "/", body=b"x" * 20_000_000),
                deadline=asyncio.get_running_loop().time() + 0.05,
                max_body_bytes=1,
            )
        release.set()
        self.assertIs(caught.exception.progress, http_connection.Progress.SENT)
