"""Tests of reports on jobs that aren't sent."""

import unittest

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import arrival_rates
from godwitnotch.core.leased import cells
from godwitnotch.core.leased import events
from godwitnotch.core.leased import explanation
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox
from godwitnotch.core.leased import owned_jobs
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import shares
from godwitnotch.core.leased.explanation import AdmissionOutcome
from godwitnotch.core.leased.explanation import PlacementOutcome
from tests import leased_world

FIRST_CALL = 1_000_000  # Apart from the calls of the world's jobs.


class ExplainedWorld(leased_world.World):
    """A world whose hosts can be asked for reports."""

    def ask(
        self, name: str, job: str, tasks: int = 1, **needs: object
    ) -> ids.CallId:
        """Asks a host where a job would go; returns the id of the call."""
        call = ids.CallId(FIRST_CALL + len(self.asked))
        self.asked.append(call)
        request = leased_world.request(
            job, tasks, estimate_ms=self.run_time_ms, **needs
        )
        self.deliver(name, events.ReportAsked(call, request, 2.0))
        return call

    def explain(
        self, name: str, job: str, tasks: int = 1, **needs: object
    ) -> explanation.JobReport:
        """Returns the report on a job, after the messages that it takes."""
        call = self.ask(name, job, tasks, **needs)
        self.run(3 * leased_world.NETWORK_LATENCY_S)
        return self.reports[call]


def make_world(
    hosts: dict[str, list[str]] | None = None, **options: float
) -> ExplainedWorld:
    """Returns a world with a leader that holds all upstreams."""
    world = ExplainedWorld(hosts or {"d": ["a", "b"]}, **options)
    world.asked = []
    world.link_all()
    world.run(2.0)
    return world


class ReportTest(unittest.TestCase):
    def test_report_names_the_upstream_that_the_job_then_gets(self) -> None:
        world = make_world()
        for name in ("a", "b"):
            report = world.explain(name, "j")
            self.assertEqual(report.leader, "a")
            self.assertIs(report.admission.outcome, AdmissionOutcome.KEPT)
            self.assertIs(report.placement.outcome, PlacementOutcome.PLACED)
            self.assertEqual(report.placement.accepting, 2)
            self.assertEqual(report.placement.suitable, 2)
        self.assertEqual(world.started_runs, [])
        world.submit("b", "j")
        world.run(0.05)
        ((upstream, _),) = world.started_runs
        self.assertEqual(report.placement.upstream, upstream)

    def test_refusal_is_reported_as_the_caller_then_gets_it(self) -> None:
        world = make_world()
        for number in range(30):
            world.submit("a", f"w{number}", tasks=4)
        report = world.explain("b", "j", 4)
        call = world.submit("b", "j", tasks=4)
        world.run(3 * leased_world.NETWORK_LATENCY_S)
        _, answer = world.answers[call]
        self.assertIs(report.admission.outcome, AdmissionOutcome.ENDED)
        self.assertIs(report.admission.reason, answer.reason)
        self.assertIs(answer.reason, model.EndReason.OVERLOADED)
        self.assertGreater(report.admission.ahead_ms, 0.0)
        self.assertIs(report.placement.outcome, PlacementOutcome.NOT_ASKED)

    def test_kept_job_without_a_free_place(self) -> None:
        world = make_world()
        world.submit("a", "w", tasks=4)
        world.run(0.01)
        report = world.explain("a", "j")
        self.assertIs(report.admission.outcome, AdmissionOutcome.KEPT)
        self.assertIs(report.placement.outcome, PlacementOutcome.NO_ROOM)
        self.assertEqual(report.placement.suitable, 2)

    def test_job_that_waits_for_its_rack(self) -> None:
        world = make_world({"d": ["a"], "e": ["b"]}, upstreams=1)
        world.submit("a", "w", tasks=2, rack="rack-d")
        world.run(0.08)
        report = world.explain("b", "j", rack="rack-d")
        placement = report.placement
        self.assertIs(placement.outcome, PlacementOutcome.WAITS_FOR_RACK)
        self.assertEqual(placement.upstream, "d-u0")
        self.assertTrue(placement.in_rack)
        self.assertGreater(placement.wait_s, 0.0)

    def test_evacuation_of_all_domains(self) -> None:
        world = make_world()
        world.evacuate("d")
        world.run(0.1)
        admission = world.explain("b", "j").admission
        self.assertIs(admission.outcome, AdmissionOutcome.ENDED)
        self.assertIs(admission.reason, model.EndReason.NO_UPSTREAM)
        self.assertEqual(admission.evacuated, ("d",))
        self.assertFalse(admission.any_open)

    def test_job_that_is_open_already(self) -> None:
        world = make_world()
        world.submit("a", "j")
        world.run(0.01)
        report = world.explain("b", "j")
        self.assertIs(report.admission.outcome, AdmissionOutcome.OPEN)
        self.assertIs(report.placement.outcome, PlacementOutcome.NOT_ASKED)

    def test_host_without_a_leader_says_so_at_once(self) -> None:
        world = ExplainedWorld({"d": ["a"]})
        world.asked = []
        call = world.ask("a", "j")
        self.assertIsNone(world.reports[call])

    def test_host_that_leads_no_more_says_so(self) -> None:
        # Else the operator would wait for the whole timeout.
        world = make_world()
        call = ids.CallId(FIRST_CALL)
        request = leased_world.request("j")
        wanted = peer_messages.JobReportWanted(call, request, 1.0)
        world.deliver("b", events.PeerTold(ids.HostId("a"), wanted))
        world.run(3 * leased_world.NETWORK_LATENCY_S)
        self.assertIsNone(world.reports[call])

    def test_figures_of_an_absurd_estimate_can_be_sent(self) -> None:
        # The decoder rejects infinite numbers, and would close the link.
        world = make_world()
        world.run_time_ms = 1e308
        world.submit("a", "w")
        report = world.explain("b", "j", 100)
        for value in msgspec.structs.astuple(report.admission):
            self.assertNotIn(value, (float("inf"), float("-inf")))


