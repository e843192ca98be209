"""Settings of a host process, read from a YAML file."""

import hashlib
import ipaddress
import os
import pathlib
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Annotated
from typing import Any

import pydantic
import yaml
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from godwitnotch import checked_yaml
from godwitnotch.core import ids
from godwitnotch.core import limits as limits_module

MIN_SECRET_BYTES = 32
MAX_SECRET_BYTES = 64  # The longest key of the ids' authentication tag.
DEFAULT_POLICY = "credits"
LOG_LEVELS = ("debug", "info", "warning", "error")

_NAME = rf"^{ids.NAME_PATTERN.pattern}$"
_HOST_LIMITS = limits_module.HostLimits()
_SHA256 = r"^[0-9a-f]{64}$"
_NAME_ALLOWED = (
    "1 to 63 lower case letters, digits and hyphens, no hyphen first"
)


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


def _address_allowed(text: str) -> str:
    if _split_address(text) is None:
        raise checked_yaml.custom_problem(
            "an IP number and a port, as 10.0.1.11:8080 or [fd00::1]:8080"
        )
    return text


AddressText = Annotated[str, pydantic.AfterValidator(_address_allowed)]


class ListenDocument(checked_yaml.Checked):
    """Addresses that the host listens on."""

    callers: AddressText = pydantic.Field(
        description="IP:PORT that serves callers and operators over HTTP",
        examples=["10.0.1.11:8080"],
    )
    peers: AddressText = pydantic.Field(
        description="IP:PORT that serves the other hosts",
        examples=["10.0.1.11:8081"],
    )
    advertised: AddressText | None = pydantic.Field(
        default=None,
        description="IP:PORT that the other hosts dial, if not that of peers",
        examples=["10.0.1.11:8081"],
    )


class SecretDocument(checked_yaml.Checked):
    """Where a secret is read from: exactly one of the keys."""

    file: str | None = pydantic.Field(
        default=None,
        description="path of a file that holds nothing but the secret",
        examples=["/run/secrets/godwitnotch"],
    )
    environment: str | None = pydantic.Field(
        default=None,
        description="name of an environment variable that holds the secret",
        examples=["GODWITNOTCH_SECRET"],
    )

    @pydantic.model_validator(mode="after")
    def _exactly_one(self) -> "SecretDocument":
        if (self.file is None) == (self.environment is None):
            raise checked_yaml.custom_problem(
                "exactly one of the keys file and environment"
            )
        return self


class TokenDocument(checked_yaml.Checked):
    """Operators' bearer token, as digest or by its place: one of the keys."""

    sha256: str | None = pydantic.Field(
        default=None,
        pattern=_SHA256,
        description="SHA-256 of the token, 64 lower case hex digits",
        examples=["see `printf %s TOKEN | sha256sum`"],
    )
    file: str | None = pydantic.Field(
        default=None,
        description="path of a file that holds nothing but the token",
        examples=["/run/secrets/godwitnotch-operator"],
    )
    environment: str | None = pydantic.Field(
        default=None,
        description="name of an environment variable that holds the token",
        examples=["GODWITNOTCH_OPERATOR_TOKEN"],
    )

    @pydantic.model_validator(mode="after")
    def _exactly_one(self) -> "TokenDocument":
        given = (self.sha256, self.file, self.environment)
        if sum(value is not None for value in given) != 1:
            raise checked_yaml.custom_problem(
                "exactly one of the keys sha256, file and environment"
            )
        return self


def _limit(default: float, least: float, most: float, unit: str) -> Any:
    """Returns a field for a number between two bounds."""
    return pydantic.Field(
        default=default,
        ge=least,
        le=most,
        description=f"{unit}, {least:g} to {most:.15g}",
        examples=[default],
    )


class LimitsDocument(checked_yaml.Checked):
    """Bounds of the process; each has a default."""

    drain_timeout_s: float = _limit(30.0, 0.1, 3_600, "seconds")
    max_body_bytes: int = _limit(4_194_304, 1_024, 67_108_864, "bytes")
    max_header_bytes: int = _limit(16_384, 1_024, 65_536, "bytes")
    receive_timeout_s: float = _limit(10.0, 0.1, 600, "seconds")
    idle_timeout_s: float = _limit(75.0, 0.1, 3_600, "seconds")
    max_connections: int = _limit(4_096, 1, 65_536, "a count")
    event_ring_events: int = _limit(20_000, 1, 1_000_000, "a count")
    max_reserve: int = _limit(
        _HOST_LIMITS.max_reserve, 1, 100_000, "ids in one reservation"
    )
    reservation_open_s: float = _limit(
        _HOST_LIMITS.reservation_open_s, 1, 86_400, "seconds"
    )
    answer_keep_s: float = _limit(
        _HOST_LIMITS.answer_keep_s, 1, 86_400, "seconds"
    )
    max_kept_answers: int = _limit(
        _HOST_LIMITS.max_kept_answers, 1, 10_000_000, "a count"
    )
    max_kept_bytes: int = _limit(
        _HOST_LIMITS.max_kept_bytes, 1_048_576, 17_179_869_184, "bytes"
    )
    outcome_retention_s: float = _limit(
        _HOST_LIMITS.outcome_retention_s, 60, 604_800, "seconds"
    )


