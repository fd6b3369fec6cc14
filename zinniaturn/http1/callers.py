"""
Server connection from a caller.

Pipelined requests of one connection may be processed at the same time, and
are answered in the order in which they arrived.
"""

__all__ = ('CallerConnection',)

import asyncio
from collections import deque
from types import MappingProxyType

import httptools

from zinniaturn.http1.byte_budget import BodyBuffer, ByteBudget
from zinniaturn.http1.exchanges import (
    CallerExchange,
    Service,
    failure_response,
)
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import (
    Fields,
    Request,
    Response,
    encode_response,
    head_size,
)
from zinniaturn.http1.upgrade_offers import head_without_offer
from zinniaturn.sockets import unread_bytes

_MAX_PIPELINED_REQUESTS = 32
_STALLED_READER_SECONDS = 30.0
_FIRST_REQUEST_SECONDS = 0.3
_OVERLOADED = 503
# What is rejected if too much else than a body arrives, by whether the head has
# been read.
_EXCESS_REJECTIONS = MappingProxyType(
    {
        False: (431, b'the head is too large'),
        True: (413, b'the framing of the body is too large'),
    }
)
_RETRY_AFTER_SECONDS = b'0.5'


class CallerConnection(asyncio.Protocol):
    """One connection; several of its requests may be in flight at once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        service: Service,
        connections: 'set[CallerConnection]',
        byte_budget: ByteBudget,
    ) -> None:
        self.loop = loop
        self.service = service
        self.connections = connections
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: deque[CallerExchange] = deque()
        self.is_closing = False
        self.last_progress_at = loop.time()
        self.unsent_bytes = 0
        self.receiving = False
        self.head_done = False
        self.accepted_at = loop.time()
        self.has_begun = False
        self.started_at = loop.time()
        self.target = b''
        self.fields: Fields = []
        self.body = BodyBuffer(byte_budget)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that has disconnected."""
        self.connections.discard(self)
        self.body.clear()
        self._cancel_exchanges()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; reject a malformed request and close."""
        if self.is_closing:
            return
        self.last_progress_at = self.loop.time()
        if self.receiving:
            self.body.received_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            self._reject(400, str(error).encode())
        if self.receiving and self.body.has_excess(
            self.service.limits.header_bytes
        ):
            self._reject(*_EXCESS_REJECTIONS[self.head_done])

    def _parse(self, data: bytes) -> None:
        """Parse bytes; raises `HttpParserError`."""
        while data:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as offer:
                head = head_without_offer(
                    self.parser.get_method(), self.target, self.fields
                )
                data = head + data[offer.args[0] :]
                self.parser = httptools.HttpRequestParser(self)
            else:
                return

    def on_message_begin(self) -> None:
        """Start a request."""
        self.has_begun = True
        self.receiving = True
        self.head_done = False
        self.started_at = self.loop.time()
        self.target = b''
        self.fields = []
        self.body.clear()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the head and answer ``Expect: 100-continue``."""
        if self.parser.should_upgrade():
            return
        size = head_size(self.target, self.fields)
        if size > self.service.limits.header_bytes:
            self._reject(431, b'the head is too large')
        self.head_done = True
        if self.is_closing or self.transport is None:
            return
        for name, text in self.fields:
            if name.lower() == b'expect' and text.lower() == b'100-continue':
                self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.is_closing:
            return
        if self.body.size + len(body) > self.service.limits.body_bytes:
            self._reject(413, b'the body is too large')
        elif not self.body.add(body):
            self._reject(503, b'too many bodies are being received')

    def on_message_complete(self) -> None:
        """Dispatch a complete request."""
        if self.parser.should_upgrade():
            # Only the head has been read; it is parsed again.
            return
        self.receiving = False
        self.head_done = False
        if self.is_closing:
            return
        request = Request(
            self.parser.get_method(),
            self.target,
            self.fields,
            self.body.take_all(),
            self.parser.should_keep_alive(),
            self.started_at,
        )
        self._dispatch(request)

    def is_idle(self) -> bool:
        """
        Return whether nothing is being received, served or sent.

        The first request of a caller that has just connected counts as being
        received: the caller is about to send it.
        """
        if not self.has_begun:
            seconds = self.loop.time() - self.accepted_at
            return seconds >= _FIRST_REQUEST_SECONDS
        transport = self.transport
        is_sent = transport is None or not transport.get_write_buffer_size()
        return is_sent and not (self.exchanges or self.receiving)

    def close_if_idle(self) -> None:
        """Close the connection if it is between requests."""
        transport = self.transport
        if transport is None or not self.is_idle():
            return
        # A request that has arrived and is closed unread gets a reset.
        if unread_bytes(transport):
            return
        self.is_closing = True
        transport.close()

    def check_progress(self, now: float, limits: CallerLimits) -> None:
        """Close a connection that is too slow or idle for too long."""
        assert self.transport is not None
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes = unsent_bytes
            self.last_progress_at = now
        seconds_without_progress = now - self.last_progress_at
        if unsent_bytes:
            if seconds_without_progress > _STALLED_READER_SECONDS:
                self.transport.abort()
        elif self.receiving:
            self._check_receiving(now, limits)
        elif (
            not self.exchanges
            and seconds_without_progress > limits.idle_seconds
        ):
            self.close_if_idle()

    def _check_receiving(self, now: float, limits: CallerLimits) -> None:
        """Reject a head that takes too long, or a body without progress."""
        since = self.last_progress_at if self.head_done else self.started_at
        if now - since > limits.header_seconds:
            self._reject(408, b'the request took too long')

    def _reject(self, status: int, detail: bytes) -> None:
        """Answer with an error, after earlier responses, and close."""
        if self.is_closing:
            return
        self.is_closing = True
        self.receiving = False
        self.body.clear()
        request = Request(b'', b'', [], b'', False, self.loop.time())
        exchange = CallerExchange(request, self)
        fields: Fields = []
        if status == _OVERLOADED:
            fields.append((b'Retry-After', _RETRY_AFTER_SECONDS))
        exchange.response = Response(status, b'', fields, detail, closes=True)
        self.exchanges.append(exchange)
        self.flush()

    def _dispatch(self, request: Request) -> None:
        exchange = CallerExchange(request, self)
        self.exchanges.append(exchange)
        if not request.keep_alive:
            self.is_closing = True
        try:
            reply = self.service.handle(exchange)
        except Exception as error:
            reply = failure_response(error)
        if isinstance(reply, Response):
            exchange.response = reply
            self.flush()
            return
        exchange.task = self.loop.create_task(exchange.serve(reply))
        if (
            len(self.exchanges) >= _MAX_PIPELINED_REQUESTS
            and self.transport is not None
        ):
            self.transport.pause_reading()

    def flush(self) -> None:
        """Write the finished responses that are next in order."""
        transport = self.transport
        while self.exchanges and transport is not None:
            exchange = self.exchanges[0]
            if exchange.response is None:
                break
            self.exchanges.popleft()
            if self._write(exchange, exchange.response):
                return
        if self.exchanges and self.exchanges[0].turn is not None:
            turn = self.exchanges[0].turn
            if not turn.done():
                turn.set_result(None)
        if (
            transport is not None
            and len(self.exchanges) < _MAX_PIPELINED_REQUESTS
        ):
            if not transport.is_closing():
                transport.resume_reading()

    def _write(self, exchange: CallerExchange, response: Response) -> bool:
        """Write a response; return whether it closes the connection."""
        assert self.transport is not None
        is_last = not self.exchanges
        if not exchange.request.keep_alive:
            response.closes = True
        if self.service.is_stopping and is_last and not self.receiving:
            response.closes = True
        is_head = exchange.request.method == b'HEAD'
        self.transport.write(encode_response(response, is_head))
        self.last_progress_at = self.loop.time()
        if response.closes:
            self._cancel_exchanges()
            self.transport.close()
        return response.closes

    def _cancel_exchanges(self) -> None:
        """Cancel the requests that won't be answered on this connection."""
        self.is_closing = True
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()
