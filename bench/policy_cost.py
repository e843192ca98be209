"""Measures what the decisions of one host cost, in microseconds a task.

One host at the target's size: it knows all upstreams and hosts, and starts
tasks at a steady rate on the slots that it holds. The others stay silent.

    python -m bench.policy_cost --rate 2500 credits
"""

import argparse
import heapq
import random
import time
from dataclasses import replace

from bench import recorded_load
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import scheduler

DOMAINS = 7
HOSTS_PER_DOMAIN = 7
UPSTREAMS_PER_DOMAIN = 286
TASKS_PER_JOB = 12
STEP_S = 0.001


def main() -> None:
    """Runs the policies named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("policies", nargs="+")
    parser.add_argument("--rate", type=float, default=2_500.0)
    parser.add_argument("--task-s", type=float, default=0.08)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    for name in options.policies:
        tasks, spent = measure(
            name, options.rate, options.task_s, options.seconds
        )
        print(
            f"{name} rate={options.rate:.0f} tasks={tasks} "
            f"us_per_task={spent / tasks * 1e6:.1f}"
        )


def measure(
    name: str, rate: float, task_s: float, seconds: float
) -> tuple[int, float]:
    """Returns the tasks started and the seconds that the decisions took."""
    load = recorded_load.record(
        1,
        share=0.0,
        seconds=0.0,
        domains=DOMAINS,
        hosts_per_domain=HOSTS_PER_DOMAIN,
        upstreams_per_domain=UPSTREAMS_PER_DOMAIN,
    )
    own, *others = load.hosts
    draw = random.Random(1)
    policy = scheduler.create(name, host=own.host, domain=own.domain, rng=draw)
    policy.update_hosts(others, now=0.0)
    policy.update_upstreams(load.upstreams, now=0.0)
    config = model.WorkspaceConfig(ids.WorkspaceId("team"), 1)
    config = replace(config, max_running_tasks=1_000_000)
    template = model.Template(ids.TemplateName("check"), "/run")
    running: list[tuple[float, int, scheduler.Assignment, float]] = []
    now, spent, started, submitted = 1.0, 0.0, 0, 0
    while now < 1.0 + seconds:
        now += STEP_S
        while submitted < (now - 1.0) * rate:
            declared = tuple(
                draw.lognormvariate(4, 1) for _ in range(TASKS_PER_JOB)
            )
            job = scheduler.JobRequest(
                ids.SubmissionId(f"s{submitted}"),
                config,
                template,
                declared,
                now + 30.0,
            )
            began = time.thread_time()
            if policy.admit(job, now=now) is None:
                policy.enqueue(job, now=now)
            spent += time.thread_time() - began
            submitted += TASKS_PER_JOB
            spent += _turn(policy, running, draw, task_s, now)
        while running and running[0][0] <= now:
            _, _, ended, began_at = heapq.heappop(running)
            began = time.thread_time()
            policy.attempt_ended(
                ended,
                model.AttemptOutcome.ANSWERED,
                started_at=began_at,
                now=now,
            )
            spent += time.thread_time() - began
            started += 1
            spent += _turn(policy, running, draw, task_s, now)
    return started, spent


def _turn(
    policy: scheduler.Scheduler,
    running: list[tuple[float, int, scheduler.Assignment, float]],
    draw: random.Random,
    task_s: float,
    now: float,
) -> float:
    began = time.thread_time()
    starts = policy.assign(now=now)
    policy.peer_messages(now=now)
    policy.next_deadline()
    spent = time.thread_time() - began
    for start in starts:
        ends = now + task_s * draw.lognormvariate(0, 0.5)
        heapq.heappush(running, (ends, id(start), start, now))
    return spent


if __name__ == "__main__":
    main()
