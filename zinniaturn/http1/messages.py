"""
Requests and responses in memory, and their encoding.

Names of header fields keep their original spelling; lookups ignore case.
"""

__all__ = (
    'Fields',
    'Request',
    'Response',
    'encode_request_head',
    'encode_response',
    'encode_response_head',
    'end_to_end_fields',
    'find_field',
    'head_size',
)

from dataclasses import dataclass
from http import HTTPStatus

Fields = list[tuple[bytes, bytes]]

HOP_BY_HOP_FIELDS = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

_BODYLESS_METHODS = frozenset((b'GET', b'HEAD', b'DELETE', b'OPTIONS'))
_BODYLESS_STATUSES = frozenset((204, 304))
_CRLF = b'\r\n'


@dataclass(slots=True)
class Request:
    """
    A complete request of a caller.

    ``started_at`` is the event loop's time at the first byte.
    """

    method: bytes
    target: bytes
    fields: Fields
    body: bytes
    keep_alive: bool
    started_at: float


@dataclass(slots=True)
class Response:
    """
    A complete response.

    With ``closes`` the connection is closed after the response.
    """

    status: int
    reason: bytes
    fields: Fields
    body: bytes = b''
    closes: bool = False


def find_field(fields: Fields, name: bytes) -> bytes | None:
    """
    Return the first value of a header field; ``name`` is in lower case.

    >>> find_field([(b'Host', b'a.example')], b'host')
    b'a.example'
    """
    for key, text in fields:
        if key.lower() == name:
            return text
    return None


def head_size(target: bytes, fields: Fields) -> int:
    """Return the bytes of a request's target and fields."""
    return len(target) + sum(len(name) + len(text) for name, text in fields)


def end_to_end_fields(fields: Fields, dropped: frozenset[bytes]) -> Fields:
    """
    Return the fields without hop-by-hop ones and those in ``dropped``.

    Fields that ``Connection`` names are hop-by-hop too (RFC 9110, 7.6.1).
    """
    excluded = HOP_BY_HOP_FIELDS | dropped
    named = find_field(fields, b'connection')
    if named is not None:
        excluded |= {name.strip().lower() for name in named.split(b',')}
    return [field for field in fields if field[0].lower() not in excluded]


def encode_request_head(request: Request, fields: Fields) -> bytes:
    """Return the head of a request whose body has a known length."""
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines.extend(b'%b: %b' % field for field in fields)
    if request.body or request.method not in _BODYLESS_METHODS:
        lines.append(b'Content-Length: %d' % len(request.body))
    lines.extend((b'', b''))
    return _CRLF.join(lines)


def encode_response(response: Response, is_head: bool = False) -> bytes:
    """Return the bytes of a response; one to HEAD goes without its body."""
    head = encode_response_head(response, is_head)
    return head if is_head else head + response.body


def encode_response_head(response: Response, is_head: bool = False) -> bytes:
    """Return the head of a response, which may be one to HEAD."""
    lines = [b'HTTP/1.1 %d %b' % (response.status, _reason_phrase(response))]
    lines.extend(b'%b: %b' % field for field in response.fields)
    if response.status not in _BODYLESS_STATUSES and not is_head:
        lines.append(b'Content-Length: %d' % len(response.body))
    if response.closes:
        lines.append(b'Connection: close')
    lines.extend((b'', b''))
    return _CRLF.join(lines)


def _reason_phrase(response: Response) -> bytes:
    if response.reason:
        return response.reason
    try:
        return HTTPStatus(response.status).phrase.encode()
    except ValueError:
        return b''
