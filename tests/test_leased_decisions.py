"""Tests of single components for leased runs, such as the queue."""

import json
import math
import os
import random
import socket
import statistics
import unittest
import unittest.mock

import msgspec

from godwitnotch import log
from godwitnotch import log_streams
from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import admission
from godwitnotch.core.leased import cell_load
from godwitnotch.core.leased import cells
from godwitnotch.core.leased import cold_upstreams
from godwitnotch.core.leased import events
from godwitnotch.core.leased import evidence
from godwitnotch.core.leased import health
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import leadership
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import lease_manager
from godwitnotch.core.leased import listing
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox
from godwitnotch.core.leased import owned_jobs
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import placement
from godwitnotch.core.leased import run_outcomes
from godwitnotch.core.leased import run_spread
from godwitnotch.core.leased import run_times
from godwitnotch.core.leased import task_records
from godwitnotch.core.leased import waiting
from godwitnotch.net import codec
from godwitnotch.platform import configuration
from godwitnotch.platform import fields
from godwitnotch.platform import settings
from godwitnotch.platform import upstreams
from tests import explain_messages
from tests import leased_world
from tests import relay_messages

NOW = 100.0


def make_job(
    name: str = "j",
    *,
    tasks: int = 1,
    base_ms: float = 100.0,
    age_s: float = 0,
    rack: str = "",
) -> jobs.LeasedJob:
    return jobs.LeasedJob(
        request=leased_world.request(
            name, tasks, estimate_ms=base_ms, rack=rack
        ),
        owner=ids.HostId("a"),
        arrived_at=NOW - age_s,
        deadline=NOW + 10,
        earlier_runs_end_by=0.0,
        base_ms=base_ms,
    )


def held_lease(
    name: str, *, cpu: int = 2_000, labels: tuple = ("a",)
) -> lease.Lease:
    entry = model.LeasedUpstream(
        upstream=ids.UpstreamId(name),
        address=f"{name}:1",
        domain=ids.DomainId("d"),
        service=leased_world.SERVICE,
        slots=8,
        capacity=model.Resources(cpu, 1_000, 0),
        labels=labels,
        draining=False,
    )
    return lease.Lease(entry, state=lease.LeaseState.HELD)


class ListingTest(unittest.TestCase):
    """Tests lists that lack live upstreams, as after a partition or outage."""

    def setUp(self) -> None:
        self.near = held_lease("near").upstream
        self.far = held_lease("far").upstream
        self.listing = listing.UpstreamListing(now=NOW)
        self.listing.update((self.near, self.far), now=NOW)

    def test_missing_upstream_is_kept_for_the_retention_time(self) -> None:
        self.assertFalse(self.listing.update((self.near,), now=NOW + 1))
        self.assertFalse(self.listing.update((self.near,), now=NOW + 3))
        self.assertEqual(self.listing.upstreams, (self.near, self.far))
        self.assertTrue(self.listing.update((self.near,), now=NOW + 4))
        self.assertEqual(self.listing.upstreams, (self.near,))

    def test_retention_time_restarts_after_a_return(self) -> None:
        self.listing.update((self.near,), now=NOW + 1)
        self.listing.update((self.near, self.far), now=NOW + 3)
        self.listing.update((self.near,), now=NOW + 5)
        self.assertIn(self.far, self.listing.upstreams)

    def test_leaving_upstream_is_removed_with_its_entry(self) -> None:
        leaving = msgspec.structs.replace(self.far, draining=True)
        self.listing.update((self.near, leaving), now=NOW + 1)
        self.assertTrue(self.listing.update((self.near,), now=NOW + 2))
        self.assertEqual(self.listing.upstreams, (self.near,))

    def test_upstream_whose_address_was_reused_is_removed(self) -> None:
        successor = msgspec.structs.replace(self.near, address=self.far.address)
        self.listing.update((successor,), now=NOW + 1)
        self.assertEqual(self.listing.upstreams, (successor,))

    def test_upstream_with_an_unreadable_entry_is_removed(self) -> None:
        self.listing.update(
            (self.near,), unreadable=(self.far.upstream,), now=NOW + 1
        )
        self.assertEqual(self.listing.upstreams, (self.near,))

    def test_listing_is_incomplete_while_removed_upstreams_may_run(
        self,
    ) -> None:
        later = NOW + listing.MAX_RUN_AFTER_REMOVAL_S + 1
        self.assertTrue(self.listing.complete(now=later))
        self.listing.update((self.near,), now=later)
        self.assertTrue(self.listing.complete(now=later + 1))
        self.listing.update((self.near,), now=later + 3)
        self.assertFalse(self.listing.complete(now=later + 4))
        self.assertTrue(
            self.listing.complete(
                now=later + 4 + listing.MAX_RUN_AFTER_REMOVAL_S
            )
        )


class WaitingQueueSortTest(unittest.TestCase):
    def sort_jobs(self, *queued_jobs: jobs.LeasedJob) -> list[jobs.LeasedJob]:
        queue = waiting.WaitingQueue()
        for each in queued_jobs:
            queue.update(each)
        return list(queue.ordered(now=NOW))

    def test_small_jobs_go_before_large_jobs(self) -> None:
        large = make_job("large", tasks=4, base_ms=900.0)
        small = make_job("small", tasks=2, base_ms=100.0)
        self.assertEqual(self.sort_jobs(large, small), [small, large])

    def test_jobs_that_can_end_in_time_go_before_late_jobs(self) -> None:
        late = make_job("late", base_ms=50.0, age_s=1.0)
        large = make_job("large", tasks=4, base_ms=900.0)
        self.assertEqual(self.sort_jobs(late, large), [large, late])

    def test_urgent_job_goes_before_an_equal_job(self) -> None:
        fresh = make_job("fresh")
        urgent = make_job("urgent", age_s=0.1)
        self.assertEqual(self.sort_jobs(fresh, urgent), [urgent, fresh])

    def test_wide_urgent_job_goes_before_a_smaller_one_that_can_wait(
        self,
    ) -> None:
        narrow = make_job("narrow", tasks=2, base_ms=200.0)
        wide = make_job("wide", tasks=16, base_ms=60.0, age_s=0.05)
        self.assertEqual(self.sort_jobs(narrow, wide), [wide, narrow])


