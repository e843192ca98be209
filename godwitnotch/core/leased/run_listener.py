"""What the lease manager tells about runs, and asks about their jobs."""

from typing import Protocol

from godwitnotch.core import ids
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model


class RunListener(Protocol):
    """Finds the jobs of runs and handles changes of runs."""

    def adopt_run(self, key: model.RunKey) -> jobs.LeasedJob | None:
        """Assigns a run found at an upstream to its job.

        Returns:
            The job; None if no owner has claimed the run.
        """

    def expected_s(
        self, job: jobs.LeasedJob, lease: lease_module.Lease
    ) -> float:
        """Returns the expected run time of a job's task on an upstream."""

    def adopt_done_run(self, key: model.RunKey, *, now: float) -> bool:
        """Handles a run that has succeeded under an earlier leader or lease.

        Returns:
            Whether an owner has claimed the job of the run.
        """

    def unclaimed_run_failed(
        self, key: model.RunKey, upstream: ids.UpstreamId, *, now: float
    ) -> None:
        """Handles a run that has failed and belonged to no job so far."""

    def run_ended(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        end: model.RunEnd,
        *,
        now: float,
    ) -> None:
        """Handles the end of a run."""

    def order_rejected(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        rejection: model.OrderRejection,
        *,
        now: float,
    ) -> None:
        """Handles a rejected start order; the run has not started."""

    def upstream_seen(
        self,
        upstream: ids.UpstreamId,
        *,
        instance_started_ms: int | None,
        now: float,
    ) -> None:
        """Handles a list of runs, or another upstream at the address.

        Args:
            upstream: The upstream.
            instance_started_ms: When the instance started that sent the list;
                None if another upstream responds at the address.
            now: The current time.
        """

    def upstream_restarted(self, upstream: ids.UpstreamId) -> None:
        """Handles the first response of a new instance of an upstream."""

    def higher_term_seen(
        self, lease: lease_module.Lease, *, was_held: bool, now: float
    ) -> None:
        """Handles a rejection by an upstream that has seen a higher term.

        Args:
            lease: The lease on the upstream.
            was_held: Whether this host held the lease until now and the
                upstream has responded lately. Also true if this host held no
                lease at all.
            now: The current time.
        """
