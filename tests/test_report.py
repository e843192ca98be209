"""Tests of the report on jobs that missed their target time."""

import importlib.util
import pathlib
import tempfile
import unittest

import typer.testing

from godwitnotch import cli
from godwitnotch.commands import options
from godwitnotch.core import ids
from godwitnotch.report import log_lines
from godwitnotch.report import page
from godwitnotch.report import summary as summary_module
from godwitnotch.report import summary_builder
from godwitnotch.report import tables
from godwitnotch.report.job_trace import Cause
from godwitnotch.report.job_trace import Outcome

LEADER = "lead"
OWNER = "own"


def line(at: float, host: str, event: str, **pairs: object) -> str:
    """Returns a line of a log that several hosts share."""
    text = " ".join(f"{key}={value}" for key, value in pairs.items())
    minute, second = divmod(at, 60.0)
    time = f"2026-03-01T09:{int(minute):02d}:{second:06.3f}Z"
    return f"{at:9.4f} {host} time={time} level=info event={event} {text}"


def received(
    at: float, job: str, *, wait_s: float = 2.0, host: str = OWNER
) -> str:
    return line(
        at,
        host,
        "job_received",
        job=job,
        route="route",
        tasks=1,
        cpu_millis=1000,
        estimate_ms=100,
        stretch=1.6,
        target_ms=60,
        wait_s=wait_s,
    )


def ordered(at: float, job: str, upstream: str = "u1") -> str:
    return line(
        at,
        LEADER,
        "run_ordered",
        job=job,
        task=0,
        run=1,
        upstream=upstream,
        expected_ms=100,
    )


def ended(at: float, job: str, ran_ms: int, upstream: str = "u1") -> str:
    return line(
        at,
        LEADER,
        "run_ended",
        job=job,
        task=0,
        upstream=upstream,
        ran_ms=ran_ms,
    )


def lost(at: float, job: str, reason: str) -> str:
    return line(
        at, LEADER, "run_lost", job=job, reason=reason, task=0, upstream="u1"
    )


def answered(
    at: float, job: str, end: str = "completed", reason: str = "none"
) -> str:
    return line(at, OWNER, "job_answered", job=job, reason=reason, end=end)


def usual_runs() -> list[str]:
    """Returns the lines of jobs in time, which tell how long runs take."""
    lines = []
    for number in range(20):
        at = number / 10
        job = f"usual{number}"
        lines += [
            received(at, job),
            ordered(at + 0.002, job),
            ended(at + 0.102, job, 100),
            answered(at + 0.104, job),
        ]
    return lines


def summarize(lines: list[str]) -> summary_module.Summary:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "hosts.log"
        path.write_text("\n".join(lines) + "\n")
        return summary_builder.summarize(log_lines.LogReader([path]))


