"""What a list of runs at an upstream tells, against what the leader knows."""

from collections.abc import Iterator

from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model


def ended(
    lease: lease_module.Lease, listed: model.RunList
) -> Iterator[tuple[lease_module.Run, model.RunEnd]]:
    """Yields the runs that have ended, and takes note of all ends."""
    for end in listed.ended:
        if end.number <= lease.observed:
            continue
        lease.observed = end.number
        run = lease.runs.get(end.key.task)
        if run is not None and run.key == end.key:
            yield run, end.end


def missing(
    lease: lease_module.Lease, listed: model.RunList, *, asked_at: float
) -> list[lease_module.Run]:
    """Returns runs that are gone, as the upstream no longer knows them.

    An order that had no answer yet when the list was asked for may still be
    carried out, until its own deadline has passed.
    """
    running = set(listed.running)
    gone = []
    for run in lease.runs.values():
        settled = run.settled_at is not None and asked_at >= run.settled_at
        if run.key not in running and (settled or asked_at > run.gone_by):
            gone.append(run)
    return gone


def unknown(
    lease: lease_module.Lease, listed: model.RunList
) -> list[model.RunKey]:
    """Returns what runs there and was given up."""
    return [
        key
        for key in listed.running
        if key.task not in lease.runs or lease.runs[key.task].key != key
    ]


def of_earlier_life(lease: lease_module.Lease) -> list[lease_module.Run]:
    """Returns the runs that a restart of the upstream has ended.

    An order that has no answer yet may be carried out in either life.
    """
    return [run for run in lease.runs.values() if run.settled_at is not None]
