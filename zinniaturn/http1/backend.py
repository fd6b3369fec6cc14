"""
One connection to a backend server, for one exchange at a time.

The parser is httptools'. An answer that names another request is passed over:
it came too late for the exchange before and belongs to nobody here.
"""

__all__ = ('BackendConnection', 'Exchange')

import asyncio
from dataclasses import dataclass

import httptools

from zinniaturn.http1.exceptions import BadMessageError, ExchangeBrokenError
from zinniaturn.http1.messages import Fields, Response, find_field

_FIRST_FINAL_STATUS = 200
_FIRST_REFUSAL_STATUS = 300
_BODYLESS_STATUSES = frozenset((204, 304))
_MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(slots=True)
class Exchange:
    """
    What is sent and what its answer must look like.

    An answer that carries ``id_field`` with another text than ``answer_id``
    belongs to another request; with an ``answer_id``, so does a success
    without the field. A refusal may come without it.
    """

    payload: bytes
    id_field: bytes
    answer_id: bytes | None = None
    is_head: bool = False


class BackendConnection(asyncio.Protocol):
    """
    A connection; `send` starts an exchange and returns its answer to come.

    ``is_clean`` holds while another exchange may follow.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.is_clean = True
        self.last_used_at = loop.time()
        self.usable_until = float('inf')
        self.exchange: Exchange | None = None
        self.answer: asyncio.Future[Response] | None = None
        self._renew_parser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def send(self, exchange: Exchange) -> 'asyncio.Future[Response]':
        """
        Write a request and return its answer to come.

        The future fails with `ExchangeBrokenError`. Cancelling it leaves the
        connection unusable; whoever does so closes it.
        """
        assert self.transport is not None
        self.exchange = exchange
        self.answer = self.loop.create_future()
        self.transport.write(exchange.payload)
        return self.answer

    def is_usable(self, now: float) -> bool:
        """Return whether another exchange may begin."""
        return (
            self.is_clean
            and self.exchange is None
            and self.transport is not None
            and not self.transport.is_closing()
            and now < self.usable_until
        )

    def close(self) -> None:
        """Close at once; the server takes this as a cancellation."""
        self.is_clean = False
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; those that no request asked for end the connection."""
        if self.exchange is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(BadMessageError(str(error)))
        except httptools.HttpParserUpgrade:
            self._fail(BadMessageError('the server switched protocols'))

    def eof_received(self) -> bool:
        """Take the end of the bytes as the end of a body without length."""
        if self.head_read and self.ends_with_connection:
            self.is_clean = False
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that has no whole answer."""
        self.is_clean = False
        reason = repr(exc) if exc else 'closed by the server'
        self._fail(ExchangeBrokenError(reason))

    def on_message_begin(self) -> None:
        """Start an answer; one behind the expected one spoils the rest."""
        if self.exchange is None:
            self.is_clean = False
        self._forget_answer()

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field."""
        self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        self.head_read = True
        self.status = self.parser.get_status_code()
        if self.exchange is None:
            return
        has_length = find_field(self.fields, b'content-length') is not None
        is_chunked = find_field(self.fields, b'transfer-encoding') is not None
        self.ends_with_connection = not (
            has_length or is_chunked or self.status in _BODYLESS_STATUSES
        )
        if self.exchange.is_head and self.status >= _FIRST_FINAL_STATUS:
            self.is_clean = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self.pieces.append(body)
        self.body_bytes += len(body)
        if self.body_bytes > _MAX_ANSWER_BYTES:
            self._fail(BadMessageError('the answer is too long'))

    def on_message_complete(self) -> None:
        """Hand the answer over, unless it is a preliminary one."""
        if self.exchange is None:
            return
        if self.status < _FIRST_FINAL_STATUS:
            return
        if not self.parser.should_keep_alive():
            self.is_clean = False
        self._complete()

    def _renew_parser(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self._forget_answer()

    def _forget_answer(self) -> None:
        self.status = 0
        self.reason = b''
        self.fields: Fields = []
        self.pieces: list[bytes] = []
        self.body_bytes = 0
        self.head_read = False
        self.ends_with_connection = False

    def _complete(self) -> None:
        exchange, answer = self.exchange, self.answer
        if exchange is None or answer is None:
            return
        if self._is_foreign(exchange):
            self.is_clean = False
            return
        if self._is_still_sending():
            self.is_clean = False
        self.exchange = None
        self.answer = None
        self.last_used_at = self.loop.time()
        if not answer.done():
            answer.set_result(
                Response(
                    self.status,
                    self.reason,
                    self.fields,
                    b''.join(self.pieces),
                ),
            )

    def _is_still_sending(self) -> bool:
        transport = self.transport
        return transport is None or transport.get_write_buffer_size() > 0

    def _is_foreign(self, exchange: Exchange) -> bool:
        named = find_field(self.fields, exchange.id_field)
        if named is None and self.status >= _FIRST_REFUSAL_STATUS:
            return False
        return named != exchange.answer_id

    def _fail(self, error: ExchangeBrokenError) -> None:
        self.is_clean = False
        answer = self.answer
        self.exchange = None
        self.answer = None
        if answer is not None and not answer.done():
            answer.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
