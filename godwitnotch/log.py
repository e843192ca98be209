"""Logs each event as one line of key=value pairs."""

import io
import json
import logging
import re
import sys
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import TextIO

import msgspec

from godwitnotch.core import actions
from godwitnotch.core.leased import actions as leased_actions

LEVELS = ("debug", "info", "warning", "error")
MAX_LINES_PER_WINDOW = 20  # For each log event.
RATE_WINDOW_S = 1.0
MAX_TRACKED_EVENTS = 1_000
# Frequent events of jobs that are served as usual. Where the reader is too slow
# for all lines, these are left out before others.
ROUTINE_EVENTS = frozenset(
    {"job_answered", "job_received", "run_ended", "run_ordered"}
)

_ROOT = "godwitnotch"
_PLAIN_CHARS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
    "-_.:/+@[]()*,"
)

_EVENT = re.compile(r"(?:^| )event=(\w+)")

logger = logging.getLogger(_ROOT)


def configure(
    *,
    level: str = "info",
    stream: TextIO | io.TextIOBase | None = None,
    clock: Callable[[], float] = time.monotonic,
    max_lines_per_window: int = MAX_LINES_PER_WINDOW,
) -> None:
    """Configures the log.

    Args:
        level: Lowest level that is logged, one of `LEVELS`.
        stream: Stream to write to; None for standard error.
        clock: Returns the time in seconds, for the rate limit.
        max_lines_per_window: Maximum number of lines of each log event in a
            window of `RATE_WINDOW_S` seconds.
    """
    global _rate_filter
    _skip_unused_record_fields()
    _rate_filter = RateFilter(
        clock=clock, max_lines_per_window=max_lines_per_window
    )
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_LineFormatter())
    handler.addFilter(_rate_filter)
    for old in tuple(logger.handlers):
        logger.removeHandler(old)
    logger.addHandler(handler)
    logger.propagate = False
    set_level(level)


def _skip_unused_record_fields() -> None:
    """Saves what `logging` looks up for fields that no line shows."""
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None


def set_level(level: str) -> None:
    """Sets the lowest level that is logged.

    Raises:
        ValueError: The level is not one of `LEVELS`.
    """
    if level not in LEVELS:
        raise ValueError(f"level {level!r} unknown; use {', '.join(LEVELS)}")
    logger.setLevel(level.upper())


def level() -> str:
    """Returns the lowest level that is logged."""
    return logging.getLevelName(logger.level).lower()


def event(name: str, *, severity: int = logging.INFO, **pairs: object) -> None:
    """Logs the pairs under the name of a log event, in the given order."""
    if not logger.isEnabledFor(severity):
        return
    text = " ".join(
        f"{key}={format_value(value)}" for key, value in pairs.items()
    )
    logger.log(severity, text, extra={"event": name})


def note(entry: actions.Note) -> None:
    """Logs a note.

    Notes about a submission are logged at debug level, since each job causes
    several; all other notes are logged at info level.
    """
    severity = logging.INFO if entry.submission is None else logging.DEBUG
    if not logger.isEnabledFor(severity):
        return
    parts = []
    if entry.submission is not None:
        parts.append(f"submission={format_value(entry.submission)}")
    if entry.reason is not None:
        parts.append(f"reason={entry.reason.value}")
    if entry.detail:
        parts.append(entry.detail.replace("\n", " "))
    logger.log(severity, " ".join(parts), extra={"event": entry.event})


def decision(entry: leased_actions.Decided) -> None:
    """Logs a decision about a leased run or a request."""
    if not logger.isEnabledFor(logging.INFO):
        return
    # At a peak most of these lines are dropped, so that is found out first.
    dropped = _rate_filter.admit(entry.event) if _rate_filter else 0
    if dropped is None:
        return
    parts = []
    if entry.job:
        parts.append(f"job={format_value(entry.job)}")
    if entry.reason:
        parts.append(f"reason={entry.reason}")
    if entry.detail:
        parts.append(entry.detail.replace("\n", " "))
    logger.info(
        " ".join(parts), extra={"event": entry.event, "dropped": dropped}
    )


def is_routine(line: str) -> bool:
    """Returns whether a line of the log is one of ROUTINE_EVENTS."""
    match = _EVENT.search(line)
    return match is not None and match[1] in ROUTINE_EVENTS


