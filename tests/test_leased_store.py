"""Tests of what a host reads in the store, with faults of the store."""

import asyncio
import json
import logging
import random
import unittest

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.net import http_client
from godwitnotch.net import leased_store
from godwitnotch.platform import evacuations
from godwitnotch.platform import store as store_module
from godwitnotch.standins import leased_platform

TIMEOUT_S = 5.0
ENTRY = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "a",
    "slots": 2,
    "state": "ready",
    "capacity": {"cpu": 1, "mem_mb": 2, "gpu": 0},
    "labels": ["a"],
}


class Listener:
    """Records what a watcher passes on; may raise at each call."""

    def __init__(self) -> None:
        self.leads = True
        self.lists_upstreams = True
        self.wants_hosts = False
        self.versions: list[int] = []
        self.domains: frozenset[str] | None = None
        self.config_version = 0
        self.listed = None
        self.faults = 0

    def apply_configuration(self, configuration, document) -> None:
        self.config_version = configuration.version

    def update_evacuations(self, version, domains) -> None:
        if self.faults:
            self.faults -= 1
            raise ValueError("a fault of the program")
        self.versions.append(version)
        self.domains = domains

    def update_upstreams(self, listed) -> None:
        if self.faults:
            self.faults -= 1
            raise ValueError("a fault of the program")
        self.listed = listed

    def add_hosts(self, hosts) -> None:
        if self.faults:
            self.faults -= 1
            raise ValueError("a fault of the program")


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.store = leased_platform.StandInStore()
        address = await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.store.put_configuration("s")
        client = http_client.HttpClient()
        self.addAsyncCleanup(client.close)
        self.listener = Listener()
        self.counted: list[str] = []
        self.watcher = leased_store.StoreWatcher(
            store_module.Store(address, client),
            model.KnownHost(ids.HostId("h"), ids.DomainId("a")),
            self.listener,
            rng=random.Random(1),
            count=lambda event, _: self.counted.append(event),
        )

    def watch(self, watching) -> None:
        task = asyncio.create_task(watching)
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)
        self.task = task

    def evacuate(self, domain: str, value: bytes = b"{}") -> None:
        self.store.put("op", f"evacuate/{domain}", value)

    async def wait_for(self, *domains: str) -> None:
        await self.wait_until(
            lambda: self.listener.domains == frozenset(domains)
        )

    async def wait_until(self, condition) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)


class EvacuationRowsTest(WatcherTest):
    async def test_rows_are_followed(self) -> None:
        self.evacuate("a")
        self.watch(self.watcher.watch_configuration())
        await self.wait_for("a")
        self.assertEqual(self.listener.config_version, 1)
        self.evacuate("b")
        await self.wait_for("a", "b")
        self.store.remove("op", "evacuate/a")
        await self.wait_for("b")
        self.store.remove("op", "evacuate/b")
        await self.wait_for()
        versions = self.listener.versions
        self.assertEqual(versions, sorted(versions))

    async def test_malformed_rows_count_if_their_key_names_a_domain(
        self,
    ) -> None:
        self.evacuate("json", b"\xff")
        self.evacuate("array", b"[]")
        self.store.put_text("op", "evacuate/base64", "%%")
        self.store.put_text("op", "evacuate/number", 7)
        self.evacuate("")
        self.evacuate("\ud800")
        self.evacuate("x" * (evacuations.MAX_DOMAIN_CHARS + 1))
        self.store.put("op", "evacuate", b"{}")
        named = ("json", "array", "base64", "number")
        self.watch(self.watcher.watch_configuration())
        await self.wait_for(*named)
        self.assertEqual(self.listener.config_version, 1)
        self.assertEqual(self.counted, ["evacuation_unreadable"] * 7)
        # They are logged once, and the rest goes on.
        self.evacuate("fine")
        await self.wait_for("fine", *named)
        self.assertEqual(len(self.counted), 7)
        for name in named:
            self.store.remove("op", f"evacuate/{name}")
        await self.wait_for("fine")

    async def test_rows_of_another_partition_have_no_effect(self) -> None:
        # The feed of a table has the rows of all its partitions.
        self.watch(self.watcher.watch_configuration())
        await self.wait_for()
        self.store.put_text("op", "evacuate/a", "e30=", part="other")
        self.evacuate("b")
        await self.wait_for("b")

    async def test_row_that_is_missing_once_the_history_is_gone(self) -> None:
        self.evacuate("a")
        self.evacuate("b")
        self.watch(self.watcher.watch_configuration())
        await self.wait_for("a", "b")
        del self.store._rows["op", "evacuate/a"]
        self.store.history_gone = True
        await self.wait_for("b")
        self.store.history_gone = False
        self.evacuate("c")
        await self.wait_for("b", "c")

    async def test_row_that_changes_while_pages_are_read(self) -> None:
        # Its key is on the first page, which was read before.
        self.store.remove("op", "config")
        self.evacuate("m")
        self.evacuate("z")
        self.store.page_rows = 1
        changed = []

        def change() -> None:
            if not changed:
                changed.append(1)
                self.evacuate("a")

        self.store.on_page = change
        self.watch(self.watcher.watch_configuration())
        await self.wait_for("a", "m", "z")

    async def test_known_set_stays_in_an_outage(self) -> None:
        self.evacuate("a")
        self.watch(self.watcher.watch_configuration())
        await self.wait_for("a")
        self.store.down = True
        self.store.remove("op", "evacuate/a")
        await self.wait_until(lambda: "store_unavailable" in self.counted)
        self.assertEqual(self.listener.domains, {"a"})
        self.store.down = False
        await self.wait_for()


class FaultTest(WatcherTest):
    """A fault ended the watch, and the host never read the store again."""

    async def test_watch_of_the_operators_rows_goes_on(self) -> None:
        self.listener.faults = 2
        self.evacuate("a")
        self.watch(self.watcher.watch_configuration())
        await self.wait_for("a")
        self.assertEqual(self.counted.count("store_watch_failed"), 2)

    async def test_watch_of_the_upstreams_goes_on(self) -> None:
        self.listener.faults = 1
        self.store.put("servers", "u", json.dumps(ENTRY).encode())
        self.watch(self.watcher.watch_upstreams())
        await self.wait_until(lambda: self.listener.listed is not None)
        self.assertEqual(self.counted, ["store_watch_failed"])

    async def test_watch_of_the_hosts_goes_on(self) -> None:
        self.listener.faults = 1
        self.listener.wants_hosts = True
        self.watch(self.watcher.watch_hosts())
        await self.wait_until(lambda: not self.listener.faults)
        await asyncio.sleep(0.05)
        self.assertFalse(self.task.done())

    async def test_entry_with_text_that_no_message_can_carry(self) -> None:
        # Such an entry ended the watch: the list could not be sent to peers.
        self.store.put("servers", "i-\ud800", json.dumps(ENTRY).encode())
        labels = {**ENTRY, "labels": ["\ud800"]}
        self.store.put("servers", "label", json.dumps(labels).encode())
        zone = {**ENTRY, "zone": "\ud800"}
        self.store.put("servers", "zone", json.dumps(zone).encode())
        self.store.put("servers", "fine", json.dumps(ENTRY).encode())
        self.watch(self.watcher.watch_upstreams())
        await self.wait_until(lambda: self.listener.listed is not None)
        names = [each.upstream for each in self.listener.listed.upstreams]
        self.assertEqual(names, ["fine"])


if __name__ == "__main__":
    unittest.main()
