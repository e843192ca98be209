"""Tests of reports on jobs that aren't sent."""

import dataclasses
import unittest

from godwitnotch.core import ids
from godwitnotch.core.leased import events
from godwitnotch.core.leased import explanation
from godwitnotch.core.leased import model
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
    hosts: dict[str, list[str]] | None = None, **options: int
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
        wanted = events.peer_messages.JobReportWanted(call, request, 1.0)
        world.deliver("b", events.PeerTold(ids.HostId("a"), wanted))
        world.run(3 * leased_world.NETWORK_LATENCY_S)
        self.assertIsNone(world.reports[call])

    def test_figures_of_an_absurd_estimate_can_be_sent(self) -> None:
        # The decoder rejects infinite numbers, and would close the link.
        world = make_world()
        world.run_time_ms = 1e308
        world.submit("a", "w")
        report = world.explain("b", "j", 100)
        for value in dataclasses.astuple(report.admission):
            self.assertNotIn(value, (float("inf"), float("-inf")))


class NothingChangesTest(unittest.TestCase):
    def run_day(self, *, asks: bool) -> tuple[object, ...]:
        """Replays an overload of two routes; returns all that hosts did."""
        world = make_world({"d": ["a"], "e": ["b"]}, upstreams=3)
        outcomes = set()
        for step in range(300):
            if step % 100 < 60:
                for number in range(2 + step % 3):
                    world.submit(
                        "ab"[number % 2],
                        f"j{step}.{number}",
                        tasks=1 + (step + number) % 5,
                        rack=("", "rack-d", "rack-e")[number % 3],
                    )
            if asks:
                for name in "ab":
                    world.ask(name, f"x{step}", 1 + step % 7, rack="rack-d")
            world.run(0.011)
        world.run(3.0)
        for report in world.reports.values():
            outcomes.add(report.admission.outcome)
        if asks:
            self.assertEqual(len(world.reports), 600)
            self.assertEqual(
                outcomes, {AdmissionOutcome.KEPT, AdmissionOutcome.ENDED}
            )
        return (
            world.answers,
            world.orders,
            world.decisions,
            [(name, vars(run)) for name, run in world.started_runs],
        )

    def test_hosts_act_the_same_with_and_without_reports(self) -> None:
        # A report that took a share, counted a job or refreshed a cache would
        # change what becomes of the jobs of callers.
        for with_asks, without in zip(
            self.run_day(asks=True), self.run_day(asks=False), strict=True
        ):
            self.assertGreater(len(without), 100)
            self.assertEqual(with_asks, without)
