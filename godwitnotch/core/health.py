"""Ejects upstreams that fail what their peers can do.

Each failure is weighed by how unlikely it would be at the other upstreams on
the same template (a cumulative sum of log likelihood ratios), so that a job
or template that fails everywhere ejects nobody, while an upstream that fails
everything is ejected after a few jobs. An ejected upstream is probed with one
task at a time after a pause that doubles. Beyond half of a domain the pause
stays short, and the last usable upstream of a domain is never ejected.
"""

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import charts
from godwitnotch.core import ids
from godwitnotch.core import model

EJECT_SCORE = math.log(1e4)
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0
# The pause where half of a domain is ejected already.
SHORT_PAUSE_S = 0.5
# An ejection this long after the last one starts again with a short pause.
FORGET_S = 60.0

_BAD_RATE = 0.5  # Failure rate of an upstream worth ejecting.
_LEAST_RATE = 0.02
_RATE_GAIN = 0.1


class State(enum.Enum):
    """States of the chart core/charts/upstream_health.yaml."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    HALF_OPEN = "half_open"


class Event(enum.Enum):
    """Events of the chart."""

    FAILURES_EXCEEDED = "failures_exceeded"
    PROBE_DUE = "probe_due"
    PROBE_SUCCEEDED = "probe_succeeded"
    PROBE_FAILED = "probe_failed"


class Blame(enum.Enum):
    """What an attempt's outcome says about its upstream."""

    NONE = "none"
    GOOD = "good"
    RUN = "run"  # Compared with the peers; a job may be the cause.
    REACH = "reach"  # No job can be the cause.


_BLAME = {
    model.AttemptOutcome.ANSWERED: Blame.GOOD,
    model.AttemptOutcome.TASK_FAILED: Blame.RUN,
    model.AttemptOutcome.BAD_ANSWER: Blame.RUN,
    model.AttemptOutcome.BROKE_OFF: Blame.RUN,
    model.AttemptOutcome.TIMED_OUT: Blame.RUN,
    model.AttemptOutcome.ANSWER_TOO_LARGE: Blame.NONE,
    model.AttemptOutcome.CONNECT_REFUSED: Blame.REACH,
    model.AttemptOutcome.NOTHING_SENT: Blame.REACH,
    model.AttemptOutcome.REFUSED_FULL: Blame.NONE,
    model.AttemptOutcome.REFUSED_LEAVING: Blame.NONE,
    model.AttemptOutcome.ABORTED: Blame.NONE,
}


def blame(outcome: model.AttemptOutcome) -> Blame:
    """Returns what an outcome says about its upstream."""
    return _BLAME.get(outcome, Blame.NONE)


@dataclass(slots=True)
class _Record:
    domain: ids.DomainId
    state: State
    score: float = 0.0
    probing: bool = False
    ejections: int = 0
    ejected_at: float = -math.inf
    probe_at: float = math.inf
    blamed: ids.SubmissionId | None = None


@dataclass(slots=True)
class _TemplateRates:
    """Failure rates of one template by upstream, and their sum."""

    rates: dict[ids.UpstreamId, float] = field(default_factory=dict)
    total: float = 0.0

    def peers(self, upstream: ids.UpstreamId) -> float | None:
        """Returns the mean failure rate at the other upstreams."""
        others = len(self.rates) - (upstream in self.rates)
        if not others:
            return None
        own = self.rates.get(upstream, 0.0)
        return max((self.total - own) / others, 0.0)

    def learn(self, upstream: ids.UpstreamId, failed: bool) -> None:
        old = self.rates.get(upstream)
        if old is None:
            new = 0.5 if failed else 0.0
        else:
            new = old + _RATE_GAIN * (failed - old)
        self.rates[upstream] = new
        self.total += new - (old or 0.0)

    def forget(self, upstream: ids.UpstreamId) -> None:
        self.total -= self.rates.pop(upstream, 0.0)


