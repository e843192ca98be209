"""Finds the runs of a task at all upstreams."""

from collections.abc import Iterable

from godwitnotch.core import ids
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model


class RunIndex:
    """The runs under all leases, by task and upstream."""

    def __init__(self) -> None:
        self._runs: dict[
            model.TaskKey, dict[ids.UpstreamId, lease_module.Run]
        ] = {}

    def __contains__(self, task: model.TaskKey) -> bool:
        """Returns whether a task has any run."""
        return task in self._runs

    def of_task(
        self, task: model.TaskKey
    ) -> Iterable[tuple[ids.UpstreamId, lease_module.Run]]:
        """Returns the runs of a task, each with its upstream."""
        return tuple(self._runs.get(task, {}).items())

    def add(self, lease: lease_module.Lease, run: lease_module.Run) -> None:
        """Adds a run to a lease."""
        lease.add_run(run)
        runs_by_upstream = self._runs.setdefault(run.key.task, {})
        runs_by_upstream[lease.upstream.upstream] = run

    def remove(self, lease: lease_module.Lease, run: lease_module.Run) -> None:
        """Removes a run from a lease."""
        lease.remove_run(run)
        runs_by_upstream = self._runs[run.key.task]
        del runs_by_upstream[lease.upstream.upstream]
        if not runs_by_upstream:
            del self._runs[run.key.task]

    def clear(self) -> None:
        """Removes all runs."""
        self._runs.clear()
