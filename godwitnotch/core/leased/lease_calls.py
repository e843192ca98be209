"""The leader's calls to upstreams, from the order to its answer."""

import enum
from dataclasses import dataclass

from godwitnotch.core.leased import actions
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module


class CallKind(enum.Enum):
    """What was ordered."""

    START = "start"
    STOP = "stop"
    RENEW = "renew"


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call whose answer has not come.

    Attributes:
        kind: What was ordered.
        lease: The lease on the upstream.
        sent_at: When.
        run: The run that it is about, if any.
    """

    kind: CallKind
    lease: lease_module.Lease
    sent_at: float
    run: lease_module.Run | None = None


class LeaseCalls:
    """Sends orders and remembers what their answers are about.

    Attributes:
        term: The term that all orders carry.

    Args:
        out: Takes the orders.
    """

    def __init__(self, out: outbox_module.Outbox) -> None:
        self.term = model.Term(0)
        self._out = out
        self._calls: dict[model.UpstreamCallId, PendingCall] = {}

    def clear(self) -> None:
        """Forgets all calls; their answers are of no use."""
        self._calls.clear()

    def pop(self, call_id: model.UpstreamCallId) -> PendingCall | None:
        """Returns what an answer is about, None if that was forgotten."""
        call = self._calls.pop(call_id, None)
        if call is not None and call.kind is CallKind.RENEW:
            call.lease.pending_renewals -= 1
        return call

    def start(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        spec: str,
        *,
        now: float,
    ) -> None:
        """Orders a run."""
        call = self._register(PendingCall(CallKind.START, lease, now, run))
        deadline_ms = lease.deadline_ms(now=now)
        self._out.add(
            actions.StartRun(
                call, lease.upstream, run.key, spec, self.term, deadline_ms
            )
        )

    def stop(
        self,
        lease: lease_module.Lease,
        key: model.RunKey,
        *,
        run: lease_module.Run | None,
        now: float,
    ) -> None:
        """Orders the end of a run, of one not known if `run` is None."""
        call = self._register(PendingCall(CallKind.STOP, lease, now, run))
        self._out.add(actions.StopRun(call, lease.upstream, key, self.term))

    def renew(
        self,
        lease: lease_module.Lease,
        *,
        deadline_ms: int | None,
        wait_ms: int,
        now: float,
    ) -> None:
        """Asks what runs, and renews the lease unless there is no deadline."""
        call = self._register(PendingCall(CallKind.RENEW, lease, now))
        lease.pending_renewals += 1
        self._out.add(
            actions.RenewLease(
                call,
                lease.upstream,
                self.term,
                lease.acknowledged_end,
                deadline_ms,
                wait_ms,
            )
        )

    def _register(self, call: PendingCall) -> model.UpstreamCallId:
        call_id = self._out.next_call()
        self._calls[call_id] = call
        return call_id
