"""
The key by which two copies of a request are recognized as the same.

A copy has its own id, connection and way through the fleet, and its body may
come with a length or in chunks. What a server acts on is the same: the method,
the host, the target with its query, the caller's credentials, the tenant and
the body.
Callers' addresses are left out, as one caller uses many.

Work: one hash over the target, three fields and the body, computed for requests
that broke off, and for all others only while some request is suspected.
"""

__all__ = ('RequestKey', 'format_key', 'parse_key', 'request_key')

from hashlib import blake2b

from zinniaturn.http1.messages import Request, find_field

RequestKey = int

# The fields that tell which service is meant, and on whose behalf.
_IDENTIFYING_FIELDS = (b'host', b'authorization', b'cookie')
_KEY_BYTES = 8
_HEX_DIGITS = 16
_HIGHEST_KEY = 2**63 - 1


def request_key(request: Request, tenant: str = '') -> RequestKey:
    """
    Return a request's key of 63 bits.

    The ``tenant`` is the one that servers are told, so that a request of one
    tenant isn't taken for another's. Its secret keys don't count.

    Each part is hashed with its length, so that no two requests have the same
    text by a shift of a boundary.
    """
    parts = [request.method, request.target, request.body]
    parts.extend(
        find_field(request.fields, name) or b'' for name in _IDENTIFYING_FIELDS
    )
    if tenant:
        parts.append(tenant.encode())
    digest = blake2b(digest_size=_KEY_BYTES)
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return int.from_bytes(digest.digest(), 'big') >> 1


def format_key(key: RequestKey) -> str:
    """
    Return a key as it is logged.

    >>> format_key(255)
    '00000000000000ff'
    """
    return f'{key:0{_HEX_DIGITS}x}'


def parse_key(text: str) -> RequestKey:
    """
    Return the key of a logged text; raises `ValueError` for any other text.

    >>> parse_key('00000000000000ff')
    255
    """
    key = int(text, 16)
    if not 0 <= key <= _HIGHEST_KEY or format_key(key) != text:
        raise ValueError(f'"{text}" is not the key of a request')
    return key
