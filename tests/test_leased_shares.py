"""Tests who waits and who is refused while room is short."""

import collections
import contextlib
import json
import math
import unittest
import unittest.mock

from bench import leased_load
from bench import leased_replay
from bench import uneven_load
from godwitnotch import leased_metrics
from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import arrival_rates
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import late_jobs
from godwitnotch.core.leased import model
from godwitnotch.core.leased import retry_times
from godwitnotch.core.leased import shares
from godwitnotch.core.leased import useless_jobs
from godwitnotch.platform import configuration
from tests import leased_world

NOW = 100.0
SMALL = model.RouteName("small")
LARGE = model.RouteName("large")


def replay(load: leased_load.Load) -> leased_replay.ReplayResult:
    return leased_replay.Replay(load).run()


def without_shares() -> unittest.mock._patch:
    """Makes no job exceed its route's share."""
    return unittest.mock.patch.object(
        shares.RouteShares, "take", return_value=shares.Standing.UNLIMITED
    )


def without_late_jobs() -> unittest.mock._patch:
    """Refuses all jobs that are expected to end late."""
    return unittest.mock.patch.object(
        late_jobs, "can_be_useful", return_value=False
    )


def without_useless_jobs() -> unittest.mock._patch:
    """Ends no job because its answer would be of no use."""
    return unittest.mock.patch.object(
        useless_jobs, "is_useless", return_value=False
    )


def make_job() -> jobs.LeasedJob:
    return jobs.LeasedJob(
        request=leased_world.request("j", 1),
        owner=ids.HostId("a"),
        arrived_at=NOW,
        deadline=NOW + 10,
        base_ms=100.0,
    )


class LateJobsTest(unittest.TestCase):
    """A crowd arrives at once, and its callers wait long for the answers."""

    def setUp(self) -> None:
        upstreams = tuple(
            leased_load.make_upstream(f"u{number}", 16_000, 1, 1.0)
            for number in range(4)
        )
        # In 4 slots 16 jobs of 200 ms end in 4 rounds: the first is in time,
        # the second late, the third and fourth within three times the target.
        crowd = [
            leased_load.Job(
                0.001 * number,
                leased_load.make_request(f"j{number}", 1, 16_000, 200.0),
                (200.0,),
                3.0,
            )
            for number in range(16)
        ]
        self.load = leased_load.Load(tuple(crowd), upstreams)

    def test_jobs_that_end_late_but_usefully_are_served(self) -> None:
        served = replay(self.load)
        with without_late_jobs():
            refusing = replay(self.load)
        self.assertEqual(len(served.ended_at), 16)
        self.assertLess(len(refusing.ended_at), 12)

    def test_jobs_that_can_be_in_time_go_before_those_kept_late(self) -> None:
        # Arrives while 12 jobs wait, and can be in time only in the next room.
        urgent = leased_load.Job(
            0.1,
            leased_load.make_request("urgent", 1, 16_000, 200.0),
            (200.0,),
            3.0,
        )
        load = leased_load.Load((*self.load.jobs, urgent), self.load.upstreams)
        ended_at = replay(load).ended_at
        self.assertLess(ended_at[model.JobName("urgent")], 0.1 + 0.38)

    def test_none_is_kept_late_in_an_overload_that_lasts(self) -> None:
        job = make_job()
        for sustained, kept in ((900.0, True), (1_100.0, False)):
            drain = late_jobs.Drain(100.0, 1_000.0, sustained)
            self.assertEqual(late_jobs.can_be_useful(job, drain, now=NOW), kept)

    def test_none_is_kept_late_without_capacity(self) -> None:
        drain = late_jobs.Drain(0.0, 0.0, 0.0)
        self.assertFalse(late_jobs.can_be_useful(make_job(), drain, now=NOW))

    def test_jobs_that_can_be_of_no_use_are_refused_at_once(self) -> None:
        result = replay(
            leased_load.Load(
                tuple(
                    leased_load.Job(
                        job.arrives_at + 0.02 * copy,
                        leased_load.make_request(
                            f"{job.request.job}-{copy}", 1, 16_000, 200.0
                        ),
                        job.work_ms,
                        job.max_wait_s,
                    )
                    for copy in range(4)
                    for job in self.load.jobs
                ),
                self.load.upstreams,
            )
        )
        self.assertGreater(len(result.refused_jobs), 30)
        self.assertEqual(len(result.refused_jobs) + len(result.ended_at), 64)


