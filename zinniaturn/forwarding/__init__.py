"""
Sending one request to one backend server, with exact knowledge of phases.

The parser and the stream are aiohttp's; the connection pool is our own, since
aiohttp's client session repeats idempotent requests, follows redirects,
decompresses and keeps cookies by itself.
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
