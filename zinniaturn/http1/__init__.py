"""
HTTP/1.1 towards callers and backend servers, on httptools' parser.

It is what the gateway process is built on: unlike a framework's client and
server it never repeats a request by itself, says whether bytes were sent, and
keeps the process small.
"""

__all__ = (
    'Address',
    'BackendConnection',
    'BadMessageError',
    'ConnectFailedError',
    'ConnectionPool',
    'ExchangeBrokenError',
    'Fields',
    'Listener',
    'Request',
    'Response',
    'find_field',
    'parse_address',
)

from zinniaturn.http1.backend import BackendConnection
from zinniaturn.http1.connections import Address, ConnectionPool, parse_address
from zinniaturn.http1.exceptions import (
    BadMessageError,
    ConnectFailedError,
    ExchangeBrokenError,
)
from zinniaturn.http1.listener import Listener
from zinniaturn.http1.messages import Fields, Request, Response, find_field
