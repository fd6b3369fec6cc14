"""
A stand-in of a backend server.

It has slots and a queue, draws its service times from a seed, or takes them
from the request, and counts every execution by request id.
"""

__all__ = (
    'BackendFaults',
    'BackendStandIn',
    'ServiceTime',
)

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from weakref import WeakSet

from aiohttp import web

from zinniaturn.standins.backend_counts import BackendCounts, LoadHistory
from zinniaturn.standins.backend_faults import (
    BackendFaults,
    NeighbourNoise,
    ServiceTime,
)
from zinniaturn.standins.listening import Listening

SERVICE_TIME_HEADER = 'Standin-Service-Ms'
LEAVING_HEADER = 'Server-Leaving'
SHED_HEADER = 'Server-Shed'

_DEADLINE_HEADER = 'Zinniaturn-Deadline-Ms'
_MILLISECONDS = 1000


@dataclass
class BackendStandIn:
    """
    A backend server; `start` it, then send requests to `port`.

    ``delay_seconds`` is the network's one-way delay and ``connect_seconds``
    what the first request on a connection waits besides.
    """

    name: str
    slots: int = 4
    queue_limit: int = 200
    service_time: ServiceTime = field(default_factory=ServiceTime)
    seed: int = 0
    faults: BackendFaults = field(default_factory=BackendFaults)
    delay_seconds: float = 0
    connect_seconds: float = 0
    counts: BackendCounts = field(default_factory=BackendCounts)

    def __post_init__(self) -> None:
        """Prepare the application."""
        self.source = random.Random(f'{self.seed}/{self.name}')
        self.free = asyncio.Semaphore(self.slots)
        self.busy = 0
        self.queued = 0
        self.history = LoadHistory()
        self.connections: WeakSet[object] = WeakSet()
        self.started_at = time.monotonic()
        self.noise: NeighbourNoise | None = None
        application = web.Application()
        application.router.add_get('/_load', self.answer_load)
        application.router.add_get('/_health', self.answer_health)
        application.router.add_route('*', '/{path:.*}', self.answer)
        self.listening = Listening(application)

    @property
    def port(self) -> int:
        """Return the port."""
        return self.listening.port

    @property
    def executions(self) -> Counter[str]:
        """Return the executions by request id."""
        return self.counts.executions

    @property
    def cancelled(self) -> Counter[str]:
        """Return the executions that were cancelled, by request id."""
        return self.counts.cancelled

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.started_at = time.monotonic()
        await self.listening.start(port)

    async def stop(self) -> None:
        """Stop at once."""
        await self.listening.stop()

    def apply(self, faults: BackendFaults) -> None:
        """Put faults into force; a cold start begins now."""
        self.faults = faults
        self.started_at = time.monotonic()
        self.noise = None
        if faults.noise_share:
            seed = f'{self.seed}/{self.name}/noise'
            self.noise = NeighbourNoise(
                faults.noise_share,
                random.Random(seed),
            )

    def load_header(self) -> dict[str, str]:
        """Return the headers of every answer at this instant."""
        headers = {'Server-Load': self._figures()}
        if self.faults.draining:
            headers[LEAVING_HEADER] = 'true'
        return headers

    async def answer_load(self, request: web.Request) -> web.Response:
        """Answer with the load, as old as the faults say."""
        now = time.monotonic()
        self.counts.measuring.add(now)
        headers = self.load_header()
        if self.faults.lag_seconds:
            moment = now - self.faults.lag_seconds
            headers['Server-Load'] = self.history.at(moment, self._figures())
        return web.Response(headers=headers)

    async def answer_health(self, request: web.Request) -> web.Response:
        """Answer whether the server is well, as old as the faults say."""
        age = time.monotonic() - self.started_at
        if self.faults.draining and age >= self.faults.lag_seconds:
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                text='draining',
            )
        return web.Response(text='ok')

    async def answer(self, request: web.Request) -> web.Response:
        """Run a request once a slot is free."""
        if self.faults.is_lost:
            _abort(request)
        if self.faults.fail_fast:
            self.counts.failed += 1
            return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)
        await self._travel(request)
        if self.faults.shed or self.queued >= self.queue_limit:
            return self._shed()
        body_bytes = await _count_body(request)
        response = await self.run_queued(request, body_bytes)
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        return response

    async def run_queued(
        self,
        request: web.Request,
        body_bytes: int,
    ) -> web.Response:
        """Wait for a slot and run the request there."""
        due_at = time.monotonic() + _deadline_seconds(request)
        self.queued += 1
        self._note()
        try:
            await self.free.acquire()
        finally:
            self.queued -= 1
        try:
            if time.monotonic() >= due_at:
                return self._shed()
            return await self._run(request, body_bytes)
        finally:
            self.free.release()

    def _figures(self) -> str:
        return f'busy={self.busy}, queued={self.queued}, slots={self.slots}'

    def _note(self) -> None:
        lag = self.faults.lag_seconds
        if lag:
            self.history.add(time.monotonic(), self._figures(), lag)

    def _shed(self) -> web.Response:
        self.counts.shed += 1
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            headers={SHED_HEADER: 'not-run', **self.load_header()},
        )

    async def _travel(self, request: web.Request) -> None:
        seconds = self.delay_seconds
        if request.transport not in self.connections:
            self.connections.add(request.transport)
            seconds += self.connect_seconds
        if seconds:
            await asyncio.sleep(seconds)

    async def _run(
        self,
        request: web.Request,
        body_bytes: int,
    ) -> web.Response:
        request_id = request.headers.get('X-Request-Id', '')
        self.busy += 1
        self._note()
        self.executions[request_id] += 1
        try:
            await asyncio.sleep(self._seconds(request))
        except asyncio.CancelledError:
            self.cancelled[request_id] += 1
            raise
        finally:
            self.busy -= 1
            self._note()
        return web.json_response(
            {
                'server': self.name,
                'request_id': request_id,
                'body_bytes': body_bytes,
            },
            headers=self.load_header(),
        )

    def _seconds(self, request: web.Request) -> float:
        stated = request.headers.get(SERVICE_TIME_HEADER)
        if stated is None:
            seconds = self.service_time.draw(self.source)
        else:
            seconds = float(stated) / _MILLISECONDS
        seconds *= self.faults.slowdown
        age = time.monotonic() - self.started_at
        if age < self.faults.cold_seconds:
            left = 1 - age / self.faults.cold_seconds
            seconds *= 1 + (self.faults.cold_slowdown - 1) * left
        if self.noise is not None:
            return self.noise.stretch(age, seconds)
        return seconds


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def _deadline_seconds(request: web.Request) -> float:
    text = request.headers.get(_DEADLINE_HEADER, '')
    return int(text) / _MILLISECONDS if text.isdecimal() else float('inf')


async def _count_body(request: web.Request) -> int:
    """Read a body of any size, keeping none of it."""
    sizes = [len(chunk) async for chunk in request.content.iter_any()]
    return sum(sizes)
