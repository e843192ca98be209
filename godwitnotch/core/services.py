"""Services that the parts of the host core share."""

import msgspec

from godwitnotch.core import backoff
from godwitnotch.core import limits as limits_module
from godwitnotch.core import outbox
from godwitnotch.core import random_source
from godwitnotch.core import store_calls
from godwitnotch.core import timers as timers_module


class Services(msgspec.Struct, frozen=True):
    """The shared services of one host core.

    Attributes:
        store: Calls to the store.
        timers: Runs callbacks at deadlines.
        out: Collects actions.
        rng: Random numbers for jitter and nonces.
        limits: Limits of the host.
    """

    store: store_calls.StoreCalls
    timers: timers_module.Timers
    out: outbox.Outbox
    rng: random_source.RandomSource
    limits: limits_module.HostLimits

    def store_backoff(self) -> backoff.Backoff:
        """Returns a new backoff for retries of store calls."""
        return backoff.Backoff(
            rng=self.rng,
            initial_s=self.limits.store_backoff_s,
            max_s=self.limits.max_store_backoff_s,
        )
