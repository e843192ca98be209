"""Tests of order relays: hosts that send the leader's calls to upstreams."""

import unittest

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_batches
from godwitnotch.core.leased import order_relays
from godwitnotch.core.leased import order_results
from godwitnotch.core.leased import peer_messages
from tests import leased_faults
from tests import leased_world
from tests import relay_messages

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


if __name__ == "__main__":
    unittest.main()
