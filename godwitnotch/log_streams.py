"""Streams for log lines that never make the process wait."""

import io
import os
from collections.abc import Callable

MAX_BATCH_CHARS = 32_000


class NonBlockingStream(io.TextIOBase):
    """Writes lines to a file descriptor without blocking.

    While the descriptor's buffer is full, whole lines are dropped. When the
    buffer has room again, a separate line reports how many were dropped.

    Args:
        descriptor: File descriptor to write to; becomes non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unsent = b""
        self._dropped = 0

    def writable(self) -> bool:
        """Returns True, as `io.IOBase` requires of a writable stream."""
        return True

    def write(self, text: str) -> int:
        """Writes lines, or drops them if the buffer is full."""
        if self._unsent and not self._send(b""):
            self._dropped += text.count("\n")
            return len(text)
        if self._dropped:
            notice = f"event=log_lines_dropped lines={self._dropped}\n"
            self._dropped = 0
            self._send(notice.encode())
        if self._unsent:
            self._dropped += text.count("\n")
        else:
            self._send(text.encode())
        return len(text)

    def _send(self, data: bytes) -> bool:
        """Adds data to the unsent data and writes as much as possible.

        Returns:
            Whether all data was written.
        """
        self._unsent += data
        try:
            sent = os.write(self._descriptor, self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The reader of the log has exited; the host continues without it.
            sent = len(self._unsent)
        self._unsent = self._unsent[sent:]
        return not self._unsent


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
