"""Pool of connections to backend servers, for reuse between requests."""

__all__ = ('BackendConnection', 'BackendProtocol', 'ConnectionPool')

import asyncio
import select
import ssl
from collections import deque

from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import StreamReader

Address = tuple[str, int]

_MAX_IDLE_PER_SERVER = 64
_READ_BUFFER_BYTES = 65_536
_MAX_HEADER_LINE_BYTES = 32_768
_MAX_IDLE_SECONDS = 30.0
_MAX_IDLE_AT_MOST_ONCE_SECONDS = 1.0


class BackendProtocol(ResponseHandler):
    """
    aiohttp's response parser, with a check of idle connections.

    A byte that arrives while no request is in flight closes the connection,
    so that it is never read as the response to the next request. If a body is
    malformed, aiohttp reports this only to a reader that waits for a head;
    this class reports it to the reader of the body too.
    """

    is_idle = False

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response."""
        if self.is_idle and data:
            self.abort()
            return
        payload = self._payload
        super().data_received(data)
        error = self.exception()
        if payload is not None and error is not None:
            _fail_payload(payload, error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that a reset cut short, whatever its framing."""
        if exc is not None and self._payload is not None:
            _fail_payload(self._payload, exc)
        super().connection_lost(exc)


class BackendConnection:
    """
    An HTTP/1.1 connection for one request at a time.

    ``idle_since`` is in the event loop's time.
    """

    def __init__(self, address: Address, protocol: BackendProtocol) -> None:
        self.address = address
        self.protocol = protocol
        self.idle_since: float = 0
        self.poll = _create_poll(protocol)

    def prepare(self, method: str) -> None:
        """Set up the parser for the response to a ``method`` request."""
        self.protocol.is_idle = False
        self.protocol.set_response_params(
            skip_payload=method == 'HEAD',
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=_READ_BUFFER_BYTES,
            max_line_size=_MAX_HEADER_LINE_BYTES,
            max_field_size=_MAX_HEADER_LINE_BYTES,
        )

    def check_open(self) -> None:
        """Raise `ConnectionResetError` if nothing can be written."""
        transport = self.protocol.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError('the connection is closed')

    def write(self, chunk: bytes) -> None:
        """Write bytes to the transport; raises `ConnectionResetError`."""
        self.check_open()
        self.protocol.transport.write(chunk)  # type: ignore[union-attr]

    async def drain(self) -> None:
        """Wait until the transport accepts more bytes."""
        await self.protocol._drain_helper()

    def is_reusable(self) -> bool:
        """Return whether another request may use the connection."""
        return self.protocol.is_connected() and not self.protocol.should_close

    def has_no_unread_input(self) -> bool:
        """Return whether the socket has neither bytes nor an end of file."""
        return self.poll is None or not self.poll.poll(0)

    def close(self) -> None:
        """Close at once; the server takes this as a cancellation."""
        self.protocol.abort()


class ConnectionPool:
    """Idle connections by address, reused in last-in, first-out order."""

    def __init__(self) -> None:
        self.idle: dict[Address, deque[BackendConnection]] = {}
        self.tls: ssl.SSLContext | None = None

    def take_idle(
        self,
        address: Address,
        at_most_once: bool = False,
    ) -> BackendConnection | None:
        """
        Return an idle connection that is still usable, if there is one.

        With ``at_most_once`` only a recently used connection is returned. If
        the server were closing an idle connection while the request is sent,
        the outcome of the request would be unknown.
        """
        connections = self.idle.get(address)
        if not connections:
            return None
        limit = (
            _MAX_IDLE_AT_MOST_ONCE_SECONDS
            if at_most_once
            else _MAX_IDLE_SECONDS
        )
        oldest = asyncio.get_running_loop().time() - limit
        while connections:
            if connections[-1].idle_since < oldest and at_most_once:
                return None
            connection = connections.pop()
            if _is_usable(connection, oldest):
                return connection
            connection.close()
        return None

    async def connect(self, address: Address) -> BackendConnection:
        """Return a new connection; raises `OSError`."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(
            lambda: BackendProtocol(loop),
            *address,
            ssl=self.tls,
        )
        return BackendConnection(address, protocol)

    def release(self, connection: BackendConnection) -> None:
        """Add a connection to the pool if it is reusable, else close it."""
        connections = self.idle.setdefault(connection.address, deque())
        self._close_stale(connections)
        if connection.is_reusable() and len(connections) < _MAX_IDLE_PER_SERVER:
            connection.protocol.is_idle = True
            connection.idle_since = asyncio.get_running_loop().time()
            connections.append(connection)
        else:
            connection.close()

    def _close_stale(self, connections: deque[BackendConnection]) -> None:
        oldest = asyncio.get_running_loop().time() - _MAX_IDLE_SECONDS
        while connections and connections[0].idle_since < oldest:
            connections.popleft().close()

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()


def _is_usable(connection: BackendConnection, oldest: float) -> bool:
    return (
        connection.idle_since >= oldest
        and connection.is_reusable()
        and connection.has_no_unread_input()
    )


def _fail_payload(payload: StreamReader, error: BaseException) -> None:
    if not payload.is_eof() and payload.exception() is None:
        payload.set_exception(error)


def _create_poll(protocol: BackendProtocol) -> 'select.poll | None':
    transport = protocol.transport
    if transport is None:
        return None
    endpoint = transport.get_extra_info('socket')
    if endpoint is None:
        return None
    poll = select.poll()
    poll.register(endpoint.fileno(), select.POLLIN)
    return poll
