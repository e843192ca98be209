"""Drives the schedulers of several hosts on one recorded load.

A trial of the decisions: every message takes the same fixed time, and nothing
else of a network is modelled. The upstreams refuse what exceeds their slots.

    python -m bench.policy_trial --load 0.7 --seeds 5 uniform credits

`--sizes DxHxU` gives domains, hosts and upstreams a domain.
`--set MODULE.CONSTANT=VALUE,...` overrides constants of `godwitnotch.core`.
"""

import heapq
import importlib
import itertools
import math
import random
import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from bench import clairvoyant
from bench import recorded_load
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import scheduler
from godwitnotch.net import codec

DELAY_S = 0.001
LIST_LAG_S = 1.0
FAIL_FAST_S = 0.005
CHECK_S = 0.05


@dataclass(frozen=True, slots=True)
class Faults:
    """What goes wrong, and when, in seconds of the trial."""

    fail_fast: str = ""  # An upstream that fails all its tasks from 10 s on.
    straggler: str = ""  # An upstream ten times slower from 10 s on.
    lost_host: str = ""  # A host that dies at 10 s.
    dead: str = ""  # An upstream that refuses connections from 10 s on.
    start: float = 10.0


@dataclass(slots=True)
class Figures:
    """What a run measured."""

    ratios: list[float] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    goodput_tasks: int = 0
    peer_bytes: int = 0
    max_running: dict[str, int] = field(default_factory=dict)
    decide_s: float = 0.0


@dataclass(slots=True)
class _Job:
    load: recorded_load.Job
    request: scheduler.JobRequest
    host: "_Host"
    left: int
    visits: int = 0


@dataclass(slots=True)
class _Upstream:
    entry: model.UpstreamEntry
    speed: float
    running: int = 0


class _Host:
    def __init__(self, trial: "Trial", entry: model.HostEntry) -> None:
        self.trial = trial
        self.entry = entry
        self.alive = True
        self.jobs: dict[ids.SubmissionId, _Job] = {}
        self.policy = trial.make(entry)
        self._wake_at = math.inf

    def turn(self) -> None:
        """Carries out what the policy wants now."""
        trial, now = self.trial, self.trial.now
        began = time.thread_time()
        starts = self.policy.assign(now=now)
        sends = self.policy.peer_messages(now=now)
        wake_at = self.policy.next_deadline()
        trial.figures.decide_s += time.thread_time() - began
        for start in starts:
            trial.after(DELAY_S, trial.arrive, self, start, now)
        for send in sends:
            trial.send(self, send)
        if wake_at is not None and wake_at < self._wake_at:
            self._wake_at = max(wake_at, now + 1e-4)
            trial.after(self._wake_at - now, self._wake, self._wake_at)

    def _wake(self, at: float) -> None:
        if self.alive and at == self._wake_at:
            self._wake_at = math.inf
            self.turn()


