"""Draws the curves of a report; needs the extra `report`."""

import io
from collections import Counter

from matplotlib import figure

from godwitnotch.report import summary as summary_module
from godwitnotch.report.job_trace import Outcome

SIZE_IN = (11.0, 4.0)
MARKED_EVENTS = ("host_started", "leader_changed", "upstream_ejected")


def draw_outcomes(summary: summary_module.Summary) -> str:
    """Returns the curves of the jobs by outcome, as SVG."""
    seconds = sorted(summary.outcomes_by_second)
    counts = [summary.outcomes_by_second[second] for second in seconds]
    start = seconds[0] if seconds else 0
    drawing = figure.Figure(figsize=SIZE_IN, layout="constrained")
    axes = drawing.add_subplot()
    axes.stackplot(
        [second - start for second in seconds],
        [[count[outcome] for count in counts] for outcome in Outcome],
        labels=[outcome.value for outcome in Outcome],
    )
    for event, at in _marks(summary):
        axes.axvline(
            at - start, linewidth=0.6, linestyle=":", color=_COLORS[event]
        )
    axes.set_xlabel("seconds from the first job")
    axes.set_ylabel("jobs a second, by arrival")
    axes.legend(loc="upper right", fontsize="small")
    return _svg(drawing)


_COLORS = dict(zip(MARKED_EVENTS, ("black", "red", "blue"), strict=True))


def _marks(
    summary: summary_module.Summary,
) -> list[tuple[str, int]]:
    """Returns the seconds in which marked events were logged."""
    seconds = Counter(
        (change.event, int(change.at // 1))
        for change in summary.changes
        if change.event in MARKED_EVENTS
    )
    return list(seconds)


def _svg(drawing: figure.Figure) -> str:
    text = io.StringIO()
    drawing.savefig(text, format="svg")
    svg = text.getvalue()
    return svg[svg.index("<svg") :]
