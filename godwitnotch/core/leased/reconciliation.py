"""Takes over the runs that an earlier leader has left at upstreams.

The first list of an upstream in a term shows its runs. Owners claim the runs of
their jobs by handing the jobs over; once the claim period is over, the runs that
nobody has claimed are stopped, and a lease is held when none is left.
"""

from collections.abc import Iterable
from typing import Protocol

from godwitnotch.core import ids
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import run_index
from godwitnotch.core.leased import run_listener
from godwitnotch.core.leased import unclaimed_done
from godwitnotch.core.leased.lease import LeaseEvent
from godwitnotch.core.leased.lease import LeaseState
from godwitnotch.core.leased.lease import RunState


class StopRun(Protocol):
    """Orders a run to stop."""

    def __call__(
        self, lease: lease_module.Lease, run: lease_module.Run, *, now: float
    ) -> None:
        """Stops the run."""


class RecordEnd(Protocol):
    """Removes a run that has ended and informs the listener."""

    def __call__(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        end: model.RunEnd,
        *,
        now: float,
    ) -> None:
        """Records the end."""


class Reconciliation:
    """The claim period of one leader, and the runs found at upstreams.

    Args:
        out: Collects the actions to execute.
        listener: Finds the jobs of runs.
        runs: The runs at all upstreams.
        stop_run: Orders a run to stop.
        record_end: Records the end of a run.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        listener: run_listener.RunListener,
        runs: run_index.RunIndex,
        *,
        stop_run: StopRun,
        record_end: RecordEnd,
    ) -> None:
        self._out = out
        self._listener = listener
        self._runs = runs
        self._stop_run = stop_run
        self._record_end = record_end
        self._claim_period_open = False
        self._unclaimed_done = unclaimed_done.UnclaimedDone()

    def clear(self) -> None:
        """Forgets everything, as this host stops leading."""
        self._claim_period_open = False
        self._unclaimed_done.clear()

    def start_claim_period(self) -> None:
        """Keeps unclaimed runs until the owners have handed over their jobs."""
        self._claim_period_open = True

    def end_claim_period(
        self,
        leases: Iterable[lease_module.Lease],
        term: model.Term,
        *,
        now: float,
    ) -> None:
        """Stops the runs that no owner has claimed."""
        if not self._claim_period_open:
            return
        self._claim_period_open = False
        for lease in leases:
            self.reconcile(lease, term, now=now)

    def forget_expired(self, *, now: float) -> None:
        """Forgets ends that no owner has claimed in time."""
        self._unclaimed_done.forget_expired(now=now)

    def adopt_runs(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Assigns unclaimed runs to a job that an owner has handed over."""
        for task in job.tasks:
            done = self._unclaimed_done.pop(task.key)
            if done is not None:
                self._listener.adopt_done_run(done, now=now)
            for upstream, run in self._runs.of_task(task.key):
                if run.job is None:
                    self._adopt_run(upstream, run)

    def record_done(self, key: model.RunKey, *, now: float) -> None:
        """Records a successful run that belonged to no job so far."""
        if not self._listener.adopt_done_run(key, now=now):
            self._unclaimed_done.add(key, now=now)

    def first_list_received(
        self,
        lease: lease_module.Lease,
        run_list: model.RunList,
        *,
        now: float,
    ) -> None:
        """Records the runs in the first list of an upstream in this term."""
        lease.transition(LeaseEvent.RUNS_LISTED)
        lease.expires_at = now + lease_module.MAX_LEASE_DURATION_S
        for key in run_list.running:
            known = lease.runs.get(key.task)
            if known is not None and known.key == key:
                continue
            if known is not None:
                self._record_end(lease, known, model.RunEnd.MISSING, now=now)
            run = self.add_found(lease, key, now=now)
            self._adopt_run(lease.upstream.upstream, run)

    def add_found(
        self, lease: lease_module.Lease, key: model.RunKey, *, now: float
    ) -> lease_module.Run:
        """Records a run that a list shows."""
        run = lease_module.Run(
            key,
            None,
            lease_module.UNKNOWN_NEEDS,
            RunState.RUNNING,
            ordered_at=now,
            expected_s=0.0,
            confirmed_at=now,
            start_expires_at=now + lease_module.MAX_LEASE_DURATION_S,
        )
        self._runs.add(lease, run)
        return run

    def reconcile(
        self, lease: lease_module.Lease, term: model.Term, *, now: float
    ) -> None:
        """Stops unclaimed runs; the lease is held once there are none."""
        if lease.state is not LeaseState.RECONCILING:
            return
        unclaimed = [run for run in lease.runs.values() if run.job is None]
        if not unclaimed:
            lease.transition(LeaseEvent.RECONCILED)
            self._reserve_adopted_runs(lease)
            self._out.add_decision(
                "lease_held",
                detail=f"upstream={lease.upstream.upstream} "
                f"adopted={len(lease.runs)} "
                f"cpu_millis={lease.upstream.capacity.cpu_millis} "
                f"slots={lease.upstream.slots} term={term}",
            )
            return
        if self._claim_period_open:
            return
        for run in unclaimed:
            if run.state is not RunState.STOPPING:
                self._stop_run(lease, run, now=now)

    def _adopt_run(
        self, upstream: ids.UpstreamId, run: lease_module.Run
    ) -> None:
        """Assigns a run found at an upstream to its job, if claimed."""
        if run.state is RunState.STOPPING:
            return
        run.job = self._listener.adopt_run(run.key)
        if run.job is not None:
            self._out.add_decision(
                "run_adopted",
                job=run.job.name,
                detail=f"{run.key.pairs()} upstream={upstream}",
            )

    def _reserve_adopted_runs(self, lease: lease_module.Lease) -> None:
        """Reserves resources for adopted runs and sets their run times."""
        for run in tuple(lease.runs.values()):
            if run.job is not None and run.needs is lease_module.UNKNOWN_NEEDS:
                lease.set_needs(run, run.job.request.tasks.needs)
                run.expected_s = self._listener.expected_s(run.job, lease)
