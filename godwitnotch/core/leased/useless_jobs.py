"""Answers an overload: jobs whose answers come too late to be of any use.

Their waiting tasks would take room from jobs that can still be of use. Callers
have no use for an answer after three times the target response time.
"""

from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import late_jobs


def is_useless(
    job: jobs.LeasedJob, *, least_slowness: float, now: float
) -> bool:
    """Returns whether the waiting tasks of a job can't end in time for a use.

    A task of a job from an earlier leader may run at an upstream whose list is
    late, so that nothing is known of such a job until its earlier runs are over.

    Args:
        job: A job with waiting tasks.
        least_slowness: Slowness of the fastest upstream; 0 if none accepts runs.
        now: The current time.
    """
    if now < job.earlier_runs_end_by:
        return False
    run_s = job.base_ms * least_slowness / 1_000
    return now + run_s > late_jobs.useful_until(job)
