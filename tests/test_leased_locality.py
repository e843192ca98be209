"""Tests of places near the data: the factor away from a rack, and waits."""

import math
import random
import unittest
import unittest.mock

from bench import leased_load
from bench import leased_replay
from bench import leased_yardstick
from godwitnotch import leased_root
from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import health
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox
from godwitnotch.core.leased import placement
from godwitnotch.core.leased import run_times
from godwitnotch.platform import settings
from tests import leased_world

NOW = 100.0
FACTOR = 2.0


def held_lease(name: str, rack: str) -> lease.Lease:
    """Returns the lease on an upstream with a place for one task."""
    entry = model.LeasedUpstream(
        upstream=ids.UpstreamId(name),
        address=f"{name}:1",
        domain=ids.DomainId("d"),
        service=leased_world.SERVICE,
        slots=8,
        capacity=model.Resources(1_000, 1_000, 0),
        labels=("kind", rack),
        draining=False,
    )
    return lease.Lease(entry, state=lease.LeaseState.HELD)


def make_job(
    name: str, *, tasks: int = 1, rack: str = "near"
) -> jobs.LeasedJob:
    """Returns a job whose tasks run 100 ms in its rack."""
    return jobs.LeasedJob(
        request=leased_world.request(name, tasks, rack=rack),
        owner=ids.HostId("a"),
        arrived_at=NOW,
        deadline=NOW + 10,
        base_ms=100.0,
    )