class RouteSharesTest(unittest.TestCase):
    """One route sends far more than its share while room is short."""

    def setUp(self) -> None:
        self.rates = arrival_rates.ArrivalRates()
        self.shares = shares.RouteShares(self.rates)
        # For 2 s the small route sends 1,000 and the large one 4,000 ms of
        # work per second.
        for step in range(100):
            at = NOW + 0.02 * step
            self.rates.add(SMALL, 20.0, now=at)
            self.rates.add(LARGE, 80.0, now=at)
        self.now = NOW + 2.0

    def take_all(self, capacity_ms_per_s: float) -> dict[object, int]:
        """Returns how many jobs of one second stand within their share."""
        within = {SMALL: 0, LARGE: 0}
        for step in range(50):
            at = self.now + 0.02 * step
            self.shares.record_short(now=at)
            for route, work_ms in ((SMALL, 20.0), (LARGE, 80.0)):
                self.rates.add(route, work_ms, now=at)
                standing = self.shares.take(
                    route, work_ms, capacity_ms_per_s, now=at
                )
                within[route] += standing is shares.Standing.WITHIN
        return within

    def test_room_that_a_route_does_not_use_is_lent_to_the_others(self) -> None:
        self.assertEqual(
            shares.allocate({SMALL: 1.0, LARGE: 9.0}, 6.0),
            {SMALL: 1.0, LARGE: 5.0},
        )
        self.assertEqual(
            shares.allocate({SMALL: 4.0, LARGE: 9.0}, 6.0),
            {SMALL: 3.0, LARGE: 3.0},
        )

    def test_only_the_route_beyond_its_share_has_excess(self) -> None:
        within = self.take_all(3_000.0)
        self.assertEqual(within[SMALL], 50)
        # Its share is half of what it sends, and BURST_S of it at once.
        self.assertGreater(within[LARGE], 20)
        self.assertLess(within[LARGE], 40)

    def test_nothing_is_excess_while_no_job_is_expected_late(self) -> None:
        standing = self.shares.take(LARGE, 80.0, 1.0, now=self.now)
        self.assertIs(standing, shares.Standing.UNLIMITED)

    def test_shares_end_with_the_overload(self) -> None:
        self.take_all(3_000.0)
        later = self.now + 1.0 + shares.SHORT_HOLD_S
        standing = self.shares.take(LARGE, 80.0, 3_000.0, now=later)
        self.assertIs(standing, shares.Standing.UNLIMITED)

    def test_no_capacity_and_no_demand_raise_no_error(self) -> None:
        self.shares.record_short(now=self.now)
        standing = self.shares.take(LARGE, 80.0, 0.0, now=self.now)
        self.assertIs(standing, shares.Standing.EXCESS)
        self.assertEqual(shares.allocate({}, 5.0), {})
        self.assertEqual(shares.allocate({SMALL: 0.0}, 0.0), {SMALL: 0.0})
        self.assertEqual(shares.allocate({SMALL: 1.0}, -1.0), {SMALL: 0.0})

    def test_clock_that_stands_still_grants_no_share_twice(self) -> None:
        self.shares.record_short(now=self.now)
        standings = [
            self.shares.take(LARGE, 600.0, 3_000.0, now=self.now)
            for _ in range(4)
        ]
        self.assertIs(standings[0], shares.Standing.WITHIN)
        self.assertEqual(standings[2:], [shares.Standing.EXCESS] * 2)


