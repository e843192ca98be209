"""State of a credit ledger: resources, loans and pending requests."""

import math

import msgspec

from godwitnotch.core import ids
from godwitnotch.core import ledger_messages


class PendingRequest(msgspec.Struct):
    """A request for units of any resources of one lender.

    Attributes:
        count: Units that are still wanted.
        max_slowness: Maximum `slowness` of a resource that would be used.
        expires_at: When the request expires.
    """

    count: int
    max_slowness: int
    expires_at: float


class Loan(msgspec.Struct):
    """The lender's view of one borrower of one resource.

    Attributes:
        expires_at: When the loan expires.
        reserved: Units that the borrower may be using.
        allowed: Units that the borrower may use, as of the last update.
        serial: Serial of the last update.
        acknowledged: Whether the borrower has sent a report with the serial of
            the last update.
        sent_at: When the last update was sent.
        wanted: Units that the borrower wants in total.
        wanted_until: When `wanted` expires.
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
        """Returns how many more units the borrower wants."""
        if self.wanted_until <= now:
            return 0
        return max(self.wanted - self.reserved, 0)


class Credit(msgspec.Struct):
    """The units of one resource that this host uses, borrows or lends.

    Attributes:
        resource: The resource.
        lender: Host that lends the resource.
        is_lender: Whether this host is the lender.
        in_use: Units that this host uses.
        held: Units that this host may use as a borrower, or as a new lender
            while it collects reports.
        lent: Units that the borrowers in `loans` may be using.
        slowness: Slowness of an upstream as in `LoanUpdate`; 0 for quotas.
        collecting: Whether this host is a new lender that waits for reports of
            borrowers before it lends.
        collect_until: When the wait for reports ends.
        recall_limit: Maximum number of units that this host may keep after a
            recall; None if no units are recalled.
        serial: Serial of the last loan update that this host received.
        requested: Units that this host has requested beyond `held`.
        loans: Loans by borrower. A host that isn't the lender keeps the reports
            that it receives too, since it may be about to become the lender.
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
    recall_limit: int | None = None
    serial: int = 0
    requested: int = 0
    loans: dict[ids.HostId, Loan] = msgspec.field(default_factory=dict)

    @property
    def free(self) -> int:
        """Units that this host may use and doesn't use yet."""
        if self.is_lender and not self.collecting:
            return self.resource.capacity - self.lent - self.in_use
        return self.held - self.in_use
