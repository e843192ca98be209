"""What a list of runs at an upstream tells, against what the leader knows."""

from collections.abc import Iterator

from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model


def newly_ended(
    lease: lease_module.Lease, run_list: model.RunList
) -> Iterator[tuple[lease_module.Run, model.RunEnd]]:
    """Yields the runs that have ended, and takes note of all ends."""
    for end in run_list.ended:
        if end.number <= lease.acknowledged_end:
            continue
        lease.acknowledged_end = end.number
        run = lease.runs.get(end.key.task)
        if run is not None and run.key == end.key:
            yield run, end.end


def missing_runs(
    lease: lease_module.Lease, run_list: model.RunList, *, requested_at: float
) -> list[lease_module.Run]:
    """Returns runs that are gone, as the upstream no longer knows them.

    An order that had no answer yet when the list was asked for may still be
    carried out, until its own deadline has passed.
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
    """Returns what runs there and was given up."""
    return [
        key
        for key in run_list.running
        if key.task not in lease.runs or lease.runs[key.task].key != key
    ]


def runs_of_earlier_instance(
    lease: lease_module.Lease,
) -> list[lease_module.Run]:
    """Returns the runs that a restart of the upstream has ended.

    An order that has no answer yet may be carried out in either life.
    """
    return [run for run in lease.runs.values() if run.confirmed_at is not None]
