"""Reads the log lines of hosts, in order of time and with bounded memory."""

import datetime
import heapq
import re
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from pathlib import Path
from typing import TextIO

import msgspec

from godwitnotch.core import ids

# A log that several hosts share gives the time in seconds and the host before
# each of their lines.
_LINE = re.compile(
    r"^\s*(?:(?P<at>-?\d+\.\d+)\s+(?P<host>\S+)\s+)?"
    r"time=(?P<time>\S+) level=\w+ event=(?P<event>\w+)(?P<pairs>.*)$"
)
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Hosts write their lines in batches, so that lines of several hosts in one log
# are out of order by up to this time.
REORDER_S = 0.25
# A clock that differs by more than this from its last offset was set.
MAX_CLOCK_DRIFT_S = 1.0


class LogLine(msgspec.Struct, frozen=True):
    """One event in the log of a host.

    Attributes:
        at: Time in seconds, from any fixed start.
        host: The host that logged the event.
        event: Name of the event.
        pairs: The keys and values of the event.
    """

    at: float
    host: ids.HostId
    event: str
    pairs: Mapping[str, str]

    def number(self, key: str, *, default: float = 0.0) -> float:
        """Returns a value as a number, or the default if it isn't one."""
        try:
            return float(self.pairs.get(key, default))
        except ValueError:
            return default


class LogReader:
    """Reads log files line by line.

    Attributes:
        read_count: How many lines were read.
        broken_count: How many of them were skipped, since they are no events.
        read_bytes: Size of the lines that were read, in bytes.

    Args:
        paths: The files; each has its lines in order of time.
    """

    def __init__(self, paths: Iterable[Path]) -> None:
        self._paths = tuple(paths)
        self.read_count = 0
        self.broken_count = 0
        self.read_bytes = 0

    def __iter__(self) -> Iterator[LogLine]:
        """Yields the events of all files in order of time."""
        return heapq.merge(
            *(self._read_file(path) for path in self._paths),
            key=lambda line: line.at,
        )

    def _read_file(self, path: Path) -> Iterator[LogLine]:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from _in_order(self._read(file, ids.HostId(path.stem)))

    def _read(self, file: TextIO, host: ids.HostId) -> Iterator[LogLine]:
        clocks = Clocks()
        for text in file:
            self.read_count += 1
            self.read_bytes += len(text)
            line = parse(text, host=host, clocks=clocks)
            if line is None:
                self.broken_count += bool(text.strip())
            else:
                yield line


class Clocks:
    """Offsets of the hosts' clocks from the time in a shared log."""

    def __init__(self) -> None:
        self._offsets: dict[ids.HostId, float] = {}

    @property
    def shared(self) -> bool:
        """Whether the log is shared, so that each line has the shared time."""
        return bool(self._offsets)

    def shared_time(
        self, host: ids.HostId, *, host_time: float, written_at: float
    ) -> float:
        """Returns when a line was logged, by the time in the shared log.

        A line is written some time after the host has logged it, so the least
        difference between the two clocks is closest to their offset.
        """
        offset = written_at - host_time
        known = self._offsets.get(host, offset)
        if offset < known or offset > known + MAX_CLOCK_DRIFT_S:
            known = offset
        self._offsets[host] = known
        return host_time + known


def parse(text: str, *, host: ids.HostId, clocks: Clocks) -> LogLine | None:
    """Returns the event in a line of text; None if there is none.

    Args:
        text: The line.
        host: The host that wrote the line, unless the line names it.
        clocks: Offsets of the hosts' clocks.
    """
    match = _LINE.match(text)
    if match is None:
        return None
    host = ids.HostId(match["host"] or host)
    try:
        time = datetime.datetime.fromisoformat(match["time"]).timestamp()
    except ValueError:
        return None
    if match["at"] is not None:
        written_at = float(match["at"])
        time = clocks.shared_time(host, host_time=time, written_at=written_at)
    elif clocks.shared:  # The rest of a line that was cut.
        return None
    pairs = {
        key: value.strip('"') for key, value in _PAIR.findall(match["pairs"])
    }
    return LogLine(time, host, match["event"], pairs)


def _in_order(lines: Iterable[LogLine]) -> Iterator[LogLine]:
    """Yields lines that are at most REORDER_S late in order of time."""
    waiting: list[tuple[float, int, LogLine]] = []
    for number, line in enumerate(lines):
        heapq.heappush(waiting, (line.at, number, line))
        while waiting[0][0] < line.at - REORDER_S:
            yield heapq.heappop(waiting)[2]
    while waiting:
        yield heapq.heappop(waiting)[2]
