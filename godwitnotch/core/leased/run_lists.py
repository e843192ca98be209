"""Compares an upstream's list of runs with the leader's records."""

from collections.abc import Iterator

from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased.lease import LeaseState

# Far more than the ends that an upstream can list anew between two lists, which
# are those of the runs that its slots allow.
MAX_END_STEP = 1_000


def implausible_end(
    lease: lease_module.Lease, run_list: model.RunList
) -> int | None:
    """Returns the number of an end that the upstream can't have reached.

    To acknowledge it would make the upstream forget the ends that come until it
    reaches that number.

    Returns:
        The number; None if all are plausible, or if the earlier ends aren't
        known, as the lease isn't held or the upstream has restarted.
    """
    if lease.state not in (LeaseState.RECONCILING, LeaseState.HELD):
        return None
    if run_list.instance_started_ms not in (0, lease.instance_started_ms):
        return None
    last = lease.acknowledged_end
    for ended in run_list.ended:
        if ended.number > last + MAX_END_STEP:
            return ended.number
        last = max(last, ended.number)
    return None


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
