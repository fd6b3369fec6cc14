"""
Server connection from a caller.

Pipelined requests of one connection may be processed at the same time, and
are answered in the order in which they arrived. Further requests wait unparsed
while many are in work, or while the client doesn't read its responses.
"""

__all__ = ('CallerConnection',)

import asyncio
from collections import deque

from zinniaturn.http1.client_account import Client, Door
from zinniaturn.http1.exchange_line import ExchangeLine
from zinniaturn.http1.exchanges import (
    CallerExchange,
    Service,
    failure_response,
)
from zinniaturn.http1.holdings import Holding
from zinniaturn.http1.intake import Intake
from zinniaturn.http1.losses import LOSS_BY_STATUS, Loss
from zinniaturn.http1.messages import (
    Fields,
    Request,
    Response,
    encode_response_head,
)
from zinniaturn.http1.request_reader import RequestReader
from zinniaturn.http1.sending import SendingProtocol
from zinniaturn.sockets import unread_bytes

_FIRST_REQUEST_SECONDS = 0.3
_OVERLOADED = 503
_RETRY_AFTER_SECONDS = b'0.5'
# What a connection takes by itself: objects of the parser, the transport, this
# module and the kernel.
_CONNECTION_BYTES = 8 * 1024
# What the kernel may receive for a connection that is not read.
_UNREAD_BYTES = 128 * 1024


