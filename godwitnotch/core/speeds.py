"""Learns how long tasks of a template take at each upstream.

The logarithm of a run time is modelled as a sum: the template's mean, the
upstream's deviation, and what this template deviates at this upstream. Each
is corrected by a share of the error of every observation, so that a changed
upstream is noticed after some ten tasks. Declared run times aren't used.
"""

import math
from dataclasses import dataclass

from godwitnotch.core import ids

# Expected run time of a template that never ran, in seconds.
PRIOR_S = 0.3

_TEMPLATE_GAIN = 0.02
_UPSTREAM_GAIN = 0.06
_PAIR_GAIN = 0.04
_SHORTEST_S = 1e-4


@dataclass(slots=True)
class _Term:
    """One learnt term, on the logarithmic scale."""

    value: float
    seen: int = 0

    def correct(self, error: float, least_gain: float, prior: int) -> None:
        gain = max(least_gain, 1.0 / (self.seen + prior))
        self.value += gain * error
        self.seen += 1


class SpeedModel:
    """Expected run times by template and upstream."""

    def __init__(self) -> None:
        self._ranks: dict[ids.TemplateName, dict[ids.UpstreamId, float]] = {}
        self._templates: dict[ids.TemplateName, _Term] = {}
        self._means: dict[ids.TemplateName, float] = {}
        self._upstreams: dict[ids.UpstreamId, _Term] = {}
        self._pairs: dict[ids.TemplateName, dict[ids.UpstreamId, _Term]] = {}

    def expect_s(
        self, template: ids.TemplateName, upstream: ids.UpstreamId
    ) -> float:
        """Returns the median run time to expect, in seconds."""
        term = self._templates.get(template)
        log_s = term.value if term else math.log(PRIOR_S)
        term = self._upstreams.get(upstream)
        if term:
            log_s += term.value
        pairs = self._pairs.get(template)
        if pairs:
            term = pairs.get(upstream)
            if term:
                log_s += term.value
        return math.exp(log_s)

    def mean_s(self, template: ids.TemplateName) -> float:
        """Returns the mean run time of a template over all upstreams."""
        return self._means.get(template, PRIOR_S)

    def knows(self, template: ids.TemplateName) -> bool:
        """Returns whether a template has run."""
        return template in self._means

    def typical_s(self, template: ids.TemplateName) -> float:
        """Returns a template's median run time at an average upstream."""
        term = self._templates.get(template)
        return math.exp(term.value) if term else PRIOR_S

    def ranks(self, template: ids.TemplateName) -> dict[ids.UpstreamId, float]:
        """Returns how slow upstreams are for a template, log scale.

        Upstreams that never ran it are left out; use their `deviation`.
        """
        return self._ranks.setdefault(template, {})

    def deviation(self, upstream: ids.UpstreamId) -> float:
        """Returns an upstream's slowness on a logarithmic scale."""
        term = self._upstreams.get(upstream)
        return term.value if term else 0.0

    def hint(self, upstream: ids.UpstreamId, deviation: float) -> None:
        """Takes a peer's word on an upstream that never ran a task here."""
        if upstream not in self._upstreams:
            self._upstreams[upstream] = _Term(deviation)

    def learn(
        self,
        template: ids.TemplateName,
        upstream: ids.UpstreamId,
        took_s: float,
    ) -> float:
        """Takes the run time of a task that was answered.

        Returns:
            The logarithm of the run time over the one expected.
        """
        took_s = max(took_s, _SHORTEST_S)
        expected_s = self.expect_s(template, upstream)
        error = math.log(took_s / expected_s)
        prior = math.log(PRIOR_S)
        term = self._templates.setdefault(template, _Term(prior))
        term.correct(error, _TEMPLATE_GAIN, 1)
        term = self._upstreams.setdefault(upstream, _Term(0.0))
        term.correct(error, _UPSTREAM_GAIN, 5)
        pairs = self._pairs.setdefault(template, {})
        pair = pairs.setdefault(upstream, _Term(0.0))
        pair.correct(error, _PAIR_GAIN, 12)
        ranks = self._ranks.setdefault(template, {})
        ranks[upstream] = term.value + pair.value
        mean = self._means.get(template, took_s)
        self._means[template] = mean + _TEMPLATE_GAIN * (took_s - mean)
        return error

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Drops what was learnt of an upstream that is gone."""
        self._upstreams.pop(upstream, None)
        for pairs in self._pairs.values():
            pairs.pop(upstream, None)
        for ranks in self._ranks.values():
            ranks.pop(upstream, None)
