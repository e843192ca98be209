"""Runs whose upstream may crash while their leader is paused or replaced.

A host that stops leading forgets its runs, and the next leader has never known
those that a crash ended before its first list. So the former leader counts each
of them as an unproven loss and tells the next leader. A later response of the
same process of the upstream withdraws the loss, one of another process proves
the crash.
"""

from collections.abc import Iterable

from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import task_records


class UnfinishedRunsLog:
    """The runs without a known end that this host left as it stopped leading.

    Args:
        records: Records the losses on this host, which may lead again.
    """

    def __init__(self, records: task_records.TaskRecords) -> None:
        self._records = records
        self._left: tuple[peer_messages.TaskHistory, ...] = ()
        self._expires_at = 0.0

    def leave(
        self, leases: Iterable[lease_module.Lease], *, now: float
    ) -> None:
        """Records the runs under leases that this host gives up."""
        left = tuple(
            peer_messages.TaskHistory(run.key.task, (), (_loss(lease),))
            for lease in leases
            if lease.instance_started_ms and not lease.upstream.draining
            for run in lease.runs.values()
        )
        if not left:
            return
        self._left = left
        self._expires_at = now + task_records.RETENTION_S
        self._records.add_losses(left, now=now)

    def message(self, *, now: float) -> peer_messages.UnfinishedRuns | None:
        """Returns what the next leader has to know; None if nothing."""
        if not self._left or now >= self._expires_at:
            return None
        return peer_messages.UnfinishedRuns(self._left)


def _loss(lease: lease_module.Lease) -> peer_messages.UpstreamLoss:
    return peer_messages.UpstreamLoss(
        lease.upstream.upstream,
        lease.instance_started_ms,
        refused=False,
        crashed=False,
    )
