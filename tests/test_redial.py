"""Tests of the delays between dials."""

import asyncio
import random
import time
import unittest

from godwitnotch.core import ids
from godwitnotch.net import redial

LONG_S = 3_600.0
LONG_FAILURES = 16  # The delay after them is more than half a minute.
NEAR = ids.DomainId("near")
FAR = ids.DomainId("far")


class DialBackoffTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.backoff = redial.DialBackoff(
            min_s=0.001, max_s=LONG_S, rng=random.Random(1)
        )

    def wait(
        self, host: str, domain: ids.DomainId, *, failures: int
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(
            self.backoff.wait(
                ids.HostId(host),
                domain,
                failures=failures,
            )
        )
        self.addCleanup(task.cancel)
        return task

    async def test_a_link_into_the_domain_ends_the_wait(self) -> None:
        # In one incident, a leader that had stepped down had no link to the
        # next leader for 0.4 s after a partition, although other hosts of its
        # domain had a link.
        waiting = self.wait("a", FAR, failures=LONG_FAILURES)
        await asyncio.sleep(0)
        self.backoff.link_opened(FAR)
        await waiting

    async def test_a_link_into_another_domain_does_not_end_the_wait(
        self,
    ) -> None:
        waiting = self.wait("a", FAR, failures=LONG_FAILURES)
        await asyncio.sleep(0)
        self.backoff.link_opened(NEAR)
        for _ in range(5):
            await asyncio.sleep(0.002)
        self.assertFalse(waiting.done())

    def connect(self, domain: ids.DomainId) -> asyncio.Task[int]:
        """Starts to connect; the first attempt hangs, the next succeed."""
        self.attempts = 0

        async def attempt() -> int:
            self.attempts += 1
            if self.attempts == 1:
                await asyncio.Event().wait()
            return self.attempts

        task = asyncio.create_task(
            self.backoff.connect(
                ids.HostId("a"), domain, attempt, timeout_s=LONG_S
            )
        )
        self.addCleanup(task.cancel)
        return task

    async def test_a_link_into_the_domain_restarts_a_lasting_attempt(
        self,
    ) -> None:
        # After a partition, hosts had no link to the leader for 0.7 s, since
        # the packets that open a connection had been lost shortly before its
        # end. Meanwhile they had links to other hosts of its domain.
        connecting = self.connect(FAR)
        await asyncio.sleep(0.002)
        self.backoff.link_opened(FAR)
        self.assertEqual(await connecting, 2)

    async def test_a_link_elsewhere_restarts_no_attempt(self) -> None:
        connecting = self.connect(FAR)
        await asyncio.sleep(0.002)
        self.backoff.link_opened(NEAR)
        await asyncio.sleep(0.002)
        self.assertFalse(connecting.done())
        self.assertEqual(self.attempts, 1)

    async def test_a_link_restarts_no_attempt_that_has_just_begun(self) -> None:
        self.backoff = redial.DialBackoff(
            min_s=LONG_S, max_s=LONG_S, rng=random.Random(1)
        )
        connecting = self.connect(FAR)
        await asyncio.sleep(0)
        self.backoff.link_opened(FAR)
        await asyncio.sleep(0.002)
        self.assertFalse(connecting.done())
        self.assertEqual(self.attempts, 1)

    async def test_an_attempt_that_nothing_restarts_times_out(self) -> None:
        async def hang() -> None:
            await asyncio.Event().wait()

        with self.assertRaises(TimeoutError):
            await self.backoff.connect(
                ids.HostId("a"), FAR, hang, timeout_s=0.001
            )

    async def test_a_link_that_opens_as_an_attempt_times_out_changes_nothing(
        self,
    ) -> None:
        async def hang() -> None:
            await asyncio.Event().wait()

        loop = asyncio.get_running_loop()
        errors: list[object] = []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        connecting = asyncio.create_task(
            self.backoff.connect(ids.HostId("a"), FAR, hang, timeout_s=0.002)
        )
        await asyncio.sleep(0)
        loop.call_later(0.003, self.backoff.link_opened, FAR)
        # Both timers are due when the loop runs again.
        time.sleep(0.02)
        with self.assertRaises(TimeoutError):
            await connecting
        self.assertEqual(errors, [])

    async def test_a_wait_ends_without_a_new_link(self) -> None:
        await self.backoff.wait(ids.HostId("a"), FAR, failures=1)
        self.backoff.link_opened(FAR)
        await self.backoff.wait(ids.HostId("a"), FAR, failures=1)