class RackWaitTest(unittest.TestCase):
    """Decisions on a task whose rack is full while a neighbour is idle."""

    def setUp(self) -> None:
        self.out = outbox.Outbox()
        self.health = health.UpstreamHealth()
        self.placement = placement.Placement(
            run_times.RunTimes(locality.Racks(FACTOR)),
            self.health,
            out=self.out,
        )
        self.near = held_lease("near1", "near")
        self.other_near = held_lease("near2", "near")
        self.far = held_lease("far1", "far")
        self.other_far = held_lease("far2", "far")
        self.fill(self.near, 0.03)
        self.fill(self.other_near, 5.0)

    def fill(self, upstream: lease.Lease, expected_s: float) -> lease.Run:
        job = make_job(f"on-{upstream.upstream.upstream}")
        run = lease.Run(
            model.RunKey(job.tasks[0].key, model.RunNumber(1)),
            job,
            upstream.upstream.capacity,
            lease.RunState.RUNNING,
            ordered_at=NOW,
            expected_s=expected_s,
        )
        upstream.add_run(run)
        return run

    def choose(self, job: jobs.LeasedJob, *, after_s: float = 0) -> str | None:
        leases = (self.near, self.other_near, self.far, self.other_far)
        accepting = self.placement.fastest_first(leases)
        chosen = self.placement.choose(
            job, job.tasks[0], accepting, now=NOW + after_s
        )
        return None if chosen is None else chosen.upstream.upstream

    def wait_ends(self) -> list[str]:
        return [
            each.reason
            for each in self.out.take()
            if isinstance(each, actions.Decided)
            and each.event == "rack_wait_ended"
        ]

    def test_task_waits_for_its_rack_that_is_free_in_a_moment(self) -> None:
        # Without the wait it takes 200 ms away from its rack, for 130 ms.
        job = make_job("j")
        self.assertIsNone(self.choose(job))
        (run,) = self.near.runs.values()
        self.near.remove_run(run)
        self.assertEqual(self.choose(job, after_s=0.03), "near1")
        self.assertEqual(self.wait_ends(), ["gained"])

    def test_job_in_time_elsewhere_waits_too(self) -> None:
        # A run in the rack takes half of the places' time.
        job = make_job("j")
        job.arrived_at = NOW + 1.0
        self.assertIsNone(self.choose(job))

    def test_task_goes_elsewhere_if_its_rack_is_free_too_late(self) -> None:
        self.near.remove_run(next(iter(self.near.runs.values())))
        self.fill(self.near, 0.11)
        self.assertIn(self.choose(make_job("j")), ("far1", "far2"))

    def test_rack_that_nobody_has_is_not_waited_for(self) -> None:
        self.assertIn(self.choose(make_job("j", rack="gone")), ("far1", "far2"))

    def test_hot_rack_has_no_more_waiting_tasks_than_places(self) -> None:
        # Each of the tasks expected the same place, and waited while the
        # neighbours were idle.
        self.assertIsNone(self.choose(make_job("first")))
        self.assertIn(self.choose(make_job("second")), ("far1", "far2"))
        self.assertIn(self.choose(make_job("third")), ("far1", "far2"))

    def test_place_of_a_dropped_job_is_free_when_its_wait_is_over(self) -> None:
        self.assertIsNone(self.choose(make_job("dropped")))
        self.near.remove_run(next(iter(self.near.runs.values())))
        self.fill(self.near, 0.2)
        self.assertIsNone(self.choose(make_job("next"), after_s=0.15))

    def test_wait_ends_at_its_time_if_the_place_does_not_open(self) -> None:
        job = make_job("j")
        job.arrived_at = NOW + 1.0  # It ends in time at any place.
        self.assertIsNone(self.choose(job))
        self.assertIsNone(self.choose(job, after_s=0.09))
        self.assertIn(self.choose(job, after_s=0.101), ("far1", "far2"))
        self.assertEqual(self.wait_ends(), ["lost"])
        # Its next run must not wait or be counted again.
        self.assertIn(self.choose(job, after_s=0.2), ("far1", "far2"))
        self.assertEqual(self.wait_ends(), [])

    def test_wait_ends_if_the_upstream_is_lost_ejected_or_draining(
        self,
    ) -> None:
        def lose(upstream: lease.Lease) -> None:
            upstream.lose(now=NOW)

        def drain(upstream: lease.Lease) -> None:
            upstream.upstream = model.LeasedUpstream(
                **{
                    **{
                        name: getattr(upstream.upstream, name)
                        for name in model.LeasedUpstream.__slots__
                    },
                    "draining": True,
                }
            )

        def eject(upstream: lease.Lease) -> None:
            self.health.set_ejected(
                upstream.upstream.upstream, ejections=1, unusable_until=NOW + 9
            )

        for failure in (lose, drain, eject):
            with self.subTest(failure=failure.__name__):
                self.setUp()
                job = make_job("j")
                self.assertIsNone(self.choose(job))
                failure(self.near)
                self.assertIn(self.choose(job, after_s=0.001), ("far1", "far2"))

    def test_wait_goes_on_for_another_place_until_its_first_end(self) -> None:
        job = make_job("j")
        self.assertIsNone(self.choose(job))
        until = job.tasks[0].rack_wait.until
        self.near.lose(now=NOW)
        self.other_near.remove_run(next(iter(self.other_near.runs.values())))
        self.fill(self.other_near, 0.05)
        self.assertIsNone(self.choose(job, after_s=0.02))
        self.assertEqual(job.tasks[0].rack_wait.upstream, "near2")
        self.assertEqual(job.tasks[0].rack_wait.until, until)

    def test_tasks_of_a_job_wait_one_after_the_other_for_a_bounded_time(
        self,
    ) -> None:
        # Each of 32 tasks waited anew for the next place of a hot rack.
        job = make_job("wide", tasks=2)
        job.arrived_at = NOW + 1.0  # It ends in time at any place.
        first, second = job.tasks
        leases = (self.near, self.far)
        chosen = self.placement.choose(job, first, leases, now=NOW)
        self.assertIsNone(chosen)
        (run,) = self.near.runs.values()
        self.near.remove_run(run)
        chosen = self.placement.choose(job, first, leases, now=NOW + 0.06)
        self.assertIs(chosen, self.near)
        run.ordered_at, run.expected_s = NOW + 0.06, 0.05
        self.near.add_run(run)
        chosen = self.placement.choose(job, second, leases, now=NOW + 0.06)
        self.assertIs(chosen, self.far)

    def test_a_verdict_alone_records_no_wait(self) -> None:
        # A check whether an overdue run could go elsewhere took a place.
        job = make_job("j")
        leases = (self.near, self.far)
        for _ in range(2):
            verdict = self.placement.decide(job, job.tasks[0], leases, now=NOW)
            self.assertIsInstance(verdict, placement.WaitsForRack)
        self.assertIsNone(job.tasks[0].rack_wait)
        self.assertIsNone(self.choose(make_job("other")))

    def test_waits_of_dropped_jobs_are_forgotten(self) -> None:
        waits = locality.RackWaits(self.out)
        wait = locality.RackWait(
            self.near.upstream.upstream, NOW, NOW + 0.1, NOW + 0.2
        )
        for number in range(100):
            job = make_job(f"j{number}")
            now = NOW + number * locality.CLEANUP_INTERVAL_S
            waits.begin(job.tasks[0].key, wait, now=now)
        self.assertLess(sum(len(each) for each in waits._waits.values()), 5)


