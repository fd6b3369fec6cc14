"""Generates the demo's load from callers that retry failed requests."""

__all__ = ('DemoLoad',)

import asyncio
import random
import time
from collections import Counter
from http import HTTPStatus

import msgspec
from hdrh.histogram import HdrHistogram

from zinniaturn.caller import Caller, CallerError, CallerResponse

_MAX_LATENCY_MICROSECONDS = 60_000_000
_MICROSECONDS_PER_SECOND = 1_000_000
_SIGNIFICANT_DIGITS = 3
_MAX_BACKOFF_SECONDS = 0.05
_MAX_ATTEMPTS = 20
_READ_SHARE = 0.7


class DemoLoad:
    """Generates an open-loop load of reads and postings over all entries."""

    def __init__(self, caller: Caller, seed: int) -> None:
        self.caller = caller
        self.random_source = random.Random(seed)
        self.backoff_source = random.Random(f'{seed}/pauses')
        self.histogram = HdrHistogram(
            1, _MAX_LATENCY_MICROSECONDS, _SIGNIFICANT_DIGITS
        )
        self.requests = 0
        self.answered = 0
        self.outcomes: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.read_ids: set[str] = set()

    async def run(self, seconds: float, rate: float) -> None:
        """Send ``rate`` requests per second for ``seconds``; await them all."""
        started = time.monotonic()
        due = started
        while due < started + seconds:
            await asyncio.sleep(max(0, due - time.monotonic()))
            is_read = self.random_source.random() < _READ_SHARE
            task = asyncio.create_task(
                self._request(self.requests, is_read, due),
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            self.requests += 1
            due += self.random_source.expovariate(rate)
        await asyncio.gather(*self.tasks)

    async def _request(self, number: int, is_read: bool, due: float) -> None:
        request_id = f'demo-{number}'
        if is_read:
            self.read_ids.add(request_id)
        for _ in range(_MAX_ATTEMPTS):
            if await self._send_once(request_id, is_read):
                elapsed = time.monotonic() - due
                self.histogram.record_value(
                    int(elapsed * _MICROSECONDS_PER_SECOND)
                )
                self.answered += 1
                return
            await asyncio.sleep(
                _MAX_BACKOFF_SECONDS * self.backoff_source.random()
            )

    async def _send_once(self, request_id: str, is_read: bool) -> bool:
        headers = {'X-Request-Id': request_id, 'Idempotency-Key': request_id}
        method, path = ('GET', '/cards/7') if is_read else ('POST', '/postings')
        body = b'' if is_read else b'amount=100'
        try:
            response = await self.caller.call(method, path, headers, body)
        except CallerError:
            self.outcomes['unknown'] += 1
            return False
        if response.outcome:
            self.outcomes[response.outcome] += 1
        return _is_matching_response(response, request_id)


def _is_matching_response(response: CallerResponse, request_id: str) -> bool:
    if response.status != HTTPStatus.OK:
        return False
    reply = msgspec.json.decode(response.body)
    return bool(reply['request_id'] == request_id)
