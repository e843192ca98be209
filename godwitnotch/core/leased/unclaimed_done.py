"""Runs that have succeeded, whose jobs no owner has handed over yet."""

import msgspec

from godwitnotch.core.leased import model

RETENTION_S = 3.0  # Time for an owner to hand over the job.


class _DoneRun(msgspec.Struct, frozen=True):
    key: model.RunKey
    expires_at: float


class UnclaimedDone:
    """The unclaimed runs that have succeeded within RETENTION_S."""

    def __init__(self) -> None:
        self._runs: dict[model.TaskKey, _DoneRun] = {}

    def add(self, key: model.RunKey, *, now: float) -> None:
        """Remembers a run."""
        self._runs[key.task] = _DoneRun(key, now + RETENTION_S)

    def pop(self, task: model.TaskKey) -> model.RunKey | None:
        """Removes and returns the run of a task, if there is one."""
        done = self._runs.pop(task, None)
        return None if done is None else done.key

    def forget_expired(self, *, now: float) -> None:
        """Forgets runs that were remembered for RETENTION_S."""
        for task, done in tuple(self._runs.items()):
            if now >= done.expires_at:
                del self._runs[task]

    def clear(self) -> None:
        """Forgets all runs."""
        self._runs.clear()
