"""Keys and CBOR values of the rows in the store."""

import hashlib
from typing import Any

import cbor2
import msgspec

from godwitnotch.core import ids
from godwitnotch.core import model

CONFIG_LOG_KEY = "config/log"
CONFIG_PREFIX = "config/ws/"
SEQUENCES_PER_BUCKET = 1_024
KEY_DIGEST_BYTES = 16


class Binding(msgspec.Struct, frozen=True):
    """A submission id bound to an idempotency key.

    Attributes:
        submission: The id.
        digest: Digest of the job's body; empty if the key was bound to a
            reserved id.
        version: Version of the row.
    """

    submission: ids.SubmissionId
    digest: bytes
    version: int


class LoggedChange(msgspec.Struct, frozen=True):
    """One recorded configuration change.

    Attributes:
        workspace: The workspace whose settings changed.
        version: The recorded version of the settings.
        nonce: Distinguishes concurrent changes to the same version.
    """

    workspace: ids.WorkspaceId
    version: int
    nonce: str


class JobOutcome(msgspec.Struct, frozen=True):
    """The final answer of a job whose tasks may have started.

    Attributes:
        answer: The answer that the callers got.
        digest: Digest of the job's body.
    """

    answer: model.JobAnswer
    digest: bytes


def config_key(workspace: ids.WorkspaceId) -> str:
    """Returns the row key of a workspace's settings."""
    return CONFIG_PREFIX + workspace


def binding_key(workspace: ids.WorkspaceId, key: ids.IdempotencyKey) -> str:
    """Returns the row key of a caller's idempotency key."""
    digest = hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES)
    return f"key/{workspace}/{digest.hexdigest()}"


def bucket_prefix(incarnation: ids.Incarnation, sequence: ids.Sequence) -> str:
    """Returns the prefix of the rows that may hold the outcome of an id."""
    bucket = sequence // SEQUENCES_PER_BUCKET
    return f"outcome/{incarnation}/{bucket:010d}/"


def seal_key(incarnation: ids.Incarnation) -> str:
    """Returns the row key of an incarnation's seal."""
    return f"seal/{incarnation}"


def encode_seal(deleted_below: int) -> bytes:
    """Encodes the value of a seal.

    Args:
        deleted_below: Outcomes of sequence numbers below this may have
            been deleted.
    """
    return cbor2.dumps([deleted_below])


def decode_seal(row: model.Row) -> int:
    """Returns the `deleted_below` of a seal; see `encode_seal`."""
    deleted_below: int = cbor2.loads(row.value)[0]
    return deleted_below


def encode_binding(submission: ids.SubmissionId, digest: bytes) -> bytes:
    """Encodes the value of a binding's row."""
    return cbor2.dumps([submission, digest])


def decode_binding(row: model.Row) -> Binding:
    """Decodes a binding's row."""
    submission, digest = cbor2.loads(row.value)
    return Binding(ids.SubmissionId(submission), digest, row.version)


def encode_outcomes(outcomes: list[JobOutcome]) -> bytes:
    """Encodes the value of a batch of outcomes."""
    return cbor2.dumps(
        [[outcome.digest, _pack_answer(outcome.answer)] for outcome in outcomes]
    )


def decode_outcomes(value: bytes) -> list[JobOutcome]:
    """Decodes a batch of outcomes."""
    return [
        JobOutcome(_unpack_answer(packed), digest)
        for digest, packed in cbor2.loads(value)
    ]


def encode_log(changes: list[LoggedChange]) -> bytes:
    """Encodes the value of the configuration change log."""
    return cbor2.dumps(
        [[change.workspace, change.version, change.nonce] for change in changes]
    )


def decode_log(value: bytes) -> list[LoggedChange]:
    """Decodes the configuration change log; an empty value has no changes."""
    if not value:
        return []
    return [
        LoggedChange(ids.WorkspaceId(workspace), version, nonce)
        for workspace, version, nonce in cbor2.loads(value)
    ]


def encode_config(config: model.WorkspaceConfig, *, nonce: str) -> bytes:
    """Encodes a workspace's settings."""
    return cbor2.dumps(
        {
            "workspace": config.workspace,
            "token_sha256": config.token_sha256,
            "max_running_tasks": config.max_running_tasks,
            "max_queued_tasks": config.max_queued_tasks,
            "templates": [
                _pack_template(template)
                for template in config.templates.values()
            ],
            "nonce": nonce,
        }
    )


def decode_config(row: model.Row) -> model.WorkspaceConfig:
    """Decodes a workspace's settings, whose version is that of the row."""
    packed = cbor2.loads(row.value)
    templates = [
        _unpack_template(packed_template)
        for packed_template in packed["templates"]
    ]
    return model.WorkspaceConfig(
        workspace=ids.WorkspaceId(packed["workspace"]),
        version=row.version,
        templates={template.name: template for template in templates},
        token_sha256=packed["token_sha256"],
        max_running_tasks=packed["max_running_tasks"],
        max_queued_tasks=packed["max_queued_tasks"],
    )


def _pack_template(template: model.Template) -> dict[str, Any]:
    return {
        "name": template.name,
        "path": template.path,
        "upstreams": sorted(template.upstreams),
        "max_wait_s": template.max_wait_s,
        "idempotent": template.idempotent,
        "max_answer_bytes": template.max_answer_bytes,
    }


def _unpack_template(packed: dict[str, Any]) -> model.Template:
    return model.Template(
        name=ids.TemplateName(packed["name"]),
        path=packed["path"],
        upstreams=frozenset(map(ids.UpstreamId, packed["upstreams"])),
        max_wait_s=packed["max_wait_s"],
        idempotent=packed["idempotent"],
        max_answer_bytes=packed["max_answer_bytes"],
    )


def _pack_answer(answer: model.JobAnswer) -> list[Any]:
    return [
        answer.submission,
        answer.outcome.value,
        answer.ran.value,
        answer.reason.value if answer.reason else None,
        answer.detail,
        list(answer.results),
    ]


def _unpack_answer(packed: list[Any]) -> model.JobAnswer:
    submission, outcome, ran, reason, detail, results = packed
    return model.JobAnswer(
        ids.SubmissionId(submission),
        model.Outcome(outcome),
        model.Ran(ran),
        model.Reason(reason) if reason else None,
        detail,
        tuple(results),
    )
