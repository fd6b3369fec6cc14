"""Backend servers that count executions and echo the request id."""

__all__ = ('TokenServer', 'token_body')

import asyncio
import random
from collections import Counter
from http import HTTPStatus

from aiohttp import web

from zinniaturn.standins.loopback import LoopbackService

LINES_HEADER = 'Token-Lines'
SECONDS_HEADER = 'Token-Seconds'

_MEDIAN_SERVICE_SECONDS = 0.004
_SERVICE_TIME_SIGMA = 0.6
_MAX_BODY_BYTES = 16_777_216


def token_body(request_id: str, lines: int) -> bytes:
    """Return a body that identifies its request and reveals truncation."""
    return b''.join(
        b'%b %d\n' % (request_id.encode(), line) for line in range(lines)
    )


class TokenServer:
    """
    Runs requests and counts them by request id.

    A response has as many lines as the request's header asks for. It is
    streamed over as many seconds as another header asks for, if present.
    """

    def __init__(
        self,
        executions: Counter[str],
        seed: str,
        median_seconds: float = _MEDIAN_SERVICE_SECONDS,
    ) -> None:
        self.median_seconds = median_seconds
        self.executions = executions
        self.random_source = random.Random(seed)
        self.is_shedding = False
        self.shed_count = 0
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        application.router.add_route('*', '/{path:.*}', self.handle_request)
        self.loopback_service = LoopbackService(application)

    @property
    def port(self) -> int:
        """Return the port."""
        return self.loopback_service.port

    async def start(self) -> None:
        """Start listening."""
        await self.loopback_service.start()

    async def stop(self) -> None:
        """Stop at once."""
        await self.loopback_service.stop()

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Run a request, or reject it while the server sheds load."""
        if self.is_shedding:
            self.shed_count += 1
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers={'Server-Shed': 'not-run'},
            )
        await request.read()
        request_id = request.headers['X-Request-Id']
        self.executions[request_id] += 1
        lines = int(request.headers.get(LINES_HEADER, '1'))
        seconds = float(request.headers.get(SECONDS_HEADER, '0'))
        body = token_body(request_id, lines)
        if seconds:
            return await self._stream(request, body, seconds)
        service_seconds = (
            self.median_seconds
            * self.random_source.lognormvariate(0, _SERVICE_TIME_SIGMA)
        )
        await asyncio.sleep(service_seconds)
        return web.Response(body=body, headers=_echoed_headers(request))

    async def _stream(
        self,
        request: web.Request,
        body: bytes,
        seconds: float,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=_echoed_headers(request))
        response.enable_chunked_encoding()
        await response.prepare(request)
        lines = body.splitlines(keepends=True)
        for line in lines:
            await response.write(line)
            await asyncio.sleep(seconds / len(lines))
        await response.write_eof()
        return response


def _echoed_headers(request: web.Request) -> dict[str, str]:
    return {'X-Request-Id': request.headers['X-Request-Id']}
