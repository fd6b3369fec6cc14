"""Requests to backend servers and their encoding."""

__all__ = (
    'REQUEST_ID_HEADER',
    'BackendRequest',
    'end_to_end_headers',
    'request_head',
)

from collections.abc import AsyncIterable, Iterable, Mapping
from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

REQUEST_ID_HEADER = 'X-Request-Id'

HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

_CRLF = '\r\n'


@dataclass(slots=True)
class BackendRequest:
    """
    A request to a backend server.

    ``body`` is the complete body if it is small; otherwise the body comes from
    ``stream``, which can be read only once. ``length`` is ``None`` for a
    chunked body. With ``at_most_once`` the request must not run twice.
    """

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes = b''
    stream: AsyncIterable[bytes] | None = None
    length: int | None = 0
    at_most_once: bool = False


def end_to_end_headers(
    headers: CIMultiDictProxy[str] | Mapping[str, str],
) -> CIMultiDict[str]:
    """
    Return the headers without the hop-by-hop ones.

    Headers that ``Connection`` names are hop-by-hop too (RFC 9110, 7.6.1).
    """
    copied = CIMultiDict(headers)
    for name in _connection_header_names(headers):
        copied.popall(name, None)
    for hop_by_hop in HOP_BY_HOP_HEADERS:
        if hop_by_hop in copied:
            copied.popall(hop_by_hop)
    return copied


def request_head(request: BackendRequest) -> bytes:
    """Return the bytes of the head for an HTTP/1.1 connection."""
    lines = [f'{request.method} {request.target} HTTP/1.1']
    lines.extend(
        f'{name}: {text}'
        for name, text in request.headers.items()
        if name.lower() != 'content-length'
    )
    if request.length is None:
        lines.append('Transfer-Encoding: chunked')
    elif request.length or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(f'Content-Length: {request.length}')
    return (_CRLF.join(lines) + _CRLF + _CRLF).encode(
        'utf-8', 'surrogateescape'
    )


def _connection_header_names(
    headers: CIMultiDictProxy[str] | Mapping[str, str],
) -> frozenset[str]:
    if 'Connection' not in headers:
        return frozenset()
    rows: Iterable[str] = [headers['Connection']]
    if isinstance(headers, CIMultiDictProxy):
        rows = headers.getall('Connection')
    return frozenset(
        name.strip().lower() for row in rows for name in row.split(',')
    )
