"""Callers that never give up, and the check of every answer they get."""

__all__ = ('CallerCrowd', 'RecordingCaller')

import asyncio
import random
import uuid
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping

from zinniaturn.caller import (
    Caller,
    CallerAnswer,
    CallerError,
    CallOptions,
    call_idempotent,
    call_once,
    call_with_key,
)
from zinniaturn.caller.client import Address
from zinniaturn.experiments.outcomes.fleet import OutcomesFleet
from zinniaturn.experiments.outcomes.ledger import Violation
from zinniaturn.experiments.outcomes.servers import (
    LINES_HEADER,
    SECONDS_HEADER,
    token_text,
)

_PATIENCE_SECONDS = 12.0
_DEADLINE_MS = 1500
_HASTY_SECONDS = 0.006
_HASTY_SHARE = 0.03
_LARGE_SHARE = 0.05
_LARGE_LINES = 3000
_PAUSE_SECONDS = 0.1
_UPLOAD_CHUNKS = 20
_UPLOAD_CHUNK = b'u' * 4096

Work = Callable[['CallerCrowd', str], Coroutine[None, None, None]]


class RecordingCaller(Caller):
    """A caller whose every try goes into the ledger."""

    def __init__(self, fleet: OutcomesFleet, source: random.Random) -> None:
        super().__init__(fleet.addresses(), source)
        self.fleet = fleet
        self.ledger = fleet.ledger

    async def refresh(self) -> None:
        """Ask for addresses; an operator keeps the seeds up to date."""
        self.seeds = tuple(self.fleet.addresses())
        await super().refresh()

    async def send(
        self,
        address: Address,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes = b'',
    ) -> CallerAnswer:
        """Send one try and note what it was told."""
        request_id = headers.get('X-Request-Id', '')
        if not request_id:
            return await super().send(address, method, path, headers, body)
        ledger = self.ledger
        ledger.in_flight[request_id] += 1
        overlapped = ledger.in_flight[request_id] > 1
        where = self.fleet.by_port[address[1]].name
        try:
            answer = await super().send(address, method, path, headers, body)
        except BaseException as error:
            ledger.note(request_id, f'{where}: {error!r}')
            ledger.last_told[request_id] = 'lost'
            raise
        finally:
            ledger.in_flight[request_id] -= 1
        overlapped = overlapped or ledger.in_flight[request_id] > 0
        ledger.note(
            request_id,
            f'{where}: {answer.status} {answer.outcome} {answer.code}',
        )
        ledger.hear(request_id, answer.outcome, overlapped)
        if not answer.outcome:
            self._check(request_id, headers, answer)
        return answer

    def _check(
        self,
        request_id: str,
        headers: Mapping[str, str],
        answer: CallerAnswer,
    ) -> None:
        lines = int(headers.get(LINES_HEADER, '1'))
        if answer.body != token_text(request_id, lines):
            self.ledger.accuse(request_id, Violation.WRONG_OR_SHORT)


class CallerCrowd:
    """Sends requests of all kinds at a rate, each until its end is known."""

    def __init__(
        self,
        fleet: OutcomesFleet,
        callers: int,
        source: random.Random,
    ) -> None:
        self.fleet = fleet
        self.ledger = fleet.ledger
        self.source = source
        self.callers = [
            RecordingCaller(fleet, random.Random(source.random()))
            for _ in range(callers)
        ]
        self.tasks: set[asyncio.Task[None]] = set()
        self.hasty = 0
        self.repeated_elsewhere = 0

    async def close(self) -> None:
        """Wait for every request, then close the connections."""
        await asyncio.gather(*self.tasks)
        for caller in self.callers:
            await caller.close()

    def launch(self, work: Work) -> None:
        """Begin a request."""
        request_id = f'request-{self.ledger.requests}'
        self.ledger.requests += 1
        task = asyncio.create_task(work(self, request_id))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def pick(self) -> RecordingCaller:
        """Return one of the callers."""
        return self.source.choice(self.callers)

    def options(self, request_id: str, method: str, path: str) -> CallOptions:
        """Return a request; some are large and some callers hasty."""
        lines = 1
        if self.source.random() < _LARGE_SHARE:
            lines = _LARGE_LINES
        try_seconds = _PATIENCE_SECONDS
        if self.source.random() < _HASTY_SHARE:
            self.hasty += 1
            try_seconds = _HASTY_SECONDS
        return CallOptions(
            method,
            path,
            {
                'X-Request-Id': request_id,
                'Zinniaturn-Deadline-Ms': str(_DEADLINE_MS),
                LINES_HEADER: str(lines),
            },
            b'' if method == 'GET' else b'amount=100',
            patience_seconds=_PATIENCE_SECONDS,
            try_seconds=try_seconds,
        )

    def end(self, request_id: str, answer: CallerAnswer | None) -> None:
        """Note how a non-idempotent request ended."""
        if answer is None or answer.outcome in {'unknown', 'run'}:
            self.ledger.unknown += 1