class CallerConnection(SendingProtocol):
    """One connection; several of its requests may be in flight at once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        service: Service,
        connections: 'set[CallerConnection]',
        door: Door,
    ) -> None:
        super().__init__()
        self.loop = loop
        self.service = service
        self.connections = connections
        self.door = door
        self.holding = Holding[Client](self, loop.time())
        self.reader = RequestReader(loop, self, service)
        self.intake = Intake(self, self.reader, door.account.turns)
        self.line = ExchangeLine(door.account)
        self.peer_host = ''
        self.is_cut = False
        self.lingers = False
        self.is_closing = False
        self.is_reading = True
        self.resumed_at = loop.time()
        self.last_progress_at = loop.time()
        self.unsent_bytes = 0
        self.accepted_at = loop.time()

    @property
    def exchanges(self) -> deque[CallerExchange]:
        """Return the requests that are not answered yet."""
        return self.line.exchanges

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, unless too many are open."""
        super().connection_made(transport)
        self.peer_host = (transport.get_extra_info('peername') or ('',))[0]
        self.connections.add(self)
        if self.door.enter(self.holding):
            self._update()
        else:
            # Every other connection has requests in work.
            self.is_closing = True
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that has disconnected."""
        self.connections.discard(self)
        self._cancel_exchanges()
        self.outbox.clear()
        self.door.leave(self.holding)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, or keep them until earlier requests are answered."""
        if self.is_closing:
            return
        self.last_progress_at = self.loop.time()
        self.intake.put(data)
        self.settle(len(data))

    def invite_body(self) -> None:
        """Tell the client that its body is waited for."""
        self.outbox.write(b'HTTP/1.1 100 Continue\r\n\r\n', b'')

    def is_idle(self) -> bool:
        """
        Return whether nothing is being received, served or sent.

        The first request of a caller that has just connected counts as being
        received: the caller is about to send it.
        """
        if not self.reader.has_begun:
            seconds = self.loop.time() - self.accepted_at
            return seconds >= _FIRST_REQUEST_SECONDS
        is_receiving = self.reader.is_receiving or self.intake.has_more
        return not (self.exchanges or is_receiving or self.outbox.unsent_bytes)

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

    def note_sent(self, now: float) -> bool:
        """Count what was sent since the last call; return if any is left."""
        unsent_bytes = self.outbox.unsent_bytes
        if unsent_bytes != self.unsent_bytes:
            moved_bytes = max(0, self.unsent_bytes - unsent_bytes)
            self.unsent_bytes = unsent_bytes
            self.last_progress_at = now
            self._update(moved_bytes)
        return unsent_bytes > 0

    def may_start(self) -> bool:
        """Return whether another request may be parsed and started."""
        return self.line.may_start(self.outbox.unsent_bytes)

    def dispatch(self, request: Request, held_bytes: int) -> None:
        """Start a request, which takes so many bytes."""
        exchange = CallerExchange(request, self)
        self.line.add(exchange, held_bytes)
        self.holding.is_unproven = False
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
        self.line.begin_work()
        exchange.task = self.loop.create_task(exchange.serve(reply))

    def reject(self, status: int, detail: bytes) -> None:
        """
        Answer with an error, after earlier responses, and close.

        Of many requests that wait for their turn only the first are served.
        """
        if self.is_closing:
            return
        loss = LOSS_BY_STATUS.get(status)
        if loss is not None:
            self.door.note(loss, self)
        self.intake.start_last(self.door.account.limits.requests)
        self.is_closing = True
        # The client is still sending.
        self.lingers = True
        self.intake.drop()
        request = Request(b'', b'', [], b'', False, self.loop.time())
        exchange = CallerExchange(request, self)
        fields: Fields = []
        if status == _OVERLOADED:
            fields.append((b'Retry-After', _RETRY_AFTER_SECONDS))
        exchange.response = Response(status, b'', fields, detail, closes=True)
        self.line.add(exchange, 0)
        self.flush()

    def give_way(self, at_once: bool = False) -> bool:
        """
        Refuse the request that is being received, else close.

        It is not called while requests are in work. With ``at_once`` the
        descriptor is needed. Return whether it refused.
        """
        is_sending = self.reader.is_receiving and not self.outbox.unsent_bytes
        if is_sending:
            self.reject(_OVERLOADED, b'too much is held for clients')
            if not at_once:
                return True
        self.is_cut = True
        self._cancel_exchanges()
        self.outbox.clear()
        if self.transport is not None:
            self.transport.abort()
        self._update()
        return False

    def finish(self, exchange: CallerExchange) -> None:
        """Send a response once it is its turn."""
        if self.line.end_work(exchange):
            self.flush()

    def flush(self) -> None:
        """Write the finished responses that are next in order."""
        while self.transport is not None:
            exchange = self.line.take_answered()
            if exchange is None or exchange.response is None:
                break
            if self._write(exchange, exchange.response):
                break
        self.line.wake_first()
        self.settle()

    def settle(self, moved_bytes: int = 0) -> None:
        """Ask for a turn, for more bytes or for none, as things stand."""
        if self.intake.is_handling:
            return
        if self.is_closing:
            self.intake.drop()
        else:
            self.intake.ask_for_turn()
        self._pause_or_resume()
        self._update(moved_bytes)

    def _pause_or_resume(self) -> None:
        """Read on only when most of what has been received is handled."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        may_read = not self.intake.is_full and self.may_start()
        if may_read == self.is_reading:
            return
        self.is_reading = may_read
        if may_read:
            self.resumed_at = self.loop.time()
            transport.resume_reading()
        else:
            self.door.note(Loss.PAUSED, self)
            transport.pause_reading()

    def _write(self, exchange: CallerExchange, response: Response) -> bool:
        """Write a response; return whether it closes the connection."""
        is_last = not (self.exchanges or self.intake.has_more)
        if not exchange.request.keep_alive:
            response.closes = True
        is_receiving = self.reader.is_receiving
        if self.service.is_stopping and is_last and not is_receiving:
            response.closes = True
        is_head = exchange.request.method == b'HEAD'
        head = encode_response_head(response, is_head)
        self.outbox.write(head, b'' if is_head else response.body)
        self.last_progress_at = self.loop.time()
        if response.closes:
            self._cancel_exchanges()
            self.outbox.close(self.lingers)
        return response.closes

    def _cancel_exchanges(self) -> None:
        """Cancel the requests that won't be answered on this connection."""
        self.is_closing = True
        self.intake.drop()
        self.line.cancel()

    def _update(self, moved_bytes: int = 0) -> None:
        """Tell the account what this connection holds."""
        held = _CONNECTION_BYTES + self.line.held_bytes + self.intake.held_bytes
        held += self.outbox.unsent_bytes
        if not self.is_reading:
            held += _UNREAD_BYTES
        may_be_cut = not (self.is_cut or self.line.in_work)
        self.door.update(self.holding, held, may_be_cut, moved_bytes)