class WaitingQueueTest(unittest.TestCase):
    def test_long_queue_is_not_sorted_for_each_event(self) -> None:
        # In benchmarks of large deployments, a leader that sorted all waiting
        # jobs at each event, thousands of times per second, lost its links.
        queue = waiting.WaitingQueue()
        many = [make_job(f"j{number}") for number in range(400)]
        for each in many:
            queue.update(each)
        with unittest.mock.patch.object(
            waiting, "_sort_key", wraps=waiting._sort_key
        ) as sort_key:
            for step in range(200):
                now = NOW + step * 0.0001
                next(iter(queue.ordered(now=now)))
                queue.ahead_ms(many[0], now=now)
                queue.total_ms(now=now)
        self.assertLess(sort_key.call_count, 2_000)

    def test_jobs_added_since_the_last_sort_count_as_ahead(self) -> None:
        queue = waiting.WaitingQueue()
        for number in range(40):
            queue.update(make_job(f"j{number}", base_ms=10.0))
        queue.total_ms(now=NOW)
        late = make_job("late", base_ms=10.0)
        for number in range(5):
            queue.update(make_job(f"new{number}", base_ms=10.0))
        queue.update(late)
        self.assertEqual(queue.ahead_ms(late, now=NOW), 450.0)

    def test_removed_and_started_jobs_are_left_out(self) -> None:
        queue = waiting.WaitingQueue()
        removed, started, waits = (
            make_job("removed"),
            make_job("started"),
            make_job("waits"),
        )
        for each in (removed, started, waits):
            queue.update(each)
        queue.discard(removed)
        started.set_state(started.tasks[0], jobs.TaskState.ORDERED)
        queue.update(started)
        self.assertEqual(list(queue.ordered(now=NOW)), [waits])


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.times = run_times.RunTimes()
        self.health = health.UpstreamHealth()
        self.cold = cold_upstreams.ColdUpstreams()
        self.spread = run_spread.RunSpread()
        self.placement = placement.Placement(
            self.times, self.health, cold=self.cold, spread=self.spread
        )

    def choose(
        self, queued: jobs.LeasedJob, *leases: lease.Lease
    ) -> str | None:
        chosen = self.placement.choose(queued, queued.tasks[0], leases, now=NOW)
        return None if chosen is None else chosen.upstream.upstream

    def learn(self, upstream: lease.Lease, ran_ms: float) -> None:
        for _ in range(20):
            request = leased_world.request("old")
            self.times.run_succeeded(
                request, upstream.upstream, ran_ms=ran_ms, now=NOW
            )

    def test_full_upstreams_are_skipped_without_a_prediction(self) -> None:
        # In a benchmark of a large deployment, the leader used all CPU
        # time to predict run times at 350 upstreams for each task, although
        # most of these upstreams were full.
        full = [held_lease(f"full{number}", cpu=500) for number in range(350)]
        free = held_lease("free")
        with unittest.mock.patch.object(
            self.times, "slowness", wraps=self.times.slowness
        ) as slowness:
            self.assertEqual(self.choose(make_job(), *full, free), "free")
        self.assertLess(slowness.call_count, 5)

    def add_run(
        self, upstream: lease.Lease, *, expected_s: float
    ) -> lease.Lease:
        """Fills an upstream with a run of an expected duration."""
        run = lease.Run(
            model.RunKey(make_job("other").tasks[0].key, model.RunNumber(1)),
            None,
            upstream.upstream.capacity,
            lease.RunState.RUNNING,
            ordered_at=NOW,
            expected_s=expected_s,
        )
        upstream.add_run(run)
        return upstream

    def slow_and_fast(self, factor: float) -> tuple[lease.Lease, lease.Lease]:
        slow, fast = held_lease("slow"), held_lease("fast")
        self.times.set_slowness(slow.upstream.upstream, factor)
        self.times.set_slowness(fast.upstream.upstream, 1.0)
        return slow, fast

    def test_task_waits_for_a_faster_upstream_to_end_in_time(self) -> None:
        # In a benchmark of a deployment where the target response time of a
        # job is 1.6 times its run time, 40 of 208 large jobs were late. Many of
        # them had a task at one of the eight upstreams that take 2.4 times as
        # long as others.
        slow, fast = self.slow_and_fast(3.0)
        self.add_run(fast, expected_s=0.05)
        self.assertIsNone(self.choose(make_job(), fast, slow))

    def learn_runs(self, ran_ms: tuple[float, ...]) -> None:
        for _ in range(200):
            for each in ran_ms:
                self.spread.learn(
                    make_job().request.settings.route,
                    expected_ms=100.0,
                    ran_ms=each,
                )

    def test_task_waits_if_only_a_run_of_exactly_its_length_is_in_time(
        self,
    ) -> None:
        # A task that is expected to end just in time ends late about every
        # second time, though it could have waited for a faster upstream.
        slow, fast = self.slow_and_fast(2.1)
        self.add_run(fast, expected_s=0.05)
        self.learn_runs((75.0, 133.0))
        self.assertIsNone(self.choose(make_job(), fast, slow))

    def test_task_does_not_wait_if_runs_take_as_long_as_expected(self) -> None:
        slow, fast = self.slow_and_fast(2.1)
        self.add_run(fast, expected_s=0.05)
        self.learn_runs((100.0,))
        self.assertEqual(self.choose(make_job(), fast, slow), "slow")

    def test_spread_follows_the_runs_and_stays_bounded(self) -> None:
        route = make_job().request.settings.route
        self.learn_runs((1.0, 100_000.0))
        wide = self.spread.long_run_factor(route)
        self.learn_runs((100.0,))
        narrow = self.spread.long_run_factor(route)
        limit = math.exp(run_spread.MAX_LOG_SPREAD)
        self.assertAlmostEqual(wide, limit, places=2)
        self.assertLess(narrow, 1.1)

    def test_wait_for_a_faster_upstream_ends_when_one_has_room(self) -> None:
        slow, fast = self.slow_and_fast(3.0)
        self.add_run(fast, expected_s=0.05)
        queued = make_job()
        self.assertIsNone(self.choose(queued, fast, slow))
        leases = (fast, slow)
        self.assertTrue(
            self.placement.still_waits_for_faster(queued, leases, now=NOW)
        )
        (run,) = fast.runs.values()
        fast.remove_run(run)
        self.assertFalse(
            self.placement.still_waits_for_faster(queued, leases, now=NOW)
        )
        self.assertEqual(self.choose(queued, fast, slow), "fast")

    def test_slow_upstream_is_used_if_the_task_ends_in_time(self) -> None:
        slow, fast = self.slow_and_fast(1.5)
        self.add_run(fast, expected_s=0.05)
        self.assertEqual(self.choose(make_job(), fast, slow), "slow")

    def test_task_does_not_wait_for_an_upstream_that_is_free_too_late(
        self,
    ) -> None:
        slow, fast = self.slow_and_fast(3.0)
        self.add_run(fast, expected_s=0.5)
        self.assertEqual(self.choose(make_job(), fast, slow), "slow")

    def test_late_job_takes_any_free_upstream(self) -> None:
        slow, fast = self.slow_and_fast(3.0)
        self.add_run(fast, expected_s=0.05)
        self.assertEqual(self.choose(make_job(age_s=1.0), fast, slow), "slow")

    def test_fastest_upstream_with_free_resources_is_chosen(self) -> None:
        slow, fast = held_lease("slow"), held_lease("fast")
        self.learn(slow, 300.0)
        self.learn(fast, 100.0)
        self.assertEqual(self.choose(make_job(), slow, fast), "fast")
        fast.free_resources = model.Resources(500, 0, 0)
        self.assertEqual(self.choose(make_job(), slow, fast), "slow")

    def test_equal_upstreams_are_filled_one_after_the_other(self) -> None:
        empty, partly_used = held_lease("empty"), held_lease("begun")
        partly_used.free_resources = model.Resources(1_000, 500, 0)
        self.assertEqual(self.choose(make_job(), empty, partly_used), "begun")

    def test_excluded_upstreams_are_not_chosen(self) -> None:
        one, other = held_lease("one"), held_lease("other")
        waiting_job = make_job()
        waiting_job.tasks[0].excluded_instances.add(one.instance)
        self.assertEqual(self.choose(waiting_job, one, other), "other")
        self.assertIsNone(self.choose(waiting_job, one))

    def test_upstreams_unheld_failing_or_unlisted_get_no_task(self) -> None:
        unheld = held_lease("unheld")
        unheld.state = lease.LeaseState.AWAITING_LIST
        failing = held_lease("failing")
        for name in ("one", "two"):
            self.health.run_failed(
                failing.upstream.upstream, model.JobName(name), now=NOW
            )
        unlisted = held_lease("unlisted")
        unlisted.listed = False
        self.assertIsNone(self.choose(make_job(), unheld, failing, unlisted))


