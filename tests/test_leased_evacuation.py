"""Tests of the evacuation of a failure domain, without a network."""

import functools
import unittest

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import evacuation
from godwitnotch.core.leased import events
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages
from tests import leased_faults
from tests import leased_world

HOSTS = {"a": ["a1", "a2"], "b": ["b1", "b2"], "c": ["c1", "c2"]}
START_UP_S = 2.0
# Well under a second: the store's response, a message and an order.
EFFECT_S = 0.05
JOB_INTERVAL_S = 0.02


def told(version: int, *domains: str) -> peer_messages.DomainsEvacuated:
    return peer_messages.DomainsEvacuated(
        version, frozenset(map(ids.DomainId, domains))
    )


def start_world(
    world_type: type[leased_world.World] = leased_world.World, **options
) -> leased_world.World:
    world = world_type(HOSTS, upstreams=3, **options)
    world.target_ms = 2_000.0
    world.run(START_UP_S)
    return world


def starts(
    world: leased_world.World, domain: str, *, since: float
) -> list[float]:
    """Returns when runs were started on the upstreams of a domain."""
    return [
        run.started_at
        for upstream, run in world.started_runs
        if world.upstreams[upstream].entry.domain == domain
        and run.started_at >= since
    ]


def stop_count(world: leased_world.World, domain: str) -> int:
    return sum(
        isinstance(order, actions.StopRun) and order.upstream.domain == domain
        for _, order in world.orders
    )


def send_jobs(
    world: leased_world.World, duration_s: float, *, hosts: list[str] | None
) -> list[int]:
    """Sends jobs by turns through hosts, all live ones if None."""
    calls = []
    end = world.now + duration_s
    number = 0
    while world.now < end:
        live = [name for name in world.hosts if name not in world.dead]
        names = hosts or live
        name = names[number % len(names)]
        job = f"{name}-{world.now:.3f}"
        calls.append(world.submit(name, job, tasks=2))
        number += 1
        world.run(JOB_INTERVAL_S)
    return calls


def ends(world: leased_world.World, calls: list[int]) -> set[model.JobEnd]:
    return {world.answers[call][1].end for call in calls}


def logged(world: leased_world.World, event: str) -> list[actions.Decided]:
    return [each for _, _, each in world.decisions if each.event == event]