class NextLeaderTest(unittest.TestCase):
    def test_report_comes_from_the_leader_that_gets_the_next_job(self) -> None:
        # Without a leader of its own, a host gives jobs to cells by turns.
        told = []
        leaders = cells.CellLeaders()
        owned = owned_jobs.OwnedJobs(
            outbox.Outbox(), leaders, send=lambda *sent: told.append(sent)
        )
        owned.set_home(model.CellId("home"))
        self.assertEqual(owned.next_leader(), "")
        for name in ("b", "c", "d"):
            leader = cells.CellLeader(ids.HostId(name), model.Term(1), True)
            leaders.set(model.CellId(name), leader)
        for number in range(7):
            expected = owned.next_leader()
            self.assertEqual(owned.next_leader(), expected)
            request = leased_world.request(f"j{number}")
            owned.job_received(ids.CallId(number), request, 200.0, now=100.0)
            self.assertEqual(told[-1][0], expected)
        self.assertEqual({host for host, _ in told}, {"b", "c", "d"})


class CopiedSharesTest(unittest.TestCase):
    def test_what_a_copy_takes_leaves_the_shares_as_they_are(self) -> None:
        # Credits that a copy shared with its original would be spent by
        # reports, and jobs of callers would be beyond their share.
        route = model.RouteName("r")
        rates = arrival_rates.ArrivalRates()
        for step in range(40):
            rates.add(route, 600.0, now=100.0 + step * 0.1)
        now = 104.0
        original = shares.RouteShares(rates)
        original.record_short(now=now)
        original.take(route, 1.0, 3_000.0, now=now)
        copied = original.copy(rates.copy())
        standings = [
            copied.take(route, 600.0, 3_000.0, now=now) for _ in range(4)
        ]
        self.assertIs(standings[-1], shares.Standing.EXCESS)
        standing = original.take(route, 600.0, 3_000.0, now=now)
        self.assertIs(standing, shares.Standing.WITHIN)


class NothingChangesTest(unittest.TestCase):
    """Replays a load with and without reports; hosts must act the same.

    A report that took a share, counted a job or refreshed a cache would change
    what becomes of the jobs of callers.
    """

    def run_day(
        self,
        hosts: dict[str, list[str]],
        *,
        asks: bool,
        outcomes: set[AdmissionOutcome],
        **options: float,
    ) -> tuple[object, ...]:
        """Replays overloads of two routes; returns all that hosts did."""
        world = make_world(hosts, upstreams=3, **options)
        world.run(1.5)
        names = sorted(world.domains)
        for step in range(300):
            if step % 100 < 60:
                for number in range(2 + step % 4):
                    self.submit(world, names, step, number)
            if asks:
                for name in names:
                    world.ask(name, f"x{step}", 1 + step % 7, rack="rack-d")
            world.run(0.011)
        world.run(3.0)
        if asks:
            self.assertEqual(len(world.reports), 300 * len(names))
            reports = [each for each in world.reports.values() if each]
            self.assertEqual(
                {each.admission.outcome for each in reports}, outcomes
            )
        return (
            world.answers,
            world.orders,
            world.decisions,
            [(name, vars(run)) for name, run in world.started_runs],
        )

    def submit(
        self, world: ExplainedWorld, names: list[str], step: int, number: int
    ) -> None:
        """Submits a job of one of two routes, most of them at one host."""
        request = leased_world.request(
            f"j{step}.{number}",
            1 + (step + number) % 5,
            rack=("", "rack-d", "rack-e")[number % 3],
        )
        settings = msgspec.structs.replace(
            request.settings, route=model.RouteName(f"r{step % 3 == 0}")
        )
        request = msgspec.structs.replace(request, settings=settings)
        name = names[0] if number % 3 else names[-1]
        call = ids.CallId(step * 10 + number)
        world.deliver(name, events.JobAsked(call, request, world.now + 2.0))

    def assert_no_effect(
        self, hosts: dict[str, list[str]], **options: object
    ) -> None:
        with_asks = self.run_day(hosts, asks=True, **options)
        without = self.run_day(hosts, asks=False, **options)
        for one, other in zip(with_asks, without, strict=True):
            self.assertGreater(len(other), 100)
            self.assertEqual(one, other)

    def test_reports_of_one_leader_change_nothing(self) -> None:
        self.assert_no_effect(
            {"d": ["a"], "e": ["b"]},
            outcomes={AdmissionOutcome.KEPT, AdmissionOutcome.ENDED},
        )

    def test_reports_in_a_divided_fleet_change_nothing(self) -> None:
        self.assert_no_effect(
            {"d": ["a", "b"], "e": ["c", "f"]},
            outcomes=set(AdmissionOutcome) - {AdmissionOutcome.OPEN},
            runs_per_s=1.0,
        )
