"""Measures the CPU time of one host's scheduling decisions, per task.

The host knows all hosts and upstreams of a deployment of the size that the
project targets. It starts tasks at a steady rate on the slots that it holds;
the other hosts send no messages.

    python -m bench.policy_cost --rate 2500 credits
"""

import argparse
import heapq
import random
import time

import msgspec

from bench import recorded_load
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import scheduler

DOMAIN_COUNT = 7
HOSTS_PER_DOMAIN = 7
UPSTREAMS_PER_DOMAIN = 286
TASKS_PER_JOB = 12
TIME_STEP_S = 0.001


def main() -> None:
    """Measures the policies that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("policies", nargs="+")
    parser.add_argument("--rate", type=float, default=2_500.0)
    parser.add_argument("--task-s", type=float, default=0.08)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    for policy in options.policies:
        task_count, policy_cpu_s = measure(
            policy, options.rate, options.task_s, options.seconds
        )
        print(
            f"{policy} rate={options.rate:.0f} tasks={task_count} "
            f"us_per_task={policy_cpu_s / task_count * 1e6:.1f}"
        )


def measure(
    name: str, task_rate_per_s: float, task_s: float, duration_s: float
) -> tuple[int, float]:
    """Measures one policy on a virtual clock.

    Args:
        name: Name of the policy.
        task_rate_per_s: Number of tasks that are submitted per second.
        task_s: Median run time of a task, in seconds.
        duration_s: Simulated time in seconds.

    Returns:
        The number of ended tasks, and the CPU time of the policy in seconds.
    """
    load = recorded_load.generate(
        1,
        load_share=0.0,
        duration_s=0.0,
        domain_count=DOMAIN_COUNT,
        hosts_per_domain=HOSTS_PER_DOMAIN,
        upstreams_per_domain=UPSTREAMS_PER_DOMAIN,
    )
    own, *others = load.hosts
    rng = random.Random(1)
    policy = scheduler.create(name, host=own.host, domain=own.domain, rng=rng)
    policy.update_hosts(others, now=0.0)
    policy.update_upstreams(load.upstreams, now=0.0)
    workspace = model.WorkspaceConfig(ids.WorkspaceId("team"), 1)
    workspace = msgspec.structs.replace(workspace, max_running_tasks=1_000_000)
    template = model.Template(ids.TemplateName("check"), "/run")
    running: list[tuple[float, int, scheduler.Assignment, float]] = []
    now, policy_cpu_s, ended_count, submitted_count = 1.0, 0.0, 0, 0
    while now < 1.0 + duration_s:
        now += TIME_STEP_S
        while submitted_count < (now - 1.0) * task_rate_per_s:
            declared_ms = tuple(
                rng.lognormvariate(4, 1) for _ in range(TASKS_PER_JOB)
            )
            job = scheduler.JobRequest(
                ids.SubmissionId(f"s{submitted_count}"),
                workspace,
                template,
                declared_ms,
                now + 30.0,
            )
            cpu_started_at = time.thread_time()
            if policy.admit(job, now=now) is None:
                policy.enqueue(job, now=now)
            policy_cpu_s += time.thread_time() - cpu_started_at
            submitted_count += TASKS_PER_JOB
            policy_cpu_s += _run_policy(policy, running, rng, task_s, now)
        while running and running[0][0] <= now:
            _, _, assignment, attempt_started_at = heapq.heappop(running)
            cpu_started_at = time.thread_time()
            policy.attempt_ended(
                assignment,
                model.AttemptOutcome.ANSWERED,
                started_at=attempt_started_at,
                now=now,
            )
            policy_cpu_s += time.thread_time() - cpu_started_at
            ended_count += 1
            policy_cpu_s += _run_policy(policy, running, rng, task_s, now)
    return ended_count, policy_cpu_s


def _run_policy(
    policy: scheduler.Scheduler,
    running: list[tuple[float, int, scheduler.Assignment, float]],
    rng: random.Random,
    task_s: float,
    now: float,
) -> float:
    """Starts tasks and returns the CPU time of the policy in seconds."""
    cpu_started_at = time.thread_time()
    assignments = policy.assign(now=now)
    policy.peer_messages(now=now)
    policy.next_deadline()
    policy_cpu_s = time.thread_time() - cpu_started_at
    for assignment in assignments:
        ends_at = now + task_s * rng.lognormvariate(0, 0.5)
        heapq.heappush(running, (ends_at, id(assignment), assignment, now))
    return policy_cpu_s


if __name__ == "__main__":
    main()
