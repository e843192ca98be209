"""The policy of slot credits with late binding.

A task waits at its host until a slot is in hand, then goes to the free slot
with the best expected finish. The slots of all domains that are linked form
one pool, shared by `credits`.
"""

import heapq
import itertools
import math
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import admission
from godwitnotch.core import chance
from godwitnotch.core import credits
from godwitnotch.core import fair_queue
from godwitnotch.core import health
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import quotas
from godwitnotch.core import retry_budget
from godwitnotch.core import scheduler
from godwitnotch.core import sizes
from godwitnotch.core import slot_caps
from godwitnotch.core import speeds

# A slower slot is taken only if the time lost on it is at most this share of
# the time that the queue takes to drain.
PATIENCE = 0.6
# A task that has waited takes a slower slot that loses so many times the wait.
WAITED_WEIGHT = 3.0
# A waiting task reconsiders a slower slot after so long.
PATIENCE_S = 0.01
# Pauses of an upstream that refused, doubling.
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0
# An upstream whose running tasks are this many times older than expected is
# taken as slower than learnt.
STALL_AGE = 3.0
STALL_TASKS = 3
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
# An upstream's own word that it leaves is kept against a lagging list.
LEAVING_S = 60.0
# An upstream ranked before others by less than this is looked at no further.
RANK_SLACK = 0.05
# Share of a new count of running tasks in their learnt mean.
PACE_GAIN = 0.005
# Slots asked of one holder at once, at least and as a share of those needed;
# holders asked at once; upstreams looked at to choose them.
ASK_BLOCK = 4
ASK_SHARE = 0.25
ASKS_AT_ONCE = 12
ASK_CANDIDATES = 24
# A slowness that no upstream has.
NOTHING_IS_OF_USE = -10_000
# Time between two looks for upstreams to ask.
ASK_EVERY_S = 0.01

_Allowed = frozenset[ids.UpstreamId]
_Task = tuple[ids.SubmissionId, int]
_Offer = tuple[float, "_Upstream"]
_Ranked = tuple[float, ids.UpstreamId, "_Upstream"]


@dataclass(slots=True, eq=False)
class _Upstream:
    entry: model.UpstreamEntry
    credit: credits.Credit
    starts: dict[_Task, float] = field(default_factory=dict)
    starts_sum: float = 0.0
    cap: slot_caps.SlotCap = field(default_factory=slot_caps.SlotCap)
    paused_until: float = 0.0
    pause_s: float = FIRST_PAUSE_S
    leaving_until: float = 0.0
    lingering: int = 0
    gone: bool = False

    def leaving(self, now: float) -> bool:
        return self.gone or self.entry.leaving or self.leaving_until > now


@dataclass(frozen=True, slots=True)
class _Admitted:
    """A job, and the sizes of its tasks relative to a typical one."""

    request: scheduler.JobRequest
    factors: tuple[float, ...]
    costs: tuple[float, ...]


@dataclass(slots=True)
class _Running:
    workspace: ids.WorkspaceId
    template: ids.TemplateName
    declared_ms: float | None
    factor: float


@dataclass(slots=True)
class _Lane:
    """The queue of the jobs that may use the same upstreams."""

    allowed: _Allowed
    queue: fair_queue.FairQueue
    slots: int = 0
    horizon_s: float = 0.0
    upstreams: list[_Upstream] = field(default_factory=list)


