"""Compares an upstream's list of runs with the leader's records."""

from collections.abc import Iterator

from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model


def newly_ended(
    lease: lease_module.Lease, run_list: model.RunList
) -> Iterator[model.EndedRun]:
    """Yields and acknowledges the ended runs that are new to the leader."""
    for ended in run_list.ended:
        if ended.number > lease.acknowledged_end:
            lease.acknowledged_end = ended.number
            yield ended


def missing_runs(
    lease: lease_module.Lease, run_list: model.RunList, *, requested_at: float
) -> list[lease_module.Run]:
    """Returns the runs that have ended, as the upstream no longer lists them.

    A list that was requested before the last order about a run was confirmed
    proves nothing about the run: the upstream may execute the order after it
    has sent the list, until the deadline of the order has passed.

    Args:
        lease: The lease on the upstream.
        run_list: The upstream's list of runs.
        requested_at: When the list was requested.
    """
    running = set(run_list.running)
    missing = []
    for run in lease.runs.values():
        confirmed = (
            run.confirmed_at is not None and requested_at >= run.confirmed_at
        )
        if run.key not in running and (
            confirmed or requested_at > run.start_expires_at
        ):
            missing.append(run)
    return missing


def unknown_runs(
    lease: lease_module.Lease, run_list: model.RunList
) -> list[model.RunKey]:
    """Returns the listed runs that the leader doesn't know."""
    return [
        key
        for key in run_list.running
        if key.task not in lease.runs or lease.runs[key.task].key != key
    ]
