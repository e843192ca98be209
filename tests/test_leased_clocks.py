"""Tests of leases on upstreams with clocks of their own, and of stalled hosts.

The platform promises that an upstream's clock is at most 2% slow.
"""

import collections
import unittest
from collections.abc import Iterable

from godwitnotch.core.leased import actions
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import lease_manager
from godwitnotch.core.leased import model
from tests import leased_faults
from tests import leased_world
from tests import test_leased_histories

HOSTS = ["a1", "a2", "a3"]
START_UP_S = 1.0
CLOCK_RATES = (0.98, 0.99, 1.0, 1.01, 1.02)
IDLE_TIMES_S = (0.0, 1.5, 5.0, 10.0, 20.0, 30.0, 60.0)


def start_world(
    *, upstreams: int = 3, clock_rate: float = 1.0
) -> leased_world.World:
    world = leased_world.World({"a": HOSTS}, upstreams=upstreams)
    for number, upstream in enumerate(world.upstreams.values()):
        upstream.clock_rate = clock_rate
        upstream.clock_offset_ms = 1_000.0 * number
    world.link_all()
    world.run(START_UP_S)
    return world


def done_again(world: leased_world.World) -> list[str]:
    """Returns the tasks of which more than one run has ended well."""
    done = collections.Counter(
        run.key.task
        for _, run in world.started_runs
        if run.end is model.RunEnd.DONE
    )
    return [
        f"{key.job}.{key.index}" for key, count in done.items() if count > 1
    ]


class IdleUpstreamTest(unittest.TestCase):
    def test_start_valid_beyond_its_lease_after_idle_time(self) -> None:
        for clock_rate in CLOCK_RATES:
            for idle_s in IDLE_TIMES_S:
                with self.subTest(clock_rate=clock_rate, idle_s=idle_s):
                    world = start_world(clock_rate=clock_rate)
                    world.run(idle_s)
                    world.submit("a1", "job", tasks=6)
                    world.run(0.5)
                    late_s = [
                        world.upstreams[action.upstream.upstream].time_at(
                            action.deadline_ms
                        )
                        - sent_at
                        - lease.MAX_LEASE_DURATION_S
                        for sent_at, action in world.orders
                        if isinstance(action, actions.StartRun)
                    ]
                    self.assertGreaterEqual(len(late_s), 6)
                    self.assertLess(max(late_s), 0.0)

    def test_first_start_after_idle_time_was_rejected_as_late(self) -> None:
        for clock_rate in CLOCK_RATES:
            for idle_s in IDLE_TIMES_S:
                with self.subTest(clock_rate=clock_rate, idle_s=idle_s):
                    world = start_world(clock_rate=clock_rate)
                    world.run(idle_s)
                    asked_count = len(world.orders)
                    world.submit("a1", "job", tasks=6)
                    world.run(0.5)
                    rejected = [
                        decided.reason
                        for _, _, decided in world.decisions
                        if decided.event == "order_rejected"
                    ]
                    self.assertEqual(rejected, [])
                    lists = 1 + idle_s // lease_manager.IDLE_LIST_INTERVAL_S
                    self.assertLessEqual(asked_count, 3 * lists)

    def test_task_ran_twice_as_a_late_start_outlived_its_lease(self) -> None:
        for idle_s in (10.0, 30.0, 60.0):
            for delay_ms in range(1_000, 2_300, 50):
                with self.subTest(idle_s=idle_s, delay_ms=delay_ms):
                    world = start_world(clock_rate=0.98)
                    world.run(idle_s)
                    for upstream in world.upstreams.values():
                        upstream.order_delay_s = delay_ms / 1_000
                    world.submit("a1", "job", tasks=2, wait_s=5.0)
                    world.run(0.05)
                    first = world.orders[-1][1].upstream.upstream
                    for name, upstream in world.upstreams.items():
                        if name != first:
                            upstream.order_delay_s = 0.0
                    world.run(4.0)
                    self.assertEqual(world.overlaps(), [])


