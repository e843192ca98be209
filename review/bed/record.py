"""Writes what was sent, answered and run, in the order in which it happened."""

import pathlib
import time


class Record:
    """The record of one case.

    Args:
        file: The file to write.
    """

    def __init__(self, file: pathlib.Path) -> None:
        self._file = file.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the begin of the record."""
        return time.monotonic() - self._began_at

    def add(self, kind: str, **values: object) -> float:
        """Writes a line; returns its time."""
        now = self.now
        pairs = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{now:8.3f} {kind} {pairs}\n")
        self._file.flush()
        return now

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
