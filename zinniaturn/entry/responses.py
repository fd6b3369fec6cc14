"""Responses to callers: relayed ones and the entry's own rejections."""

__all__ = ('make_rejection', 'relay_response')

import math
import socket
import struct

import msgspec
from aiohttp import web
from aiohttp.http_writer import StreamWriter

from zinniaturn.forwarding import BackendResponse, ExchangeError
from zinniaturn.forwarding.messages import end_to_end_headers
from zinniaturn.outcomes import Outcome, rejection_for

OUTCOME_HEADER = 'Zinniaturn-Outcome'
CODE_HEADER = 'Zinniaturn-Code'
RETRY_AFTER_HEADER = 'Zinniaturn-Retry-After-Ms'

SERVER_NAME = 'zinniaturn'

_MILLISECONDS_PER_SECOND = 1000
_BODYLESS_STATUSES = frozenset((204, 304))
_AIOHTTP_DEFAULT_HEADERS = ('Content-Type', 'Server')
_LINGER_ZERO = struct.pack('ii', 1, 0)


class Problem(msgspec.Struct):
    """A problem document (RFC 9457)."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    outcome: str
    request_id: str


def make_rejection(
    code: str,
    outcome: Outcome,
    detail: str,
    request_id: str,
    retry_after_seconds: float | None = None,
) -> web.Response:
    """Return a rejection with its outcome and code as a problem document."""
    rejection = rejection_for(code)
    problem = Problem(
        type=f'urn:zinniaturn:{code}',
        title=rejection.title,
        status=int(rejection.status),
        detail=detail,
        code=code,
        outcome=outcome.value,
        request_id=request_id,
    )
    headers = {
        OUTCOME_HEADER: outcome.value,
        CODE_HEADER: code,
        'Server': SERVER_NAME,
    }
    if retry_after_seconds is not None:
        headers['Retry-After'] = str(math.ceil(retry_after_seconds))
        headers[RETRY_AFTER_HEADER] = str(
            math.ceil(retry_after_seconds * _MILLISECONDS_PER_SECOND),
        )
    return web.Response(
        status=int(rejection.status),
        headers=headers,
        body=msgspec.json.encode(problem),
        content_type='application/problem+json',
    )


class RelayedResponse(web.StreamResponse):
    """A response with the backend server's headers and no aiohttp defaults."""

    async def _prepare_headers(self) -> None:
        absent = [
            name
            for name in _AIOHTTP_DEFAULT_HEADERS
            if name not in self.headers
        ]
        await super()._prepare_headers()
        for name in absent:
            self.headers.popall(name, None)

    def send_head_with_body(self) -> None:
        """Send the head together with the body."""
        self._send_headers_immediately = False

    async def _write_headers(self) -> None:
        """Write the head; keep header bytes that are not UTF-8 unchanged."""
        writer = self._payload_writer
        is_plain = all(text.isascii() for text in self.headers.values())
        if is_plain or not isinstance(writer, StreamWriter):
            await super()._write_headers()
        else:
            writer._write(self._head().encode('utf-8', 'surrogateescape'))

    def _head(self) -> str:
        request = self._req
        assert request is not None
        version = request.version
        lines = [
            f'HTTP/{version.major}.{version.minor} {self.status} {self.reason}',
        ]
        lines.extend(f'{name}: {text}' for name, text in self.headers.items())
        return '\r\n'.join((*lines, '', ''))


async def relay_response(
    request: web.BaseRequest,
    backend_response: BackendResponse,
) -> web.StreamResponse:
    """
    Stream a backend server's response to the caller as it arrives.

    If the response breaks off, the caller's connection is reset, so that the
    caller cannot take it as complete, and `ExchangeError` is raised.
    """
    response = RelayedResponse(
        status=backend_response.message.code,
        reason=backend_response.message.reason,
        headers=end_to_end_headers(backend_response.message.headers),
    )
    try:
        await _stream(request, response, backend_response)
    except ExchangeError:
        _reset_connection(request)
        raise
    except BaseException:
        backend_response.abandon()
        raise
    return response


async def _stream(
    request: web.BaseRequest,
    response: RelayedResponse,
    backend_response: BackendResponse,
) -> None:
    is_bodyless = (
        request.method == 'HEAD' or response.status in _BODYLESS_STATUSES
    )
    if not backend_response.is_self_delimited:
        response._length_check = False
        response.force_close()
    elif response.content_length is None and not is_bodyless:
        if request.version.minor:
            response.enable_chunked_encoding()
    if backend_response.is_body_received:
        response.send_head_with_body()
        await response.prepare(request)
        await response.write_eof(backend_response.take_body())
        return
    await response.prepare(request)
    async for chunk in backend_response.read_chunks():
        await response.write(chunk)
    await response.write_eof()


def _reset_connection(request: web.BaseRequest) -> None:
    """Reset the connection, which callers do not take as a regular end."""
    transport = request.transport
    if transport is None:
        return
    connection = transport.get_extra_info('socket')
    if connection is not None:
        connection.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _LINGER_ZERO,
        )
    transport.abort()
