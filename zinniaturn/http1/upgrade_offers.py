"""
Requests that offer another protocol.

A server may ignore such an offer (RFC 9110, 7.8). The parser takes each for
accepted: it ends behind the head and leaves the body unread. So the head is
written again without the offer, for a new parser.
"""

__all__ = ('head_without_offer',)

import httptools

from zinniaturn.http1.messages import Fields

_CRLF = b'\r\n'
_CONNECT = b'CONNECT'


def head_without_offer(method: bytes, target: bytes, fields: Fields) -> bytes:
    """
    Return the bytes of a request's head that offers nothing.

    Raises `HttpParserError` for a request to open a tunnel, which has nothing
    else to it.

    >>> fields = [(b'Connection', b'Upgrade, close'), (b'Upgrade', b'h2c')]
    >>> head_without_offer(b'GET', b'/', fields).split()[3:]
    [b'Connection:', b'close']
    """
    if method == _CONNECT:
        raise httptools.HttpParserError('tunnels are not supported')
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    for name, text in fields:
        match name.lower():
            case b'upgrade':
                continue
            case b'connection':
                lines.append(b'%b: %b' % (name, _without_upgrade(text)))
            case _:
                lines.append(b'%b: %b' % (name, text))
    return _CRLF.join((*lines, b'', b''))


def _without_upgrade(options: bytes) -> bytes:
    """Return the options of a connection without that of an upgrade."""
    kept = (
        option.strip()
        for option in options.split(b',')
        if option.strip().lower() != b'upgrade'
    )
    return b', '.join(kept)
