"""
A stand-in of a backend server.

It has slots and a queue, draws its service times from a seed and counts every
execution by request id.
"""

__all__ = ('BackendFaults', 'BackendStandIn', 'ServiceTime')

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

from aiohttp import web

from zinniaturn.standins.listening import Listening


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Service times: lognormal around a median in seconds."""

    median_seconds: float = 0.005
    sigma: float = 0.5

    def draw(self, source: random.Random) -> float:
        """Return one service time in seconds."""
        return self.median_seconds * source.lognormvariate(0, self.sigma)


@dataclass(slots=True)
class BackendFaults:
    """
    What is wrong with the server at the moment.

    ``slowdown`` multiplies service times.
    """

    slowdown: float = 1
    fail_fast: bool = False
    shed: bool = False


@dataclass
class BackendStandIn:
    """A backend server; `start` it, then send requests to `port`."""

    name: str
    slots: int = 4
    queue_limit: int = 200
    service_time: ServiceTime = field(default_factory=ServiceTime)
    seed: int = 0
    faults: BackendFaults = field(default_factory=BackendFaults)
    executions: Counter[str] = field(default_factory=Counter)
    cancelled: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Prepare the application."""
        self.source = random.Random(f'{self.seed}/{self.name}')
        self.free = asyncio.Semaphore(self.slots)
        self.busy = 0
        self.queued = 0
        application = web.Application()
        application.router.add_get('/_load', self.answer_load)
        application.router.add_get('/_health', self.answer_health)
        application.router.add_route('*', '/{path:.*}', self.answer)
        self.listening = Listening(application)

    @property
    def port(self) -> int:
        """Return the port."""
        return self.listening.port

    async def start(self, port: int = 0) -> None:
        """Listen."""
        await self.listening.start(port)

    async def stop(self) -> None:
        """Stop at once."""
        await self.listening.stop()

    def load_header(self) -> dict[str, str]:
        """Return the header with the load at this instant."""
        figures = f'busy={self.busy}, queued={self.queued}, slots={self.slots}'
        return {'Server-Load': figures}

    async def answer_load(self, request: web.Request) -> web.Response:
        """Answer with the load."""
        return web.Response(headers=self.load_header())

    async def answer_health(self, request: web.Request) -> web.Response:
        """Answer that the server is well."""
        return web.Response(text='ok')

    async def answer(self, request: web.Request) -> web.Response:
        """Run a request once a slot is free."""
        if self.faults.fail_fast:
            return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)
        if self.faults.shed or self.queued >= self.queue_limit:
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers={'Server-Shed': 'not-run', **self.load_header()},
            )
        request_id = request.headers.get('X-Request-Id', '')
        body = await request.read()
        self.queued += 1
        try:
            await self.free.acquire()
        finally:
            self.queued -= 1
        try:
            return await self._run(request_id, body)
        finally:
            self.free.release()

    async def _run(self, request_id: str, body: bytes) -> web.Response:
        self.busy += 1
        self.executions[request_id] += 1
        try:
            seconds = self.service_time.draw(self.source)
            await asyncio.sleep(seconds * self.faults.slowdown)
        except asyncio.CancelledError:
            self.cancelled[request_id] += 1
            raise
        finally:
            self.busy -= 1
        return web.json_response(
            {
                'server': self.name,
                'request_id': request_id,
                'body_bytes': len(body),
            },
            headers=self.load_header(),
        )