class LateJobTest(unittest.TestCase):
    def test_late_job_waits_for_a_slow_upstream_of_its_rack(self) -> None:
        # The search for a faster upstream ended at the first one on which the
        # job would be late, and that was a fast one in another rack.
        times = run_times.RunTimes(locality.Racks(3.0))
        chooser = placement.Placement(times, health.UpstreamHealth())
        far, near = held_lease("far", "far"), held_lease("near", "near")
        times.set_slowness(far.upstream.upstream, 0.9)
        times.set_slowness(near.upstream.upstream, 1.0)
        job = make_job("j")
        # Its wait for the rack is over.
        job.tasks[0].rack_wait = locality.RackWait(
            near.upstream.upstream, NOW - 1, NOW, NOW + 1
        )
        run = lease.Run(
            model.RunKey(make_job("o").tasks[0].key, model.RunNumber(1)),
            None,
            near.upstream.capacity,
            lease.RunState.RUNNING,
            ordered_at=NOW,
            expected_s=0.02,
        )
        near.add_run(run)
        slow_far = held_lease("slow", "far")
        times.set_slowness(slow_far.upstream.upstream, 1.5)
        full = lease.Run(
            model.RunKey(make_job("p").tasks[0].key, model.RunNumber(1)),
            None,
            far.upstream.capacity,
            lease.RunState.RUNNING,
            ordered_at=NOW,
            expected_s=5.0,
        )
        far.add_run(full)
        verdict = chooser.decide(
            job, job.tasks[0], [far, near, slow_far], now=NOW
        )
        self.assertIsInstance(verdict, placement.WaitsForFaster)


class RackLoadTest(unittest.TestCase):
    """Replays loads whose jobs name a rack."""

    def share_in_time(self, *, jobs_per_s: float, hot_share: float) -> float:
        """Returns the share of the jobs that end in time.

        Eight upstreams in four racks run 160 jobs a second, each in its rack.

        Args:
            jobs_per_s: Mean number of arriving jobs per second.
            hot_share: Share of the jobs that name the same rack.
        """
        rng = random.Random(1)
        upstreams = tuple(
            leased_load.make_upstream(
                f"u{number}", 2_000, 8, 1.0, rack=f"r{number % 4}"
            )
            for number in range(8)
        )
        load_jobs: list[leased_load.Job] = []
        arrives_at = 0.0
        while arrives_at < 3.0:
            arrives_at += rng.expovariate(jobs_per_s)
            hot = rng.random() < hot_share
            rack = "r0" if hot else f"r{rng.randrange(4)}"
            work_ms = 100.0 * rng.uniform(0.7, 1.4)
            request = leased_load.make_request(
                f"j{len(load_jobs)}", 1, 1_000, work_ms, rack=rack
            )
            load_jobs.append(
                leased_load.Job(arrives_at, request, (work_ms,), 2.0)
            )
        load = leased_load.Load(
            tuple(load_jobs), upstreams, racks=locality.Racks(FACTOR)
        )
        ended_at = leased_replay.Replay(load).run().ended_at
        in_time_count = sum(
            ended_at.get(job.request.job, math.inf) - job.arrives_at
            <= leased_yardstick.target_response_s(job)
            for job in load_jobs
        )
        return in_time_count / len(load_jobs)

    def test_racks_that_are_free_in_a_moment(self) -> None:
        # 0.56 without waits, as longer runs elsewhere filled all upstreams.
        share = self.share_in_time(jobs_per_s=130, hot_share=0.0)
        self.assertGreater(share, 0.85)

    def test_hot_rack(self) -> None:
        # 0.52 without waits.
        share = self.share_in_time(jobs_per_s=130, hot_share=0.3)
        self.assertGreater(share, 0.7)

    def test_long_queue(self) -> None:
        # 0.29 without waits.
        share = self.share_in_time(jobs_per_s=200, hot_share=0.0)
        self.assertGreater(share, 0.5)


