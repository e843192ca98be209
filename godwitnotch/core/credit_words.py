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
class Wanted:
    """From a borrower to the holder."""

    key: str
    held: int
    wanted: int
    serial: int


@dataclass(frozen=True, slots=True)
class Lent:
    """From the holder to a borrower."""

    key: str
    allowed: int
    serial: int
    slowness: int = 0


@dataclass(frozen=True, slots=True)
class Asked:
    """From a host to a holder: it would use more of any of its resources.

    Attributes:
        count: How much more.
        slowest: Highest `slowness` of a resource that is of use.
    """

    count: int
    slowest: int


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to a peer."""

    host: ids.HostId
    message: Wanted | Lent | Asked
