"""Ids of hosts, upstreams, submissions and calls.

A submission id names its owner, the only process that may start its tasks: a
host and the incarnation of its process. The id ends with an authentication
tag, so any host can detect a forged id without asking another host.
"""

import hashlib
import hmac
import re
from typing import NewType

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

HostId = NewType("HostId", str)
DomainId = NewType("DomainId", str)
UpstreamId = NewType("UpstreamId", str)
WorkspaceId = NewType("WorkspaceId", str)
TemplateName = NewType("TemplateName", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", str)
SubmissionId = NewType("SubmissionId", str)
Sequence = NewType("Sequence", int)

# A call of a caller, operator or peer who waits for a reply; unique within a
# process.
CallId = NewType("CallId", int)
# An attempt, that is one request to an upstream; unique within a process.
AttemptId = NewType("AttemptId", int)
# A call to the store; unique within a process.
StoreCallId = NewType("StoreCallId", int)

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
TAG_HEX_DIGITS = 24
_ID_PART_COUNT = 5


class SubmissionOwner(msgspec.Struct, frozen=True):
    """The parts of a submission id: its owner and its sequence number.

    Attributes:
        domain: Failure domain of the host.
        host: The host.
        incarnation: Incarnation of the host's process; changes with each
            restart.
        sequence: Number of the id; unique within an incarnation.
    """

    domain: DomainId
    host: HostId
    incarnation: Incarnation
    sequence: Sequence


class InvalidId(msgspec.Struct, frozen=True):
    """An id that no host of this deployment issued to this workspace."""

    text: str

    def __str__(self) -> str:
        return (
            f"submission id {self.text[:80]!r} was not issued to this "
            "workspace; reserve an id and submit the job under it"
        )


class IdIssuer:
    """Issues and verifies submission ids with a shared secret.

    Args:
        secret: Key of the authentication tag; the same on all hosts.
    """

    def __init__(self, *, secret: bytes) -> None:
        self._secret = secret

    def issue(
        self, workspace: WorkspaceId, owner: SubmissionOwner
    ) -> SubmissionId:
        """Returns the submission id of an owner and sequence number."""
        prefix = ".".join(
            (owner.domain, owner.host, owner.incarnation, str(owner.sequence))
        )
        return SubmissionId(f"{prefix}.{self._tag(workspace, prefix)}")

    def parse(
        self, workspace: WorkspaceId, text: str
    ) -> Result[SubmissionOwner, InvalidId]:
        """Returns the owner that an id names if its tag is valid."""
        prefix, _, tag = text.rpartition(".")
        parts = prefix.split(".")
        if len(parts) != _ID_PART_COUNT - 1 or not text.isascii():
            return Failure(InvalidId(text))
        if not hmac.compare_digest(self._tag(workspace, prefix), tag):
            return Failure(InvalidId(text))
        domain, host, incarnation, sequence = parts
        return Success(
            SubmissionOwner(
                DomainId(domain),
                HostId(host),
                Incarnation(incarnation),
                Sequence(int(sequence)),
            )
        )

    def _tag(self, workspace: WorkspaceId, prefix: str) -> str:
        message = f"{workspace}/{prefix}".encode()
        tag = hashlib.blake2b(
            message, key=self._secret[:64], digest_size=TAG_HEX_DIGITS // 2
        )
        return tag.hexdigest()
