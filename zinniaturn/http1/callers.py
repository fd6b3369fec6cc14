"""
Connections from callers.

Requests of one connection are answered in the order in which they came, also
where they are worked on at the same time.
"""

__all__ = ('CallerConnection',)

import asyncio
from collections import deque

import httptools

from zinniaturn.http1.exchanges import CallerExchange, Service
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import (
    Fields,
    Request,
    Response,
    encode_response,
)

_MOST_WAITING = 32
_STUCK_READER_SECONDS = 30.0


class CallerConnection(asyncio.Protocol):
    """One connection; several requests may be on their way at once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        service: Service,
        connections: 'set[CallerConnection]',
    ) -> None:
        self.loop = loop
        self.service = service
        self.connections = connections
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: deque[CallerExchange] = deque()
        self.is_closing = False
        self.changed_at = loop.time()
        self.unsent = 0
        self.receiving = False
        self.head_done = False
        self.started_at = loop.time()
        self.target = b''
        self.fields: Fields = []
        self.unfinished_bytes = 0
        self.pieces: list[bytes] = []
        self.body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the work for a caller that has left."""
        self.connections.discard(self)
        self._drop_exchanges()

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
        self.started_at = self.loop.time()
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
            self.started_at,
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
            self._check_receiving(now, limits)
        elif not self.exchanges and quiet_seconds > limits.idle_seconds:
            self.close_if_idle()

    def _check_receiving(self, now: float, limits: CallerLimits) -> None:
        """Give up a head that takes too long, or a body that stands still."""
        since = self.changed_at if self.head_done else self.started_at
        if now - since > limits.header_seconds:
            self._refuse(408, b'the request took too long')

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
        exchange = CallerExchange(request, self)
        exchange.answer = Response(status, b'', [], detail, closes=True)
        self.exchanges.append(exchange)
        self.flush()

    def _accept(self, request: Request) -> None:
        exchange = CallerExchange(request, self)
        self.exchanges.append(exchange)
        if not request.keep_alive:
            self.is_closing = True
        outcome = self.service.handle(exchange)
        if isinstance(outcome, Response):
            exchange.answer = outcome
            self.flush()
            return
        exchange.task = self.loop.create_task(exchange.serve(outcome))
        if len(self.exchanges) >= _MOST_WAITING and self.transport is not None:
            self.transport.pause_reading()

    def flush(self) -> None:
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

    def _write(self, exchange: CallerExchange, answer: Response) -> bool:
        """Write one answer; return whether it was the connection's last."""
        assert self.transport is not None
        is_last = not self.exchanges
        if not exchange.request.keep_alive:
            answer.closes = True
        if self.service.is_stopping and is_last and not self.receiving:
            answer.closes = True
        is_head = exchange.request.method == b'HEAD'
        self.transport.write(encode_response(answer, is_head))
        self.changed_at = self.loop.time()
        if answer.closes:
            self._drop_exchanges()
            self.transport.close()
        return answer.closes

    def _drop_exchanges(self) -> None:
        """End the work on requests that will not be answered here."""
        self.is_closing = True
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()
