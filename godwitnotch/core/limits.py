"""Limits of one host process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostLimits:
    """Limits on state and time; each can be changed in the settings.

    Attributes:
        max_reserve: Maximum number of ids in one reservation.
        reservation_open_s: How long a job can be submitted under a reserved
            id.
        answer_keep_s: How long a final answer is kept for resubmissions.
        max_kept_answers: Maximum number of kept answers.
        max_kept_bytes: Maximum total size of the results of kept answers.
        forward_grace_s: How long after the caller's deadline a host still
            waits for the reply of the job's owner.
        config_poll_s: Interval between polls for configuration changes.
        store_backoff_s: Upper bound of the delay after the first failed store
            call; doubles with each further failure.
        max_store_backoff_s: Maximum of this upper bound.
        key_writes_per_s: Rate limit on store calls that bind batches of keys
            or read their rows; shared by all linked hosts.
        key_write_burst: Burst size of this rate limit on one host.
        max_known_keys: Maximum number of cached key bindings.
        max_batch_rows: Maximum number of keys or outcomes in one batch.
        outcome_flush_s: How long outcomes are batched before they are written.
        outcome_writes_per_s: Rate limit on transactions that record outcomes;
            shared by all linked hosts. With many hosts, outcomes are
            batched for longer.
        outcome_retention_s: How long recorded outcomes stay in the store.
        max_outcome_bytes: Maximum size of the results recorded with one
            outcome; larger results are not recorded.
        max_unwritten_outcomes: Maximum number of outcomes that are buffered,
            for example while the store is unavailable.
        lookup_cache_s: How long the result of scanning another host's outcomes
            is cached.
        missing_host_memory_s: How long a host that disappeared without
            announcing that it leaves counts as possibly live. A
            configuration change waits for its confirmation until then, and
            operators see it as lagging.
    """

    max_reserve: int = 1_000
    reservation_open_s: float = 600.0
    answer_keep_s: float = 600.0
    max_kept_answers: int = 50_000
    max_kept_bytes: int = 64 * 1024 * 1024
    forward_grace_s: float = 0.25
    config_poll_s: float = 1.0
    store_backoff_s: float = 0.25
    max_store_backoff_s: float = 5.0
    key_writes_per_s: float = 200.0
    key_write_burst: int = 6
    max_known_keys: int = 100_000
    max_batch_rows: int = 200
    outcome_flush_s: float = 0.2
    outcome_writes_per_s: float = 100.0
    outcome_retention_s: float = 3_600.0
    max_outcome_bytes: int = 16_384
    max_unwritten_outcomes: int = 100_000
    lookup_cache_s: float = 1.0
    missing_host_memory_s: float = 3_600.0