class TimeOfDayTest(unittest.TestCase):
    """Terms begin with the time of day, which may jump on some hosts."""

    def test_restarted_leader_with_a_late_clock_took_a_term_below_the_last(
        self,
    ) -> None:
        # It is elected before the others have a leader whom it could follow.
        # The first task started after 0.96 s at 7 s, after 1.4 s at an hour,
        # instead of 0.32 s.
        for behind_s in (2.0, 7.0, 3_600.0):
            with self.subTest(behind_s=behind_s):
                world = leased_faults.FaultyWorld({"a": HOSTS}, upstreams=3)
                world.run(3.0)
                (leader,) = world.leaders()
                world.kill(leader)
                world.clock_offsets[leader] = -behind_s
                world.start_host(leader, rank=9)
                restarted_at = world.now
                world.run(0.6)
                self.assertEqual(world.leaders(), [leader])
                call = world.submit(leader, "job")
                world.run(0.3)
                self.assertIn(call, world.answers)
                end = world.answers[call][1].end
                self.assertEqual(end, model.JobEnd.COMPLETED)
                raised = [
                    decided
                    for at, _, decided in world.decisions
                    if decided.event == "term_raised" and at > restarted_at
                ]
                self.assertEqual(raised, [])


class SilentUpstreamTest(unittest.TestCase):
    """An upstream executes orders, but its responses don't arrive in time."""

    def test_done_tasks_ran_again_as_the_leader_had_not_asked(self) -> None:
        for silent_ms in range(100, 1_100, 50):
            with self.subTest(silent_ms=silent_ms):
                world = start_world()
                call = world.submit("a1", "job", tasks=2, wait_s=5.0)
                upstreams = world.upstreams.values()
                for upstream in upstreams:
                    upstream.loses_responses = True
                world.run(silent_ms / 1_000)
                for upstream in upstreams:
                    upstream.loses_responses = False
                world.run(3.0)
                self.assertEqual(done_again(world), [])
                self.assertEqual(world.overlaps(), [])
                self.assertEqual(
                    world.answers[call][1].end, model.JobEnd.COMPLETED
                )

    def test_done_tasks_ran_again_as_responses_took_longer_than_the_timeout(
        self,
    ) -> None:
        for delay_ms in (100, 140, 160, 200, 300, 400):
            for slow_s in (0.3, 0.8, 1.2, 2.0, 3.0):
                with self.subTest(delay_ms=delay_ms, slow_s=slow_s):
                    world = start_world()
                    call = world.submit("a1", "job", tasks=2, wait_s=9.0)
                    for upstream in world.upstreams.values():
                        upstream.response_delay_s = delay_ms / 1_000
                    world.run(slow_s)
                    for upstream in world.upstreams.values():
                        upstream.response_delay_s = 0.0
                    world.run(6.0)
                    self.assertEqual(done_again(world), [])
                    self.assertEqual(world.overlaps(), [])
                    self.assertEqual(
                        world.answers[call][1].end, model.JobEnd.COMPLETED
                    )

    def test_task_ran_twice_as_its_run_outlived_the_lease(self) -> None:
        for clock_rate in (0.90, 0.92, 0.94):
            with self.subTest(clock_rate=clock_rate):
                world = start_world(clock_rate=clock_rate)
                world.run_time_ms = 1_500.0
                call = world.submit("a1", "job", tasks=2, wait_s=9.0)
                for upstream in world.upstreams.values():
                    upstream.loses_responses = True
                world.run(0.003)
                first = world.started_runs[0][0]
                world.partition({*HOSTS}, {first})
                for upstream in world.upstreams.values():
                    upstream.loses_responses = False
                world.run(0.995)
                world.heal()
                world.run(5.0)
                self.assertEqual(world.overlaps(), [])
                self.assertEqual(
                    world.answers[call][1].end, model.JobEnd.COMPLETED
                )


