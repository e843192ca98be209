"""Turns the exchanges and start logs of a run into figures."""

import pathlib
import statistics
import time
from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

from hdrh import histogram
from hdrh import log

from bench import open_loop
from bench import recorded_load

_US_PER_S = 1e6
_MAX_US = 3_600_000_000
_MAX_RATIO_PERMILLE = 10_000_000
_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Start:
    """A task start in an upstream's own log, by the loop's clock."""

    submission: str
    task_index: int
    ended_at: float | None


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a run left behind.

    Attributes:
        exchanges: All jobs.
        starts: All task starts, from the upstreams' logs.
        refused: Task requests that upstreams refused.
        host_cpu_s: Processor seconds of all hosts while the load ran.
        max_host_rss_bytes: Largest resident memory of a host at the end.
        internal_faults: Faults of their own that the hosts logged.
        lost_logs: Upstreams that ended, and their start logs with them.
    """

    exchanges: Sequence[open_loop.Exchange]
    starts: Sequence[Start]
    refused: int
    host_cpu_s: float
    max_host_rss_bytes: int
    internal_faults: int = 0
    lost_logs: int = 0


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run measured; ratios are response time over ideal time.

    Attributes:
        job_ratios: Of the jobs answered in time, after the warm-up.
        task_ratios: Of their tasks, from when the job was due.
        in_time_share: Share of all jobs answered whole and in time.
        wasted_per_request: Task requests that brought no answer that was
            used, for each job answered whole and in time.
        double_starts: Tasks that started more than once.
        tasks_per_core_s: Task answers for each processor second of the hosts.
        max_rss_mb: Largest resident memory of a host.
        max_lag_s: How late the bench itself sent a job, at most.
        internal_faults: Faults of their own that the hosts logged; figures
            of a run with any are no measure of the policy.
        lost_logs: Start logs lost with their upstreams; with any, wasted
            requests and double starts are lower bounds.
        outcomes: Jobs by outcome and reason.
    """

    job_ratios: Sequence[float]
    task_ratios: Sequence[float]
    in_time_share: float
    wasted_per_request: float
    double_starts: int
    tasks_per_core_s: float
    max_rss_mb: float
    max_lag_s: float
    internal_faults: int
    lost_logs: int
    outcomes: Mapping[str, int]

    @property
    def mean_ratio(self) -> float:
        """Mean job ratio."""
        return statistics.fmean(self.job_ratios) if self.job_ratios else 0.0

    @property
    def p50_ratio(self) -> float:
        """Median job ratio."""
        return quantile(self.job_ratios, 0.5)

    @property
    def p99_ratio(self) -> float:
        """99th percentile of the job ratio."""
        return quantile(self.job_ratios, 0.99)


def compute(
    load: recorded_load.Load, evidence: Evidence, *, time_scale: float
) -> Figures:
    """Returns the figures of a run."""
    good = [each for each in evidence.exchanges if _in_time(each, time_scale)]
    measured = [each for each in good if each.job.at >= load.warm_up_s]
    used = {each.submission for each in good}
    begun = Counter(
        (start.submission, start.task_index) for start in evidence.starts
    )
    ended = [start for start in evidence.starts if start.ended_at is not None]
    unused = sum(start.submission not in used for start in evidence.starts)
    repeated = len(evidence.starts) - len(begun)
    wasted = evidence.refused + unused + repeated
    return Figures(
        [
            each.response_s / (load.ideal(each.job) * time_scale)
            for each in measured
        ],
        _task_ratios(load, measured, ended, time_scale),
        len(good) / max(len(evidence.exchanges), 1),
        wasted / max(len(good), 1),
        sum(count > 1 for count in begun.values()),
        len(ended) / evidence.host_cpu_s if evidence.host_cpu_s else 0.0,
        evidence.max_host_rss_bytes / 1e6,
        max((e.sent_at - e.due_at for e in evidence.exchanges), default=0.0),
        evidence.internal_faults,
        evidence.lost_logs,
        Counter(_outcome(each) for each in evidence.exchanges),
    )


def quantile(values: Sequence[float], share: float) -> float:
    """Returns a quantile, 0 of no values."""
    if not values:
        return 0.0
    return sorted(values)[min(int(len(values) * share), len(values) - 1)]


def write_histograms(
    figures: Figures, evidence: Evidence, file: pathlib.Path
) -> None:
    """Writes response times and ratios as a log of three histograms."""
    responses = [each.response_s for each in evidence.exchanges]
    with file.open("w") as output:
        writer = log.HistogramLogWriter(output)
        writer.output_log_format_version()
        for title, values, unit, highest in (
            ("job response in us", responses, _US_PER_S, _MAX_US),
            ("job ratio in 1/1000", figures.job_ratios, 1e3, None),
            ("task ratio in 1/1000", figures.task_ratios, 1e3, None),
        ):
            recorded = histogram.HdrHistogram(
                1, highest or _MAX_RATIO_PERMILLE, _DIGITS
            )
            for value in values:
                recorded.record_value(max(1, round(value * unit)))
            writer.output_comment(title)
            writer.output_interval_histogram(recorded, time.time(), time.time())


def _in_time(exchange: open_loop.Exchange, time_scale: float) -> bool:
    limit_s = exchange.job.max_wait_s * time_scale
    return exchange.correct and exchange.response_s <= limit_s


def _task_ratios(
    load: recorded_load.Load,
    measured: Sequence[open_loop.Exchange],
    ended: Sequence[Start],
    time_scale: float,
) -> list[float]:
    fastest = max(load.speeds.values())
    due = {each.submission: each for each in measured}
    ratios = []
    for start in ended:
        exchange = due.get(start.submission)
        if exchange is None or start.ended_at is None:
            continue
        work_s = load.work[exchange.job.submission][start.task_index]
        ideal_s = work_s / fastest * time_scale
        ratios.append((start.ended_at - exchange.due_at) / ideal_s)
    return ratios


def _outcome(exchange: open_loop.Exchange) -> str:
    outcome = exchange.answer.get("outcome")
    if outcome is None:
        return f"code_{exchange.code}"
    reason = exchange.answer.get("reason")
    return f"{outcome}_{reason}" if reason else str(outcome)
