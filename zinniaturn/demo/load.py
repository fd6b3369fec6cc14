"""The demo's callers, which try again until they have an answer."""

__all__ = ('DemoLoad',)

import asyncio
import random
import time
from collections import Counter
from http import HTTPStatus

import msgspec
from hdrh.histogram import HdrHistogram

from zinniaturn.caller import Caller, CallerAnswer, CallerError

_MAX_MICROSECONDS = 60_000_000
_MICROSECONDS = 1_000_000
_DIGITS = 3
_PAUSE_SECONDS = 0.05
_TRIES = 20
_READ_SHARE = 0.7


class DemoLoad:
    """An open-loop load of reads and postings over all entries."""

    def __init__(self, caller: Caller, seed: int) -> None:
        self.caller = caller
        self.source = random.Random(seed)
        self.pauses = random.Random(f'{seed}/pauses')
        self.histogram = HdrHistogram(1, _MAX_MICROSECONDS, _DIGITS)
        self.requests = 0
        self.answered = 0
        self.told: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.read_ids: set[str] = set()

    async def run(self, seconds: float, rate: float) -> None:
        """Send ``rate`` requests a second for ``seconds``; wait for all."""
        started = time.monotonic()
        due = started
        while due < started + seconds:
            await asyncio.sleep(max(0, due - time.monotonic()))
            is_read = self.source.random() < _READ_SHARE
            task = asyncio.create_task(
                self._request(self.requests, is_read, due),
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            self.requests += 1
            due += self.source.expovariate(rate)
        await asyncio.gather(*self.tasks)

    async def _request(self, number: int, is_read: bool, due: float) -> None:
        request_id = f'demo-{number}'
        if is_read:
            self.read_ids.add(request_id)
        for _ in range(_TRIES):
            if await self._try(request_id, is_read):
                elapsed = time.monotonic() - due
                self.histogram.record_value(int(elapsed * _MICROSECONDS))
                self.answered += 1
                return
            await asyncio.sleep(_PAUSE_SECONDS * self.pauses.random())

    async def _try(self, request_id: str, is_read: bool) -> bool:
        headers = {'X-Request-Id': request_id, 'Idempotency-Key': request_id}
        method, path = ('GET', '/cards/7') if is_read else ('POST', '/postings')
        body = b'' if is_read else b'amount=100'
        try:
            answer = await self.caller.call(method, path, headers, body)
        except CallerError:
            self.told['unknown'] += 1
            return False
        if answer.outcome:
            self.told[answer.outcome] += 1
        return _is_own_answer(answer, request_id)


def _is_own_answer(answer: CallerAnswer, request_id: str) -> bool:
    if answer.status != HTTPStatus.OK:
        return False
    reply = msgspec.json.decode(answer.body)
    return bool(reply['request_id'] == request_id)
