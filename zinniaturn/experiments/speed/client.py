"""Lightweight HTTP/1.1 load client that parses only what it needs."""

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
_OK_STATUS = b'HTTP/1.1 200'
_HEAD_END = b'\r\n\r\n'
_CONTENT_LENGTH = b'content-length: '
_CRLF = b'\r\n'


class LoadClient:
    """
    Keep-alive connections to one port, opened before the load begins.

    When all are busy, another one is opened. A call raises `ExperimentError`
    unless it gets a complete response with the status 200.
    """

    def __init__(self, port: int, path: str = '/cards/7') -> None:
        self.port = port
        self.request = _REQUEST % path.encode()
        self.idle: deque[_Connection] = deque()

    async def open(self, connections: int) -> None:
        """Open this number of idle connections."""
        for _ in range(connections):
            self.idle.append(await self._connect())

    async def call(self) -> None:
        """Send one request and wait for its complete response."""
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
        self.response_waiter: asyncio.Future[None] | None = None

    async def call(self, request: bytes) -> None:
        self.response_waiter = asyncio.get_running_loop().create_future()
        self.received = b''
        self.transport.write(request)
        await self.response_waiter

    def data_received(self, data: bytes) -> None:
        self.received += data
        head, head_end, body = self.received.partition(_HEAD_END)
        if head_end and len(body) >= self._content_length(head):
            self._complete_call(head)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.response_waiter is not None and not self.response_waiter.done():
            self.response_waiter.set_exception(
                ExperimentError(
                    'connection closed before the response was complete'
                )
            )

    def _content_length(self, head: bytes) -> int:
        _, length_field, rest = head.lower().partition(_CONTENT_LENGTH)
        return int(rest.partition(_CRLF)[0]) if length_field else 0

    def _complete_call(self, head: bytes) -> None:
        if self.response_waiter is None or self.response_waiter.done():
            return
        if head.startswith(_OK_STATUS):
            self.response_waiter.set_result(None)
        else:
            status = head.partition(_CRLF)[0].decode()
            self.response_waiter.set_exception(
                ExperimentError(f'unexpected response: {status}')
            )
