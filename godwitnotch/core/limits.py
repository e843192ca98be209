"""Bounds of one host process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostLimits:
    """Bounds of state and time; settings can change each.

    Attributes:
        max_reserve: Ids in one reservation.
        reservation_open_s: How long a reserved id can be submitted under.
        answer_keep_s: How long a final answer is kept for resubmissions.
        max_kept_answers: Final answers kept at once.
        max_kept_bytes: Bytes of results kept at once.
        forward_grace_s: Wait for an owner's answer beyond the job's deadline.
        config_poll_s: Interval of looking for configuration changes.
        store_backoff_s: First pause after a failed store exchange.
        max_store_backoff_s: Longest pause after failed store exchanges.
        key_writes_per_s: Transactions that bind keys, over all linked hosts.
        key_write_burst: Such transactions of one host that need not wait.
        max_known_keys: Bindings of caller keys remembered.
        max_batch_rows: Rows in one transaction.
        outcome_flush_s: How long outcomes gather before they are written.
        outcome_writes_per_s: Transactions that record outcomes, over all
            linked hosts; with many hosts outcomes gather for longer.
        outcome_retention_s: How long recorded outcomes are kept.
        max_outcome_bytes: Results recorded with one outcome; longer results
            are left out of the record.
        max_unwritten_outcomes: Outcomes held while the store is down.
        lookup_cache_s: How long a scan of another host's outcomes is reused.
        missing_host_memory_s: How long a host that vanished without leaving
            is still named to operators.
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
