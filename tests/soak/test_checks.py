"""Tests of the soak's own upstream and checks, on times that are given."""

import random
import unittest

from tests.soak import checker
from tests.soak import exact_upstream
from tests.soak import load
from tests.soak import schedule
from tests.soak import upstream_process

TASK = "0000000000000001.0.0.0"


class Even(random.Random):
    """Random numbers that are all the same, so that nothing fails."""

    def random(self) -> float:
        return 0.5


class Upstream:
    """An exact upstream with its records."""

    def __init__(
        self,
        *,
        clock_rate: float = 1.0,
        defect: bool = False,
        guards_room: bool = True,
    ):
        self.records: list[dict] = []
        self.state = exact_upstream.ExactUpstream(
            "u",
            max_runs=2,
            clock_rate=clock_rate,
            started_at=100.0,
            born_ms=id(self),
            rng=Even(),
            record=self._record,
            ignores_leases=defect,
            guards_room=guards_room,
        )

    def _record(self, kind: str, **values) -> None:
        self.records.append({"kind": kind, "pid": 1, **values})

    def start(
        self,
        at: float,
        *,
        run: int = 1,
        spec_ms: int = 10_000,
        deadline_ms: int = 1_000_000,
        task: str = TASK,
    ) -> tuple[int, dict]:
        body = {
            "task": task,
            "run": run,
            "fence": 1,
            "spec": str(spec_ms),
            "deadline_ms": deadline_ms,
        }
        path = exact_upstream.START_PATH
        return self.state.execute(path, body, "127.0.0.1", at)

    def order(self, path: str, at: float, **body) -> tuple[int, dict]:
        order = {"fence": 1, **body}
        return self.state.execute(path, order, "127.0.0.1", at)

    def run(self) -> checker.Run:
        (run,) = checker.runs(self.records, {})
        return run


class ExactUpstreamTest(unittest.TestCase):
    def test_late_process_ends_runs_when_the_lease_ended(self) -> None:
        upstream = Upstream(clock_rate=0.98)
        upstream.start(101.0)
        renewal = {"observed": 0, "deadline_ms": 1_000_000}
        upstream.order(exact_upstream.RENEW_PATH, 109.0, **renewal)
        run = upstream.run()
        self.assertEqual(run.how, "lapsed")
        self.assertAlmostEqual(run.ended_at, 101.0 + 1.0 / 0.98, delta=0.002)

    def test_renewal_prolongs_the_lease_and_never_shortens_it(self) -> None:
        upstream = Upstream()
        upstream.start(100.0, deadline_ms=500)
        for deadline_ms in (900, 600):
            upstream.order(
                exact_upstream.RENEW_PATH,
                100.2,
                observed=0,
                deadline_ms=deadline_ms,
            )
        upstream.state.settle(109.0)
        self.assertAlmostEqual(upstream.run().ended_at, 100.9)

    def test_stop_takes_effect_within_its_limit(self) -> None:
        upstream = Upstream()
        upstream.start(100.0)
        upstream.order(exact_upstream.STOP_PATH, 100.5, task=TASK, run=1)
        upstream.state.settle(109.0)
        run = upstream.run()
        self.assertEqual((run.how, run.stopped), ("stopped", True))
        self.assertLessEqual(100.5, run.ended_at)
        self.assertLessEqual(run.ended_at, 100.5 + exact_upstream.MAX_STOP_S)

    def test_orders_are_rejected_for_the_reasons_of_the_platform(self) -> None:
        upstream = Upstream()
        upstream.start(100.0, run=2)
        stop = {"task": TASK, "run": 2}
        upstream.order(exact_upstream.STOP_PATH, 100.1, **stop)
        for reason, result in (
            ("old", upstream.start(100.5, run=2)),
            ("late", upstream.start(101.5, run=3, deadline_ms=1_400)),
            ("fence", upstream.order("/run-stop", 101.5, fence=0)),
        ):
            self.assertEqual((result[0], result[1]["reason"]), (409, reason))
        for number in (3, 4):
            upstream.start(101.6, run=3, task=f"000000000000000{number}.0.0.0")
        self.assertEqual(upstream.start(101.7, run=9)[1]["reason"], "room")

    def test_ends_are_listed_until_they_are_acknowledged(self) -> None:
        upstream = Upstream()
        upstream.start(100.0, spec_ms=10)
        listed = upstream.state.lists(100.5)
        self.assertEqual(listed["finished"], [[1, TASK, 1, "done", ""]])
        upstream.order(exact_upstream.RENEW_PATH, 100.6, observed=1)
        self.assertEqual(upstream.state.lists(100.6)["finished"], [])
        self.assertEqual(upstream.run().acknowledged_at, 100.6)


