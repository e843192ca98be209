"""The tables of a report, for the terminal and for the page."""

import datetime

import msgspec

from godwitnotch.report import summary as summary_module
from godwitnotch.report.job_trace import Outcome

MAX_ROWS = 200  # Of the tables that name single jobs or changes.
# Times above this count from 1970 and not from the start of a shared log.
MIN_UNIX_TIME_S = 1e9


class Table(msgspec.Struct, frozen=True):
    """A table of texts.

    Attributes:
        title: What the table shows.
        columns: Heads of the columns.
        rows: The rows, each with a text for every column.
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def build_tables(summary: summary_module.Summary) -> list[Table]:
    """Returns the tables of a summary, the most important first."""
    return [
        _outcomes(summary),
        _causes(summary),
        _worst_seconds(summary),
        _leaders(summary),
        _upstreams(summary),
        _changes(summary),
        _lost_jobs(summary),
    ]


def time_text(at: float) -> str:
    """Returns a time of day, or seconds from the start of a shared log."""
    if at < MIN_UNIX_TIME_S:
        return f"{at:.2f}"
    time = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return time.strftime("%H:%M:%S.%f")[:-3]


def _share(count: float, total: float) -> str:
    return f"{100 * count / total:.1f}%" if total else "-"


def _outcomes(summary: summary_module.Summary) -> Table:
    rows = tuple(
        (
            outcome.value,
            str(summary.outcomes[outcome]),
            _share(summary.outcomes[outcome], summary.job_count),
        )
        for outcome in Outcome
    )
    return Table("Jobs by outcome", ("outcome", "jobs", "share"), rows)


def _causes(summary: summary_module.Summary) -> Table:
    rows = tuple(
        (
            cause.value,
            str(count),
            _share(count, summary.lost_count),
            _share(summary.lost_work_ms[cause], summary.total_work_ms),
        )
        for cause, count in summary.causes.most_common()
    )
    columns = ("cause", "jobs", "share of these", "share of all work")
    return Table("Jobs that missed their target time", columns, rows)


def _worst_seconds(summary: summary_module.Summary) -> Table:
    by_second = sorted(
        summary.outcomes_by_second.items(),
        key=lambda item: item[1][Outcome.IN_TIME] - item[1].total(),
    )
    rows = tuple(
        (
            time_text(second),
            str(counts.total()),
            *(str(counts[outcome]) for outcome in Outcome),
        )
        for second, counts in by_second[:10]
    )
    columns = ("from", "jobs", *(outcome.value for outcome in Outcome))
    return Table("Seconds with the most of them", columns, rows)


def _leaders(summary: summary_module.Summary) -> Table:
    rows = tuple(
        (time_text(change.at), change.detail, change.host)
        for change in summary.leaders[:MAX_ROWS]
    )
    columns = ("time", "leader", "first logged by")
    return Table("Leaders", columns, rows)


def _upstreams(summary: summary_module.Summary) -> Table:
    rows = tuple(
        (
            upstream,
            str(seen.run_count),
            f"{seen.slowness:.2f}",
            _share(seen.lost_counts.total(), seen.run_count),
            " ".join(
                f"{reason}={count}"
                for reason, count in seen.lost_counts.most_common()
            ),
        )
        for upstream, seen in sorted(
            summary.upstreams.items(),
            key=lambda item: -item[1].lost_counts.total(),
        )[:MAX_ROWS]
    )
    columns = ("upstream", "runs", "slowness", "lost", "lost runs by reason")
    return Table("Upstreams", columns, rows)


def _changes(summary: summary_module.Summary) -> Table:
    rows = tuple(
        (time_text(change.at), change.host, change.event, change.detail)
        for change in summary.changes[:MAX_ROWS]
    )
    columns = ("time", "host", "event", "pairs")
    return Table("Changes of hosts, leaders and upstreams", columns, rows)


def _lost_jobs(summary: summary_module.Summary) -> Table:
    rows = tuple(_lost_job(job) for job in summary.lost_jobs[:MAX_ROWS])
    columns = ("time", "job", "route", "outcome", "after s", "cause", "figures")
    return Table("The first of these jobs", columns, rows)


def _lost_job(job: summary_module.LostJob) -> tuple[str, ...]:
    return (
        time_text(job.at),
        job.name,
        job.route,
        job.outcome.value,
        f"{job.took_s:.3f}",
        job.cause.value,
        job.detail,
    )