class Trial:
    """One policy on one recorded load."""

    def __init__(
        self, name: str, load: recorded_load.Load, faults: Faults
    ) -> None:
        self.now = 0.0
        self.figures = Figures()
        self._name = name
        self._load = load
        self._faults = faults
        self._chance = random.Random(load.seed)
        self._shared = clairvoyant.Central(load)
        self._heap: list[tuple[float, int, Callable[..., None], tuple]] = []  # type: ignore[type-arg]
        self._order = itertools.count()
        self._upstreams = {
            entry.upstream: _Upstream(entry, load.speeds[entry.upstream])
            for entry in load.upstreams
        }
        self._hosts = {entry.host: _Host(self, entry) for entry in load.hosts}

    def make(self, entry: model.HostEntry) -> scheduler.Scheduler:
        """Returns the scheduler of one host."""
        if self._name == "clairvoyant":
            return self._shared.view(entry.host)
        return scheduler.create(
            self._name,
            host=entry.host,
            domain=entry.domain,
            rng=random.Random(self._chance.random()),
        )

    def run(self) -> Figures:
        """Plays the whole load and returns its figures."""
        self._tell_hosts()
        for host in self._hosts.values():
            host.policy.update_upstreams(self._load.upstreams, now=0.0)
        for job in self._load.jobs:
            self.after(job.at, self._submit, job, 0)
        if self._faults.lost_host:
            self.after(self._faults.start, self._lose_host)
        while self._heap:
            self.now, _, act, args = heapq.heappop(self._heap)
            if self.now > self._load.end_s:
                break
            act(*args)
            for name in self._shared.take_ready():
                self._hosts[name].turn()
        return self.figures

    def after(
        self, delay: float, act: Callable[..., None], *args: object
    ) -> None:
        """Schedules an act."""
        entry = (self.now + delay, next(self._order), act, args)
        heapq.heappush(self._heap, entry)

    def send(self, sender: _Host, send: scheduler.PeerMessage) -> None:
        """Carries a message to a peer."""
        self.figures.counts["peer"] += 1
        self.figures.peer_bytes += len(codec.MESSAGES.encode(send.message))
        self.after(DELAY_S, self._hear, sender, send)

    def arrive(
        self, host: _Host, start: scheduler.Assignment, began: float
    ) -> None:
        """A task reaches its upstream."""
        upstream = self._upstreams[start.upstream.upstream]
        outcome = model.AttemptOutcome.ANSWERED
        lasts = 0.0
        faulty = self.now >= self._faults.start
        if faulty and start.upstream.upstream == self._faults.dead:
            outcome = model.AttemptOutcome.CONNECT_REFUSED
        elif upstream.running >= upstream.entry.slots:
            outcome = model.AttemptOutcome.REFUSED_FULL
        elif faulty and start.upstream.upstream == self._faults.fail_fast:
            outcome = model.AttemptOutcome.TASK_FAILED
            lasts = FAIL_FAST_S
        else:
            work = self._load.work[start.submission][start.task_index]
            lasts = work / upstream.speed
            if faulty and start.upstream.upstream == self._faults.straggler:
                lasts *= 10
        if lasts:
            upstream.running += 1
            self.after(lasts, self._finish, upstream)
        else:
            self.figures.counts["refused_by_upstream"] += 1
        self.after(lasts + DELAY_S, self._ended, host, start, outcome, began)

    def _finish(self, upstream: _Upstream) -> None:
        upstream.running -= 1

    def _hear(self, sender: _Host, send: scheduler.PeerMessage) -> None:
        host = self._hosts[send.host]
        if host.alive:
            began = time.thread_time()
            host.policy.handle_peer_message(
                sender.entry.host, send.message, now=self.now
            )
            self.figures.decide_s += time.thread_time() - began
            host.turn()

    def _submit(self, load: recorded_load.Job, visits: int) -> None:
        host = self._hosts[load.host]
        if not host.alive:
            self.figures.counts["lost"] += 1
            return
        submission = ids.SubmissionId(f"{load.submission}")
        request = scheduler.JobRequest(
            submission,
            load.workspace,
            load.template,
            load.declared_ms,
            self.now + load.template.max_wait_s,
        )
        began = time.thread_time()
        refusal = host.policy.admit(request, now=self.now)
        if refusal is None:
            host.policy.enqueue(request, now=self.now)
        self.figures.decide_s += time.thread_time() - began
        if refusal is not None:
            self._refused(load, refusal, visits)
            return
        left = len(load.declared_ms)
        host.jobs[submission] = _Job(load, request, host, left, visits)
        delay = load.template.max_wait_s
        self.after(delay, self._late, host, submission)
        host.turn()

    def _refused(
        self, load: recorded_load.Job, refusal: scheduler.Refusal, visits: int
    ) -> None:
        self.figures.counts[f"refusal_{refusal.reason.value}"] += 1
        if refusal.retry_after_s is not None and visits < 1:
            self.after(refusal.retry_after_s, self._submit, load, visits + 1)
        else:
            self.figures.counts["given_up"] += 1

    def _late(self, host: _Host, submission: ids.SubmissionId) -> None:
        if host.jobs.pop(submission, None) is not None:
            self.figures.counts["late"] += 1
            host.policy.withdraw(submission, now=self.now)
            host.turn()

    def _ended(
        self,
        host: _Host,
        start: scheduler.Assignment,
        outcome: model.AttemptOutcome,
        began: float,
    ) -> None:
        if not host.alive:
            return
        self.figures.counts["attempts"] += 1
        clock = time.thread_time()
        host.policy.attempt_ended(
            start, outcome, started_at=began, now=self.now
        )
        self.figures.decide_s += time.thread_time() - clock
        job = host.jobs.get(start.submission)
        if job is not None:
            self._settle(job, start, outcome)
        host.turn()

    def _settle(
        self,
        job: _Job,
        start: scheduler.Assignment,
        outcome: model.AttemptOutcome,
    ) -> None:
        policy, submission = job.host.policy, start.submission
        if outcome is model.AttemptOutcome.ANSWERED:
            job.left -= 1
            if not job.left:
                del job.host.jobs[submission]
                policy.withdraw(submission, now=self.now)
                self._complete(job)
        elif outcome is model.AttemptOutcome.TASK_FAILED or not policy.requeue(
            submission, start.task_index, now=self.now
        ):
            del job.host.jobs[submission]
            policy.withdraw(submission, now=self.now)
            self.figures.counts[f"failed_{outcome.value}"] += 1

    def _complete(self, job: _Job) -> None:
        self.figures.counts["complete"] += 1
        self.figures.goodput_tasks += len(job.load.declared_ms)
        if job.load.at >= self._load.warm_up_s:
            took = self.now - (job.request.deadline - job.load.max_wait_s)
            self.figures.ratios.append(took / self._load.ideal(job.load))

    def _lose_host(self) -> None:
        host = self._hosts[ids.HostId(self._faults.lost_host)]
        host.alive = False
        self.figures.counts["killed"] += len(host.jobs)
        self.after(LIST_LAG_S, self._tell_hosts)

    def _tell_hosts(self) -> None:
        live = [host for host in self._hosts.values() if host.alive]
        for host in live:
            others = [each.entry for each in live if each is not host]
            host.policy.update_hosts(others, now=self.now)
            host.turn()


