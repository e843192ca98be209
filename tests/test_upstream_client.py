"""Tests that each end of an exchange with an upstream maps to one outcome."""

import asyncio
import json
import unittest

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import http_client
from godwitnotch.net import upstream_client
from godwitnotch.standins import upstream

_TIMEOUT_S = 5.0


def _action(
    address: str,
    *,
    index: int = 0,
    payload: bytes = b'{"sleep_ms": 1}',
    max_answer_bytes: int = 1_000,
    timeout_s: float = _TIMEOUT_S,
) -> actions.StartAttempt:
    return actions.StartAttempt(
        ids.AttemptId(index),
        ids.UpstreamId("u1"),
        address,
        "/run",
        ids.SubmissionId("d1.h1.1.1.tag"),
        index,
        payload,
        max_answer_bytes,
        asyncio.get_running_loop().time() + timeout_s,
    )


class StandInTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.upstream = upstream.Upstream(slots=2, speed=10.0)
        port = await self.upstream.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"
        self.client = upstream_client.UpstreamClient()

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.upstream.stop()

    async def _send(self, **options: object) -> events.AttemptEnded:
        return await self.client.send(_action(self.address, **options))

    async def test_answered_task(self) -> None:
        ended = await self._send(index=3)
        self.assertIs(ended.outcome, model.AttemptOutcome.ANSWERED)
        self.assertEqual(json.loads(ended.body), {"sleep_ms": 1})
        self.assertEqual(ended.submission, "d1.h1.1.1.tag")
        self.assertEqual(ended.task_index, 3)
        self.assertEqual(len(self.upstream.starts), 1)

    async def test_task_failed(self) -> None:
        ended = await self._send(payload=b'{"sleep_ms": 1, "fail": true}')
        self.assertIs(ended.outcome, model.AttemptOutcome.TASK_FAILED)

    async def test_refusals(self) -> None:
        for reason, outcome in (
            ("full", model.AttemptOutcome.REFUSED_FULL),
            ("leaving", model.AttemptOutcome.REFUSED_LEAVING),
        ):
            self.upstream.faults.not_started = reason
            ended = await self._send()
            self.assertIs(ended.outcome, outcome)
            self.assertEqual(ended.retry_after_s, 1.0)
        self.assertEqual(self.upstream.starts, [])

    async def test_full_slots_refuse(self) -> None:
        sends = [self._send(index=index) for index in range(3)]
        ended_attempts = await asyncio.gather(*sends)
        outcomes = [ended.outcome for ended in ended_attempts]
        self.assertEqual(
            outcomes.count(model.AttemptOutcome.REFUSED_FULL), 1, outcomes
        )
        self.assertEqual(len(self.upstream.starts), 2)

    async def test_lost_answer_ends_as_broken_off(self) -> None:
        self.upstream.faults.lose_answers = 1
        ended = await self._send()
        self.assertIs(ended.outcome, model.AttemptOutcome.BROKE_OFF)
        self.assertEqual(len(self.upstream.starts), 1)

    async def test_silent_upstream_ends_as_timed_out(self) -> None:
        self.upstream.faults.silent = True
        ended = await self._send(timeout_s=0.05)
        self.assertIs(ended.outcome, model.AttemptOutcome.TIMED_OUT)

    async def test_too_large_answer(self) -> None:
        ended = await self._send(max_answer_bytes=3)
        self.assertIs(ended.outcome, model.AttemptOutcome.ANSWER_TOO_LARGE)

    async def test_connect_refused(self) -> None:
        await self.upstream.stop()
        ended = await self._send()
        self.assertIs(ended.outcome, model.AttemptOutcome.CONNECT_REFUSED)

    async def test_no_free_connection_sends_nothing(self) -> None:
        self.client.update_upstreams(
            [
                model.UpstreamEntry(
                    ids.UpstreamId("u1"),
                    ids.DomainId("d1"),
                    "r1",
                    self.address,
                    slots=2,
                    connections=1,
                )
            ]
        )
        first = asyncio.create_task(self._send(payload=b'{"sleep_ms": 1000}'))
        await asyncio.sleep(0)
        ended = await self._send(index=1, timeout_s=0.02)
        self.assertIs(ended.outcome, model.AttemptOutcome.NOTHING_SENT)
        await first
        self.assertEqual(len(self.upstream.starts), 1)

    async def test_connections_to_a_removed_upstream_are_closed(self) -> None:
        entry = model.UpstreamEntry(
            ids.UpstreamId("u1"),
            ids.DomainId("d1"),
            "r1",
            self.address,
            slots=2,
            connections=64,
        )
        pool = http_client.HttpClient(max_idle_s=60.0)
        self.client = upstream_client.UpstreamClient(pool)
        self.client.update_upstreams([entry])
        await self._send()
        self.assertEqual(pool.idle_connections(self.address), 1)
        self.client.update_upstreams([])
        self.assertEqual(pool.idle_connections(self.address), 0)

    async def test_cancelled_attempt_closes_its_connection(self) -> None:
        task = asyncio.create_task(self._send(payload=b'{"sleep_ms": 60000}'))
        while not self.upstream.running:
            await asyncio.sleep(0.001)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        while self.upstream.running:
            await asyncio.sleep(0.001)
        ended = await self._send(index=1)
        self.assertIs(ended.outcome, model.AttemptOutcome.ANSWERED)


class InvalidResponseTest(unittest.IsolatedAsyncioTestCase):
    """Tests of responses that a correct upstream never sends."""

    async def _exchange_outcome(
        self, *lines: str, body: str
    ) -> model.AttemptOutcome:
        head = "\r\n".join((*lines, f"content-length: {len(body)}", "", body))

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'{"sleep_ms": 1}')
            writer.write(head.encode())
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = upstream_client.UpstreamClient()
        ended = await client.send(_action(f"127.0.0.1:{port}"))
        await client.close()
        server.close()
        await server.wait_closed()
        return ended.outcome

    async def test_invalid_responses_end_as_bad_answer(self) -> None:
        ok = "HTTP/1.1 200 OK"
        name = "submission-id: d1.h1.1.1.tag"
        index = "task-index: 0"
        for lines, body in (
            ((ok, name, index), "not json"),
            ((ok, name, index), '{"a": NaN}'),
            ((ok, name, index), ""),
            ((ok, name, "task-index: 1"), "{}"),
            ((ok, name, "task-index: x"), "{}"),
            ((ok, name), "{}"),
            ((ok, "submission-id: other", index), "{}"),
            (("SSH-2.0",), ""),
        ):
            with self.subTest(lines=lines, body=body):
                self.assertIs(
                    await self._exchange_outcome(*lines, body=body),
                    model.AttemptOutcome.BAD_ANSWER,
                )

    async def test_unexplained_503_is_a_failed_task(self) -> None:
        for extra in ("x: y", "not-started: maybe"):
            outcome = await self._exchange_outcome(
                "HTTP/1.1 503 No", extra, body=""
            )
            self.assertIs(outcome, model.AttemptOutcome.TASK_FAILED)
