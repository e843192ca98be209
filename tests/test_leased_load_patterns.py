"""Replays load patterns that decisions of the leader answer."""

import unittest

import msgspec

from bench import leased_load
from bench import leased_replay
from bench import leased_yardstick
from godwitnotch.core.leased import model
from tests import leased_world


def outcomes(
    world: leased_world.World, calls: list[int]
) -> dict[model.JobEnd, int]:
    """Returns how many of the calls ended in which way."""
    counts: dict[model.JobEnd, int] = {}
    for call in calls:
        end = world.answers[call][1].end
        counts[end] = counts.get(end, 0) + 1
    return counts


class MassRestartTest(unittest.TestCase):
    """All hosts start at once, and their callers are already waiting."""

    def test_jobs_that_all_upstreams_can_serve_in_time_are_not_refused(
        self,
    ) -> None:
        world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=12)
        for number, upstream in enumerate(world.upstreams.values()):
            upstream.latency_s = 0.002 + 0.004 * number
        world.run_time_ms = 300.0
        calls = [
            world.submit(f"a{number % 3 + 1}", f"job{number}", tasks=2)
            for number in range(12)
        ]
        world.link_all()
        world.run(3.0)
        self.assertEqual(outcomes(world, calls), {model.JobEnd.COMPLETED: 12})

    def test_a_crowd_beyond_all_upstreams_is_refused_soon(self) -> None:
        world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=2)
        world.link_all()
        calls = [
            world.submit(f"a{number % 3 + 1}", f"job{number}", tasks=2)
            for number in range(40)
        ]
        world.run(3.0)
        counts = outcomes(world, calls)
        self.assertGreater(counts.get(model.JobEnd.REFUSED, 0), 20)
        for call in calls:
            at, answer = world.answers[call]
            if answer.end is model.JobEnd.REFUSED:
                self.assertLess(at, 101.0)


class DeadlineTest(unittest.TestCase):
    """Jobs can't end before their callers stop waiting."""

    def setUp(self) -> None:
        self.world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=1)
        self.world.link_all()
        self.world.run(1.0)
        self.world.run_time_ms = 300.0

    def test_job_whose_deadline_is_too_near_is_refused_at_once(self) -> None:
        call = self.world.submit("a1", "job", wait_s=0.1)
        self.world.run(0.05)
        self.assertIn(call, self.world.answers)
        answer = self.world.answers[call][1]
        self.assertEqual(answer.end, model.JobEnd.REFUSED)
        self.assertGreater(answer.retry_after_s, 0.0)
        self.assertEqual(self.world.start_count("job"), 0)

    def test_started_job_that_can_end_no_more_is_answered_at_once(self) -> None:
        submitted_at = self.world.now
        call = self.world.submit("a1", "job", tasks=6, wait_s=0.5)
        self.world.run(1.0)
        answered_at, answer = self.world.answers[call]
        self.assertEqual(answer.end, model.JobEnd.GIVEN_UP)
        self.assertLess(answered_at, submitted_at + 0.45)
        self.assertGreater(answer.retry_after_s, 0.0)

    def test_late_job_that_can_still_end_is_served(self) -> None:
        call = self.world.submit("a1", "job", tasks=4, wait_s=0.8)
        self.world.run(1.0)
        answer = self.world.answers[call][1]
        self.assertEqual(answer.end, model.JobEnd.COMPLETED)


class LeaderLossTest(unittest.TestCase):
    """The leader is lost while runs end that it will never hear of."""

    def setUp(self) -> None:
        self.world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=4)
        self.world.link_all()
        self.world.run(1.0)
        (self.leader,) = self.world.leaders()
        self.owner = next(
            name for name in self.world.hosts if name != self.leader
        )

    def test_tasks_that_have_ended_meanwhile_do_not_run_again(self) -> None:
        calls = [
            self.world.submit(self.owner, f"job{number}", tasks=2)
            for number in range(4)
        ]
        self.world.run(0.05)
        self.world.kill(self.leader)
        self.world.run(3.0)
        self.assertEqual(
            outcomes(self.world, calls), {model.JobEnd.COMPLETED: 4}
        )
        for number in range(4):
            self.assertEqual(self.world.start_count(f"job{number}"), 2)

    def test_owner_that_links_late_gets_the_answer_too(self) -> None:
        call = self.world.submit(self.owner, "job", tasks=2)
        self.world.run(0.05)
        other = next(
            name
            for name in self.world.hosts
            if name not in (self.leader, self.owner)
        )
        self.world.partition({self.owner}, {other})
        self.world.kill(self.leader)
        self.world.run(1.2)
        self.world.heal()
        self.world.run(2.0)
        self.assertEqual(
            self.world.answers[call][1].end, model.JobEnd.COMPLETED
        )
        self.assertEqual(self.world.overlaps(), [])


