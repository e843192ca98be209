"""Tests of a fleet that is divided into cells, each with its own leader."""

import unittest
import unittest.mock

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import capacity
from godwitnotch.core.leased import cell_load
from godwitnotch.core.leased import cell_map
from godwitnotch.core.leased import cells
from godwitnotch.core.leased import events
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox
from godwitnotch.core.leased import overflow
from godwitnotch.core.leased import owned_jobs
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import queue_pass
from godwitnotch.core.leased import waiting
from tests import leased_world

NOW = 100.0
HOSTS = {"a": ["a1", "a2", "a3"], "b": ["b1", "b2"], "c": ["c1", "c2"]}
OTHER = ids.HostId("other")
THIRD = ids.HostId("third")
ANYWHERE = overflow.Suitability(1.0, {OTHER: 1.0, THIRD: 1.0})


def divided_world(**options: int) -> leased_world.World:
    world = leased_world.World(HOSTS, runs_per_s=1.0, **options)
    world.run(3.0)
    return world


def make_job(tasks: int = 2, *, base_ms: float = 100.0) -> jobs.LeasedJob:
    return jobs.LeasedJob(
        request=leased_world.request("j", tasks, estimate_ms=base_ms),
        owner=ids.HostId("a"),
        arrived_at=NOW,
        deadline=NOW + 10,
        earlier_runs_end_by=0.0,
        base_ms=base_ms,
    )


def make_load(
    *, slots: float = 10.0, free: float = 0.0, waiting_ms: float = 0.0
) -> cell_load.CellLoad:
    return cell_load.CellLoad(slots, free, waiting_ms)


class CapacityTest(unittest.TestCase):
    def test_a_slow_link_limits_a_host_with_a_fast_processor(self) -> None:
        fast = capacity.HostCapacity(cores=2.0, link_mbps=1_000.0)
        choked = capacity.HostCapacity(cores=2.0, link_mbps=2.0)
        self.assertEqual(fast.runs_per_s, 2 * capacity.RUNS_PER_CORE_S)
        self.assertLess(choked.runs_per_s, 200.0)

    def test_one_leader_is_enough_for_few_upstreams(self) -> None:
        self.assertFalse(capacity.exceeds_one_leader(24, runs_per_s=1_070.0))
        self.assertTrue(capacity.exceeds_one_leader(270, runs_per_s=2_150.0))
        self.assertTrue(capacity.exceeds_one_leader(45, runs_per_s=120.0))


class LongQueueTest(unittest.TestCase):
    def test_an_event_costs_no_look_at_all_waiting_jobs(self) -> None:
        # In a burst on a fleet with one leader, each event went through the
        # whole queue; the leader fell behind, and so the queue grew.
        world = leased_world.World({"a": ["a1"]}, upstreams=1)
        world.run(3.0)
        plain = leased_world.request("j")
        patient = msgspec.structs.replace(plain.settings, target_ms=1e6)
        for number in range(300):
            request = msgspec.structs.replace(
                plain, job=model.JobName(f"j{number}"), settings=patient
            )
            call = ids.CallId(number)
            event = events.JobAsked(call, request, world.now + 60.0)
            world.deliver("a1", event)
        self.assertGreater(world.hosts["a1"].waiting_jobs, 290)
        looked_at = []
        ordered = waiting.WaitingQueue.ordered

        def count_jobs(queue, *, now):
            for job in ordered(queue, now=now):
                looked_at.append(job.name)
                yield job

        with unittest.mock.patch.object(
            waiting.WaitingQueue, "ordered", count_jobs
        ):
            world.deliver("a1", events.Ticked())
        self.assertEqual(len(looked_at), queue_pass.MAX_UNPLACED_JOB_COUNT)


class OverflowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.overflow = overflow.Overflow()

    def choose(
        self,
        own: cell_load.CellLoad,
        suitability: overflow.Suitability = ANYWHERE,
        *,
        now: float = NOW,
    ) -> ids.HostId | None:
        return self.overflow.choose(make_job(), own, suitability, now=now)

    def load(self, host: ids.HostId, load: cell_load.CellLoad) -> None:
        self.overflow.load_received(host, load, now=NOW)

    def test_job_stays_while_its_own_cell_has_free_slots(self) -> None:
        self.load(OTHER, make_load(free=10.0))
        self.assertIsNone(self.choose(make_load(free=2.0)))

    def test_job_moves_from_a_burst_to_the_cell_with_the_shortest_wait(
        self,
    ) -> None:
        self.load(OTHER, make_load(waiting_ms=500.0))
        self.load(THIRD, make_load(free=5.0))
        self.assertEqual(self.choose(make_load(waiting_ms=2_000.0)), THIRD)

    def test_job_stays_if_it_gains_too_little(self) -> None:
        self.load(OTHER, make_load(waiting_ms=1_000.0))
        self.assertIsNone(self.choose(make_load(waiting_ms=1_200.0)))

    def test_a_burst_is_spread_before_the_next_loads_arrive(self) -> None:
        self.load(OTHER, make_load(free=4.0))
        self.load(THIRD, make_load(free=4.0))
        chosen = [self.choose(make_load(waiting_ms=2_000.0)) for _ in range(4)]
        self.assertEqual(sorted(chosen), [OTHER, OTHER, THIRD, THIRD])

    def test_old_load_is_not_trusted(self) -> None:
        self.load(OTHER, make_load(free=10.0))
        later = NOW + overflow.MAX_LOAD_AGE_S
        busy = make_load(waiting_ms=2_000.0)
        self.assertIsNone(self.choose(busy, now=later))

    def test_job_moves_to_the_only_cell_that_can_run_it(self) -> None:
        self.load(OTHER, make_load(waiting_ms=500.0))
        self.load(THIRD, make_load(free=5.0))
        suitability = overflow.Suitability(None, {OTHER: 1.0})
        chosen = self.choose(make_load(free=10.0), suitability)
        self.assertEqual(chosen, OTHER)

    def test_job_moves_to_its_rack_unless_the_wait_there_is_longer(
        self,
    ) -> None:
        far = overflow.Suitability(1.5, {OTHER: 1.0})
        self.load(OTHER, make_load(free=5.0))
        self.assertEqual(self.choose(make_load(free=5.0), far), OTHER)
        self.load(OTHER, make_load(waiting_ms=5_000.0))
        self.assertIsNone(self.choose(make_load(free=5.0), far))


class OwnedJobsTest(unittest.TestCase):
    def test_refusal_in_a_new_term_of_the_leader_does_not_mean_not_started(
        self,
    ) -> None:
        out = outbox.Outbox()
        leaders = cells.CellLeaders()
        owned = owned_jobs.OwnedJobs(
            out, leaders, send=lambda host, message: None
        )
        cell = model.CellId("b")
        owned.set_home(cell)
        leaders.set(cell, cells.CellLeader(OTHER, model.Term(1), True))
        request = leased_world.request("j")
        owned.job_received(ids.CallId(1), request, NOW + 5, now=NOW)
        leaders.set(cell, cells.CellLeader(OTHER, model.Term(2), True))
        owned.leader_changed(cell, OTHER, model.Term(2), now=NOW)
        refusal = model.Answer(
            model.JobEnd.REFUSED, model.EndReason.OVERLOADED, 1.0
        )
        owned.job_answered(OTHER, request.job, refusal)
        (answer,) = [
            each.answer
            for each in out.take()
            if isinstance(each, actions.AnswerCaller)
        ]
        self.assertIs(answer.end, model.JobEnd.GIVEN_UP)


class EvacuatedCellTest(unittest.TestCase):
    """Jobs of a lost leader went to an evacuated cell by turns."""

    def test_jobs_go_by_turns_to_the_other_cells(self) -> None:
        sent: list[ids.HostId] = []
        leaders = cells.CellLeaders()
        owned = owned_jobs.OwnedJobs(
            outbox.Outbox(), leaders, send=lambda host, _: sent.append(host)
        )
        home = model.CellId("home")
        owned.set_home(home)
        for name in ("home", "evacuated", "open"):
            leader = cells.CellLeader(ids.HostId(name), model.Term(1), True)
            leaders.set(model.CellId(name), leader)
        leaders.close(frozenset({model.CellId("evacuated")}))
        for number in range(4):
            request = msgspec.structs.replace(
                leased_world.request("j"), job=model.JobName(f"j{number}")
            )
            call = ids.CallId(number)
            owned.job_received(call, request, NOW + 9, now=NOW)
        leaders.set(home, None)
        nobody = ids.HostId("")
        owned.leader_changed(home, nobody, model.Term(0), now=NOW)
        sent.clear()
        owned.tick(now=NOW + 1.0)
        late = msgspec.structs.replace(
            leased_world.request("j"), job=model.JobName("late")
        )
        owned.job_received(ids.CallId(9), late, NOW + 9, now=NOW + 1.0)
        self.assertEqual(sent, ["open"] * 5)

    def test_cells_that_are_all_evacuated_refuse_themselves(self) -> None:
        leaders = cells.CellLeaders()
        cell = model.CellId("b")
        leaders.set(cell, cells.CellLeader(OTHER, model.Term(1), True))
        leaders.close(frozenset({cell}))
        self.assertEqual(leaders.open_cells(), [cell])


