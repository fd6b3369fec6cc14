"""
The server side of HTTP/1.1 connections from callers.

It extends aiohttp's protocol. A request that cannot be parsed is answered by a
problem document with a code, like any other rejection.
"""

__all__ = ('CallerProtocol', 'CallerServer')

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, cast

from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.http_parser import RawRequestMessage
from aiohttp.web import (
    BaseRequest,
    RequestHandler,
    RequestPayloadError,
    Server,
    StreamResponse,
)

from zinniaturn.entry.caller_connections import CallerConnections
from zinniaturn.entry.responses import make_rejection
from zinniaturn.events import LogEvent, log_event
from zinniaturn.limits import TransferProgress, TransferStep
from zinniaturn.outcomes import Outcome
from zinniaturn.sockets import unread_bytes

_TOO_MANY_HEADERS_MESSAGE = 'Too many headers'
_TOO_MANY_CONNECTIONS_RESPONSE = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Content-Length: 0\r\n'
    b'Retry-After: 1\r\n'
    b'Zinniaturn-Outcome: not-run\r\n'
    b'Zinniaturn-Code: too-many-connections\r\n'
    b'Connection: close\r\n\r\n'
)

OutcomeObserver = Callable[[Outcome], None]


class CallerServer(Server):
    """
    Creates the protocol of each connection.

    ``on_failure`` is called with the outcome of each request that failed
    before a handler answered it.
    """

    on_failure: OutcomeObserver
    callers: CallerConnections

    def protocols(self) -> list['CallerProtocol']:
        """Return the open connections."""
        return [
            connection
            for connection in self.connections
            if isinstance(connection, CallerProtocol)
        ]

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerProtocol(self, loop=self._loop, **self._kwargs)


class CallerProtocol(RequestHandler):
    """One caller's connection."""

    def __init__(self, *args: Any, **fields: Any) -> None:
        super().__init__(*args, **fields)
        self.progress = TransferProgress()
        self.caller: str | None = None
        self.received_bytes = 0
        self.has_partial_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or reject it and close it at once."""
        peer = transport.get_extra_info('peername')
        caller = str(peer[0]) if peer else ''
        if self._callers().admit(self, caller):
            self.caller = caller
            super().connection_made(transport)
            return
        endpoint = cast(asyncio.Transport, transport)
        endpoint.write(_TOO_MANY_CONNECTIONS_RESPONSE)
        endpoint.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release an admitted connection."""
        if self.caller is not None:
            self._callers().release(self, self.caller)
            super().connection_lost(exc)

    def eof_received(self) -> None:
        """Handle the end of the caller's data on an admitted connection."""
        if self.caller is not None:
            super().eof_received()

    def close_if_idle(self) -> None:
        """Close the connection unless it has a whole or partial request."""
        transport = self.transport
        is_waiting = self._waiter is not None and not self._waiter.done()
        if not is_waiting or self._messages or self.has_partial_head:
            return
        if transport is not None and unread_bytes(transport):
            return
        self.force_close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def pending_step(self) -> tuple[TransferStep, int]:
        """Return the step in progress and the bytes transferred in it."""
        request = self._current_request
        transport = self.transport
        if request is None or transport is None:
            step = (
                TransferStep.HEAD
                if self.has_partial_head
                else TransferStep.NOTHING
            )
            return step, 0
        unsent = transport.get_write_buffer_size()
        if unsent:
            return TransferStep.READER, request.writer.output_size - unsent
        if not request.content.is_eof() and not self._reading_paused:
            return TransferStep.BODY, self.received_bytes
        return TransferStep.NOTHING, 0

    def _callers(self) -> CallerConnections:
        manager = self._manager
        assert manager is not None
        return manager.callers  # type: ignore[attr-defined,no-any-return]

    def data_received(self, data: bytes) -> None:
        """Parse data; fail the readers of a malformed body."""
        if self.caller is None:
            return
        self.received_bytes += len(data)
        super().data_received(data)
        if data:
            is_head = not (self._messages or self._current_request)
            self.has_partial_head = is_head
        if self._messages:
            message, _ = self._messages[-1]
            if not isinstance(message, RawRequestMessage):
                self._fail_unfinished_bodies(message.message)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Return a rejection that closes the connection."""
        if request.writer.output_size or _is_closed(request):
            raise ConnectionError('no answer can be sent any more')
        if isinstance(exc, HttpProcessingError):
            code, outcome = _parse_error_code(exc), Outcome.NOT_RUN
        else:
            code, outcome = 'internal', Outcome.UNKNOWN
            log_event(LogEvent.REQUEST_FAILED, reason=repr(exc))
        if self._manager is not None:
            self._manager.on_failure(outcome)  # type: ignore[attr-defined]
        rejection = make_rejection(code, outcome, _detail(exc), '')
        rejection.force_close()
        return rejection

    def log_exception(self, *args: object, **fields: object) -> None:
        """Log an unhandled exception, except for a body that broke off."""
        error = fields.get('exc_info')
        if not isinstance(error, RequestPayloadError):
            log_event(LogEvent.REQUEST_FAILED, reason=repr(error))

    def _fail_unfinished_bodies(self, reason: str) -> None:
        payloads = [payload for _, payload in self._messages]
        if self._current_request is not None:
            payloads.append(self._current_request.content)
        for payload in payloads:
            if not payload.is_eof():
                payload.set_exception(RequestPayloadError(reason))


def _is_closed(request: BaseRequest) -> bool:
    return request.transport is None or request.transport.is_closing()


def _parse_error_code(error: HttpProcessingError) -> str:
    if (
        isinstance(error, LineTooLong)
        or _TOO_MANY_HEADERS_MESSAGE in error.message
    ):
        return 'head-too-large'
    return 'bad-request'


def _detail(error: BaseException | None) -> str:
    if isinstance(error, HttpProcessingError):
        return ascii(error.message)[1:-1]
    return 'the entry failed; its log has the reason'
