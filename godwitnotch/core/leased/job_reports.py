"""Gets a leader's report on a job, for an operator's `explain-job`."""

from collections.abc import Callable

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import job_explainer
from godwitnotch.core.leased import leadership as leadership_module
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import owned_jobs as owned_jobs_module
from godwitnotch.core.leased import peer_messages

SendMessage = Callable[[ids.HostId, peer_messages.Message], None]


class JobReports:
    """Asks leaders for reports, and answers other hosts that ask this one.

    Args:
        out: Collects the actions to execute.
        host: This host.
        leadership: Tells whether this host leads.
        owned_jobs: Tells which leader gets the next job.
        explainer: Reports on jobs while this host leads.
        send: Sends a message to a host, which may be this one.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        host: ids.HostId,
        leadership: leadership_module.Leadership,
        owned_jobs: owned_jobs_module.OwnedJobs,
        explainer: job_explainer.JobExplainer,
        *,
        send: SendMessage,
    ) -> None:
        self._out = out
        self._host = host
        self._leadership = leadership
        self._owned_jobs = owned_jobs
        self._explainer = explainer
        self._send = send

    def asked(self, event: events.ReportAsked) -> None:
        """Asks the leader that would get the job."""
        leader = self._owned_jobs.next_leader()
        if not leader:
            self._out.add(actions.ReportJob(event.call, None))
            return
        wanted = peer_messages.JobReportWanted(
            event.call, event.request, event.wait_s
        )
        self._send(leader, wanted)

    def wanted(
        self,
        host: ids.HostId,
        message: peer_messages.JobReportWanted,
        *,
        now: float,
    ) -> None:
        """Answers a host, or this one; changes nothing."""
        report = None
        if self._leadership.leads:
            report = self._explainer.explain(
                self._host, message.request, wait_s=message.wait_s, now=now
            )
        self._send(host, peer_messages.JobReported(message.call, report))

    def reported(self, message: peer_messages.JobReported) -> None:
        """Passes a leader's answer on."""
        self._out.add(actions.ReportJob(message.call, message.report))
