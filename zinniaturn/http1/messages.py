"""
Requests and answers as they are held in memory.

Field names keep the spelling that came; look-ups ignore case.
"""

__all__ = (
    'Fields',
    'Request',
    'Response',
    'encode_request',
    'encode_response',
    'end_to_end_fields',
    'find_field',
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
    A whole request of a caller.

    ``started_at`` is the loop's time at its first byte.
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
    A whole answer.

    ``closes`` says that no further request may use its connection.
    """

    status: int
    reason: bytes
    fields: Fields
    body: bytes = b''
    closes: bool = False


def find_field(fields: Fields, name: bytes) -> bytes | None:
    """
    Return the first value of a field; ``name`` is in lower case.

    >>> find_field([(b'Host', b'a.example')], b'host')
    b'a.example'
    """
    for key, text in fields:
        if key.lower() == name:
            return text
    return None


def end_to_end_fields(fields: Fields, dropped: frozenset[bytes]) -> Fields:
    """
    Return the fields that concern more than one connection.

    Those that ``Connection`` names go too (RFC 9110, 7.6.1), and those in
    ``dropped``.
    """
    left_out = HOP_BY_HOP_FIELDS | dropped
    named = find_field(fields, b'connection')
    if named is not None:
        left_out |= {each.strip().lower() for each in named.split(b',')}
    return [row for row in fields if row[0].lower() not in left_out]


def encode_request(request: Request, fields: Fields) -> bytes:
    """Return a request with a body of known length for a server."""
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines.extend(b'%b: %b' % row for row in fields)
    if request.body or request.method not in _BODYLESS_METHODS:
        lines.append(b'Content-Length: %d' % len(request.body))
    lines.extend((b'', request.body))
    return _CRLF.join(lines)


def encode_response(response: Response, is_head: bool = False) -> bytes:
    """Return an answer for a caller; one to HEAD goes without its body."""
    lines = [b'HTTP/1.1 %d %b' % (response.status, _reason_of(response))]
    lines.extend(b'%b: %b' % row for row in response.fields)
    if response.status not in _BODYLESS_STATUSES and not is_head:
        lines.append(b'Content-Length: %d' % len(response.body))
    if response.closes:
        lines.append(b'Connection: close')
    lines.extend((b'', b'' if is_head else response.body))
    return _CRLF.join(lines)


def _reason_of(response: Response) -> bytes:
    if response.reason:
        return response.reason
    try:
        return HTTPStatus(response.status).phrase.encode()
    except ValueError:
        return b''
