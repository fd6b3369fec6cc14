"""One measuring request over a connection of its own."""

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

    A request that gets no answer is waited for without a limit: as long as
    the server may still run it, no other may follow.
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
        Return the server's load, or ``None`` where it was not allowed.

        ``allowed`` is asked in the same step of the loop in which the request
        is written. Raises `ProbeError` where no load figure came.
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
        connection = await self._connected(server)
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

    async def _connected(self, server: Server) -> BackendConnection:
        address = (server.host, server.port)
        known = self.connection
        if known and known.address == address and known.is_reusable():
            return known
        self.close()
        self.connection = await self.connections.connect(address)
        return self.connection
