"""What ledgers of credits say to each other, and about what."""

from dataclasses import dataclass

from godwitnotch.core import ids


@dataclass(frozen=True, slots=True)
class Resource:
    """Something limited; domain None means that it belongs to none."""

    key: str
    capacity: int
    domain: ids.DomainId | None


@dataclass(frozen=True, slots=True)
class BorrowerReport:
    """From a borrower to the holder."""

    key: str
    held: int
    wanted: int
    serial: int


@dataclass(frozen=True, slots=True)
class LoanUpdate:
    """From the holder to a borrower."""

    key: str
    allowed: int
    serial: int
    slowness: int = 0


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """From a host to a holder: it would use more of any of its resources.

    Attributes:
        count: How much more.
        slowest: Highest `slowness` of a resource that is of use.
    """

    count: int
    max_slowness: int


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to a peer."""

    host: ids.HostId
    message: BorrowerReport | LoanUpdate | LoanRequest
