"""The scheduling policy `credits`: borrowed slots and late binding.

A task stays queued on its host until the host has a free slot, and goes to the
free slot with the earliest expected finish. The slots of all linked domains
form one pool, which `credit_ledger` shares among the hosts.
"""

import math
from collections.abc import Sequence

import msgspec

from godwitnotch.core import admission
from godwitnotch.core import fair_queue
from godwitnotch.core import ids
from godwitnotch.core import late_binding
from godwitnotch.core import ledger_messages
from godwitnotch.core import ledger_wire
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import quotas
from godwitnotch.core import random_source
from godwitnotch.core import retry_budget
from godwitnotch.core import scheduler
from godwitnotch.core import sizes
from godwitnotch.core import speeds
from godwitnotch.core import upstream_pool

# Tasks that wait for a faster slot are checked again after this time.
RECHECK_INTERVAL_S = 0.01
# After these outcomes the upstream may still run the task, so its slot stays in
# use.
MAY_STILL_RUN_OUTCOMES = frozenset(
    (
        model.AttemptOutcome.ABORTED,
        model.AttemptOutcome.TIMED_OUT,
        model.AttemptOutcome.BROKE_OFF,
    )
)
# The slot of a task that may still run is freed this many expected run times
# after the task's start, but at most MAX_SLOT_RETENTION_S after the attempt
# ended.
SLOT_RETENTION_RUN_TIMES = 2.0
MAX_SLOT_RETENTION_S = 5.0
# Weight of a new count in the mean number of running tasks.
MEAN_RUNNING_COUNT_WEIGHT = 0.005
# Maximum number of slots in a request for one upstream. A request to a lender
# for any upstreams is for REQUEST_SHARE of the needed slots, but for at least
# REQUEST_SLOT_COUNT slots unless fewer are needed.
REQUEST_SLOT_COUNT = 4
REQUEST_SHARE = 0.25
# Maximum number of lenders to which requests are sent at once.
MAX_LENDER_REQUESTS = 12
# Minimum time between two rounds of requests.
REQUEST_INTERVAL_S = 0.01


class _AdmittedJob(msgspec.Struct, frozen=True):
    """An admitted job and the expected sizes of its tasks."""

    request: scheduler.JobRequest
    sizes: fair_queue.TaskSizes


class _RunningTask(msgspec.Struct):
    """Data of a running task that is needed when the attempt ends.

    Attributes:
        workspace: Workspace of the task.
        template: Template of the task.
        declared_ms: Declared run time in milliseconds, if any.
        relative_size: Expected run time relative to that of a typical task of
            the template.
    """

    workspace: ids.WorkspaceId
    template: ids.TemplateName
    declared_ms: float | None
    relative_size: float