@scheduler.policy("credits")
class CreditScheduler:
    """Slot credits, fair queues, late binding, learnt speeds and health."""

    def __init__(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        chance: chance.Chance,
    ) -> None:
        self._chance = chance
        self._hosts = 1
        self._slots = credits.CreditLedger(host, domain)
        self._quotas = quotas.QuotaShares(host, domain)
        self._speeds = speeds.SpeedModel()
        self._sizes = sizes.SizeModel()
        self._health = health.HealthTracker()
        self._budget = retry_budget.RetryBudget()
        self._admission = admission.Admission(chance)
        self._shares = fair_queue.Shares()
        self._lanes: dict[_Allowed, _Lane] = {}
        self._upstreams: dict[ids.UpstreamId, _Upstream] = {}
        self._list: tuple[model.UpstreamEntry, ...] = ()
        self._names: list[ids.UpstreamId] = []
        self._fresh: dict[ids.UpstreamId, _Upstream] = {}
        self._look_at = 0.0
        self._free: dict[ids.UpstreamId, _Upstream] = {}
        self._paused: dict[ids.UpstreamId, _Upstream] = {}
        self._jobs: dict[ids.SubmissionId, _Admitted] = {}
        self._running: dict[_Task, _Running] = {}
        self._ask_at = 0.0
        self._pace = 0.0
        self._order = itertools.count()
        self._lingering: list[tuple[float, int, _Upstream]] = []
        self._best = 0.0
        self._best_until = -math.inf

    def upstreams_seen(
        self, upstreams: Sequence[model.UpstreamEntry], *, now: float
    ) -> None:
        """Takes a newer list of upstreams, leaving ones included."""
        if tuple(upstreams) == self._list:
            return
        self._list = tuple(upstreams)
        self._health.upstreams_seen(upstreams)
        self._slots.resources_seen(
            [
                credits.Resource(each.upstream, each.slots, each.domain)
                for each in upstreams
            ],
            now=now,
        )
        seen = {each.upstream: each for each in upstreams}
        for name, upstream in list(self._upstreams.items()):
            if name not in seen:
                self._lose(upstream)
        for entry in seen.values():
            self._meet(entry)
        self._names = list(self._upstreams)
        self._best_until = -math.inf
        for lane in self._lanes.values():
            self._size(lane)

    def hosts_seen(
        self, hosts: Sequence[model.HostEntry], *, now: float
    ) -> None:
        """Takes the entry hosts now linked, this one not included."""
        domains = {each.host: each.domain for each in hosts}
        self._hosts = len(domains) + 1
        self._slots.hosts_seen(domains, now=now)
        self._quotas.hosts_seen(domains, now=now)
        for upstream in self._upstreams.values():
            self._offer(upstream, now)

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
        self._jobs[job.submission] = _Admitted(job, factors, costs)
        self._budget.earn(len(costs))
        self._look_at = now
        lane = self._lane(job.template)
        horizon_s = lane.horizon_s if len(lane.queue) else 0.0
        lane.horizon_s = max(horizon_s, job.deadline - now)
        lane.queue.push(job, _in_order(job), costs, now=now)

    def requeue(
        self, submission: ids.SubmissionId, task_index: int, *, now: float
    ) -> bool:
        """Queues a task again that did not start; False if over budget."""
        job = self._jobs.get(submission)
        if job is None or not self._budget.spend():
            return False
        self._look_at = now
        queue = self._lane(job.request.template).queue
        queue.push(job.request, [task_index], job.costs, now=now)
        return True

    def withdraw(self, submission: ids.SubmissionId, *, now: float) -> None:
        """Drops the queued tasks of a job that has ended."""
        job = self._jobs.pop(submission, None)
        if job is not None:
            self._lane(job.request.template).queue.withdraw(submission)

    def assign(self, *, now: float) -> list[scheduler.Assignment]:
        """Returns the tasks that start now."""
        self._advance(now)
        # Slots that were looked at already are so again after a while only.
        look = now >= self._look_at
        offered = self._free if look else self._fresh
        if look:
            self._look_at = math.inf
        started: list[scheduler.Assignment] = []
        queued = 0
        for lane in self._lanes.values():
            if len(lane.queue):
                self._assign_lane(lane, offered, started, now)
                queued += len(lane.queue)
        self._fresh.clear()
        self._slots.hungry = queued > 0
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
        upstream = self._upstreams.get(assignment.upstream.upstream)
        if upstream is None:
            return
        upstream.starts_sum -= upstream.starts.pop(task)
        self._learn(upstream, running, task[0], outcome, started_at, now)
        if outcome in LINGERING:
            self._linger(upstream, running, started_at, now)
        else:
            self._release(upstream, now)

    def peer_said(
        self, host: ids.HostId, message: messages.Message, *, now: float
    ) -> None:
        """Takes a message of the same policy on another host."""
        match message:
            case messages.SlotsWanted(key, held, wanted, serial):
                word = credits.Wanted(key, held, wanted, serial)
                self._slots.wanted(host, word, now=now)
            case messages.SlotsLent(key, allowed, serial, slowness):
                self._speeds.hint(key, slowness / 100)
                loan = credits.Lent(key, allowed, serial, slowness)
                self._slots.lent(host, loan, now=now)
            case messages.SlotsAsked(count, slowest):
                self._asked(host, credits.Asked(count, slowest), now)
            case messages.SlotsBatch(wants, loans):
                for want in wants:
                    self.peer_said(host, want, now=now)
                for grant in loans:
                    self.peer_said(host, grant, now=now)
            case messages.QuotaWanted(workspace, held, wanted, serial, limit):
                if limit:
                    self._quotas.seen(workspace, limit, now=now)
                word = credits.Wanted(workspace, held, wanted, serial)
                self._quotas.ledger.wanted(host, word, now=now)
            case messages.QuotaLent(workspace, allowed, serial):
                loan = credits.Lent(workspace, allowed, serial)
                self._quotas.ledger.lent(host, loan, now=now)

    def peer_messages(self, *, now: float) -> list[scheduler.PeerMessage]:
        """Returns the messages to send now."""
        slots = self._slots.outgoing(now=now)
        shares = self._quotas.ledger.outgoing(now=now)
        if not slots and not shares:
            return []
        return _batched(slots) + [self._quota_message(each) for each in shares]

    def next_deadline(self) -> float | None:
        """Returns when the policy next wants to be asked, if ever."""
        earliest = self._look_at
        if self._lingering:
            earliest = min(earliest, self._lingering[0][0])
        for each in (
            self._slots.next_deadline(),
            self._quotas.ledger.next_deadline(),
            self._health.next_deadline(),
        ):
            if each is not None and each < earliest:
                earliest = each
        for upstream in self._paused.values():
            earliest = min(earliest, upstream.paused_until)
        return None if earliest == math.inf else earliest

    def _quota_message(self, sent: credits.Outgoing) -> scheduler.PeerMessage:
        word = sent.message
        assert not isinstance(word, credits.Asked)
        workspace = ids.WorkspaceId(word.key)
        if isinstance(word, credits.Lent):
            lent = messages.QuotaLent(workspace, word.allowed, word.serial)
            return scheduler.PeerMessage(sent.host, lent)
        wanted = messages.QuotaWanted(
            workspace,
            word.held,
            word.wanted,
            word.serial,
            self._quotas.limit(workspace),
        )
        return scheduler.PeerMessage(sent.host, wanted)

    def _linger(
        self,
        upstream: _Upstream,
        running: _Running,
        started_at: float,
        now: float,
    ) -> None:
        name = upstream.entry.upstream
        expected_s = self._speeds.expect_s(running.template, name)
        until = started_at + LINGER_RUNS * running.factor * expected_s
        until = min(max(until, now), now + LONGEST_LINGER_S)
        upstream.lingering += 1
        order = next(self._order)
        heapq.heappush(self._lingering, (until, order, upstream))

    def _release(self, upstream: _Upstream, now: float) -> None:
        self._slots.put(upstream.credit, now=now)
        if upstream.gone and not upstream.starts and not upstream.lingering:
            self._upstreams.pop(upstream.entry.upstream, None)
        self._offer(upstream, now)

    def _meet(self, entry: model.UpstreamEntry) -> None:
        credit = self._slots.credit(entry.upstream)
        assert credit is not None
        upstream = self._upstreams.get(entry.upstream)
        if upstream is None:
            upstream = _Upstream(entry, credit)
            self._upstreams[entry.upstream] = upstream
        upstream.entry = entry
        upstream.credit = credit
        upstream.gone = False
        self._free[entry.upstream] = upstream
        self._look_at = -math.inf

    def _lose(self, upstream: _Upstream) -> None:
        name = upstream.entry.upstream
        upstream.gone = True
        self._free.pop(name, None)
        self._fresh.pop(name, None)
        self._paused.pop(name, None)
        self._speeds.forget(name)
        if not upstream.starts and not upstream.lingering:
            del self._upstreams[name]

    def _lane(self, template: model.Template) -> _Lane:
        lane = self._lanes.get(template.upstreams)
        if lane is None:
            queue = fair_queue.FairQueue(self._shares)
            lane = _Lane(template.upstreams, queue)
            self._lanes[template.upstreams] = lane
            self._size(lane)
        return lane

    def _size(self, lane: _Lane) -> None:
        """Counts what may serve a lane's tasks."""
        names = lane.allowed or self._upstreams
        lane.upstreams = [
            self._upstreams[name] for name in names if name in self._upstreams
        ]
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
        sharers = self._hosts if len(queue) else 1
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
        self._slots.advance(now=now)
        self._quotas.ledger.advance(now=now)
        for name in self._health.advance(now=now):
            self._offer(self._upstreams[name], now)
        while self._lingering and self._lingering[0][0] <= now:
            upstream = heapq.heappop(self._lingering)[2]
            upstream.lingering -= 1
            self._release(upstream, now)
        if self._slots.changed:
            for key in sorted(self._slots.changed):
                changed = self._upstreams.get(ids.UpstreamId(key))
                if changed is not None:
                    self._offer(changed, now)
            self._slots.changed.clear()
        if self._paused:
            due = [u for u in self._paused.values() if u.paused_until <= now]
            for upstream in due:
                del self._paused[upstream.entry.upstream]
                self._offer(upstream, now)
        if self._quotas.ledger.changed:
            for workspace in self._quotas.take_changed():
                self._unblock(workspace)

    def _offer(self, upstream: _Upstream, now: float) -> None:
        """Lists an upstream among those with a free slot, if it has one."""
        name = upstream.entry.upstream
        if self._is_free(upstream, now):
            self._free[name] = upstream
            self._fresh[name] = upstream
        else:
            self._free.pop(name, None)
            self._fresh.pop(name, None)

    def _is_free(self, upstream: _Upstream, now: float) -> bool:
        return (
            upstream.credit.free > 0
            and upstream.cap.allows(len(upstream.starts))
            and upstream.paused_until <= now
            and not upstream.leaving(now)
            and self._health.usable(upstream.entry.upstream)
        )

    def _assign_lane(
        self,
        lane: _Lane,
        offered: dict[ids.UpstreamId, _Upstream],
        started: list[scheduler.Assignment],
        now: float,
    ) -> None:
        offers: dict[ids.TemplateName, list[_Ranked]] = {}
        while offered:
            job = lane.queue.head(self._quotas.may_run, now=now)
            if job is None:
                break
            template = job.request.template.name
            if template not in offers:
                offers[template] = self._offers(lane, template, offered)
            found = self._best_offer(offers[template], template, now)
            if found is None:
                break
            if not self._worth(lane, job, found, now):
                job = lane.queue.longest()
                if not self._worth_last(lane, job, found, now):
                    self._look_at = min(self._look_at, now + PATIENCE_S)
                    break
            upstream = found[1]
            started.append(self._start(lane, job, upstream, now))
            if not self._is_free(upstream, now):
                offered.pop(upstream.entry.upstream, None)
        for workspace in lane.queue.blocked:
            queued = lane.queue.queued(workspace)
            self._quotas.ask(workspace, queued, now=now)

    def _offers(
        self,
        lane: _Lane,
        template: ids.TemplateName,
        offered: dict[ids.UpstreamId, _Upstream],
    ) -> list[_Ranked]:
        """Returns a heap of upstreams, the fastest for a template first."""
        ranks = self._speeds.ranks(template)
        offers = [
            (ranks.get(name, upstream.credit.slowness / 100), name, upstream)
            for name, upstream in offered.items()
            if not lane.allowed or name in lane.allowed
        ]
        heapq.heapify(offers)
        return offers

    def _best_offer(
        self, offers: list[_Ranked], template: ids.TemplateName, now: float
    ) -> _Offer | None:
        while offers:
            rank, name, upstream = offers[0]
            if not self._is_free(upstream, now):
                self._free.pop(name, None)
                heapq.heappop(offers)
                continue
            expected_s = self._expect_s(upstream, template, now)
            typical_s = self._speeds.typical_s(template)
            true_rank = math.log(expected_s / typical_s)
            if true_rank <= rank + RANK_SLACK:
                return expected_s, upstream
            heapq.heapreplace(offers, (true_rank, name, upstream))
        return None

    def _expect_s(
        self, upstream: _Upstream, template: ids.TemplateName, now: float
    ) -> float:
        expected = self._speeds.expect_s(template, upstream.entry.upstream)
        count = len(upstream.starts)
        if count >= STALL_TASKS:
            age = now - upstream.starts_sum / count
            if age > STALL_AGE * expected:
                return age
        return expected

    def _worth(
        self,
        lane: _Lane,
        job: fair_queue.QueuedJob,
        offer: _Offer,
        now: float,
    ) -> bool:
        """Returns whether a slot beats the wait of the head job."""
        work_s = job.left_s * lane.queue.workspaces
        return self._beats(lane, job, offer, work_s, now)

    def _worth_last(
        self,
        lane: _Lane,
        job: fair_queue.QueuedJob,
        offer: _Offer,
        now: float,
    ) -> bool:
        """Returns whether a slot beats the wait of the longest job."""
        return self._beats(lane, job, offer, lane.queue.work_s, now)

    def _beats(
        self,
        lane: _Lane,
        job: fair_queue.QueuedJob,
        offer: _Offer,
        work_s: float,
        now: float,
    ) -> bool:
        template = job.request.template.name
        factor = self._jobs[job.request.submission].factors[job.tasks[-1]]
        lost_s = offer[0] - self._fastest_s(lane, template, now)
        if lost_s <= 0:
            return True
        return factor * lost_s <= self._patience_s(lane, job, work_s, now)

    def _patience_s(
        self,
        lane: _Lane,
        job: fair_queue.QueuedJob,
        work_s: float,
        now: float,
    ) -> float:
        """Returns how much a slot may lose and still beat waiting."""
        slots = max(lane.slots / self._hosts, len(self._running), 1.0)
        waited_s = now - job.enqueued_at
        return max(PATIENCE * work_s / slots, WAITED_WEIGHT * waited_s)

    def _fastest_s(
        self, lane: _Lane, template: ids.TemplateName, now: float
    ) -> float:
        if lane.allowed:
            return min(
                self._speeds.expect_s(template, each.entry.upstream)
                for each in lane.upstreams
            )
        if now >= self._best_until:
            self._best_until = now + 0.5
            self._best = min(
                (
                    self._speeds.deviation(each.entry.upstream)
                    for each in lane.upstreams
                    if not each.leaving(now)
                    and self._health.usable(each.entry.upstream)
                ),
                default=0.0,
            )
        return self._speeds.typical_s(template) * math.exp(self._best)

    def _start(
        self,
        lane: _Lane,
        job: fair_queue.QueuedJob,
        upstream: _Upstream,
        now: float,
    ) -> scheduler.Assignment:
        request = job.request
        workspace = request.workspace.workspace
        template = request.template.name
        index = lane.queue.take(job)
        task = (request.submission, index)
        self._slots.take(upstream.credit)
        self._quotas.started(workspace)
        self._health.started(upstream.entry.upstream)
        upstream.starts[task] = now
        upstream.starts_sum += now
        self._running[task] = _Running(
            workspace,
            template,
            request.declared_ms[index],
            self._jobs[request.submission].factors[index],
        )
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
        upstream: _Upstream,
        running: _Running,
        submission: ids.SubmissionId,
        outcome: model.AttemptOutcome,
        started_at: float,
        now: float,
    ) -> None:
        name = upstream.entry.upstream
        self._health.ended(name, running.template, submission, outcome, now=now)
        match outcome:
            case model.AttemptOutcome.ANSWERED:
                took_s = now - started_at
                usual_s = took_s / running.factor
                error = self._speeds.learn(running.template, name, usual_s)
                ratio = running.factor * math.exp(error)
                self._sizes.learn(running.template, running.declared_ms, ratio)
                slowness = round(100 * self._speeds.deviation(name))
                upstream.credit.slowness = slowness
                upstream.pause_s = FIRST_PAUSE_S
                upstream.cap.answered(upstream.entry.slots, now=now)
            case model.AttemptOutcome.REFUSED_LEAVING:
                upstream.leaving_until = now + LEAVING_S
            case model.AttemptOutcome.REFUSED_FULL:
                if upstream.cap.refused(len(upstream.starts), now=now):
                    self._budget.refund()
                self._pause(upstream, now)
            case (
                model.AttemptOutcome.CONNECT_REFUSED
                | model.AttemptOutcome.NOTHING_SENT
            ):
                self._pause(upstream, now)

    def _pause(self, upstream: _Upstream, now: float) -> None:
        if upstream.paused_until > now:
            return
        upstream.paused_until = now + upstream.pause_s
        upstream.pause_s = min(2 * upstream.pause_s, LONGEST_PAUSE_S)
        self._paused[upstream.entry.upstream] = upstream

    def _ask(self, now: float) -> None:
        """Asks other holders for slots."""
        for lane in self._lanes.values():
            if not len(lane.queue):
                continue
            if lane.allowed:
                self._ask_for_each(lane, now)
            else:
                self._ask_holders(lane, now)

    def _ask_for_each(self, lane: _Lane, now: float) -> None:
        """Asks for slots of just the upstreams that a lane may use."""
        block = min(len(lane.queue), ASK_BLOCK)
        for upstream in lane.upstreams:
            if self._worth_asking(upstream, now):
                self._slots.ask(upstream.credit, block, now=now)

    def _ask_holders(self, lane: _Lane, now: float) -> None:
        """Asks for slots of any upstreams, holders of fast ones first."""
        need = len(lane.queue) - self._slots.asked
        if need <= 0:
            return
        slowest = self._slowest(lane, now)
        candidates = sorted(
            (each.credit.slowness, order, each)
            for order, each in enumerate(self._candidates(now))
            if each.credit.slowness <= slowest
        )
        asked: set[ids.HostId] = set()
        for _, _, upstream in candidates:
            holder = upstream.credit.holder
            block = min(need, max(ASK_BLOCK, round(need * ASK_SHARE)))
            request = credits.Asked(block, slowest)
            if holder in asked or self._slots.covers(holder, request):
                continue
            asked.add(holder)
            self._slots.ask_holder(holder, request, now=now)
            need -= block
            if need <= 0 or len(asked) >= ASKS_AT_ONCE:
                return

    def _slowest(self, lane: _Lane, now: float) -> int:
        """Returns the slowness up to which a slot beats waiting."""
        job = lane.queue.head(self._quotas.may_run, now=now)
        if job is None:
            return NOTHING_IS_OF_USE
        template = job.request.template.name
        lost_s = self._patience_s(lane, job, lane.queue.work_s, now)
        fastest_s = self._fastest_s(lane, template, now)
        ratio = (fastest_s + lost_s) / self._speeds.typical_s(template)
        return round(100 * math.log(ratio))

    def _asked(
        self, host: ids.HostId, asked: credits.Asked, now: float
    ) -> None:
        """Lends what is free, the fastest upstreams first."""
        free = sorted(
            (self._speeds.deviation(name), name)
            for name, each in self._free.items()
            if each.credit.mine
        )
        order = [name for _, name in free]
        self._slots.asked_of_me(host, asked, order, now=now)

    def _candidates(self, now: float) -> list[_Upstream]:
        if len(self._names) <= ASK_CANDIDATES:
            names = self._names
        else:
            size = len(self._names)
            names = [
                self._names[self._chance.randrange(size)]
                for _ in range(ASK_CANDIDATES)
            ]
        found = {name: self._upstreams.get(name) for name in names}
        return [
            upstream
            for upstream in found.values()
            if upstream is not None and self._worth_asking(upstream, now)
        ]

    def _worth_asking(self, upstream: _Upstream, now: float) -> bool:
        credit = upstream.credit
        name = upstream.entry.upstream
        return (
            not credit.mine
            and credit.held < upstream.entry.slots
            and not upstream.leaving(now)
            and self._health.state(name) is health.State.HEALTHY
        )


