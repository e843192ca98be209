"""Replays loads that a leader's processor can't order in time."""

import collections
import unittest

from godwitnotch.core.leased import actions
from godwitnotch.core.leased import cell_load
from godwitnotch.core.leased import events
from godwitnotch.core.leased import model
from godwitnotch.core.leased import processor_load
from tests import leased_world

# Times of a host of an eighth of a core.
EVENT_S = 0.0015
CALL_S = 0.003
MESSAGE_S = 0.0015
TASKS = 8
RUN_TIME_MS = 60.0
# 8 starts and some 12 other calls and 20 events take 90 ms of the processor.
JOBS_PER_S = 10.0
WARM_UP_S = 2.0
DURATION_S = 6.0


class BusyWorld(leased_world.World):
    """A world in which one host takes time to handle events and send calls."""

    def __init__(self) -> None:
        self.busy_host = ""
        self.busy_until = 0.0
        self.backlog: collections.deque[tuple[float, events.Event]] = (
            collections.deque()
        )
        super().__init__({"a": ["a1", "a2", "a3", "a4"]}, upstreams=40)

    def deliver(self, name: str, event: events.Event) -> None:
        """Queues an event for the busy host; delivers others at once."""
        if name != self.busy_host:
            super().deliver(name, event)
            return
        if isinstance(event, events.Ticked) and any(
            isinstance(waiting, events.Ticked) for _, waiting in self.backlog
        ):
            return
        self.backlog.append((self.now, event))
        if len(self.backlog) == 1:
            self.call_later(
                max(0.0, self.busy_until - self.now), self._handle_next
            )

    def _handle_next(self) -> None:
        due_at, event = self.backlog[0]
        if isinstance(event, events.Ticked):
            event = events.Ticked(self.now - due_at)
        core = self.hosts[self.busy_host]
        resulting = core.handle(event, now=self.now)
        cost_s = EVENT_S
        for action in resulting:
            if isinstance(action, (actions.StartRun, actions.RenewLease)):
                cost_s += CALL_S
            elif isinstance(action, actions.TellPeer):
                cost_s += MESSAGE_S
            self.call_later(
                cost_s,
                lambda action=action: self._execute_action(
                    self.busy_host, core, action
                ),
            )
        self.busy_until = self.now + cost_s
        self.backlog.popleft()
        if self.backlog:
            self.call_later(cost_s, self._handle_next)


class BusyLeaderTest(unittest.TestCase):
    """More jobs arrive than the leader's processor can order."""

    def goodput(self, load: float) -> tuple[int, collections.Counter[str]]:
        """Returns how many jobs are answered in time, and all jobs by end.

        Args:
            load: Jobs that arrive, as a multiple of JOBS_PER_S.
        """
        self.world = world = BusyWorld()
        world.run_time_ms = RUN_TIME_MS
        world.link_all()
        world.run(2.0)
        (world.busy_host,) = world.leaders()
        owners = sorted(set(world.hosts) - {world.busy_host})
        interval_s = 1 / JOBS_PER_S / load
        calls = {}
        count = round((WARM_UP_S + DURATION_S) / interval_s)
        for number in range(count):
            owner = owners[number % len(owners)]
            call = world.submit(owner, f"job{number}", tasks=TASKS, wait_s=1.5)
            calls[call] = world.now
            world.run(interval_s)
        world.run(2.0)
        target_s = 1.6 * RUN_TIME_MS / 1_000 + world.target_ms / 1_000
        measured = {
            call: sent_at
            for number, (call, sent_at) in enumerate(calls.items())
            if number * interval_s >= WARM_UP_S
        }
        ends: collections.Counter[str] = collections.Counter()
        in_time = 0
        for call, sent_at in measured.items():
            answered_at, answer = world.answers[call]
            ends[answer.end.value] += 1
            in_time += (
                answer.end is model.JobEnd.COMPLETED
                and answered_at - sent_at <= target_s
            )
        return in_time, ends

    def test_goodput_falls_as_more_jobs_arrive_than_the_leader_can_order(
        self,
    ) -> None:
        served = {load: self.goodput(load)[0] for load in (0.75, 1.5, 3.0)}
        self.assertGreater(served[1.5], 0.75 * served[0.75])
        self.assertGreater(served[3.0], 0.75 * served[0.75])

    def test_refused_jobs_are_refused_soon_and_have_not_run(self) -> None:
        # A leader that is behind refuses as a job arrives, not at its deadline.
        _, ends = self.goodput(3.0)
        self.assertGreater(ends["refused"], 0)
        self.assertEqual(ends["given_up"], 0)

    def test_runs_are_overdue_only_for_the_leader_that_learns_of_them_late(
        self,
    ) -> None:
        for load in (1.0, 1.5, 3.0):
            self.goodput(load)
            events_seen = {each.event for _, _, each in self.world.decisions}
            self.assertNotIn("run_overdue", events_seen)


