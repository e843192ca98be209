"""Counts failed runs of a task, and the upstreams that were lost under it.

An upstream is lost to a crash, which one of its tasks may have caused, or to a
cut. The two look alike until another process answers in place of the lost one, or
the lost one itself. So a task that may have crashed an upstream runs alone next time,
and one that may have crashed two isn't started again until that is known.
"""

import enum
from collections.abc import Iterable

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages

# A task under which so many upstreams have crashed is given up.
MAX_CRASHES = 2
# Callers send a job again, and lost upstreams are back, within some seconds.
RETENTION_S = 30.0

_FailedRuns = tuple[peer_messages.FailedRun, ...]
_Losses = tuple[peer_messages.UpstreamLoss, ...]


class StartRule(enum.Enum):
    """Whether a task may start."""

    ALLOWED = "allowed"
    ALONE = "alone"  # At an upstream that runs nothing else meanwhile.
    AWAIT_PROOF = "await_proof"
    GIVE_UP = "give_up"


class _Record(msgspec.Struct, frozen=True):
    """What earlier runs of one task have shown."""

    failed_runs: _FailedRuns
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
        # Upstreams whose losses may be unproven; most lists are from others.
        self._lost_upstreams: set[ids.UpstreamId] = set()

    def failures(self, task: model.TaskKey) -> int:
        """Returns how many runs of a task have failed."""
        return len(self._failed_runs(task))

    def run_failed(
        self, key: model.RunKey, upstream: ids.UpstreamId, *, now: float
    ) -> None:
        """Records a failed run, once."""
        failed_runs = self._failed_runs(key.task)
        failed = peer_messages.FailedRun(upstream, key.run)
        if failed not in failed_runs:
            losses = self._losses(key.task)
            self._set(key.task, (*failed_runs, failed), losses, now=now)

    def forget_failures(self, task: model.TaskKey, *, now: float) -> None:
        """Forgets the failed runs of a task whose caller starts it anew."""
        if task in self._records:
            self._set(task, (), self._losses(task), now=now)

    def upstream_lost(
        self,
        task: model.TaskKey,
        loss: peer_messages.UpstreamLoss,
        *,
        now: float,
    ) -> None:
        """Records that an upstream was lost while a task ran there.

        A process of an upstream can crash once, so a second report of its loss
        only adds what it shows.
        """
        losses = _add_loss(self._losses(task), loss)
        self._lost_upstreams.add(loss.upstream)
        self._set(task, self._failed_runs(task), losses, now=now)

    def add_losses(
        self, tasks: Iterable[peer_messages.TaskHistory], *, now: float
    ) -> None:
        """Records losses that a former leader reports."""
        for history in tasks:
            for loss in history.losses:
                self.upstream_lost(history.task, loss, now=now)

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
        if upstream not in self._lost_upstreams:
            return []
        self._lost_upstreams.discard(upstream)
        tasks = self._unproven_tasks(upstream)
        for task in tasks:
            losses = tuple(
                msgspec.structs.replace(loss, crashed=True)
                if loss.upstream == upstream
                else loss
                for loss in self._losses(task)
                if loss.crashed
                or loss.upstream != upstream
                or loss.instance_started_ms != instance_started_ms
            )
            self._set(task, self._failed_runs(task), losses, now=now)
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
        self.forget_expired(now=now)
        for entry in learnt.tasks:
            expires_at = now + RETENTION_S
            self._records[entry.task] = _Record(
                entry.failed_runs, entry.losses, expires_at
            )
            self._lost_upstreams.update(loss.upstream for loss in entry.losses)

    def forget_expired(self, *, now: float) -> None:
        """Forgets the records that have not changed for RETENTION_S."""
        for task, record in tuple(self._records.items()):
            if now >= record.expires_at:
                del self._records[task]
                self._changed.discard(task)
        if not self._records:
            self._lost_upstreams.clear()

    def _failed_runs(self, task: model.TaskKey) -> _FailedRuns:
        record = self._records.get(task)
        return () if record is None else record.failed_runs

    def _losses(self, task: model.TaskKey) -> _Losses:
        record = self._records.get(task)
        return () if record is None else record.losses

    def _set(
        self,
        task: model.TaskKey,
        failed_runs: _FailedRuns,
        losses: _Losses,
        *,
        now: float,
    ) -> None:
        self._records[task] = _Record(failed_runs, losses, now + RETENTION_S)
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
                    task, self._failed_runs(task), self._losses(task)
                )
                for task in tasks
            )
        )


def _add_loss(losses: _Losses, new: peer_messages.UpstreamLoss) -> _Losses:
    """Adds a loss, or merges it with that of the same process."""
    for index, known in enumerate(losses):
        same = (known.upstream, known.instance_started_ms) == (
            new.upstream,
            new.instance_started_ms,
        )
        if same and new.instance_started_ms:
            merged = msgspec.structs.replace(
                known,
                refused=known.refused or new.refused,
                crashed=known.crashed or new.crashed,
            )
            return (*losses[:index], merged, *losses[index + 1 :])
    return (*losses, new)
