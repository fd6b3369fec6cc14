"""
Messages by which one VM passes a request on to another, as MessagePack.

Every message begins with the protocol version, and one of another version is
rejected as a whole.
"""

__all__ = (
    'RELAY_PATH',
    'RELAY_VERSION',
    'RelayRefusal',
    'RelayReply',
    'RelayRequest',
    'ServerResponse',
    'decode_reply',
    'decode_request',
    'encode_message',
    'refuse',
)

import enum
from typing import Annotated

import msgspec

from zinniaturn.errors import cause_of
from zinniaturn.outcomes import Outcome
from zinniaturn.relay.exceptions import RelayMessageError

RELAY_PATH = b'/relay'

RELAY_VERSION = 1

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1000)]


class RelayRequest(msgspec.Struct, array_like=True, frozen=True):
    """
    A caller's request that ``sender`` passes on.

    ``tables_revision`` is that of the tables by which the sender has chosen
    ``pool``. The caller still waits for ``left_ms`` and had been waiting for
    ``elapsed_ms`` in all. ``attempts`` is the number of servers that the
    request may have reached already, and ``tried`` names them.
    """

    version: int
    sender: str
    tables_revision: int
    pool: str
    left_ms: Milliseconds
    elapsed_ms: Milliseconds
    attempts: Count
    tried: tuple[str, ...]
    method: bytes
    target: bytes
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes


class RelayRefusal(enum.Enum):
    """
    Why a VM has not taken a request, so that another one may be tried.

    ``UNREACHED`` is for a VM that its pool's servers don't respond to either,
    ``PAUSED`` for one that can't tell how long the request has waited for it.
    """

    UNREACHED = 'unreached'
    BUSY = 'busy'
    OLDER_TABLES = 'older-tables'
    STOPPING = 'stopping'
    PAUSED = 'paused'
    NOT_UNDERSTOOD = 'not-understood'


class ServerResponse(msgspec.Struct, array_like=True, frozen=True):
    """The complete response of a backend server, as it sent it."""

    server: str
    status: int
    reason: bytes
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes


class RelayReply(msgspec.Struct, array_like=True, frozen=True):
    """
    What became of a request that was passed on.

    ``attempts`` is the number of servers that it may have reached since.
    Without a ``response`` it was rejected with ``code`` after ``outcome``, and
    the caller may return after ``retry_after_ms``. With a ``refusal`` the
    replying VM has not taken it.
    """

    version: int
    outcome: Outcome
    attempts: Count
    response: ServerResponse | None = None
    code: str = ''
    detail: str = ''
    retry_after_ms: Milliseconds | None = None
    refusal: RelayRefusal | None = None


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(RelayRequest)
_reply_decoder = msgspec.msgpack.Decoder(RelayReply)


def encode_message(message: RelayRequest | RelayReply) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(message)


def refuse(refusal: RelayRefusal) -> RelayReply:
    """Return the reply of a VM that has not taken a request."""
    return RelayReply(RELAY_VERSION, Outcome.NOT_RUN, 0, refusal=refusal)


def decode_request(raw: bytes) -> RelayRequest:
    """Return a request; raises `RelayMessageError`."""
    try:
        request = _request_decoder.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RelayMessageError(cause_of(error)) from error
    _check_version(request.version)
    return request


def decode_reply(raw: bytes) -> RelayReply:
    """Return a reply; raises `RelayMessageError`."""
    try:
        reply = _reply_decoder.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RelayMessageError(cause_of(error)) from error
    _check_version(reply.version)
    return reply


def _check_version(version: int) -> None:
    if version != RELAY_VERSION:
        raise RelayMessageError(f'relay version {version} is not supported')