class CauseTest(unittest.TestCase):
    def assert_cause(
        self, lines: list[str], outcome: Outcome, cause: Cause
    ) -> None:
        summary = summarize(usual_runs() + lines)
        self.assertEqual(summary.outcomes[Outcome.IN_TIME], 20)
        (job,) = summary.lost_jobs
        self.assertEqual((job.outcome, job.cause), (outcome, cause))

    def test_job_that_waited(self) -> None:
        self.assert_cause(
            [
                received(10.0, "j"),
                ordered(10.4, "j"),
                ended(10.5, "j", 100),
                answered(10.5, "j"),
            ],
            Outcome.LATE,
            Cause.WAITED,
        )

    def test_run_that_took_long(self) -> None:
        self.assert_cause(
            [
                received(10.0, "j"),
                ordered(10.0, "j", "u2"),
                ended(10.9, "j", 900, "u2"),
                answered(10.9, "j"),
            ],
            Outcome.LATE,
            Cause.RUN_SLOW,
        )

    def test_run_lost_with_its_lease(self) -> None:
        self.assert_cause(
            [
                received(10.0, "j"),
                ordered(10.0, "j"),
                lost(11.0, "j", "lapsed"),
                ordered(11.1, "j"),
                ended(11.2, "j", 100),
                answered(11.2, "j"),
            ],
            Outcome.LATE,
            Cause.RUN_LAPSED,
        )

    def test_run_lost_with_a_lease_that_the_leader_took_for_expired(
        self,
    ) -> None:
        self.assert_cause(
            [
                received(10.0, "j"),
                ordered(10.0, "j"),
                lost(11.0, "j", "lease_expired"),
                ordered(11.1, "j"),
                ended(11.2, "j", 100),
                answered(11.2, "j"),
            ],
            Outcome.LATE,
            Cause.RUN_LAPSED,
        )

    def test_run_that_was_gone_at_its_upstream(self) -> None:
        self.assert_cause(
            [
                received(10.0, "j"),
                ordered(10.0, "j"),
                lost(11.0, "j", "missing"),
                ordered(11.1, "j"),
                ended(11.2, "j", 100),
                answered(11.2, "j"),
            ],
            Outcome.LATE,
            Cause.RUN_GONE,
        )

    def test_task_that_waited_again_after_a_lost_run(self) -> None:
        self.assert_cause(
            [
                received(10.0, "j"),
                ordered(10.0, "j"),
                lost(10.1, "j", "failed"),
                ordered(11.0, "j"),
                ended(11.1, "j", 100),
                answered(11.1, "j"),
            ],
            Outcome.LATE,
            Cause.WAITED_AGAIN,
        )

    def test_overdue_run(self) -> None:
        self.assert_cause(
            [
                received(10.0, "j"),
                ordered(10.0, "j"),
                line(10.8, LEADER, "run_overdue", job="j", task=0),
                lost(10.85, "j", "stopped"),
                ordered(10.9, "j"),
                ended(11.0, "j", 100),
                answered(11.0, "j"),
            ],
            Outcome.LATE,
            Cause.RUN_OVERDUE,
        )

    def test_refusal_with_its_figures(self) -> None:
        lines = [
            received(10.0, "j"),
            line(
                10.1,
                LEADER,
                "job_refused",
                job="j",
                reason="overloaded",
                wait_s=0.5,
                slots=3,
            ),
            answered(10.1, "j", "refused", "overloaded"),
        ]
        self.assert_cause(lines, Outcome.REFUSED, Cause.REFUSED_BY_LOAD)
        self.assertEqual(
            summarize(lines).lost_jobs[0].detail, "wait_s=0.5 slots=3"
        )

    def test_caller_that_left_early(self) -> None:
        self.assert_cause(
            [
                received(10.0, "j"),
                ordered(10.0, "j"),
                line(10.05, OWNER, "caller_left", job="j"),
            ],
            Outcome.CALLER_LEFT,
            Cause.CALLER_LEFT,
        )

    def test_deadline_before_the_expected_end(self) -> None:
        self.assert_cause(
            [
                received(10.0, "j", wait_s=0.05),
                ordered(10.0, "j"),
                answered(10.05, "j", "given_up", "deadline_passed"),
            ],
            Outcome.GIVEN_UP,
            Cause.DEADLINE_TOO_NEAR,
        )

    def test_host_that_was_lost(self) -> None:
        self.assert_cause(
            [
                received(10.0, "j"),
                ordered(10.0, "j"),
                line(11.0, OWNER, "host_started", domain="d"),
            ],
            Outcome.NO_ANSWER,
            Cause.HOST_LOST,
        )

    def test_time_without_a_leader(self) -> None:
        self.assert_cause(
            [
                line(9.9, OWNER, "leader_changed", leader='""'),
                received(10.0, "j"),
                line(10.6, OWNER, "leader_changed", leader=LEADER),
                ordered(10.7, "j"),
                ended(10.8, "j", 100),
                answered(10.8, "j"),
            ],
            Outcome.LATE,
            Cause.NO_LEADER,
        )

    def test_job_of_which_the_logs_tell_nothing(self) -> None:
        self.assert_cause(
            [received(10.0, "j"), answered(10.0, "j", "given_up", "none")],
            Outcome.GIVEN_UP,
            Cause.NOT_EXPLAINED,
        )


