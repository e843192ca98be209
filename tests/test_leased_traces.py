"""Tests that the lines of the log tell why a run was started again."""

import re
import unittest

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox
from godwitnotch.core.leased import stalls
from tests import leased_world

DOMAINS = {"a": ["a1", "a2"], "b": ["b1", "b2"]}
RUN_EVENTS = frozenset(
    {
        "run_ordered",
        "run_ended",
        "run_lost",
        "run_adopted",
        "run_overdue",
        "run_unknown",
        "stop_ordered",
    }
)


def start_world() -> leased_world.World:
    world = leased_world.World(DOMAINS)
    world.run(1.0)
    world.run_time_ms = 900.0
    return world


def start_run(world: leased_world.World) -> leased_world.Upstream:
    """Starts a job of one task; returns the upstream that runs it."""
    world.submit("a2", "job", wait_s=5.0)
    world.run(0.1)
    return world.upstreams[world.started_runs[0][0]]


def details(world: leased_world.World, event: str) -> list[str]:
    return [
        f"reason={decided.reason} {decided.detail}"
        for _, _, decided in world.decisions
        if decided.event == event
    ]


def lost_reasons(world: leased_world.World) -> list[str]:
    return [
        decided.reason
        for _, _, decided in world.decisions
        if decided.event == "run_lost"
    ]


class LostRunTest(unittest.TestCase):
    def test_lease_that_the_upstream_reports_as_over(self) -> None:
        world = start_world()
        upstream = start_run(world)
        for run in tuple(upstream.running.values()):
            world._end_run(upstream, run, model.RunEnd.LOST)
        world.run(0.5)
        self.assertEqual(lost_reasons(world), ["lapsed"])

    def test_lease_that_is_over_by_the_clock_of_the_leader(self) -> None:
        world = start_world()
        upstream = start_run(world)
        world.partition(set(world.hosts), {upstream.entry.upstream})
        world.run(3.5)
        self.assertEqual(lost_reasons(world), ["lease_expired"])
        (lapsed,) = details(world, "lease_lapsed")
        self.assertRegex(lapsed, r"response_ago_ms=\d{4} ")
        # The lease, and the question that follows its expiry.
        (renewal_ago_ms,) = re.findall(r"renewal_ago_ms=(\d+) ", lapsed)
        self.assertGreaterEqual(int(renewal_ago_ms), 1_000)
        self.assertLessEqual(int(renewal_ago_ms), 1_450)
        self.assertRegex(lapsed, r"tick_gap_ms=40 ")

    def test_run_that_the_list_lacks(self) -> None:
        world = start_world()
        upstream = start_run(world)
        upstream.running.clear()
        world.run(0.5)
        self.assertEqual(lost_reasons(world), ["missing"])

    def test_restarted_upstream(self) -> None:
        world = start_world()
        upstream = start_run(world)
        upstream.running.clear()
        world.restart_upstream(upstream.entry.upstream)
        world.run(0.5)
        self.assertEqual(lost_reasons(world), ["crashed"])
        self.assertEqual(len(details(world, "upstream_restarted")), 1)

    def test_changed_address(self) -> None:
        world = start_world()
        upstream = start_run(world)
        before = upstream.entry.address
        upstream.entry = msgspec.structs.replace(
            upstream.entry, address="elsewhere:1"
        )
        (leader,) = world.leaders()
        world.list_upstreams(leader)
        world.run(0.1)
        self.assertEqual(lost_reasons(world), [])
        (moved,) = details(world, "upstream_moved")
        self.assertIn(f"from={before} ", moved)

    def test_other_process_at_the_address(self) -> None:
        world = start_world()
        start_run(world)
        (leader,) = world.leaders()
        calls = world.hosts[leader]._dispatcher.lease_manager._calls
        for call in tuple(calls._calls):
            world.deliver(
                leader,
                leased_world.events.OrderRejected(
                    call, model.OrderRejection.OTHER_INSTANCE
                ),
            )
        self.assertEqual(lost_reasons(world), [])
        reasons = [
            decided.reason
            for _, _, decided in world.decisions
            if decided.event == "order_rejected"
        ]
        self.assertEqual(reasons, ["other_process"])


class TraceTest(unittest.TestCase):
    def test_lines_of_a_run_name_job_task_run_and_upstream(self) -> None:
        world = start_world()
        upstream = start_run(world)
        world.kill(world.leaders()[0])
        world.run(0.6)
        world.restart_upstream(upstream.entry.upstream)
        world.run(0.3)
        call = world.submit("a2", "left")
        world.submit("a2", "done")
        world.run(0.1)
        world.deliver("a2", leased_world.events.CallerLeft(ids.CallId(call)))
        world.run(1.5)
        seen = set()
        for _, _, decided in world.decisions:
            if decided.event in RUN_EVENTS:
                seen.add(decided.event)
                self.assertTrue(decided.job, decided)
                self.assertRegex(
                    decided.detail, r"^task=\d+ run=\d+ upstream=\S+"
                )
        self.assertLessEqual(
            {
                "run_ordered",
                "run_adopted",
                "run_lost",
                "run_ended",
                "stop_ordered",
            },
            seen,
        )

    def test_unanswered_order_names_its_run(self) -> None:
        world = start_world()
        for upstream in world.upstreams.values():
            upstream.loses_responses = True
        world.submit("a2", "job")
        world.run(0.6)
        starts = [
            line
            for line in details(world, "order_unanswered")
            if "kind=start" in line
        ]
        self.assertRegex(starts[0], r"task=0 run=1 upstream=\S+ kind=start")

    def test_orders_and_leases_name_the_term(self) -> None:
        world = start_world()
        start_run(world)
        term = world.hosts[world.leaders()[0]]._leadership.term
        for event in ("run_ordered", "lease_held", "leader_changed"):
            with self.subTest(event=event):
                self.assertTrue(
                    re.search(rf"term={term}\b", details(world, event)[-1])
                )


class StallTest(unittest.TestCase):
    def test_a_paused_process_reports_one_stall(self) -> None:
        world = start_world()
        (leader,) = world.leaders()
        world.pause(leader, 0.3)
        world.run(1.0)
        (line,) = details(world, "process_stalled")
        self.assertRegex(line, r"^reason=leading stalled_ms=3\d\d term=\d+")

    def test_usual_ticks_are_no_stall(self) -> None:
        out = outbox.Outbox()
        detector = stalls.StallDetector(out)
        for now, logged in (
            (1_000.0, []),
            (1_000.04, []),
            (1_000.3, ["stalled_ms=260 term=7"]),
            (1_000.34, []),
        ):
            detector.tick(leading=False, term=model.Term(7), now=now)
            details_logged = [decided.detail for decided in out.take()]
            self.assertEqual(details_logged, logged)

    def test_a_host_that_follows_reports_its_stall(self) -> None:
        world = start_world()
        follower = next(
            name for name in world.hosts if not world.hosts[name].leads
        )
        world.pause(follower, 0.3)
        world.run(1.0)
        (decided,) = [
            (name, decided.reason)
            for _, name, decided in world.decisions
            if decided.event == "process_stalled"
        ]
        self.assertEqual(decided, (ids.HostId(follower), ""))


if __name__ == "__main__":
    unittest.main()
