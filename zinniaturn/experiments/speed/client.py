"""A light HTTP/1.1 client for loads: one protocol, no parser to speak of."""

__all__ = ('LoadClient',)

import asyncio
from collections import deque
from typing import cast

from zinniaturn.experiments.exceptions import ExperimentError

_REQUEST = (
    b'GET %b HTTP/1.1\r\n'
    b'Host: bench.example\r\n'
    b'User-Agent: bench\r\n'
    b'Accept: */*\r\n\r\n'
)
_STATUS = b'HTTP/1.1 200'
_HEAD_END = b'\r\n\r\n'
_LENGTH = b'content-length: '
_CRLF = b'\r\n'


class LoadClient:
    """
    Connections to one port, opened before the load begins.

    One more is opened where all are busy. Raises `ExperimentError` for every
    answer that is not a whole 200.
    """

    def __init__(self, port: int, path: str = '/cards/7') -> None:
        self.port = port
        self.request = _REQUEST % path.encode()
        self.idle: deque[_Connection] = deque()

    async def open(self, connections: int) -> None:
        """Open this many connections."""
        for _ in range(connections):
            self.idle.append(await self._connect())

    async def call(self) -> None:
        """Send one request and wait for its whole answer."""
        connection = self.idle.pop() if self.idle else await self._connect()
        await connection.call(self.request)
        self.idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().transport.close()

    async def _connect(self) -> '_Connection':
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            _Connection,
            '127.0.0.1',
            self.port,
        )
        return connection


class _Connection(asyncio.Protocol):
    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.received = b''
        self.waiter: asyncio.Future[None] | None = None

    async def call(self, request: bytes) -> None:
        self.waiter = asyncio.get_running_loop().create_future()
        self.received = b''
        self.transport.write(request)
        await self.waiter

    def data_received(self, data: bytes) -> None:
        self.received += data
        head, end, body = self.received.partition(_HEAD_END)
        if end and len(body) >= self._length(head):
            self._finish(head)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(ExperimentError('an answer was cut'))

    def _length(self, head: bytes) -> int:
        _, found, rest = head.lower().partition(_LENGTH)
        return int(rest.partition(_CRLF)[0]) if found else 0

    def _finish(self, head: bytes) -> None:
        if self.waiter is None or self.waiter.done():
            return
        if head.startswith(_STATUS):
            self.waiter.set_result(None)
        else:
            status = head.partition(_CRLF)[0].decode()
            self.waiter.set_exception(ExperimentError(f'answered {status}'))