class BurstTest(unittest.TestCase):
    """Replays a burst on the route of narrow jobs."""

    def test_the_other_routes_end_more_jobs_in_time(self) -> None:
        in_time = {True: 0, False: 0}
        for seed in (1, 2):
            load = uneven_load.generate(
                seed, uneven_load.SHAPES["burst_narrow"], duration_s=9.0
            )
            in_time[True] += self.others_in_time(load)
            with without_shares():
                in_time[False] += self.others_in_time(load)
        self.assertGreater(in_time[True], in_time[False])

    def others_in_time(self, load: leased_load.Load) -> int:
        counts = uneven_load.count(load, replay(load))
        return sum(
            counts[name].by_outcome[uneven_load.Outcome.IN_TIME]
            for name in ("wide", "long")
        )


class DecisionRecorder(leased_replay.Replay):
    """Replays a load and keeps the decisions for the log."""

    def __init__(self, load: leased_load.Load) -> None:
        super().__init__(load)
        self.decisions: list[actions.Decided] = []

    def _execute(self, action: actions.Action) -> None:
        if isinstance(action, actions.Decided):
            self.decisions.append(action)
        super()._execute(action)


class LogTest(unittest.TestCase):
    """Operators can't tell why a job was refused without these lines."""

    def test_causes_and_shares_are_logged_with_their_route(self) -> None:
        load = uneven_load.generate(
            1, uneven_load.SHAPES["overload"], factor=1.1, duration_s=6.0
        )
        recorder = DecisionRecorder(load)
        recorder.run()
        found = {
            (decision.event, decision.reason)
            for decision in recorder.decisions
            if decision.route and f"route={decision.route}" in decision.detail
        }
        self.assertLessEqual(
            {
                ("job_refused", "overloaded"),
                ("job_refused", "over_share"),
                ("job_kept_late", ""),
                ("job_of_no_use", "overloaded"),
                ("route_share_used", "within"),
                ("route_share_used", "excess"),
            },
            found,
        )
        used = [d for d in recorder.decisions if d.event == "route_share_used"]
        self.assertTrue(all(decision.amount > 0 for decision in used))
        # A line each second for each route and standing, not for each job.
        self.assertLess(len(used), 6 * 6 * 2)


class BelowCapacityTest(unittest.TestCase):
    """Loads that the upstreams can serve are served as before."""

    def test_all_answers_are_the_same_as_without_this_part(self) -> None:
        load = uneven_load.generate(1, uneven_load.SHAPES["quiet"])
        result = replay(load)
        with without_shares(), without_late_jobs(), without_useless_jobs():
            before = replay(load)
        self.assertEqual(result.ended_at, before.ended_at)
        self.assertEqual(result.run_count, before.run_count)
        self.assertEqual(result.refused_jobs, set())


class ArrivalRatesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rates = arrival_rates.ArrivalRates()

    def test_steady_rate_is_known_after_the_least_span(self) -> None:
        for step in range(200):
            at = NOW + 0.01 * step
            self.assertEqual(self.rates.known(now=at), step >= 100)
            self.rates.add(SMALL, 10.0, now=at)
        self.assertAlmostEqual(
            self.rates.by_route(now=NOW + 2.0)[SMALL], 1_000.0, delta=30.0
        )

    def test_long_average_tells_a_crowd_from_an_overload(self) -> None:
        for step in range(40):
            self.rates.add(SMALL, 100.0, now=NOW + 0.01 * step)
        later = NOW + 2.0
        self.assertLess(self.rates.sustained(now=later), 2_500.0)
        for step in range(300):
            self.rates.add(SMALL, 100.0, now=later + 0.01 * step)
        self.assertGreater(self.rates.sustained(now=later + 3.0), 5_000.0)

    def test_route_without_arrivals_is_forgotten(self) -> None:
        self.rates.add(SMALL, 10.0, now=NOW)
        later = NOW + arrival_rates.RETENTION_S + 1.0
        self.assertEqual(self.rates.by_route(now=later), {})

    def test_clock_that_goes_back_raises_no_error(self) -> None:
        self.rates.add(SMALL, 10.0, now=NOW)
        self.rates.add(SMALL, 10.0, now=NOW - 5.0)
        self.assertEqual(self.rates.by_route(now=NOW - 5.0), {SMALL: 0.0})
        self.assertGreater(self.rates.by_route(now=NOW + 1.0)[SMALL], 0.0)


