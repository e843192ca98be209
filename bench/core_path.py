"""Measures what the decisions alone cost for each task and job.

Run with `python -m bench.core_path`. One host core is fed jobs whose tasks
are answered at once; no socket, clock or codec takes part.
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

WORKSPACE = core_setup.workspace(0)
TEMPLATE = core_setup.TEMPLATE
UPSTREAM_COUNT = 24
TASKS_PER_JOB = 20
JOB_COUNT = 5_000
SPREAD_RUNS = 5


def main() -> None:
    """Prints the cost for each task and job, with its spread over runs."""
    policy = sys.argv[1] if len(sys.argv) > 1 else "uniform"
    costs_us = []
    for seed in range(SPREAD_RUNS):
        core = core_setup.create(
            policy, seed=seed, upstream_count=UPSTREAM_COUNT
        )
        started = time.process_time()
        _run_jobs(core)
        spent_s = time.process_time() - started
        costs_us.append(1e6 * spent_s / (JOB_COUNT * TASKS_PER_JOB))
    rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(
        f"policy={policy} jobs={JOB_COUNT} tasks_per_job={TASKS_PER_JOB} "
        f"core_us_per_task_median={sorted(costs_us)[SPREAD_RUNS // 2]:.1f} "
        f"min={min(costs_us):.1f} max={max(costs_us):.1f} "
        f"max_rss_mb={rss_mb:.0f}"
    )


def _run_jobs(core: host.HostCore) -> None:
    body = model.JobBody(TEMPLATE, (model.TaskSpec(b"1"),) * TASKS_PER_JOB)
    now = 0.0
    for number in range(JOB_COUNT):
        now += 0.01
        call = ids.CallId(number)
        reserve = events.ReserveAsked(call, WORKSPACE, 1)
        reserved = core.handle(reserve, now=now)
        submission = next(
            each.submissions[0]
            for each in reserved
            if isinstance(each, actions.ReplyReserved)
        )
        submit = events.SubmitAsked(
            call, WORKSPACE, submission, body, now + 10.0
        )
        _answer_all(core, core.handle(submit, now=now), now)


def _answer_all(
    core: host.HostCore, pending: list[actions.Action], now: float
) -> None:
    queue = deque(pending)
    while queue:
        action = queue.popleft()
        if isinstance(action, actions.StartAttempt):
            ended = events.AttemptEnded(
                action.attempt,
                model.AttemptOutcome.ANSWERED,
                b"1",
                action.submission,
                action.task_index,
            )
            queue.extend(core.handle(ended, now=now + 0.005))
        elif isinstance(action, actions.StoreTransact):
            committed = events.StoreCommitted(action.call)
            queue.extend(core.handle(committed, now=now + 0.005))


if __name__ == "__main__":
    main()