class EvacuationTest(unittest.TestCase):
    """The leader started tasks in an evacuated domain: 5,206 in one day."""

    def test_no_task_starts_in_the_domain_until_the_row_is_removed(
        self,
    ) -> None:
        world = start_world()
        send_jobs(world, 0.5, hosts=None)
        self.assertTrue(starts(world, "a", since=START_UP_S))
        world.evacuate("a")
        evacuated_at = world.now
        calls = send_jobs(world, 3.0, hosts=None)
        world.run(1.0)
        late = starts(world, "a", since=evacuated_at + EFFECT_S)
        self.assertEqual(late, [])
        self.assertEqual(ends(world, calls), {model.JobEnd.COMPLETED})
        world.evacuate()
        ended_at = world.now
        send_jobs(world, 1.0, hosts=None)
        self.assertTrue(starts(world, "a", since=ended_at))
        self.assertEqual(world.overlaps(), [])

    def test_running_tasks_end_by_themselves(self) -> None:
        world = start_world()
        world.run_time_ms = 400.0
        calls = send_jobs(world, 0.2, hosts=None)
        running = [
            run
            for upstream, run in world.started_runs
            if world.upstreams[upstream].entry.domain == "a"
        ]
        self.assertTrue(running)
        world.evacuate("a")
        world.run(2.0)
        self.assertEqual({run.end for run in running}, {model.RunEnd.DONE})
        self.assertEqual(stop_count(world, "a"), 0)
        self.assertEqual(ends(world, calls), {model.JobEnd.COMPLETED})

    def test_callers_of_the_domain_are_served_by_other_domains(self) -> None:
        world = start_world()
        world.evacuate("a")
        world.run(0.1)
        calls = send_jobs(world, 1.0, hosts=["a1", "a2"])
        world.run(1.0)
        self.assertEqual(ends(world, calls), {model.JobEnd.COMPLETED})

    def test_capacity_leaves_the_domain_out_at_once(self) -> None:
        world = start_world()
        world.run_time_ms = 400.0
        send_jobs(world, 0.3, hosts=None)
        (leader,) = world.leaders()
        load = world.hosts[leader]._dispatcher._meter.load
        before = load(now=world.now).slots
        world.evacuate("a", "b")
        world.run(leased_world.NETWORK_LATENCY_S)
        # Runs go on there, but they are no capacity for other tasks.
        self.assertLess(load(now=world.now).slots, 0.5 * before)
        self.assertGreater(load(now=world.now).slots, 0.0)

    def test_all_domains_leave_no_upstream(self) -> None:
        world = start_world()
        world.evacuate("a", "b", "c")
        world.run(0.1)
        sent_at = world.now
        call = world.submit("b1", "refused")
        world.run(0.02)
        answered_at, answer = world.answers[call]
        self.assertLess(answered_at - sent_at, 0.02)
        self.assertEqual(answer.end, model.JobEnd.REFUSED)
        self.assertEqual(answer.reason, model.EndReason.NO_UPSTREAM)
        self.assertGreater(answer.retry_after_s, 0.0)
        # The hosts stay ready, so that callers hear when to come back.
        self.assertTrue(all(core.ready for core in world.hosts.values()))
        self.assertEqual(starts(world, "b", since=sent_at), [])

    def test_waiting_jobs_are_refused_when_the_last_domain_is_evacuated(
        self,
    ) -> None:
        world = start_world()
        world.run_time_ms = 300.0
        wide = world.submit("b1", "wide", tasks=60, wait_s=6.0)
        world.run(0.02)
        world.evacuate("a", "b", "c")
        waiting = world.submit("b2", "waiting")
        world.run(0.03)
        reason = world.answers[waiting][1].reason
        self.assertEqual(reason, model.EndReason.NO_UPSTREAM)
        # The job with runs ends once they have ended by themselves.
        self.assertNotIn(wide, world.answers)
        world.run(0.5)
        self.assertEqual(world.answers[wide][1].end, model.JobEnd.GIVEN_UP)
        run_ends = {run.end for _, run in world.started_runs}
        self.assertEqual(run_ends, {model.RunEnd.DONE})

    def test_domain_that_nobody_has_is_logged_once_and_has_no_effect(
        self,
    ) -> None:
        world = start_world()
        world.evacuate("nowhere")
        calls = send_jobs(world, 1.0, hosts=None)
        world.run(1.0)
        self.assertEqual(ends(world, calls), {model.JobEnd.COMPLETED})
        self.assertTrue(starts(world, "a", since=world.now - 2.0))
        (line,) = logged(world, "evacuated_domain_unknown")
        self.assertIn("domain=nowhere known=a,b,c remedy=", line.detail)


