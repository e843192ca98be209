"""Tests of what a leader knew of hosts and upstreams and no longer holds."""

import unittest

from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import model
from tests import leased_world
from tests import test_leased_instances
from tests import test_leased_leaders


class OwnerTest(unittest.TestCase):
    def test_jobs_of_an_owner_that_returns_from_a_higher_term_are_kept(
        self,
    ) -> None:
        world = test_leased_leaders.start_world()
        test_leased_leaders.TwoLeadersTest().lead_from_c1(world)
        world.run_time_ms = 600.0
        world.reset_link("a1", "b1")
        world.run(0.15)
        self.assertEqual(world.hosts["b1"].leader, "c1")
        world.kill("c1")
        world.run(0.02)
        self.assertEqual(world.hosts["b1"].leader, "a1")
        call = world.submit("b1", "returned", wait_s=4.0)
        world.run(1.0)
        self.assertEqual(world.hosts["b1"].leader, "a1")
        self.assertEqual(world.answers[call][1].end, model.JobEnd.COMPLETED)


class RejectionTest(test_leased_instances.ManagerTest):
    def test_rejected_list_of_an_expired_lease_ends_the_lead(self) -> None:
        def stop_leading(lease, *, was_held, now) -> None:
            self.manager.stop_leading()

        self.listener.higher_term_seen = stop_leading
        self.accept(self.start(0))
        self.now += lease.MAX_LEASE_DURATION_S + 0.1
        self.manager.tick(now=self.now)
        (request,) = self.take(actions.RenewLease)
        rejected = events.OrderRejected(request.call, model.OrderRejection.TERM)
        self.manager.order_rejected(rejected, now=self.now)
        self.assertEqual(self.listener.ended, [])


class RaisedTermTest(test_leased_instances.ManagerTest):
    def test_later_run_of_another_leader_is_known(self) -> None:
        (request,) = self.accept(self.start(0))
        self.list_runs(request, 0, instance=1_000)
        self.take(actions.RenewLease)
        self.now += 0.1
        self.manager.raise_term(model.Term(9), now=self.now)
        (request,) = self.take(actions.RenewLease)
        later = model.RunKey(self.key(0).task, model.RunNumber(2))
        self.now += 0.01
        self.manager.runs_listed(
            events.RunsListed(
                request.call, model.RunList(1, 1_000, (later,), ())
            ),
            now=self.now,
        )
        self.assert_runs(0)


class RestartedClockTest(unittest.TestCase):
    def test_start_that_a_restarted_upstream_executes_late_is_rejected(
        self,
    ) -> None:
        world = leased_world.World({"a": ["a1"]}, upstreams=2)
        world.run(40.0)
        first, second = world.upstreams.values()
        second.slowness = 1.0
        world.restart_upstream(first.entry.upstream)
        first.clock_offset_ms = -world.now * 1_000
        first.order_delay_s = 1.7
        world.run_time_ms = 900.0
        world.submit("a1", "late", tasks=4, wait_s=8.0)
        world.run(8.0)
        self.assertGreater(world.start_count("late"), 0)
        self.assertEqual(world.overlaps(), [])


if __name__ == "__main__":
    unittest.main()
