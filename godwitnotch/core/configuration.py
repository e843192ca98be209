"""The local replica of the workspace settings, updated from store and peers.

A change writes the workspace's row and the change log in one transaction, so
the version of the log's row is the number of the latest change. Hosts poll the
change log, and read it at once when a peer announces a change. A host applies a
version only if it is higher than its own, so settings never go back to an older
version.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import records
from godwitnotch.core import services as services_module
from godwitnotch.core import store_calls
from godwitnotch.core import timers as timers_module

PEER_SNAPSHOT_TIMEOUT_S = 1.0


class ConfigReplica:
    """The workspace settings that this host has applied."""

    def __init__(self, services: services_module.Services) -> None:
        self._store = services.store
        self._timers = services.timers
        self._out = services.out
        self._rng = services.rng
        self._limits = services.limits
        self._configs: dict[ids.WorkspaceId, model.WorkspaceConfig] = {}
        self._counter = -1
        self._poll_in_flight = False
        self._poll_requested = False
        self._poll_timer: timers_module.Timer | None = None
        self._pending_confirmations: dict[ids.HostId, int] = {}
        self._peers: set[ids.HostId] = set()
        self._snapshots: dict[ids.HostId, messages.ConfigSnapshot] = {}
        self._snapshot_timer: timers_module.Timer | None = None
        self._backoff = services.store_backoff()
        self._listeners: list[Callable[[float], None]] = []

    @property
    def configs(self) -> Mapping[ids.WorkspaceId, model.WorkspaceConfig]:
        """The applied settings by workspace."""
        return self._configs

    @property
    def counter(self) -> int:
        """Number of the last applied change; -1 before any is applied."""
        return self._counter

    @property
    def ready(self) -> bool:
        """Whether this host has applied a configuration."""
        return self._counter >= 0

    def start(self, *, now: float) -> None:
        """Starts to poll the change log."""
        self._poll(now)

    def add_listener(self, listener: Callable[[float], None]) -> None:
        """Registers a callback for each update; it gets the current time."""
        self._listeners.append(listener)

    def poll_now(self, *, now: float) -> None:
        """Polls for changes without waiting for the poll interval."""
        self._poll(now)

    def peer_up(self, host: ids.HostId) -> None:
        """Adds a linked peer; asks it for settings if this host has none."""
        self._peers.add(host)
        if not self.ready:
            self._out.add(actions.SendPeer(host, messages.ConfigWanted()))

    def peer_down(self, host: ids.HostId, *, now: float) -> None:
        """Removes a peer whose link was closed."""
        self._peers.discard(host)
        self._pending_confirmations.pop(host, None)
        self._apply_snapshots_if_complete(now)

    def handle_peer_message(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Handles a peer's message about the configuration."""
        match message:
            case messages.ConfigChanged(counter=counter):
                self._pending_confirmations[host] = max(
                    counter, self._pending_confirmations.get(host, 0)
                )
                self._send_confirmations()
                if counter > self._counter:
                    self._poll(now)
            case messages.ConfigWanted() if self.ready:
                snapshot = messages.ConfigSnapshot(
                    self._counter, tuple(self._configs.values())
                )
                self._out.add(actions.SendPeer(host, snapshot))
            case messages.ConfigSnapshot():
                self._handle_snapshot(host, message, now)
            case _:
                pass

    def _handle_snapshot(
        self,
        host: ids.HostId,
        snapshot: messages.ConfigSnapshot,
        now: float,
    ) -> None:
        if self.ready:
            self._apply(snapshot.configs, snapshot.counter, now)
            return
        # A peer may have an outdated configuration after a network partition,
        # so the snapshots of all peers are collected for a short time.
        self._snapshots[host] = snapshot
        if self._snapshot_timer is None:
            self._snapshot_timer = self._timers.call_at(
                now + PEER_SNAPSHOT_TIMEOUT_S, self._apply_snapshots
            )
        self._apply_snapshots_if_complete(now)

    def _apply_snapshots_if_complete(self, now: float) -> None:
        if self._snapshots and self._peers <= self._snapshots.keys():
            self._apply_snapshots(now)

    def _apply_snapshots(self, now: float) -> None:
        """Applies the newest settings of all snapshots."""
        snapshots = self._snapshots
        self._snapshots = {}
        for snapshot in snapshots.values():
            self._merge(snapshot.configs)
        counters = [
            peer_snapshot.counter for peer_snapshot in snapshots.values()
        ]
        self._advance_counter(max(counters, default=-1), now)

    def _poll(self, now: float) -> None:
        if self._poll_in_flight:
            self._poll_requested = True
            return
        self._poll_in_flight = True
        self._poll_requested = False
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._store.read([records.CONFIG_LOG_KEY], self._on_log)

    def _on_log(self, event: store_calls.StoreEvent, now: float) -> None:
        if not isinstance(event, events.StoreRows):
            self._on_poll_failed(now)
            return
        row = event.rows[0]
        if row.version <= self._counter:
            self._on_poll_succeeded(now)
            return
        self._read_changes(row)

    def _read_changes(self, row: model.Row) -> None:
        """Reads the changed settings; all settings if the log is too short."""

        def on_rows(event: store_calls.StoreEvent, now: float) -> None:
            if not isinstance(event, events.StoreRows):
                self._on_poll_failed(now)
                return
            existing = [
                config_row for config_row in event.rows if config_row.version
            ]
            configs = [
                records.decode_config(config_row) for config_row in existing
            ]
            self._apply(configs, row.version, now)
            self._on_poll_succeeded(now)

        changes = records.decode_log(row.value)
        missing_count = row.version - self._counter
        if self._counter < 0 or missing_count > len(changes):
            self._store.scan(records.CONFIG_PREFIX, on_rows)
            return
        changed = {change.workspace for change in changes[-missing_count:]}
        keys = [records.config_key(workspace) for workspace in sorted(changed)]
        self._store.read(keys, on_rows)

    def _apply(
        self,
        configs: Iterable[model.WorkspaceConfig],
        counter: int,
        now: float,
    ) -> None:
        self._merge(configs)
        self._advance_counter(counter, now)

    def _merge(self, configs: Iterable[model.WorkspaceConfig]) -> None:
        """Applies the settings that are newer than the current ones."""
        for config in configs:
            current = self._configs.get(config.workspace)
            if current is None or config.version > current.version:
                self._configs[config.workspace] = config
                self._out.note(
                    "config_applied",
                    detail=f"workspace={config.workspace} "
                    f"version={config.version}",
                )

    def _advance_counter(self, counter: int, now: float) -> None:
        if counter <= self._counter:
            return
        self._counter = counter
        self._send_confirmations()
        for listener in list(self._listeners):
            listener(now)

    def _send_confirmations(self) -> None:
        for host, counter in list(self._pending_confirmations.items()):
            if counter <= self._counter:
                del self._pending_confirmations[host]
                applied = messages.ConfigApplied(self._counter)
                self._out.add(actions.SendPeer(host, applied))

    def _on_poll_succeeded(self, now: float) -> None:
        self._poll_in_flight = False
        self._backoff.reset()
        if self._poll_requested:
            self._poll(now)
            return
        interval_s = self._limits.config_poll_s * (
            0.9 + 0.2 * self._rng.random()
        )
        self._poll_timer = self._timers.call_at(now + interval_s, self._poll)

    def _on_poll_failed(self, now: float) -> None:
        self._poll_in_flight = False
        if not self.ready:
            for host in sorted(self._peers):
                self._out.add(actions.SendPeer(host, messages.ConfigWanted()))
        retry_at = self._backoff.record_failure(now=now)
        self._poll_timer = self._timers.call_at(retry_at, self._poll)