def _in_order(job: scheduler.JobRequest) -> list[int]:
    """Returns the task indices, those declared longest at the end."""
    declared = [each or 0.0 for each in job.declared_ms]
    return sorted(range(len(declared)), key=lambda index: declared[index])


def _batched(sent: list[credits.Outgoing]) -> list[scheduler.PeerMessage]:
    """Returns one message for each peer and kind."""
    by_host: dict[ids.HostId, list[messages.SlotsWanted | messages.SlotsLent]]
    by_host = {}
    out = []
    for each in sent:
        word = each.message
        if isinstance(word, credits.Asked):
            ask = messages.SlotsAsked(word.count, word.slowest)
            out.append(scheduler.PeerMessage(each.host, ask))
            continue
        by_host.setdefault(each.host, []).append(_slots_message(word))
    for host, words in by_host.items():
        if len(words) == 1:
            out.append(scheduler.PeerMessage(host, words[0]))
            continue
        wanted = [w for w in words if isinstance(w, messages.SlotsWanted)]
        lent = [w for w in words if isinstance(w, messages.SlotsLent)]
        batch = messages.SlotsBatch(tuple(wanted), tuple(lent))
        out.append(scheduler.PeerMessage(host, batch))
    return out


def _slots_message(
    word: credits.Wanted | credits.Lent,
) -> messages.SlotsWanted | messages.SlotsLent:
    key = ids.UpstreamId(word.key)
    if isinstance(word, credits.Wanted):
        return messages.SlotsWanted(key, word.held, word.wanted, word.serial)
    return messages.SlotsLent(key, word.allowed, word.serial, word.slowness)
