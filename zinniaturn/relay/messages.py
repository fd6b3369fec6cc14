"""
Messages by which one VM passes a request on to another, as MessagePack.

Every message begins with the protocol version, and one of another version is
rejected as a whole. A large body is never copied: it is sent behind the message
that it ends, and decoded as a view of the bytes received.
"""

__all__ = (
    'ENVELOPE_BYTES',
    'RELAY_PATH',
    'RELAY_VERSION',
    'RelayRefusal',
    'RelayReply',
    'RelayRequest',
    'ServerResponse',
    'decode_reply',
    'decode_request',
    'encode_message',
    'encode_reply',
    'encode_request',
    'refuse',
)

import enum
from typing import Annotated, cast

import msgspec

from zinniaturn.errors import cause_of
from zinniaturn.outcomes import Outcome
from zinniaturn.relay.exceptions import RelayMessageError

RELAY_PATH = b'/relay'

RELAY_VERSION = 1

# What a message adds at most to a request or a response.
ENVELOPE_BYTES = 64 * 1024
# Smaller bodies are immutable bytes of their own, which costs one copy.
_COPIED_BYTES = 64 * 1024
# In MessagePack: how the shortest binary text begins, with its length of 0, and
# one whose length takes four bytes.
_EMPTY_BINARY = b'\xc4\x00'
_LONG_BINARY = b'\xc6'
_LENGTH_BYTES = 4

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


class _RequestView(RelayRequest, array_like=True, frozen=True):
    """A request whose body is a view of the message."""

    body: memoryview  # type: ignore[assignment]


class _ResponseView(ServerResponse, array_like=True, frozen=True):
    """A response whose body is a view of the message."""

    body: memoryview  # type: ignore[assignment]


class _ReplyView(RelayReply, array_like=True, frozen=True):
    """A reply with a response whose body is a view of the message."""

    response: _ResponseView | None = None


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(RelayRequest)
_request_view_decoder = msgspec.msgpack.Decoder(_RequestView)
_reply_decoder = msgspec.msgpack.Decoder(RelayReply)
_reply_view_decoder = msgspec.msgpack.Decoder(_ReplyView)


def encode_message(message: RelayRequest | RelayReply) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(message)


def encode_request(message: RelayRequest) -> tuple[bytes, bytes]:
    """Return an encoded request in two parts, of which one may be its body."""
    body = message.body
    if len(body) <= _COPIED_BYTES:
        return encode_message(message), b''
    bodyless = msgspec.structs.replace(message, body=b'')
    return _begin_body(encode_message(bodyless), len(body)), body


def encode_reply(reply: RelayReply) -> bytes:
    """
    Return an encoded reply.

    The array of a large body becomes the message, and must not be used again.
    """
    response = reply.response
    if response is None or len(response.body) <= _COPIED_BYTES:
        return encode_message(reply)
    bodyless = msgspec.structs.replace(
        reply, response=msgspec.structs.replace(response, body=b'')
    )
    behind = (reply.code, reply.detail, reply.retry_after_ms, reply.refusal)
    tail = b''.join(map(_encoder.encode, behind))
    whole = encode_message(bodyless)
    head = _begin_body(whole.removesuffix(tail), len(response.body))
    body = cast(object, response.body)
    if not isinstance(body, bytearray):
        return b''.join((head, response.body, tail))
    # Inserts in place, without a copy of the body.
    body[:0] = head
    body += tail
    return cast(bytes, body)


def _begin_body(bodyless: bytes, size: int) -> bytes:
    """Return a message, which ends with an empty body, up to a large one."""
    length = size.to_bytes(_LENGTH_BYTES, 'big')
    return bodyless.removesuffix(_EMPTY_BINARY) + _LONG_BINARY + length


def refuse(refusal: RelayRefusal) -> RelayReply:
    """Return the reply of a VM that has not taken a request."""
    return RelayReply(RELAY_VERSION, Outcome.NOT_RUN, 0, refusal=refusal)


def decode_request(raw: bytes) -> RelayRequest:
    """Return a request; raises `RelayMessageError`."""
    is_large = len(raw) > _COPIED_BYTES
    decoder = _request_view_decoder if is_large else _request_decoder
    try:
        request = decoder.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RelayMessageError(cause_of(error)) from error
    _check_version(request.version)
    return request


def decode_reply(raw: bytes) -> RelayReply:
    """Return a reply; raises `RelayMessageError`."""
    is_large = len(raw) > _COPIED_BYTES
    decoder = _reply_view_decoder if is_large else _reply_decoder
    try:
        reply = decoder.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RelayMessageError(cause_of(error)) from error
    _check_version(reply.version)
    return reply


def _check_version(version: int) -> None:
    if version != RELAY_VERSION:
        raise RelayMessageError(f'relay version {version} is not supported')