class UselessJobsTest(unittest.TestCase):
    """Jobs wait until their answers are of no use, and others could run."""

    def test_job_is_useless_after_three_times_its_target(self) -> None:
        # Its target response time is 0.22 s.
        job = make_job()
        latest = NOW + 3 * job.target_response_s - 0.1
        for at, useless in ((latest - 0.01, False), (latest + 0.01, True)):
            self.assertEqual(
                useless_jobs.is_useless(job, least_slowness=1.0, now=at),
                useless,
            )

    def test_job_is_useless_once_its_caller_has_left(self) -> None:
        job = make_job()
        job.deadline = NOW + 0.15
        self.assertFalse(
            useless_jobs.is_useless(job, least_slowness=1.0, now=NOW + 0.04)
        )
        self.assertTrue(
            useless_jobs.is_useless(job, least_slowness=1.0, now=NOW + 0.06)
        )

    def test_job_whose_earlier_run_may_still_end_is_kept(self) -> None:
        # An upstream that reports late after a change of leader may run it.
        job = make_job()
        job.earlier_runs_end_by = NOW + 2.0
        for at, useless in ((NOW + 1.9, False), (NOW + 2.1, True)):
            self.assertEqual(
                useless_jobs.is_useless(job, least_slowness=1.0, now=at),
                useless,
            )

    def test_without_upstreams_a_job_is_not_called_useless(self) -> None:
        self.assertFalse(
            useless_jobs.is_useless(make_job(), least_slowness=0.0, now=NOW)
        )

    def test_more_jobs_are_served_in_an_overload(self) -> None:
        served = {True: 0.0, False: 0.0}
        for seed in (1, 2):
            load = uneven_load.generate(
                seed, uneven_load.SHAPES["overload"], duration_s=8.0
            )
            for ends in (True, False):
                with contextlib.ExitStack() as stack:
                    stack.enter_context(without_shares())
                    stack.enter_context(without_late_jobs())
                    if not ends:
                        stack.enter_context(without_useless_jobs())
                    counts = uneven_load.count(load, replay(load))
                served[ends] += uneven_load.served(counts)
        self.assertGreater(served[True], served[False])


class RetryTimesTest(unittest.TestCase):
    """Many callers are refused in the same moment."""

    def test_caller_refused_while_there_is_room_may_return_at_once(
        self,
    ) -> None:
        world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=2)
        world.link_all()
        world.run(1.0)
        calls = [
            world.submit("a1", f"job{number}", wait_s=0.02)
            for number in range(8)
        ]
        world.run(0.05)
        for call in calls:
            answer = world.answers[call][1]
            self.assertEqual(answer.end, model.JobEnd.REFUSED)
            self.assertLess(answer.retry_after_s, 1.0)

    def test_callers_are_told_different_times(self) -> None:
        told = [retry_times.spread(0.3, f"job{n}") for n in range(400)]
        seconds = collections.Counter(map(math.ceil, told))
        self.assertGreaterEqual(min(told), 0.3)
        self.assertLessEqual(max(told), retry_times.MAX_RETRY_AFTER_S)
        # In whole seconds, as in the header, no second gets most of them.
        self.assertGreaterEqual(len(seconds), 4)
        self.assertLess(max(seconds.values()), 150)

    def test_a_caller_is_told_the_same_time_again(self) -> None:
        self.assertEqual(
            retry_times.spread(0.3, "job"), retry_times.spread(0.3, "job")
        )

    def test_names_that_are_no_valid_text_raise_no_error(self) -> None:
        self.assertGreaterEqual(retry_times.spread(0.3, "\udc80"), 0.3)

    def test_the_time_is_bounded(self) -> None:
        for number in range(50):
            self.assertLessEqual(
                retry_times.spread(1e9, f"job{number}"),
                retry_times.MAX_RETRY_AFTER_S,
            )


