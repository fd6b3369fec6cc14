"""
HTTP client that sends one request to one backend server.

It reports the exact phase in which an exchange failed. The parser and the
streams are aiohttp's. The connection pool is not, because aiohttp's client
session repeats idempotent requests, follows redirects, decompresses bodies and
stores cookies by itself.
"""

__all__ = (
    'BackendRequest',
    'BackendResponse',
    'ConnectionPool',
    'ExchangeError',
    'exchange',
)

from zinniaturn.forwarding.connections import ConnectionPool
from zinniaturn.forwarding.exceptions import ExchangeError
from zinniaturn.forwarding.exchange import exchange
from zinniaturn.forwarding.messages import BackendRequest
from zinniaturn.forwarding.response import BackendResponse
