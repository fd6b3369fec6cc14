"""Load of callers that retry, with a check of every response they get."""

__all__ = ('LoadGenerator', 'RecordingCaller')

import asyncio
import random
import uuid
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping

from zinniaturn.caller import (
    Caller,
    CallerError,
    CallerResponse,
    CallOptions,
    call_idempotent,
    call_once,
    call_with_key,
)
from zinniaturn.caller.client import Address
from zinniaturn.experiments.outcomes.fleet import OutcomesFleet
from zinniaturn.experiments.outcomes.request_history import Violation
from zinniaturn.experiments.outcomes.servers import (
    LINES_HEADER,
    SECONDS_HEADER,
    token_body,
)

_CALL_TIMEOUT_SECONDS = 12.0
_DEADLINE_MS = 1500
_SHORT_TIMEOUT_SECONDS = 0.006
_SHORT_TIMEOUT_SHARE = 0.03
_LARGE_RESPONSE_SHARE = 0.05
_LARGE_RESPONSE_LINES = 3000
_RETRY_PAUSE_SECONDS = 0.1
_UPLOAD_CHUNKS = 20
_UPLOAD_CHUNK = b'u' * 4096

SendRequest = Callable[['LoadGenerator', str], Coroutine[None, None, None]]


class RecordingCaller(Caller):
    """A caller that records each of its attempts in the request history."""

    def __init__(
        self, fleet: OutcomesFleet, random_source: random.Random
    ) -> None:
        super().__init__(fleet.addresses(), random_source)
        self.fleet = fleet
        self.history = fleet.history

    async def refresh_addresses(self) -> None:
        """Look up addresses after updating the seeds, as an operator does."""
        self.seeds = tuple(self.fleet.addresses())
        await super().refresh_addresses()

    async def send(
        self,
        address: Address,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes = b'',
    ) -> CallerResponse:
        """Send one attempt and record its outcome."""
        request_id = headers.get('X-Request-Id', '')
        if not request_id:
            return await super().send(address, method, path, headers, body)
        history = self.history
        history.in_flight[request_id] += 1
        is_overlapping = history.in_flight[request_id] > 1
        entry_name = self.fleet.slots_by_port[address[1]].name
        try:
            response = await super().send(address, method, path, headers, body)
        except BaseException as error:
            history.record(request_id, f'{entry_name}: {error!r}')
            history.last_outcomes[request_id] = 'lost'
            raise
        finally:
            history.in_flight[request_id] -= 1
        is_overlapping = is_overlapping or history.in_flight[request_id] > 0
        history.record(
            request_id,
            f'{entry_name}: {response.status} '
            f'{response.outcome} {response.code}',
        )
        history.record_outcome(request_id, response.outcome, is_overlapping)
        if not response.outcome:
            self._check_body(request_id, headers, response)
        return response

    def _check_body(
        self,
        request_id: str,
        headers: Mapping[str, str],
        response: CallerResponse,
    ) -> None:
        lines = int(headers.get(LINES_HEADER, '1'))
        if response.body != token_body(request_id, lines):
            self.history.add_violation(request_id, Violation.WRONG_OR_SHORT)


class LoadGenerator:
    """Sends requests of all kinds and records how each of them ended."""

    def __init__(
        self,
        fleet: OutcomesFleet,
        callers: int,
        random_source: random.Random,
    ) -> None:
        self.fleet = fleet
        self.history = fleet.history
        self.random_source = random_source
        self.callers = [
            RecordingCaller(fleet, random.Random(random_source.random()))
            for _ in range(callers)
        ]
        self.tasks: set[asyncio.Task[None]] = set()
        self.short_timeouts = 0
        self.repeated_at_other_entries = 0

    async def close(self) -> None:
        """Wait for every request, then close the callers' connections."""
        await asyncio.gather(*self.tasks)
        for caller in self.callers:
            await caller.close()

    def start_request(self, send_request: SendRequest) -> None:
        """Start a request in a task of its own."""
        request_id = f'request-{self.history.requests}'
        self.history.requests += 1
        task = asyncio.create_task(send_request(self, request_id))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def choose_caller(self) -> RecordingCaller:
        """Return a random caller."""
        return self.random_source.choice(self.callers)

    def build_options(
        self, request_id: str, method: str, path: str
    ) -> CallOptions:
        """Return call options; a few ask for large bodies or short timeouts."""
        lines = 1
        if self.random_source.random() < _LARGE_RESPONSE_SHARE:
            lines = _LARGE_RESPONSE_LINES
        attempt_timeout_seconds = _CALL_TIMEOUT_SECONDS
        if self.random_source.random() < _SHORT_TIMEOUT_SHARE:
            self.short_timeouts += 1
            attempt_timeout_seconds = _SHORT_TIMEOUT_SECONDS
        return CallOptions(
            method,
            path,
            {
                'X-Request-Id': request_id,
                'Zinniaturn-Deadline-Ms': str(_DEADLINE_MS),
                LINES_HEADER: str(lines),
            },
            b'' if method == 'GET' else b'amount=100',
            timeout_seconds=_CALL_TIMEOUT_SECONDS,
            attempt_timeout_seconds=attempt_timeout_seconds,
        )

    def record_end(
        self, request_id: str, response: CallerResponse | None
    ) -> None:
        """Count a non-idempotent request whose outcome stayed unknown."""
        if response is None or response.outcome in {'unknown', 'run'}:
            self.history.unknown += 1