def summary(runs: Sequence[Figures], load: recorded_load.Load) -> str:
    """Returns one line of medians over runs, with their range."""
    means = [statistics.fmean(run.ratios) for run in runs if run.ratios]
    p99s = [_quantile(run.ratios, 0.99) for run in runs if run.ratios]
    totals: Counter[str] = sum((run.counts for run in runs), Counter())
    jobs = len(load.jobs) * len(runs)
    good = statistics.median(run.goodput_tasks for run in runs) / load.end_s
    seconds = load.end_s * len(runs) * len(load.hosts)
    attempts = max(totals["attempts"], 1)
    parts = [
        f"mean={_spread(means)}",
        f"p99={_spread(p99s)}",
        f"waste/job={totals['refused_by_upstream'] / jobs:.4f}",
        f"good_tasks/s={good:.0f}",
        f"peer_msg/s/host={totals['peer'] / seconds:.1f}",
        f"peer_B/s/host={sum(r.peer_bytes for r in runs) / seconds:.0f}",
        f"us/task={sum(r.decide_s for r in runs) / attempts * 1e6:.1f}",
    ]
    hidden = {"peer", "attempts", "refused_by_upstream"}
    parts += [f"{k}={v}" for k, v in sorted(totals.items()) if k not in hidden]
    return " ".join(parts)


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[int(len(values) * share)]


def _spread(values: list[float]) -> str:
    if not values:
        return "none"
    middle = statistics.median(values)
    return f"{middle:.2f}[{min(values):.2f}..{max(values):.2f}]"


def main() -> None:
    """Runs the policies named on the command line."""
    options: dict[str, str] = {}
    names = []
    words = iter(sys.argv[1:])
    for word in words:
        if word.startswith("--"):
            options[word[2:]] = next(words)
        else:
            names.append(word)
    for setting in filter(None, options.pop("set", "").split(",")):
        place, value = setting.split("=")
        module, constant = place.split(".")
        found = importlib.import_module(f"godwitnotch.core.{module}")
        setattr(found, constant, type(getattr(found, constant))(float(value)))
    share = float(options.pop("load", "0.7"))
    seeds = int(options.pop("seeds", "5"))
    seconds = float(options.pop("seconds", "40"))
    sizes = [int(each) for each in options.pop("sizes", "3x3x8").split("x")]
    faults = replace(Faults(), **options)  # type: ignore[arg-type]
    for name in names:
        runs = []
        for seed in range(1, seeds + 1):
            load = recorded_load.record(
                seed,
                share=share,
                seconds=seconds,
                domains=sizes[0],
                hosts_per_domain=sizes[1],
                upstreams_per_domain=sizes[2],
            )
            runs.append(Trial(name, load, faults).run())
        print(f"{name:12} load={share} {summary(runs, load)}", flush=True)


if __name__ == "__main__":
    main()
