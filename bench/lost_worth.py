"""Tells where the worth of played days was lost.

`python -m bench.lost_worth DAY.json...` reads reports of the users' bench, each
with the hosts' log beside it as DAY.log. It prints the worth of each day, the
mean worth lost while each mix of disturbances lasted, and the causes that the
hosts' logs tell, with the share of all work that each cost. The last column of a
day is the share of the work that a clairvoyant scheduler ends in time, with the
same arrivals, upstreams and seconds without a leader: what could be served.
"""

import argparse
import collections
import json
import pathlib
import statistics
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from bench import leased_load
from bench import leased_yardstick
from godwitnotch.report import log_lines
from godwitnotch.report import summary as summary_module
from godwitnotch.report import summary_builder
from godwitnotch.report.job_trace import Cause

WINDOW_S = 2.0
# A disturbance is felt for this time after its end, a mass restart for this
# time after its start.
AFTER_S = 1.0
RESTART_S = 4.0
MASS_RESTART = "mass restart"
CALM = "calm"
# Disturbances of the store and changes of the configuration cost no worth.
LEFT_OUT = ("platform", "config", "hup")
MAX_ROWS = 12


@dataclass(slots=True)
class LostWorth:
    """Worth lost over several days.

    Attributes:
        by_disturbance: Lost worth by the disturbances of that time.
        by_cause: Share of the work in jobs that missed their target time.
        day_count: Number of days.
    """

    by_disturbance: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    by_cause: dict[Cause, float] = field(default_factory=dict)
    day_count: int = 0

    def add_day(
        self, report: Mapping[str, Any], summary: summary_module.Summary
    ) -> None:
        """Adds a day."""
        self.day_count += 1
        total = report["all"]["n"]
        for window in report["windows"]:
            if window["worth"] is not None:
                lost = window["n"] * (1 - window["worth"]) / total
                mix = _disturbances(report["events"], float(window["name"]))
                self.by_disturbance[mix] += lost
        for cause, work_ms in summary.lost_work_ms.items():
            share = work_ms / summary.total_work_ms
            self.by_cause[cause] = self.by_cause.get(cause, 0.0) + share


def _disturbances(events: Iterable[Mapping[str, Any]], begin: float) -> str:
    """Returns the disturbances that are felt in the window from `begin`."""
    found = set()
    for event in events:
        kind = str(event["kind"])
        restart = kind.startswith("closing")
        until = (
            event["at_s"] + RESTART_S if restart else event["to_s"] + AFTER_S
        )
        felt = event["at_s"] < begin + WINDOW_S and until > begin
        if felt and restart:
            return MASS_RESTART
        if felt and not kind.startswith(LEFT_OUT):
            found.add(kind)
    return "+".join(sorted(found)) or CALM


def _clairvoyant_share(log: pathlib.Path) -> float:
    with log.open(encoding="utf-8", errors="replace") as lines:
        load = leased_load.from_log(lines)
    scheduler = leased_yardstick.Clairvoyant()
    ended_at = leased_yardstick.Simulation(load, scheduler).run()
    return leased_yardstick.work_in_time_share(load, ended_at)


def main() -> None:
    """Prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("reports", type=pathlib.Path, nargs="+")
    lost = LostWorth()
    worths = []
    for path in parser.parse_args().reports:
        report = json.loads(path.read_text())
        log = path.with_suffix(".log")
        summary = summary_builder.summarize(log_lines.LogReader([log]))
        lost.add_day(report, summary)
        worths.append(report["G"])
        print(
            f"{path.stem}: worth={report['G']:.3f} "
            f"served={report['served']:.3f} "
            f"unexplained={summary.unexplained_share:.3f} "
            f"clairvoyant={_clairvoyant_share(log):.3f}"
        )
    print(f"mean worth={statistics.fmean(worths):.4f}")
    _print_means("disturbance", lost.by_disturbance, lost.day_count)
    causes = {cause.value: share for cause, share in lost.by_cause.items()}
    _print_means("cause", causes, lost.day_count)


def _print_means(
    title: str, shares: Mapping[str, float], day_count: int
) -> None:
    print(f"lost a day, by {title}:")
    rows = sorted(shares.items(), key=lambda row: -row[1])
    for name, share in rows[:MAX_ROWS]:
        print(f"  {share / day_count:.4f} {name}")


if __name__ == "__main__":
    main()
