"""Tests of leases on upstreams with clocks of their own, and of stalled hosts.

The platform promises that an upstream's clock is at most 2% slow.
"""

import collections
import unittest

from godwitnotch.core.leased import actions
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import lease_manager
from godwitnotch.core.leased import model
from tests import leased_world

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


if __name__ == "__main__":
    unittest.main()
