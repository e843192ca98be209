"""Messages between the credit ledgers of hosts, and the shared resources."""

import msgspec

from godwitnotch.core import ids


class Resource(msgspec.Struct, frozen=True):
    """A limited resource whose units the hosts share.

    Attributes:
        key: Id of the upstream or workspace.
        capacity: Number of units: slots of an upstream or running tasks of a
            workspace.
        domain: Failure domain of the resource; None if it belongs to none.
    """

    key: str
    capacity: int
    domain: ids.DomainId | None


class BorrowerReport(msgspec.Struct, frozen=True):
    """Tells the lender of a resource what a borrower has and wants.

    Attributes:
        key: Key of the resource.
        held: Units that the borrower may use.
        wanted: Units that the borrower wants in total.
        serial: Serial of the last loan update that the borrower received.
    """

    key: str
    held: int
    wanted: int
    serial: int


class LoanUpdate(msgspec.Struct, frozen=True):
    """Tells a borrower how many units of a resource it may use.

    Attributes:
        key: Key of the resource.
        allowed: Units that the borrower may use in total; less than it holds
            when the lender recalls some.
        serial: Serial of this update of the loan.
        slowness: 100 times the natural logarithm of the ratio of an upstream's
            run time to that of an average upstream; 0 for quotas.
    """

    key: str
    allowed: int
    serial: int
    slowness: int = 0


class LoanRequest(msgspec.Struct, frozen=True):
    """Requests units of any resources that the receiver lends.

    Attributes:
        count: Number of units that the sender could use.
        max_slowness: Maximum `slowness` of a resource that the sender would
            use, in the unit of `LoanUpdate.slowness`.
    """

    count: int
    max_slowness: int


class OutgoingMessage(msgspec.Struct, frozen=True):
    """A message that a ledger sends to the ledger of another host."""

    host: ids.HostId
    message: BorrowerReport | LoanUpdate | LoanRequest
