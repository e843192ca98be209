"""Learns from how runs end: run times, failures and lost upstreams."""

from godwitnotch.core.leased import health as health_module
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import run_spread
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased import task_records


class RunOutcomes:
    """Records how runs have ended.

    Args:
        out: Collects the decisions.
        times: Learns how long runs take.
        health: Learns at which upstreams runs fail.
        records: Learns which upstreams were lost under a task.
        spread: Learns how far runs go past their expected time; None for a
            new one.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        times: run_times.RunTimes,
        health: health_module.UpstreamHealth,
        records: task_records.TaskRecords,
        spread: run_spread.RunSpread | None = None,
    ) -> None:
        self._out = out
        self._times = times
        self._health = health
        self._records = records
        self._spread = spread or run_spread.RunSpread()

    def run_succeeded(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        job: jobs.LeasedJob,
        *,
        now: float,
    ) -> None:
        """Learns from a run that has succeeded, if its last order is confirmed.

        The time of an adopted run counts from the arrival of the list in which
        the run was found.
        """
        self._health.run_succeeded(lease.upstream.upstream)
        if not run.expected_s or run.confirmed_at is None:
            return
        ran_ms = (now - run.ordered_at) * 1_000
        self._spread.learn(
            job.request.settings.route,
            expected_ms=run.expected_s * 1_000,
            ran_ms=ran_ms,
        )
        factor = self._times.run_factor(job.request, lease.upstream)
        self._times.run_succeeded(
            job.request, lease.upstream, ran_ms=ran_ms, now=now
        )
        if not job.base_ms_measured:
            job.base_ms_measured = True
            job.base_ms = ran_ms / factor

    def run_failed(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        job: jobs.LeasedJob,
        *,
        now: float,
    ) -> bool:
        """Counts a failed run; returns whether this fails the job."""
        upstream = lease.upstream.upstream
        task = job.tasks[run.key.task.index]
        self._records.run_failed(run.key, upstream, now=now)
        task.failures = self._records.failures(task.key)
        task.excluded_instances.add(lease.instance)
        if task.failures > 1:
            self._health.clear_failures_of(job.name)
        elif self._health.run_failed(upstream, job.name, now=now):
            self._out.add_decision(
                "upstream_ejected", detail=f"upstream={upstream}"
            )
        return task.failures >= job.request.settings.max_failures

    def upstream_lost(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        end: model.RunEnd,
        *,
        now: float,
    ) -> None:
        """Records that an upstream was lost under a run.

        A draining upstream ends by itself, and its runs with it.
        """
        if lease.upstream.draining:
            return
        loss = peer_messages.UpstreamLoss(
            lease.upstream.upstream,
            lease.instance_started_ms,
            refused=lease.refused,
            crashed=end is model.RunEnd.CRASHED,
        )
        self._records.upstream_lost(run.key.task, loss, now=now)
