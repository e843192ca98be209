"""Names of hosts, upstreams and submissions.

A submission id names the one process that may start its tasks: the host and
the incarnation of its process. It carries an authentication tag, so that a
host can reject an id that no host minted without asking anyone.
"""

import hashlib
import hmac
import re
from dataclasses import dataclass
from typing import NewType

from returns.result import Failure
from returns.result import Result
from returns.result import Success

HostId = NewType("HostId", str)
DomainId = NewType("DomainId", str)
UpstreamId = NewType("UpstreamId", str)
WorkspaceId = NewType("WorkspaceId", str)
TemplateName = NewType("TemplateName", str)
CallerKey = NewType("CallerKey", str)
Incarnation = NewType("Incarnation", str)
SubmissionId = NewType("SubmissionId", str)
Sequence = NewType("Sequence", int)

# One exchange that a caller waits on, local to a host process.
CallId = NewType("CallId", int)
# One request that is under way at an upstream, local to a host process.
AttemptId = NewType("AttemptId", int)
# One exchange with the platform's table service, local to a host process.
StoreCallId = NewType("StoreCallId", int)

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
TAG_HEX_DIGITS = 24
_ID_PART_COUNT = 5


@dataclass(frozen=True, slots=True)
class SubmissionOwner:
    """The process and sequence number that a submission id names."""

    domain: DomainId
    host: HostId
    incarnation: Incarnation
    sequence: Sequence


@dataclass(frozen=True, slots=True)
class InvalidId:
    """An id that no host of this deployment minted for this workspace."""

    text: str

    def __str__(self) -> str:
        return (
            f"submission id {self.text[:80]!r} was not issued to this "
            "workspace; reserve an id and submit the job under it"
        )


class IdIssuer:
    """Mints and verifies submission ids with the deployment's shared secret.

    Args:
        secret: Key of the authentication tag, equal on all hosts.
    """

    def __init__(self, *, secret: bytes) -> None:
        self._secret = secret

    def issue(
        self, workspace: WorkspaceId, owner: SubmissionOwner
    ) -> SubmissionId:
        """Returns the id of one submission of a workspace."""
        prefix = ".".join(
            (owner.domain, owner.host, owner.incarnation, str(owner.sequence))
        )
        return SubmissionId(f"{prefix}.{self._tag(workspace, prefix)}")

    def parse(
        self, workspace: WorkspaceId, text: str
    ) -> Result[SubmissionOwner, InvalidId]:
        """Returns the owner that an id names, if its tag is genuine."""
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