@scheduler.policy("credits")
class CreditScheduler:
    """Borrows slots, queues tasks fairly and learns from attempts.

    Args:
        host: Id of this host.
        domain: Failure domain of this host.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        rng: random_source.RandomSource,
    ) -> None:
        self._rng = rng
        self._pool = upstream_pool.UpstreamPool(host, domain)
        self._quotas = quotas.QuotaShares(host, domain)
        self._speeds = speeds.SpeedModel()
        self._sizes = sizes.SizeModel()
        self._binding = late_binding.LateBinding(self._pool, self._speeds)
        self._retry_budget = retry_budget.RetryBudget()
        self._admission = admission.Admission(rng)
        self._charges = fair_queue.WorkspaceCharges()
        self._groups: dict[
            frozenset[ids.UpstreamId], late_binding.UpstreamGroup
        ] = {}
        self._jobs: dict[ids.SubmissionId, _AdmittedJob] = {}
        self._running: dict[upstream_pool.TaskKey, _RunningTask] = {}
        self._mean_running_count = 0.0
        self._recheck_at = 0.0
        self._request_at = 0.0

    def update_upstreams(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> None:
        """Replaces the list of upstreams, which includes leaving ones."""
        gone = self._pool.update_upstreams(upstreams, now=now)
        if gone is None:
            return
        for upstream_id in gone:
            self._speeds.forget(upstream_id)
        self._binding.reset_fastest()
        self._recheck_at = -math.inf
        self._groups = {
            allowed: group
            for allowed, group in self._groups.items()
            if len(group.queue)
        }
        for group in self._groups.values():
            self._refresh_group(group)

    def update_hosts(
        self, hosts: Sequence[model.HostEntry], *, now: float
    ) -> None:
        """Replaces the list of linked hosts, which excludes this host."""
        domains = {each.host: each.domain for each in hosts}
        self._binding.host_count = len(domains) + 1
        self._pool.ledger.update_hosts(domains, now=now)
        self._quotas.update_hosts(domains, now=now)
        self._pool.refresh_free(now=now)

    def admit(
        self, job: scheduler.JobRequest, *, now: float
    ) -> scheduler.Refusal | None:
        """Returns why a job is refused, or None; doesn't queue the job."""
        config = job.workspace
        self._quotas.set_limit(
            config.workspace, config.max_running_tasks, now=now
        )
        return self._admission.check(job, self._queue_state(job, now), now=now)

    def enqueue(self, job: scheduler.JobRequest, *, now: float) -> None:
        """Queues all tasks of an admitted job."""
        config = job.workspace
        self._quotas.set_limit(
            config.workspace, config.max_running_tasks, now=now
        )
        relative_sizes = self._sizes.relative_sizes(
            job.template.name, job.declared_ms
        )
        mean_s = self._speeds.mean_s(job.template.name)
        costs_s = tuple(mean_s * each for each in relative_sizes)
        admitted = _AdmittedJob(
            job, fair_queue.TaskSizes(relative_sizes, costs_s)
        )
        self._jobs[job.submission] = admitted
        self._retry_budget.earn(len(costs_s))
        self._recheck_at = now
        group = self._group(job.template)
        max_wait_s = group.max_wait_s if len(group.queue) else 0.0
        group.max_wait_s = max(max_wait_s, job.deadline - now)
        group.queue.push(job, _longest_last(job), admitted.sizes, now=now)

    def requeue(
        self, submission: ids.SubmissionId, task_index: int, *, now: float
    ) -> bool:
        """Requeues a task that did not start.

        Returns:
            False if the job is unknown or no retry is left in the budget.
        """
        job = self._jobs.get(submission)
        if job is None or not self._retry_budget.spend():
            return False
        self._recheck_at = now
        queue = self._group(job.request.template).queue
        queue.push(job.request, [task_index], job.sizes, now=now)
        return True

    def withdraw(self, submission: ids.SubmissionId, *, now: float) -> None:
        """Removes the queued tasks of a job that has ended."""
        job = self._jobs.pop(submission, None)
        if job is not None:
            self._group(job.request.template).queue.withdraw(submission)

    def assign(self, *, now: float) -> list[scheduler.Assignment]:
        """Removes from the queues the tasks that start now; returns them."""
        self._advance(now)
        self._binding.running_count = len(self._running)
        # Between full checks only the upstreams freed since the last call are
        # considered.
        recheck_all = now >= self._recheck_at
        free_upstreams = (
            self._pool.free if recheck_all else self._pool.newly_free
        )
        if recheck_all:
            self._recheck_at = math.inf
        started: list[scheduler.Assignment] = []
        queued = 0
        for group in self._groups.values():
            if len(group.queue):
                self._assign_group(group, free_upstreams, started, now)
                queued += len(group.queue)
        self._pool.newly_free.clear()
        self._pool.ledger.has_local_demand = queued > 0
        if queued and now >= self._request_at:
            self._request_at = now + REQUEST_INTERVAL_S
            self._request_slots(now)
        return started

    def attempt_ended(
        self,
        assignment: scheduler.Assignment,
        outcome: model.AttemptOutcome,
        *,
        started_at: float,
        now: float,
    ) -> None:
        """Frees the slot of an attempt and learns from its outcome."""
        task = (assignment.submission, assignment.task_index)
        running_task = self._running.pop(task, None)
        if running_task is None:
            return
        self._mean_running_count += MEAN_RUNNING_COUNT_WEIGHT * (
            len(self._running) - self._mean_running_count
        )
        self._release_quota(running_task.workspace, now)
        upstream = self._pool.get(assignment.upstream.upstream)
        if upstream is None:
            return
        self._pool.end_attempt(upstream, task)
        self._learn_from_attempt(
            upstream, running_task, task[0], outcome, started_at, now
        )
        if outcome in MAY_STILL_RUN_OUTCOMES:
            until = self._slot_kept_until(
                upstream, running_task, started_at, now
            )
            self._pool.release_later(upstream, until)
        else:
            self._pool.release(upstream, now=now)

    def handle_peer_message(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Handles a message from the same policy on another host."""
        match message:
            case messages.SlotsWanted(key, held, wanted, serial):
                report = ledger_messages.BorrowerReport(
                    key, held, wanted, serial
                )
                self._pool.ledger.handle_report(host, report, now=now)
            case messages.SlotsLent(key, allowed, serial, slowness):
                self._speeds.learn_from_peer(key, slowness / 100)
                update = ledger_messages.LoanUpdate(
                    key, allowed, serial, slowness
                )
                self._pool.ledger.handle_update(host, update, now=now)
            case messages.SlotsAsked(count, max_slowness):
                self._lend_on_request(
                    host, ledger_messages.LoanRequest(count, max_slowness), now
                )
            case messages.SlotsBatch(wants, loans):
                for want in wants:
                    self.handle_peer_message(host, want, now=now)
                for loan in loans:
                    self.handle_peer_message(host, loan, now=now)
            case messages.QuotaWanted(workspace, held, wanted, serial, limit):
                if limit:
                    self._quotas.set_limit(workspace, limit, now=now)
                report = ledger_messages.BorrowerReport(
                    workspace, held, wanted, serial
                )
                self._quotas.ledger.handle_report(host, report, now=now)
            case messages.QuotaLent(workspace, allowed, serial):
                update = ledger_messages.LoanUpdate(workspace, allowed, serial)
                self._quotas.ledger.handle_update(host, update, now=now)

    def peer_messages(self, *, now: float) -> list[scheduler.PeerMessage]:
        """Returns the messages to send now; each is returned once."""
        slot_outgoing = self._pool.ledger.outgoing(now=now)
        quota_outgoing = self._quotas.ledger.outgoing(now=now)
        if not slot_outgoing and not quota_outgoing:
            return []
        slot_messages = ledger_wire.slot_messages(slot_outgoing)
        quota_messages = [
            ledger_wire.quota_message(
                each, self._quotas.limit(ids.WorkspaceId(each.message.key))
            )
            for each in quota_outgoing
            if not isinstance(each.message, ledger_messages.LoanRequest)
        ]
        return slot_messages + quota_messages

    def next_deadline(self) -> float | None:
        """Returns when the policy must be called next, or None."""
        earliest = self._recheck_at
        for each in (
            self._pool.next_deadline(),
            self._quotas.ledger.next_deadline(),
        ):
            if each is not None and each < earliest:
                earliest = each
        return None if earliest == math.inf else earliest

    def _group(self, template: model.Template) -> late_binding.UpstreamGroup:
        """Returns the group of a template, which is created if needed."""
        group = self._groups.get(template.upstreams)
        if group is None:
            queue = fair_queue.FairQueue(self._charges)
            group = late_binding.UpstreamGroup(template.upstreams, queue)
            self._groups[template.upstreams] = group
            self._refresh_group(group)
        return group

    def _refresh_group(self, group: late_binding.UpstreamGroup) -> None:
        """Looks up the upstreams of a group and counts their slots."""
        group.upstreams = self._pool.select(group.allowed)
        group.slots = sum(
            each.entry.slots
            for each in group.upstreams
            if not each.gone and not each.entry.leaving
        )

    def _queue_state(
        self, job: scheduler.JobRequest, now: float
    ) -> admission.QueueState:
        """Describes the queue and the slots for admission of a job."""
        group = self._group(job.template)
        queue = group.queue
        workspace = job.workspace.workspace
        task_count = len(job.declared_ms)
        own_before = queue.queued_before(workspace, task_count)
        queued = queue.queued_count(workspace)
        other_tasks = len(queue) - queued
        other_workspaces = queue.workspace_count - (queued > 0)
        # With an empty queue this host can expect to borrow the slots of the
        # other hosts too.
        host_count = self._binding.host_count if len(queue) else 1
        slots = max(group.slots / host_count, 1.0)
        if not group.allowed:
            slots = max(slots, self._mean_running_count)
        return admission.QueueState(
            has_upstream=any(
                not each.is_leaving(now) for each in group.upstreams
            ),
            slots=min(slots, self._quotas.allowance(workspace)),
            mean_s=self._speeds.mean_s(job.template.name),
            mean_known=self._speeds.has_run_times(job.template.name),
            tasks_before=own_before
            + min(other_tasks, other_workspaces * (own_before + task_count)),
            max_tasks_before=queued
            + min(other_tasks, other_workspaces * (queued + task_count)),
            max_wait_s=group.max_wait_s,
            workspace_queued=queued,
        )

    def _advance(self, now: float) -> None:
        """Handles timeouts; unblocks workspaces whose quota may have room."""
        self._pool.advance(now=now)
        self._quotas.ledger.advance(now=now)
        if self._quotas.ledger.changed:
            for workspace in self._quotas.take_changed():
                self._unblock(workspace)

    def _assign_group(
        self,
        group: late_binding.UpstreamGroup,
        free_upstreams: dict[ids.UpstreamId, upstream_pool.Upstream],
        started: list[scheduler.Assignment],
        now: float,
    ) -> None:
        """Starts queued tasks of a group until none should take a free slot."""
        ranked: dict[ids.TemplateName, list[late_binding.RankedUpstream]] = {}
        binding = self._binding
        while free_upstreams:
            job = group.queue.head(self._quotas.may_run, now=now)
            if job is None:
                break
            template = job.request.template.name
            if template not in ranked:
                ranked[template] = binding.rank(group, template, free_upstreams)
            slot = binding.fastest_free(ranked[template], template, now=now)
            if slot is None:
                break
            if not binding.head_job_should_take_slot(group, job, slot, now=now):
                job = group.queue.largest_job()
                if not binding.largest_job_should_take_slot(
                    group, job, slot, now=now
                ):
                    self._recheck_at = min(
                        self._recheck_at, now + RECHECK_INTERVAL_S
                    )
                    break
            started.append(self._start(group, job, slot.upstream, now))
            if not self._pool.is_free(slot.upstream, now):
                free_upstreams.pop(slot.upstream.entry.upstream, None)
        for workspace in group.queue.blocked:
            queued = group.queue.queued_count(workspace)
            self._quotas.request(workspace, queued, now=now)

    def _start(
        self,
        group: late_binding.UpstreamGroup,
        job: fair_queue.QueuedJob,
        upstream: upstream_pool.Upstream,
        now: float,
    ) -> scheduler.Assignment:
        """Takes a slot and the next task of a job."""
        request = job.request
        workspace = request.workspace.workspace
        index = group.queue.take(job)
        task = (request.submission, index)
        self._pool.start_attempt(upstream, task, now=now)
        self._quotas.task_started(workspace)
        self._running[task] = _RunningTask(
            workspace,
            request.template.name,
            request.declared_ms[index],
            job.relative_sizes[index],
        )
        self._binding.running_count = len(self._running)
        return scheduler.Assignment(request.submission, index, upstream.entry)

    def _release_quota(self, workspace: ids.WorkspaceId, now: float) -> None:
        """Releases the quota of an ended task."""
        self._quotas.task_ended(workspace, now=now)
        self._unblock(workspace)

    def _unblock(self, workspace: ids.WorkspaceId) -> None:
        """Stops skipping a workspace whose quota may have room."""
        for group in self._groups.values():
            if workspace in group.queue.blocked:
                group.queue.unblock(workspace)
                self._recheck_at = -math.inf

    def _learn_from_attempt(
        self,
        upstream: upstream_pool.Upstream,
        running_task: _RunningTask,
        submission: ids.SubmissionId,
        outcome: model.AttemptOutcome,
        started_at: float,
        now: float,
    ) -> None:
        """Updates health, run times and pauses after an attempt."""
        upstream_id = upstream.entry.upstream
        self._pool.health.attempt_ended(
            upstream_id, running_task.template, submission, outcome, now=now
        )
        match outcome:
            case model.AttemptOutcome.ANSWERED:
                run_time_s = now - started_at
                typical_run_s = run_time_s / running_task.relative_size
                error = self._speeds.learn(
                    running_task.template, upstream_id, typical_run_s
                )
                ratio = running_task.relative_size * math.exp(error)
                self._sizes.learn(
                    running_task.template, running_task.declared_ms, ratio
                )
                slowness = round(100 * self._speeds.deviation(upstream_id))
                upstream.credit.slowness = slowness
                upstream.pause_s = upstream_pool.FIRST_PAUSE_S
                upstream.cap.answered(upstream.entry.slots, now=now)
            case model.AttemptOutcome.REFUSED_LEAVING:
                self._pool.mark_leaving(upstream, now=now)
            case model.AttemptOutcome.REFUSED_FULL:
                if upstream.cap.refused(len(upstream.start_times), now=now):
                    self._retry_budget.refund()
                self._pool.pause(upstream, now=now)
            case (
                model.AttemptOutcome.CONNECT_REFUSED
                | model.AttemptOutcome.NOTHING_SENT
            ):
                self._pool.pause(upstream, now=now)

    def _slot_kept_until(
        self,
        upstream: upstream_pool.Upstream,
        running_task: _RunningTask,
        started_at: float,
        now: float,
    ) -> float:
        """Returns when the slot of an attempt that may still run is freed."""
        upstream_id = upstream.entry.upstream
        expected_s = self._speeds.expected_s(running_task.template, upstream_id)
        until = (
            started_at
            + SLOT_RETENTION_RUN_TIMES * running_task.relative_size * expected_s
        )
        return min(max(until, now), now + MAX_SLOT_RETENTION_S)

    def _request_slots(self, now: float) -> None:
        """Requests slots for the queued tasks from other hosts."""
        for group in self._groups.values():
            if not len(group.queue):
                continue
            if group.allowed:
                self._request_each_upstream(group, now)
            else:
                self._request_from_lenders(group, now)

    def _request_each_upstream(
        self, group: late_binding.UpstreamGroup, now: float
    ) -> None:
        """Requests slots of the upstreams that a group is restricted to."""
        count = min(len(group.queue), REQUEST_SLOT_COUNT)
        for upstream in group.upstreams:
            if self._pool.worth_requesting(upstream, now):
                self._pool.ledger.request_units(upstream.credit, count, now=now)

    def _request_from_lenders(
        self, group: late_binding.UpstreamGroup, now: float
    ) -> None:
        """Requests slots of any upstreams, from lenders of fast ones first."""
        needed = len(group.queue) - self._pool.ledger.expected_count
        if needed <= 0:
            return
        job = group.queue.head(self._quotas.may_run, now=now)
        if job is None:
            return
        max_slowness = self._binding.max_slowness(group, job, now=now)
        found = self._pool.request_candidates(self._rng, now=now)
        candidates = sorted(
            (each.credit.slowness, index, each)
            for index, each in enumerate(found)
            if each.credit.slowness <= max_slowness
        )
        requested_lenders: set[ids.HostId] = set()
        for _, _, upstream in candidates:
            lender = upstream.credit.lender
            count = min(
                needed, max(REQUEST_SLOT_COUNT, round(needed * REQUEST_SHARE))
            )
            request = ledger_messages.LoanRequest(count, max_slowness)
            if (
                lender in requested_lenders
                or self._pool.ledger.has_similar_request(lender, request)
            ):
                continue
            requested_lenders.add(lender)
            self._pool.ledger.request_from_lender(lender, request, now=now)
            needed -= count
            if needed <= 0 or len(requested_lenders) >= MAX_LENDER_REQUESTS:
                return

    def _lend_on_request(
        self, host: ids.HostId, message: ledger_messages.LoanRequest, now: float
    ) -> None:
        """Lends free slots on request, those of the fastest upstreams first."""
        free = sorted(
            (self._speeds.deviation(upstream_id), upstream_id)
            for upstream_id, each in self._pool.free.items()
            if each.credit.is_lender
        )
        keys = [upstream_id for _, upstream_id in free]
        self._pool.ledger.handle_request(host, message, keys, now=now)


def _longest_last(job: scheduler.JobRequest) -> list[int]:
    """Returns the task indices by declared run time, the longest last.

    Tasks are taken from the end of the list, so the longest starts first. A
    task without a declared run time counts as 0.
    """
    declared = [each or 0.0 for each in job.declared_ms]
    return sorted(range(len(declared)), key=lambda index: declared[index])
