"""The policy of slot credits with late binding.

A task waits at its host until a slot is in hand, then goes to the free slot
with the best expected finish. The slots of all domains that are linked form
one pool, shared by `credits`.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from godwitnotch.core import admission
from godwitnotch.core import credit_messages
from godwitnotch.core import credit_words
from godwitnotch.core import fair_queue
from godwitnotch.core import ids
from godwitnotch.core import late_binding
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import quotas
from godwitnotch.core import random_source
from godwitnotch.core import retry_budget
from godwitnotch.core import scheduler
from godwitnotch.core import sizes
from godwitnotch.core import speeds
from godwitnotch.core import upstream_pool

# A waiting task reconsiders a slower slot after so long.
PATIENCE_S = 0.01
# Outcomes after which the upstream may still run the task. Its slot is kept
# until the task has had so many times its expected run time.
LINGERING = frozenset(
    (
        model.AttemptOutcome.ABORTED,
        model.AttemptOutcome.TIMED_OUT,
        model.AttemptOutcome.BROKE_OFF,
    )
)
LINGER_RUNS = 2.0
LONGEST_LINGER_S = 5.0
# Share of a new count of running tasks in their learnt mean.
PACE_GAIN = 0.005
# Slots asked of one holder at once, at least and as a share of those needed;
# holders asked at once; time between two looks for holders to ask.
ASK_BLOCK = 4
ASK_SHARE = 0.25
ASKS_AT_ONCE = 12
ASK_EVERY_S = 0.01


@dataclass(frozen=True, slots=True)
class _Admitted:
    """A job, and the expected sizes of its tasks."""

    request: scheduler.JobRequest
    sizes: fair_queue.Sizes


@dataclass(slots=True)
class _Running:
    workspace: ids.WorkspaceId
    template: ids.TemplateName
    declared_ms: float | None
    factor: float


@scheduler.policy("credits")
class CreditScheduler:
    """Slot credits, fair queues, late binding, learnt speeds and health."""

    def __init__(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        chance: random_source.RandomSource,
    ) -> None:
        self._chance = chance
        self._pool = upstream_pool.UpstreamPool(host, domain)
        self._quotas = quotas.QuotaShares(host, domain)
        self._speeds = speeds.SpeedModel()
        self._sizes = sizes.SizeModel()
        self._binding = late_binding.LateBinding(self._pool, self._speeds)
        self._budget = retry_budget.RetryBudget()
        self._admission = admission.Admission(chance)
        self._shares = fair_queue.Shares()
        self._lanes: dict[frozenset[ids.UpstreamId], late_binding.Lane] = {}
        self._jobs: dict[ids.SubmissionId, _Admitted] = {}
        self._running: dict[upstream_pool.Task, _Running] = {}
        self._pace = 0.0
        self._look_at = 0.0
        self._ask_at = 0.0

    def upstreams_seen(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> None:
        """Takes a newer list of upstreams, leaving ones included."""
        gone = self._pool.upstreams_seen(upstreams, now=now)
        if gone is None:
            return
        for name in gone:
            self._speeds.forget(name)
        self._binding.forget_fastest()
        self._look_at = -math.inf
        self._lanes = {
            allowed: lane
            for allowed, lane in self._lanes.items()
            if len(lane.queue)
        }
        for lane in self._lanes.values():
            self._size(lane)

    def hosts_seen(
        self, hosts: Sequence[model.HostEntry], *, now: float
    ) -> None:
        """Takes the entry hosts now linked, this one not included."""
        domains = {each.host: each.domain for each in hosts}
        self._binding.hosts = len(domains) + 1
        self._pool.ledger.hosts_seen(domains, now=now)
        self._quotas.hosts_seen(domains, now=now)
        self._pool.refresh(now=now)

    def admit(
        self, job: scheduler.JobRequest, *, now: float
    ) -> scheduler.Refusal | None:
        """Refuses a job that can't be done in time; takes no note of it."""
        config = job.workspace
        self._quotas.seen(config.workspace, config.max_running_tasks, now=now)
        return self._admission.check(job, self._situation(job, now), now=now)

    def enqueue(self, job: scheduler.JobRequest, *, now: float) -> None:
        """Queues all tasks of an admitted job."""
        config = job.workspace
        self._quotas.seen(config.workspace, config.max_running_tasks, now=now)
        factors = self._sizes.factors(job.template.name, job.declared_ms)
        mean_s = self._speeds.mean_s(job.template.name)
        costs = tuple(mean_s * each for each in factors)
        admitted = _Admitted(job, fair_queue.Sizes(factors, costs))
        self._jobs[job.submission] = admitted
        self._budget.earn(len(costs))
        self._look_at = now
        lane = self._lane(job.template)
        horizon_s = lane.horizon_s if len(lane.queue) else 0.0
        lane.horizon_s = max(horizon_s, job.deadline - now)
        lane.queue.push(job, _in_order(job), admitted.sizes, now=now)

    def requeue(
        self, submission: ids.SubmissionId, task_index: int, *, now: float
    ) -> bool:
        """Queues a task again that did not start; False if over budget."""
        job = self._jobs.get(submission)
        if job is None or not self._budget.spend():
            return False
        self._look_at = now
        queue = self._lane(job.request.template).queue
        queue.push(job.request, [task_index], job.sizes, now=now)
        return True

    def withdraw(self, submission: ids.SubmissionId, *, now: float) -> None:
        """Drops the queued tasks of a job that has ended."""
        job = self._jobs.pop(submission, None)
        if job is not None:
            self._lane(job.request.template).queue.withdraw(submission)

    def assign(self, *, now: float) -> list[scheduler.Assignment]:
        """Returns the tasks that start now."""
        self._advance(now)
        self._binding.running = len(self._running)
        # Slots that were looked at already are so again after a while only.
        look = now >= self._look_at
        offered = self._pool.free if look else self._pool.fresh
        if look:
            self._look_at = math.inf
        started: list[scheduler.Assignment] = []
        queued = 0
        for lane in self._lanes.values():
            if len(lane.queue):
                self._assign_lane(lane, offered, started, now)
                queued += len(lane.queue)
        self._pool.fresh.clear()
        self._pool.ledger.hungry = queued > 0
        if queued and now >= self._ask_at:
            self._ask_at = now + ASK_EVERY_S
            self._ask(now)
        return started

    def ended(
        self,
        assignment: scheduler.Assignment,
        outcome: model.AttemptOutcome,
        *,
        started_at: float,
        now: float,
    ) -> None:
        """Frees the slot of an attempt, and learns from it."""
        task = (assignment.submission, assignment.task_index)
        running = self._running.pop(task, None)
        if running is None:
            return
        self._pace += PACE_GAIN * (len(self._running) - self._pace)
        self._end_quota(running.workspace, now)
        upstream = self._pool.get(assignment.upstream.upstream)
        if upstream is None:
            return
        self._pool.end(upstream, task)
        self._learn(upstream, running, task[0], outcome, started_at, now)
        if outcome in LINGERING:
            until = self._lingers_until(upstream, running, started_at, now)
            self._pool.linger(upstream, until)
        else:
            self._pool.release(upstream, now=now)

    def peer_said(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Takes a message of the same policy on another host."""
        match message:
            case messages.SlotsWanted(key, held, wanted, serial):
                word = credit_words.Wanted(key, held, wanted, serial)
                self._pool.ledger.wanted(host, word, now=now)
            case messages.SlotsLent(key, allowed, serial, slowness):
                self._speeds.hint(key, slowness / 100)
                loan = credit_words.Lent(key, allowed, serial, slowness)
                self._pool.ledger.lent(host, loan, now=now)
            case messages.SlotsAsked(count, slowest):
                self._asked(host, credit_words.Asked(count, slowest), now)
            case messages.SlotsBatch(wants, loans):
                for want in wants:
                    self.peer_said(host, want, now=now)
                for grant in loans:
                    self.peer_said(host, grant, now=now)
            case messages.QuotaWanted(workspace, held, wanted, serial, limit):
                if limit:
                    self._quotas.seen(workspace, limit, now=now)
                word = credit_words.Wanted(workspace, held, wanted, serial)
                self._quotas.ledger.wanted(host, word, now=now)
            case messages.QuotaLent(workspace, allowed, serial):
                loan = credit_words.Lent(workspace, allowed, serial)
                self._quotas.ledger.lent(host, loan, now=now)

    def peer_messages(self, *, now: float) -> list[scheduler.PeerMessage]:
        """Returns the messages to send now."""
        slots = self._pool.ledger.outgoing(now=now)
        shares = self._quotas.ledger.outgoing(now=now)
        if not slots and not shares:
            return []
        about_slots = credit_messages.about_slots(slots)
        about_quotas = [
            credit_messages.about_quota(
                each, self._quotas.limit(ids.WorkspaceId(each.message.key))
            )
            for each in shares
            if not isinstance(each.message, credit_words.Asked)
        ]
        return about_slots + about_quotas

    def next_deadline(self) -> float | None:
        """Returns when the policy next wants to be asked, if ever."""
        earliest = self._look_at
        for each in (
            self._pool.next_deadline(),
            self._quotas.ledger.next_deadline(),
        ):
            if each is not None and each < earliest:
                earliest = each
        return None if earliest == math.inf else earliest

    def _lane(self, template: model.Template) -> late_binding.Lane:
        lane = self._lanes.get(template.upstreams)
        if lane is None:
            queue = fair_queue.FairQueue(self._shares)
            lane = late_binding.Lane(template.upstreams, queue)
            self._lanes[template.upstreams] = lane
            self._size(lane)
        return lane

    def _size(self, lane: late_binding.Lane) -> None:
        """Counts what may serve a lane's tasks."""
        lane.upstreams = self._pool.among(lane.allowed)
        lane.slots = sum(
            each.entry.slots
            for each in lane.upstreams
            if not each.gone and not each.entry.leaving
        )

    def _situation(
        self, job: scheduler.JobRequest, now: float
    ) -> admission.Situation:
        lane = self._lane(job.template)
        queue = lane.queue
        workspace = job.workspace.workspace
        tasks = len(job.declared_ms)
        own = queue.queued_before(workspace, tasks)
        queued = queue.queued(workspace)
        others = len(queue) - queued
        rivals = queue.workspaces - (queued > 0)
        # Nothing waits here: the other hosts' slots are there to borrow.
        sharers = self._binding.hosts if len(queue) else 1
        slots = max(lane.slots / sharers, 1.0)
        if not lane.allowed:
            slots = max(slots, self._pace)
        return admission.Situation(
            served=any(not each.leaving(now) for each in lane.upstreams),
            slots=min(slots, self._quotas.part(workspace)),
            mean_s=self._speeds.mean_s(job.template.name),
            known=self._speeds.knows(job.template.name),
            before=own + min(others, rivals * (own + tasks)),
            ahead=queued + min(others, rivals * (queued + tasks)),
            horizon_s=lane.horizon_s,
            queued=queued,
        )

    def _advance(self, now: float) -> None:
        self._pool.advance(now=now)
        self._quotas.ledger.advance(now=now)
        if self._quotas.ledger.changed:
            for workspace in self._quotas.take_changed():
                self._unblock(workspace)

    def _assign_lane(
        self,
        lane: late_binding.Lane,
        offered: dict[ids.UpstreamId, upstream_pool.Upstream],
        started: list[scheduler.Assignment],
        now: float,
    ) -> None:
        ranked: dict[ids.TemplateName, list[late_binding.Ranked]] = {}
        binding = self._binding
        while offered:
            job = lane.queue.head(self._quotas.may_run, now=now)
            if job is None:
                break
            template = job.request.template.name
            if template not in ranked:
                ranked[template] = binding.rank(lane, template, offered)
            offer = binding.best(ranked[template], template, now=now)
            if offer is None:
                break
            if not binding.worth_head(lane, job, offer, now=now):
                job = lane.queue.longest()
                if not binding.worth_longest(lane, job, offer, now=now):
                    self._look_at = min(self._look_at, now + PATIENCE_S)
                    break
            started.append(self._start(lane, job, offer.upstream, now))
            if not self._pool.is_free(offer.upstream, now):
                offered.pop(offer.upstream.entry.upstream, None)
        for workspace in lane.queue.blocked:
            queued = lane.queue.queued(workspace)
            self._quotas.ask(workspace, queued, now=now)

    def _start(
        self,
        lane: late_binding.Lane,
        job: fair_queue.QueuedJob,
        upstream: upstream_pool.Upstream,
        now: float,
    ) -> scheduler.Assignment:
        request = job.request
        workspace = request.workspace.workspace
        index = lane.queue.take(job)
        task = (request.submission, index)
        self._pool.start(upstream, task, now=now)
        self._quotas.started(workspace)
        self._running[task] = _Running(
            workspace,
            request.template.name,
            request.declared_ms[index],
            job.factors[index],
        )
        self._binding.running = len(self._running)
        return scheduler.Assignment(request.submission, index, upstream.entry)

    def _end_quota(self, workspace: ids.WorkspaceId, now: float) -> None:
        self._quotas.ended(workspace, now=now)
        self._unblock(workspace)

    def _unblock(self, workspace: ids.WorkspaceId) -> None:
        for lane in self._lanes.values():
            if workspace in lane.queue.blocked:
                lane.queue.unblock(workspace)
                self._look_at = -math.inf

    def _learn(
        self,
        upstream: upstream_pool.Upstream,
        running: _Running,
        submission: ids.SubmissionId,
        outcome: model.AttemptOutcome,
        started_at: float,
        now: float,
    ) -> None:
        name = upstream.entry.upstream
        self._pool.health.ended(
            name, running.template, submission, outcome, now=now
        )
        match outcome:
            case model.AttemptOutcome.ANSWERED:
                took_s = now - started_at
                usual_s = took_s / running.factor
                error = self._speeds.learn(running.template, name, usual_s)
                ratio = running.factor * math.exp(error)
                self._sizes.learn(running.template, running.declared_ms, ratio)
                slowness = round(100 * self._speeds.deviation(name))
                upstream.credit.slowness = slowness
                upstream.pause_s = upstream_pool.FIRST_PAUSE_S
                upstream.cap.answered(upstream.entry.slots, now=now)
            case model.AttemptOutcome.REFUSED_LEAVING:
                self._pool.leave(upstream, now=now)
            case model.AttemptOutcome.REFUSED_FULL:
                if upstream.cap.refused(len(upstream.starts), now=now):
                    self._budget.refund()
                self._pool.pause(upstream, now=now)
            case (
                model.AttemptOutcome.CONNECT_REFUSED
                | model.AttemptOutcome.NOTHING_SENT
            ):
                self._pool.pause(upstream, now=now)

    def _lingers_until(
        self,
        upstream: upstream_pool.Upstream,
        running: _Running,
        started_at: float,
        now: float,
    ) -> float:
        name = upstream.entry.upstream
        expected_s = self._speeds.expect_s(running.template, name)
        until = started_at + LINGER_RUNS * running.factor * expected_s
        return min(max(until, now), now + LONGEST_LINGER_S)

    def _ask(self, now: float) -> None:
        """Asks other holders for slots."""
        for lane in self._lanes.values():
            if not len(lane.queue):
                continue
            if lane.allowed:
                self._ask_for_each(lane, now)
            else:
                self._ask_holders(lane, now)

    def _ask_for_each(self, lane: late_binding.Lane, now: float) -> None:
        """Asks for slots of just the upstreams that a lane may use."""
        block = min(len(lane.queue), ASK_BLOCK)
        for upstream in lane.upstreams:
            if self._pool.worth_asking(upstream, now):
                self._pool.ledger.ask(upstream.credit, block, now=now)

    def _ask_holders(self, lane: late_binding.Lane, now: float) -> None:
        """Asks for slots of any upstreams, holders of fast ones first."""
        need = len(lane.queue) - self._pool.ledger.asked
        if need <= 0:
            return
        job = lane.queue.head(self._quotas.may_run, now=now)
        if job is None:
            return
        slowest = self._binding.slowest(lane, job, now=now)
        found = self._pool.candidates(self._chance, now=now)
        candidates = sorted(
            (each.credit.slowness, order, each)
            for order, each in enumerate(found)
            if each.credit.slowness <= slowest
        )
        asked: set[ids.HostId] = set()
        for _, _, upstream in candidates:
            holder = upstream.credit.holder
            block = min(need, max(ASK_BLOCK, round(need * ASK_SHARE)))
            request = credit_words.Asked(block, slowest)
            if holder in asked or self._pool.ledger.covers(holder, request):
                continue
            asked.add(holder)
            self._pool.ledger.ask_holder(holder, request, now=now)
            need -= block
            if need <= 0 or len(asked) >= ASKS_AT_ONCE:
                return

    def _asked(
        self, host: ids.HostId, asked: credit_words.Asked, now: float
    ) -> None:
        """Lends what is free, the fastest upstreams first."""
        free = sorted(
            (self._speeds.deviation(name), name)
            for name, each in self._pool.free.items()
            if each.credit.mine
        )
        order = [name for _, name in free]
        self._pool.ledger.asked_of_me(host, asked, order, now=now)


def _in_order(job: scheduler.JobRequest) -> list[int]:
    """Returns the task indices, those declared longest at the end."""
    declared = [each or 0.0 for each in job.declared_ms]
    return sorted(range(len(declared)), key=lambda index: declared[index])