class AdmissionTest(unittest.TestCase):
    def test_job_that_ends_in_time_is_admitted(self) -> None:
        load = admission.Load(slots=4.0, waiting_ms=200.0, remaining_ms=400.0)
        decision = admission.decide(make_job(), 200.0, load, now=NOW)
        self.assertTrue(decision.admitted)

    def test_job_that_ends_too_late_is_refused_with_a_retry_time(self) -> None:
        load = admission.Load(slots=4.0, waiting_ms=4_000.0, remaining_ms=400.0)
        decision = admission.decide(make_job(), 4_000.0, load, now=NOW)
        self.assertFalse(decision.admitted)
        self.assertGreaterEqual(decision.retry_after_s, 1.0)
        self.assertLessEqual(
            decision.retry_after_s, admission.MAX_RETRY_AFTER_S
        )

    def test_long_job_is_admitted_if_no_job_is_ahead(self) -> None:
        load = admission.Load(slots=4.0, waiting_ms=0.0, remaining_ms=9_000.0)
        late = make_job(base_ms=5_000.0, age_s=9.0)
        self.assertTrue(admission.decide(late, 0.0, load, now=NOW).admitted)

    def test_job_is_refused_without_upstreams(self) -> None:
        load = admission.Load(slots=0.0, waiting_ms=0.0, remaining_ms=0.0)
        self.assertFalse(
            admission.decide(make_job(), 0.0, load, now=NOW).admitted
        )


class EvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.times = run_times.RunTimes()
        self.health = health.UpstreamHealth()
        self.evidence = evidence.EvidenceSharing(self.times, self.health)
        self.slow = held_lease("slow").upstream
        self.learn(self.slow, 300.0)

    def learn(self, upstream: model.LeasedUpstream, ran_ms: float) -> None:
        for _ in range(20):
            request = leased_world.request("old")
            self.times.run_succeeded(request, upstream, ran_ms=ran_ms, now=NOW)

    def eject(self, upstream: model.LeasedUpstream) -> None:
        for number in range(health.EJECTION_FAILED_JOB_COUNT):
            name = model.JobName(f"failed{number}")
            self.health.run_failed(upstream.upstream, name, now=NOW)

    def test_receiving_host_has_the_same_evidence(self) -> None:
        self.eject(self.slow)
        times = run_times.RunTimes()
        other_health = health.UpstreamHealth()
        other_evidence = evidence.EvidenceSharing(times, other_health)
        other_evidence.apply(
            self.evidence.all_entries(now=NOW + 0.2), now=NOW + 7
        )
        self.assertAlmostEqual(
            times.slowness(self.slow), self.times.slowness(self.slow), 2
        )
        until = NOW + 7 + health.FIRST_EJECTION_S - 0.2
        slow = self.slow.upstream
        self.assertFalse(other_health.usable(slow, now=until - 0.01))
        self.assertTrue(other_health.usable(slow, now=until + 0.01))
        self.assertTrue(other_health.half_open(slow))

    def test_only_changed_entries_are_sent_again(self) -> None:
        self.assertIsNotNone(self.evidence.changed_entries(now=NOW))
        self.assertIsNone(self.evidence.changed_entries(now=NOW))
        self.eject(self.slow)
        changes = self.evidence.changed_entries(now=NOW)
        self.assertEqual([each.ejections for each in changes.upstreams], [1])
        self.health.run_succeeded(self.slow.upstream)
        changes = self.evidence.changed_entries(now=NOW)
        self.assertEqual([each.ejections for each in changes.upstreams], [0])

    def test_cleared_upstream_is_cleared_at_the_receiving_host(self) -> None:
        self.eject(self.slow)
        other_health = health.UpstreamHealth()
        other_evidence = evidence.EvidenceSharing(
            run_times.RunTimes(), other_health
        )
        other_evidence.apply(self.evidence.all_entries(now=NOW), now=NOW)
        self.health.run_succeeded(self.slow.upstream)
        other_evidence.apply(self.evidence.all_entries(now=NOW), now=NOW)
        self.assertFalse(other_health.half_open(self.slow.upstream))

    def test_removed_upstreams_are_forgotten(self) -> None:
        self.eject(self.slow)
        self.evidence.follow_listing({ids.UpstreamId("other"): 0})
        self.assertEqual(self.evidence.all_entries(now=NOW).upstreams, ())


class RunTimesTest(unittest.TestCase):
    def test_bias_of_estimates_is_separated_from_upstream_speed(
        self,
    ) -> None:
        times = run_times.RunTimes()
        rng = random.Random(1)
        slow, fast = held_lease("slow").upstream, held_lease("fast").upstream
        for _ in range(400):
            request = leased_world.request("j", estimate_ms=50.0)
            times.run_succeeded(
                request,
                slow,
                ran_ms=200.0 * rng.uniform(0.9, 1.1),
                now=NOW,
            )
            times.run_succeeded(
                request,
                fast,
                ran_ms=100.0 * rng.uniform(0.9, 1.1),
                now=NOW,
            )
        ratio = times.slowness(slow) / times.slowness(fast)
        self.assertAlmostEqual(ratio, 2.0, delta=0.25)
        request = leased_world.request("j", estimate_ms=50.0)
        predicted = times.base_ms(request) * times.slowness(fast)
        self.assertAlmostEqual(predicted, 100.0, delta=20.0)

    def test_runs_away_from_their_rack_do_not_make_an_upstream_slow(
        self,
    ) -> None:
        # Upstreams that got more of these runs than others counted as slower by
        # up to the factor, and so did all upstreams of a rack without jobs.
        times = run_times.RunTimes(locality.Racks(3.0))
        away = held_lease("away", labels=("kind", "rack-b")).upstream
        local = held_lease("local", labels=("kind", "rack-a")).upstream
        request = leased_world.request("j", estimate_ms=100.0, rack="rack-a")
        for _ in range(100):
            times.run_succeeded(request, away, ran_ms=300.0, now=NOW)
            times.run_succeeded(request, local, ran_ms=100.0, now=NOW)
        times.run_overdue(request, away, running_ms=330.0, now=NOW)
        self.assertAlmostEqual(times.slowness(away), 1.0, delta=0.15)
        self.assertAlmostEqual(times.slowness(local), 1.0, delta=0.05)
        self.assertAlmostEqual(times.base_ms(request), 100.0, delta=5.0)

    def test_task_away_from_its_rack_sets_the_run_time_of_its_job(
        self,
    ) -> None:
        # The next tasks of the job were expected to take as long in the rack as
        # the first one took away from it.
        times = run_times.RunTimes(locality.Racks(3.0))
        records = run_outcomes.RunOutcomes(
            outbox.Outbox(),
            times,
            health.UpstreamHealth(),
            task_records.TaskRecords(),
        )
        away = held_lease("away", labels=("kind", "rack-b"))
        queued = make_job(rack="rack-a")
        run = lease.Run(
            model.RunKey(queued.tasks[0].key, model.RunNumber(1)),
            queued,
            queued.request.tasks.needs,
            lease.RunState.RUNNING,
            ordered_at=NOW,
            expected_s=0.3,
            confirmed_at=NOW,
        )
        records.run_succeeded(away, run, queued, now=NOW + 0.3)
        self.assertTrue(queued.base_ms_measured)
        self.assertAlmostEqual(queued.base_ms, 100.0, delta=1.0)

    def test_overdue_runs_do_not_shift_the_scale(self) -> None:
        # While orders stayed unanswered in a benchmark, overdue runs raised the
        # slowness of all upstreams, and the expected work of all jobs fell to
        # an eighth.
        times = run_times.RunTimes()
        upstreams = [held_lease(f"u{number}").upstream for number in range(4)]
        request = leased_world.request("j", estimate_ms=100.0)
        now = NOW
        for step in range(600):
            now += 0.02
            upstream = upstreams[step % 4]
            if step % 3 == 0:
                times.run_overdue(request, upstream, running_ms=800.0, now=now)
            times.run_succeeded(request, upstream, ran_ms=100.0, now=now)
            if step % 10 == 0:
                times.update(now=now)
        times.update(now=now)
        slowness = [times.slowness(upstream) for upstream in upstreams]
        self.assertAlmostEqual(statistics.median(slowness), 1.0, delta=0.05)

    def test_slowness_is_usual_again_5_s_after_a_disturbance(self) -> None:
        times = run_times.RunTimes()
        hung, usual = held_lease("hung").upstream, held_lease("usual").upstream
        request = leased_world.request("j", estimate_ms=100.0)
        for upstream in (hung, usual) * 20:
            times.run_succeeded(request, upstream, ran_ms=100.0, now=NOW)
        times.run_overdue(request, hung, running_ms=1_500.0, now=NOW)
        self.assertGreater(times.slowness(hung), 10.0)
        for step in range(25):
            now = NOW + (step + 1) * 0.2
            times.run_succeeded(request, usual, ran_ms=100.0, now=now)
            times.update(now=now)
        self.assertLess(times.slowness(hung), 1.25)