class CrowdedQueueTest(unittest.TestCase):
    """Jobs wait for room at a leader whose processor is behind."""

    def setUp(self) -> None:
        self.world = leased_world.World({"a": ["a1", "a2", "a3"]}, upstreams=2)
        self.world.target_ms = 4_000.0
        self.world.link_all()
        self.world.run(1.0)
        (self.leader,) = self.world.leaders()
        for number in range(12):
            self.world.submit(self.leader, f"waiting{number}", tasks=4)
        queue_pass = self.world.hosts[self.leader]._dispatcher._queue_pass
        self.passes = 0
        run = queue_pass.run

        def count(*, now: float) -> None:
            self.passes += 1
            run(now=now)

        queue_pass.run = count

    def arrive(self) -> None:
        """Lets ten jobs arrive within the same moment."""
        self.passes = 0
        for number in range(10):
            self.world.submit(self.leader, f"new{number}")

    def test_a_leader_that_is_behind_passes_over_its_queue_at_each_event(
        self,
    ) -> None:
        for _ in range(4):
            self.world.run(0.01)
            self.world.deliver(self.leader, events.Ticked(0.012))
        self.arrive()
        self.assertLessEqual(self.passes, 1)

    def test_a_leader_that_keeps_up_places_each_job_at_once(self) -> None:
        self.arrive()
        self.assertGreaterEqual(self.passes, 10)


class ProcessorLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.load = processor_load.ProcessorLoad()
        self.now = 10.0

    def tick(self, *late_s: float) -> None:
        for each in late_s:
            self.now += 0.04
            self.load.ticked(each, now=self.now)

    def taken(self) -> int:
        names = (model.JobName(f"{number:016x}") for number in range(1_000))
        return sum(map(self.load.takes, names))

    def test_single_late_ticks_send_no_job_away(self) -> None:
        self.tick(*[0.2, 0.0, 0.0] * 20)
        self.assertEqual(self.taken(), 1_000)

    def test_a_pause_of_the_process_sends_no_job_away(self) -> None:
        self.tick(*[0.0] * 4)
        self.now += 3.0
        self.tick(3.0, 0.0, 0.0, 0.0)
        self.assertEqual(self.taken(), 1_000)

    def test_a_backlog_sends_some_jobs_away_until_it_is_gone(self) -> None:
        self.tick(*[0.1] * 30)
        self.assertLess(self.taken(), 100)
        self.assertGreater(self.taken(), 0)
        self.tick(*[0.0] * 40)
        self.assertEqual(self.taken(), 1_000)

    def test_jobs_without_a_target_of_their_own_allow_some_lateness(
        self,
    ) -> None:
        settings = leased_world.request("job", target_ms=0.0).settings
        for _ in range(1_000):
            self.load.job_arrived(settings)
        self.tick(*[0.008] * 30)
        self.assertEqual(self.taken(), 1_000)

    def test_targets_with_more_slack_allow_a_longer_backlog(self) -> None:
        settings = leased_world.request("job", target_ms=4_000).settings
        for _ in range(1_000):
            self.load.job_arrived(settings)
        self.tick(*[0.1] * 30)
        self.assertEqual(self.taken(), 1_000)

    def test_jobs_move_to_a_leader_that_sends_its_own_away(self) -> None:
        load = cell_load.CellLoad(10.0, 8.0, 0.0)
        self.tick(*[0.1] * 8)
        self.tick(*[0.0] * 4)
        self.assertFalse(self.load.behind)
        self.assertLess(self.taken(), 1_000)
        self.assertGreater(self.load.with_wait(load).wait_s(1, 60.0), 0.05)

    def test_a_leader_that_is_behind_has_no_free_slots(self) -> None:
        load = cell_load.CellLoad(10.0, 8.0, 0.0)
        self.assertEqual(self.load.with_wait(load), load)
        self.tick(*[0.1] * 4)
        self.assertGreater(self.load.with_wait(load).wait_s(1, 60.0), 0.3)
