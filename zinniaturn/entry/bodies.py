"""Request bodies, read from callers only when a server accepts them."""

__all__ = ('RequestBody',)

from collections.abc import AsyncIterator

from aiohttp.web import BaseRequest, RequestPayloadError

from zinniaturn.entry.exceptions import BrokenBodyError

_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
_CONTINUE_EXPECTATION = '100-continue'


def expects_continue(request: BaseRequest) -> bool:
    """Return whether the caller waits for ``100 Continue``."""
    expectation = request.headers.get('Expect', '').strip().lower()
    return expectation == _CONTINUE_EXPECTATION and request.version.minor > 0


class RequestBody:
    """
    The stream of a request's body.

    A caller that sent ``Expect: 100-continue`` gets ``100 Continue`` at the
    first read. ``is_started`` is true from then on, and the body cannot be
    sent to another server any more.
    """

    def __init__(self, request: BaseRequest) -> None:
        self.request = request
        self.is_started = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the chunks; raises `BrokenBodyError` for a malformed body."""
        self.is_started = True
        self._send_continue()
        try:
            async for chunk in self.request.content.iter_any():
                yield chunk
        except RequestPayloadError as error:
            raise BrokenBodyError(f'the body is malformed: {error}') from error

    def _send_continue(self) -> None:
        transport = self.request.transport
        if transport is not None and expects_continue(self.request):
            transport.write(_CONTINUE_RESPONSE)
