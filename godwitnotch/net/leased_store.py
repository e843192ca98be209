"""Watches the configuration, the upstreams and the hosts in the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from godwitnotch import log
from godwitnotch.core import ids
from godwitnotch.core import random_source
from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from godwitnotch.platform import configuration as configuration_module
from godwitnotch.platform import evacuations
from godwitnotch.platform import fields
from godwitnotch.platform import hosts
from godwitnotch.platform import store as store_module
from godwitnotch.platform import upstreams

CONFIG_POLL_WAIT_MS = 1_000
UPSTREAMS_POLL_INTERVAL_S = 0.6
# Interval of the leaders that get the list from another leader, which may have
# lost the store.
SECONDARY_POLL_INTERVAL_S = 3.0
STORE_CALL_TIMEOUT_S = 0.8
MIN_BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.6
HOSTS_POLL_INTERVAL_S = 2.0


class StoreListener(Protocol):
    """Receives the configuration, upstreams and hosts from a `StoreWatcher`."""

    @property
    def leads(self) -> bool:
        """Whether this host is the leader; only the leader needs upstreams."""

    @property
    def lists_upstreams(self) -> bool:
        """Whether this host reads the list of upstreams for all leaders."""

    @property
    def wants_hosts(self) -> bool:
        """Whether this host needs to find hosts that it may not know."""

    def apply_configuration(
        self, configuration: configuration_module.Configuration, document: bytes
    ) -> None:
        """Applies a configuration if it is newer than the current one."""

    def update_evacuations(
        self, version: int, domains: frozenset[ids.DomainId]
    ) -> None:
        """Handles the evacuated domains at a version of the store."""

    def update_upstreams(self, listed: events.UpstreamsListed) -> None:
        """Handles a new list of upstreams."""

    def add_hosts(self, hosts: Iterable[model.KnownHost]) -> None:
        """Adds registered hosts to the known hosts."""


class StoreWatcher:
    """Watches the store for one host.

    Args:
        store: Client of the store.
        identity: Id and failure domain under which this host registers.
        listener: Receives what the watcher reads.
        rng: Source of random numbers for the jitter of the retry delays.
        count: Counts a log event by its name and reason.
    """

    def __init__(
        self,
        store: store_module.Store,
        identity: model.KnownHost,
        listener: StoreListener,
        *,
        rng: random_source.RandomSource,
        count: Callable[[str, str], None],
    ) -> None:
        self._store = store
        self._identity = identity
        self._listener = listener
        self._rng = rng
        self._count = count
        self._loop = asyncio.get_running_loop()
        self._store_reachable = True
        self._config_version: int | None = None
        self._evacuated: dict[str, ids.DomainId] = {}
        self._unreadable_rows: dict[str, bytes] = {}
        self._registered = False
        self._refresh_requested = asyncio.Event()

    def refresh_upstreams(self) -> None:
        """Reads the list of upstreams at once if this host leads."""
        self._refresh_requested.set()

    async def watch_configuration(self) -> None:
        """Passes the operators' rows to the listener, by long polling.

        These are the configuration and the evacuations.
        """
        await self._repeat(self._read_operators_rows)

    async def watch_upstreams(self) -> None:
        """Reads the list of upstreams periodically while this host leads."""
        while True:
            self._refresh_requested.clear()
            if self._listener.leads:
                try:
                    await self._read_upstreams()
                except Exception as error:
                    self._record_fault(error)
            interval_s = UPSTREAMS_POLL_INTERVAL_S
            if self._listener.leads and not self._listener.lists_upstreams:
                interval_s = SECONDARY_POLL_INTERVAL_S
            try:
                async with asyncio.timeout(interval_s):
                    await self._refresh_requested.wait()
            except TimeoutError:
                continue

    async def watch_hosts(self) -> None:
        """Registers this host; reads the other hosts while they are wanted."""
        await self._repeat(self._discover_hosts, HOSTS_POLL_INTERVAL_S)

    async def _repeat(
        self, read: Callable[[], Awaitable[None]], interval_s: float = 0.0
    ) -> None:
        """Reads for ever; an error delays the next read, and ends nothing."""
        failures = 0
        while True:
            try:
                await read()
                failures = 0
                await asyncio.sleep(interval_s)
                continue
            except store_module.StoreUnavailable as error:
                self._mark_unreachable(error)
            except Exception as error:
                self._record_fault(error)
            failures += 1
            await asyncio.sleep(self._retry_delay_s(failures))

    async def deregister(self) -> None:
        """Removes this host from the table of hosts."""
        if not self._registered:
            return
        try:
            await self._store.remove(
                store_module.HOSTS_TABLE,
                self._identity.host,
                deadline=self._deadline(),
            )
        except store_module.StoreUnavailable as error:
            self._mark_unreachable(error)

    async def _read_operators_rows(self) -> None:
        read_all = self._config_version is None
        if self._config_version is None:
            rows = await self._store.rows(
                store_module.CONFIG_TABLE, deadline=self._deadline()
            )
        else:
            changed_rows = await self._store.changes(
                store_module.CONFIG_TABLE,
                after=self._config_version,
                wait_ms=CONFIG_POLL_WAIT_MS,
                deadline=self._deadline(CONFIG_POLL_WAIT_MS / 1_000),
            )
            if changed_rows is None:
                self._config_version = None
                return
            rows = changed_rows
        self._mark_reachable()
        for row in rows.rows:
            if row.key == store_module.CONFIG_KEY and row.value is not None:
                self._apply_document(row.value)
        self._apply_evacuations(rows, read_all=read_all)
        self._config_version = rows.version

    def _apply_evacuations(
        self, rows: store_module.StoreRows, *, read_all: bool
    ) -> None:
        """Passes on the evacuations in all rows, or in the changed ones."""
        evacuated = {} if read_all else dict(self._evacuated)
        for row in rows.rows:
            if not evacuations.is_evacuation(row.key):
                continue
            evacuated.pop(row.key, None)
            if row.value is None:
                self._unreadable_rows.pop(row.key, None)
                continue
            domain = self._decode_evacuation(row.key, row.value)
            if domain is not None:
                evacuated[row.key] = domain
        self._evacuated = evacuated
        self._listener.update_evacuations(
            rows.version, frozenset(evacuated.values())
        )

    def _decode_evacuation(self, key: str, value: bytes) -> ids.DomainId | None:
        """Returns the domain that a row evacuates; None if it names none."""
        decoded = evacuations.decode_row(key, value)
        if not decoded.problem:
            self._unreadable_rows.pop(key, None)
        elif self._is_new_problem(key, value):
            self._count("evacuation_unreadable", "")
            log.event("evacuation_unreadable", key=key, cause=decoded.problem)
        return decoded.domain

    def _apply_document(self, document: bytes) -> None:
        try:
            configuration = configuration_module.decode(document)
        except fields.WrongFormatError as error:
            self._count("configuration_unreadable", "")
            log.event("configuration_unreadable", cause=error)
            return
        except Exception as error:  # The other rows must still be followed.
            self._record_fault(error)
            return
        self._listener.apply_configuration(configuration, document)

    async def _read_upstreams(self) -> None:
        try:
            rows = await self._store.rows(
                store_module.UPSTREAMS_TABLE, deadline=self._deadline()
            )
        except store_module.StoreUnavailable as error:
            self._mark_unreachable(error)
            return
        self._mark_reachable()
        listed = []
        unreadable = []
        cold_remaining_ms = {}
        for row in rows.rows:
            if row.value is None:
                continue
            entry = self._decode_upstream(row.key, row.value)
            if entry is None:
                unreadable.append(ids.UpstreamId(row.key))
            else:
                listed.append(entry.upstream)
                if entry.cold_remaining_ms:
                    upstream = entry.upstream.upstream
                    cold_remaining_ms[upstream] = entry.cold_remaining_ms
        self._listener.update_upstreams(
            events.UpstreamsListed(
                tuple(listed), tuple(unreadable), cold_remaining_ms
            )
        )

    def _decode_upstream(
        self, key: str, value: bytes
    ) -> upstreams.ListedUpstream | None:
        try:
            entry = upstreams.decode_upstream(key, value)
        except fields.WrongFormatError as error:
            if self._is_new_problem(key, value):
                self._count("upstream_unreadable", "")
                log.event("upstream_unreadable", key=key, cause=error)
            return None
        if not entry.problem:
            self._unreadable_rows.pop(key, None)
        elif self._is_new_problem(key, value):
            self._count("upstream_field_ignored", "")
            log.event("upstream_field_ignored", key=key, cause=entry.problem)
        return entry

    def _is_new_problem(self, key: str, value: bytes) -> bool:
        """Returns whether a malformed row differs from the last one logged."""
        if self._unreadable_rows.get(key) == value:
            return False
        self._unreadable_rows[key] = value
        return True

    async def _discover_hosts(self) -> None:
        if not self._registered:
            await self._store.put(
                store_module.HOSTS_TABLE,
                self._identity.host,
                hosts.encode_host(self._identity),
                deadline=self._deadline(),
            )
            self._registered = True
        elif not self._listener.wants_hosts:
            return
        rows = await self._store.rows(
            store_module.HOSTS_TABLE, deadline=self._deadline()
        )
        self._mark_reachable()
        self._listener.add_hosts(
            known for row in rows.rows if (known := self._decode_host(row))
        )

    def _decode_host(
        self, row: store_module.StoreRow
    ) -> model.KnownHost | None:
        """Returns the host of a row; None if the row was removed or is odd."""
        if row.value is None:
            return None
        try:
            known = hosts.decode_host(row.key, row.value)
        except fields.WrongFormatError as error:
            if self._is_new_problem(row.key, row.value):
                self._count("host_unreadable", "")
                log.event("host_unreadable", key=row.key, cause=error)
            return None
        self._unreadable_rows.pop(row.key, None)
        return known

    def _record_fault(self, error: Exception) -> None:
        self._count("store_watch_failed", type(error).__name__)
        log.event(
            "store_watch_failed",
            cause=repr(error),
            remedy="report it; the read is repeated",
        )

    def _mark_reachable(self) -> None:
        if not self._store_reachable:
            self._store_reachable = True
            log.event("store_regained")

    def _mark_unreachable(self, error: Exception) -> None:
        self._count("store_unavailable", "")
        if self._store_reachable:
            self._store_reachable = False
            log.event("store_lost", cause=error)

    def _deadline(self, wait_s: float = 0.0) -> float:
        return self._loop.time() + STORE_CALL_TIMEOUT_S + wait_s

    def _retry_delay_s(self, failures: int) -> float:
        max_delay_s = min(
            MAX_BACKOFF_S, MIN_BACKOFF_S * (1 << min(failures, 8))
        )
        return max_delay_s * (0.5 + self._rng.random() / 2)
