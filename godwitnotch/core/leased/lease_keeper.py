"""Keeps the leases on upstreams while this host leads.

An upstream is first looked at with the leader's term, which ends the orders of
earlier leaders and renews nothing. What no owner claims there is stopped, and
only then is the lease renewed and are runs ordered.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Protocol

from godwitnotch.core import ids
from godwitnotch.core.leased import events
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import lease_calls
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import run_lists
from godwitnotch.core.leased.lease import LeaseChange
from godwitnotch.core.leased.lease import LeaseState
from godwitnotch.core.leased.lease import RunState
from godwitnotch.core.leased.lease_calls import CallKind

# A renewal's answer waits for an end until a while after one is expected: a
# lost answer is then missed soon.
MAX_WAIT_MS = 300
MIN_WAIT_MS = 60
WAIT_MARGIN_MS = 40
STOP_AGAIN_S = 0.15
REACHED_S = 1.0
LOOK_AGAIN_S = 0.06
MAX_LOOK_PAUSE_S = 1.0
# Counts as taken until it is known what an unclaimed run needs.
UNKNOWN_NEEDS = model.Resources(0, 0, 0)


class RunOwner(Protocol):
    """Who wants the runs and learns how they end."""

    def claimed(self, key: model.RunKey) -> jobs.LeasedJob | None:
        """Returns the job that wants a run found at an upstream."""

    def run_ended(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        end: model.RunEnd,
        *,
        now: float,
    ) -> None:
        """Learns that a run is gone."""

    def order_rejected(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        refusal: model.OrderRefusal,
        *,
        now: float,
    ) -> None:
        """Learns that a start was rejected; nothing has run."""

    def outranked(
        self, lease: lease_module.Lease, *, taken: bool, now: float
    ) -> None:
        """Learns that an upstream has seen a higher term.

        Args:
            lease: The lease on it.
            taken: Whether it was held until now.
            now: The present time.
        """


class LeaseKeeper:
    """The leases of one leader.

    Args:
        out: Takes the orders to upstreams.
        owner: Wants the runs.
        in_scope: Tells whether an upstream may be held at all.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        owner: RunOwner,
        *,
        in_scope: Callable[[model.LeasedUpstream], bool],
    ) -> None:
        self._out = out
        self._owner = owner
        self._in_scope = in_scope
        self._calls = lease_calls.LeaseCalls(out)
        self._claims_open = False
        self._leases: dict[ids.UpstreamId, lease_module.Lease] = {}
        self._runs: dict[
            model.TaskKey, dict[ids.UpstreamId, lease_module.Run]
        ] = {}

    @property
    def leases(self) -> Mapping[ids.UpstreamId, lease_module.Lease]:
        """What is known of each upstream."""
        return self._leases

    @property
    def held(self) -> int:
        """Returns how many upstreams are held."""
        return sum(
            lease.state is LeaseState.HELD for lease in self._leases.values()
        )

    def holds_any(self) -> bool:
        """Returns whether an upstream is held."""
        return any(
            lease.state is LeaseState.HELD for lease in self._leases.values()
        )

    def all_seen(self) -> bool:
        """Returns whether it is known what runs at every listed upstream."""
        return all(
            lease.state in (LeaseState.RECONCILING, LeaseState.HELD)
            for lease in self._leases.values()
        )

    def goes_on(self, task: model.TaskKey) -> bool:
        """Returns whether a run of a task goes on, wanted or not."""
        return task in self._runs

    def take_office(
        self,
        term: model.Term,
        upstreams: Iterable[model.LeasedUpstream],
        *,
        now: float,
    ) -> None:
        """Starts with no knowledge of what runs anywhere."""
        self.resign()
        self._calls.term = term
        self._claims_open = True
        for upstream in upstreams:
            self._leases[upstream.upstream] = lease_module.Lease(upstream)
        self._look_at_all(now=now)

    def resign(self) -> None:
        """Forgets all leases; the upstreams end what isn't renewed."""
        self._leases.clear()
        self._runs.clear()
        self._calls.clear()
        self._claims_open = False

    def set_term(self, term: model.Term) -> None:
        """Orders by a higher term from now on."""
        self._calls.term = term

    def open_claims(self) -> None:
        """Stops nothing unclaimed for now: more owners will hand over jobs."""
        self._claims_open = True

    def close_claims(self, *, now: float) -> None:
        """Stops what no owner has claimed."""
        if not self._claims_open:
            return
        self._claims_open = False
        for lease in tuple(self._leases.values()):
            self._reconcile(lease, now=now)

    def claim(self, job: jobs.LeasedJob) -> None:
        """Takes runs that go on for a job which an owner has handed over."""
        for task in job.tasks:
            for run in self._runs.get(task.key, {}).values():
                if run.job is None:
                    self._adopt(run)

    def upstreams_listed(
        self, upstreams: Iterable[model.LeasedUpstream], *, now: float
    ) -> None:
        """Takes a newer list."""
        listed = {each.upstream: each for each in upstreams}
        for upstream, lease in tuple(self._leases.items()):
            if upstream in listed:
                continue
            lease.listed = False
            if not lease.runs:
                del self._leases[upstream]
        for upstream, entry in listed.items():
            known = self._leases.get(upstream)
            if known is None:
                self._leases[upstream] = lease_module.Lease(entry)
            elif known.upstream != entry:
                self._relist(known, entry, now=now)
        self._look_at_all(now=now)

    def start(
        self,
        lease: lease_module.Lease,
        job: jobs.LeasedJob,
        key: model.RunKey,
        *,
        expected_s: float,
        now: float,
    ) -> None:
        """Orders a run."""
        run = lease_module.Run(
            key,
            job,
            job.request.tasks.needs,
            RunState.ORDERED,
            ordered_at=now,
            expected_s=expected_s,
            gone_by=now + lease_module.LEASE_BOUND_S,
        )
        self._add(lease, run)
        lease.renewed(now=now)
        self._calls.start(lease, run, job.request.spec, now=now)

    def stop(
        self, lease: lease_module.Lease, run: lease_module.Run, *, now: float
    ) -> None:
        """Orders the end of a run; it counts until it is known to be gone."""
        lease.stopping.add(run.key.task)
        run.state = RunState.STOPPING
        run.settled_at = None
        run.next_stop_at = now + STOP_AGAIN_S
        self._calls.stop(lease, run.key, run=run, now=now)

    def stop_all(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Orders the end of a job's runs."""
        for task in job.tasks:
            for upstream, run in self._runs.get(task.key, {}).items():
                if run.job is job and run.state is not RunState.STOPPING:
                    self.stop(self._leases[upstream], run, now=now)

    def tick(self, *, now: float) -> None:
        """Renews, looks again, and counts what has lapsed as gone."""
        for lease in tuple(self._leases.values()):
            if lease.runs and now >= lease.lapses_at:
                self._lapse(lease, now=now)
            if lease.stopping:
                self._repeat_stops(lease, now=now)
            if lease.state is LeaseState.UNHELD or not lease.waits:
                self._keep(lease, now=now)

    def order_taken(self, event: events.OrderTaken, *, now: float) -> None:
        """Takes the answer to a start or a stop."""
        call = self._calls.take(event.call)
        if call is None or call.run is None:
            return
        lease, run = call.lease, call.run
        latest = self._check_life(lease, event.born_ms, now=now)
        if latest:
            lease.answered(event.clock_ms, now=now)
        if lease.runs.get(run.key.task) is not run:
            return
        if not latest:
            self._gone(lease, run, model.RunEnd.LAPSED, now=now)
            return
        run.settled_at = now
        if call.kind is CallKind.START and run.state is RunState.ORDERED:
            run.state = RunState.RUNNING
            run.ordered_at = now
        if call.kind is CallKind.STOP:
            self._renew(lease, now=now, wait_ms=0)
        elif not lease.waits:
            self._renew(lease, now=now, wait_ms=_wait_ms(lease, now=now))

    def order_rejected(
        self, event: events.OrderRejected, *, now: float
    ) -> None:
        """Takes the rejection of an order or a renewal."""
        call = self._calls.take(event.call)
        if call is None:
            return
        lease, run = call.lease, call.run
        refusal = event.refusal
        self._out.decided(
            "order_rejected",
            job=run.key.task.job if run else "",
            reason=refusal.value,
            detail=f"upstream={lease.upstream.upstream} kind={call.kind.value}",
        )
        if call.kind is CallKind.START and run is not None:
            self._start_rejected(lease, run, refusal, now=now)
        if refusal is model.OrderRefusal.TERM:
            # One not reached for a while may have been taken in a part that
            # was cut off; the leader there is met over a link.
            reached = now - lease.clock_at <= REACHED_S
            taken = reached and lease.state is LeaseState.HELD
            taken = taken or not self.holds_any()
            self._lost(lease, now=now)
            self._owner.outranked(lease, taken=taken, now=now)
        elif refusal is model.OrderRefusal.OTHER_LIFE:
            self._life_ended(lease, now=now)
        elif refusal is model.OrderRefusal.LATE:
            self._renew(lease, now=now, wait_ms=0)
        elif call.kind is CallKind.RENEW:
            self._failed(lease, now=now)

    def order_unanswered(
        self, event: events.OrderUnanswered, *, now: float
    ) -> None:
        """Takes that no answer came, so that anything may have happened."""
        call = self._calls.take(event.call)
        if call is None:
            return
        lease, run = call.lease, call.run
        self._out.decided(
            "order_unanswered",
            job=run.key.task.job if run else "",
            detail=f"upstream={lease.upstream.upstream} kind={call.kind.value}",
        )
        self._failed(lease, now=now)
        if run is None or lease.runs.get(run.key.task) is not run:
            return
        if call.kind is CallKind.START:
            self.stop(lease, run, now=now)

    def runs_listed(self, event: events.RunsListed, *, now: float) -> None:
        """Takes what an upstream says that it runs."""
        call = self._calls.take(event.call)
        if call is None:
            return
        lease = call.lease
        listed = event.runs
        if not self._check_life(lease, listed.born_ms, now=now):
            return
        lease.answered(listed.clock_ms, now=now)
        if lease.state is LeaseState.LOOKING:
            self._seen(lease, listed, now=now)
        self._take_ends(lease, listed, call.sent_at, now=now)
        self._stop_unknown(lease, listed, now=now)
        if lease.state is LeaseState.RECONCILING:
            self._reconcile(lease, now=now)
        self._keep(lease, now=now)

    def _relist(
        self,
        lease: lease_module.Lease,
        entry: model.LeasedUpstream,
        *,
        now: float,
    ) -> None:
        moved = lease.upstream.address != entry.address
        lease.relist(entry)
        if moved:
            self._life_ended(lease, now=now)

    def _look_at_all(self, *, now: float) -> None:
        for lease in tuple(self._leases.values()):
            self._keep(lease, now=now)

    def _keep(self, lease: lease_module.Lease, *, now: float) -> None:
        """Sends what is due to one upstream."""
        if lease.state is LeaseState.UNHELD:
            wanted = lease.listed and self._in_scope(lease.upstream)
            if wanted and now >= lease.next_look_at:
                lease.change(LeaseChange.LOOK)
                self._renew(lease, now=now, wait_ms=0)
        elif lease.state is LeaseState.RECONCILING:
            if lease.runs and now >= lease.next_look_at and not lease.waits:
                lease.next_look_at = now + LOOK_AGAIN_S
                self._renew(lease, now=now, wait_ms=0)
        elif lease.state is LeaseState.HELD:
            due = bool(lease.runs) or lease.failures
            if due and not lease.waits and now >= lease.next_look_at:
                self._renew(lease, now=now, wait_ms=_wait_ms(lease, now=now))

    def _renew(
        self, lease: lease_module.Lease, *, now: float, wait_ms: int
    ) -> None:
        deadline_ms = None
        if lease.state is LeaseState.HELD and lease.runs:
            deadline_ms = lease.deadline_ms(now=now)
            lease.renewed(now=now)
        self._calls.renew(
            lease, deadline_ms=deadline_ms, wait_ms=wait_ms, now=now
        )

    def _add(self, lease: lease_module.Lease, run: lease_module.Run) -> None:
        lease.add(run)
        places = self._runs.setdefault(run.key.task, {})
        places[lease.upstream.upstream] = run

    def _drop(self, lease: lease_module.Lease, run: lease_module.Run) -> None:
        lease.drop(run)
        places = self._runs[run.key.task]
        del places[lease.upstream.upstream]
        if not places:
            del self._runs[run.key.task]

    def _seen(
        self,
        lease: lease_module.Lease,
        listed: model.RunList,
        *,
        now: float,
    ) -> None:
        """Takes the first list of an upstream since this host leads it."""
        lease.change(LeaseChange.SEEN)
        lease.lapses_at = now + lease_module.LEASE_BOUND_S
        for key in listed.running:
            known = lease.runs.get(key.task)
            if known is not None:
                continue
            run = lease_module.Run(
                key,
                None,
                UNKNOWN_NEEDS,
                RunState.RUNNING,
                ordered_at=now,
                expected_s=0.0,
                settled_at=now,
                gone_by=now + lease_module.LEASE_BOUND_S,
            )
            self._add(lease, run)
            self._adopt(run)

    def _adopt(self, run: lease_module.Run) -> None:
        if run.state is RunState.STOPPING:
            return
        run.job = self._owner.claimed(run.key)

    def _reconcile(self, lease: lease_module.Lease, *, now: float) -> None:
        if lease.state is not LeaseState.RECONCILING:
            return
        unclaimed = [run for run in lease.runs.values() if run.job is None]
        if not unclaimed:
            lease.change(LeaseChange.RECONCILED)
            self._count_adopted(lease)
            self._out.decided(
                "lease_held",
                detail=f"upstream={lease.upstream.upstream} "
                f"adopted={len(lease.runs)} "
                f"cpu_millis={lease.upstream.capacity.cpu_millis} "
                f"slots={lease.upstream.slots} term={self._calls.term}",
            )
            return
        if self._claims_open:
            return
        for run in unclaimed:
            if run.state is not RunState.STOPPING:
                self.stop(lease, run, now=now)

    def _count_adopted(self, lease: lease_module.Lease) -> None:
        for run in tuple(lease.runs.values()):
            if run.job is not None and run.needs is UNKNOWN_NEEDS:
                lease.take_needs(run, run.job.request.tasks.needs)
                run.expected_s = run.job.base_ms / 1_000

    def _take_ends(
        self,
        lease: lease_module.Lease,
        listed: model.RunList,
        asked_at: float,
        *,
        now: float,
    ) -> None:
        for run, end in run_lists.ended(lease, listed):
            self._gone(lease, run, end, now=now)
        for run in run_lists.missing(lease, listed, asked_at=asked_at):
            self._gone(lease, run, model.RunEnd.LAPSED, now=now)

    def _gone(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        end: model.RunEnd,
        *,
        now: float,
    ) -> None:
        self._drop(lease, run)
        self._owner.run_ended(lease, run, end, now=now)

    def _stop_unknown(
        self, lease: lease_module.Lease, listed: model.RunList, *, now: float
    ) -> None:
        """Stops runs that were started late, after they were given up."""
        if lease.state is not LeaseState.HELD:
            return
        for key in run_lists.unknown(lease, listed):
            self._out.decided(
                "run_unknown",
                job=key.task.job,
                detail=f"upstream={lease.upstream.upstream} run={key.run}",
            )
            self._calls.stop(lease, key, run=None, now=now)

    def _repeat_stops(self, lease: lease_module.Lease, *, now: float) -> None:
        for run in tuple(lease.runs.values()):
            unsettled = run.settled_at is None
            if (
                run.state is RunState.STOPPING
                and unsettled
                and now >= run.next_stop_at
            ):
                self.stop(lease, run, now=now)

    def _start_rejected(
        self,
        lease: lease_module.Lease,
        run: lease_module.Run,
        refusal: model.OrderRefusal,
        *,
        now: float,
    ) -> None:
        if lease.runs.get(run.key.task) is run:
            self._drop(lease, run)
            self._owner.order_rejected(lease, run, refusal, now=now)

    def _check_life(
        self, lease: lease_module.Lease, born_ms: int, *, now: float
    ) -> bool:
        """Counts the runs of an earlier life as gone.

        Returns:
            Whether the answer comes from the latest life that is known.
        """
        if not born_ms:
            return True
        if born_ms < lease.born_ms:
            return False
        if lease.born_ms and born_ms > lease.born_ms:
            self._out.decided(
                "upstream_restarted",
                detail=f"upstream={lease.upstream.upstream}",
            )
            lease.observed = 0
            for run in run_lists.of_earlier_life(lease):
                self._gone(lease, run, model.RunEnd.LAPSED, now=now)
        lease.born_ms = born_ms
        return True

    def _failed(self, lease: lease_module.Lease, *, now: float) -> None:
        lease.failures += 1
        if lease.state in (LeaseState.LOOKING, LeaseState.RECONCILING):
            self._lost(lease, now=now)
            return
        lease.next_look_at = now + min(
            MAX_LOOK_PAUSE_S, LOOK_AGAIN_S * (lease.failures - 1)
        )

    def _lapse(self, lease: lease_module.Lease, *, now: float) -> None:
        self._out.decided(
            "lease_lapsed",
            detail=f"upstream={lease.upstream.upstream} "
            f"runs={len(lease.runs)} state={lease.state.value}",
        )
        self._lost(lease, now=now)
        self._all_gone(lease, now=now)

    def _life_ended(self, lease: lease_module.Lease, *, now: float) -> None:
        self._lost(lease, now=now)
        lease.born_ms = 0
        lease.observed = 0
        self._all_gone(lease, now=now)

    def _lost(self, lease: lease_module.Lease, *, now: float) -> None:
        if lease.state is not LeaseState.UNHELD:
            lease.change(LeaseChange.LOST)
        pause_s = LOOK_AGAIN_S * (1 << min(lease.failures, 5))
        lease.next_look_at = now + min(MAX_LOOK_PAUSE_S, pause_s)
        if not lease.listed and not lease.runs:
            self._leases.pop(lease.upstream.upstream, None)

    def _all_gone(self, lease: lease_module.Lease, *, now: float) -> None:
        for run in tuple(lease.runs.values()):
            self._gone(lease, run, model.RunEnd.LAPSED, now=now)
        if not lease.listed:
            self._leases.pop(lease.upstream.upstream, None)


def _wait_ms(lease: lease_module.Lease, *, now: float) -> int:
    """Returns how long an answer may wait for an end."""
    if lease.failures:
        return 0
    left_s = min(
        (run.ordered_at + run.expected_s - now for run in lease.runs.values()),
        default=0.0,
    )
    wait_ms = round(left_s * 1_000) + WAIT_MARGIN_MS
    return max(MIN_WAIT_MS, min(MAX_WAIT_MS, wait_ms))
