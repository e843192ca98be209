"""Schema of a host's settings file."""

from typing import Annotated
from typing import Any

import pydantic

from godwitnotch import checked_yaml
from godwitnotch import settings
from godwitnotch.core import ids
from godwitnotch.core import limits as limits_module

_NAME_PATTERN = rf"^{ids.NAME_PATTERN.pattern}$"
_HOST_LIMITS = limits_module.HostLimits()
_SHA256_PATTERN = r"^[0-9a-f]{64}$"
_NAME_ALLOWED = (
    "1 to 63 lower case letters, digits and hyphens, no hyphen first"
)


def _check_address(text: str) -> str:
    try:
        settings.parse_address(text)
    except ValueError as error:
        raise checked_yaml.not_allowed_error(
            "an IP address and a port, like 10.0.1.11:8080 or [fd00::1]:8080"
        ) from error
    return text


AddressText = Annotated[str, pydantic.AfterValidator(_check_address)]


class ListenDocument(checked_yaml.StrictDocument):
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
        description="IP:PORT that other hosts connect to, if not peers",
        examples=["10.0.1.11:8081"],
    )


class SecretDocument(checked_yaml.StrictDocument):
    """Source of a secret; exactly one of the keys is given."""

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
    def _check_exactly_one(self) -> "SecretDocument":
        if (self.file is None) == (self.environment is None):
            raise checked_yaml.not_allowed_error(
                "exactly one of the keys file and environment"
            )
        return self


class TokenDocument(checked_yaml.StrictDocument):
    """Digest or source of the operators' token; exactly one key is given."""

    sha256: str | None = pydantic.Field(
        default=None,
        pattern=_SHA256_PATTERN,
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
    def _check_exactly_one(self) -> "TokenDocument":
        given = (self.sha256, self.file, self.environment)
        if sum(value is not None for value in given) != 1:
            raise checked_yaml.not_allowed_error(
                "exactly one of the keys sha256, file and environment"
            )
        return self


def _limit_field(
    default: float, minimum: float, maximum: float, unit: str
) -> Any:
    """Returns a model field for a number from minimum to maximum, inclusive."""
    return pydantic.Field(
        default=default,
        ge=minimum,
        le=maximum,
        description=f"{unit}, {minimum:g} to {maximum:.15g}",
        examples=[default],
    )


class LimitsDocument(checked_yaml.StrictDocument):
    """Limits of the process; each has a default."""

    drain_timeout_s: float = _limit_field(30.0, 0.1, 3_600, "seconds")
    max_body_bytes: int = _limit_field(4_194_304, 1_024, 67_108_864, "bytes")
    max_header_bytes: int = _limit_field(16_384, 1_024, 65_536, "bytes")
    receive_timeout_s: float = _limit_field(10.0, 0.1, 600, "seconds")
    idle_timeout_s: float = _limit_field(75.0, 0.1, 3_600, "seconds")
    max_connections: int = _limit_field(4_096, 1, 65_536, "a count")
    event_ring_events: int = _limit_field(20_000, 1, 1_000_000, "a count")
    max_reserve: int = _limit_field(
        _HOST_LIMITS.max_reserve, 1, 100_000, "ids in one reservation"
    )
    reservation_open_s: float = _limit_field(
        _HOST_LIMITS.reservation_open_s, 1, 86_400, "seconds"
    )
    answer_keep_s: float = _limit_field(
        _HOST_LIMITS.answer_keep_s, 1, 86_400, "seconds"
    )
    max_kept_answers: int = _limit_field(
        _HOST_LIMITS.max_kept_answers, 1, 10_000_000, "a count"
    )
    max_kept_bytes: int = _limit_field(
        _HOST_LIMITS.max_kept_bytes, 1_048_576, 17_179_869_184, "bytes"
    )
    outcome_retention_s: float = _limit_field(
        _HOST_LIMITS.outcome_retention_s, 60, 604_800, "seconds"
    )


class LogDocument(checked_yaml.StrictDocument):
    """Log settings at start; operators can change the level at run time."""

    level: str = pydantic.Field(
        default="info",
        pattern=f"^({'|'.join(settings.LOG_LEVELS)})$",
        description=f"one of {', '.join(settings.LOG_LEVELS)}",
        examples=["info"],
    )


class HostDocument(checked_yaml.StrictDocument):
    """The settings file of a host."""

    host: str = pydantic.Field(
        pattern=_NAME_PATTERN,
        description=f"name of this host: {_NAME_ALLOWED}",
        examples=["lucerne-1"],
    )
    domain: str = pydantic.Field(
        pattern=_NAME_PATTERN,
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
        default=settings.DEFAULT_POLICY,
        description="name of a registered scheduling policy",
        examples=[settings.DEFAULT_POLICY],
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
    def _check_registered(cls, name: str) -> str:
        # Imported here so that the callers' commands don't load the policies.
        from godwitnotch.core import scheduler

        if name not in scheduler.policy_names():
            names = ", ".join(scheduler.policy_names())
            raise checked_yaml.not_allowed_error(f"one of {names}")
        return name
