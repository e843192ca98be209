"""Settings of a host process."""

import ipaddress
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import ids
from godwitnotch.core import limits as limits_module

MIN_SECRET_BYTES = 32
MAX_SECRET_BYTES = 64  # Maximum key length of the hash that authenticates ids.
DEFAULT_POLICY = "credits"
LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port of a process.

    Attributes:
        ip: IPv4 or IPv6 address.
        port: TCP port; 0 to listen on any free port.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"


@dataclass(frozen=True)
class Limits:
    """Limits of a host process.

    Attributes:
        drain_timeout_s: Time for jobs in progress to finish after SIGTERM.
        max_body_bytes: Maximum size of a caller's request body.
        max_header_bytes: Maximum size of a caller's request line and headers.
        receive_timeout_s: Maximum time for a caller to send a request.
        idle_timeout_s: Maximum time between requests on a connection.
        max_connections: Maximum number of open connections of callers.
        event_ring_events: Maximum number of notes of submissions in memory.
        host: Limits of the host core.
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
    """Validated settings of a host process, with the secrets read.

    Attributes:
        host: Name of the host, unique in the deployment.
        domain: Failure domain of the host.
        callers: Address that serves callers and operators.
        peers: Address that serves the other hosts.
        advertised: Address at which the other hosts reach this one; None if it
            is `peers`.
        platform: Address of the platform's store and directory.
        secret: Secret that all hosts share; authenticates ids and peers.
        operator_token_sha256: Hex digest of the operators' bearer token.
        policy: Name of a registered scheduling policy.
        limits: Limits of the process.
        log_level: Lowest level that is logged.
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
    """Parses an address of the form IP:PORT or [IPv6]:PORT.

    Raises:
        ValueError: The text doesn't have that form.
    """
    address = _try_parse_address(text)
    if address is None:
        raise ValueError(
            f"{text!r} is not IP:PORT; write it like 127.0.0.1:8080"
        )
    return address


def _try_parse_address(text: str) -> Address | None:
    ip, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        return None
    bracketed = ip.startswith("[") and ip.endswith("]")
    try:
        parsed_ip = ipaddress.ip_address(ip[1:-1] if bracketed else ip)
    except ValueError:
        return None
    if bracketed != (parsed_ip.version == 6) or int(port) > 65_535:
        return None
    return Address(str(parsed_ip), int(port))
