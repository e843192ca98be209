"""Tests of the passes over the queue of waiting jobs."""

import statistics
import unittest
import unittest.mock

import msgspec

from bench import leased_load
from bench import leased_replay
from bench import mixed_work
from godwitnotch.core import ids
from godwitnotch.core.leased import events
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import model
from godwitnotch.core.leased import queue_pass
from godwitnotch.core.leased import run_spread
from tests import leased_world


def held_lease(name: str, cpu_millis: int, slots: int = 8) -> lease.Lease:
    entry = leased_load.make_upstream(name, cpu_millis, slots, 1.0).entry
    return lease.Lease(entry, state=lease.LeaseState.HELD)


def add_run(held: lease.Lease, cpu_millis: int) -> None:
    job = make_job("running", cpu_millis)
    key = model.RunKey(job.tasks[0].key, model.RunNumber(1))
    held.add_run(
        lease.Run(
            key,
            job,
            job.request.tasks.needs,
            lease.RunState.RUNNING,
            ordered_at=0.0,
            expected_s=0.3,
        )
    )


def make_job(name: str, cpu_millis: int) -> jobs.LeasedJob:
    return jobs.LeasedJob(
        leased_load.make_request(name, 1, cpu_millis, 300.0),
        ids.HostId("a"),
        0.0,
        10.0,
        300.0,
    )


class QueueFiguresTest(unittest.TestCase):
    def test_free_cores_below_the_smallest_waiting_task_are_unfit(
        self,
    ) -> None:
        held = held_lease("u", 32_000)
        add_run(held, 20_000)
        wide_open = held_lease("v", 32_000)
        passed_by = make_job("large", 24_000)
        passed_by.passed_by = True
        waiting = [passed_by, make_job("small", 16_000)]
        self.assertEqual(
            queue_pass.measure(waiting, (held, wide_open)),
            queue_pass.QueueFigures(1, 12_000),
        )

    def test_job_that_a_later_one_passes_is_counted_while_it_waits(
        self,
    ) -> None:
        world = leased_world.World({"a": ["a1"]}, upstreams=1)
        world.run(3.0)
        world.submit("a1", "first")
        plain = leased_world.request("large")
        needs = msgspec.structs.replace(plain.tasks.needs, cpu_millis=1_500)
        large = msgspec.structs.replace(
            plain, tasks=msgspec.structs.replace(plain.tasks, needs=needs)
        )
        event = events.JobAsked(ids.CallId(99), large, world.now + 2.0)
        world.deliver("a1", event)
        self.assertEqual(
            world.hosts["a1"].queue_figures, queue_pass.QueueFigures(0, 1_000)
        )
        world.submit("a1", "small")
        self.assertEqual(
            world.hosts["a1"].queue_figures, queue_pass.QueueFigures(1, 0)
        )
        world.run(1.0)
        self.assertEqual(world.start_count("large"), 1)
        self.assertEqual(
            world.hosts["a1"].queue_figures, queue_pass.QueueFigures(0, 0)
        )

    def test_nothing_is_unfit_while_no_task_waits(self) -> None:
        held = held_lease("u", 32_000)
        self.assertEqual(
            queue_pass.measure((), (held,)), queue_pass.QueueFigures(0, 0)
        )


class FasterUpstreamTest(unittest.TestCase):
    """Long jobs wait for fast upstreams while short ones can use slow ones."""

    def replay(self, seed: int) -> mixed_work.Outcome:
        shape = mixed_work.SHAPES["burst_on_crest"]
        load = mixed_work.generate(seed, shape, 0.125)
        return mixed_work.measure(load, leased_replay.Replay(load).run())

    def test_decisions_count_on_long_runs(self) -> None:
        # By the expected run time alone, every second task that was placed on a
        # slow upstream at the edge of its target ended late. Other jobs must get
        # the slow places meanwhile.
        seeds = (1, 2, 3, 4)
        outcomes = [self.replay(seed) for seed in seeds]
        with unittest.mock.patch.object(
            run_spread.RunSpread, "long_run_factor", return_value=1.0
        ):
            expected_only = [self.replay(seed) for seed in seeds]
        gain = statistics.fmean(o.worth for o in outcomes) - statistics.fmean(
            o.worth for o in expected_only
        )
        self.assertGreater(gain, 0.02)
        self.assertLess(
            sum(o.wasted for o in outcomes),
            sum(o.wasted for o in expected_only),
        )


class StalledLeaderTest(unittest.TestCase):
    """The leader has stalled while callers' deadlines passed."""

    def test_no_task_starts_after_its_caller_has_stopped_waiting(self) -> None:
        # The pass over the queue that followed a response started tasks of jobs
        # whose deadline had passed; only the next tick dropped the jobs.
        world = leased_world.World({"a": ["a1"]}, upstreams=1)
        world.run(3.0)
        world.run_time_ms = 150.0
        world.submit("a1", "first", tasks=2, wait_s=3.0)
        world.run(0.02)
        world.submit("a1", "late", wait_s=0.3)
        world.run(0.05)
        # Shorter than what a leader takes for a pause, which ends its lead.
        world.stall("a1", 0.3, tick_first=False)
        world.run(2.0)
        self.assertEqual(world.start_count("first"), 2)
        self.assertEqual(world.start_count("late"), 0)
