"""Measures the CPU time per task of the host core.

Run with `python -m bench.core_path [POLICY]`. One host core receives jobs, and
each task is answered right after its start. No sockets, real clock or message
encoding are involved.
"""

import resource
import sys
import time
from collections import deque

from bench import core_setup
from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import host
from godwitnotch.core import ids
from godwitnotch.core import model

WORKSPACE = core_setup.workspace_id(0)
TEMPLATE = core_setup.TEMPLATE
UPSTREAM_COUNT = 24
TASKS_PER_JOB = 20
JOB_COUNT = 5_000
RUN_COUNT = 5


def main() -> None:
    """Prints the CPU time per task over several runs, and the peak memory."""
    policy = sys.argv[1] if len(sys.argv) > 1 else "uniform"
    task_costs_us = []
    for seed in range(RUN_COUNT):
        core = core_setup.create_core(
            policy, seed=seed, upstream_count=UPSTREAM_COUNT
        )
        started_at = time.process_time()
        _run_jobs(core)
        cpu_s = time.process_time() - started_at
        task_costs_us.append(1e6 * cpu_s / (JOB_COUNT * TASKS_PER_JOB))
    rss_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(
        f"policy={policy} jobs={JOB_COUNT} tasks_per_job={TASKS_PER_JOB} "
        f"core_us_per_task_median={sorted(task_costs_us)[RUN_COUNT // 2]:.1f} "
        f"min={min(task_costs_us):.1f} max={max(task_costs_us):.1f} "
        f"max_rss_mb={rss_mib:.0f}"
    )


def _run_jobs(core: host.HostCore) -> None:
    """Submits all jobs and answers their tasks at once."""
    body = model.JobBody(TEMPLATE, (model.TaskSpec(b"1"),) * TASKS_PER_JOB)
    now = 0.0
    for number in range(JOB_COUNT):
        now += 0.01
        call = ids.CallId(number)
        reserve_request = events.ReserveAsked(call, WORKSPACE, 1)
        reserve_actions = core.handle(reserve_request, now=now)
        submission = next(
            action.submissions[0]
            for action in reserve_actions
            if isinstance(action, actions.ReplyReserved)
        )
        submit_request = events.SubmitAsked(
            call, WORKSPACE, submission, body, now + 10.0
        )
        _complete_attempts(core, core.handle(submit_request, now=now), now)


def _complete_attempts(
    core: host.HostCore, first_actions: list[actions.Action], now: float
) -> None:
    """Answers every attempt and store write until none is left."""
    pending = deque(first_actions)
    while pending:
        action = pending.popleft()
        if isinstance(action, actions.StartAttempt):
            ended = events.AttemptEnded(
                action.attempt,
                model.AttemptOutcome.ANSWERED,
                b"1",
                action.submission,
                action.task_index,
            )
            pending.extend(core.handle(ended, now=now + 0.005))
        elif isinstance(action, actions.StoreTransact):
            committed = events.StoreCommitted(action.call)
            pending.extend(core.handle(committed, now=now + 0.005))


if __name__ == "__main__":
    main()