class CheckerTest(unittest.TestCase):
    def overlaps(self, *, second_at: float, defect: bool = False):
        first, second = Upstream(defect=defect), Upstream()
        first.start(100.0)
        second.start(second_at, run=2)
        records = first.records + second.records
        return checker.overlaps(checker.runs(records, {1: 200.0}))

    def test_runs_at_the_same_time_are_found(self) -> None:
        (overlap,) = self.overlaps(second_at=100.9)
        self.assertAlmostEqual(overlap.length_s, 0.1)
        self.assertEqual((overlap.first.number, overlap.second.number), (1, 2))

    def test_runs_after_the_end_of_the_lease_are_none(self) -> None:
        self.assertEqual(self.overlaps(second_at=101.0), [])

    def test_an_upstream_that_ignores_leases_is_found(self) -> None:
        self.assertEqual(len(self.overlaps(second_at=101.0, defect=True)), 1)

    def test_refused_jobs_that_ran_are_found(self) -> None:
        upstream = Upstream()
        upstream.start(100.0)
        runs = checker.runs(upstream.records, {})
        for statuses, found in (
            ((503,), True),
            ((503, 429), True),
            ((0, 503), False),
            ((200,), False),
        ):
            job = load.Job(TASK.partition(".")[0])
            job.calls = [(100.0, status) for status in statuses]
            with self.subTest(statuses=statuses):
                refused = checker.refused_but_ran([job], runs)
                self.assertEqual(refused, [job.name] if found else [])

    def test_starts_after_three_crashes_are_found(self) -> None:
        start = {"kind": "start", "task": TASK}
        crash = {"kind": "crash", "task": TASK}
        other = {"kind": "start", "task": "0000000000000002.0.0.0"}
        records = [start, crash, start, crash, start, crash, other]
        allowed = checker.started_after_crashes([*records, start, start])
        self.assertEqual(allowed, [])
        found = checker.started_after_crashes([*records, start, start, start])
        self.assertEqual(found, [TASK])

    def test_starts_beyond_a_room_that_shrank_long_ago_are_found(self) -> None:
        for guards_room, started_at, found in (
            (True, 107.0, []),
            (False, 103.0, []),
            (False, 107.0, [f"{TASK} at u"]),
        ):
            upstream = Upstream(guards_room=guards_room)
            upstream.start(100.0, task="0000000000000002.0.0.0")
            upstream.order(
                exact_upstream.RENEW_PATH,
                started_at - 0.5,
                observed=0,
                deadline_ms=1_000_000,
            )
            upstream.state.set_room(0, 101.0)
            upstream.start(started_at)
            with self.subTest(guards_room=guards_room, started_at=started_at):
                self.assertEqual(checker.over_room(upstream.records), found)

    def test_runs_long_after_a_cancel_are_found(self) -> None:
        for cancelled_at, found in (
            (float("inf"), 0),
            (98.0, 0),
            (96.9, 1),  # It starts 3.1 s after the acknowledgement.
            (97.5, 1),  # It starts before, and runs on.
        ):
            upstream = Upstream()
            upstream.start(100.0)
            job = load.Job(TASK.partition(".")[0], cancelled_at=cancelled_at)
            runs = checker.runs(upstream.records, {})
            with self.subTest(cancelled_at=cancelled_at):
                ran = checker.ran_after_cancel([job], runs)
                self.assertEqual(len(ran), found)


class LineReaderTest(unittest.TestCase):
    def test_all_lines_of_one_read_are_returned(self) -> None:
        lines = upstream_process.LineReader()
        self.assertEqual(lines.feed(b"u1 2\nu3 2\nu5"), ["u1 2", "u3 2"])
        self.assertEqual(lines.feed(b" 1\n"), ["u5 1"])


class ScheduleTest(unittest.TestCase):
    def test_a_seed_gives_the_same_schedule_again(self) -> None:
        first, again, other = (
            schedule.draw(seed, 60.0, relayed=True, kinds=frozenset())
            for seed in (3, 3, 4)
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)