class LeadershipTest(unittest.TestCase):
    def make(self, host: str, rank: int) -> leadership.Leadership:
        return leadership.Leadership(
            host=ids.HostId(host),
            domain=ids.DomainId("d"),
            rank=rank,
            unix_time=lambda: 50.0,
            now=NOW,
        )

    def test_elected_host_takes_a_term_above_all_received_terms(self) -> None:
        candidate = self.make("a", 1)
        now = NOW
        standing = peer_messages.Standing(
            model.Term(9_000_000_123), ids.HostId("b"), 0, False, True
        )
        candidate.peer_linked(ids.HostId("b"), ids.DomainId("d"), now=now)
        candidate.standing_received(ids.HostId("b"), standing, now=now)
        candidate.peer_lost(ids.HostId("b"), now=now)
        change = leadership.LeadershipChange.NONE
        for _ in range(400):
            now += 0.04
            change = candidate.tick(now=now)
            if change is not leadership.LeadershipChange.NONE:
                break
        self.assertIs(change, leadership.LeadershipChange.ELECTED)
        self.assertGreater(candidate.term, 9_000_000_123)

    def test_only_the_best_of_hosts_that_start_together_is_elected(
        self,
    ) -> None:
        # On a benchmark day with many failures, all hosts lost power. Then two
        # hosts were elected in the same tick, and jobs that were handed over to
        # both waited for 1.2 s.
        best, other = self.make("best", 9), self.make("other", 1)
        now = NOW
        while now < NOW + 0.34:  # The links open only after this time.
            now += 0.04
            other.tick(now=now)
            best.tick(now=now)
        for one, peer in ((best, other), (other, best)):
            for extra in ("third", "fourth"):
                one.peer_linked(ids.HostId(extra), ids.DomainId("d"), now=NOW)
                standing = peer_messages.Standing(
                    model.Term(0), ids.HostId(""), 0, False, False
                )
                one.standing_received(ids.HostId(extra), standing, now=NOW)
            name = ids.HostId("other" if one is best else "best")
            one.peer_linked(name, ids.DomainId("d"), now=NOW)
            one.standing_received(name, peer.standing(), now=NOW)
        while not best.leads:
            now += 0.04
            self.assertLess(now, NOW + 0.6)
            other.tick(now=now)
            best.tick(now=now)
        self.assertFalse(other.leads)

    def test_leader_with_the_lower_term_is_not_followed(
        self,
    ) -> None:
        follower = self.make("a", 1)
        for host, term in (("b", 9_000_000), ("c", 8_000_000)):
            name = ids.HostId(host)
            follower.peer_linked(name, ids.DomainId("d"), now=NOW)
            standing = peer_messages.Standing(
                model.Term(term), name, 5, False, True
            )
            follower.standing_received(name, standing, now=NOW)
        self.assertEqual(follower.leader, "b")

    def test_leader_lost_soon_after_the_start_is_replaced(
        self,
    ) -> None:
        # In the demo, two of three hosts waited for the whole delay of the
        # first election.
        candidate = self.make("a", 1)
        now = NOW
        for host in ("b", "c"):
            candidate.peer_linked(ids.HostId(host), ids.DomainId("d"), now=now)
        standing = peer_messages.Standing(
            model.Term(9_000_000), ids.HostId("b"), 0, False, True
        )
        candidate.standing_received(ids.HostId("b"), standing, now=now)
        candidate.tick(now=now)
        candidate.peer_lost(ids.HostId("b"), now=now)
        for _ in range(10):
            now += 0.04
            candidate.tick(now=now)
        self.assertTrue(candidate.leads)

    def test_leader_steps_down_after_a_pause(self) -> None:
        candidate = self.make("a", 1)
        now = NOW
        while not candidate.leads:
            now += 0.04
            candidate.tick(now=now)
        candidate.tick(now=now + 5.0)
        self.assertFalse(candidate.leads)