async def post_with_issued_key(crowd: CallerCrowd, request_id: str) -> None:
    """A posting by the caller guide."""
    crowd.ledger.non_idempotent.add(request_id)
    options = crowd.options(request_id, 'POST', '/postings')
    answer: CallerAnswer | None = None
    try:
        answer = await call_once(crowd.pick(), options)
    except CallerError as error:
        crowd.ledger.note(request_id, f'ended: {error}')
    crowd.end(request_id, answer)


async def post_with_own_key(crowd: CallerCrowd, request_id: str) -> None:
    """A posting with a key of the caller's own, half of them sent twice."""
    crowd.ledger.non_idempotent.add(request_id)
    options = crowd.options(request_id, 'POST', '/postings')
    key = str(uuid.UUID(int=crowd.source.getrandbits(128)))
    tries = 1 + crowd.source.randrange(2)
    crowd.repeated_elsewhere += tries - 1
    ends = await asyncio.gather(
        *(call_with_key(crowd.pick(), options, key) for _ in range(tries)),
        return_exceptions=True,
    )
    answers = [end for end in ends if isinstance(end, CallerAnswer)]
    known = [answer for answer in answers if not answer.outcome]
    crowd.end(request_id, next(iter([*known, *answers]), None))


async def post_without_key(crowd: CallerCrowd, request_id: str) -> None:
    """A posting without a key: repeated only after *not run*."""
    crowd.ledger.non_idempotent.add(request_id)
    options = crowd.options(request_id, 'POST', '/postings')
    answer: CallerAnswer | None = None
    while answer is None or answer.outcome == 'not-run':
        try:
            answer = await crowd.pick().call(
                options.method,
                options.path,
                options.headers,
                options.body,
            )
        except CallerError:
            break
        await asyncio.sleep(_PAUSE_SECONDS * crowd.source.random())
    crowd.end(request_id, answer)


async def read_card(crowd: CallerCrowd, request_id: str) -> None:
    """A reading, which is answered in the end."""
    options = crowd.options(request_id, 'GET', '/cards/7')
    try:
        answer = await call_idempotent(crowd.pick(), options)
    except CallerError:
        crowd.ledger.unanswered += 1
        return
    if answer.outcome:
        crowd.ledger.unanswered += 1


async def witness_extract(crowd: CallerCrowd, request_id: str) -> None:
    """A long extract from a server that nothing is wrong with."""
    seconds = crowd.source.uniform(0.2, 4)
    headers = {
        'X-Request-Id': request_id,
        LINES_HEADER: '40',
        SECONDS_HEADER: str(seconds),
    }
    await _witness(crowd, request_id, 'GET', '/extracts', headers)


async def witness_upload(crowd: CallerCrowd, request_id: str) -> None:
    """A slow upload to a server that nothing is wrong with."""
    crowd.ledger.non_idempotent.add(request_id)
    headers = {'X-Request-Id': request_id}
    await _witness(crowd, request_id, 'POST', '/uploads', headers)


async def _witness(
    crowd: CallerCrowd,
    request_id: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
) -> None:
    """Send once; a failure at an entry that was told to stop is its fault."""
    caller = crowd.pick()
    address = await caller.choose_address()
    body = _slow_body(crowd.source) if method == 'POST' else b''
    outcome = 'lost'
    try:
        answer = await caller.send(address, method, path, headers, body)  # type: ignore[arg-type]
        outcome = answer.outcome
    except CallerError as error:
        crowd.ledger.note(request_id, f'witness: {error}')
    slot = crowd.fleet.by_port[address[1]]
    if outcome and slot.is_stopping and not slot.is_wronged:
        crowd.ledger.accuse(request_id, Violation.CUT_BY_STOP)


async def _slow_body(source: random.Random) -> AsyncIterator[bytes]:
    seconds = source.uniform(0.2, 2)
    for _ in range(_UPLOAD_CHUNKS):
        yield _UPLOAD_CHUNK
        await asyncio.sleep(seconds / _UPLOAD_CHUNKS)
