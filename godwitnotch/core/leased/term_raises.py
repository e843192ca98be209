"""Decides when a leader raises its term because upstreams have seen a higher.

The leader of the higher term may be gone, or its clock was ahead. It may also be
alive and not linked yet, so a leader that holds leases waits for it first.
"""

# Seconds of Unix time by which a leader raises its term for the first time; the
# value doubles with each raise.
FIRST_TERM_RAISE_S = 2.0
MAX_TERM_RAISE_S = 256.0
MIN_TERM_RAISE_INTERVAL_S = 0.5
# Maximum time until hosts that can reach each other are linked.
LEADER_LINK_TIMEOUT_S = 3.0
# After this time without a rejection for a higher term, the next rejection
# counts as the first.
HIGHER_TERM_RESET_S = 2.5


class TermRaises:
    """Paces the raises of one host's term.

    Args:
        now: The current time.
    """

    def __init__(self, *, now: float) -> None:
        self._raise_s = FIRST_TERM_RAISE_S
        self._next_raise_at = 0.0
        self._seen_since = now
        self._seen_at = float("-inf")

    def other_leader_may_link(self, *, now: float) -> bool:
        """Returns whether the higher term's leader still has time to link."""
        if now - self._seen_at > HIGHER_TERM_RESET_S:
            self._seen_since = now
        self._seen_at = now
        return now - self._seen_since < LEADER_LINK_TIMEOUT_S

    def take(self, *, now: float) -> float | None:
        """Returns by how many seconds to raise the term; None for not now."""
        if now < self._next_raise_at:
            return None
        raise_s = self._raise_s
        self._next_raise_at = now + MIN_TERM_RAISE_INTERVAL_S
        self._raise_s = min(MAX_TERM_RAISE_S, raise_s * 2)
        return raise_s