class NewLeaderTest(unittest.TestCase):
    """The leader is lost while room is short."""

    def test_next_leader_starts_without_shares_and_rates(self) -> None:
        world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=2)
        world.link_all()
        world.run(1.0)
        world.run_time_ms = 200.0
        for number in range(60):
            world.submit("a1", f"job{number}", tasks=2, wait_s=5.0)
            world.run(0.04)
        (leader,) = world.leaders()
        self.assertTrue(self.meter(world, leader).rates.known(now=world.now))
        world.kill(leader)
        survivor = next(name for name in world.hosts if name != leader)
        for number in range(10):
            world.submit(survivor, f"late{number}", tasks=2, wait_s=5.0)
        world.run(0.9)
        (successor,) = world.leaders()
        self.assertNotEqual(successor, leader)
        # Jobs that were handed over tell nothing about the rate of arrivals.
        self.assertEqual(
            self.meter(world, successor).rates.by_route(now=world.now), {}
        )
        world.run(5.0)
        self.assertEqual(world.overlaps(), [])

    def meter(self, world: leased_world.World, name: str):
        return world.hosts[name]._dispatcher._meter


class JobTest(unittest.TestCase):
    def test_job_handed_to_a_new_leader_is_neither_late_nor_excess(
        self,
    ) -> None:
        job = make_job()
        self.assertFalse(job.kept_late)
        self.assertFalse(job.over_share)


class BadInputTest(unittest.TestCase):
    """An operator has mistyped a value that no decision depends on."""

    def decode(self, priority: object) -> configuration.Configuration:
        row = {"host": "h", "service": "s", "name": "n", "prefix": "/"}
        document = {"version": 1, "routes": [{**row, "priority": priority}]}
        return configuration.decode(json.dumps(document).encode())

    def test_priority_out_of_range_does_not_cost_the_configuration(
        self,
    ) -> None:
        for value, priority in (
            (-1, 0),
            (7, 2),
            (1.5, 2),
            (10**400, 2),
            ("high", 0),
            (None, 0),
            (True, 0),
            ([], 0),
        ):
            with self.subTest(value=str(value)[:20]):
                read = self.decode(value)
                found = read.route("h", "/")
                self.assertIsNotNone(found)
                self.assertEqual(found.settings.priority, priority)
                (remark,) = read.remarks
                self.assertIn("correct the configuration", remark)

    def test_valid_priorities_cause_no_remark(self) -> None:
        for value in (0, 1, 2):
            self.assertEqual(self.decode(value).remarks, ())


class MetricsTest(unittest.TestCase):
    def test_refusals_are_counted_by_cause_and_route(self) -> None:
        metrics = leased_metrics.LeasedMetrics()
        metrics.count_route_event("job_refused", "over_share", "orders", 1)
        metrics.count_route_event("job_refused", "over_share", "orders", 1)
        self.assertIn(
            b'godwitnotch_route_decisions_total{event="job_refused",'
            b'reason="over_share",route="orders"} 2\n',
            metrics.render(()),
        )

    def test_route_names_are_escaped(self) -> None:
        # An unescaped quote makes the scraper reject all metrics of the host.
        metrics = leased_metrics.LeasedMetrics()
        metrics.count_route_event("job_kept_late", "", 'a"b\\c\nd', 1)
        self.assertIn(b'route="a\\"b\\\\c\\nd"} 1\n', metrics.render(()))

    def test_number_of_series_is_bounded(self) -> None:
        metrics = leased_metrics.LeasedMetrics()
        for number in range(leased_metrics.MAX_ROUTE_SERIES + 10):
            metrics.count_route_event("job_refused", "", f"r{number}", 1)
        lines = metrics.render(()).count(b"route=")
        self.assertEqual(lines, leased_metrics.MAX_ROUTE_SERIES)


if __name__ == "__main__":
    unittest.main()