class HealthTracker:
    """The health of all upstreams as this host sees it."""

    def __init__(self) -> None:
        self._chart = charts.load("upstream_health", State, Event)
        self._records: dict[ids.UpstreamId, _Record] = {}
        self._templates: dict[ids.TemplateName, _TemplateRates] = {}
        self._waiting: set[ids.UpstreamId] = set()

    def upstreams_seen(self, entries: Iterable[model.UpstreamEntry]) -> None:
        """Starts new upstreams as healthy and forgets those gone."""
        old = self._records
        self._records = {
            entry.upstream: old.get(
                entry.upstream, _Record(entry.domain, self._chart.initial)
            )
            for entry in entries
        }
        for upstream in old.keys() - self._records.keys():
            self._waiting.discard(upstream)
            for rates in self._templates.values():
                rates.forget(upstream)

    def state(self, upstream: ids.UpstreamId) -> State:
        """Returns the state of an upstream; unknown ones are healthy."""
        record = self._records.get(upstream)
        return record.state if record else State.HEALTHY

    def usable(self, upstream: ids.UpstreamId) -> bool:
        """Returns whether a task may start at an upstream now."""
        record = self._records.get(upstream)
        if record is None or record.state is State.HEALTHY:
            return True
        return record.state is State.HALF_OPEN and not record.probing

    def started(self, upstream: ids.UpstreamId) -> None:
        """Notes that a task starts; at a half-open upstream as the probe."""
        record = self._records.get(upstream)
        if record is not None and record.state is State.HALF_OPEN:
            record.probing = True

    def ended(
        self,
        upstream: ids.UpstreamId,
        template: ids.TemplateName,
        submission: ids.SubmissionId,
        outcome: model.AttemptOutcome,
        *,
        now: float,
    ) -> None:
        """Learns from an attempt's outcome."""
        record = self._records.get(upstream)
        if record is None:
            return
        kind = blame(outcome)
        gain = self._weigh(upstream, template, submission, record, kind)
        record.score = max(record.score + gain, 0.0)
        if record.state is State.HEALTHY:
            if record.score >= EJECT_SCORE:
                self._eject(upstream, Event.FAILURES_EXCEEDED, now)
        elif record.state is State.HALF_OPEN:
            self._probed(upstream, kind, now)

    def advance(self, *, now: float) -> list[ids.UpstreamId]:
        """Returns the upstreams whose probe fell due."""
        if not self._waiting:
            return []
        due = [
            upstream
            for upstream in self._waiting
            if self._records[upstream].probe_at <= now
        ]
        for upstream in due:
            self._waiting.remove(upstream)
            record = self._records[upstream]
            record.state = self._chart.next(record.state, Event.PROBE_DUE)
            record.probing = False
        return sorted(due)

    def next_deadline(self) -> float | None:
        """Returns when the next probe falls due."""
        if not self._waiting:
            return None
        return min(
            (self._records[each].probe_at for each in self._waiting),
            default=None,
        )

    def _weigh(
        self,
        upstream: ids.UpstreamId,
        template: ids.TemplateName,
        submission: ids.SubmissionId,
        record: _Record,
        kind: Blame,
    ) -> float:
        """Returns the log likelihood ratio of a bad upstream to its peers."""
        if kind is Blame.NONE:
            return 0.0
        if kind is Blame.REACH:
            return math.log(_BAD_RATE / _LEAST_RATE)
        rates = self._templates.setdefault(template, _TemplateRates())
        if kind is Blame.GOOD:
            if upstream not in rates.rates or rates.rates[upstream]:
                rates.learn(upstream, False)
            return math.log(_BAD_RATE / (1.0 - _LEAST_RATE))
        rates.learn(upstream, True)
        if record.blamed == submission:
            return 0.0
        record.blamed = submission
        peers = rates.peers(upstream)
        if peers is None:
            return 0.0
        return max(math.log(_BAD_RATE / max(peers, _LEAST_RATE)), 0.0)

    def _probed(
        self, upstream: ids.UpstreamId, kind: Blame, now: float
    ) -> None:
        record = self._records[upstream]
        record.probing = False
        if kind is Blame.GOOD:
            record.state = self._chart.next(record.state, Event.PROBE_SUCCEEDED)
            record.score = EJECT_SCORE / 2
        elif kind is not Blame.NONE:
            self._eject(upstream, Event.PROBE_FAILED, now)

    def _eject(
        self, upstream: ids.UpstreamId, event: Event, now: float
    ) -> None:
        record = self._records[upstream]
        size, ejected = self._count(record.domain)
        if event is Event.FAILURES_EXCEEDED and ejected + 1 >= size:
            record.score = 0.0
            return
        if now - record.ejected_at > FORGET_S:
            record.ejections = 0
        pause_s = min(FIRST_PAUSE_S * 2.0**record.ejections, LONGEST_PAUSE_S)
        if 2 * (ejected + 1) > size:
            pause_s = SHORT_PAUSE_S
        record.state = self._chart.next(record.state, event)
        record.ejections += 1
        record.ejected_at = now
        record.probe_at = now + pause_s
        self._waiting.add(upstream)

    def _count(self, domain: ids.DomainId) -> tuple[int, int]:
        """Returns a domain's upstreams, and how many are not healthy."""
        states = [
            each.state
            for each in self._records.values()
            if each.domain == domain
        ]
        return len(states), len(states) - states.count(State.HEALTHY)