class CellMapTest(unittest.TestCase):
    def test_run_factor_by_service_label_and_rack(self) -> None:
        world = leased_world.World({"a": ["a1"], "b": ["b1"]})
        cells = cell_map.CellMap(locality.Racks(2.0))
        cells.update(each.entry for each in world.upstreams.values())
        plain = leased_world.request("j")
        cases = (
            ({}, ["a"], 1.0),
            ({}, ["c"], None),
            ({"required_label": "rack-b"}, ["a"], None),
            ({"required_label": "rack-b"}, ["b"], 1.0),
            ({"preferred_rack": "rack-b"}, ["a"], 2.0),
            ({"preferred_rack": "rack-b"}, ["a", "b"], 1.0),
        )
        for changes, domains, factor in cases:
            with self.subTest(changes=changes, domains=domains):
                tasks = model.TaskGroup(
                    **{
                        **{
                            name: getattr(plain.tasks, name)
                            for name in model.TaskGroup.__slots__
                        },
                        **changes,
                    }
                )
                request = model.JobRequest(
                    plain.job, plain.spec, tasks, plain.settings
                )
                self.assertEqual(cells.run_factor(request, domains), factor)


class DividedFleetTest(unittest.TestCase):
    def test_each_domain_has_a_leader_that_holds_its_upstreams(self) -> None:
        world = divided_world()
        led = {world.domains[name]: name for name in world.leaders()}
        self.assertEqual(set(led), {"a", "b", "c"})
        for leader in led.values():
            self.assertEqual(world.hosts[leader].held_upstreams, 2)
        self.assertTrue(all(host.ready for host in world.hosts.values()))

    def test_a_fleet_that_one_leader_can_serve_is_not_divided(self) -> None:
        world = leased_world.World(HOSTS, runs_per_s=1_000.0)
        world.run(3.0)
        self.assertEqual(len(world.leaders()), 1)

    def test_a_fleet_that_grows_is_divided_once_it_has_no_open_job(
        self,
    ) -> None:
        world = leased_world.World(HOSTS, runs_per_s=65.0)
        world.run(3.0)
        self.assertEqual(len(world.leaders()), 1)
        world.run_time_ms = 900.0
        call = world.submit("c1", "j", tasks=2)
        world.add_upstream("a", "a-u9")
        world.run(0.8)
        self.assertEqual(len(world.leaders()), 1)
        world.run(0.5)
        self.assertIs(world.answers[call][1].end, model.JobEnd.COMPLETED)
        self.assertEqual(world.start_count("j"), 2)
        world.add_upstream("a", "a-u10")
        world.run(2.0)
        self.assertEqual(len(world.leaders()), 3)

    def test_jobs_run_in_the_domain_of_their_owner(self) -> None:
        world = divided_world()
        call = world.submit("b1", "j", tasks=2)
        world.run(1.0)
        self.assertIs(world.answers[call][1].end, model.JobEnd.COMPLETED)
        self.assertEqual({name[0] for name, _ in world.started_runs}, {"b"})

    def test_burst_in_one_domain_uses_the_upstreams_of_all(self) -> None:
        world = divided_world()
        calls = [world.submit("a1", f"j{n}", tasks=4) for n in range(3)]
        world.run(0.5)
        self.assertEqual(
            {world.answers[call][1].end for call in calls},
            {model.JobEnd.COMPLETED},
        )
        domains = [name[0] for name, _ in world.started_runs]
        self.assertEqual(set(domains), {"a", "b", "c"})
        self.assertEqual(world.overlaps(), [])

    def test_loss_of_a_leader_leaves_the_other_cells_alone(self) -> None:
        world = divided_world()
        world.run_time_ms = 300.0
        leaders = {world.domains[name]: name for name in world.leaders()}
        calls = {}
        for domain, names in HOSTS.items():
            owner = next(name for name in names if name != leaders[domain])
            calls[domain] = world.submit(owner, f"j{domain}", tasks=2)
        world.run(0.05)
        world.kill(leaders["a"])
        world.run(1.5)
        for domain, call in calls.items():
            _, answer = world.answers[call]
            self.assertIs(answer.end, model.JobEnd.COMPLETED, domain)
        self.assertEqual(world.start_count("jb"), 2)
        self.assertEqual(world.start_count("jc"), 2)
        led = {world.domains[name] for name in world.leaders()}
        self.assertEqual(led, {"a", "b", "c"})
        self.assertEqual(world.overlaps(), [])

    def test_jobs_go_to_another_cell_while_their_own_has_no_leader(
        self,
    ) -> None:
        world = divided_world()
        leader = next(name for name in world.leaders() if name in HOSTS["b"])
        other = next(name for name in HOSTS["b"] if name != leader)
        world.kill(leader)
        call = world.submit(other, "j", tasks=2)
        world.run(0.25)
        _, answer = world.answers[call]
        self.assertIs(answer.end, model.JobEnd.COMPLETED)

    def test_domain_that_is_cut_off_keeps_its_leader_and_runs(self) -> None:
        world = divided_world()
        world.run_time_ms = 900.0
        leader = next(n for n in world.leaders() if n.startswith("c"))
        call = world.submit("c1", "j", tasks=2)
        world.run(0.1)
        inside = {"c1", "c2", "c-u0", "c-u1"}
        world.partition(inside, {*world.domains, *world.upstreams} - inside)
        world.run(2.0)
        self.assertIs(world.answers[call][1].end, model.JobEnd.COMPLETED)
        self.assertEqual(world.start_count("j"), 2)
        self.assertTrue(world.hosts[leader].leads)

    def test_moved_job_waits_until_its_runs_in_the_other_cell_have_ended(
        self,
    ) -> None:
        world = divided_world()
        leader = next(name for name in world.leaders() if name in HOSTS["a"])
        # A host that has run for a minute knows which upstreams were removed.
        world.hosts[leader]._listing._started_at -= 60.0
        handed_over = peer_messages.JobHandedOver(
            leased_world.request("j"), 5.0, 0.0, 1.2, model.Term(1)
        )
        moved = peer_messages.JobMoved(handed_over, False, True)
        world.deliver(leader, events.PeerTold(ids.HostId("c1"), moved))
        world.run(1.1)
        self.assertEqual(world.start_count("j"), 0)
        world.run(0.3)
        self.assertEqual(world.start_count("j"), 1)

    def test_other_domains_hear_that_a_leader_has_stepped_down(self) -> None:
        world = divided_world()
        leader = next(name for name in world.leaders() if name in HOSTS["b"])
        term = world.hosts[leader]._leadership.term
        # Both upstreams must have responded lately.
        world.submit(leader, "first", tasks=4)
        world.run(0.2)
        for name in ("b-u0", "b-u1"):
            world.upstreams[name].term = term + 1
        world.submit(leader, "second", tasks=4)
        world.run(0.03)
        self.assertNotIn(leader, world.leaders())
        for name in HOSTS["a"]:
            leaders = world.hosts[name]._fleet.leaders
            self.assertEqual(leaders.host(model.CellId("b")), "")

    def test_upstreams_of_a_domain_without_hosts_are_used(self) -> None:
        world = leased_world.World({**HOSTS, "d": []}, runs_per_s=1.0)
        world.run(6.0)
        held = sum(world.hosts[n].held_upstreams for n in world.leaders())
        self.assertEqual(held, len(world.upstreams))

    def test_host_that_starts_later_joins_the_cell_of_its_domain(self) -> None:
        world = divided_world()
        before = {world.domains[name]: name for name in world.leaders()}
        world.kill("a3")
        world.run(0.5)
        world.start_host("a3", rank=0)
        world.link_all()
        world.run(1.0)
        after = {world.domains[name]: name for name in world.leaders()}
        self.assertEqual(set(after), {"a", "b", "c"})
        if before["a"] != "a3":
            self.assertEqual(after, before)
        call = world.submit("a3", "j", tasks=1)
        world.run(0.5)
        self.assertIs(world.answers[call][1].end, model.JobEnd.COMPLETED)

    def test_followers_watch_the_leaders_only(self) -> None:
        # More would cost an idle host more the more hosts there are.
        world = divided_world()
        leaders = set(world.leaders())
        for name, core in world.hosts.items():
            if name in leaders:
                self.assertIsNone(core.watched_hosts)
            else:
                self.assertEqual(core.watched_hosts, leaders)

    def test_hosts_without_a_leader_watch_all(self) -> None:
        # An election goes by the hosts that are linked.
        world = divided_world()
        (leader,) = (n for n in world.leaders() if world.domains[n] == "a")
        world.kill(leader)
        world.run(0.02)
        for name in set(HOSTS["a"]) - {leader}:
            self.assertIsNone(world.hosts[name].watched_hosts)


if __name__ == "__main__":
    unittest.main()