class CodecTest(unittest.TestCase):
    def test_each_message_is_equal_after_decoding(self) -> None:
        upstream = held_lease("u").upstream
        answer = model.Answer(
            model.JobEnd.REFUSED, model.EndReason.OVERLOADED, 1.5
        )
        examples = (
            peer_messages.Standing(
                model.Term(5), ids.HostId("a"), 3, False, True
            ),
            peer_messages.HostsKnown(
                (model.KnownHost(ids.HostId("a"), ids.DomainId("d")),)
            ),
            peer_messages.ConfigurationWanted(2),
            peer_messages.ConfigurationCopy(3, b"{}"),
            peer_messages.ListedUpstreams((upstream,)),
            peer_messages.UpstreamsCopy(
                (
                    peer_messages.UpstreamEntry(
                        upstream.upstream,
                        upstream.address,
                        upstream.domain,
                        upstream.service,
                        upstream.slots,
                        upstream.capacity,
                        upstream.labels,
                        upstream.draining,
                    ),
                )
            ),
            peer_messages.TasksLearnt(
                (
                    peer_messages.TaskHistory(
                        model.TaskKey(model.JobName("j"), 3),
                        (
                            peer_messages.FailedRun(
                                ids.UpstreamId("u"), model.RunNumber(2)
                            ),
                        ),
                        (
                            peer_messages.UpstreamLoss(
                                ids.UpstreamId("u"),
                                1_000,
                                refused=True,
                                crashed=False,
                            ),
                        ),
                    ),
                )
            ),
            peer_messages.UnfinishedRuns(()),
            peer_messages.UpstreamsLearnt(
                (
                    peer_messages.UpstreamEvidence(
                        ids.UpstreamId("u"), 1.25, 2, 0.5
                    ),
                )
            ),
            peer_messages.JobHandedOver(
                leased_world.request("j"), 1.0, 0.5, 0.0, model.Term(4)
            ),
            peer_messages.AllHandedOver(model.Term(5)),
            peer_messages.JobDeadlineMoved(model.JobName("j"), 1.5),
            peer_messages.JobAnswered(model.JobName("j"), answer),
            peer_messages.JobDropped(model.JobName("j")),
            peer_messages.JobCancelled(model.JobName("j")),
            peer_messages.JobsCancelled((model.JobName("j"),)),
            peer_messages.CancelConfirmed(model.JobName("j"), True),
            peer_messages.FleetDivided(),
            peer_messages.DomainsEvacuated(
                7, frozenset({ids.DomainId("a"), ids.DomainId("b")})
            ),
            cell_load.CellLoad(12.5, 3.0, 800.0),
            peer_messages.JobRedirected(model.JobName("j"), ids.HostId("a")),
            peer_messages.JobMoved(
                peer_messages.JobHandedOver(
                    leased_world.request("j"), 1.0, 0.5, 0.0, model.Term(0)
                ),
                True,
                False,
            ),
            *relay_messages.EXAMPLES,
            *explain_messages.EXAMPLES,
        )
        message_types = set(peer_messages.Message.__args__)
        self.assertEqual({type(each) for each in examples}, message_types)
        for message in examples:
            data = codec.MESSAGES.encode(message)
            self.assertEqual(codec.MESSAGES.decode(data).unwrap(), message)


class DecodingTest(unittest.TestCase):
    VALID_ENTRY = {
        "service": "s",
        "address": "1.2.3.4:5",
        "zone": "d",
        "slots": 8,
        "state": "ready",
        "capacity": {"cpu": 1, "mem_mb": 2, "gpu": 0},
        "labels": ["a"],
    }

    def test_malformed_entries_are_rejected(self) -> None:
        upstreams.decode_upstream("i", json.dumps(self.VALID_ENTRY).encode())
        invalid = [b"", b"\xff", b"[]", b"nul", b"[" * 100_000]
        for name in ("service", "address", "zone", "slots", "state"):
            invalid.append(
                json.dumps({**self.VALID_ENTRY, name: None}).encode()
            )
        invalid.append(
            json.dumps({**self.VALID_ENTRY, "state": "odd"}).encode()
        )
        invalid.append(json.dumps({**self.VALID_ENTRY, "labels": [1]}).encode())
        invalid.append(
            json.dumps({**self.VALID_ENTRY, "capacity": []}).encode()
        )
        invalid.append(json.dumps({**self.VALID_ENTRY, "slots": -1}).encode())
        for value in invalid:
            with (
                self.subTest(value=value[:60]),
                self.assertRaises(fields.WrongFormatError),
            ):
                upstreams.decode_upstream("i", value)

    def test_route_with_the_longest_prefix_is_chosen(self) -> None:
        route = {"host": "H.example", "service": "s"}
        document = {
            "version": 1,
            "routes": [
                {**route, "name": "short", "prefix": "/a/"},
                {**route, "name": "long", "prefix": "/a/b/"},
            ],
        }
        read = configuration.decode(json.dumps(document).encode())
        for path, name in (("/a/x", "short"), ("/a/b/x", "long")):
            found = read.route("h.example", path)
            self.assertIsNotNone(found)
            self.assertEqual(found.settings.route, name)
        self.assertIsNone(read.route("h.example", "/b/"))

    def test_settings_error_names_the_missing_field(self) -> None:
        with self.assertRaisesRegex(
            settings.PlatformSettingsError, "listen.front"
        ):
            settings.parse("node=a\nzone=d\n")

    SETTINGS = (
        "node=a\nzone=d\nlisten.front=127.0.0.1:1\n"
        "listen.ready=127.0.0.1:2\nlisten.control=127.0.0.1:3\n"
        "port_range=9,12\nplatform.address=127.0.0.1:4\n"
    )

    def test_slowdown_factor_is_read(self) -> None:
        for text in ("1", "2", "3.5"):
            read = settings.parse(
                f"{self.SETTINGS}bounds.slowdown_factor={text}\n"
            )
            self.assertEqual(read.slowdown_factor, float(text))
            self.assertEqual(read.defaulted, ())

    def test_unusable_slowdown_factor_falls_back_with_its_cause(self) -> None:
        # A factor below 1 would send tasks away from their data, and one that
        # isn't a number must not keep the host from starting.
        for text in ("0.9", "-2", "0", "nan", "inf", "fast", ""):
            with self.subTest(text=text):
                read = settings.parse(
                    f"{self.SETTINGS}bounds.slowdown_factor={text}\n"
                )
                self.assertEqual(read.slowdown_factor, 1.5)
                (defaulted,) = read.defaulted
                self.assertEqual(defaulted.field, "bounds.slowdown_factor")
                self.assertIn("correct the field", defaulted.cause)
        (defaulted,) = settings.parse(self.SETTINGS).defaulted
        self.assertIn("is missing", defaulted.cause)


