"""Tests of order relays: hosts that send the leader's calls to upstreams."""

import asyncio
import math
import random
import unittest
from collections.abc import Callable

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import lease_manager
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_batches
from godwitnotch.core.leased import order_relays
from godwitnotch.core.leased import order_results
from godwitnotch.core.leased import outbox
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import start_rate
from godwitnotch.net import order_queues
from tests import leased_faults
from tests import leased_world
from tests import relay_messages
from tests import test_leased_clocks
from tests import test_leased_decisions
from tests import test_leased_histories

DOMAINS = {"a": ["a1", "a2"], "b": ["b1", "b2"]}
# Relays begin at 20 starts a second, and one leader is enough for 4 upstreams.
RUNS_PER_S = 40.0
START_UP_S = 31.0
JOB_INTERVAL_S = 0.04
NOW = 50.0


def start_world(*, runs_per_s: float = RUNS_PER_S) -> leased_faults.FaultyWorld:
    world = leased_faults.FaultyWorld(DOMAINS, runs_per_s=runs_per_s)
    world.target_ms = 2_000.0
    world.run(START_UP_S)
    return world


class Load:
    """Submits jobs of two tasks at a steady rate, at hosts in turn."""

    def __init__(self, world: leased_world.World, *, name: str = "j") -> None:
        self._world = world
        self._name = name
        self._until = 0.0
        self._count = 0
        self.calls: list[int] = []

    def run(self, duration_s: float) -> None:
        """Submits jobs for a time, and returns when it is over."""
        self._until = self._world.now + duration_s - JOB_INTERVAL_S / 2
        self._submit()
        self._world.run(duration_s)

    def _submit(self) -> None:
        world = self._world
        if world.now >= self._until:
            return
        names = [name for name in sorted(world.hosts) if name not in world.dead]
        self._count += 1
        self.calls.append(
            world.submit(
                names[self._count % len(names)],
                f"{self._name}{self._count}",
                tasks=2,
                wait_s=4.0,
            )
        )
        world.call_later(JOB_INTERVAL_S, self._submit)


def start_relaying(world: leased_world.World) -> Load:
    """Runs enough load for the leader to use relays."""
    load = Load(world)
    load.run(3.0)
    (leader,) = world.leaders()
    assert world.hosts[leader].relays.active
    return load


def logged(world: leased_world.World, event: str) -> list[str]:
    return [
        decided.detail
        for _, _, decided in world.decisions
        if decided.event == event
    ]


