"""Validates and converts workspace settings in YAML files and JSON."""

import difflib
import pathlib
from typing import Annotated
from typing import Any

import pydantic
import yaml
from returns.result import Result

from godwitnotch import checked_yaml
from godwitnotch.core import ids
from godwitnotch.core import model

MAX_WAIT_S = 600.0
MAX_ANSWER_BYTES = 4_194_304
MAX_TEMPLATES = 200

_NAME_ALLOWED = (
    "1 to 63 lower case letters, digits and hyphens, no hyphen first"
)
Name = Annotated[
    str, pydantic.StringConstraints(pattern=rf"^{ids.NAME_PATTERN.pattern}$")
]


class TemplateDocument(checked_yaml.StrictDocument):
    """How tasks that use the template are sent to upstreams."""

    path: str = pydantic.Field(
        pattern=r"^/[!-~]{0,1023}$",
        description="path at the upstream: a slash, then no white space",
        examples=["/v1/reorder-check"],
    )
    upstreams: list[Name] = pydantic.Field(
        default=[],
        max_length=10_000,
        description=f"a list of names; empty for all. A name: {_NAME_ALLOWED}",
        examples=[["lucerne-w01", "lucerne-w02"]],
    )
    max_wait_s: float = pydantic.Field(
        default=30.0,
        gt=0,
        le=MAX_WAIT_S,
        description=f"seconds above 0, at most {MAX_WAIT_S:g}",
        examples=[5.0],
    )
    idempotent: bool = pydantic.Field(
        default=False,
        description="true or false",
        examples=[False],
    )
    max_answer_bytes: int = pydantic.Field(
        default=65_536,
        ge=1,
        le=MAX_ANSWER_BYTES,
        description=f"bytes, 1 to {MAX_ANSWER_BYTES}",
        examples=[65_536],
    )


class WorkspaceDocument(checked_yaml.StrictDocument):
    """The settings of one workspace."""

    workspace: Name = pydantic.Field(
        description=f"name of the workspace: {_NAME_ALLOWED}",
        examples=["chutney"],
    )
    token_sha256: str = pydantic.Field(
        pattern=r"^[0-9a-f]{64}$",
        description=(
            "SHA-256 of the callers' bearer token, 64 lower case hex digits"
        ),
        examples=["see `printf %s TOKEN | sha256sum`"],
    )
    templates: dict[Name, TemplateDocument] = pydantic.Field(
        min_length=1,
        max_length=MAX_TEMPLATES,
        description=f"a mapping of 1 to {MAX_TEMPLATES} templates by name; "
        f"a name: {_NAME_ALLOWED}",
        examples=[{"reorder-check": {"path": "/v1/reorder-check"}}],
    )
    max_running_tasks: int = pydantic.Field(
        default=1_000,
        ge=1,
        le=1_000_000,
        description="tasks, 1 to 1000000",
        examples=[1_000],
    )
    max_queued_tasks: int = pydantic.Field(
        default=10_000,
        ge=1,
        le=1_000_000,
        description="tasks, 1 to 1000000",
        examples=[10_000],
    )


def load(
    path: pathlib.Path,
) -> Result[WorkspaceDocument, checked_yaml.InvalidDocument]:
    """Reads and validates a workspace file."""
    return checked_yaml.read_text(path).bind(
        lambda text: checked_yaml.validate_text(
            text, WorkspaceDocument, source=str(path)
        )
    )


def validate_json(
    value: object, *, source: str
) -> Result[WorkspaceDocument, checked_yaml.InvalidDocument]:
    """Validates the body of a request that replaces the settings."""
    return checked_yaml.validate_value(value, WorkspaceDocument, source=source)


def to_config(
    document: WorkspaceDocument, *, version: int
) -> model.WorkspaceConfig:
    """Converts a document to settings with a version."""
    return model.WorkspaceConfig(
        workspace=ids.WorkspaceId(document.workspace),
        version=version,
        templates={
            ids.TemplateName(name): _to_template(name, template)
            for name, template in document.templates.items()
        },
        token_sha256=document.token_sha256,
        max_running_tasks=document.max_running_tasks,
        max_queued_tasks=document.max_queued_tasks,
    )


def to_json(config: model.WorkspaceConfig) -> dict[str, Any]:
    """Converts settings to a document in JSON, without the version."""
    return {
        "workspace": config.workspace,
        "token_sha256": config.token_sha256,
        "templates": {
            name: _template_to_json(template)
            for name, template in sorted(config.templates.items())
        },
        "max_running_tasks": config.max_running_tasks,
        "max_queued_tasks": config.max_queued_tasks,
    }


def to_yaml(document: dict[str, Any]) -> str:
    """Converts a document from `to_json` to YAML; no text if it is empty."""
    if not document:
        return ""
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True)


def unified_diff(
    old: dict[str, Any], new: dict[str, Any], *, old_name: str, new_name: str
) -> str:
    """Returns a unified diff of two documents; empty if they are equal."""
    return "".join(
        difflib.unified_diff(
            to_yaml(old).splitlines(keepends=True),
            to_yaml(new).splitlines(keepends=True),
            old_name,
            new_name,
        )
    )


def _to_template(name: str, document: TemplateDocument) -> model.Template:
    return model.Template(
        name=ids.TemplateName(name),
        path=document.path,
        upstreams=frozenset(
            ids.UpstreamId(upstream) for upstream in document.upstreams
        ),
        max_wait_s=document.max_wait_s,
        idempotent=document.idempotent,
        max_answer_bytes=document.max_answer_bytes,
    )


def _template_to_json(template: model.Template) -> dict[str, Any]:
    return {
        "path": template.path,
        "upstreams": sorted(template.upstreams),
        "max_wait_s": template.max_wait_s,
        "idempotent": template.idempotent,
        "max_answer_bytes": template.max_answer_bytes,
    }
