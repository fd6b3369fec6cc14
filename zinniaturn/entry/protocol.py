"""
The server side of HTTP/1.1 connections from callers.

The protocol is aiohttp's. What it cannot parse is answered by a problem
document with a code, as any other refusal.
"""

__all__ = ('CallerProtocol', 'CallerServer')

from collections.abc import Callable
from http import HTTPStatus

from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.http_parser import RawRequestMessage
from aiohttp.web import (
    BaseRequest,
    RequestHandler,
    RequestPayloadError,
    Server,
    StreamResponse,
)

from zinniaturn.entry.answers import make_refusal
from zinniaturn.events import LogEvent, log_event
from zinniaturn.outcomes import Outcome

_TOO_MANY = 'Too many headers'

Observer = Callable[[Outcome], None]


class CallerServer(Server):
    """
    Makes a protocol for each connection.

    ``on_failure`` is told the outcome of each request that no handler
    answered.
    """

    on_failure: Observer

    def callers(self) -> list['CallerProtocol']:
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

    is_head_begun = False

    def close_if_idle(self) -> None:
        """Close the connection unless a request is on it, or a part of one."""
        is_waiting = self._waiter is not None and not self._waiter.done()
        if is_waiting and not self._messages and not self.is_head_begun:
            self.force_close()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; a malformed body is made known to its reader."""
        count = self._request_count
        super().data_received(data)
        if self._waiter is not None:
            self.is_head_begun = count == self._request_count
        if self._messages:
            message, _ = self._messages[-1]
            if not isinstance(message, RawRequestMessage):
                self._break_bodies(message.message)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Return the refusal, which closes the connection."""
        if request.writer.output_size or _is_closed(request):
            raise ConnectionError('no answer can be sent any more')
        if isinstance(exc, HttpProcessingError):
            code, outcome = _parse_failure(exc), Outcome.NOT_RUN
        else:
            code, outcome = 'internal', Outcome.UNKNOWN
            log_event(LogEvent.REQUEST_FAILED, reason=repr(exc))
        if self._manager is not None:
            self._manager.on_failure(outcome)  # type: ignore[attr-defined]
        refusal = make_refusal(code, outcome, _detail(exc), '')
        refusal.force_close()
        return refusal

    def log_exception(self, *args: object, **fields: object) -> None:
        """Log what no handler caught, but for a body that broke off."""
        error = fields.get('exc_info')
        if not isinstance(error, RequestPayloadError):
            log_event(LogEvent.REQUEST_FAILED, reason=repr(error))

    def _break_bodies(self, reason: str) -> None:
        payloads = [payload for _, payload in self._messages]
        if self._current_request is not None:
            payloads.append(self._current_request.content)
        for payload in payloads:
            if not payload.is_eof():
                payload.set_exception(RequestPayloadError(reason))


def _is_closed(request: BaseRequest) -> bool:
    return request.transport is None or request.transport.is_closing()


def _parse_failure(error: HttpProcessingError) -> str:
    if isinstance(error, LineTooLong) or _TOO_MANY in error.message:
        return 'head-too-large'
    return 'bad-request'


def _detail(error: BaseException | None) -> str:
    if isinstance(error, HttpProcessingError):
        return ascii(error.message)[1:-1]
    return 'the entry failed; its log has the reason'
