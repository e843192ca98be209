"""Tests of the delays between dials."""

import asyncio
import random
import unittest

from godwitnotch.core import ids
from godwitnotch.net import redial

LONG_S = 3_600.0
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
                extra_delay_s=LONG_S,
            )
        )
        self.addCleanup(task.cancel)
        return task

    async def test_a_link_into_the_domain_ends_the_wait(self) -> None:
        # In one incident, a leader that had stepped down had no link to the
        # next leader for 0.4 s after a partition, although other hosts of its
        # domain had a link.
        waiting = self.wait("a", FAR, failures=5)
        await asyncio.sleep(0)
        self.backoff.link_opened(FAR)
        await waiting

    async def test_a_link_into_another_domain_does_not_end_the_wait(
        self,
    ) -> None:
        waiting = self.wait("a", FAR, failures=5)
        await asyncio.sleep(0)
        self.backoff.link_opened(NEAR)
        for _ in range(5):
            await asyncio.sleep(0.002)
        self.assertFalse(waiting.done())

    async def test_a_link_does_not_shorten_the_delay_of_the_higher_id(
        self,
    ) -> None:
        waiting = self.wait("a", FAR, failures=0)
        await asyncio.sleep(0)
        self.backoff.link_opened(FAR)
        for _ in range(5):
            await asyncio.sleep(0.002)
        self.assertFalse(waiting.done())

    async def test_a_wait_ends_without_a_new_link(self) -> None:
        await self.backoff.wait(ids.HostId("a"), FAR, failures=1)
        self.backoff.link_opened(FAR)
        await self.backoff.wait(ids.HostId("a"), FAR, failures=1)