class LogDocument(checked_yaml.Checked):
    """What is logged at start; operators may change it at run time."""

    level: str = pydantic.Field(
        default="info",
        pattern=f"^({'|'.join(LOG_LEVELS)})$",
        description=f"one of {', '.join(LOG_LEVELS)}",
        examples=["info"],
    )


class HostDocument(checked_yaml.Checked):
    """The settings file of a host."""

    host: str = pydantic.Field(
        pattern=_NAME,
        description=f"name of this host: {_NAME_ALLOWED}",
        examples=["lucerne-1"],
    )
    domain: str = pydantic.Field(
        pattern=_NAME,
        description=f"failure domain of this host: {_NAME_ALLOWED}",
        examples=["lucerne"],
    )
    listen: ListenDocument = pydantic.Field(
        description="a mapping with the keys callers and peers"
    )
    platform: AddressText = pydantic.Field(
        description="IP:PORT of the platform's service",
        examples=["10.0.0.2:9000"],
    )
    secret: SecretDocument = pydantic.Field(
        description="a mapping with one of the keys file and environment",
        examples=[{"file": "/run/secrets/godwitnotch"}],
        json_schema_extra={"hidden": True},
    )
    operator_token: TokenDocument = pydantic.Field(
        description="a mapping with one of sha256, file and environment",
        examples=[{"file": "/run/secrets/godwitnotch-operator"}],
        json_schema_extra={"hidden": True},
    )
    policy: str = pydantic.Field(
        default=DEFAULT_POLICY,
        description="name of a registered scheduling policy",
        examples=[DEFAULT_POLICY],
    )
    limits: LimitsDocument = pydantic.Field(
        default_factory=LimitsDocument,
        description="a mapping of limits",
    )
    log: LogDocument = pydantic.Field(
        default_factory=LogDocument,
        description="a mapping with the key level",
    )

    @pydantic.field_validator("policy")
    @classmethod
    def _registered(cls, name: str) -> str:
        # Loaded here, since the policies are no part of the callers' commands.
        from godwitnotch.core import scheduler

        if name not in scheduler.policy_names():
            names = ", ".join(scheduler.policy_names())
            raise checked_yaml.custom_problem(f"one of {names}")
        return name


def load(
    path: pathlib.Path, *, environment: Mapping[str, str] | None = None
) -> Result[HostSettings, checked_yaml.InvalidDocument]:
    """Reads and checks a settings file and the secrets that it names.

    Args:
        path: The settings file.
        environment: Stands in for the process's environment variables.
    """
    return read_text(path).bind(
        lambda text: parse(
            text,
            source=str(path),
            environment=os.environ if environment is None else environment,
        )
    )


def parse(
    text: str, *, source: str, environment: Mapping[str, str]
) -> Result[HostSettings, checked_yaml.InvalidDocument]:
    """Checks the text of a settings file and resolves its secrets."""
    return checked_yaml.check_text(text, HostDocument, source=source).bind(
        lambda document: _resolve(document, source, environment)
    )


def check_together(
    hosts: Mapping[str, HostSettings],
) -> list[checked_yaml.Problem]:
    """Returns what stops hosts from being one deployment.

    Args:
        hosts: Settings by the name of their file.
    """
    return [
        *_repeated(hosts, "host", lambda host: host.host),
        *_repeated(hosts, "listen.callers", lambda host: _fixed(host.callers)),
        *_repeated(hosts, "listen.peers", lambda host: _fixed(host.peers)),
        *_differing(hosts, "secret", lambda host: host.secret),
        *_differing(hosts, "platform", lambda host: host.platform),
    ]


