"""Counts failed runs of a task, and the upstreams that were lost under it.

An upstream is lost to a crash, which one of its tasks may have caused, or to a
cut. The two look alike until another process answers in place of the lost one, or
the lost one itself. So a task that may have crashed an upstream runs alone next time,
and one that may have crashed two isn't started again until that is known.
"""

import dataclasses
import enum
from collections.abc import Iterable
from dataclasses import dataclass

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages

# A task under which so many upstreams have crashed is given up.
MAX_CRASHES = 2
# Callers send a job again, and lost upstreams are back, within some seconds.
RETENTION_S = 30.0

_Losses = tuple[peer_messages.UpstreamLoss, ...]


class StartRule(enum.Enum):
    """Whether a task may start."""

    ALLOWED = "allowed"
    ALONE = "alone"  # At an upstream that runs nothing else meanwhile.
    AWAIT_PROOF = "await_proof"
    GIVE_UP = "give_up"


@dataclass(frozen=True, slots=True)
class _Record:
    """What earlier runs of one task have shown."""

    failures: int
    losses: _Losses
    expires_at: float


class TaskRecords:
    """What is known of the tasks of a cell, of open and ended jobs.

    The leader tells the hosts that may lead next, so that they don't start a
    task from zero.
    """

    def __init__(self) -> None:
        self._records: dict[model.TaskKey, _Record] = {}
        self._changed: set[model.TaskKey] = set()

    def failures(self, task: model.TaskKey) -> int:
        """Returns how many runs of a task have failed."""
        record = self._records.get(task)
        return 0 if record is None else record.failures

    def run_failed(
        self, task: model.TaskKey, *, failures: int, now: float
    ) -> None:
        """Records how many runs of a task have failed."""
        self._set(task, failures, self._losses(task), now=now)

    def upstream_lost(
        self,
        task: model.TaskKey,
        loss: peer_messages.UpstreamLoss,
        *,
        now: float,
    ) -> None:
        """Records that an upstream was lost while a task ran there."""
        losses = (*self._losses(task), loss)
        self._set(task, self.failures(task), losses, now=now)

    def upstream_crashed(
        self, upstream: ids.UpstreamId, *, now: float
    ) -> list[model.TaskKey]:
        """Records that a lost upstream has crashed; returns its tasks."""
        return self.upstream_seen(upstream, None, now=now)

    def upstream_seen(
        self,
        upstream: ids.UpstreamId,
        instance_started_ms: int | None,
        *,
        now: float,
    ) -> list[model.TaskKey]:
        """Records which instance of a lost upstream responds.

        The instance that was lost has not crashed if it responds again.

        Args:
            upstream: The upstream.
            instance_started_ms: When the instance started; None if another
                upstream responds at the address.
            now: The current time.

        Returns:
            The tasks under which the upstream was lost.
        """
        tasks = self._unproven_tasks(upstream)
        for task in tasks:
            losses = tuple(
                dataclasses.replace(loss, crashed=True)
                if loss.upstream == upstream
                else loss
                for loss in self._losses(task)
                if loss.crashed
                or loss.upstream != upstream
                or loss.instance_started_ms != instance_started_ms
            )
            self._set(task, self.failures(task), losses, now=now)
        return tasks

    def start_rule(self, task: model.TaskKey) -> StartRule:
        """Returns whether a task may start."""
        losses = self._losses(task)
        if len(losses) < MAX_CRASHES:
            suspect = any(loss.refused or loss.crashed for loss in losses)
            return StartRule.ALONE if suspect else StartRule.ALLOWED
        if sum(loss.crashed for loss in losses) < MAX_CRASHES:
            return StartRule.AWAIT_PROOF
        return StartRule.GIVE_UP

    def all_entries(self) -> peer_messages.TasksLearnt:
        """Returns all records, for a host that has none."""
        return self._entries(self._records)

    def take_changed(self) -> peer_messages.TasksLearnt | None:
        """Returns the records that have changed since the last call, if any."""
        changed, self._changed = self._changed, set()
        return self._entries(changed) if changed else None

    def apply(self, learnt: peer_messages.TasksLearnt, *, now: float) -> None:
        """Applies the records that a leader has sent."""
        for entry in learnt.tasks:
            expires_at = now + RETENTION_S
            self._records[entry.task] = _Record(
                entry.failures, entry.losses, expires_at
            )

    def forget_expired(self, *, now: float) -> None:
        """Forgets the records that have not changed for RETENTION_S."""
        for task, record in tuple(self._records.items()):
            if now >= record.expires_at:
                del self._records[task]
                self._changed.discard(task)

    def _losses(self, task: model.TaskKey) -> _Losses:
        record = self._records.get(task)
        return () if record is None else record.losses

    def _set(
        self,
        task: model.TaskKey,
        failures: int,
        losses: _Losses,
        *,
        now: float,
    ) -> None:
        self._records[task] = _Record(failures, losses, now + RETENTION_S)
        self._changed.add(task)

    def _unproven_tasks(self, upstream: ids.UpstreamId) -> list[model.TaskKey]:
        """Returns the tasks under which an upstream was lost, cause unknown."""
        return [
            task
            for task, record in self._records.items()
            if any(
                loss.upstream == upstream and not loss.crashed
                for loss in record.losses
            )
        ]

    def _entries(
        self, tasks: Iterable[model.TaskKey]
    ) -> peer_messages.TasksLearnt:
        return peer_messages.TasksLearnt(
            tuple(
                peer_messages.TaskHistory(
                    task, self.failures(task), self._losses(task)
                )
                for task in tasks
            )
        )
