"""
Faults and rate limits of the simulated store.

Callers state their names in a header, so that a fault can cut off single ones.
"""

__all__ = ('CALLER_HEADER', 'RateLimit', 'StoreFaults', 'faults_middleware')

import asyncio
import time
from dataclasses import dataclass, field
from http import HTTPStatus

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

CALLER_HEADER = 'X-Store-Caller'
CONTROL_PREFIX = '/control/'

READS_PER_SECOND = 2000.0
WRITES_PER_SECOND = 300.0


@dataclass(slots=True)
class StoreFaults:
    """
    Faults of the store that are active now.

    ``lost_replies`` is the number of coming writes that take effect but whose
    reply is lost. ``cut_off`` has the names of the callers that get no reply.
    """

    is_out: bool = False
    lose_write_replies: bool = False
    lost_replies: int = 0
    latency_seconds: float = 0
    cut_off: set[str] = field(default_factory=set)

    def should_drop_reply(self) -> bool:
        """Return whether to drop this reply; use up one of ``lost_replies``."""
        if self.lost_replies:
            self.lost_replies -= 1
            return True
        return self.lose_write_replies


@dataclass(slots=True)
class RateLimit:
    """Token bucket with a capacity of one second's calls."""

    per_second: float
    tokens: float = 0
    refilled_at: float = 0

    def admit(self, now: float) -> bool:
        """Take a token, if there is one, at ``now`` in monotonic seconds."""
        refill = (now - self.refilled_at) * self.per_second
        self.tokens = min(self.per_second, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class RateLimits:
    """Rate limits of reads, including watches, and of writes."""

    reads: RateLimit = field(
        default_factory=lambda: RateLimit(READS_PER_SECOND),
    )
    writes: RateLimit = field(
        default_factory=lambda: RateLimit(WRITES_PER_SECOND),
    )

    def admit(self, is_read: bool) -> bool:
        """Take a token of the call's limit, if there is one."""
        limit = self.reads if is_read else self.writes
        return limit.admit(time.monotonic())


def faults_middleware(faults: StoreFaults, limits: RateLimits) -> Middleware:
    """Return a middleware that applies the faults to all but control calls."""

    @web.middleware
    async def apply_faults(
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        if request.path.startswith(CONTROL_PREFIX):
            return await handler(request)
        is_read = request.method == 'GET'
        caller = request.headers.get(CALLER_HEADER, '')
        if faults.latency_seconds:
            await asyncio.sleep(faults.latency_seconds)
        if caller in faults.cut_off:
            return _drop_connection(request)
        if faults.is_out:
            return error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, 'the store is out'
            )
        if not limits.admit(is_read):
            return error_response(
                HTTPStatus.TOO_MANY_REQUESTS, 'over the rate limit'
            )
        response = await handler(request)
        return _apply_reply_faults(request, response, faults)

    return apply_faults


def error_response(status: HTTPStatus, reason: str) -> web.Response:
    """Return an error response of the store."""
    return web.json_response({'error': reason}, status=int(status))


def _apply_reply_faults(
    request: web.Request,
    response: web.StreamResponse,
    faults: StoreFaults,
) -> web.StreamResponse:
    if faults.is_out:
        return error_response(
            HTTPStatus.SERVICE_UNAVAILABLE, 'the store is out'
        )
    if request.headers.get(CALLER_HEADER, '') in faults.cut_off:
        return _drop_connection(request)
    if request.method != 'GET' and faults.should_drop_reply():
        return _drop_connection(request)
    return response


def _drop_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