class RelayedLoadTest(unittest.TestCase):
    def assert_all_completed(
        self, world: leased_world.World, load: Load
    ) -> None:
        ends = [world.answers[call][1].end for call in load.calls]
        self.assertEqual(set(ends), {model.JobEnd.COMPLETED})

    def test_leader_sends_hardly_any_calls_itself_at_a_peak(self) -> None:
        world = start_world()
        load = start_relaying(world)
        world.orders.clear()
        world.relayed_orders.clear()
        load.run(2.0)
        relays = {name for _, name, _ in world.relayed_orders}
        (leader,) = world.leaders()
        self.assertNotIn(leader, relays)
        self.assertGreater(len(world.relayed_orders), 150)
        direct = len(world.orders) - len(world.relayed_orders)
        self.assertLess(direct, len(world.relayed_orders) // 20)
        world.run(4.0)
        self.assert_all_completed(world, load)
        self.assertEqual(world.overlaps(), [])

    def test_relay_is_in_the_domain_of_the_upstream(self) -> None:
        world = start_world()
        start_relaying(world).run(1.0)
        self.assertEqual(
            {
                (name[0], order.upstream.upstream[0])
                for _, name, order in world.relayed_orders
            },
            {("a", "a"), ("b", "b")},
        )

    def test_relays_begin_and_end_once_with_the_load(self) -> None:
        world = start_world()
        start_relaying(world)
        world.run(15.0)
        self.assertEqual(len(logged(world, "relays_started")), 1)
        self.assertEqual(len(logged(world, "relays_ended")), 1)

    def test_a_strong_leader_needs_no_relays(self) -> None:
        world = start_world(runs_per_s=1_000.0)
        load = Load(world)
        load.run(5.0)
        world.run(4.0)
        self.assertEqual(world.relayed_orders, [])
        self.assert_all_completed(world, load)


class RelayDeskTest(unittest.TestCase):
    """A relay sends orders only for the leader that it follows."""

    def setUp(self) -> None:
        self.world = start_world()
        (self.leader,) = self.world.leaders()
        self.relay = next(
            name for name in sorted(self.world.hosts) if name != self.leader
        )
        self.term = self.world.hosts[self.leader]._leadership.term

    def relay_orders(self, sender: str, term: int) -> list[actions.Action]:
        message = order_batches.pack_orders(
            model.Term(term), relay_messages.ORDERS
        )
        event = events.PeerTold(ids.HostId(sender), message)
        core = self.world.hosts[self.relay]
        return core.handle(event, now=self.world.now)

    def test_orders_of_the_leader_are_sent_in_its_term_or_a_higher(
        self,
    ) -> None:
        for term in (self.term, self.term + 1):
            (action,) = self.relay_orders(self.leader, term)
            self.assertIsInstance(action, actions.SendForLeader)
            self.assertEqual(len(action.orders), len(relay_messages.ORDERS))

    def test_orders_of_a_former_leader_went_out(self) -> None:
        other = next(
            name
            for name in self.world.hosts
            if name not in (self.leader, self.relay)
        )
        for sender, term in (
            (other, self.term + 1),
            (self.leader, self.term - 1),
        ):
            (action,) = self.relay_orders(sender, term)
            self.assertIsInstance(action, actions.TellPeer)
            self.assertEqual(action.host, sender)
            self.assertEqual(action.message.lists, ())
            self.assertEqual(action.message.taken, ())
            self.assertEqual(
                {each.rejection for each in action.message.rejected},
                {model.OrderRejection.NOT_SENT},
            )
            self.assertTrue(
                all(each.failure.not_sent for each in action.message.unanswered)
            )
            calls = {each.call for each in action.message.all()}
            self.assertEqual(
                calls, {order.call for order in relay_messages.ORDERS}
            )


class PackingTest(unittest.TestCase):
    def test_orders_are_equal_after_unpacking(self) -> None:
        message = order_batches.pack_orders(
            relay_messages.TERM, relay_messages.ORDERS
        )
        self.assertEqual(
            tuple(order_batches.unpack_orders(message)), relay_messages.ORDERS
        )

    def test_the_spec_of_a_wide_job_is_sent_once(self) -> None:
        message = order_batches.pack_orders(
            relay_messages.TERM, relay_messages.ORDERS[:2]
        )
        self.assertEqual(message.specs, ("s",))

    def test_start_without_its_spec_raised_an_error(self) -> None:
        message = order_batches.pack_orders(
            relay_messages.TERM, relay_messages.ORDERS
        )
        broken = peer_messages.OrdersRelayed(
            message.term, (), message.starts, message.stops, message.renewals
        )
        self.assertEqual(
            tuple(order_batches.unpack_orders(broken)),
            relay_messages.ORDERS[2:],
        )


def candidate(
    name: str, *, domain: str = "a", rank: int = 10
) -> order_relays.Candidate:
    return order_relays.Candidate(ids.HostId(name), ids.DomainId(domain), rank)


def upstream(number: int, *, domain: str = "a") -> model.LeasedUpstream:
    return model.LeasedUpstream(
        ids.UpstreamId(f"u{number}"),
        f"10.0.0.{number}:1",
        ids.DomainId(domain),
        leased_world.SERVICE,
        8,
        model.Resources(2_000, 1_000, 0),
        ("a",),
        False,
    )


class AssignmentTest(unittest.TestCase):
    CANDIDATES = (
        candidate("h1", rank=10),
        candidate("h2", rank=20),
        candidate("h3", rank=10),
    )

    def test_a_lost_relay_moves_only_its_own_upstreams(self) -> None:
        for number in range(200):
            before = order_relays.assign(upstream(number), self.CANDIDATES)
            after = order_relays.assign(upstream(number), self.CANDIDATES[:2])
            if before != "h3":
                self.assertEqual(before, after)

    def test_upstreams_are_shared_by_rank(self) -> None:
        assigned = [
            order_relays.assign(upstream(number), self.CANDIDATES)
            for number in range(2_000)
        ]
        self.assertAlmostEqual(assigned.count("h2") / 2_000, 0.5, delta=0.04)
        self.assertAlmostEqual(assigned.count("h1") / 2_000, 0.25, delta=0.04)

    def test_without_a_host_in_the_domain_another_relays(self) -> None:
        found = order_relays.assign(upstream(1, domain="z"), self.CANDIDATES)
        self.assertIn(found, {"h1", "h2", "h3"})
        self.assertEqual(order_relays.assign(upstream(1), ()), "")


class OpenCallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.relays = order_relays.OrderRelays(runs_per_s=100.0)
        self.now = NOW
        for _ in range(300):
            self.now += 0.01
            self.relays.count_start(now=self.now)
        switch = self.relays.update(lambda: [candidate("h1")], now=self.now)
        assert switch is not None and switch.active

    def open_call(self, number: int, *, spec_bytes: int = 0) -> ids.HostId:
        return self.relays.open_call(
            model.UpstreamCallId(number),
            upstream(1),
            spec_bytes=spec_bytes,
            timeout_s=0.15,
            now=self.now,
        )

    def taken(self, number: int) -> order_results.OrderTaken:
        return order_results.OrderTaken(model.UpstreamCallId(number), 1, 0)

    def test_large_specs_filled_a_slow_link(self) -> None:
        relays = [self.open_call(n, spec_bytes=4_000) for n in range(10)]
        self.assertEqual(relays.count(ids.HostId("h1")), 6)
        # Small calls and lists still go to the relay.
        self.assertEqual(self.open_call(20), "h1")
        # A result makes room for the next large one.
        self.assertTrue(
            self.relays.take_result(
                ids.HostId("h1"), self.taken(0), now=self.now
            )
        )
        self.assertEqual(self.open_call(21, spec_bytes=4_000), "h1")

    def test_result_of_another_host_or_after_the_time_is_ignored(self) -> None:
        self.open_call(1)
        other = ids.HostId("h2")
        self.assertFalse(
            self.relays.take_result(other, self.taken(1), now=self.now)
        )
        self.now += 0.15 + order_relays.RESULT_MARGIN_S
        (lost,) = self.relays.take_overdue(now=self.now)
        self.assertFalse(lost.failure.not_sent)
        self.assertFalse(
            self.relays.take_result(
                ids.HostId("h1"), self.taken(1), now=self.now
            )
        )

    def test_results_that_waited_for_a_late_leader_counted_as_lost(
        self,
    ) -> None:
        self.relays.take_overdue(now=self.now)
        self.open_call(1)
        # The process does nothing for 0.4 s; its timer fires before it reads.
        self.now += 0.4
        self.assertEqual(self.relays.take_overdue(now=self.now), [])
        self.assertTrue(
            self.relays.take_result(
                ids.HostId("h1"), self.taken(1), now=self.now
            )
        )
        # What has not come by the next check is lost.
        self.open_call(2)
        self.now += 0.4
        self.assertEqual(self.relays.take_overdue(now=self.now), [])
        self.now += 0.04
        self.assertEqual(len(self.relays.take_overdue(now=self.now)), 1)

    def test_silent_relay_is_passed_over_for_a_while(self) -> None:
        self.open_call(1)
        self.now += 0.15 + order_relays.RESULT_MARGIN_S
        self.relays.take_overdue(now=self.now)
        self.assertEqual(self.open_call(2), "")
        self.relays.update(lambda: [candidate("h1")], now=self.now)
        self.assertEqual(self.open_call(3), "")
        self.now += order_relays.SILENT_RELAY_DELAY_S
        self.relays.update(lambda: [candidate("h1")], now=self.now)
        self.assertEqual(self.open_call(4), "h1")

    def test_relay_that_is_cut_off_is_passed_over_for_the_upstream(
        self,
    ) -> None:
        self.open_call(1)
        rejected = order_results.OrderRejected(
            model.UpstreamCallId(1), model.OrderRejection.NOT_SENT
        )
        self.relays.take_result(ids.HostId("h1"), rejected, now=self.now)
        self.assertEqual(self.open_call(2), "")
        self.now += order_relays.UNREACHED_UPSTREAM_DELAY_S
        self.assertEqual(self.open_call(3), "h1")


class AlwaysRelayingWorld(leased_faults.FaultyWorld):
    """A world whose leaders use relays whatever the load."""

    def start_host(self, name: str, *, rank: int = 0) -> None:
        super().start_host(name, rank=rank)
        relays = self.hosts[name].relays
        relays._start_limit = relays._stop_limit = -1.0


THREE_DOMAINS = {"a": ["a1", "a2"], "b": ["b1", "b2"], "c": ["c1", "c2"]}


def start_relaying_world(*, start_up_s: float = 2.0) -> AlwaysRelayingWorld:
    world = AlwaysRelayingWorld(THREE_DOMAINS)
    world.target_ms = 3_000.0
    world.run(start_up_s)
    return world


class FailureTest(unittest.TestCase):
    """Failures of relays and leaders while orders are at relays."""

    # From the submission of jobs to the failure: before the orders are at the
    # relays, before they are at the upstreams, before the results are at the
    # relays and at the leader, and while the runs are under way.
    MOMENTS_S = (0.001, 0.003, 0.005, 0.007, 0.009, 0.05, 0.105)

    def submit(self, world: AlwaysRelayingWorld, count: int = 3) -> list[int]:
        return [
            world.submit("c2", f"job{number}", tasks=4, wait_s=8.0)
            for number in range(count)
        ]

    def assert_safe(
        self, world: AlwaysRelayingWorld, calls: list[int], *, complete: bool
    ) -> None:
        self.assertGreater(len(world.relayed_orders), 0)
        self.assertEqual(world.overlaps(), [])
        self.assertEqual(test_leased_clocks.done_again(world), [])
        if complete:
            ends = {world.answers[call][1].end for call in calls}
            self.assertEqual(ends, {model.JobEnd.COMPLETED})

    def relay_of_first_start(self, world: AlwaysRelayingWorld) -> str:
        (leader,) = world.leaders()
        lease = world.hosts[leader]._dispatcher.lease_manager.leases["b-u0"]
        candidates = world.hosts[leader]._leadership.relay_candidates()
        return order_relays.assign(lease.upstream, candidates)

    def test_relay_dies_between_order_and_answer(self) -> None:
        for moment_s in self.MOMENTS_S:
            with self.subTest(moment_s=moment_s):
                world = start_relaying_world()
                calls = self.submit(world)
                world.run(moment_s)
                world.kill(self.relay_of_first_start(world))
                world.run(7.0)
                self.assert_safe(world, calls, complete=True)

    def test_relay_is_paused_and_acts_late(self) -> None:
        for moment_s in self.MOMENTS_S:
            for pause_s in (0.2, 0.4, 0.9, 1.5, 3.0):
                with self.subTest(moment_s=moment_s, pause_s=pause_s):
                    world = start_relaying_world()
                    relay = self.relay_of_first_start(world)
                    world.relay_delays[relay] = 0.004
                    calls = self.submit(world)
                    world.run(moment_s)
                    world.pause(relay, pause_s)
                    world.run(7.0)
                    self.assert_safe(world, calls, complete=True)

    def test_relay_sends_its_orders_late(self) -> None:
        for delay_s in (0.1, 0.2, 0.3, 0.5, 0.8, 0.95, 1.0, 1.2, 2.0):
            with self.subTest(delay_s=delay_s):
                world = start_relaying_world()
                for name in world.hosts:
                    world.relay_delays[name] = delay_s
                calls = self.submit(world)
                world.run(0.5)
                world.relay_delays.clear()
                world.run(7.0)
                self.assert_safe(world, calls, complete=True)

    def test_late_start_met_an_upstream_that_had_restarted(self) -> None:
        # A restarted upstream knows neither the stop of the run nor the term.
        for restart_s in (0.0, 0.1, 0.3, 0.5):
            for delay_s in (0.3, 0.6, 0.9):
                with self.subTest(restart_s=restart_s, delay_s=delay_s):
                    world = start_relaying_world()
                    for name in world.hosts:
                        world.relay_delays[name] = delay_s
                    calls = self.submit(world)
                    world.run(restart_s)
                    for name in world.upstreams:
                        world.restart_upstream(name)
                    world.run(0.7 - restart_s)
                    world.relay_delays.clear()
                    world.run(7.0)
                    self.assert_safe(world, calls, complete=True)

    def test_link_is_cut_one_way(self) -> None:
        for to_leader in (False, True):
            for moment_s in self.MOMENTS_S:
                for cut_s in (0.3, 3.0):
                    with self.subTest(
                        to_leader=to_leader, moment_s=moment_s, cut_s=cut_s
                    ):
                        world = start_relaying_world()
                        (leader,) = world.leaders()
                        relay = self.relay_of_first_start(world)
                        way = (relay, leader) if to_leader else (leader, relay)
                        calls = self.submit(world)
                        world.run(moment_s)
                        world.lost_messages.add(way)
                        world.run(cut_s)
                        world.lost_messages.clear()
                        world.run(7.0)
                        self.assert_safe(world, calls, complete=True)

    def test_relay_is_cut_off_from_upstreams_that_the_leader_reaches(
        self,
    ) -> None:
        for moment_s in (0.0, *self.MOMENTS_S):
            with self.subTest(moment_s=moment_s):
                world = start_relaying_world()
                relay = self.relay_of_first_start(world)
                calls = self.submit(world)
                world.run(moment_s)
                world.partition({relay}, set(world.upstreams))
                world.run(7.0)
                self.assert_safe(world, calls, complete=True)
                # No upstream is suspended: two failures in a row would be.
                self.assertEqual(logged(world, "lease_lapsed"), [])

    def test_leader_changes_while_orders_are_at_relays(self) -> None:
        for delay_s in (0.0, 0.3, 0.6):
            for moment_s in self.MOMENTS_S[1::2]:
                for drain in (False, True):
                    with self.subTest(
                        delay_s=delay_s, moment_s=moment_s, drain=drain
                    ):
                        world = start_relaying_world(start_up_s=START_UP_S)
                        for name in world.hosts:
                            world.relay_delays[name] = delay_s
                        (leader,) = world.leaders()
                        calls = self.submit(world)
                        world.run(moment_s)
                        if drain:
                            world.deliver(leader, events.DrainStarted())
                        else:
                            world.kill(leader)
                        world.run(0.5)
                        world.relay_delays.clear()
                        world.run(7.5)
                        self.assert_safe(world, calls, complete=True)

    def test_leader_is_paused_while_orders_are_at_relays(self) -> None:
        for moment_s in self.MOMENTS_S[1::2]:
            for pause_s in (0.3, 0.6, 2.0):
                with self.subTest(moment_s=moment_s, pause_s=pause_s):
                    world = start_relaying_world(start_up_s=START_UP_S)
                    (leader,) = world.leaders()
                    calls = self.submit(world)
                    world.run(moment_s)
                    world.pause(leader, pause_s)
                    world.run(8.0)
                    self.assert_safe(world, calls, complete=True)

    def test_two_leaders_use_one_relay(self) -> None:
        for delay_s in (0.0, 0.1, 0.5):
            for run_time_ms in (100.0, 900.0, 2_500.0):
                with self.subTest(delay_s=delay_s, run_time_ms=run_time_ms):
                    world = start_relaying_world(start_up_s=START_UP_S)
                    world.run_time_ms = run_time_ms
                    for name in world.hosts:
                        world.relay_delays[name] = delay_s
                    # c1 and c2 lose the leader and all upstreams but their
                    # own, and stay linked to the hosts of the other domains.
                    others = {
                        name for name in world.upstreams if name[0] != "c"
                    }
                    world.partition({"c1", "c2"}, {"a1", *others})
                    world.run(3.0)
                    self.assertEqual(sorted(world.leaders()), ["a1", "c1"])
                    world.relayed_orders.clear()
                    calls = []
                    for number in range(10):
                        names = ("b1", "c1", "a2", "c2")
                        calls.append(
                            world.submit(
                                names[number % 4],
                                f"two{number}",
                                tasks=2,
                                wait_s=8.0,
                            )
                        )
                        world.run(0.3)
                    world.relay_delays.clear()
                    world.run(2.0)
                    world.heal()
                    world.run(8.0)
                    self.assert_safe(world, calls, complete=False)


class ThresholdTest(unittest.TestCase):
    """Relays begin at a peak, and neither in quiet times nor by turns."""

    WIDTHS = (2, 4, 8)
    MEAN_WIDTH = sum(WIDTHS) / len(WIDTHS)
    TICK_S = 0.04

    def switches(
        self,
        starts_per_s: Callable[[float], float],
        *,
        seed: int,
        duration_s: float,
        runs_per_s: float = 1_070.0,
    ) -> list[tuple[float, bool]]:
        """Returns when relays begin and end under jobs that arrive at random."""
        rng = random.Random(seed)
        relays = order_relays.OrderRelays(runs_per_s=runs_per_s)
        found = []
        now = next_job_at = 0.0
        while now < duration_s:
            now += self.TICK_S
            while next_job_at < now:
                for _ in range(rng.choice(self.WIDTHS)):
                    relays.count_start(now=now)
                jobs_per_s = starts_per_s(now) / self.MEAN_WIDTH
                next_job_at += rng.expovariate(jobs_per_s)
            switch = relays.update(lambda: [candidate("h1")], now=now)
            if switch is not None:
                found.append((now, switch.active))
        return found

    def test_small_deployment_used_relays_in_quiet_times(self) -> None:
        def quiet(now: float) -> float:
            return 340.0 * (1 + 0.15 * math.sin(2 * math.pi * now / 11))

        for seed in range(5):
            with self.subTest(seed=seed):
                found = self.switches(quiet, seed=seed, duration_s=120.0)
                self.assertEqual(found, [])

    def test_burst_begins_relays_once_and_soon(self) -> None:
        def burst(now: float) -> float:
            return 680.0 if 10 < now < 14 else 340.0

        for seed in range(5):
            with self.subTest(seed=seed):
                found = self.switches(burst, seed=seed, duration_s=40.0)
                self.assertEqual([on for _, on in found], [True, False])
                self.assertLess(found[0][0], 11.5)
                self.assertGreater(found[1][0], 14.0 + 2.0)

    def test_pause_of_the_process_is_no_peak(self) -> None:
        rate = start_rate.StartRate()
        for number in range(1_000):
            rate.add(now=NOW + number * 0.01)
        self.assertAlmostEqual(
            rate.forecast(0.5, now=NOW + 10.0), 100.0, delta=2.0
        )
        self.assertEqual(rate.forecast(0.5, now=NOW + 10_000.0), 0.0)


class _Listener:
    """Knows no jobs, and ignores changes of runs."""

    def __getattr__(self, name: str):
        return lambda *args, **kwargs: None


class LateResponseTest(unittest.TestCase):
    def test_late_response_of_a_former_process_set_the_clock(self) -> None:
        # The clock of the next process starts at 0. With the former reading, a
        # start that is held back is valid long after its lease.
        out = outbox.Outbox()
        manager = lease_manager.LeaseManager(
            out, _Listener(), in_scope=lambda _: True
        )
        manager.start_leading(model.Term(7), [upstream(1)], now=NOW)
        (asked,) = self.taken(out, actions.RenewLease)
        former = model.RunList(900_000, 1, (), ())
        manager.runs_listed(
            order_results.RunsListed(asked.call, former), now=NOW
        )
        manager.end_claim_period(now=NOW)
        (lease,) = manager.leases.values()
        job = test_leased_decisions.make_job("j", tasks=2)
        first = model.RunKey(job.tasks[0].key, model.RunNumber(1))
        manager.start_run(lease, job, first, expected_s=0.1, now=NOW + 0.1)
        (start,) = self.taken(out, actions.StartRun)
        manager.stop_run(lease, lease.runs[first.task], now=NOW + 0.2)
        (stop,) = self.taken(out, actions.StopRun)
        manager.order_taken(
            order_results.OrderTaken(stop.call, 900_200, 0), now=NOW + 0.2
        )
        (asked,) = self.taken(out, actions.RenewLease)
        newest = model.RunList(50, 2, (), ())
        manager.runs_listed(
            order_results.RunsListed(asked.call, newest), now=NOW + 0.3
        )
        manager.order_taken(
            order_results.OrderTaken(start.call, 900_100, 0), now=NOW + 0.4
        )
        second = model.RunKey(job.tasks[1].key, model.RunNumber(1))
        out.take()
        manager.start_run(lease, job, second, expected_s=0.1, now=NOW + 0.5)
        (start,) = self.taken(out, actions.StartRun)
        self.assertLess(start.deadline_ms, 50 + 200 + 951)

    def taken(self, out: outbox.Outbox, kind: type) -> list:
        return [each for each in out.take() if isinstance(each, kind)]


class OrderQueuesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.sent: list[tuple[str, peer_messages.Message]] = []
        self.relay = ids.HostId("h1")

    def make_queues(self) -> order_queues.OrderQueues:
        return order_queues.OrderQueues(
            lambda host, message: self.sent.append((host, message))
        )

    async def wait_for_messages(self, count: int) -> None:
        while len(self.sent) < count:
            await asyncio.sleep(0)

    async def test_orders_of_one_pass_go_in_one_message(self) -> None:
        queues = self.make_queues()
        for order in relay_messages.ORDERS:
            queues.add_order(self.relay, order)
        await self.wait_for_messages(1)
        await asyncio.sleep(2 * order_queues.MIN_MESSAGE_INTERVAL_S)
        self.assertEqual(
            self.sent,
            [
                (
                    "h1",
                    order_batches.pack_orders(
                        relay_messages.TERM, relay_messages.ORDERS
                    ),
                )
            ],
        )

    async def test_each_pass_of_a_peak_sent_a_message(self) -> None:
        queues = self.make_queues()
        queues.add_order(self.relay, relay_messages.ORDERS[0])
        await self.wait_for_messages(1)
        queues.add_order(self.relay, relay_messages.ORDERS[1])
        await asyncio.sleep(0)
        queues.add_order(self.relay, relay_messages.ORDERS[2])
        await self.wait_for_messages(2)
        self.assertEqual(len(self.sent[1][1].starts), 1)
        self.assertEqual(len(self.sent[1][1].stops), 1)

    async def test_orders_of_two_terms_are_not_mixed(self) -> None:
        queues = self.make_queues()
        for term in (7, 8):
            order = msgspec.structs.replace(
                relay_messages.ORDERS[2], term=model.Term(term)
            )
            queues.add_order(self.relay, order)
        await self.wait_for_messages(2)
        self.assertEqual([message.term for _, message in self.sent], [7, 8])

    async def test_results_on_another_link_named_calls_of_a_new_process(
        self,
    ) -> None:
        queues = self.make_queues()
        number = queues.link_number(self.relay)
        result = relay_messages.RESULTS[0]

        def add_result(link_number: int) -> None:
            queues.add_result(
                self.relay,
                relay_messages.TERM,
                result,
                link_number=link_number,
            )

        add_result(number)
        queues.link_changed(self.relay)
        add_result(number)
        add_result(queues.link_number(self.relay))
        await self.wait_for_messages(1)
        ((_, message),) = self.sent
        self.assertEqual(message.taken, (result,))


class HistoriesTest(unittest.TestCase):
    def test_random_histories_start_no_task_twice_at_the_same_time(
        self,
    ) -> None:
        first = test_leased_histories.FIRST_SEED
        count = test_leased_histories.HISTORY_COUNT // 10
        for divided in (False, True):
            for seed in range(first, first + count):
                with self.subTest(seed=seed, divided=divided):
                    history = RelayHistory(seed, divided=divided)
                    history.run()
                    self.assertEqual(history.world.overlaps(), [])
                    self.assertGreater(len(history.world.relayed_orders), 0)


class RelayHistory(leased_faults.FaultyHistory):
    """A random history whose leaders use relays, with faults of relays."""

    def make_world(self, **kwargs) -> leased_world.World:
        """Returns a world whose leaders use relays."""
        return AlwaysRelayingWorld(test_leased_histories.DOMAINS, **kwargs)

    def faults(self) -> list:
        """Returns the faults to choose from."""
        return [
            *super().faults(),
            self.relay_late,
            self.relay_late,
            self.cut_one_way,
            self.cut_relay_off,
        ]

    def relay_late(self) -> None:
        """Lets a host send the orders of leaders late."""
        name = self.rng.choice(sorted(self.world.hosts))
        delays_s = (0.003, 0.05, 0.3, 0.8, 1.2)
        self.world.relay_delays[name] = self.rng.choice(delays_s)
        self.for_a_while(lambda: self.world.relay_delays.pop(name, None))

    def cut_one_way(self) -> None:
        """Loses the messages from one host to another, or of all."""
        world = self.world
        one = self.some_host()
        others = [name for name in sorted(world.hosts) if name != one]
        others = self.rng.sample(others, self.rng.randrange(1, len(others)))
        ways = {(one, other) for other in others}
        if self.rng.random() < 0.5:
            ways = {(other, one) for other in others}
        world.lost_messages |= ways
        # A link that is silent one way closes.
        silence_s = leased_world.SILENCE_TIMEOUT_S * self.rng.random()

        def end() -> None:
            world.lost_messages -= ways
            for way in ways:
                world.reset_link(*way)

        world.call_later(silence_s, end)

    def cut_relay_off(self) -> None:
        """Cuts a host off from some upstreams that the leader reaches."""
        world = self.world
        name = self.rng.choice(sorted(world.hosts))
        upstreams = self.rng.sample(sorted(world.upstreams), 2)
        pairs = [frozenset((name, upstream)) for upstream in upstreams]
        world.cut_pairs.update(pairs)
        self.for_a_while(lambda: world.cut_pairs.difference_update(pairs))

    def end_faults(self) -> None:
        """Ends all faults."""
        super().end_faults()
        self.world.relay_delays.clear()
        self.world.lost_messages.clear()


if __name__ == "__main__":
    unittest.main()
