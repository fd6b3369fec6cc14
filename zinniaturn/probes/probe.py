"""Sends measuring requests to a server over a dedicated connection."""

__all__ = ('Prober',)

import asyncio
from collections.abc import Callable

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError
from multidict import CIMultiDict

from zinniaturn.choosing import LoadReport
from zinniaturn.forwarding import BackendRequest, ConnectionPool
from zinniaturn.forwarding.connections import BackendConnection
from zinniaturn.forwarding.load_reports import parse_load_report
from zinniaturn.forwarding.messages import request_head
from zinniaturn.probes.exceptions import ProbeError
from zinniaturn.tables import Server

LOAD_PATH = '/_load'


class Prober:
    """
    Measures one server, one request at a time.

    There is no timeout for the response: as long as the server may still run
    a measuring request, no other may follow.
    """

    def __init__(self, connections: ConnectionPool) -> None:
        self.connections = connections
        self.connection: BackendConnection | None = None

    async def measure(
        self,
        server: Server,
        allowed: Callable[[], bool],
    ) -> LoadReport | None:
        """
        Return the server's load report, or ``None`` if it was not allowed.

        ``allowed`` is called right before the request is written, without
        yielding to the event loop in between. Raises `ProbeError` if no load
        report was received.
        """
        try:
            return await self._measure(server, allowed)
        except (ClientError, HttpProcessingError, OSError) as error:
            self.close()
            raise ProbeError(f'{server.name}: {error}') from error
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def _measure(
        self,
        server: Server,
        allowed: Callable[[], bool],
    ) -> LoadReport | None:
        connection = await self._connect(server)
        connection.prepare('GET')
        headers = CIMultiDict({'Host': f'{server.host}:{server.port}'})
        head = request_head(BackendRequest('GET', LOAD_PATH, headers))
        if not allowed():
            return None
        connection.write(head)
        message, payload = await connection.protocol.read()
        await payload.read()
        if not connection.is_reusable():
            self.close()
        report = parse_load_report(message.headers)
        if report is None:
            raise ProbeError(f'{server.name}: no load figure')
        return report

    async def _connect(self, server: Server) -> BackendConnection:
        address = (server.host, server.port)
        current = self.connection
        if current and current.address == address and current.is_reusable():
            return current
        self.close()
        self.connection = await self.connections.connect(address)
        return self.connection
