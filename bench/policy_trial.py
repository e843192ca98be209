"""Simulates the schedulers of several hosts under one load.

Every message takes the same time; nothing else of the network is modelled.
Upstreams refuse tasks for which they have no free slot.

    python -m bench.policy_trial --load 0.7 --seeds 5 uniform credits

The policy `clairvoyant` is an idealised scheduler that knows all run times in
advance. `--sizes DxHxU` gives the number of failure domains, and of hosts and
upstreams in each. `--set MODULE.CONSTANT=VALUE,...` overrides constants of
`godwitnotch.core`.
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

MESSAGE_DELAY_S = 0.001
HOST_LIST_DELAY_S = 1.0
FAIL_FAST_RUN_S = 0.005
CHECK_S = 0.05


@dataclass(frozen=True, slots=True)
class Faults:
    """Simulated faults; all fields but `start` are command-line options.

    Attributes:
        fail_fast: Upstream that fails all its tasks after a short time.
        straggler: Upstream that runs tasks ten times slower.
        lost_host: Host that crashes.
        dead: Upstream that refuses connections.
        start: When the faults start, in seconds from the start of the trial.
    """

    fail_fast: str = ""
    straggler: str = ""
    lost_host: str = ""
    dead: str = ""
    start: float = 10.0


@dataclass(slots=True)
class Figures:
    """Figures of one trial.

    Attributes:
        ratios: Response time over ideal response time of completed jobs that
            arrived after the warm-up.
        counts: Number of events by name.
        completed_task_count: Tasks of completed jobs.
        peer_bytes: Total size of all messages between hosts.
        max_running: Unused.
        policy_cpu_s: CPU time of the policy, in seconds.
    """

    ratios: list[float] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    completed_task_count: int = 0
    peer_bytes: int = 0
    max_running: dict[str, int] = field(default_factory=dict)
    policy_cpu_s: float = 0.0


@dataclass(slots=True)
class _Job:
    load_job: recorded_load.Job
    request: scheduler.JobRequest
    host: "_Host"
    remaining_task_count: int
    retry_count: int = 0


@dataclass(slots=True)
class _Upstream:
    entry: model.UpstreamEntry
    speed: float
    running: int = 0


class _Host:
    """One host with its scheduler and its unanswered jobs."""

    def __init__(self, trial: "Trial", entry: model.HostEntry) -> None:
        self.trial = trial
        self.entry = entry
        self.alive = True
        self.jobs: dict[ids.SubmissionId, _Job] = {}
        self.policy = trial.create_scheduler(entry)
        self._wake_at = math.inf

    def run_policy(self) -> None:
        """Starts the attempts and sends the messages that the policy wants."""
        trial, now = self.trial, self.trial.now
        cpu_started_at = time.thread_time()
        assignments = self.policy.assign(now=now)
        peer_messages = self.policy.peer_messages(now=now)
        wake_at = self.policy.next_deadline()
        trial.figures.policy_cpu_s += time.thread_time() - cpu_started_at
        for assignment in assignments:
            trial.call_later(
                MESSAGE_DELAY_S, trial.start_attempt, self, assignment, now
            )
        for peer_message in peer_messages:
            trial.send_message(self, peer_message)
        if wake_at is not None and wake_at < self._wake_at:
            self._wake_at = max(wake_at, now + 1e-4)
            trial.call_later(self._wake_at - now, self._wake, self._wake_at)

    def _wake(self, at: float) -> None:
        """Runs the policy unless an earlier timer has replaced this one."""
        if self.alive and at == self._wake_at:
            self._wake_at = math.inf
            self.run_policy()


class Trial:
    """Simulation of one policy under one load.

    Args:
        name: Name of the policy.
        load: The load.
        faults: The simulated faults.
    """

    def __init__(
        self, name: str, load: recorded_load.Load, faults: Faults
    ) -> None:
        self.now = 0.0
        self.figures = Figures()
        self._name = name
        self._load = load
        self._faults = faults
        self._rng = random.Random(load.seed)
        self._clairvoyant = clairvoyant.ClairvoyantScheduler(load)
        self._timers: list[tuple[float, int, Callable[..., None], tuple]] = []  # type: ignore[type-arg]
        self._sequence = itertools.count()
        self._upstreams = {
            entry.upstream: _Upstream(entry, load.speeds[entry.upstream])
            for entry in load.upstreams
        }
        self._hosts = {entry.host: _Host(self, entry) for entry in load.hosts}

    def create_scheduler(self, entry: model.HostEntry) -> scheduler.Scheduler:
        """Returns the scheduler of one host."""
        if self._name == "clairvoyant":
            return self._clairvoyant.host_scheduler(entry.host)
        return scheduler.create(
            self._name,
            host=entry.host,
            domain=entry.domain,
            rng=random.Random(self._rng.random()),
        )

    def run(self) -> Figures:
        """Simulates the whole load and returns the figures."""
        self._update_host_lists()
        for host in self._hosts.values():
            host.policy.update_upstreams(self._load.upstreams, now=0.0)
        for job in self._load.jobs:
            self.call_later(job.arrives_at, self._submit, job, 0)
        if self._faults.lost_host:
            self.call_later(self._faults.start, self._crash_host)
        while self._timers:
            self.now, _, callback, args = heapq.heappop(self._timers)
            if self.now > self._load.end_s:
                break
            callback(*args)
            for name in self._clairvoyant.hosts_with_starts():
                self._hosts[name].run_policy()
        return self.figures

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *args: object
    ) -> None:
        """Schedules a callback after a delay of simulated time."""
        entry = (self.now + delay_s, next(self._sequence), callback, args)
        heapq.heappush(self._timers, entry)

    def send_message(
        self, sender: _Host, peer_message: scheduler.PeerMessage
    ) -> None:
        """Sends a message to another host."""
        self.figures.counts["peer"] += 1
        self.figures.peer_bytes += len(
            codec.MESSAGES.encode(peer_message.message)
        )
        self.call_later(
            MESSAGE_DELAY_S, self._receive_message, sender, peer_message
        )

    def start_attempt(
        self,
        host: _Host,
        assignment: scheduler.Assignment,
        attempt_started_at: float,
    ) -> None:
        """Starts an attempt at its upstream and schedules its end."""
        upstream = self._upstreams[assignment.upstream.upstream]
        outcome = model.AttemptOutcome.ANSWERED
        run_s = 0.0
        faults_active = self.now >= self._faults.start
        if faults_active and assignment.upstream.upstream == self._faults.dead:
            outcome = model.AttemptOutcome.CONNECT_REFUSED
        elif upstream.running >= upstream.entry.slots:
            outcome = model.AttemptOutcome.REFUSED_FULL
        elif (
            faults_active
            and assignment.upstream.upstream == self._faults.fail_fast
        ):
            outcome = model.AttemptOutcome.TASK_FAILED
            run_s = FAIL_FAST_RUN_S
        else:
            work_s = self._load.work_s[assignment.submission][
                assignment.task_index
            ]
            run_s = work_s / upstream.speed
            if (
                faults_active
                and assignment.upstream.upstream == self._faults.straggler
            ):
                run_s *= 10
        if run_s:
            upstream.running += 1
            self.call_later(run_s, self._release_slot, upstream)
        else:
            self.figures.counts["refused_by_upstream"] += 1
        self.call_later(
            run_s + MESSAGE_DELAY_S,
            self._handle_attempt_end,
            host,
            assignment,
            outcome,
            attempt_started_at,
        )

    def _release_slot(self, upstream: _Upstream) -> None:
        upstream.running -= 1

    def _receive_message(
        self, sender: _Host, peer_message: scheduler.PeerMessage
    ) -> None:
        host = self._hosts[peer_message.host]
        if host.alive:
            cpu_started_at = time.thread_time()
            host.policy.handle_peer_message(
                sender.entry.host, peer_message.message, now=self.now
            )
            self.figures.policy_cpu_s += time.thread_time() - cpu_started_at
            host.run_policy()

    def _submit(self, load_job: recorded_load.Job, retry_count: int) -> None:
        host = self._hosts[load_job.host]
        if not host.alive:
            self.figures.counts["lost"] += 1
            return
        submission = ids.SubmissionId(f"{load_job.submission}")
        request = scheduler.JobRequest(
            submission,
            load_job.workspace,
            load_job.template,
            load_job.declared_ms,
            self.now + load_job.template.max_wait_s,
        )
        cpu_started_at = time.thread_time()
        refusal = host.policy.admit(request, now=self.now)
        if refusal is None:
            host.policy.enqueue(request, now=self.now)
        self.figures.policy_cpu_s += time.thread_time() - cpu_started_at
        if refusal is not None:
            self._handle_refusal(load_job, refusal, retry_count)
            return
        remaining_task_count = len(load_job.declared_ms)
        host.jobs[submission] = _Job(
            load_job, request, host, remaining_task_count, retry_count
        )
        delay_s = load_job.template.max_wait_s
        self.call_later(delay_s, self._handle_deadline, host, submission)
        host.run_policy()

    def _handle_refusal(
        self,
        load_job: recorded_load.Job,
        refusal: scheduler.Refusal,
        retry_count: int,
    ) -> None:
        """Submits a refused job once more if the host named a delay."""
        self.figures.counts[f"refusal_{refusal.reason.value}"] += 1
        if refusal.retry_after_s is not None and retry_count < 1:
            self.call_later(
                refusal.retry_after_s, self._submit, load_job, retry_count + 1
            )
        else:
            self.figures.counts["given_up"] += 1

    def _handle_deadline(
        self, host: _Host, submission: ids.SubmissionId
    ) -> None:
        """Withdraws a job that was not answered in time."""
        if host.jobs.pop(submission, None) is not None:
            self.figures.counts["late"] += 1
            host.policy.withdraw(submission, now=self.now)
            host.run_policy()

    def _handle_attempt_end(
        self,
        host: _Host,
        assignment: scheduler.Assignment,
        outcome: model.AttemptOutcome,
        attempt_started_at: float,
    ) -> None:
        if not host.alive:
            return
        self.figures.counts["attempts"] += 1
        cpu_started_at = time.thread_time()
        host.policy.attempt_ended(
            assignment, outcome, started_at=attempt_started_at, now=self.now
        )
        self.figures.policy_cpu_s += time.thread_time() - cpu_started_at
        job = host.jobs.get(assignment.submission)
        if job is not None:
            self._update_job(job, assignment, outcome)
        host.run_policy()

    def _update_job(
        self,
        job: _Job,
        assignment: scheduler.Assignment,
        outcome: model.AttemptOutcome,
    ) -> None:
        """Completes, requeues or fails a task after an attempt."""
        policy, submission = job.host.policy, assignment.submission
        if outcome is model.AttemptOutcome.ANSWERED:
            job.remaining_task_count -= 1
            if not job.remaining_task_count:
                del job.host.jobs[submission]
                policy.withdraw(submission, now=self.now)
                self._record_completion(job)
        elif outcome is model.AttemptOutcome.TASK_FAILED or not policy.requeue(
            submission, assignment.task_index, now=self.now
        ):
            del job.host.jobs[submission]
            policy.withdraw(submission, now=self.now)
            self.figures.counts[f"failed_{outcome.value}"] += 1

    def _record_completion(self, job: _Job) -> None:
        self.figures.counts["complete"] += 1
        self.figures.completed_task_count += len(job.load_job.declared_ms)
        if job.load_job.arrives_at >= self._load.warm_up_s:
            response_s = self.now - (
                job.request.deadline - job.load_job.max_wait_s
            )
            self.figures.ratios.append(
                response_s / self._load.ideal_response_s(job.load_job)
            )

    def _crash_host(self) -> None:
        """Crashes the host that the faults name."""
        host = self._hosts[ids.HostId(self._faults.lost_host)]
        host.alive = False
        self.figures.counts["killed"] += len(host.jobs)
        self.call_later(HOST_LIST_DELAY_S, self._update_host_lists)

    def _update_host_lists(self) -> None:
        """Tells each live host which other hosts are live."""
        live = [host for host in self._hosts.values() if host.alive]
        for host in live:
            others = [other.entry for other in live if other is not host]
            host.policy.update_hosts(others, now=self.now)
            host.run_policy()


def summary(runs: Sequence[Figures], load: recorded_load.Load) -> str:
    """Returns one line of figures over all trials of a policy.

    The mean and the 99th percentile of the ratios are each given as the
    median over the trials, with the minimum and maximum.
    """
    mean_ratios = [statistics.fmean(run.ratios) for run in runs if run.ratios]
    p99_ratios = [_quantile(run.ratios, 0.99) for run in runs if run.ratios]
    totals: Counter[str] = sum((run.counts for run in runs), Counter())
    jobs = len(load.jobs) * len(runs)
    completed_tasks_per_s = (
        statistics.median(run.completed_task_count for run in runs) / load.end_s
    )
    host_s = load.end_s * len(runs) * len(load.hosts)
    attempts = max(totals["attempts"], 1)
    parts = [
        f"mean={_spread(mean_ratios)}",
        f"p99={_spread(p99_ratios)}",
        f"waste/job={totals['refused_by_upstream'] / jobs:.4f}",
        f"good_tasks/s={completed_tasks_per_s:.0f}",
        f"peer_msg/s/host={totals['peer'] / host_s:.1f}",
        f"peer_B/s/host={sum(run.peer_bytes for run in runs) / host_s:.0f}",
        f"us/task={sum(run.policy_cpu_s for run in runs) / attempts * 1e6:.1f}",
    ]
    hidden = {"peer", "attempts", "refused_by_upstream"}
    parts += [
        f"{key}={count}"
        for key, count in sorted(totals.items())
        if key not in hidden
    ]
    return " ".join(parts)


def _quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[int(len(values) * fraction)]


def _spread(values: list[float]) -> str:
    """Returns the median and the range of the values."""
    if not values:
        return "none"
    median = statistics.median(values)
    return f"{median:.2f}[{min(values):.2f}..{max(values):.2f}]"


def main() -> None:
    """Simulates the policies that the command line names."""
    options: dict[str, str] = {}
    policies = []
    arguments = iter(sys.argv[1:])
    for argument in arguments:
        if argument.startswith("--"):
            options[argument[2:]] = next(arguments)
        else:
            policies.append(argument)
    for override in filter(None, options.pop("set", "").split(",")):
        path, value = override.split("=")
        module, constant = path.split(".")
        constants_module = importlib.import_module(f"godwitnotch.core.{module}")
        setattr(
            constants_module,
            constant,
            type(getattr(constants_module, constant))(float(value)),
        )
    load_share = float(options.pop("load", "0.7"))
    seeds = int(options.pop("seeds", "5"))
    duration_s = float(options.pop("seconds", "40"))
    sizes = [int(number) for number in options.pop("sizes", "3x3x8").split("x")]
    faults = replace(Faults(), **options)  # type: ignore[arg-type]
    for policy in policies:
        runs = []
        for seed in range(1, seeds + 1):
            load = recorded_load.generate(
                seed,
                load_share=load_share,
                duration_s=duration_s,
                domain_count=sizes[0],
                hosts_per_domain=sizes[1],
                upstreams_per_domain=sizes[2],
            )
            runs.append(Trial(policy, load, faults).run())
        print(
            f"{policy:12} load={load_share} {summary(runs, load)}", flush=True
        )


if __name__ == "__main__":
    main()
