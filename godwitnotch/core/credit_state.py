"""What a ledger knows of one resource, its borrowers and its requests."""

import math
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import ids
from godwitnotch.core import ledger_messages


@dataclass(slots=True)
class PendingRequest:
    """A standing request for some of any resources of one holder."""

    count: int
    max_slowness: int
    expires_at: float


@dataclass(slots=True)
class Loan:
    """What the holder knows of one borrower.

    Attributes:
        reserved: What the borrower may be using.
        allowed: What it was last told.
        seen: Whether it has said something since it was told.
    """

    expires_at: float
    reserved: int = 0
    allowed: int = 0
    serial: int = 0
    acknowledged: bool = True
    sent_at: float = -math.inf
    wanted: int = 0
    wanted_until: float = 0.0

    def unmet(self, now: float) -> int:
        """Returns how much more the borrower wants."""
        if self.wanted_until <= now:
            return 0
        return max(self.wanted - self.reserved, 0)


@dataclass(slots=True)
class Credit:
    """This host's part of one resource.

    Attributes:
        mine: Whether this host is the holder.
        in_use: What this host uses.
        held: What it may use, unless it is the holder.
        lent: What its borrowers may be using, if it is the holder.
        slowness: What a request's `slowest` is compared with.
    """

    resource: ledger_messages.Resource
    lender: ids.HostId
    is_lender: bool
    in_use: int = 0
    held: int = 0
    lent: int = 0
    slowness: int = 0
    collecting: bool = False
    collect_until: float = 0.0
    recalled_to: int | None = None
    serial: int = 0
    requested: int = 0
    loans: dict[ids.HostId, Loan] = field(default_factory=dict)

    @property
    def free(self) -> int:
        """What this host may use beyond what it uses."""
        if self.is_lender and not self.collecting:
            return self.resource.capacity - self.lent - self.in_use
        return self.held - self.in_use
