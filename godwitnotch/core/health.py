"""Ejects upstreams that fail tasks which other upstreams complete.

Each failure is weighted by how unlikely it is for the same template at the
other upstreams (a cumulative sum of log likelihood ratios). A job or template
that fails everywhere therefore ejects no upstream, while an upstream that
fails everything is ejected after a few jobs. Each ejection is twice as long as
the last one; after it the upstream is probed with one task at a time. Ejections
are short while more than half of a domain is unhealthy, and the last healthy
upstream of a domain is never ejected.
"""

import enum
import math
from collections.abc import Iterable

import msgspec

from godwitnotch.core import charts
from godwitnotch.core import ids
from godwitnotch.core import model

# An upstream is ejected when its outcomes are 10,000 times as likely for an
# upstream with _BAD_FAILURE_RATE as for the other upstreams.
EJECT_SCORE = math.log(1e4)
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Length of an ejection if more than half of the domain's upstreams are
# unhealthy. The upstream to eject adds one to their number. After a failed
# probe, it is already one of them and so counts twice.
SHORT_EJECTION_S = 0.5
# An ejection lasts FIRST_EJECTION_S again if the last one began longer ago than
# this.
BACKOFF_RESET_S = 60.0

_BAD_FAILURE_RATE = 0.5  # Failure rate of an upstream that is to be ejected.
_MIN_FAILURE_RATE = 0.02  # Minimum rate assumed of the other upstreams.
_FAILURE_RATE_WEIGHT = 0.1  # Weight of a new outcome in a failure rate.


