"""Streams for log lines that never make the process wait."""

import io
import os
from collections.abc import Callable

MAX_BATCH_CHARS = 32_000
# Readers of the log may cut what is written at once after 8 KB.
MAX_WRITE_BYTES = 8_192
MAX_KEPT_CHARS = 64_000  # Of the lines that are kept while the buffer is full.


class NonBlockingStream(io.TextIOBase):
    """Writes lines to a file descriptor without blocking.

    While the descriptor's buffer is full, whole lines are dropped, or kept for
    later. When the buffer has room again, a separate line reports how many were
    dropped.

    Attributes:
        dropped_lines: How many lines were dropped so far.

    Args:
        descriptor: File descriptor to write to; becomes non-blocking.
        keeps: Returns whether to keep a line while the buffer is full, up to
            MAX_KEPT_CHARS in all.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        keeps: Callable[[str], bool] = lambda line: False,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._keeps = keeps
        self._unsent = b""
        self._dropped = 0
        self._kept: list[str] = []
        self._kept_chars = 0

    def writable(self) -> bool:
        """Returns True, as `io.IOBase` requires of a writable stream."""
        return True

    def write(self, text: str) -> int:
        """Writes lines, or drops them if the buffer is full."""
        if self._unsent and not self._send(b""):
            self._keep_or_drop(text)
            return len(text)
        if self._dropped:
            notice = f"event=log_lines_dropped lines={self._dropped}\n"
            self._dropped = 0
            self._send(notice.encode())
        if self._unsent:
            self._keep_or_drop(text)
        else:
            self._send((self._take_kept() + text).encode())
        return len(text)

    def report_dropped(self) -> None:
        """Writes what was kept and reports drops, if the buffer has room."""
        self.write("")

    def _keep_or_drop(self, text: str) -> None:
        """Keeps the lines that `keeps` names, as long as there is room."""
        for line in text.splitlines(keepends=True):
            fits = self._kept_chars + len(line) <= MAX_KEPT_CHARS
            if fits and self._keeps(line):
                self._kept.append(line)
                self._kept_chars += len(line)
            else:
                self._dropped += 1
                self.dropped_lines += 1

    def _take_kept(self) -> str:
        kept = "".join(self._kept)
        self._kept.clear()
        self._kept_chars = 0
        return kept

    def _send(self, data: bytes) -> bool:
        """Adds data to the unsent data and writes as much as possible.

        Returns:
            Whether all data was written.
        """
        self._unsent += data
        while self._unsent:
            piece = _first_lines(self._unsent)
            try:
                sent = os.write(self._descriptor, piece)
            except BlockingIOError:
                return False
            except OSError:
                # The reader of the log has exited; the host continues without.
                sent = len(self._unsent)
            self._unsent = self._unsent[sent:]
            if sent < len(piece):
                return False
        return True


def _first_lines(data: bytes) -> bytes:
    """Returns the first lines, or a part of a line that is too long."""
    if len(data) <= MAX_WRITE_BYTES:
        return data
    end = data.rfind(b"\n", 0, MAX_WRITE_BYTES) + 1
    return data[: end or MAX_WRITE_BYTES]


class BatchingStream(io.TextIOBase):
    """Collects lines and writes them together, to save system calls.

    Args:
        stream: Stream that gets the lines.
        call_later: Calls a function after a short delay.
    """

    def __init__(
        self,
        stream: io.TextIOBase,
        *,
        call_later: Callable[[Callable[[], None]], object],
    ) -> None:
        super().__init__()
        self._stream = stream
        self._call_later = call_later
        self._lines: list[str] = []
        self._size_chars = 0

    def writable(self) -> bool:
        """Returns True, as `io.IOBase` requires of a writable stream."""
        return True

    def write(self, text: str) -> int:
        """Adds a line; a large batch is written at once."""
        if not self._lines:
            self._call_later(self.write_batch)
        self._lines.append(text)
        self._size_chars += len(text)
        if self._size_chars > MAX_BATCH_CHARS:
            self.write_batch()
        return len(text)

    def write_batch(self) -> None:
        """Writes all lines that were collected."""
        if not self._lines:
            return
        batch = "".join(self._lines)
        self._lines.clear()
        self._size_chars = 0
        self._stream.write(batch)
