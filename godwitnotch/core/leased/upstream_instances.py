"""Follows which instance of an upstream responds, and which one its entry describes.

A restarted upstream may keep its id and address and be of another kind. Its entry
and its responses come by different ways, so either may be the first of the new
instance.
"""

from godwitnotch.core.leased import actions
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import lease_calls
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import run_listener


class UpstreamInstances:
    """Notes new instances and entries in leases, and logs them.

    Args:
        out: Collects the actions to execute.
        listener: Is told which instances respond.
    """

    def __init__(
        self, out: outbox_module.Outbox, listener: run_listener.RunListener
    ) -> None:
        self._out = out
        self._listener = listener

    def follow(
        self,
        call: lease_calls.PendingCall,
        instance_started_ms: int,
        *,
        now: float,
    ) -> bool:
        """Returns whether a response is from the upstream's newest instance."""
        if call.to_former_address:
            return False
        lease = call.lease
        known_ms = lease.instance_started_ms
        entry_was_current = lease.entry_current
        newest = lease.follow_instance(
            instance_started_ms, sent_at=call.sent_at, now=now
        )
        if newest and known_ms not in (0, lease.instance_started_ms):
            self._out.add_decision(
                "upstream_restarted",
                detail=f"upstream={lease.upstream.upstream}",
            )
            self._listener.upstream_restarted(lease.upstream.upstream)
        if entry_was_current and not lease.entry_current:
            self._await_entry(lease)
        if newest and instance_started_ms:
            self._listener.upstream_seen(
                lease.upstream.upstream,
                instance_started_ms=instance_started_ms,
                now=now,
            )
        return newest

    def update_entry(
        self,
        lease: lease_module.Lease,
        entry: model.LeasedUpstream,
        *,
        now: float,
    ) -> bool:
        """Replaces an entry; returns whether the upstream has moved."""
        former_address = lease.upstream.address
        awaited_since = lease.entry_awaited_since
        lease.update_entry(entry, now=now)
        if awaited_since is not None and lease.entry_current:
            self._out.add_decision(
                "upstream_entry_read",
                detail=f"upstream={entry.upstream} "
                f"waited_ms={(now - awaited_since) * 1_000:.0f}",
            )
        if entry.address == former_address:
            return False
        self._out.add_decision(
            "upstream_moved",
            detail=f"upstream={entry.upstream} from={former_address} "
            f"to={entry.address}",
        )
        return True

    def _await_entry(self, lease: lease_module.Lease) -> None:
        """Reads the list of upstreams, as an entry is of another instance."""
        upstream = lease.upstream
        self._out.add_decision(
            "upstream_entry_awaited",
            detail=f"upstream={upstream.upstream} "
            f"cpu_millis={upstream.capacity.cpu_millis} "
            f"responds={lease.instance_started_ms} "
            f"listed={upstream.instance_started_ms}",
        )
        self._out.add(actions.ReadUpstreams())
