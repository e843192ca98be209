"""Counts the upstreams that were lost while a task ran there.

An upstream is lost to a crash, which one of its tasks may have caused, or to a
cut. The two look alike until another process answers in place of the lost one, or
the lost one itself. So a task that may have crashed two upstreams isn't started
again until that is known.
"""

import enum
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import ids
from godwitnotch.core.leased import model

# A task under which so many upstreams have crashed is given up.
MAX_CRASHES = 2
# Callers send a job again, and lost upstreams are back, within some seconds.
RETENTION_S = 30.0


class StartRule(enum.Enum):
    """Whether a task may start."""

    ALLOWED = "allowed"
    AWAIT_PROOF = "await_proof"
    GIVE_UP = "give_up"


@dataclass(slots=True)
class _Loss:
    """An upstream that was lost while the task ran there."""

    upstream: ids.UpstreamId
    crashed: bool


@dataclass(slots=True)
class _Record:
    """The losses under one task."""

    losses: list[_Loss] = field(default_factory=list)
    expires_at: float = 0.0

    @property
    def crash_count(self) -> int:
        return sum(loss.crashed for loss in self.losses)


class TaskRecords:
    """The losses under the tasks of this leader, of open and ended jobs."""

    def __init__(self) -> None:
        self._records: dict[model.TaskKey, _Record] = {}

    def upstream_lost(
        self,
        task: model.TaskKey,
        upstream: ids.UpstreamId,
        *,
        crashed: bool,
        now: float,
    ) -> None:
        """Records that an upstream was lost while a task ran there.

        Args:
            task: The task.
            upstream: The upstream.
            crashed: Whether a crash is proven.
            now: The current time.
        """
        record = self._records.setdefault(task, _Record())
        record.losses.append(_Loss(upstream, crashed))
        record.expires_at = now + RETENTION_S

    def upstream_crashed(self, upstream: ids.UpstreamId) -> list[model.TaskKey]:
        """Records that a lost upstream has crashed; returns its tasks."""
        return [
            task
            for task, record in self._records.items()
            if _prove_crash(record, upstream)
        ]

    def upstream_returned(self, upstream: ids.UpstreamId) -> None:
        """Forgets the losses of an upstream that has not crashed."""
        for record in self._records.values():
            record.losses = [
                loss
                for loss in record.losses
                if loss.crashed or loss.upstream != upstream
            ]

    def start_rule(self, task: model.TaskKey) -> StartRule:
        """Returns whether a task may start."""
        record = self._records.get(task)
        if record is None or len(record.losses) < MAX_CRASHES:
            return StartRule.ALLOWED
        if record.crash_count < MAX_CRASHES:
            return StartRule.AWAIT_PROOF
        return StartRule.GIVE_UP

    def forget_expired(self, *, now: float) -> None:
        """Forgets the records that have not changed for RETENTION_S."""
        for task, record in tuple(self._records.items()):
            if now >= record.expires_at:
                del self._records[task]


def _prove_crash(record: _Record, upstream: ids.UpstreamId) -> bool:
    """Records a crash; returns whether this was not known."""
    found = False
    for loss in record.losses:
        if loss.upstream == upstream and not loss.crashed:
            loss.crashed = True
            found = True
    return found