class FailureTest(unittest.TestCase):
    """Failures during an evacuation after which tasks could start there."""

    def evacuate(self, world: leased_world.World) -> float:
        world.evacuate("a")
        send_jobs(world, 0.2, hosts=None)
        return world.now

    def assert_kept(
        self, world: leased_world.World, since: float, *, duration_s: float
    ) -> None:
        send_jobs(world, duration_s, hosts=None)
        self.assertEqual(starts(world, "a", since=since), [])
        self.assertTrue(starts(world, "b", since=world.now - 0.5))
        self.assertEqual(world.overlaps(), [])

    def test_leader_changes(self) -> None:
        world = start_world()
        since = self.evacuate(world)
        for _ in range(3):
            (leader,) = world.leaders()
            world.kill(leader)
            self.assert_kept(world, since, duration_s=2.0)
            world.start_host(leader)

    def test_store_is_down_when_the_leader_changes(self) -> None:
        world = start_world()
        since = self.evacuate(world)
        world.store_down = True
        world.hosts_without_store = set(HOSTS["a"] + HOSTS["b"] + HOSTS["c"])
        world.kill(world.leaders()[0])
        self.assert_kept(world, since, duration_s=3.0)

    def test_store_turns_the_leader_away(self) -> None:
        world = start_world()
        (leader,) = world.leaders()
        world.hosts_without_store.add(leader)
        since = self.evacuate(world)
        self.assertEqual(world.hosts[leader].evacuated, told(2, "a"))
        self.assert_kept(world, since, duration_s=1.0)
        world.evacuate()
        world.run(0.1)
        self.assertEqual(world.hosts[leader].evacuated, told(3))

    def test_leader_that_the_store_turns_away_is_killed(self) -> None:
        # It knows the set from its peers only, and takes over nothing by itself;
        # the row is removed before its successor is killed too.
        world = start_world()
        (leader,) = world.leaders()
        world.hosts_without_store.add(leader)
        since = self.evacuate(world)
        world.kill(leader)
        self.assert_kept(world, since, duration_s=2.0)
        world.hosts_without_store.add(world.leaders()[0])
        world.evacuate()
        world.run(0.1)
        world.kill(world.leaders()[0])
        ended_at = world.now
        world.run(2.0)
        send_jobs(world, 1.0, hosts=None)
        self.assertTrue(starts(world, "a", since=ended_at))
        self.assertEqual(world.overlaps(), [])

    def test_two_domains_one_after_the_other(self) -> None:
        world = start_world()
        calls = []
        for former, domain in (("", "a"), ("a", "b"), ("b", "c")):
            world.evacuate(*filter(None, (former, domain)))
            world.run(EFFECT_S)
            both_at = world.now
            calls += send_jobs(world, 0.5, hosts=None)
            world.kill(world.leaders()[0])
            calls += send_jobs(world, 1.5, hosts=None)
            for closed in filter(None, (former, domain)):
                self.assertEqual(starts(world, closed, since=both_at), [])
            world.evacuate(domain)
            world.run(EFFECT_S)
            one_at = world.now
            calls += send_jobs(world, 0.5, hosts=None)
            self.assertEqual(starts(world, domain, since=one_at), [])
            if former:
                self.assertTrue(starts(world, former, since=one_at))
            for name in tuple(world.dead):
                world.start_host(name)
            world.run(START_UP_S)
        self.assertEqual(world.overlaps(), [])

    def test_restarted_host_leads(self) -> None:
        # All hosts restart, the last one while the store is down. It learns the
        # set from its peers before it leads.
        world = start_world()
        since = self.evacuate(world)
        names = sorted(world.hosts)
        for rank, name in enumerate(names):
            world.kill(name)
            if name == names[-1]:
                world.store_down = True
            world.start_host(name, rank=50 + rank)
            self.assert_kept(world, since, duration_s=1.0)
        for name in names[:-1]:
            world.kill(name)
        world.run(20.0)
        self.assertEqual(world.leaders(), names[-1:])
        world.submit(names[-1], "after")
        world.run(0.5)
        self.assertEqual(starts(world, "a", since=since), [])
        self.assertTrue(starts(world, "b", since=world.now - 0.5))

    def test_stale_sets_of_peers_have_no_effect(self) -> None:
        world = start_world()
        since = self.evacuate(world)
        for name in world.hosts:
            for stale in (told(1), told(0, "b"), told(-5), told(2)):
                event = events.PeerTold(ids.HostId("c2"), stale)
                world.deliver(name, event)
        self.assert_kept(world, since, duration_s=1.0)

    def test_host_that_was_cut_off_returns_with_an_old_set(self) -> None:
        world = start_world()
        world.hosts_without_store |= {"c1", "c2"}
        world.partition({"c1", "c2"}, {"a1", "a2", "b1", "b2"})
        world.run(1.0)
        since = self.evacuate(world)
        self.assertEqual(world.hosts["c1"].evacuated, told(1))
        world.heal()
        world.run(0.2)
        since = world.now
        self.assert_kept(world, since, duration_s=3.0)
        for core in world.hosts.values():
            self.assertEqual(core.evacuated, told(2, "a"))

    def test_clocks_jump(self) -> None:
        for jump_s in (-3_600.0, -7.0, 7.0, 3_600.0):
            with self.subTest(jump_s=jump_s):
                world = start_world(leased_faults.FaultyWorld)
                since = self.evacuate(world)
                world.clock_offsets = {"a1": jump_s, "b1": -jump_s}
                world.kill(world.leaders()[0])
                self.assert_kept(world, since, duration_s=3.0)
                for rank, name in enumerate(sorted(world.hosts)):
                    world.kill(name)
                    world.clock_offsets[name] = -jump_s
                    world.start_host(name, rank=rank)
                    self.assert_kept(world, since, duration_s=0.5)

    def test_lost_answers_of_executed_runs(self) -> None:
        world = start_world()
        calls = send_jobs(world, 0.2, hosts=None)
        for upstream in world.upstreams.values():
            upstream.loses_responses = True
        world.evacuate("a")
        world.run(0.3)
        since = world.now
        for upstream in world.upstreams.values():
            upstream.loses_responses = False
        self.assert_kept(world, since, duration_s=2.0)
        world.run(2.0)
        self.assertTrue(all(call in world.answers for call in calls))

    def test_host_that_was_paused_beyond_the_request(self) -> None:
        # A lone host resumes with the set from before its pause; the store's
        # response reaches it only after it leads again.
        for pause_s in (0.2, 1.0, 2.5, 6.0):
            for read_s in (0.1, 0.5, 0.9):
                with self.subTest(pause_s=pause_s, read_s=read_s):
                    world = leased_world.World(
                        {"a": ["a1"], "b": []}, upstreams=2
                    )
                    world.run(START_UP_S)
                    world.store_down = True
                    evacuated_at = world.now
                    world.evacuate("a")
                    world.pause("a1", pause_s)
                    world.run(pause_s)
                    world.store_down = False
                    world.call_later(
                        read_s,
                        functools.partial(world.read_evacuations, "a1"),
                    )
                    for number in range(100):
                        world.submit("a1", f"j{number}")
                        world.run(0.02)
                    granted_until = evacuated_at + 5.0
                    late = starts(world, "a", since=granted_until)
                    self.assertEqual(late, [])
                    self.assertTrue(starts(world, "b", since=evacuated_at))


