"""
Test double of a backend server with slots, a queue and injectable faults.

A service time is drawn from a seeded distribution unless the request states
one. Every execution is counted by request id, so that a test can tell whether
a request ran twice.
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
    NoisyNeighbour,
    ServiceTime,
)
from zinniaturn.standins.loopback import LoopbackService

SERVICE_TIME_HEADER = 'Standin-Service-Ms'
LEAVING_HEADER = 'Server-Leaving'
SHED_HEADER = 'Server-Shed'

_DEADLINE_HEADER = 'Zinniaturn-Deadline-Ms'
_MILLISECONDS_PER_SECOND = 1000


@dataclass
class BackendStandIn:
    """
    A simulated backend server; `start` it, then send requests to `port`.

    ``delay_seconds`` is the simulated one-way network delay. The first request
    on a connection waits ``connect_seconds`` more, for the handshake.
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
        """Set up the counters, the random source and the HTTP routes."""
        self.random_source = random.Random(f'{self.seed}/{self.name}')
        self.slot_semaphore = asyncio.Semaphore(self.slots)
        self.busy = 0
        self.queued = 0
        self.load_history = LoadHistory()
        self.seen_transports: WeakSet[object] = WeakSet()
        self.started_at = time.monotonic()
        self.noisy_neighbour: NoisyNeighbour | None = None
        application = web.Application()
        application.router.add_get('/_load', self.handle_load)
        application.router.add_get('/_health', self.handle_health)
        application.router.add_route('*', '/{path:.*}', self.handle_request)
        self.loopback_service = LoopbackService(application)

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self.loopback_service.port

    @property
    def executions(self) -> Counter[str]:
        """Return the number of executions by request id."""
        return self.counts.executions

    @property
    def cancelled(self) -> Counter[str]:
        """Return the number of cancelled executions by request id."""
        return self.counts.cancelled

    async def start(self, port: int = 0) -> None:
        """Start listening on loopback; port 0 takes any free port."""
        self.started_at = time.monotonic()
        await self.loopback_service.start(port)

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        await self.loopback_service.stop()

    def apply_faults(self, faults: BackendFaults) -> None:
        """Replace the faults; a cold start, if one is set, begins now."""
        self.faults = faults
        self.started_at = time.monotonic()
        self.noisy_neighbour = None
        if faults.noise_share:
            noise_seed = f'{self.seed}/{self.name}/noise'
            self.noisy_neighbour = NoisyNeighbour(
                faults.noise_share,
                random.Random(noise_seed),
            )

    def load_headers(self) -> dict[str, str]:
        """Return the headers that carry the current load and draining state."""
        headers = {'Server-Load': self._load_report()}
        if self.faults.draining:
            headers[LEAVING_HEADER] = 'true'
        return headers

    async def handle_load(self, request: web.Request) -> web.Response:
        """Return the load as it was ``lag_seconds`` ago."""
        now = time.monotonic()
        self.counts.measuring.add(now)
        headers = self.load_headers()
        if self.faults.lag_seconds:
            reported_at = now - self.faults.lag_seconds
            headers['Server-Load'] = self.load_history.load_at(
                reported_at, self._load_report()
            )
        return web.Response(headers=headers)

    async def handle_health(self, request: web.Request) -> web.Response:
        """Return the health; draining shows only after ``lag_seconds``."""
        age_seconds = time.monotonic() - self.started_at
        if self.faults.draining and age_seconds >= self.faults.lag_seconds:
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                text='draining',
            )
        return web.Response(text='ok')

    async def handle_request(self, request: web.Request) -> web.Response:
        """Apply the faults, then run the request once a slot is free."""
        if self.faults.is_lost:
            _reset_connection(request)
        if self.faults.fail_fast:
            self.counts.failed += 1
            return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)
        await self._simulate_network_delay(request)
        if self.faults.shed or self.queued >= self.queue_limit:
            return self._shed_request()
        body_bytes = await _read_body_size(request)
        response = await self.run_queued(request, body_bytes)
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        return response

    async def run_queued(
        self,
        request: web.Request,
        body_bytes: int,
    ) -> web.Response:
        """Wait for a slot, then run the request unless its deadline passed."""
        deadline = time.monotonic() + _deadline_seconds(request)
        self.queued += 1
        self._record_load()
        try:
            await self.slot_semaphore.acquire()
        finally:
            self.queued -= 1
        try:
            if time.monotonic() >= deadline:
                return self._shed_request()
            return await self._execute(request, body_bytes)
        finally:
            self.slot_semaphore.release()

    def _load_report(self) -> str:
        return f'busy={self.busy}, queued={self.queued}, slots={self.slots}'

    def _record_load(self) -> None:
        lag_seconds = self.faults.lag_seconds
        if lag_seconds:
            self.load_history.add(
                time.monotonic(), self._load_report(), lag_seconds
            )

    def _shed_request(self) -> web.Response:
        self.counts.shed += 1
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            headers={SHED_HEADER: 'not-run', **self.load_headers()},
        )

    async def _simulate_network_delay(self, request: web.Request) -> None:
        seconds = self.delay_seconds
        if request.transport not in self.seen_transports:
            self.seen_transports.add(request.transport)
            seconds += self.connect_seconds
        if seconds:
            await asyncio.sleep(seconds)

    async def _execute(
        self,
        request: web.Request,
        body_bytes: int,
    ) -> web.Response:
        request_id = request.headers.get('X-Request-Id', '')
        self.busy += 1
        self._record_load()
        self.executions[request_id] += 1
        try:
            await asyncio.sleep(self._service_seconds(request))
        except asyncio.CancelledError:
            self.cancelled[request_id] += 1
            raise
        finally:
            self.busy -= 1
            self._record_load()
        return web.json_response(
            {
                'server': self.name,
                'request_id': request_id,
                'body_bytes': body_bytes,
            },
            headers=self.load_headers(),
        )

    def _service_seconds(self, request: web.Request) -> float:
        requested_ms = request.headers.get(SERVICE_TIME_HEADER)
        if requested_ms is None:
            seconds = self.service_time.draw(self.random_source)
        else:
            seconds = float(requested_ms) / _MILLISECONDS_PER_SECOND
        seconds *= self.faults.slowdown
        age_seconds = time.monotonic() - self.started_at
        if age_seconds < self.faults.cold_seconds:
            cold_share = 1 - age_seconds / self.faults.cold_seconds
            seconds *= 1 + (self.faults.cold_slowdown - 1) * cold_share
        if self.noisy_neighbour is not None:
            return self.noisy_neighbour.elapsed_seconds(age_seconds, seconds)
        return seconds


def _reset_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def _deadline_seconds(request: web.Request) -> float:
    text = request.headers.get(_DEADLINE_HEADER, '')
    return (
        int(text) / _MILLISECONDS_PER_SECOND
        if text.isdecimal()
        else float('inf')
    )


async def _read_body_size(request: web.Request) -> int:
    """Read the whole body without storing it and return its size."""
    chunk_sizes = [len(chunk) async for chunk in request.content.iter_any()]
    return sum(chunk_sizes)