class LogReaderTest(unittest.TestCase):
    def read(self, *files: str) -> tuple[log_lines.LogReader, list[str]]:
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for number, text in enumerate(files):
                paths.append(pathlib.Path(folder) / f"h{number}.log")
                paths[-1].write_text(text)
            reader = log_lines.LogReader(paths)
            return reader, [f"{each.host} {each.event}" for each in reader]

    def test_files_of_single_hosts_are_merged_by_time(self) -> None:
        start = "time=2026-03-01T09:30:0"
        _, read = self.read(
            f"{start}1.000Z level=info event=a\n"
            f"{start}3.000Z level=info event=c\n",
            f"{start}2.000Z level=info event=b\n",
        )
        self.assertEqual(read, ["h0 a", "h1 b", "h0 c"])

    def test_lines_written_in_batches_are_put_in_order(self) -> None:
        early = line(5.00, "x", "early").replace("   5.0000", "   5.0500")
        _, read = self.read(
            "\n".join(
                [
                    line(1.0, "x", "start"),
                    line(1.0, "y", "start"),
                    line(5.02, "y", "late"),
                    early,
                ]
            )
        )
        self.assertEqual(read[2:], ["x early", "y late"])

    def test_broken_lines_are_counted_and_skipped(self) -> None:
        whole = line(1.0, "x", "whole")
        reader, read = self.read(
            f"{whole}\nnonsense\n\ntime=2026-03-01T09:30:01Z level=info event=x\n"
        )
        self.assertEqual(read, ["x whole"])
        self.assertEqual((reader.read_count, reader.broken_count), (4, 2))


class SummaryTest(unittest.TestCase):
    def test_lines_left_out_are_counted_however_they_are_reported(self) -> None:
        summary = summarize(
            [
                line(1.0, LEADER, "run_lost", dropped=3),
                line(2.0, LEADER, "log_lines_limited", of="x", lines=4),
            ]
        )
        self.assertEqual(summary.dropped_lines, 7)

    def test_jobs_are_forgotten_once_they_have_ended(self) -> None:
        builder = summary_builder.SummaryBuilder()
        clocks = log_lines.Clocks()
        for second in range(200):
            text = received(float(second), f"j{second}")
            parsed = log_lines.parse(text, host=ids.HostId(""), clocks=clocks)
            assert parsed is not None
            builder.add(parsed)
        self.assertLess(builder.open_jobs, 10)
        self.assertEqual(builder.build().job_count, 200)

    def test_job_sent_again_counts_once_from_its_first_arrival(self) -> None:
        summary = summarize(
            [
                *usual_runs(),
                received(10.0, "j"),
                received(11.3, "j", host="other"),
                ordered(11.3, "j"),
                ended(11.4, "j", 100),
                line(11.4, "other", "job_answered", job="j", end="completed"),
            ]
        )
        self.assertEqual(summary.job_count, 21)
        (job,) = summary.lost_jobs
        self.assertEqual(job.outcome, Outcome.LATE)
        self.assertEqual(job.cause, Cause.HOST_LOST)

    def test_slow_upstream_is_named(self) -> None:
        lines = usual_runs()
        for number in range(20):
            at = 5 + number / 10
            lines += [
                received(at, f"s{number}"),
                ended(at + 0.3, f"s{number}", 300, "u2"),
            ]
        upstreams = summarize(lines).upstreams
        slow = upstreams[ids.UpstreamId("u2")].slowness
        fast = upstreams[ids.UpstreamId("u1")].slowness
        self.assertGreater(slow, 2 * fast)


class PageTest(unittest.TestCase):
    def test_page_escapes_what_callers_chose(self) -> None:
        summary = summarize([received(1.0, "<script>")])
        text = page.build_page(summary, tables.build_tables(summary))
        self.assertNotIn("<script>", text)
        self.assertIn("&lt;script&gt;", text)
        self.assertNotIn("http", text)


class CommandTest(unittest.TestCase):
    def run_command(self, *arguments: str) -> typer.testing.Result:
        return typer.testing.CliRunner().invoke(cli.app, ["report", *arguments])

    def test_page_and_totals(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / "hosts.log"
            out = pathlib.Path(folder) / "day.html"
            log.write_text("\n".join(usual_runs()) + "\nbroken\n")
            result = self.run_command(str(log), "--out", str(out))
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertIn("jobs=20 lost=0", result.output)
            self.assertIn("broken_lines=1", result.output)
            drawn = importlib.util.find_spec("matplotlib") is not None
            self.assertEqual("<svg" in out.read_text(), drawn)

    def test_missing_file_is_named(self) -> None:
        result = self.run_command("/nowhere/hosts.log")
        self.assertEqual(result.exit_code, options.ExitCode.USAGE)
        self.assertIn("/nowhere/hosts.log", result.output)

    def test_log_without_jobs_is_refused_with_the_remedy(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / "hosts.log"
            log.write_text("nothing\n")
            result = self.run_command(str(log))
        self.assertEqual(result.exit_code, options.ExitCode.USAGE)
        self.assertIn("level info", result.output)