class UnknownSetTest(unittest.TestCase):
    """A host that has never read the store must not start tasks blindly."""

    def start_without_store(self) -> leased_world.World:
        world = leased_world.World({"a": [], "b": []}, upstreams=2)
        world.store_down = True
        world.domains = {"a1": "a", "b1": "b"}
        world.start_host("a1", rank=2)
        world.start_host("b1", rank=1)
        world.run(START_UP_S)
        return world

    def test_nothing_starts_until_a_set_is_known(self) -> None:
        world = self.start_without_store()
        self.assertEqual(len(world.leaders()), 1)
        self.assertFalse(any(core.ready for core in world.hosts.values()))
        call = world.submit("a1", "blind")
        world.run(1.0)
        reason = world.answers[call][1].reason
        self.assertEqual(reason, model.EndReason.NO_UPSTREAM)
        self.assertEqual(world.started_runs, [])
        world.evacuated = {"a"}
        world.store_down = False
        world.read_evacuations("b1")
        world.run(0.1)
        self.assertTrue(all(core.ready for core in world.hosts.values()))
        call = world.submit("a1", "sighted")
        world.run(0.5)
        self.assertEqual(ends(world, [call]), {model.JobEnd.COMPLETED})
        self.assertEqual(starts(world, "a", since=0.0), [])

    def test_leader_that_restarts_without_a_set_adopts_runs(self) -> None:
        # Leases are renewed while no set is known, so no run is lost.
        world = start_world()
        world.run_time_ms = 1_500.0
        (leader,) = world.leaders()
        others = [name for name in world.hosts if name != leader]
        call = world.submit(others[0], "adopted", wait_s=6.0)
        world.run(0.1)
        world.store_down = True
        world.kill(leader)
        world.run(4.0)
        self.assertEqual(ends(world, [call]), {model.JobEnd.COMPLETED})
        self.assertEqual(world.start_count("adopted"), 1)


class DividedFleetTest(unittest.TestCase):
    """An evacuated cell kept its jobs, and other cells sent theirs there."""

    def start(self) -> leased_world.World:
        world = start_world(runs_per_s=1.0)
        world.run(2.0)
        self.assertEqual(len(world.leaders()), 3)
        return world

    def test_leader_redirects_and_nobody_sends_jobs_there(self) -> None:
        world = self.start()
        world.evacuate("a")
        world.run(0.1)
        since = world.now
        calls = send_jobs(world, 2.0, hosts=None)
        world.run(1.0)
        self.assertEqual(ends(world, calls), {model.JobEnd.COMPLETED})
        self.assertEqual(starts(world, "a", since=since), [])
        for name in HOSTS["b"] + HOSTS["c"]:
            leader = world.hosts[name]
            request = leased_world.request("j")
            suited = leader._fleet.suitability(request).others
            self.assertFalse(set(suited) & set(HOSTS["a"]))

    def test_jobs_of_a_lost_leader_go_to_no_evacuated_cell(self) -> None:
        world = self.start()
        world.evacuate("a")
        world.run(0.1)
        since = world.now
        world.partition({"b1", "b2"}, {"b-u0", "b-u1", "b-u2"})
        for name in HOSTS["b"]:
            world.kill(name)
        calls = send_jobs(world, 1.0, hosts=HOSTS["a"] + HOSTS["c"])
        world.run(2.0)
        self.assertEqual(ends(world, calls), {model.JobEnd.COMPLETED})
        self.assertEqual(starts(world, "a", since=since), [])

    def test_all_cells_evacuated(self) -> None:
        world = self.start()
        world.evacuate("a", "b", "c")
        world.run(0.1)
        calls = [world.submit(name, f"job-{name}") for name in world.hosts]
        world.run(0.05)
        reasons = {world.answers[call][1].reason for call in calls}
        self.assertEqual(reasons, {model.EndReason.NO_UPSTREAM})

    def test_new_leader_keeps_jobs_until_it_knows_other_loads(self) -> None:
        world = self.start()
        world.evacuate("a")
        world.run(0.1)
        leader = next(n for n in world.leaders() if n in HOSTS["a"])
        world.hosts[leader]._dispatcher.overflow.clear()
        call = world.submit(leader, "early")
        world.run(0.5)
        self.assertEqual(ends(world, [call]), {model.JobEnd.COMPLETED})

    def test_job_redirected_to_a_cell_that_is_evacuated_moves_on(self) -> None:
        world = self.start()
        target = next(n for n in world.leaders() if n in HOSTS["b"])
        (owner,) = (n for n in world.leaders() if n in HOSTS["c"])
        world.evacuate("b", "c")
        world.run(0.1)
        home = model.CellId("b")
        owned = world.hosts[owner]._owned_jobs
        call = ids.CallId(10_000)
        request = leased_world.request("moving")
        owned.job_received(call, request, world.now + 2.0, now=world.now)
        owned._jobs[request.job].redirected = True
        owned._hand_over(owned._jobs[request.job], home, now=world.now)
        world.deliver(owner, events.Ticked())
        world.run(0.5)
        self.assertIn(target, world.hosts)
        self.assertEqual(world.answers[call][1].end, model.JobEnd.COMPLETED)


