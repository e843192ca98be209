"""Watches what the platform's store says of configuration, upstreams, hosts."""

import asyncio
import json
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from godwitnotch import log
from godwitnotch.core import ids
from godwitnotch.core import random_source
from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from godwitnotch.platform import configuration
from godwitnotch.platform import fields
from godwitnotch.platform import store as store_module
from godwitnotch.platform import upstreams

CONFIG_WAIT_MS = 1_000
UPSTREAMS_INTERVAL_S = 0.6
CALL_TIMEOUT_S = 0.8
MIN_BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.6
ALONE_INTERVAL_S = 2.0


class Taker(Protocol):
    """Who takes what was read."""

    @property
    def leads(self) -> bool:
        """Whether this host needs the list of upstreams."""

    @property
    def alone(self) -> bool:
        """Whether this host has no link to another one."""

    def take_configuration(
        self, read: configuration.Configuration, document: bytes
    ) -> None:
        """Takes a version of the configuration."""

    def take_upstreams(self, listed: events.UpstreamsListed) -> None:
        """Takes a list of upstreams."""

    def take_hosts(self, hosts: Iterable[model.KnownHost]) -> None:
        """Takes the hosts that have registered."""


class StoreWatch:
    """Reads the store for one host.

    Args:
        store: The platform's store.
        host: This host, as others are to reach it.
        taker: Takes what was read.
        chance: Jitter of repeated calls.
        count: Counts an event by its name and reason.
    """

    def __init__(
        self,
        store: store_module.Store,
        host: model.KnownHost,
        taker: Taker,
        *,
        chance: random_source.RandomSource,
        count: Callable[[str, str], None],
    ) -> None:
        self._store = store
        self._host = host
        self._taker = taker
        self._chance = chance
        self._count = count
        self._loop = asyncio.get_running_loop()
        self._up = True
        self._version: int | None = None
        self._bad_rows: dict[str, bytes] = {}
        self._registered = False
        self._wake_upstreams = asyncio.Event()

    def wake(self) -> None:
        """Reads the list of upstreams at once: this host leads now."""
        self._wake_upstreams.set()

    async def watch_configuration(self) -> None:
        """Takes each version of the configuration soon after it is written."""
        failures = 0
        while True:
            try:
                await self._read_configuration()
                failures = 0
            except store_module.StoreUnavailable as error:
                failures += 1
                self._unavailable(error)
                await asyncio.sleep(self._pause_s(failures))

    async def watch_upstreams(self) -> None:
        """Takes the list of upstreams while this host leads."""
        while True:
            self._wake_upstreams.clear()
            if self._taker.leads:
                await self._read_upstreams()
            try:
                async with asyncio.timeout(UPSTREAMS_INTERVAL_S):
                    await self._wake_upstreams.wait()
            except TimeoutError:
                continue

    async def watch_hosts(self) -> None:
        """Registers this host, and finds others while it has no link."""
        failures = 0
        while True:
            try:
                await self._find_hosts()
                failures = 0
                await asyncio.sleep(ALONE_INTERVAL_S)
            except store_module.StoreUnavailable as error:
                failures += 1
                self._unavailable(error)
                await asyncio.sleep(self._pause_s(failures))

    async def leave(self) -> None:
        """Removes this host from the table of hosts."""
        if not self._registered:
            return
        try:
            await self._store.remove(
                store_module.HOSTS_TABLE,
                self._host.host,
                deadline=self._deadline(),
            )
        except store_module.StoreUnavailable as error:
            self._unavailable(error)

    async def _read_configuration(self) -> None:
        if self._version is None:
            rows = await self._store.rows(
                store_module.CONFIG_TABLE, deadline=self._deadline()
            )
        else:
            changed = await self._store.changes(
                store_module.CONFIG_TABLE,
                after=self._version,
                wait_ms=CONFIG_WAIT_MS,
                deadline=self._deadline(CONFIG_WAIT_MS / 1_000),
            )
            if changed is None:
                self._version = None
                return
            rows = changed
        self._available()
        for row in rows.rows:
            if row.key == store_module.CONFIG_KEY and row.value is not None:
                self._take_document(row.value)
        self._version = rows.version

    def _take_document(self, document: bytes) -> None:
        try:
            read = configuration.decode(document)
        except fields.WrongFormatError as error:
            self._count("configuration_unreadable", "")
            log.event("configuration_unreadable", cause=error)
            return
        self._taker.take_configuration(read, document)

    async def _read_upstreams(self) -> None:
        try:
            rows = await self._store.rows(
                store_module.UPSTREAMS_TABLE, deadline=self._deadline()
            )
        except store_module.StoreUnavailable as error:
            self._unavailable(error)
            return
        self._available()
        listed = []
        unreadable = []
        for row in rows.rows:
            if row.value is None:
                continue
            entry = self._upstream(row.key, row.value)
            if entry is None:
                unreadable.append(ids.UpstreamId(row.key))
            else:
                listed.append(entry)
        self._taker.take_upstreams(
            events.UpstreamsListed(tuple(listed), tuple(unreadable))
        )

    def _upstream(self, key: str, value: bytes) -> model.LeasedUpstream | None:
        try:
            entry = upstreams.decode_upstream(key, value)
        except fields.WrongFormatError as error:
            if self._bad_rows.get(key) != value:
                self._bad_rows[key] = value
                self._count("upstream_unreadable", "")
                log.event("upstream_unreadable", key=key, cause=error)
            return None
        self._bad_rows.pop(key, None)
        return entry

    async def _find_hosts(self) -> None:
        if not self._registered:
            value = json.dumps({"domain": self._host.domain}).encode()
            await self._store.put(
                store_module.HOSTS_TABLE,
                self._host.host,
                value,
                deadline=self._deadline(),
            )
            self._registered = True
        elif not self._taker.alone:
            return
        rows = await self._store.rows(
            store_module.HOSTS_TABLE, deadline=self._deadline()
        )
        self._available()
        self._taker.take_hosts(
            known for row in rows.rows if (known := _known_host(row))
        )

    def _available(self) -> None:
        if not self._up:
            self._up = True
            log.event("store_regained")

    def _unavailable(self, error: Exception) -> None:
        self._count("store_unavailable", "")
        if self._up:
            self._up = False
            log.event("store_lost", cause=error)

    def _deadline(self, wait_s: float = 0.0) -> float:
        return self._loop.time() + CALL_TIMEOUT_S + wait_s

    def _pause_s(self, failures: int) -> float:
        longest_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * (1 << min(failures, 8)))
        return longest_s * (0.5 + self._chance.random() / 2)


def _known_host(row: store_module.StoreRow) -> model.KnownHost | None:
    if row.value is None:
        return None
    try:
        domain = fields.text(fields.parse_object(row.value), "domain")
    except fields.WrongFormatError as error:
        log.event("host_unreadable", key=row.key, cause=error)
        return None
    return model.KnownHost(ids.HostId(row.key), ids.DomainId(domain))
