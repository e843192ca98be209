"""What the logs tell about all jobs: how they ended, and why."""

from collections import Counter

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.report.job_trace import Cause
from godwitnotch.report.job_trace import Outcome


class LostJob(msgspec.Struct, frozen=True):
    """A job that missed its target time."""

    at: float
    name: model.JobName
    route: str
    outcome: Outcome
    cause: Cause
    work_ms: float
    took_s: float
    detail: str


class Change(msgspec.Struct, frozen=True):
    """A change of a host, leader or upstream."""

    at: float
    host: ids.HostId
    event: str
    detail: str


class UpstreamSummary(msgspec.Struct):
    """What the logs tell about one upstream."""

    run_count: int = 0
    lost_counts: Counter[str] = msgspec.field(default_factory=Counter)
    slowness: float = 1.0


class Summary(msgspec.Struct):
    """How the jobs in the logs ended, and why.

    Attributes:
        outcomes: Number of jobs by outcome.
        outcomes_by_second: The same for each second of arrival.
        causes: Number of jobs that missed their target time, by cause.
        lost_work_ms: Their work by cause, in ms.
        total_work_ms: Work of all jobs, in ms.
        lost_jobs: The first of them, in order of arrival.
        changes: Changes of hosts, leaders and upstreams.
        leaders: When which host became the leader, by its own log.
        upstreams: What the logs tell about each upstream.
        dropped_lines: How many lines the hosts left out of their logs.
        span: Times of the first and the last event.
    """

    outcomes: Counter[Outcome] = msgspec.field(default_factory=Counter)
    outcomes_by_second: dict[int, Counter[Outcome]] = msgspec.field(
        default_factory=dict
    )
    causes: Counter[Cause] = msgspec.field(default_factory=Counter)
    lost_work_ms: dict[Cause, float] = msgspec.field(default_factory=dict)
    total_work_ms: float = 0.0
    lost_jobs: list[LostJob] = msgspec.field(default_factory=list)
    changes: list[Change] = msgspec.field(default_factory=list)
    leaders: list[Change] = msgspec.field(default_factory=list)
    upstreams: dict[ids.UpstreamId, UpstreamSummary] = msgspec.field(
        default_factory=dict
    )
    dropped_lines: int = 0
    span: tuple[float, float] | None = None

    @property
    def job_count(self) -> int:
        """Number of jobs."""
        return self.outcomes.total()

    @property
    def lost_count(self) -> int:
        """Number of jobs that missed their target time."""
        return self.job_count - self.outcomes[Outcome.IN_TIME]

    @property
    def unexplained_share(self) -> float:
        """Share of the lost jobs whose cause the logs don't tell."""
        return self.causes[Cause.NOT_EXPLAINED] / max(1, self.lost_count)
