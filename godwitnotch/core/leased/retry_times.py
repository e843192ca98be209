"""Answers refusals in a burst: times to come back that differ by caller.

Callers refused together and told the same time return together. The time is
drawn from the job's name, so that it needs no random numbers and a job that is
refused twice is told the same.
"""

import zlib

# Callers return within this time after the backlog has drained. The header has
# whole seconds, so that a shorter spread tells all callers the same.
SPREAD_S = 4.0
MAX_RETRY_AFTER_S = 9.0

_HASH_RANGE = 2**32


def spread(retry_after_s: float, job_name: str) -> float:
    """Returns when the caller of a job should come back.

    Args:
        retry_after_s: When the first callers should.
        job_name: Name of the job.
    """
    share = zlib.crc32(job_name.encode(errors="replace")) / _HASH_RANGE
    return min(MAX_RETRY_AFTER_S, retry_after_s + SPREAD_S * share)
