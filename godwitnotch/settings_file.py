"""Reads, validates and shows the settings file of a host."""

import hashlib
import os
import pathlib
from collections.abc import Mapping
from typing import Any

import yaml
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from godwitnotch import checked_yaml
from godwitnotch import secret_reader
from godwitnotch import settings as settings_module
from godwitnotch import settings_document
from godwitnotch.core import ids
from godwitnotch.core import limits as limits_module


def load(
    path: pathlib.Path, *, environment: Mapping[str, str] | None = None
) -> Result[settings_module.HostSettings, checked_yaml.InvalidDocument]:
    """Reads and validates a settings file and the secrets it refers to.

    Args:
        path: Path of the settings file.
        environment: Environment variables by name; None for those of the
            process.
    """
    return checked_yaml.read_text(path).bind(
        lambda text: parse(
            text,
            source=str(path),
            environment=os.environ if environment is None else environment,
        )
    )


def parse(
    text: str, *, source: str, environment: Mapping[str, str]
) -> Result[settings_module.HostSettings, checked_yaml.InvalidDocument]:
    """Validates the text of a settings file and reads its secrets."""
    return checked_yaml.validate_text(
        text, settings_document.HostDocument, source=source
    ).bind(lambda document: _to_settings(document, source, environment))


def show(settings: settings_module.HostSettings) -> str:
    """Returns the settings with all defaults as YAML, without secrets."""
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
        "limits": _limits_to_dict(settings.limits),
        "log": {"level": settings.log_level},
    }
    return yaml.safe_dump(document, sort_keys=False)


def _limits_to_dict(limits: settings_module.Limits) -> dict[str, Any]:
    # Each limit is a field of either `Limits` or `HostLimits`, and is never 0.
    return {
        name: getattr(limits, name, None) or getattr(limits.host, name)
        for name in settings_document.LimitsDocument.model_fields
    }


def _to_settings(
    document: settings_document.HostDocument,
    source: str,
    environment: Mapping[str, str],
) -> Result[settings_module.HostSettings, checked_yaml.InvalidDocument]:
    problems: list[checked_yaml.Problem] = []
    reader = secret_reader.SecretReader(source, environment, problems)
    secret = reader.read(
        "secret", document.secret.file, document.secret.environment
    )
    if secret is not None:
        reader.check_length(secret)
    token_sha256 = _read_token_sha256(document.operator_token, reader)
    if problems:
        return Failure(checked_yaml.InvalidDocument(tuple(problems)))
    return Success(
        settings_module.HostSettings(
            host=ids.HostId(document.host),
            domain=ids.DomainId(document.domain),
            callers=settings_module.parse_address(document.listen.callers),
            peers=settings_module.parse_address(document.listen.peers),
            platform=settings_module.parse_address(document.platform),
            secret=secret or b"",
            operator_token_sha256=token_sha256,
            policy=document.policy,
            limits=_to_limits(document.limits),
            log_level=document.log.level,
            advertised=_optional_address(document.listen.advertised),
        )
    )


def _to_limits(
    document: settings_document.LimitsDocument,
) -> settings_module.Limits:
    values = document.model_dump()
    host_names = limits_module.HostLimits.__dataclass_fields__.keys()
    host = {name: values.pop(name) for name in host_names & values.keys()}
    return settings_module.Limits(
        **values, host=limits_module.HostLimits(**host)
    )


def _read_token_sha256(
    document: settings_document.TokenDocument,
    reader: secret_reader.SecretReader,
) -> str:
    if document.sha256 is not None:
        return document.sha256
    token = reader.read("operator_token", document.file, document.environment)
    return hashlib.sha256(token or b"").hexdigest()


def _optional_address(text: str | None) -> settings_module.Address | None:
    return None if text is None else settings_module.parse_address(text)