class EvacuationHistory(leased_faults.FaultyHistory):
    """A random history in which operators evacuate failure domains.

    Attributes:
        windows: Domain, beginning and end of each evacuation.
    """

    def __init__(self, seed: int, *, divided: bool = False) -> None:
        super().__init__(seed, divided=divided)
        self.windows: list[tuple[str, float, float]] = []

    def submit_job(self) -> None:
        """Submits a job; sometimes changes the evacuated domains as well."""
        if self.rng.random() < 0.02:
            count = self.rng.choice((0, 1, 1, 2, 3))
            self.evacuate(self.rng.sample("abc", count))
        super().submit_job()

    def end_faults(self) -> None:
        """Ends the evacuations with the faults."""
        self.evacuate([])
        super().end_faults()

    def evacuate(self, domains: list[str]) -> None:
        now = self.world.now
        former = self.world.evacuated
        self.windows = [
            (domain, since, min(until, now))
            if domain not in domains
            else (domain, since, until)
            for domain, since, until in self.windows
        ]
        for domain in set(domains) - former:
            self.windows.append((domain, now, float("inf")))
        self.world.evacuate(*domains)

    def late_starts(self, grace_s: float) -> list[tuple[str, float]]:
        """Returns upstream and delay of starts later than a grace allows."""
        return [
            (upstream, run.started_at - since)
            for domain, since, until in self.windows
            for upstream, run in self.world.started_runs
            if upstream.startswith(domain)
            and since + grace_s <= run.started_at < until
        ]


class HistoriesTest(unittest.TestCase):
    def test_no_task_starts_in_an_evacuated_domain_after_random_failures(
        self,
    ) -> None:
        # An order that is under way starts within the upstream's lease.
        window_count = 0
        for divided in (False, True):
            for seed in range(1, 7):
                with self.subTest(seed=seed, divided=divided):
                    history = EvacuationHistory(seed, divided=divided)
                    history.run()
                    late = history.late_starts(lease.MAX_LEASE_DURATION_S)
                    self.assertEqual(late, [])
                    self.assertEqual(history.world.overlaps(), [])
                    window_count += len(history.windows)
        self.assertGreater(window_count, 20)


class EvacuationsTest(unittest.TestCase):
    def test_a_set_of_a_higher_version_replaces_a_lower_one(self) -> None:
        evacuations = evacuation.Evacuations()
        for version, domains, learnt in (
            (3, "a", evacuation.Learnt.DOMAINS),
            (2, "", evacuation.Learnt.NOTHING),
            (3, "b", evacuation.Learnt.NOTHING),
            (5, "a", evacuation.Learnt.VERSION),
            (4, "", evacuation.Learnt.NOTHING),
            (6, "", evacuation.Learnt.DOMAINS),
        ):
            with self.subTest(version=version):
                verdict = evacuations.learn(told(version, *domains))
                self.assertIs(verdict, learnt)
        self.assertEqual(evacuations.domains, frozenset())


if __name__ == "__main__":
    unittest.main()