class QueuePassTest(unittest.TestCase):
    def test_jobs_that_wait_for_a_rack_hold_up_no_job_behind_them(self) -> None:
        # A pass over the queue ends after four jobs without room; jobs that wait
        # for their rack by choice counted among them.
        upstreams = tuple(
            leased_load.make_upstream(rack, 6_000, 8, 1.0, rack=rack)
            for rack in ("near", "far")
        )
        load_jobs = [
            leased_load.Job(
                arrives_at,
                leased_load.make_request(name, 1, 1_000, 100.0, rack=rack),
                (100.0,),
                2.0,
            )
            for name, arrives_at, rack in (
                *((f"first{number}", 0.0, "near") for number in range(6)),
                *((f"waiting{number}", 0.06, "near") for number in range(5)),
                ("other", 0.07, ""),
            )
        ]
        load = leased_load.Load(
            tuple(load_jobs), upstreams, racks=locality.Racks(3.0)
        )
        ended_at = leased_replay.Replay(load).run().ended_at
        self.assertLess(ended_at["other"], 0.07 + 0.1 + 0.02)


class SettingsTest(unittest.TestCase):
    def test_factor_that_falls_back_is_logged_with_its_remedy(self) -> None:
        loaded = settings.parse(
            "node=a\nzone=d\nlisten.front=127.0.0.1:1\n"
            "listen.ready=127.0.0.1:2\nlisten.control=127.0.0.1:3\n"
            "port_range=9,12\nplatform.address=127.0.0.1:4\n"
            "bounds.slowdown_factor=0.5\n"
        )
        with unittest.mock.patch.object(leased_root.log, "event") as event:
            leased_root._log_defaulted(loaded)
        ((name,), pairs) = event.call_args
        self.assertEqual(name, "setting_defaulted")
        self.assertEqual(pairs["field"], "bounds.slowdown_factor")
        self.assertEqual(pairs["default"], 1.5)
        self.assertIn("correct the field", pairs["cause"])


class NewLeaderTest(unittest.TestCase):
    def test_next_leader_decides_anew_on_a_task_that_waits(self) -> None:
        world = leased_world.World(
            {"a": ["a1", "a2", "a3"], "b": ["b1"]},
            upstreams=1,
            racks=locality.Racks(3.0),
        )
        world.link_all()
        world.run(1.0)
        world.run_time_ms = 400.0
        for number in range(2):
            world.submit("a2", f"first{number}", rack="rack-a", wait_s=5.0)
        world.run(0.1)
        call = world.submit("a2", "waits", rack="rack-a", wait_s=5.0)
        world.run(0.05)
        self.assertEqual(world.start_count("waits"), 0)
        (leader,) = world.leaders()
        self.assertNotEqual(leader, "a2")
        world.kill(leader)
        world.run(4.0)
        self.assertEqual(world.answers[call][1].end, model.JobEnd.COMPLETED)
        self.assertEqual(world.start_count("waits"), 1)
        (upstream,) = (
            each
            for each, run in world.started_runs
            if run.key.task.job == "waits"
        )
        self.assertEqual(upstream, "a-u0")


class AdoptedRunTest(unittest.TestCase):
    def test_run_away_from_its_rack_goes_on_under_the_next_leader(self) -> None:
        # A new leader expected an adopted run to take as long as in its rack,
        # so it stopped a sound run as overdue and started the task again.
        world = leased_world.World(
            {"a": ["a1", "a2", "a3"]}, upstreams=3, racks=locality.Racks(3.0)
        )
        world.link_all()
        world.run(1.0)
        world.run_time_ms = 2_000.0
        call = world.submit("a2", "job", wait_s=15.0, rack="rack-b")
        world.run(0.1)
        self.assertEqual(world.start_count("job"), 1)
        (leader,) = world.leaders()
        self.assertNotEqual(leader, "a2")
        world.kill(leader)
        world.run(8.0)
        self.assertEqual(world.answers[call][1].end, model.JobEnd.COMPLETED)
        self.assertEqual(world.start_count("job"), 1)


if __name__ == "__main__":
    unittest.main()
