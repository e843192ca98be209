"""Computes the figures of a run from its exchanges and start logs."""

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
_MAX_RESPONSE_US = 3_600_000_000
_MAX_RATIO_THOUSANDTHS = 10_000_000
_SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class TaskStart:
    """A task start in the log of an upstream.

    Attributes:
        submission: Id under which the job was submitted.
        task_index: Index of the task in its job.
        ended_at: Monotonic time of the task's end, None if it had not ended.
    """

    submission: str
    task_index: int
    ended_at: float | None


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Data recorded during a run.

    Attributes:
        exchanges: Requests and responses of all jobs.
        starts: All task starts, from the logs of the upstreams.
        refused_count: Task requests that upstreams refused.
        host_cpu_s: CPU time of all hosts during the load, in seconds.
        max_host_rss_bytes: Maximum resident memory of a host at the end.
        internal_fault_count: Internal faults that the hosts logged.
        lost_log_count: Start logs that were lost because an upstream ended.
    """

    exchanges: Sequence[open_loop.Exchange]
    starts: Sequence[TaskStart]
    refused_count: int
    host_cpu_s: float
    max_host_rss_bytes: int
    internal_fault_count: int = 0
    lost_log_count: int = 0


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of a run.

    A ratio is a response time divided by the ideal response time. A job counts
    as answered in time if the answer is correct and complete and arrives
    within the caller's maximum wait.

    Attributes:
        job_ratios: Ratios of the jobs that arrived after the warm-up and were
            answered in time.
        task_ratios: Ratios of the ended tasks of these jobs. The response time
            of a task is measured from the time at which its job is due.
        in_time_share: Share of all jobs that were answered in time.
        wasted_per_request: Number of wasted task requests, divided by the
            number of jobs answered in time. A task request is wasted if an
            upstream refused it, if its task had started before, or if its job
            was not answered in time.
        double_start_count: Tasks that started more than once.
        tasks_per_core_s: Ended task runs per CPU second of the hosts.
        max_rss_mb: Maximum resident memory of a host at the end, in MB.
        max_lag_s: Maximum delay with which the benchmark sent a job, in
            seconds.
        internal_fault_count: Internal faults that the hosts logged. If there
            are any, the figures say nothing about the policy.
        lost_log_count: Start logs that were lost because an upstream ended.
            If there are any, wasted requests and double starts are lower
            bounds.
        outcomes: Number of jobs by outcome and reason.
    """

    job_ratios: Sequence[float]
    task_ratios: Sequence[float]
    in_time_share: float
    wasted_per_request: float
    double_start_count: int
    tasks_per_core_s: float
    max_rss_mb: float
    max_lag_s: float
    internal_fault_count: int
    lost_log_count: int
    outcomes: Mapping[str, int]

    @property
    def mean_ratio(self) -> float:
        """Mean ratio of the jobs."""
        return statistics.fmean(self.job_ratios) if self.job_ratios else 0.0

    @property
    def p50_ratio(self) -> float:
        """Median ratio of the jobs."""
        return quantile(self.job_ratios, 0.5)

    @property
    def p99_ratio(self) -> float:
        """99th percentile of the ratios of the jobs."""
        return quantile(self.job_ratios, 0.99)


def compute(
    load: recorded_load.Load, record: RunRecord, *, time_scale: float
) -> Figures:
    """Computes the figures of a run.

    Args:
        load: The load that was sent.
        record: Data recorded during the run.
        time_scale: Seconds of the run for each second of the load.
    """
    in_time = [
        exchange
        for exchange in record.exchanges
        if _is_in_time(exchange, time_scale)
    ]
    in_time_after_warm_up = [
        exchange
        for exchange in in_time
        if exchange.job.arrives_at >= load.warm_up_s
    ]
    in_time_submissions = {exchange.submission for exchange in in_time}
    start_counts = Counter(
        (start.submission, start.task_index) for start in record.starts
    )
    ended_starts = [
        start for start in record.starts if start.ended_at is not None
    ]
    unused_start_count = sum(
        start.submission not in in_time_submissions for start in record.starts
    )
    repeated_start_count = len(record.starts) - len(start_counts)
    wasted_count = (
        record.refused_count + unused_start_count + repeated_start_count
    )
    return Figures(
        [
            exchange.response_s
            / (load.ideal_response_s(exchange.job) * time_scale)
            for exchange in in_time_after_warm_up
        ],
        _task_ratios(load, in_time_after_warm_up, ended_starts, time_scale),
        len(in_time) / max(len(record.exchanges), 1),
        wasted_count / max(len(in_time), 1),
        sum(count > 1 for count in start_counts.values()),
        len(ended_starts) / record.host_cpu_s if record.host_cpu_s else 0.0,
        record.max_host_rss_bytes / 1e6,
        max(
            (sent.sent_at - sent.due_at for sent in record.exchanges),
            default=0.0,
        ),
        record.internal_fault_count,
        record.lost_log_count,
        Counter(_outcome_label(exchange) for exchange in record.exchanges),
    )


def quantile(values: Sequence[float], fraction: float) -> float:
    """Returns a quantile of the values, 0 if there are none."""
    if not values:
        return 0.0
    return sorted(values)[min(int(len(values) * fraction), len(values) - 1)]


def write_histograms(
    figures: Figures, record: RunRecord, file: pathlib.Path
) -> None:
    """Writes a histogram log of job responses, job ratios and task ratios."""
    responses = [exchange.response_s for exchange in record.exchanges]
    with file.open("w") as output:
        writer = log.HistogramLogWriter(output)
        writer.output_log_format_version()
        for title, values, unit, max_value in (
            ("job response in us", responses, _US_PER_S, _MAX_RESPONSE_US),
            ("job ratio in 1/1000", figures.job_ratios, 1e3, None),
            ("task ratio in 1/1000", figures.task_ratios, 1e3, None),
        ):
            recorder = histogram.HdrHistogram(
                1, max_value or _MAX_RATIO_THOUSANDTHS, _SIGNIFICANT_DIGITS
            )
            for value in values:
                recorder.record_value(max(1, round(value * unit)))
            writer.output_comment(title)
            writer.output_interval_histogram(recorder, time.time(), time.time())


def _is_in_time(exchange: open_loop.Exchange, time_scale: float) -> bool:
    """Returns whether a job was answered correctly and in time."""
    limit_s = exchange.job.max_wait_s * time_scale
    return exchange.correct and exchange.response_s <= limit_s


def _task_ratios(
    load: recorded_load.Load,
    exchanges: Sequence[open_loop.Exchange],
    ended_starts: Sequence[TaskStart],
    time_scale: float,
) -> list[float]:
    """Returns the ratios of the ended tasks of some jobs."""
    max_speed = max(load.speeds.values())
    exchange_by_submission = {
        in_time.submission: in_time for in_time in exchanges
    }
    ratios = []
    for start in ended_starts:
        exchange = exchange_by_submission.get(start.submission)
        if exchange is None or start.ended_at is None:
            continue
        work_s = load.work_s[exchange.job.submission][start.task_index]
        ideal_s = work_s / max_speed * time_scale
        ratios.append((start.ended_at - exchange.due_at) / ideal_s)
    return ratios


def _outcome_label(exchange: open_loop.Exchange) -> str:
    """Returns outcome and reason, or the status code without an outcome."""
    outcome = exchange.answer.get("outcome")
    if outcome is None:
        return f"code_{exchange.status_code}"
    reason = exchange.answer.get("reason")
    return f"{outcome}_{reason}" if reason else str(outcome)