def report_dropped() -> None:
    """Logs how many lines the rate limit has dropped in windows that are over.

    Lines that were dropped are otherwise reported only by the next line of
    their event. Call this at least once in each window.
    """
    for rate_filter in _rate_filters():
        for name, lines in rate_filter.take_dropped().items():
            event(
                "log_lines_limited",
                severity=logging.WARNING,
                of=name,
                lines=lines,
            )


def dropped_lines() -> int:
    """Returns how many lines the rate limit has dropped so far."""
    return sum(rate_filter.dropped_lines for rate_filter in _rate_filters())


def _rate_filters() -> list["RateFilter"]:
    return [
        rate_filter
        for handler in logger.handlers
        for rate_filter in handler.filters
        if isinstance(rate_filter, RateFilter)
    ]


def format_value(value: object) -> str:
    """Returns a value as text, as a JSON string if it needs quoting."""
    text = "" if value is None else str(value)
    if text and _PLAIN_CHARS.issuperset(text):
        return text
    return json.dumps(text)


class _Window(msgspec.Struct):
    """Counts of the lines of one log event in the current window."""

    started_at: float
    lines: int = 0
    dropped: int = 0


class RateFilter(logging.Filter):
    """Limits the rate of the lines of each log event.

    The first line in the next window reports how many lines were dropped,
    unless `take_dropped` has told them before.

    Attributes:
        dropped_lines: How many lines were dropped so far.

    Args:
        clock: Returns the time in seconds.
        max_lines_per_window: Maximum number of lines of each log event in a
            window.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        max_lines_per_window: int = MAX_LINES_PER_WINDOW,
    ) -> None:
        super().__init__()
        self.dropped_lines = 0
        self._max_lines_per_window = max_lines_per_window
        self._clock = clock
        self._windows: OrderedDict[str, _Window] = OrderedDict()

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether to write the record."""
        if hasattr(record, "dropped"):
            return True  # Its line was admitted before.
        dropped = self.admit(getattr(record, "event", record.name))
        record.dropped = dropped
        return dropped is not None

    def admit(self, name: str) -> int | None:
        """Counts a line of a log event.

        Returns:
            None to drop the line; else how many lines of the event were dropped
            in its last window, if this is the first line after that, or 0.
        """
        dropped = 0
        now = self._clock()
        window = self._windows.get(name)
        if window is None or now - window.started_at >= RATE_WINDOW_S:
            dropped = window.dropped if window else 0
            window = self._windows[name] = _Window(now)
        self._windows.move_to_end(name)
        if len(self._windows) > MAX_TRACKED_EVENTS:
            self._windows.popitem(last=False)
        window.lines += 1
        if window.lines <= self._max_lines_per_window:
            return dropped
        window.dropped += 1
        self.dropped_lines += 1
        return None

    def take_dropped(self) -> dict[str, int]:
        """Returns how many lines were dropped in windows that are over.

        Returns:
            The numbers of lines by log event; each line is told only once.
        """
        now = self._clock()
        taken = {}
        for name, window in self._windows.items():
            over = now - window.started_at >= RATE_WINDOW_S
            if over and window.dropped:
                taken[name] = window.dropped
                window.dropped = 0
        return taken


# Of the handler that `configure` has set; None before.
_rate_filter: RateFilter | None = None


class _LineFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    default_time_format = "%Y-%m-%dT%H:%M:%S"
    default_msec_format = "%s.%03dZ"

    def __init__(self) -> None:
        super().__init__()
        self.converter = time.gmtime

    def format(self, record: logging.LogRecord) -> str:
        """Formats one record."""
        name = getattr(record, "event", None)
        pairs = record.getMessage()
        if name is None:  # The record comes from a library.
            name, pairs = record.name, f"message={format_value(pairs)}"
        parts = [
            f"time={self.formatTime(record)}",
            f"level={record.levelname.lower()}",
            f"event={format_value(name)}",
        ]
        if pairs:
            parts.append(pairs)
        dropped = getattr(record, "dropped", 0)
        if dropped:
            parts.append(f"dropped={dropped}")
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            parts.append(f"traceback={json.dumps(trace)}")
        return " ".join(parts)