def read_text(
    path: pathlib.Path,
) -> Result[str, checked_yaml.InvalidDocument]:
    """Reads a file, or returns the problem of reading it."""
    try:
        return Success(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        problem = checked_yaml.Problem(
            str(path),
            None,
            "",
            str(error),
            "a readable file in UTF-8",
            "check the path and its permissions",
        )
        return Failure(checked_yaml.InvalidDocument((problem,)))


def show(settings: HostSettings) -> str:
    """Returns the settings in force as YAML, without secrets."""
    document: dict[str, Any] = {
        "host": settings.host,
        "domain": settings.domain,
        "listen": {
            "callers": str(settings.callers),
            "peers": str(settings.peers),
            "advertised": str(settings.advertised or settings.peers),
        },
        "platform": str(settings.platform),
        "secret": "(set, not shown)",
        "operator_token": "(set, not shown)",
        "policy": settings.policy,
        "limits": _limits_shown(settings.limits),
        "log": {"level": settings.log_level},
    }
    return yaml.safe_dump(document, sort_keys=False)


def _limits_shown(limits: Limits) -> dict[str, Any]:
    return {
        name: getattr(limits, name, None) or getattr(limits.host, name)
        for name in LimitsDocument.model_fields
    }


def parse_address(text: str) -> Address:
    """Returns an address of the form IP:PORT.

    Raises:
        ValueError: The text is no such address.
    """
    address = _split_address(text)
    if address is None:
        raise ValueError(f"{text!r} is no IP:PORT; write as 127.0.0.1:8080")
    return address


def _optional_address(text: str | None) -> Address | None:
    return None if text is None else parse_address(text)


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


def _fixed(address: Address) -> Address | None:
    """Returns an address, None if any free port will do."""
    return address if address.port else None


def _repeated(
    hosts: Mapping[str, HostSettings],
    key: str,
    value_of: Callable[[HostSettings], object],
) -> Iterator[checked_yaml.Problem]:
    first_with: dict[object, str] = {}
    for source, host in hosts.items():
        value = value_of(host)
        first = first_with.setdefault(value, source)
        if value is None or first == source:
            continue
        yield checked_yaml.Problem(
            source,
            None,
            key,
            f"{str(value)!r}, as in {first}",
            "a value that no other host has",
            "change one of the two",
        )


def _differing(
    hosts: Mapping[str, HostSettings],
    key: str,
    value_of: Callable[[HostSettings], object],
) -> Iterator[checked_yaml.Problem]:
    first = next(iter(hosts), "")
    for source, host in hosts.items():
        if value_of(host) != value_of(hosts[first]):
            yield checked_yaml.Problem(
                source,
                None,
                key,
                f"another value than in {first}",
                "the same value on all hosts",
                "give both files the same",
            )


def _resolve(
    document: HostDocument, source: str, environment: Mapping[str, str]
) -> Result[HostSettings, checked_yaml.InvalidDocument]:
    problems: list[checked_yaml.Problem] = []
    reader = _SecretReader(source, environment, problems)
    secret = reader.read(
        "secret", document.secret.file, document.secret.environment
    )
    if secret is not None:
        reader.check_length(secret)
    token_sha256 = _token_sha256(document.operator_token, reader)
    if problems:
        return Failure(checked_yaml.InvalidDocument(tuple(problems)))
    return Success(
        HostSettings(
            host=ids.HostId(document.host),
            domain=ids.DomainId(document.domain),
            callers=parse_address(document.listen.callers),
            peers=parse_address(document.listen.peers),
            platform=parse_address(document.platform),
            secret=secret or b"",
            operator_token_sha256=token_sha256,
            policy=document.policy,
            limits=_limits(document.limits),
            log_level=document.log.level,
            advertised=_optional_address(document.listen.advertised),
        )
    )


def _limits(document: LimitsDocument) -> Limits:
    given = document.model_dump()
    host_names = limits_module.HostLimits.__dataclass_fields__.keys()
    host = {name: given.pop(name) for name in host_names & given.keys()}
    return Limits(**given, host=limits_module.HostLimits(**host))


def _token_sha256(document: TokenDocument, reader: "_SecretReader") -> str:
    if document.sha256 is not None:
        return document.sha256
    token = reader.read("operator_token", document.file, document.environment)
    return hashlib.sha256(token or b"").hexdigest()


class _SecretReader:
    """Reads secrets from files and variables, and collects the problems."""

    def __init__(
        self,
        source: str,
        environment: Mapping[str, str],
        problems: list[checked_yaml.Problem],
    ) -> None:
        self._source = source
        self._environment = environment
        self._problems = problems

    def read(
        self, key: str, file: str | None, variable: str | None
    ) -> bytes | None:
        """Returns the secret, without white space around it."""
        if file is not None:
            return self._read_file(key, file)
        value = self._environment.get(variable or "", "").strip()
        if not value:
            self._add(
                f"{key}.environment",
                f"variable {variable!r} unset or empty",
                "a variable that holds the secret",
                f"set {variable} in the environment of the process",
            )
            return None
        return value.encode()

    def check_length(self, secret: bytes) -> None:
        """Refuses secrets that are easily guessed or cut short."""
        if MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
            return
        self._add(
            "secret",
            f"a secret of {len(secret)} bytes (not shown)",
            f"{MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes",
            "make one of 64 random hex digits, the same on all hosts",
        )

    def _read_file(self, key: str, file: str) -> bytes | None:
        try:
            value = pathlib.Path(file).read_bytes().strip()
        except OSError as error:
            value = b""
            found = f"{file}: {error.strerror}"
        else:
            found = f"{file}: empty"
        if value:
            return value
        self._add(
            f"{key}.file",
            found,
            "a readable file that holds the secret",
            "write the secret there, readable by the process alone",
        )
        return None

    def _add(self, key: str, found: str, allowed: str, remedy: str) -> None:
        self._problems.append(
            checked_yaml.Problem(
                self._source, None, key, found, allowed, remedy
            )
        )