async def post_with_issued_key(
    generator: LoadGenerator, request_id: str
) -> None:
    """Send a posting with an issued key, as the caller guide describes."""
    generator.history.non_idempotent.add(request_id)
    options = generator.build_options(request_id, 'POST', '/postings')
    response: CallerResponse | None = None
    try:
        response = await call_once(generator.choose_caller(), options)
    except CallerError as error:
        generator.history.record(request_id, f'ended: {error}')
    generator.record_end(request_id, response)


async def post_with_own_key(generator: LoadGenerator, request_id: str) -> None:
    """Send a posting with the caller's own key, in half the cases twice."""
    generator.history.non_idempotent.add(request_id)
    options = generator.build_options(request_id, 'POST', '/postings')
    key = str(uuid.UUID(int=generator.random_source.getrandbits(128)))
    attempts = 1 + generator.random_source.randrange(2)
    generator.repeated_at_other_entries += attempts - 1
    results = await asyncio.gather(
        *(
            call_with_key(generator.choose_caller(), options, key)
            for _ in range(attempts)
        ),
        return_exceptions=True,
    )
    responses = [
        result for result in results if isinstance(result, CallerResponse)
    ]
    answered = [response for response in responses if not response.outcome]
    generator.record_end(request_id, next(iter([*answered, *responses]), None))


async def post_without_key(generator: LoadGenerator, request_id: str) -> None:
    """Send a posting without a key; repeat it only after *not run*."""
    generator.history.non_idempotent.add(request_id)
    options = generator.build_options(request_id, 'POST', '/postings')
    response: CallerResponse | None = None
    while response is None or response.outcome == 'not-run':
        try:
            response = await generator.choose_caller().call(
                options.method,
                options.path,
                options.headers,
                options.body,
            )
        except CallerError:
            break
        await asyncio.sleep(
            _RETRY_PAUSE_SECONDS * generator.random_source.random()
        )
    generator.record_end(request_id, response)


async def read_card(generator: LoadGenerator, request_id: str) -> None:
    """Read a card, which must succeed in the end."""
    options = generator.build_options(request_id, 'GET', '/cards/7')
    try:
        response = await call_idempotent(generator.choose_caller(), options)
    except CallerError:
        generator.history.unanswered += 1
        return
    if response.outcome:
        generator.history.unanswered += 1


async def read_extract(generator: LoadGenerator, request_id: str) -> None:
    """Read a long response from a server whose link has no faults."""
    seconds = generator.random_source.uniform(0.2, 4)
    headers = {
        'X-Request-Id': request_id,
        LINES_HEADER: '40',
        SECONDS_HEADER: str(seconds),
    }
    await _send_without_proxy(
        generator, request_id, 'GET', '/extracts', headers
    )


async def upload_slowly(generator: LoadGenerator, request_id: str) -> None:
    """Upload a body slowly to a server whose link has no faults."""
    generator.history.non_idempotent.add(request_id)
    headers = {'X-Request-Id': request_id}
    await _send_without_proxy(
        generator, request_id, 'POST', '/uploads', headers
    )


async def _send_without_proxy(
    generator: LoadGenerator,
    request_id: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
) -> None:
    """Send once; a failure at an entry in graceful shutdown is a violation."""
    caller = generator.choose_caller()
    address = await caller.choose_address()
    body = (
        _slow_upload_body(generator.random_source) if method == 'POST' else b''
    )
    outcome = 'lost'
    try:
        response = await caller.send(address, method, path, headers, body)  # type: ignore[arg-type]
        outcome = response.outcome
    except CallerError as error:
        generator.history.record(request_id, f'witness: {error}')
    slot = generator.fleet.slots_by_port[address[1]]
    if outcome and slot.is_stopping and not slot.is_disturbed:
        generator.history.add_violation(request_id, Violation.CUT_BY_STOP)


async def _slow_upload_body(
    random_source: random.Random,
) -> AsyncIterator[bytes]:
    seconds = random_source.uniform(0.2, 2)
    for _ in range(_UPLOAD_CHUNKS):
        yield _UPLOAD_CHUNK
        await asyncio.sleep(seconds / _UPLOAD_CHUNKS)
