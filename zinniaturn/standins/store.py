"""
Test double of the platform's key-value store, kept in memory.

It serves compare-and-swap, leases and watches as JSON over HTTP.
"""

__all__ = ('StoreFaults', 'StoreStandIn')

import asyncio
import itertools
import time
from dataclasses import dataclass, field
from http import HTTPStatus

from aiohttp import web

from zinniaturn.standins.loopback import LoopbackService
from zinniaturn.standins.store_control import StoreControl
from zinniaturn.standins.store_faults import (
    RateLimits,
    StoreFaults,
    error_response,
    faults_middleware,
)

MAX_VALUE_BYTES = 1_048_576
_MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True)
class StoredValue:
    """A key's value and version, and the lease that it is bound to."""

    value: str
    version: int
    lease: str = ''


@dataclass(slots=True)
class StoredLease:
    """A lease's time to live and its expiry in monotonic seconds."""

    ttl_seconds: float
    expires_at: float


@dataclass(slots=True)
class StoreCallCounts:
    """Numbers of calls and bytes of the values read and written."""

    reads: int = 0
    writes: int = 0
    bytes_read: int = 0
    bytes_written: int = 0


@dataclass
class StoreStandIn:
    """The simulated store; `start` it, then use `url`."""

    faults: StoreFaults = field(default_factory=StoreFaults)
    limits: RateLimits = field(default_factory=RateLimits)
    calls: StoreCallCounts = field(default_factory=StoreCallCounts)
    values: dict[str, StoredValue] = field(default_factory=dict)
    leases: dict[str, StoredLease] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Set up the HTTP routes."""
        self.number_sequence = itertools.count(1)
        self.change_event = asyncio.Event()
        application = web.Application(
            client_max_size=MAX_VALUE_BYTES * 2,
            middlewares=[faults_middleware(self.faults, self.limits)],
        )
        router = application.router
        router.add_get('/v1/keys/{key:.+}', self.handle_read)
        router.add_post('/v1/keys/{key:.+}', self.handle_write)
        router.add_delete('/v1/keys/{key:.+}', self.handle_delete)
        router.add_post('/v1/leases', self.handle_grant)
        router.add_post('/v1/leases/{lease}/renew', self.handle_renew)
        router.add_delete('/v1/leases/{lease}', self.handle_release)
        StoreControl(self).add_routes(router)
        self.loopback_service = LoopbackService(application)

    @property
    def url(self) -> str:
        """Return the base URL for clients."""
        return f'http://127.0.0.1:{self.loopback_service.port}'

    async def start(self, port: int = 0) -> None:
        """Start listening on loopback; port 0 takes any free port."""
        await self.loopback_service.start(port)

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        await self.loopback_service.stop()

    async def handle_read(self, request: web.Request) -> web.Response:
        """Return a key's value; with ``after``, wait for another version."""
        self.calls.reads += 1
        key = request.match_info['key']
        after_version = request.query.get('after')
        if after_version is not None:
            wait_seconds = (
                int(request.query['wait_ms']) / _MILLISECONDS_PER_SECOND
            )
            await self._wait_for_change(key, int(after_version), wait_seconds)
        stored = self._read_unexpired(key)
        self.calls.bytes_read += len(stored.value)
        return web.json_response(
            {'value': stored.value, 'version': stored.version},
        )

    async def handle_write(self, request: web.Request) -> web.Response:
        """Write a key if it still has the expected version."""
        self.calls.writes += 1
        key = request.match_info['key']
        body = await request.json()
        size = len(body['value'].encode())
        self.calls.bytes_written += size
        if size > MAX_VALUE_BYTES:
            return error_response(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'over 1 MB'
            )
        lease = body.get('lease', '')
        if lease and not self._is_lease_live(lease):
            return error_response(HTTPStatus.GONE, 'the lease has lapsed')
        stored = self._read_unexpired(key)
        if stored.version != body['expected']:
            return error_response(
                HTTPStatus.CONFLICT,
                f'{key} is at version {stored.version}',
            )
        version = next(self.number_sequence)
        self.values[key] = StoredValue(body['value'], version, lease)
        self.wake_watches()
        return web.json_response({'version': version})

    async def handle_delete(self, request: web.Request) -> web.Response:
        """Delete a key if it still has the expected version."""
        self.calls.writes += 1
        key = request.match_info['key']
        stored = self._read_unexpired(key)
        if stored.version != int(request.query['expected']):
            return error_response(
                HTTPStatus.CONFLICT,
                f'{key} is at version {stored.version}',
            )
        self.values.pop(key, None)
        self.wake_watches()
        return web.json_response({})

    async def handle_grant(self, request: web.Request) -> web.Response:
        """Grant a lease with a fencing token."""
        self.calls.writes += 1
        body = await request.json()
        ttl_seconds = body['ttl_ms'] / _MILLISECONDS_PER_SECOND
        fencing_token = next(self.number_sequence)
        lease = f'lease-{fencing_token}'
        self.leases[lease] = StoredLease(
            ttl_seconds,
            time.monotonic() + ttl_seconds,
        )
        return web.json_response({'lease': lease, 'fencing': fencing_token})

    async def handle_renew(self, request: web.Request) -> web.Response:
        """Renew a lease that has not expired."""
        self.calls.writes += 1
        lease = request.match_info['lease']
        if not self._is_lease_live(lease):
            return error_response(HTTPStatus.GONE, 'the lease has lapsed')
        stored = self.leases[lease]
        stored.expires_at = time.monotonic() + stored.ttl_seconds
        return web.json_response({})

    async def handle_release(self, request: web.Request) -> web.Response:
        """Release a lease."""
        self.calls.writes += 1
        self.leases.pop(request.match_info['lease'], None)
        self.wake_watches()
        return web.json_response({})

    def wake_watches(self) -> None:
        """Wake the watches, which then compare versions again."""
        self.change_event.set()
        self.change_event = asyncio.Event()

    def stored_bytes(self) -> int:
        """Return the size of all keys and values."""
        return sum(
            len(key) + len(stored.value) for key, stored in self.values.items()
        )

    def _read_unexpired(self, key: str) -> StoredValue:
        absent = StoredValue('', 0)
        stored = self.values.get(key, absent)
        if stored.lease and not self._is_lease_live(stored.lease):
            self.values.pop(key)
            return absent
        return stored

    def _is_lease_live(self, lease: str) -> bool:
        stored = self.leases.get(lease)
        return stored is not None and time.monotonic() < stored.expires_at

    async def _wait_for_change(
        self, key: str, after_version: int, wait_seconds: float
    ) -> None:
        try:
            async with asyncio.timeout(wait_seconds):
                while self._read_unexpired(key).version == after_version:
                    await self.change_event.wait()
        except TimeoutError:
            return
