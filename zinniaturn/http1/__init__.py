"""
HTTP/1.1 server and client of the gateway, based on the httptools parser.

Unlike the client and server of a framework, this client never repeats a
request by itself and reports whether bytes were sent. Both keep the process
small.
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
