"""
Client connection to a backend server, for one exchange at a time.

Responses are parsed by httptools. A response that names another request is
ignored: it belongs to an earlier exchange and came too late.
"""

__all__ = ('MAX_RESPONSE_BYTES', 'BackendConnection', 'Exchange')

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from zinniaturn.http1.byte_budget import BodyBuffer, ByteBudget
from zinniaturn.http1.carried_rejections import CarriedRejections
from zinniaturn.http1.exceptions import BadMessageError, ExchangeBrokenError
from zinniaturn.http1.messages import Fields, Response, find_field
from zinniaturn.http1.response_room import ResponseRoom
from zinniaturn.http1.sending import SendingProtocol

_FIRST_FINAL_STATUS = 200
_FIRST_STATUS_WITHOUT_ID = 300
_BODYLESS_STATUSES = frozenset((204, 304))
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# The heads of interim and final responses together.
_MAX_HEAD_BYTES = 64 * 1024


@dataclass(slots=True)
class Exchange:
    """
    A request to send and the identification of its response.

    A response whose ``id_field`` differs from ``response_id`` belongs to
    another request. If ``response_id`` is set, the same holds for a response
    of status 2xx without the field; those of status 300 and above may lack it.
    ``body`` is sent behind ``payload``, without a copy of a large one. The
    response's body may have ``most_bytes``.
    """

    payload: bytes
    id_field: bytes
    response_id: bytes | None = None
    is_head: bool = False
    body: bytes = b''
    most_bytes: int = MAX_RESPONSE_BYTES


class BackendConnection(SendingProtocol):
    """
    A connection to a backend server; `send` starts an exchange.

    ``is_clean`` is true as long as another exchange may follow.
    ``rejections`` tells which requests it must not carry. ``on_closed`` is
    called once it no longer takes a descriptor.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        byte_budget: ByteBudget,
    ) -> None:
        self.on_closed: Callable[[], None] | None = None
        self.is_lost = False
        self.loop = loop
        super().__init__()
        self.room = ResponseRoom(byte_budget, self)
        self.body = BodyBuffer()
        self.is_clean = True
        self.last_used_at = loop.time()
        self.usable_until = float('inf')
        self.rejections = CarriedRejections()
        self.exchange: Exchange | None = None
        self.response: asyncio.Future[Response] | None = None
        self._reset_parser()

    def send(self, exchange: Exchange) -> 'asyncio.Future[Response]':
        """
        Write a request and return a future of its response.

        The future fails with `ExchangeBrokenError`. Cancelling it leaves the
        connection unusable, and the caller of `send` then has to close it.
        """
        assert self.transport is not None
        self.exchange = exchange
        self._drop_body()
        self.body.clear()
        self.response = self.loop.create_future()
        self.outbox.write(exchange.payload, exchange.body)
        return self.response

    def is_usable(self, now: float) -> bool:
        """Return whether another exchange may begin."""
        may_follow = self.is_clean and not self.rejections.is_full
        return (
            may_follow
            and self.exchange is None
            and self.transport is not None
            and not self.transport.is_closing()
            and now < self.usable_until
        )

    def close(self) -> None:
        """Close at once; the server takes this as a cancellation."""
        self.is_clean = False
        self._drop_body()
        self.outbox.clear()
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; close the connection if no exchange expects any."""
        if self.exchange is None:
            self.close()
            return
        self.body.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(BadMessageError(str(error)))
        except httptools.HttpParserUpgrade:
            self._fail(BadMessageError('the server switched protocols'))
        if self.exchange is not None and self.body.has_excess(_MAX_HEAD_BYTES):
            self._fail(BadMessageError('the head of the answer is too long'))

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection."""
        if self.head_read and self.ends_with_connection:
            self.is_clean = False
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange if its response is incomplete."""
        self.is_clean = False
        self.is_lost = True
        if self.on_closed is not None:
            self.on_closed()
        reason = repr(exc) if exc else 'closed by the server'
        self._fail(ExchangeBrokenError(reason))

    def on_message_begin(self) -> None:
        """Start a response; an unexpected one makes the connection unusable."""
        if self.exchange is None:
            self.is_clean = False
        self._reset_response()

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the body ends."""
        self.status = self.parser.get_status_code()
        # The head of the answer itself comes behind an interim response.
        self.head_read = self.status >= _FIRST_FINAL_STATUS
        if self.exchange is None or not self.head_read:
            return
        has_length = find_field(self.fields, b'content-length') is not None
        is_chunked = find_field(self.fields, b'transfer-encoding') is not None
        self.ends_with_connection = not (
            has_length or is_chunked or self.status in _BODYLESS_STATUSES
        )
        if self.exchange.is_head:
            self.is_clean = False
            self._complete()
        elif has_length:
            self.room.reserve(_declared_length(self.fields))

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.exchange is None:
            return
        self.body.add(body)
        if self.body.size > self.exchange.most_bytes:
            self._fail(BadMessageError('the answer is too long'))
        elif not self.room.hold(self.body.size):
            self._fail(BadMessageError('too many bytes are being received'))

    def on_message_complete(self) -> None:
        """Complete the exchange, unless the response is an interim one."""
        if self.exchange is None:
            return
        if self.status < _FIRST_FINAL_STATUS:
            return
        if not self.parser.should_keep_alive():
            self.is_clean = False
        self._complete()

    def _reset_parser(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self._reset_response()

    def _reset_response(self) -> None:
        self._drop_body()
        self.status = 0
        self.reason = b''
        self.fields: Fields = []
        self.head_read = False
        self.ends_with_connection = False

    def _complete(self) -> None:
        exchange, response = self.exchange, self.response
        if exchange is None or response is None:
            return
        if self._is_of_other_request(exchange):
            self.is_clean = False
            return
        if self._is_still_sending():
            self.is_clean = False
        if self.status >= _FIRST_STATUS_WITHOUT_ID:
            received_id = find_field(self.fields, exchange.id_field)
            self.rejections.has_unnamed |= received_id is None
        self.exchange = None
        self.response = None
        self.last_used_at = self.loop.time()
        complete = Response(
            self.status, self.reason, self.fields, self.body.take_all()
        )
        self.room.release()
        if not response.done():
            response.set_result(complete)

    def _drop_body(self) -> None:
        self.body.drop_body()
        self.room.release()

    def _is_still_sending(self) -> bool:
        return self.transport is None or self.outbox.unsent_bytes > 0

    def _is_of_other_request(self, exchange: Exchange) -> bool:
        received_id = find_field(self.fields, exchange.id_field)
        if received_id is None and self.status >= _FIRST_STATUS_WITHOUT_ID:
            return False
        return received_id != exchange.response_id

    def _fail(self, error: ExchangeBrokenError) -> None:
        self.is_clean = False
        response = self.response
        self.exchange = None
        self.response = None
        self._drop_body()
        self.body.clear()
        self.outbox.clear()
        if response is not None and not response.done():
            response.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def _declared_length(fields: Fields) -> int:
    """Return the length that the parser has checked."""
    return int(find_field(fields, b'content-length') or 0)
