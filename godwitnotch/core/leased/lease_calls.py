"""The leader's calls to upstreams, and which responses are outstanding."""

import enum

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_relays
from godwitnotch.core.leased import outbox as outbox_module

# An upstream responds to a call within this time, plus the wait that a request
# for its list of runs names.
CALL_TIMEOUT_S = 0.15


class CallKind(enum.Enum):
    """What a call asks of the upstream; the values are written to the log."""

    START = "start"
    STOP = "stop"
    LIST_RUNS = "renew"


class PendingCall(msgspec.Struct, frozen=True):
    """A call that has no response yet.

    Attributes:
        kind: What the call asks of the upstream.
        lease: The lease on the upstream.
        sent_at: When the call was sent.
        address: The address that it was sent to.
        term: The leader's term in the call.
        run: The run to start or stop; None for a request for the list of runs,
            or for the stop of a run that the leader doesn't know.
        key: The run to start or stop, also if the leader doesn't know it.
        renewal: How the call may renew the lease; None if it can't.
        relay: The host that sends the call for this leader; empty if none.
    """

    kind: CallKind
    lease: lease_module.Lease
    sent_at: float
    address: str
    term: model.Term
    run: lease_module.Run | None = None
    key: model.RunKey | None = None
    renewal: lease_module.Renewal | None = None
    relay: ids.HostId = order_relays.NO_RELAY

    def detail(self) -> str:
        """Returns the run, the upstream and the kind as key=value pairs."""
        place = (
            f"upstream={self.lease.upstream.upstream} kind={self.kind.value}"
        )
        if self.relay:
            place = f"{place} relay={self.relay}"
        return f"{self.key.pairs()} {place}" if self.key else place

    @property
    def relayed(self) -> bool:
        """Whether another host sends the call for this leader."""
        return self.relay != order_relays.NO_RELAY

    @property
    def to_former_address(self) -> bool:
        """Whether the upstream is listed at another address by now."""
        return self.address != self.lease.upstream.address


class LeaseCalls:
    """Sends calls to upstreams and matches the responses to them.

    Attributes:
        term: The leader's term, sent with every call.

    Args:
        out: Collects the calls to send.
        relays: Chooses the host that sends a call; None if this host sends all.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        relays: order_relays.OrderRelays | None = None,
    ) -> None:
        self.term = model.Term(0)
        self._out = out
        self._relays = relays
        self._calls: dict[model.UpstreamCallId, PendingCall] = {}

    def clear(self) -> None:
        """Forgets all pending calls, so that their responses are ignored."""
        self._calls.clear()

    def get(self, call_id: model.UpstreamCallId) -> PendingCall | None:
        """Returns a pending call; None if it was forgotten."""
        return self._calls.get(call_id)

    def pop(self, call_id: model.UpstreamCallId) -> PendingCall | None:
        """Removes and returns a pending call; None if it was forgotten."""
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.lease.pending_calls -= 1
            if call.kind is CallKind.LIST_RUNS:
                call.lease.pending_list_requests -= 1
        return call

    def start(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        spec: str,
        *,
        now: float,
    ) -> None:
        """Sends the order to start a run, which renews the lease."""
        if self._relays is not None:
            self._relays.count_start(now=now)
        renewal = lease.record_renewal(now=now)
        call, relay = self._register(
            CallKind.START,
            lease,
            run,
            run.key,
            renewal=renewal,
            spec_bytes=len(spec),
            now=now,
        )
        deadline_ms = lease.deadline_ms(now=now)
        self._send(
            relay,
            actions.StartRun(
                call,
                lease.upstream,
                run.key,
                spec,
                self.term,
                deadline_ms,
                lease.instance_started_ms,
            ),
        )

    def stop(
        self,
        lease: lease_module.Lease,
        key: model.RunKey,
        *,
        run: lease_module.Run | None,
        now: float,
    ) -> None:
        """Sends the order to stop a run; `run` is None if it isn't known."""
        call, relay = self._register(CallKind.STOP, lease, run, key, now=now)
        self._send(relay, actions.StopRun(call, lease.upstream, key, self.term))

    def request_runs(
        self,
        lease: lease_module.Lease,
        *,
        deadline_ms: int | None,
        wait_ms: int,
        now: float,
    ) -> None:
        """Requests the list of runs; renews the lease if `deadline_ms` is set.

        Args:
            lease: The lease on the upstream.
            deadline_ms: New end of the lease by the upstream's clock; None
                leaves the lease as it is.
            wait_ms: How long the upstream may wait for a run to end before it
                responds.
            now: The current time.
        """
        renewal = None
        if deadline_ms is not None:
            renewal = lease.record_renewal(now=now)
        call, relay = self._register(
            CallKind.LIST_RUNS,
            lease,
            None,
            None,
            renewal=renewal,
            wait_s=wait_ms / 1_000,
            now=now,
        )
        lease.pending_list_requests += 1
        self._send(
            relay,
            actions.RenewLease(
                call,
                lease.upstream,
                self.term,
                lease.acknowledged_end,
                deadline_ms,
                wait_ms,
                lease.instance_started_ms,
            ),
        )

    def _send(self, relay: ids.HostId, order: actions.Order) -> None:
        """Sends an order, or lets a relay send it."""
        if relay == order_relays.NO_RELAY:
            self._out.add(order)
        else:
            self._out.add(actions.RelayOrder(relay, order))

    def _register(
        self,
        kind: CallKind,
        lease: lease_module.Lease,
        run: lease_module.Run | None,
        key: model.RunKey | None,
        *,
        renewal: lease_module.Renewal | None = None,
        spec_bytes: int = 0,
        wait_s: float = 0.0,
        now: float,
    ) -> tuple[model.UpstreamCallId, ids.HostId]:
        """Records a call; returns its id and the relay that sends it."""
        call_id = self._out.next_call_id()
        relay = order_relays.NO_RELAY
        # A lost relay must not delay a takeover, nor stand for an upstream
        # that didn't respond when its lease had expired. After a failed call,
        # a second relay may fail too, and the lease would lapse meanwhile.
        if (
            self._relays is not None
            and self._relays.active
            and lease.state is lease_module.LeaseState.HELD
            and not lease.failures
            and not lease.expired(now=now)
        ):
            relay = self._relays.open_call(
                call_id,
                lease.upstream,
                spec_bytes=spec_bytes,
                timeout_s=CALL_TIMEOUT_S + wait_s,
                now=now,
            )
        lease.pending_calls += 1
        self._calls[call_id] = PendingCall(
            kind,
            lease,
            sent_at=now,
            address=lease.upstream.address,
            term=self.term,
            run=run,
            key=key,
            renewal=renewal,
            relay=relay,
        )
        return call_id, relay
