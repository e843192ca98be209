"""Mutual authentication of two hosts by a shared secret, before they link.

The dialler sends its hello and a nonce. The acceptor replies with its own hello
and nonce, followed by a proof. The dialler then sends its proof, and the
acceptor confirms that the link is open. A proof covers the role of its sender,
both hellos and both nonces, so that it can be neither replayed nor reflected.
"""

import enum
import hashlib
import hmac
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import cbor2
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from godwitnotch.core import messages
from godwitnotch.net import codec

NONCE_BYTES = 16
_KEY_LABEL = b"godwitnotch peer link"


class Challenge(msgspec.Struct, frozen=True):
    """The sender's hello and the nonce that the peer's proof must cover."""

    hello: messages.Hello
    nonce: bytes


class Proof(msgspec.Struct, frozen=True):
    """A MAC that proves knowledge of the shared secret."""

    mac: bytes


class Accepted(msgspec.Struct, frozen=True):
    """Confirms to the dialler that the link is open."""


HandshakeMessage = Challenge | Proof | Accepted
_CODEC: codec.Codec[HandshakeMessage] = codec.Codec(
    (Challenge, Proof, Accepted), version=messages.PROTOCOL_VERSION
)
_Kind = TypeVar("_Kind", Challenge, Proof, Accepted)


class AuthProblem(enum.Enum):
    """Why a handshake failed."""

    BAD_MESSAGE = "bad_message"
    VERSION_MISMATCH = "version_mismatch"
    WRONG_SECRET = "wrong_secret"


class _Role(enum.Enum):
    DIALLER = "dialler"
    ACCEPTOR = "acceptor"


class Channel(msgspec.Struct, frozen=True):
    """Sends and receives the frames of one connection."""

    send: Callable[[bytes], Awaitable[None]]
    receive: Callable[[], Awaitable[bytes]]


class _Transcript(msgspec.Struct, frozen=True):
    dialler: Challenge
    acceptor: Challenge

    def mac(self, key: bytes, role: _Role) -> bytes:
        """Returns the MAC that a host sends as its proof in the given role."""
        text = cbor2.dumps(
            (
                role.value,
                _signed_fields(self.dialler),
                _signed_fields(self.acceptor),
            )
        )
        return hmac.digest(key, text, hashlib.sha256)


def _signed_fields(challenge: Challenge) -> tuple[object, ...]:
    hello = msgspec.structs.astuple(challenge.hello)
    return (hello, challenge.nonce)


class Authenticator:
    """Performs handshakes for one host.

    Args:
        hello: Identity of this host.
        secret: Secret that all hosts of the deployment share.
    """

    def __init__(self, *, hello: messages.Hello, secret: bytes) -> None:
        self._hello = hello
        self._key = hmac.digest(secret, _KEY_LABEL, hashlib.sha256)

    async def dial(
        self, channel: Channel
    ) -> Result[messages.Hello, AuthProblem]:
        """Authenticates as the dialler; returns the acceptor's hello."""
        own_challenge = self._challenge()
        await _send(channel, own_challenge)
        peer_challenge = await _receive(channel, Challenge)
        if isinstance(peer_challenge, Failure):
            return peer_challenge
        transcript = _Transcript(own_challenge, peer_challenge.unwrap())
        problem = await self._verify_proof(channel, transcript, _Role.ACCEPTOR)
        if problem is not None:
            return Failure(problem)
        await self._send_proof(channel, transcript, _Role.DIALLER)
        accepted = await _receive(channel, Accepted)
        return accepted.map(lambda _: transcript.acceptor.hello)

    async def accept(
        self, channel: Channel
    ) -> Result[messages.Hello, AuthProblem]:
        """Authenticates as the acceptor; returns the dialler's hello.

        The code that calls then sends `Accepted` with `confirm`, or closes the
        connection.
        """
        peer_challenge = await _receive(channel, Challenge)
        if isinstance(peer_challenge, Failure):
            return peer_challenge
        own_challenge = self._challenge()
        transcript = _Transcript(peer_challenge.unwrap(), own_challenge)
        await _send(channel, own_challenge)
        await self._send_proof(channel, transcript, _Role.ACCEPTOR)
        problem = await self._verify_proof(channel, transcript, _Role.DIALLER)
        if problem is not None:
            return Failure(problem)
        return Success(transcript.dialler.hello)

    async def confirm(self, channel: Channel) -> None:
        """Sends `Accepted` to the dialler."""
        await _send(channel, Accepted())

    def _challenge(self) -> Challenge:
        return Challenge(self._hello, secrets.token_bytes(NONCE_BYTES))

    async def _send_proof(
        self, channel: Channel, transcript: _Transcript, role: _Role
    ) -> None:
        await _send(channel, Proof(transcript.mac(self._key, role)))

    async def _verify_proof(
        self, channel: Channel, transcript: _Transcript, role: _Role
    ) -> AuthProblem | None:
        proof = await _receive(channel, Proof)
        if isinstance(proof, Failure):
            problem: AuthProblem = proof.failure()
            return problem
        expected = transcript.mac(self._key, role)
        if hmac.compare_digest(expected, proof.unwrap().mac):
            return None
        return AuthProblem.WRONG_SECRET


async def _send(channel: Channel, message: HandshakeMessage) -> None:
    await channel.send(_CODEC.encode(message))


async def _receive(
    channel: Channel, kind: type[_Kind]
) -> Result[_Kind, AuthProblem]:
    result = _CODEC.decode(await channel.receive())
    if isinstance(result, Failure):
        return Failure(_auth_problem(result.failure()))
    message = result.unwrap()
    if not isinstance(message, kind):
        return Failure(AuthProblem.BAD_MESSAGE)
    return Success(message)


def _auth_problem(error: codec.CodecError) -> AuthProblem:
    if error.problem is codec.CodecProblem.UNKNOWN_VERSION:
        return AuthProblem.VERSION_MISMATCH
    return AuthProblem.BAD_MESSAGE
