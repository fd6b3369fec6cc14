"""
Whether a server that was leaving is back.

A leaving server gets no new work, so that no reply says that it is back. Its
health endpoint is asked now and then; a health check measures no load and is
sent to servers that are leaving only.
"""

__all__ = ('is_accepting_again',)

import asyncio
from http import HTTPStatus

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError
from multidict import CIMultiDict

from zinniaturn.forwarding import BackendRequest, ConnectionPool
from zinniaturn.forwarding.connections import BackendConnection
from zinniaturn.forwarding.load_reports import is_leaving
from zinniaturn.forwarding.messages import request_head
from zinniaturn.tables import Server

HEALTH_PATH = '/_health'

_TIMEOUT_SECONDS = 2.0


async def is_accepting_again(
    connections: ConnectionPool, server: Server
) -> bool:
    """Return whether the server is well and does not say that it leaves."""
    try:
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            connection = await connections.connect((server.host, server.port))
            return await _ask(connection, server)
    except (TimeoutError, ClientError, HttpProcessingError, OSError):
        return False


async def _ask(connection: BackendConnection, server: Server) -> bool:
    connection.prepare('GET')
    headers = CIMultiDict({'Host': f'{server.host}:{server.port}'})
    request = BackendRequest('GET', HEALTH_PATH, headers)
    try:
        connection.write(request_head(request))
        message, _ = await connection.protocol.read()
    finally:
        connection.close()
    return message.code == HTTPStatus.OK and not is_leaving(message.headers)
