"""
Health checks that detect when a leaving server accepts requests again.

A leaving server gets no new requests, so no response can show that it accepts
them again. Therefore its health endpoint is checked periodically. A health
check does not measure load and is sent only to servers that are leaving.
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

_HEALTH_CHECK_TIMEOUT_SECONDS = 2.0


async def is_accepting_again(
    connections: ConnectionPool, server: Server
) -> bool:
    """Return whether the server is healthy and not leaving."""
    try:
        async with asyncio.timeout(_HEALTH_CHECK_TIMEOUT_SECONDS):
            connection = await connections.connect((server.host, server.port))
            return await _check_health(connection, server)
    except (TimeoutError, ClientError, HttpProcessingError, OSError):
        return False


async def _check_health(connection: BackendConnection, server: Server) -> bool:
    connection.prepare('GET')
    headers = CIMultiDict({'Host': f'{server.host}:{server.port}'})
    request = BackendRequest('GET', HEALTH_PATH, headers)
    try:
        connection.write(request_head(request))
        message, _ = await connection.protocol.read()
    finally:
        connection.close()
    return message.code == HTTPStatus.OK and not is_leaving(message.headers)
