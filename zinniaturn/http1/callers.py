"""
Connections from callers.

Requests of one connection are answered in the order in which they came, also
where they are worked on at the same time.
"""

__all__ = ('CallerConnection', 'Exchange', 'Listener')

import asyncio
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import (
    Fields,
    Request,
    Response,
    response_bytes,
)

_MOST_WAITING = 32
_SWEEP_SECONDS = 0.5
_STUCK_READER_SECONDS = 30.0


@dataclass(slots=True, eq=False)
class Exchange:
    """A request of a connection and its answer, once there is one."""

    request: Request
    connection: 'CallerConnection'
    answer: Response | None = None
    task: 'asyncio.Task[None] | None' = None
    turn: 'asyncio.Future[None] | None' = None

    async def wait_for_turn(self) -> None:
        """Wait until every earlier request of the connection is answered."""
        if self.connection.exchanges[0] is not self:
            loop = asyncio.get_running_loop()
            self.turn = loop.create_future()
            await self.turn


class Service(Protocol):
    """What answers requests."""

    limits: CallerLimits
    is_stopping: bool

    def handle(
        self, exchange: Exchange
    ) -> Response | Coroutine[None, None, Response]:
        """Return the answer, or a coroutine that brings it."""


@dataclass(slots=True)
class Listener:
    """The open connections of one listening address."""

    service: Service
    connections: 'set[CallerConnection]' = field(default_factory=set)
    server: asyncio.Server | None = None
    sweeper: 'asyncio.Task[None] | None' = None

    async def start(self, host: str, port: int) -> None:
        """Listen; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(loop, self),
            host,
            port,
            backlog=1024,
        )
        self.sweeper = loop.create_task(self._sweep())

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    @property
    def in_flight(self) -> int:
        """Return the number of requests without a whole answer."""
        return sum(len(each.exchanges) for each in self.connections)

    def is_idle(self) -> bool:
        """Return whether nothing is being received, served or sent."""
        return all(each.is_idle() for each in self.connections)

    def close(self) -> None:
        """Stop listening and close what is idle."""
        if self.server is not None:
            self.server.close()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close_if_idle()

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            for connection in list(self.connections):
                connection.check_progress(loop.time(), self.service.limits)


class CallerConnection(asyncio.Protocol):
    """One connection; several requests may be on their way at once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: Listener,
    ) -> None:
        self.loop = loop
        self.listener = listener
        self.service = listener.service
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: deque[Exchange] = deque()
        self.is_closing = False
        self.changed_at = loop.time()
        self.unsent = 0
        self.receiving = False
        self.head_done = False
        self.began_at = loop.time()
        self.target = b''
        self.fields: Fields = []
        self.unfinished_bytes = 0
        self.pieces: list[bytes] = []
        self.body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the work for a caller that has left."""
        self.is_closing = True
        self.listener.connections.discard(self)
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; what is no request is answered and ends it."""
        if self.is_closing:
            return
        self.changed_at = self.loop.time()
        was_in_head = self.receiving and not self.head_done
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, b'upgrades are not supported')
        except httptools.HttpParserError as error:
            self._refuse(400, str(error).encode())
        if was_in_head and self.receiving and not self.head_done:
            self.unfinished_bytes += len(data)
            self._check_head()

    def on_message_begin(self) -> None:
        """Start a request."""
        self.receiving = True
        self.head_done = False
        self.began_at = self.loop.time()
        self.target = b''
        self.fields = []
        self.unfinished_bytes = 0
        self.pieces = []
        self.body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field."""
        self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head's size and answer an expectation."""
        self._check_head()
        self.head_done = True
        if self.is_closing or self.transport is None:
            return
        for name, text in self.fields:
            if name.lower() == b'expect' and text.lower() == b'100-continue':
                self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self.body_bytes += len(body)
        if self.body_bytes > self.service.limits.body_bytes:
            self._refuse(413, b'the body is too large')
        else:
            self.pieces.append(body)

    def on_message_complete(self) -> None:
        """Hand a whole request over."""
        self.receiving = False
        self.head_done = False
        if self.is_closing:
            return
        request = Request(
            self.parser.get_method(),
            self.target,
            self.fields,
            b''.join(self.pieces),
            self.parser.should_keep_alive(),
            self.began_at,
        )
        self._accept(request)

    def is_idle(self) -> bool:
        """Return whether nothing is being received, served or sent."""
        transport = self.transport
        is_sent = transport is None or not transport.get_write_buffer_size()
        return is_sent and not (self.exchanges or self.receiving)

    def close_if_idle(self) -> None:
        """Close between requests only."""
        if self.is_idle() and self.transport is not None:
            self.is_closing = True
            self.transport.close()

    def check_progress(self, now: float, limits: CallerLimits) -> None:
        """Close a connection that takes too long or is no longer used."""
        assert self.transport is not None
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.unsent:
            self.unsent = unsent
            self.changed_at = now
        quiet_seconds = now - self.changed_at
        if unsent:
            if quiet_seconds > _STUCK_READER_SECONDS:
                self.transport.abort()
        elif self.receiving:
            if now - self.began_at > limits.header_seconds:
                self._refuse(408, b'the request took too long')
        elif not self.exchanges and quiet_seconds > limits.idle_seconds:
            self.close_if_idle()

    def _check_head(self) -> None:
        collected = len(self.target) + sum(
            len(name) + len(text) for name, text in self.fields
        )
        size = max(collected, self.unfinished_bytes)
        if size > self.service.limits.header_bytes:
            self._refuse(431, b'the head is too large')

    def _refuse(self, status: int, detail: bytes) -> None:
        """Answer what cannot be served, in its turn, and close."""
        if self.is_closing:
            return
        self.is_closing = True
        self.receiving = False
        request = Request(b'', b'', [], b'', False, self.loop.time())
        exchange = Exchange(request, self)
        exchange.answer = Response(status, b'', [], detail, closes=True)
        self.exchanges.append(exchange)
        self._flush()

    def _accept(self, request: Request) -> None:
        exchange = Exchange(request, self)
        self.exchanges.append(exchange)
        if not request.keep_alive:
            self.is_closing = True
        outcome = self.service.handle(exchange)
        if isinstance(outcome, Response):
            exchange.answer = outcome
            self._flush()
            return
        exchange.task = self.loop.create_task(self._serve(exchange, outcome))
        if len(self.exchanges) >= _MOST_WAITING and self.transport is not None:
            self.transport.pause_reading()

    async def _serve(
        self,
        exchange: Exchange,
        outcome: Coroutine[None, None, Response],
    ) -> None:
        exchange.answer = await outcome
        self._flush()

    def _flush(self) -> None:
        """Write the answers whose turn it is."""
        transport = self.transport
        while self.exchanges and transport is not None:
            exchange = self.exchanges[0]
            if exchange.answer is None:
                break
            self.exchanges.popleft()
            if self._write(exchange, exchange.answer):
                return
        if self.exchanges and self.exchanges[0].turn is not None:
            turn = self.exchanges[0].turn
            if not turn.done():
                turn.set_result(None)
        if transport is not None and len(self.exchanges) < _MOST_WAITING:
            if not transport.is_closing():
                transport.resume_reading()

    def _write(self, exchange: Exchange, answer: Response) -> bool:
        """Write one answer; return whether it was the connection's last."""
        assert self.transport is not None
        is_last = not self.exchanges
        if not exchange.request.keep_alive:
            answer.closes = True
        if self.service.is_stopping and is_last and not self.receiving:
            answer.closes = True
        is_head = exchange.request.method == b'HEAD'
        self.transport.write(response_bytes(answer, is_head))
        self.changed_at = self.loop.time()
        if answer.closes:
            self._close_behind()
        return answer.closes

    def _close_behind(self) -> None:
        self.is_closing = True
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()
        if self.transport is not None:
            self.transport.close()