class LostAnswerTest(unittest.TestCase):
    """Callers that have lost the answer send their job again."""

    def setUp(self) -> None:
        self.world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=4)
        self.world.link_all()
        self.world.run(1.0)

    def test_completed_job_that_comes_again_does_not_run_again(self) -> None:
        for name in ("a1", "a2", "a3"):
            first = self.world.submit("a1", f"job-{name}", tasks=2)
            self.world.run(0.5)
            again = self.world.submit(name, f"job-{name}", tasks=2)
            self.world.run(0.5)
            self.assertEqual(
                outcomes(self.world, [first, again]),
                {model.JobEnd.COMPLETED: 2},
            )
            self.assertEqual(self.world.start_count(f"job-{name}"), 2)

    def test_other_work_of_the_same_name_runs(self) -> None:
        self.world.submit("a1", "job", tasks=2)
        self.world.run(0.5)
        call = self.world.submit("a1", "job", tasks=3)
        self.world.run(0.5)
        self.assertEqual(
            outcomes(self.world, [call]), {model.JobEnd.COMPLETED: 1}
        )
        self.assertEqual(self.world.start_count("job"), 5)

    def test_refused_job_that_comes_again_is_tried_again(self) -> None:
        for upstream in self.world.upstreams.values():
            upstream.entry = msgspec.structs.replace(
                upstream.entry, draining=True
            )
        self.world.run(3.0)
        refused = self.world.submit("a1", "job")
        self.world.run(1.0)
        self.assertEqual(
            outcomes(self.world, [refused]), {model.JobEnd.REFUSED: 1}
        )
        for upstream in self.world.upstreams.values():
            upstream.entry = msgspec.structs.replace(
                upstream.entry, draining=False
            )
        self.world.run(1.0)
        call = self.world.submit("a1", "job")
        self.world.run(1.0)
        self.assertEqual(
            outcomes(self.world, [call]), {model.JobEnd.COMPLETED: 1}
        )


class LateNewsTest(unittest.TestCase):
    """A run ended well, but the leader hears of it only after the lease."""

    def test_job_is_answered_only_once_its_later_run_has_ended(self) -> None:
        world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=2)
        world.link_all()
        world.run(1.0)
        (leader,) = world.leaders()
        world.run_time_ms = 400.0
        call = world.submit(leader, "job", wait_s=9.0)
        world.run(0.05)
        (first, _) = world.started_runs[0]
        world.partition({leader}, {first})
        world.run_time_ms = 3_000.0
        world.run(3.0)
        self.assertEqual(len(world.started_runs), 2)
        world.heal()
        while call not in world.answers:
            world.run(0.01)
        self.assertEqual(world.answers[call][1].end, model.JobEnd.COMPLETED)
        self.assertTrue(all(run.ended_at for _, run in world.started_runs))
        self.assertEqual(world.overlaps(), [])


class WideJobsTest(unittest.TestCase):
    """Wide jobs of short tasks arrive among narrow jobs of longer tasks.

    The narrow jobs use seven eighths of the upstreams' slots.
    """

    UPSTREAMS = 12
    SLOTS = 2
    NARROW_INTERVAL_S = 0.0192
    WIDE_INTERVAL_S = 0.5
    DURATION_S = 10.0

    def make_load(self) -> leased_load.Load:
        upstreams = tuple(
            leased_load.make_upstream(f"u{number}", 2_000, self.SLOTS, 1.0)
            for number in range(self.UPSTREAMS)
        )
        narrow = self.make_jobs("narrow", self.NARROW_INTERVAL_S, 2, 200.0)
        wide = self.make_jobs("wide", self.WIDE_INTERVAL_S, 12, 60.0)
        in_order = sorted(narrow + wide, key=lambda job: job.arrives_at)
        return leased_load.Load(tuple(in_order), upstreams)

    def make_jobs(
        self, route: str, interval_s: float, tasks: int, work_ms: float
    ) -> list[leased_load.Job]:
        return [
            leased_load.Job(
                number * interval_s,
                leased_load.make_request(
                    f"{route}{number}", tasks, 1_000, work_ms, route=route
                ),
                (work_ms,) * tasks,
                2.0,
            )
            for number in range(round(self.DURATION_S / interval_s))
        ]

    def test_wide_jobs_end_in_time_like_the_narrow_ones(self) -> None:
        load = self.make_load()
        ended_at = leased_replay.Replay(load).run().ended_at
        in_time = dict.fromkeys(("narrow", "wide"), 0)
        count = dict.fromkeys(in_time, 0)
        for job in load.jobs:
            route = job.request.settings.route
            target_s = leased_yardstick.target_response_s(job)
            end = ended_at.get(job.request.job, float("inf"))
            count[route] += 1
            in_time[route] += end <= job.arrives_at + target_s
        self.assertGreater(in_time["wide"], 0.9 * count["wide"])
        self.assertGreater(in_time["narrow"], 0.9 * count["narrow"])
