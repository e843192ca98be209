"""Tells the hosts that may lead next what a leader knows of upstreams."""

from collections.abc import Iterable
from typing import Protocol

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import cell_load
from godwitnotch.core.leased import evidence as evidence_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import overflow
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import task_records


class LoadMeasurement(Protocol):
    """Measures the load of a cell."""

    def __call__(self, *, now: float) -> cell_load.CellLoad:
        """Returns the load."""


class LeaderUpdates:
    """Sends the list of upstreams and what is known of them, as it changes.

    Args:
        out: Collects the messages to send.
        evidence: What this host has learnt of upstreams.
        records: The upstreams that were lost under tasks.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        evidence: evidence_module.EvidenceSharing,
        records: task_records.TaskRecords,
    ) -> None:
        self._out = out
        self._evidence = evidence
        self._records = records
        self._hosts_with_list: set[ids.HostId] = set()
        self._hosts_with_evidence: set[ids.HostId] = set()
        self._hosts_with_records: set[ids.HostId] = set()
        self._next_evidence_at = 0.0
        self._next_load_at = 0.0

    def clear(self) -> None:
        """Forgets what was sent, as the leader has changed."""
        self._hosts_with_list.clear()
        self._hosts_with_evidence.clear()
        self._hosts_with_records.clear()

    def list_changed(self) -> None:
        """Forgets who has the list, as it has changed."""
        self._hosts_with_list.clear()

    def host_lost(self, host: ids.HostId) -> None:
        """Forgets what was sent to a host."""
        self._hosts_with_list.discard(host)
        self._hosts_with_evidence.discard(host)
        self._hosts_with_records.discard(host)

    def send_list(
        self,
        upstreams: tuple[model.LeasedUpstream, ...],
        receivers: Iterable[ids.HostId],
    ) -> None:
        """Sends the list of upstreams to receivers that don't have it."""
        copy = peer_messages.ListedUpstreams(upstreams)
        for host in receivers:
            if host not in self._hosts_with_list:
                self._hosts_with_list.add(host)
                self._out.add(actions.TellPeer(host, copy))

    def send_load(
        self,
        measure: LoadMeasurement,
        receivers: Iterable[ids.HostId],
        *,
        now: float,
    ) -> None:
        """Tells the other leaders the load of this leader's cell."""
        if now < self._next_load_at:
            return
        self._next_load_at = now + overflow.SEND_INTERVAL_S
        load = measure(now=now)
        for host in receivers:
            self._out.add(actions.TellPeer(host, load))

    def send_task_records(self, receivers: list[ids.HostId]) -> None:
        """Sends all losses to new receivers, and changes to the others."""
        changed = self._records.take_changed()
        for host in receivers:
            if host not in self._hosts_with_records:
                self._out.add(
                    actions.TellPeer(host, self._records.all_entries())
                )
            elif changed is not None:
                self._out.add(actions.TellPeer(host, changed))
        self._hosts_with_records = set(receivers)

    def send_evidence(self, receivers: list[ids.HostId], *, now: float) -> None:
        """Sends all evidence to new receivers, and changes to the others."""
        if now < self._next_evidence_at:
            return
        self._next_evidence_at = now + evidence_module.SEND_INTERVAL_S
        new = [
            receiver
            for receiver in receivers
            if receiver not in self._hosts_with_evidence
        ]
        if new:
            known = self._evidence.all_entries(now=now)
            for host in new:
                self._out.add(actions.TellPeer(host, known))
        changed = self._evidence.changed_entries(now=now)
        if changed is not None:
            for host in receivers:
                if host not in new:
                    self._out.add(actions.TellPeer(host, changed))
        self._hosts_with_evidence = set(receivers)
