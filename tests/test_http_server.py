"""Tests of the requests that the HTTP server accepts and rejects."""

import asyncio
import json
import unittest

from godwitnotch.net import http_server
from godwitnotch.net import http_types

_LIMITS = http_types.HttpLimits(
    max_header_bytes=500,
    max_body_bytes=100,
    receive_timeout_s=0.05,
    idle_timeout_s=0.1,
    max_connections=2,
)
_LONG_TIMEOUT_S = 30.0


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.requests: list[http_types.HttpRequest] = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.handler_entered = asyncio.Event()
        await self._serve(_LIMITS)

    async def asyncTearDown(self) -> None:
        await self.server.stop(deadline=asyncio.get_running_loop().time())

    async def _serve(self, limits: http_types.HttpLimits) -> None:
        self.server = http_server.HttpServer(self._handle, limits=limits)
        self.port = await self.server.start("127.0.0.1", 0)

    async def _handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        self.requests.append(request)
        if request.path == "/drop":
            raise http_server.DropConnection
        if request.path == "/bad-header":
            return http_types.HttpResponse(200, b"", {"a": "b\nc"})
        if request.path == "/broken":
            raise RuntimeError("broken")
        if request.path == "/wait":
            self.handler_entered.set()
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        return http_types.HttpResponse(200, request.path.encode())

    async def _open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def _exchange(self, data: bytes) -> bytes:
        """Sends raw bytes and returns all bytes until the server closes."""
        reader, writer = await self._open()
        writer.write(data)
        response = await reader.read()
        writer.close()
        return response

    def _assert_error(self, response: bytes, status: int, kind: str) -> None:
        head, _, body = response.partition(b"\r\n\r\n")
        self.assertTrue(
            head.startswith(b"HTTP/1.1 %d " % status), response[:100]
        )
        self.assertIn(b"connection: close", head.lower())
        error = json.loads(body)["error"]
        self.assertEqual(error["kind"], kind)
        self.assertIn(";", error["detail"])

    async def test_request_is_parsed(self) -> None:
        await self._exchange(
            b"POST /a%20b?x=1&y=%2F HTTP/1.1\r\nhost: h\r\nX-Y: z\r\n"
            b"connection: close\r\ncontent-length: 2\r\n\r\nhi"
        )
        request = self.requests[0]
        self.assertEqual(request.method, "POST")
        self.assertEqual(request.path, "/a b")
        self.assertEqual(request.query, {"x": "1", "y": "/"})
        self.assertEqual(request.headers["x-y"], "z")
        self.assertEqual(request.body, b"hi")

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        response = await self._exchange(
            b"GET /1 HTTP/1.1\r\nhost: h\r\n\r\n"
            b"GET /2 HTTP/1.1\r\nhost: h\r\n\r\n"
            b"GET /3 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
        )
        bodies = [part[:2] for part in response.split(b"\r\n\r\n")[1:]]
        self.assertEqual(bodies, [b"/1", b"/2", b"/3"])

    async def test_idle_connection_is_closed(self) -> None:
        self.assertEqual(await self._exchange(b""), b"")

    async def test_slow_sender_is_disconnected(self) -> None:
        for start in (
            b"GET / HT",
            b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nab",
        ):
            response = await self._exchange(start)
            self._assert_error(response, 408, "receive_timeout")
        self.assertEqual(self.requests, [])

    async def test_sender_of_one_header_at_a_time_is_disconnected(self) -> None:
        reader, writer = await self._open()
        read = asyncio.create_task(reader.read())
        writer.write(b"GET / HTTP/1.1\r\n")
        while not read.done():
            writer.write(b"a: b\r\n")
            await asyncio.sleep(0.01)
        self._assert_error(read.result(), 408, "receive_timeout")
        writer.close()

    async def test_large_bodies_are_rejected(self) -> None:
        declared = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 101\r\n\r\n"
        chunked = (
            b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
            b"41\r\n" + b"x" * 65 + b"\r\n" + b"41\r\n" + b"x" * 65 + b"\r\n"
        )
        for data in (declared, chunked):
            response = await self._exchange(data)
            self._assert_error(response, 413, "body_too_large")
        self.assertEqual(self.requests, [])

    async def test_rejection_reaches_a_client_that_still_sends(self) -> None:
        reader, writer = await self._open()
        writer.write(
            b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9000000\r\n\r\n"
        )
        for _ in range(9):
            writer.write(b"x" * 1_000_000)
            await writer.drain()
        self._assert_error(await reader.read(), 413, "body_too_large")
        writer.close()

    async def test_large_headers_are_rejected(self) -> None:
        whole = b"GET / HTTP/1.1\r\nhost: h\r\na: " + b"x" * 600 + b"\r\n\r\n"
        unfinished = b"GET /" + b"x" * 600
        for data in (whole, unfinished):
            response = await self._exchange(data)
            self._assert_error(response, 431, "headers_too_large")
        self.assertEqual(self.requests, [])

    async def test_malformed_requests_are_rejected(self) -> None:
        for data in (
            b"nonsense\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: x\r\n\r\n",
            b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n"
            b"content-length: 2\r\n\r\n",
        ):
            with self.subTest(data=data):
                response = await self._exchange(data)
                self._assert_error(response, 400, "malformed_request")
        self.assertEqual(self.requests, [])

    async def test_connections_are_limited(self) -> None:
        open_connections = [await self._open() for _ in range(2)]
        while self.server.open_connections < 2:
            await asyncio.sleep(0.001)
        response = await self._exchange(b"")
        self._assert_error(response, 503, "too_many_connections")
        for _, writer in open_connections:
            writer.close()

    async def test_failing_handler_is_answered(self) -> None:
        response = await self._exchange(
            b"GET /broken HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
        )
        self._assert_error(response, 500, "internal")

    async def test_response_that_cannot_be_written_closes_the_connection(
        self,
    ) -> None:
        reader, writer = await self._open()
        writer.write(b"GET /bad-header HTTP/1.1\r\nhost: h\r\n\r\n")
        async with asyncio.timeout(_LONG_TIMEOUT_S):
            self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_dropped_connection_gets_no_response(self) -> None:
        reader, writer = await self._open()
        writer.write(b"GET /drop HTTP/1.1\r\nhost: h\r\n\r\n")
        self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_continue_is_sent_before_the_body(self) -> None:
        reader, writer = await self._open()
        writer.write(
            b"POST /c HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n"
            b"content-length: 2\r\n\r\n"
        )
        line = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 100 ", line)
        writer.write(b"hi")
        self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    async def test_head_has_no_body(self) -> None:
        response = await self._exchange(
            b"HEAD /h HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
        )
        self.assertTrue(response.endswith(b"\r\n\r\n"), response)

    async def test_handler_is_cancelled_when_the_client_disconnects(
        self,
    ) -> None:
        _, writer = await self._open()
        writer.write(b"GET /wait HTTP/1.1\r\nhost: h\r\n\r\n")
        await self.handler_entered.wait()
        writer.close()
        while self.server.open_connections:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0)
        self.assertEqual(self.cancelled, 1)

    async def test_slow_reader_is_disconnected(self) -> None:
        await self.server.stop(deadline=0.0)
        large_body = b"x" * 50_000_000

        async def handle(
            request: http_types.HttpRequest,
        ) -> http_types.HttpResponse:
            return http_types.HttpResponse(200, large_body)

        self.server = http_server.HttpServer(handle, limits=_LIMITS)
        self.port = await self.server.start("127.0.0.1", 0)
        _, writer = await self._open()
        writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        while not self.server.open_connections:
            await asyncio.sleep(0.001)
        while self.server.open_connections:
            await asyncio.sleep(0.001)
        writer.close()

    async def test_stop_lets_requests_finish(self) -> None:
        reader, writer = await self._open()
        writer.write(b"GET /wait HTTP/1.1\r\nhost: h\r\n\r\n")
        await self.handler_entered.wait()
        deadline = asyncio.get_running_loop().time() + _LONG_TIMEOUT_S
        stopping = asyncio.create_task(self.server.stop(deadline=deadline))
        await asyncio.sleep(2 * http_server.STOP_GRACE_S)
        with self.assertRaises(OSError):
            await self._open()
        self.assertFalse(stopping.done())
        self.release.set()
        response = await reader.read()
        self.assertTrue(response.endswith(b"/wait"), response)
        self.assertIn(b"connection: close", response.lower())
        await stopping
        writer.close()

    async def test_stop_answers_a_request_in_transit(self) -> None:
        await self.server.stop(deadline=0.0)
        await self._serve(http_types.HttpLimits())
        reader, writer = await self._open()
        while not self.server.open_connections:
            await asyncio.sleep(0.001)
        deadline = asyncio.get_running_loop().time() + _LONG_TIMEOUT_S
        stopping = asyncio.create_task(self.server.stop(deadline=deadline))
        await asyncio.sleep(0)
        writer.write(b"GET /late HTTP/1.1\r\nhost: h\r\n\r\n")
        response = await reader.read()
        self.assertTrue(response.endswith(b"/late"), response)
        await stopping
        writer.close()

    async def test_stop_aborts_requests_at_its_deadline(self) -> None:
        reader, writer = await self._open()
        writer.write(b"GET /wait HTTP/1.1\r\nhost: h\r\n\r\n")
        await self.handler_entered.wait()
        deadline = asyncio.get_running_loop().time() + 0.01
        await self.server.stop(deadline=deadline)
        self.assertEqual(await reader.read(), b"")
        writer.close()
