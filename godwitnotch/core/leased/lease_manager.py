"""Manages the leases on upstreams while this host leads.

The leader first requests an upstream's list of runs with its own term. From
then on the upstream rejects orders of earlier leaders; the request renews no
lease. An owner claims the runs of a job by handing the job over. The leader
stops the runs that no owner claims, and only after that renews the lease and
starts runs.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from godwitnotch.core import ids
from godwitnotch.core.leased import events
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import lease_calls
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_relays
from godwitnotch.core.leased import order_results
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import reconciliation
from godwitnotch.core.leased import run_index
from godwitnotch.core.leased import run_listener
from godwitnotch.core.leased import run_lists
from godwitnotch.core.leased import upstream_instances
from godwitnotch.core.leased.lease import LeaseEvent
from godwitnotch.core.leased.lease import LeaseState
from godwitnotch.core.leased.lease import RunState
from godwitnotch.core.leased.lease_calls import CallKind

# An idle upstream is asked this often. An older reading of its clock shortens the
# lease of the next start by 2% of its age, or 4% on a clock that is 2% fast.
IDLE_LIST_INTERVAL_S = 15.0
STOP_RETRY_INTERVAL_S = 0.15
# An upstream that has responded within this time counts as reachable.
RECENT_RESPONSE_S = 1.0


class LeaseManager:
    """The leases of one leader.

    Args:
        out: Collects the actions to execute.
        listener: Finds the jobs of runs and handles changes of runs.
        in_scope: Returns whether this host may hold a lease on an upstream.
        relays: Chooses the hosts that send calls; None if this host sends all.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        listener: run_listener.RunListener,
        *,
        in_scope: Callable[[model.LeasedUpstream], bool],
        relays: order_relays.OrderRelays | None = None,
    ) -> None:
        self._out = out
        self._listener = listener
        self._in_scope = in_scope
        self._calls = lease_calls.LeaseCalls(out, relays)
        self._leases: dict[ids.UpstreamId, lease_module.Lease] = {}
        self._runs = run_index.RunIndex()
        self._reconciliation = reconciliation.Reconciliation(
            out,
            listener,
            self._runs,
            stop_run=self.stop_run,
            record_end=self._record_end,
        )
        self._instances = upstream_instances.UpstreamInstances(out, listener)
        self._last_tick_at = 0.0
        self._tick_gap_s = 0.0

    @property
    def leases(self) -> Mapping[ids.UpstreamId, lease_module.Lease]:
        """All leases by upstream, in any state."""
        return self._leases

    @property
    def term(self) -> model.Term:
        """The term that is sent with every call."""
        return self._calls.term

    @property
    def held_count(self) -> int:
        """How many leases are held."""
        return sum(
            lease.state is LeaseState.HELD for lease in self._leases.values()
        )

    def holds_any(self) -> bool:
        """Returns whether any lease is held."""
        return any(
            lease.state is LeaseState.HELD for lease in self._leases.values()
        )

    def all_runs_known(self) -> bool:
        """Returns whether every known upstream has sent its list of runs."""
        return all(
            lease.state in (LeaseState.RECONCILING, LeaseState.HELD)
            for lease in self._leases.values()
        )

    def awaits_first_lists(self) -> bool:
        """Returns whether reachable upstreams have yet to send their list."""
        return any(
            lease.state in (LeaseState.AWAITING_LIST, LeaseState.RECONCILING)
            and not lease.failures
            for lease in self._leases.values()
        )

    def has_run(self, task: model.TaskKey) -> bool:
        """Returns whether a run of a task may be active or is being stopped."""
        return task in self._runs

    def start_leading(
        self,
        term: model.Term,
        upstreams: Iterable[model.LeasedUpstream],
        *,
        now: float,
    ) -> None:
        """Starts to lead, and requests the lists of runs of all upstreams."""
        self.stop_leading()
        self._calls.term = term
        self._last_tick_at = now
        self._reconciliation.start_claim_period()
        for upstream in upstreams:
            self._leases[upstream.upstream] = lease_module.Lease(upstream)
        self._maintain_all(now=now)

    def stop_leading(self) -> None:
        """Forgets all leases; upstreams end the runs when a lease expires."""
        self._leases.clear()
        self._runs.clear()
        self._reconciliation.clear()
        self._calls.clear()

    def raise_term(self, term: model.Term, *, now: float) -> None:
        """Sends a higher term with all calls; requests all lists of runs again.

        A leader with a term between both may have started runs at an upstream
        since that sent its list.
        """
        self._calls.term = term
        self._reconciliation.start_claim_period()
        for lease in self._leases.values():
            if lease.state is not LeaseState.UNHELD:
                lease.transition(LeaseEvent.LIST_REQUESTED)
                self._request_runs(lease, now=now, wait_ms=0)

    def start_claim_period(self) -> None:
        """Keeps unclaimed runs until the owners have handed over their jobs."""
        self._reconciliation.start_claim_period()

    def end_claim_period(self, *, now: float) -> None:
        """Stops the runs that no owner has claimed."""
        leases = tuple(self._leases.values())
        self._reconciliation.end_claim_period(leases, self.term, now=now)

    def adopt_runs(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Assigns unclaimed runs to a job that an owner has handed over."""
        self._reconciliation.adopt_runs(job, now=now)

    def update_upstreams(
        self, upstreams: Iterable[model.LeasedUpstream], *, now: float
    ) -> None:
        """Applies a newer list of upstreams."""
        listed = {new_entry.upstream: new_entry for new_entry in upstreams}
        for upstream, lease in tuple(self._leases.items()):
            if upstream in listed:
                continue
            lease.listed = False
            if lease.unused:
                del self._leases[upstream]
        for upstream, entry in listed.items():
            known = self._leases.get(upstream)
            if known is None:
                self._leases[upstream] = lease_module.Lease(entry)
            elif known.upstream != entry or not known.listed:
                self._update_entry(known, entry, now=now)
            if known is not None and not known.entry_current:
                # The instance that the entry describes may respond by now.
                self._request_runs_if_idle(known, now=now)
        self._maintain_all(now=now)

    def start_run(
        self,
        lease: lease_module.Lease,
        job: jobs.LeasedJob,
        key: model.RunKey,
        *,
        expected_s: float,
        alone: bool = False,
        now: float,
    ) -> None:
        """Orders the start of a run, which others may join unless `alone`."""
        run = lease_module.Run(
            key,
            job,
            job.request.tasks.needs,
            RunState.ORDERED,
            ordered_at=now,
            expected_s=expected_s,
            start_expires_at=now + lease_module.MAX_LEASE_DURATION_S,
            alone=alone,
        )
        self._runs.add(lease, run)
        self._calls.start(lease, run, job.request.spec, now=now)

    def stop_run(
        self, lease: lease_module.Lease, run: lease_module.Run, *, now: float
    ) -> None:
        """Orders a run to stop; its resources stay reserved until it ends."""
        if run.state is not RunState.STOPPING:  # Else it is repeated.
            self._out.add_decision(
                "stop_ordered",
                job=run.key.task.job,
                detail=f"{run.key.pairs()} upstream={lease.upstream.upstream}",
            )
        lease.stopping.add(run.key.task)
        run.state = RunState.STOPPING
        run.confirmed_at = None
        run.next_stop_at = now + STOP_RETRY_INTERVAL_S
        self._calls.stop(lease, run.key, run=run, now=now)

    def stop_job(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Orders all runs of a job to stop."""
        for task in job.tasks:
            for upstream, run in self._runs.of_task(task.key):
                if run.job is job and run.state is not RunState.STOPPING:
                    self.stop_run(self._leases[upstream], run, now=now)

    def tick(self, *, now: float) -> None:
        """Handles expired leases; repeats stop orders and list requests."""
        self._reconciliation.forget_expired(now=now)
        self._tick_gap_s = now - self._last_tick_at
        self._last_tick_at = now
        for upstream, lease in tuple(self._leases.items()):
            if lease.unused:
                del self._leases[upstream]
                continue
            if lease.expired(now=now) and not lease.asked_since_expiry():
                # The wait lets a slow response arrive before the timeout.
                self._request_runs(
                    lease, now=now, wait_ms=lease_module.MAX_LIST_WAIT_MS
                )
            if lease.stopping:
                self._retry_stops(lease, now=now)
            if (
                lease.state is LeaseState.UNHELD
                or not lease.pending_list_requests
            ):
                self._maintain(lease, now=now)

    def call_ended(
        self, result: order_results.OrderResult, *, now: float
    ) -> None:
        """Handles the result of a call, whichever host has sent it."""
        match result:
            case order_results.OrderTaken():
                self.order_taken(result, now=now)
            case order_results.OrderRejected():
                self.order_rejected(result, now=now)
            case order_results.OrderUnanswered():
                self.order_unanswered(result, now=now)
            case order_results.RunsListed():
                self.runs_listed(result, now=now)

    def order_taken(self, event: events.OrderTaken, *, now: float) -> None:
        """Handles the response to an order to start or stop a run."""
        call = self._calls.pop(event.call)
        if call is None or call.run is None:
            return
        lease, run = call.lease, call.run
        if self._instances.follow(call, event.instance_started_ms, now=now):
            lease.record_response(event.clock_ms, now=now)
        if lease.runs.get(run.key.task) is not run:
            if call.kind is CallKind.START:
                self._calls.stop(lease, run.key, run=None, now=now)
            return
        if call.kind is CallKind.STOP or run.state is not RunState.STOPPING:
            run.confirmed_at = now
        if run.state is RunState.ORDERED:
            run.state = RunState.RUNNING
            run.ordered_at = now
        if call.kind is CallKind.STOP:
            self._request_runs(lease, now=now, wait_ms=0)
        elif not lease.pending_list_requests:
            self._request_runs(
                lease, now=now, wait_ms=lease.list_wait_ms(now=now)
            )

    def order_rejected(
        self, event: events.OrderRejected, *, now: float
    ) -> None:
        """Handles the rejection of an order or a request for a list of runs."""
        call = self._calls.pop(event.call)
        if call is None:
            return
        lease, run = call.lease, call.run
        rejection = event.rejection
        self._out.add_decision(
            "order_rejected",
            job=call.key.task.job if call.key else "",
            reason=rejection.value,
            detail=call.detail(),
        )
        if (
            rejection is model.OrderRejection.NOT_SENT
            and call.renewal is not None
        ):
            lease.withdraw_renewal(call.renewal)
        if call.kind is CallKind.START and run is not None:
            self._start_rejected(lease, run, rejection, now=now)
        if not call.to_former_address:
            self._handle_rejection(call, rejection, now=now)

    def _handle_rejection(
        self,
        call: lease_calls.PendingCall,
        rejection: model.OrderRejection,
        *,
        now: float,
    ) -> None:
        """Handles what a rejection tells about the upstream and the lease."""
        lease = call.lease
        if rejection is model.OrderRejection.TERM:
            # An upstream that has not responded lately may have been in a
            # partition with another leader. Once this host and that leader are
            # linked, the one with the lower term steps down.
            reached = now - lease.responded_at <= RECENT_RESPONSE_S
            was_held = reached and lease.state is LeaseState.HELD
            was_held = was_held or not self.holds_any()
            lease.lose(now=now)
            self._listener.higher_term_seen(lease, was_held=was_held, now=now)
        elif rejection is model.OrderRejection.OTHER_INSTANCE:
            self._leave_address(lease, now=now)
            lease.replaced = True
            self._listener.upstream_seen(
                lease.upstream.upstream, instance_started_ms=None, now=now
            )
        elif rejection in (
            model.OrderRejection.LATE,
            model.OrderRejection.RESTARTED,
        ):
            self._request_runs(lease, now=now, wait_ms=0)
        elif (
            call.kind is CallKind.LIST_RUNS
            or rejection is model.OrderRejection.NOT_SENT
        ):
            not_sent = rejection is model.OrderRejection.NOT_SENT
            lease.call_failed(now=now, relayed=call.relayed and not_sent)
        if call.kind is CallKind.LIST_RUNS:
            self._expire_if_asked(call, now=now)

    def order_unanswered(
        self, event: events.OrderUnanswered, *, now: float
    ) -> None:
        """Handles a missing response: the order may or may not be executed."""
        call = self._calls.pop(event.call)
        if call is None:
            return
        lease, run = call.lease, call.run
        self._out.add_decision(
            "order_unanswered",
            job=call.key.task.job if call.key else "",
            detail=f"{call.detail()} cause={event.failure.value}",
        )
        if event.failure.not_sent and call.renewal is not None:
            lease.withdraw_renewal(call.renewal)
        if not call.to_former_address:
            if event.failure is model.CallFailure.REFUSED and not call.relayed:
                lease.refused = True
            lease.call_failed(now=now, relayed=call.relayed)
            if call.kind is CallKind.LIST_RUNS and not call.relayed:
                self._expire_if_asked(call, now=now)
        if run is None or call.kind is not CallKind.START:
            return
        if lease.runs.get(run.key.task) is run:
            self.stop_run(lease, run, now=now)
        else:
            self._calls.stop(lease, run.key, run=None, now=now)

    def runs_listed(self, event: events.RunsListed, *, now: float) -> None:
        """Handles an upstream's list of runs, which this host has requested."""
        call = self._calls.get(event.call)
        if call is None:
            return
        lease = call.lease
        run_list = event.runs
        odd_end = run_lists.implausible_end(lease, run_list)
        if odd_end is not None:
            self._out.add_decision(
                "run_list_implausible",
                detail=f"upstream={lease.upstream.upstream} end={odd_end} "
                f"acknowledged={lease.acknowledged_end}",
            )
            unreadable = model.CallFailure.UNREADABLE
            self.order_unanswered(
                events.OrderUnanswered(event.call, unreadable), now=now
            )
            return
        self._calls.pop(event.call)
        if not self._instances.follow(
            call, run_list.instance_started_ms, now=now
        ):
            return
        lease.record_response(run_list.clock_ms, now=now)
        sent_in_this_term = call.term == self._calls.term
        if lease.state is LeaseState.AWAITING_LIST and sent_in_this_term:
            self._reconciliation.first_list_received(lease, run_list, now=now)
        self._record_newly_ended(lease, run_list, call.sent_at, now=now)
        self._stop_unknown(lease, run_list, now=now)
        if lease.expired(now=now):
            # The other runs are not known to have ended.
            lease.record_renewal(now=now)
        if lease.state is LeaseState.RECONCILING:
            self._reconciliation.reconcile(lease, self.term, now=now)
        self._maintain(lease, now=now)

    def _update_entry(
        self,
        lease: lease_module.Lease,
        entry: model.LeasedUpstream,
        *,
        now: float,
    ) -> None:
        if self._instances.update_entry(lease, entry, now=now):
            self._leave_address(lease, now=now)
            lease.next_list_request_at = now

    def _maintain_all(self, *, now: float) -> None:
        for lease in tuple(self._leases.values()):
            self._maintain(lease, now=now)

    def _maintain(self, lease: lease_module.Lease, *, now: float) -> None:
        """Requests the list of runs of one upstream if a request is due."""
        if lease.state is LeaseState.UNHELD or (
            lease.state is LeaseState.AWAITING_LIST
            and not lease.pending_list_requests
        ):
            wanted = lease.listed and self._in_scope(lease.upstream)
            if wanted and now >= lease.next_list_request_at:
                lease.transition(LeaseEvent.LIST_REQUESTED)
                self._request_runs(lease, now=now, wait_ms=0)
        elif lease.state is LeaseState.RECONCILING:
            if (
                lease.runs
                and now >= lease.next_list_request_at
                and not lease.pending_list_requests
            ):
                lease.next_list_request_at = (
                    now + lease_module.BASE_LIST_RETRY_DELAY_S
                )
                self._request_runs(lease, now=now, wait_ms=0)
        elif lease.state is LeaseState.HELD:
            due = (
                lease.runs
                or lease.failures
                or now - lease.responded_at >= IDLE_LIST_INTERVAL_S
            )
            if (
                due
                and not lease.pending_list_requests
                and now >= lease.next_list_request_at
            ):
                self._request_runs(
                    lease, now=now, wait_ms=lease.list_wait_ms(now=now)
                )

    def _request_runs_if_idle(
        self, lease: lease_module.Lease, *, now: float
    ) -> None:
        """Requests the list of a held lease unless a request is under way."""
        if lease.state is LeaseState.HELD and not lease.pending_list_requests:
            self._request_runs(lease, now=now, wait_ms=0)

    def _request_runs(
        self, lease: lease_module.Lease, *, now: float, wait_ms: int
    ) -> None:
        """Requests the list of runs; renews a held lease that has runs.

        A request after the lease has expired asks what became of the runs, and
        doesn't renew the lease.
        """
        deadline_ms = None
        lease.last_list_request_at = now
        if (
            lease.state is LeaseState.HELD
            and lease.runs
            and not lease.expired(now=now)
        ):
            deadline_ms = lease.deadline_ms(now=now)
        self._calls.request_runs(
            lease, deadline_ms=deadline_ms, wait_ms=wait_ms, now=now
        )

    def _record_newly_ended(
        self,
        lease: lease_module.Lease,
        run_list: model.RunList,
        requested_at: float,
        *,
        now: float,
    ) -> None:
        """Records the runs that have ended according to an upstream's list."""
        for ended in run_lists.newly_ended(lease, run_list):
            run = lease.runs.get(ended.key.task)
            claimed = False
            if run is not None and run.key == ended.key:
                claimed = run.job is not None
                self._record_end(lease, run, ended.end, now=now)
            if claimed:
                continue
            if ended.end is model.RunEnd.DONE:
                self._reconciliation.record_done(ended.key, now=now)
            elif ended.end is model.RunEnd.FAILED:
                self._listener.unclaimed_run_failed(
                    ended.key, lease.upstream.upstream, now=now
                )
        for run in run_lists.missing_runs(
            lease, run_list, requested_at=requested_at
        ):
            started_before = run.ordered_at < lease.instance_changed_at
            end = model.RunEnd.MISSING
            if started_before:
                end = model.RunEnd.CRASHED
            self._record_end(lease, run, end, now=now)

    def _record_end(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        end: model.RunEnd,
        *,
        now: float,
    ) -> None:
        """Removes a run that has ended and informs the listener."""
        self._runs.remove(lease, run)
        self._listener.run_ended(lease, run, end, now=now)

    def _stop_unknown(
        self, lease: lease_module.Lease, run_list: model.RunList, *, now: float
    ) -> None:
        """Stops runs that started after the leader had recorded their end.

        They stay recorded until they have ended. That isn't possible beside
        another run of the same task at the same upstream.
        """
        if lease.state is not LeaseState.HELD:
            return
        for key in run_lists.unknown_runs(lease, run_list):
            self._out.add_decision(
                "run_unknown",
                job=key.task.job,
                detail=f"{key.pairs()} upstream={lease.upstream.upstream}",
            )
            if key.task in lease.runs:
                self._calls.stop(lease, key, run=None, now=now)
                continue
            found = self._reconciliation.add_found(lease, key, now=now)
            self.stop_run(lease, found, now=now)

    def _retry_stops(self, lease: lease_module.Lease, *, now: float) -> None:
        for run in tuple(lease.runs.values()):
            unconfirmed = run.confirmed_at is None
            if (
                run.state is RunState.STOPPING
                and unconfirmed
                and now >= run.next_stop_at
            ):
                self.stop_run(lease, run, now=now)

    def _start_rejected(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        rejection: model.OrderRejection,
        *,
        now: float,
    ) -> None:
        if lease.runs.get(run.key.task) is run:
            self._runs.remove(lease, run)
            self._listener.order_rejected(lease, run, rejection, now=now)

    def _expire_if_asked(
        self, call: lease_calls.PendingCall, *, now: float
    ) -> None:
        """Expires a lease if the upstream was asked since and sent no list."""
        lease = call.lease
        if self._leases.get(lease.upstream.upstream) is not lease:
            return
        if lease.expired(now=now) and call.sent_at >= lease.expires_at:
            self._expire(lease, now=now)

    def _expire(self, lease: lease_module.Lease, *, now: float) -> None:
        """Records all runs of an expired lease as ended."""
        self._out.add_decision(
            "lease_lapsed",
            detail=f"{lease.expiry_pairs(now=now)} "
            f"tick_gap_ms={self._tick_gap_s * 1_000:.0f} term={self.term}",
        )
        lease.lose(now=now)
        end = model.RunEnd.LEASE_EXPIRED
        if lease.replaced:
            end = model.RunEnd.CRASHED
        self._record_all_ended(lease, end, now=now)

    def _leave_address(self, lease: lease_module.Lease, *, now: float) -> None:
        """Gives up a lease, as another process may use the address.

        The entry may also be older than the last one, so this proves the end of
        no run: the next list or the time at which the lease ends does.
        """
        lease.lose(now=now)
        lease.acknowledged_end = 0

    def _record_all_ended(
        self, lease: lease_module.Lease, end: model.RunEnd, *, now: float
    ) -> None:
        for run in tuple(lease.runs.values()):
            self._record_end(lease, run, end, now=now)
