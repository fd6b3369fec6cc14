"""Connections to backend servers, kept open between requests."""

__all__ = ('BackendConnection', 'ConnectionPool')

import asyncio
from collections import deque

from aiohttp.client_proto import ResponseHandler

Address = tuple[str, int]

_IDLE_PER_SERVER = 64
_READ_BUFFER_BYTES = 65_536
_HEADER_BYTES = 32_768


class BackendConnection:
    """One HTTP/1.1 connection; it carries one request at a time."""

    def __init__(self, address: Address, protocol: ResponseHandler) -> None:
        self.address = address
        self.protocol = protocol

    def prepare(self, method: str) -> None:
        """Set the parser up for the answer to a request with ``method``."""
        self.protocol.set_response_params(
            skip_payload=method == 'HEAD',
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=_READ_BUFFER_BYTES,
            max_line_size=_HEADER_BYTES,
            max_field_size=_HEADER_BYTES,
        )

    def write(self, chunk: bytes) -> None:
        """Hand bytes to the transport; raises `ConnectionResetError`."""
        transport = self.protocol.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError('the connection is closed')
        transport.write(chunk)

    async def drain(self) -> None:
        """Wait until the transport takes more bytes."""
        await self.protocol._drain_helper()

    def is_reusable(self) -> bool:
        """Return whether another request may use the connection."""
        return self.protocol.is_connected() and not self.protocol.should_close

    def close(self) -> None:
        """Close at once; the server sees this as a cancellation."""
        self.protocol.abort()


class ConnectionPool:
    """Idle connections by server address, the last used taken first."""

    def __init__(self) -> None:
        self.idle: dict[Address, deque[BackendConnection]] = {}

    def take_idle(self, address: Address) -> BackendConnection | None:
        """Return an idle connection that is still usable, if there is one."""
        connections = self.idle.get(address)
        while connections:
            connection = connections.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        return None

    async def connect(self, address: Address) -> BackendConnection:
        """Return a new connection; raises `OSError`."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(
            lambda: ResponseHandler(loop),
            *address,
        )
        return BackendConnection(address, protocol)

    def give_back(self, connection: BackendConnection) -> None:
        """Keep a connection whose answer was read whole, else close it."""
        connections = self.idle.setdefault(connection.address, deque())
        if connection.is_reusable() and len(connections) < _IDLE_PER_SERVER:
            connections.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()
