"""Settings of a host process."""

import ipaddress
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import ids
from godwitnotch.core import limits as limits_module

MIN_SECRET_BYTES = 32
MAX_SECRET_BYTES = 64  # The longest key of the ids' authentication tag.
DEFAULT_POLICY = "credits"
LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens or is reached, by IP number.

    Attributes:
        ip: IPv4 or IPv6 number.
        port: TCP port; 0 takes any free one when listening.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"


@dataclass(frozen=True)
class Limits:
    """Bounds of one host process.

    Attributes:
        drain_timeout_s: Time that work under way has after SIGTERM.
        max_body_bytes: Largest request body of a caller.
        max_header_bytes: Largest request line and headers of a caller.
        receive_timeout_s: For a caller to send one request.
        idle_timeout_s: Between requests on a caller's connection.
        max_connections: Open connections of callers.
        event_ring_events: Events of submissions that are kept in memory.
        host: Bounds of the decisions.
    """

    drain_timeout_s: float = 30.0
    max_body_bytes: int = 4_194_304
    max_header_bytes: int = 16_384
    receive_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    max_connections: int = 4_096
    event_ring_events: int = 20_000
    host: limits_module.HostLimits = field(
        default_factory=limits_module.HostLimits
    )


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Checked settings of a host process, secrets resolved.

    Attributes:
        host: Name of the host, unique in the deployment.
        domain: Failure domain of the host.
        callers: Where callers and operators are served.
        peers: Where the other hosts are served.
        advertised: Where the other hosts reach this one; None for `peers`.
        platform: Where the platform's service is reached.
        secret: Shared by all hosts; authenticates ids and peers.
        operator_token_sha256: Hex digest of the operators' bearer token.
        policy: Registered name of the scheduling policy.
        limits: Bounds of the process.
        log_level: Least severe level that is logged.
    """

    host: ids.HostId
    domain: ids.DomainId
    callers: Address
    peers: Address
    platform: Address
    secret: bytes = field(repr=False)
    operator_token_sha256: str
    policy: str
    limits: Limits = field(default_factory=Limits)
    log_level: str = "info"
    advertised: Address | None = None


def parse_address(text: str) -> Address:
    """Returns an address of the form IP:PORT.

    Raises:
        ValueError: The text is no such address.
    """
    address = _split_address(text)
    if address is None:
        raise ValueError(f"{text!r} is no IP:PORT; write as 127.0.0.1:8080")
    return address


def _split_address(text: str) -> Address | None:
    host, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        return None
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return None
    if bracketed != (number.version == 6) or int(port) > 65_535:
        return None
    return Address(str(number), int(port))