class State(enum.Enum):
    """States of the chart core/charts/upstream_health.toml."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    HALF_OPEN = "half_open"


class Event(enum.Enum):
    """Events of the chart core/charts/upstream_health.toml."""

    FAILURES_EXCEEDED = "failures_exceeded"
    PROBE_DUE = "probe_due"
    PROBE_SUCCEEDED = "probe_succeeded"
    PROBE_FAILED = "probe_failed"


class Evidence(enum.Enum):
    """What the outcome of an attempt says about its upstream."""

    NONE = "none"
    SUCCESS = "success"
    # Weighed against the other upstreams, since the job may be the cause.
    FAILURE = "failure"
    UNREACHABLE = "unreachable"  # The job can't be the cause.


_EVIDENCE = {
    model.AttemptOutcome.ANSWERED: Evidence.SUCCESS,
    model.AttemptOutcome.TASK_FAILED: Evidence.FAILURE,
    model.AttemptOutcome.BAD_ANSWER: Evidence.FAILURE,
    model.AttemptOutcome.BROKE_OFF: Evidence.FAILURE,
    model.AttemptOutcome.TIMED_OUT: Evidence.FAILURE,
    model.AttemptOutcome.ANSWER_TOO_LARGE: Evidence.NONE,
    model.AttemptOutcome.CONNECT_REFUSED: Evidence.UNREACHABLE,
    model.AttemptOutcome.NOTHING_SENT: Evidence.UNREACHABLE,
    model.AttemptOutcome.REFUSED_FULL: Evidence.NONE,
    model.AttemptOutcome.REFUSED_LEAVING: Evidence.NONE,
    model.AttemptOutcome.ABORTED: Evidence.NONE,
}


def evidence_of(outcome: model.AttemptOutcome) -> Evidence:
    """Returns what an outcome says about its upstream."""
    return _EVIDENCE.get(outcome, Evidence.NONE)


class _Record(msgspec.Struct):
    """Health of one upstream.

    Attributes:
        domain: Failure domain of the upstream.
        state: State of the upstream.
        score: Cumulative sum of log likelihood ratios, at least 0.
        probing: Whether a probe is running.
        ejection_count: Number of ejections since their length was last reset.
        ejected_at: When the upstream was last ejected.
        probe_at: When the last ejection ends and a probe may start.
        last_failed_job: The job whose failure was counted last; further
            failures of this job aren't counted.
    """

    domain: ids.DomainId
    state: State
    score: float = 0.0
    probing: bool = False
    ejection_count: int = 0
    ejected_at: float = -math.inf
    probe_at: float = math.inf
    last_failed_job: ids.SubmissionId | None = None


class _TemplateRates(msgspec.Struct):
    """Failure rates of one template by upstream, and the sum of the rates."""

    rates: dict[ids.UpstreamId, float] = msgspec.field(default_factory=dict)
    rates_sum: float = 0.0

    def mean_elsewhere(self, upstream: ids.UpstreamId) -> float | None:
        """Returns the mean failure rate at the other upstreams, or None."""
        others = len(self.rates) - (upstream in self.rates)
        if not others:
            return None
        own = self.rates.get(upstream, 0.0)
        return max((self.rates_sum - own) / others, 0.0)

    def learn(self, upstream: ids.UpstreamId, failed: bool) -> None:
        old = self.rates.get(upstream)
        if old is None:
            new = 0.5 if failed else 0.0
        else:
            new = old + _FAILURE_RATE_WEIGHT * (failed - old)
        self.rates[upstream] = new
        self.rates_sum += new - (old or 0.0)

    def forget(self, upstream: ids.UpstreamId) -> None:
        self.rates_sum -= self.rates.pop(upstream, 0.0)


class HealthTracker:
    """Health of all upstreams, learnt from the attempts of this host."""

    def __init__(self) -> None:
        self._chart = charts.load("upstream_health", State, Event)
        self._records: dict[ids.UpstreamId, _Record] = {}
        self._templates: dict[ids.TemplateName, _TemplateRates] = {}
        self._ejected: set[ids.UpstreamId] = set()

    def update_upstreams(self, entries: Iterable[model.UpstreamEntry]) -> None:
        """Adds new upstreams as healthy and drops the removed ones."""
        old = self._records
        self._records = {
            entry.upstream: old.get(
                entry.upstream, _Record(entry.domain, self._chart.initial)
            )
            for entry in entries
        }
        for upstream in old.keys() - self._records.keys():
            self._ejected.discard(upstream)
            for rates in self._templates.values():
                rates.forget(upstream)

    def state(self, upstream: ids.UpstreamId) -> State:
        """Returns the state of an upstream; unknown upstreams are healthy."""
        record = self._records.get(upstream)
        return record.state if record else State.HEALTHY

    def usable(self, upstream: ids.UpstreamId) -> bool:
        """Returns whether an upstream is healthy enough for a task now."""
        record = self._records.get(upstream)
        if record is None or record.state is State.HEALTHY:
            return True
        return record.state is State.HALF_OPEN and not record.probing

    def attempt_started(self, upstream: ids.UpstreamId) -> None:
        """Records the start of a task, which probes a half-open upstream."""
        record = self._records.get(upstream)
        if record is not None and record.state is State.HALF_OPEN:
            record.probing = True

    def attempt_ended(
        self,
        upstream: ids.UpstreamId,
        template: ids.TemplateName,
        submission: ids.SubmissionId,
        outcome: model.AttemptOutcome,
        *,
        now: float,
    ) -> None:
        """Learns from the outcome of an attempt."""
        record = self._records.get(upstream)
        if record is None:
            return
        evidence = evidence_of(outcome)
        change = self._score_change(
            upstream, template, submission, record, evidence
        )
        record.score = max(record.score + change, 0.0)
        if record.state is State.HEALTHY:
            if record.score >= EJECT_SCORE:
                self._eject(upstream, Event.FAILURES_EXCEEDED, now)
        elif record.state is State.HALF_OPEN:
            self._end_probe(upstream, evidence, now)

    def advance(self, *, now: float) -> list[ids.UpstreamId]:
        """Makes ejected upstreams half-open when their ejection ends.

        Returns:
            The upstreams that became half-open.
        """
        if not self._ejected:
            return []
        due = [
            upstream
            for upstream in self._ejected
            if self._records[upstream].probe_at <= now
        ]
        for upstream in due:
            self._ejected.remove(upstream)
            record = self._records[upstream]
            record.state = self._chart.next(record.state, Event.PROBE_DUE)
            record.probing = False
        return sorted(due)

    def next_deadline(self) -> float | None:
        """Returns when the next ejection ends, or None."""
        if not self._ejected:
            return None
        return min(
            (self._records[each].probe_at for each in self._ejected),
            default=None,
        )

    def _score_change(
        self,
        upstream: ids.UpstreamId,
        template: ids.TemplateName,
        submission: ids.SubmissionId,
        record: _Record,
        evidence: Evidence,
    ) -> float:
        """Returns how much an outcome changes the score of an upstream."""
        if evidence is Evidence.NONE:
            return 0.0
        if evidence is Evidence.UNREACHABLE:
            return math.log(_BAD_FAILURE_RATE / _MIN_FAILURE_RATE)
        rates = self._templates.setdefault(template, _TemplateRates())
        if evidence is Evidence.SUCCESS:
            if upstream not in rates.rates or rates.rates[upstream]:
                rates.learn(upstream, False)
            return math.log(_BAD_FAILURE_RATE / (1.0 - _MIN_FAILURE_RATE))
        rates.learn(upstream, True)
        if record.last_failed_job == submission:
            return 0.0
        record.last_failed_job = submission
        mean_rate = rates.mean_elsewhere(upstream)
        if mean_rate is None:
            return 0.0
        return max(
            math.log(_BAD_FAILURE_RATE / max(mean_rate, _MIN_FAILURE_RATE)), 0.0
        )

    def _end_probe(
        self, upstream: ids.UpstreamId, evidence: Evidence, now: float
    ) -> None:
        """Ends a probe; without evidence the upstream stays half-open."""
        record = self._records[upstream]
        record.probing = False
        if evidence is Evidence.SUCCESS:
            record.state = self._chart.next(record.state, Event.PROBE_SUCCEEDED)
            record.score = EJECT_SCORE / 2
        elif evidence is not Evidence.NONE:
            self._eject(upstream, Event.PROBE_FAILED, now)

    def _eject(
        self, upstream: ids.UpstreamId, event: Event, now: float
    ) -> None:
        """Ejects an upstream that isn't the last healthy one of its domain."""
        record = self._records[upstream]
        upstream_count, unhealthy_count = self._count_upstreams(record.domain)
        if (
            event is Event.FAILURES_EXCEEDED
            and unhealthy_count + 1 >= upstream_count
        ):
            record.score = 0.0
            return
        if now - record.ejected_at > BACKOFF_RESET_S:
            record.ejection_count = 0
        ejection_s = min(
            FIRST_EJECTION_S * 2.0**record.ejection_count, MAX_EJECTION_S
        )
        if 2 * (unhealthy_count + 1) > upstream_count:
            ejection_s = SHORT_EJECTION_S
        record.state = self._chart.next(record.state, event)
        record.ejection_count += 1
        record.ejected_at = now
        record.probe_at = now + ejection_s
        self._ejected.add(upstream)

    def _count_upstreams(self, domain: ids.DomainId) -> tuple[int, int]:
        """Returns how many upstreams and unhealthy ones a domain has."""
        states = [
            each.state
            for each in self._records.values()
            if each.domain == domain
        ]
        return len(states), len(states) - states.count(State.HEALTHY)
