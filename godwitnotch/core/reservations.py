"""State of the submission ids that this process has reserved.

All reservations are open for the same time, so ids expire in the order of
their sequence numbers. One number is enough to tell which ids have expired.
Two bits per id store whether the id is closed and whether a task of its job may
have started.
"""

import enum
from collections import deque

import msgspec

from godwitnotch.core import ids


class IdState(enum.Enum):
    """State of an id that has no queued or running job."""

    OPEN = "open"
    CLOSED_NOT_STARTED = "closed_unstarted"
    EXPIRED_NOT_STARTED = "expired_unstarted"
    STARTED = "started"
    NEVER_RESERVED = "never_reserved"


class _Block(msgspec.Struct, frozen=True):
    """A reservation: the end of its range of numbers and when it expires."""

    end: int
    expires_at: float


class Reservations:
    """The sequence numbers that one incarnation has reserved.

    Args:
        open_for_s: How long a job can be submitted under a reserved id, in
            seconds.
    """

    def __init__(self, *, open_for_s: float) -> None:
        self._open_for_s = open_for_s
        self._next_sequence = 0
        self._expired_below = 0
        self._blocks: deque[_Block] = deque()
        self._closed = bytearray()
        self._started = bytearray()

    @property
    def open_count(self) -> int:
        """Number of reserved ids, used or unused, not yet marked as expired."""
        return self._next_sequence - self._expired_below

    def reserve(self, count: int, *, now: float) -> range:
        """Reserves the next sequence numbers."""
        block = range(self._next_sequence, self._next_sequence + count)
        self._next_sequence = block.stop
        size = (self._next_sequence + 7) // 8
        self._closed.extend(bytes(size - len(self._closed)))
        self._started.extend(bytes(size - len(self._started)))
        self._blocks.append(_Block(block.stop, now + self._open_for_s))
        return block

    def state(self, sequence: ids.Sequence, *, now: float) -> IdState:
        """Returns the state of an id."""
        self._expire(now)
        if not 0 <= sequence < self._next_sequence:
            return IdState.NEVER_RESERVED
        if _get_bit(self._started, sequence):
            return IdState.STARTED
        if _get_bit(self._closed, sequence):
            return IdState.CLOSED_NOT_STARTED
        if sequence < self._expired_below:
            return IdState.EXPIRED_NOT_STARTED
        return IdState.OPEN

    def mark_started(self, sequence: ids.Sequence) -> None:
        """Records that a task of the id may have started."""
        _set_bit(self._started, sequence, True)

    def mark_not_started(self, sequence: ids.Sequence) -> None:
        """Reverts `mark_started`; called if no attempt has started its task."""
        _set_bit(self._started, sequence, False)

    def close(self, sequence: ids.Sequence) -> None:
        """Closes an id permanently, so that no job can start under it."""
        _set_bit(self._closed, sequence, True)

    def _expire(self, now: float) -> None:
        while self._blocks and self._blocks[0].expires_at <= now:
            self._expired_below = self._blocks.popleft().end


def _get_bit(bits: bytearray, index: int) -> bool:
    return bool(bits[index >> 3] & (1 << (index & 7)))


def _set_bit(bits: bytearray, index: int, value: bool) -> None:
    mask = 1 << (index & 7)
    if value:
        bits[index >> 3] |= mask
    else:
        bits[index >> 3] &= ~mask
