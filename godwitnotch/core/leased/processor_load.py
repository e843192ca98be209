"""Answers a load that a leader's processor can't order, decide and answer in time.

Upstreams may have room for a job whose leader has none: its starts then go out
late, time out and are ordered again, so that the more jobs arrive, the fewer are
served. How late the ticks of the event loop are handled tells how long every
event waits. While even the promptest tick of a while is too late for the callers'
targets, a growing share of the new jobs is refused at once, of all routes alike.
"""

import zlib
from collections import deque

import msgspec

from godwitnotch.core.leased import cell_load
from godwitnotch.core.leased import model

# A job waits for the event loop so often: as it arrives, as its starts are
# confirmed, as a list shows their ends, and before its answer leaves.
PASSES_PER_JOB = 4
# One late tick may be a batch of events; a backlog makes all of them late.
TICKS_TO_JUDGE = 4
MAX_AGE_S = 1.0  # Of the ticks that are judged.
# While the backlog is twice what it may be, the share grows by this a second, and
# without any backlog it falls as fast. A backlog follows the share after some
# 0.1 s, so that a faster change would overshoot.
CHANGE_PER_S = 1.0
MAX_EXCESS = 2.0
# Some jobs are always taken, so that the leader learns when it has caught up.
MAX_SHARE = 0.95
REPORT_INTERVAL_S = 1.0
TARGET_WEIGHT = 0.02  # Weight of a new job in the moving average.
DEFAULT_TARGET_S = 0.06
# Ticks of a process that keeps up are late by some milliseconds now and then.
MIN_ALLOWED_S = 0.01

_HASH_RANGE = 2**32


class Report(msgspec.Struct, frozen=True):
    """How far a leader's processor was behind for a while.

    Attributes:
        late_s: By how much the promptest of the last ticks was late.
        allowed_s: By how much it may be late.
        refused_share: Share of the new jobs that is refused.
    """

    late_s: float
    allowed_s: float
    refused_share: float

    def pairs(self) -> str:
        """Returns the figures as key=value pairs for the log."""
        return (
            f"late_ms={self.late_s * 1_000:.0f} "
            f"allowed_ms={self.allowed_s * 1_000:.0f} "
            f"refused_share={self.refused_share:.2f}"
        )


class ProcessorLoad:
    """Measures how late a leader handles events; tells which jobs it takes.

    Attributes:
        refused_share: Share of the new jobs that is refused.
    """

    def __init__(self) -> None:
        self.refused_share = 0.0
        self._ticks: deque[tuple[float, float]] = deque(maxlen=TICKS_TO_JUDGE)
        self._target_s = DEFAULT_TARGET_S
        self._next_report_at = float("-inf")

    @property
    def late_s(self) -> float:
        """By how much the promptest of the last ticks was late."""
        if len(self._ticks) < TICKS_TO_JUDGE:
            return 0.0
        return min(late_s for _, late_s in self._ticks)

    @property
    def longest_late_s(self) -> float:
        """By how much the latest of the last ticks was late."""
        return max((late_s for _, late_s in self._ticks), default=0.0)

    @property
    def allowed_s(self) -> float:
        """How late events may be: then jobs use up what targets add to runs."""
        return max(MIN_ALLOWED_S, self._target_s / PASSES_PER_JOB)

    @property
    def behind(self) -> bool:
        """Whether events are handled too late for the callers' targets."""
        return self.late_s > self.allowed_s

    @property
    def wait_s(self) -> float:
        """How much later a job ends for the backlog of the processor.

        While jobs are refused, the backlog is short only for that reason.
        """
        if not (self.behind or self.refused_share):
            return 0.0
        return PASSES_PER_JOB * max(self.late_s, self.allowed_s)

    def reset(self) -> None:
        """Forgets all ticks, as this host starts to lead."""
        self.refused_share = 0.0
        self._ticks.clear()

    def ticked(self, late_s: float, *, now: float) -> None:
        """Records how late a tick is handled, and adapts the share."""
        if self._ticks and now - self._ticks[0][0] > MAX_AGE_S:
            self._ticks.popleft()
        elapsed_s = now - self._ticks[-1][0] if self._ticks else 0.0
        self._ticks.append((now, late_s))
        excess = self.late_s / self.allowed_s - 1
        change_per_s = CHANGE_PER_S * min(excess, MAX_EXCESS)
        changed = self.refused_share + change_per_s * elapsed_s
        self.refused_share = min(MAX_SHARE, max(0.0, changed))

    def job_arrived(self, settings: model.RouteSettings) -> None:
        """Includes a job's target in the average."""
        difference_s = settings.target_ms / 1_000 - self._target_s
        self._target_s += TARGET_WEIGHT * difference_s

    def takes(self, job: model.JobName) -> bool:
        """Returns whether a new job is taken; the same for each try of it."""
        if not self.refused_share:
            return True
        digest = zlib.crc32(job.encode(errors="replace"))
        return digest / _HASH_RANGE >= self.refused_share

    def with_wait(self, load: cell_load.CellLoad) -> cell_load.CellLoad:
        """Returns the load of a cell, with the wait for its leader's processor.

        A leader that is behind can't use the free slots of its upstreams, so
        others must not send it their jobs either.
        """
        if not self.wait_s:
            return load
        wait_ms = self.wait_s * 1_000 * load.slots
        return cell_load.CellLoad(
            load.slots, 0.0, max(load.waiting_ms, wait_ms)
        )

    def take_report(self, *, now: float) -> Report | None:
        """Returns the figures if they are due and the leader was behind."""
        if now < self._next_report_at or not (
            self.behind or self.refused_share
        ):
            return None
        self._next_report_at = now + REPORT_INTERVAL_S
        return Report(self.late_s, self.allowed_s, self.refused_share)