class StalledLeaderTest(unittest.TestCase):
    STALLS_S = (0.1, 0.2, 0.3, 0.36, 0.5, 0.8, 1.0, 1.5, 2.0, 3.0)

    def test_leader_started_tasks_of_its_successor_before_the_tick(
        self,
    ) -> None:
        for stall_s in self.STALLS_S:
            for tick_first in (False, True):
                with self.subTest(stall_s=stall_s, tick_first=tick_first):
                    world = start_world()
                    (leader,) = world.leaders()
                    others = {*HOSTS} - {leader}
                    world.run_time_ms = 900.0
                    world.partition(others, {"a-u0"})
                    world.stall(leader, stall_s, tick_first=tick_first)
                    call = world.submit(min(others), "job", tasks=2, wait_s=9.0)
                    world.run(8.0)
                    self.assertEqual(world.overlaps(), [])
                    self.assertEqual(done_again(world), [])
                    self.assertEqual(
                        world.answers[call][1].end, model.JobEnd.COMPLETED
                    )

    def test_done_tasks_ran_again_as_responses_came_before_the_tick(
        self,
    ) -> None:
        for stall_s in self.STALLS_S:
            for phase_s in (0.01, 0.07, 0.29, 0.45):
                for tick_first in (False, True):
                    with self.subTest(
                        stall_s=stall_s, phase_s=phase_s, tick_first=tick_first
                    ):
                        world = start_world(clock_rate=0.98)
                        (leader,) = world.leaders()
                        world.run_time_ms = 200.0
                        world.submit(leader, "job", tasks=4, wait_s=9.0)
                        world.run(phase_s)
                        world.stall(leader, stall_s, tick_first=tick_first)
                        world.run(6.0)
                        self.assertEqual(world.overlaps(), [])
                        self.assertEqual(done_again(world), [])
                        self.assertNotIn(
                            "lease_lapsed",
                            [each.event for _, _, each in world.decisions],
                        )


class ClockHistory(test_leased_histories.History):
    """A random history with clocks, stalls, late orders and late responses.

    Half of all faults are those of `test_leased_histories`.
    """

    JOB_SHARE = 0.15  # Sparse jobs leave upstreams idle.

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        for number, upstream in enumerate(self.world.upstreams.values()):
            upstream.clock_rate = (0.98, 1.0, 1.02)[number % 3]
        # Every second history begins with upstreams that have long been idle.
        self.world.run(20.0 if seed % 2 else 0.0)

    def submit_job(self) -> None:
        if self.rng.random() < self.JOB_SHARE:
            super().submit_job()

    def inject_fault(self) -> None:
        if self.rng.random() < 0.5:
            super().inject_fault()
            return
        faults = (
            self.stall_host,
            self.delay_responses_of_one,
            self.delay_responses_of_all,
            self.delay_orders,
        )
        self.rng.choice(faults)()

    def stall_host(self) -> None:
        """Stalls the leader's process; without a leader, a random host's."""
        world = self.world
        names = [
            name
            for name in world.leaders() or sorted(world.hosts)
            if name not in world.stalled and name not in world.dead
        ]
        if not names:
            return
        name = self.rng.choice(names)
        duration_s = 0.1 + 3 * self.rng.random() ** 2
        world.stall(name, duration_s, tick_first=self.rng.random() < 0.5)
        world.pauses.append((name, world.now + duration_s))

    def delay_responses_of_one(self) -> None:
        """Delays the responses of a random upstream."""
        name = self.rng.choice(sorted(self.world.upstreams))
        self.delay_responses([self.world.upstreams[name]])

    def delay_responses_of_all(self) -> None:
        """Delays the responses of all upstreams."""
        self.delay_responses([*self.world.upstreams.values()])

    def delay_responses(self, upstreams: list[leased_world.Upstream]) -> None:
        """Delays the responses of upstreams for a random time."""
        delay_s = self.rng.choice((0.1, 0.2, 0.3, 0.5))
        for upstream in upstreams:
            upstream.response_delay_s = delay_s
            self.world.call_later(
                0.3 + 2 * self.rng.random(),
                lambda upstream=upstream: setattr(
                    upstream, "response_delay_s", 0.0
                ),
            )

    def delay_orders(self) -> None:
        """Delays the orders to a random upstream, by 0.9 to 1.6 s."""
        name = self.rng.choice(sorted(self.world.upstreams))
        upstream = self.world.upstreams[name]
        upstream.order_delay_s = 0.9 + 0.7 * self.rng.random()
        self.world.call_later(
            0.1 + 0.3 * self.rng.random(),
            lambda: setattr(upstream, "order_delay_s", 0.0),
        )


# With the seeds, a leader started tasks of its successor after a pause.
PAUSED_LEADER_SEEDS = (231,)
HISTORY_COUNT = 20


class ClockHistoriesTest(unittest.TestCase):
    def test_histories_in_which_a_paused_leader_started_tasks(self) -> None:
        self.check_histories(PAUSED_LEADER_SEEDS)

    def test_random_histories(self) -> None:
        self.check_histories(range(1, HISTORY_COUNT + 1))

    def check_histories(self, seeds: Iterable[int]) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                history = ClockHistory(seed)
                history.run()
                self.assertEqual(history.problems(), [])


if __name__ == "__main__":
    unittest.main()
