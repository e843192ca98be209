"""Learns how long tasks of a template take at each upstream.

The natural logarithm of a run time is modelled as the sum of three terms: the
mean of the template, the deviation of the upstream, and the deviation of this
template at this upstream. Each observation changes every term by a share of
the prediction error, so that a change of an upstream's speed shows after some
ten tasks. Declared run times aren't used here; `sizes` learns from them.
"""

import math

import msgspec

from godwitnotch.core import ids

# Expected run time of a template that never ran.
DEFAULT_RUN_TIME_S = 0.3

# Minimum share of the prediction error by which an observation changes a term.
# _TEMPLATE_WEIGHT is also the weight of a run time in the mean of a template.
_TEMPLATE_WEIGHT = 0.02
_UPSTREAM_WEIGHT = 0.06
_PAIR_WEIGHT = 0.04
_MIN_RUN_TIME_S = 1e-4


class _Term(msgspec.Struct):
    """A term of the model, a natural logarithm, and its observation count."""

    value: float
    count: int = 0

    def update(self, error: float, min_weight: float, prior_count: int) -> None:
        weight = max(min_weight, 1.0 / (self.count + prior_count))
        self.value += weight * error
        self.count += 1


class SpeedModel:
    """Expected run times by template and upstream."""

    def __init__(self) -> None:
        self._deviations: dict[
            ids.TemplateName, dict[ids.UpstreamId, float]
        ] = {}
        self._templates: dict[ids.TemplateName, _Term] = {}
        self._means: dict[ids.TemplateName, float] = {}
        self._upstreams: dict[ids.UpstreamId, _Term] = {}
        self._pairs: dict[ids.TemplateName, dict[ids.UpstreamId, _Term]] = {}

    def expected_s(
        self, template: ids.TemplateName, upstream: ids.UpstreamId
    ) -> float:
        """Returns the expected run time (median) at an upstream, in seconds."""
        term = self._templates.get(template)
        log_s = term.value if term else math.log(DEFAULT_RUN_TIME_S)
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
        """Returns the mean run time of a template, in seconds.

        The mean is a moving average over the answered tasks at all upstreams.
        """
        return self._means.get(template, DEFAULT_RUN_TIME_S)

    def has_run_times(self, template: ids.TemplateName) -> bool:
        """Returns whether run times of a template were learnt."""
        return template in self._means

    def typical_s(self, template: ids.TemplateName) -> float:
        """Returns the median run time at an average upstream, in seconds."""
        term = self._templates.get(template)
        return math.exp(term.value) if term else DEFAULT_RUN_TIME_S

    def deviations(
        self, template: ids.TemplateName
    ) -> dict[ids.UpstreamId, float]:
        """Returns the deviation of each upstream for a template.

        Includes the deviation of the template at the upstream. Upstreams that
        never ran the template are left out; for these use `deviation`.
        """
        return self._deviations.setdefault(template, {})

    def deviation(self, upstream: ids.UpstreamId) -> float:
        """Returns how slow an upstream is over all templates.

        Returns:
            Natural logarithm of the ratio of its run times to those of an
            average upstream; positive if it is slower.
        """
        term = self._upstreams.get(upstream)
        return term.value if term else 0.0

    def learn_from_peer(
        self, upstream: ids.UpstreamId, deviation: float
    ) -> None:
        """Sets the deviation that a peer learnt, if this host has none."""
        if upstream not in self._upstreams:
            self._upstreams[upstream] = _Term(deviation)

    def learn(
        self,
        template: ids.TemplateName,
        upstream: ids.UpstreamId,
        run_time_s: float,
    ) -> float:
        """Learns from the run time of an answered task.

        Args:
            template: Template of the task.
            upstream: Upstream that ran the task.
            run_time_s: Run time in seconds, divided by the relative size of
                the task.

        Returns:
            Natural logarithm of the ratio of the run time to the expected one.
        """
        run_time_s = max(run_time_s, _MIN_RUN_TIME_S)
        expected_s = self.expected_s(template, upstream)
        error = math.log(run_time_s / expected_s)
        default_log_s = math.log(DEFAULT_RUN_TIME_S)
        term = self._templates.setdefault(template, _Term(default_log_s))
        term.update(error, _TEMPLATE_WEIGHT, 1)
        term = self._upstreams.setdefault(upstream, _Term(0.0))
        term.update(error, _UPSTREAM_WEIGHT, 5)
        pairs = self._pairs.setdefault(template, {})
        pair = pairs.setdefault(upstream, _Term(0.0))
        pair.update(error, _PAIR_WEIGHT, 12)
        deviations = self._deviations.setdefault(template, {})
        deviations[upstream] = term.value + pair.value
        mean = self._means.get(template, run_time_s)
        self._means[template] = mean + _TEMPLATE_WEIGHT * (run_time_s - mean)
        return error

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Drops what was learnt about an upstream."""
        self._upstreams.pop(upstream, None)
        for pairs in self._pairs.values():
            pairs.pop(upstream, None)
        for deviations in self._deviations.values():
            deviations.pop(upstream, None)