class BatchingStreamTest(unittest.TestCase):
    def test_lines_are_written_together_and_in_order(self) -> None:
        written: list[str] = []
        due = []
        stream = log_streams.BatchingStream(
            unittest.mock.Mock(write=written.append), call_later=due.append
        )
        for line in ("a\n", "b\n"):
            stream.write(line)
        self.assertEqual((written, len(due)), ([], 1))
        due.pop()()
        self.assertEqual(written, ["a\nb\n"])
        stream.write("c" * log_streams.MAX_BATCH_CHARS + "\n")
        self.assertEqual(len(written), 2)
        due.pop()()
        self.assertEqual(len(written), 2)


class NonBlockingStreamTest(unittest.TestCase):
    def test_stalled_reader_loses_lines_without_blocking_the_writer(
        self,
    ) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        stream = log_streams.NonBlockingStream(writer)
        for number in range(5_000):
            stream.write(f"event=line number={number} {'x' * 80}\n")
        first = os.read(reader, 1 << 20).decode()
        stream.write("event=after\n")
        stream.write("event=last\n")
        rest = os.read(reader, 1 << 20).decode()
        lines = (first + rest).splitlines()
        self.assertIn("event=log_lines_dropped lines=", first + rest)
        self.assertEqual(lines[-1], "event=last")
        numbers = [line for line in lines if "number=" in line]
        self.assertTrue(all(line.endswith("x" * 80) for line in numbers))

    def test_rare_lines_outlast_routine_ones_in_a_full_pipe(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        stream = log_streams.NonBlockingStream(
            writer, keeps=lambda line: not log.is_routine(line)
        )
        for number in range(5_000):
            stream.write(f"event=run_ordered number={number} {'x' * 80}\n")
            if number % 100 == 99:
                stream.write(f"event=run_lost number={number}\n")
        first = os.read(reader, 1 << 20).decode()
        stream.report_dropped()
        lines = (first + os.read(reader, 1 << 20).decode()).splitlines()
        lost = [line for line in lines if "run_lost" in line]
        ordered = [line for line in lines if "run_ordered" in line]
        self.assertEqual(len(lost), 50)
        self.assertEqual(stream.dropped_lines, 5_000 - len(ordered))
        self.assertGreater(stream.dropped_lines, 3_000)
        notice = f"event=log_lines_dropped lines={stream.dropped_lines}"
        self.assertIn(notice, lines)

    def test_no_write_is_cut_by_a_reader_of_8_kb(self) -> None:
        reader, writer = socket.socketpair(
            socket.AF_UNIX, socket.SOCK_SEQPACKET
        )
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        stream = log_streams.NonBlockingStream(writer.fileno())
        text = "".join(
            f"event=line number={number} {'x' * 80}\n" for number in range(250)
        )
        stream.write(text)
        stream.write(f"event=long {'x' * 10_000}\n")
        writer.close()
        pieces = []
        while piece := reader.recv(1 << 16):
            pieces.append(piece.decode())
        self.assertEqual("".join(pieces), f"{text}event=long {'x' * 10_000}\n")
        self.assertLessEqual(max(map(len, pieces)), 8_192)
        self.assertTrue(all(piece[-1] == "\n" for piece in pieces[:-2]))

    def test_lines_kept_for_a_full_pipe_are_bounded(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        stream = log_streams.NonBlockingStream(writer, keeps=lambda line: True)
        for _ in range(5_000):
            stream.write(f"event=run_lost {'x' * 80}\n")
        os.read(reader, 1 << 20)
        stream.report_dropped()
        rest = os.read(reader, 1 << 20)
        self.assertGreater(stream.dropped_lines, 3_000)
        self.assertLess(len(rest), log_streams.MAX_KEPT_CHARS + 200)


class _NoJobsListener:
    """Finds no job for any run and ignores all calls."""

    def adopt_run(self, key: model.RunKey) -> None:
        return None

    def run_ended(self, *args: object, now: float) -> None:
        pass

    def order_rejected(self, *args: object, now: float) -> None:
        pass

    def unclaimed_run_failed(self, *args: object, now: float) -> None:
        pass

    def upstream_seen(
        self, upstream: str, *, instance_started_ms: int, now: float
    ) -> None:
        pass

    def higher_term_seen(
        self, *args: object, was_held: bool, now: float
    ) -> None:
        pass


class LeaseManagerTest(unittest.TestCase):
    def test_no_lease_is_renewed_before_unclaimed_runs_end(
        self,
    ) -> None:
        out = outbox.Outbox()
        manager = lease_manager.LeaseManager(
            out, _NoJobsListener(), in_scope=lambda _: True
        )
        upstream = held_lease("u").upstream
        manager.start_leading(model.Term(7), [upstream], now=NOW)
        key = model.RunKey(
            model.TaskKey(model.JobName("old"), 0), model.RunNumber(3)
        )
        now = NOW
        for _ in range(20):
            now += 0.05
            for action in out.take():
                if isinstance(action, actions.RenewLease):
                    self.assertIsNone(action.deadline_ms)
                    runs = model.RunList(1, 1, (key,), ())
                    manager.runs_listed(
                        events.RunsListed(action.call, runs), now=now
                    )
            if now > NOW + 0.3:
                manager.end_claim_period(now=now)
            manager.tick(now=now)
        self.assertFalse(manager.holds_any())


class _LookupOnlyLeases(dict):
    """Leases that can be looked up one by one but not iterated over."""

    def values(self) -> None:  # type: ignore[override]
        raise AssertionError("all leases were scanned")


class LeaseLookupTest(unittest.TestCase):
    """Tests that frequent operations do not iterate over all leases."""

    def test_runs_are_adopted_without_a_scan_of_all_leases(self) -> None:
        manager = lease_manager.LeaseManager(
            outbox.Outbox(), _NoJobsListener(), in_scope=lambda _: True
        )
        manager.start_leading(
            model.Term(7), [held_lease("u").upstream], now=NOW
        )
        (upstream,) = manager.leases.values()
        running_job = make_job("runs", tasks=2)
        key = model.RunKey(running_job.tasks[0].key, model.RunNumber(1))
        manager.start_run(upstream, running_job, key, expected_s=0.1, now=NOW)
        manager._leases = _LookupOnlyLeases(manager._leases)
        manager.adopt_runs(running_job, now=NOW)
        self.assertTrue(manager.has_run(running_job.tasks[0].key))
        self.assertFalse(manager.has_run(running_job.tasks[1].key))

    def test_expired_run_is_removed_if_the_upstream_does_not_respond(
        self,
    ) -> None:
        out = outbox.Outbox()
        manager = lease_manager.LeaseManager(
            out, _NoJobsListener(), in_scope=lambda _: True
        )
        manager.start_leading(
            model.Term(7), [held_lease("u").upstream], now=NOW
        )
        (upstream,) = manager.leases.values()
        running_job = make_job("runs")
        key = model.RunKey(running_job.tasks[0].key, model.RunNumber(1))
        manager.start_run(upstream, running_job, key, expected_s=0.1, now=NOW)
        manager.stop_run(upstream, upstream.runs[key.task], now=NOW)
        self.assertEqual(upstream.stopping, {key.task})
        out.take()
        now = NOW + lease.MAX_LEASE_DURATION_S + 0.1
        manager.tick(now=now)
        self.assertTrue(manager.has_run(key.task))
        (asked,) = [
            action
            for action in out.take()
            if isinstance(action, actions.RenewLease)
        ]
        self.assertIsNone(asked.deadline_ms)
        manager.order_unanswered(events.OrderUnanswered(asked.call), now=now)
        self.assertFalse(manager.has_run(key.task))
        self.assertEqual(upstream.stopping, set())


class OwnedJobsTest(unittest.TestCase):
    def test_job_that_was_refused_ran_as_its_owner_was_paused(self) -> None:
        out = outbox.Outbox()
        leaders = cells.CellLeaders()
        sent = []
        owned = owned_jobs.OwnedJobs(
            out, leaders, send=lambda host, message: sent.append(message)
        )
        leader = cells.CellLeader(ids.HostId("one"), model.Term(1), True)
        leaders.set(cells.WHOLE_FLEET, leader)
        request = leased_world.request("j")
        owned.job_received(ids.CallId(1), request, NOW + 5, now=NOW)
        sent.clear()
        owned.leader_changed(
            cells.WHOLE_FLEET, leader.host, leader.term, now=NOW
        )
        # The leader then repeats its earlier answer instead of starting tasks.
        self.assertTrue(sent[0].had_earlier_leader)
        refusal = model.Answer(
            model.JobEnd.REFUSED, model.EndReason.OVERLOADED, 1.0
        )
        owned.job_answered(leader.host, request.job, refusal)
        (answer,) = [
            each.answer
            for each in out.take()
            if isinstance(each, actions.AnswerCaller)
        ]
        self.assertIs(answer.end, model.JobEnd.GIVEN_UP)

    def test_late_redirect_moved_a_job_that_its_leader_had_again(self) -> None:
        leaders = cells.CellLeaders()
        sent = []
        owned = owned_jobs.OwnedJobs(
            outbox.Outbox(),
            leaders,
            send=lambda host, message: sent.append((host, message)),
        )
        leader = cells.CellLeader(ids.HostId("one"), model.Term(1), True)
        other = cells.CellLeader(ids.HostId("two"), model.Term(1), True)
        leaders.set(cells.WHOLE_FLEET, leader)
        leaders.set(model.CellId("d"), other)
        request = leased_world.request("j")
        owned.job_received(ids.CallId(1), request, NOW + 5, now=NOW)
        # The leader redirects the job while its owner hands it over again.
        owned.leader_changed(
            cells.WHOLE_FLEET, leader.host, leader.term, now=NOW
        )
        owned.job_redirected(leader.host, request.job, other.host, now=NOW)
        self.assertEqual({host for host, _ in sent}, {leader.host})

    def test_refusal_by_a_second_leader_does_not_mean_not_started(self) -> None:
        out = outbox.Outbox()
        leaders = cells.CellLeaders()
        owned = owned_jobs.OwnedJobs(
            out, leaders, send=lambda host, message: None
        )
        request = leased_world.request("j")
        for number, host in enumerate(("one", "two"), 1):
            leader = cells.CellLeader(
                ids.HostId(host), model.Term(number), True
            )
            leaders.set(cells.WHOLE_FLEET, leader)
            owned.leader_changed(
                cells.WHOLE_FLEET, leader.host, leader.term, now=NOW
            )
            if number == 1:
                owned.job_received(ids.CallId(1), request, NOW + 5, now=NOW)
        refusal = model.Answer(
            model.JobEnd.REFUSED, model.EndReason.OVERLOADED, 1.0
        )
        owned.job_answered(ids.HostId("two"), model.JobName("j"), refusal)
        (answer,) = [
            each.answer
            for each in out.take()
            if isinstance(each, actions.AnswerCaller)
        ]
        self.assertIs(answer.end, model.JobEnd.GIVEN_UP)
