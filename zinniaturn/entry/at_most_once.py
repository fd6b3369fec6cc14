"""
At-most-once execution of requests with an idempotency key.

Exactly one process may run the request of a key: the process that issued the
key or, for a key that the caller made, the process that claimed it in the
store. Any other entry forwards the request to that process. If the process
cannot be reached, the outcome is *unknown*, because an earlier attempt may
have run there.
"""

__all__ = ('IDEMPOTENCY_KEY_HEADER', 'AtMostOnceRunner', 'IncomingRequest')

import asyncio
import math
import re
from dataclasses import dataclass
from types import MappingProxyType

import xxhash
from aiohttp import web

from zinniaturn.choosing import PoolState
from zinniaturn.entry.dispatch import Dispatcher, Relay
from zinniaturn.entry.exceptions import BadRequestError
from zinniaturn.entry.key_forwarding import HOP_HEADER, forward_to_key_owner
from zinniaturn.entry.requests import CallerRequest
from zinniaturn.entry.responses import make_rejection, relay_response
from zinniaturn.entry.state import EntryState
from zinniaturn.entry.stored_responses import ResponseRecorder, replay
from zinniaturn.idempotency import (
    ClaimOwner,
    ClaimRegistry,
    ClaimUnavailableError,
    KeyIssuer,
    KeyRecord,
    KeyReusedError,
    KeyState,
    KeyTable,
    KeyTableFullError,
    UnreadableKeyError,
)
from zinniaturn.idempotency.keys import is_issued_key
from zinniaturn.idempotency.records import KeyLimits
from zinniaturn.outcomes import Outcome
from zinniaturn.store import ConfigurationStore

IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'

_CALLER_KEY_PATTERN = re.compile('[!-~]{1,256}')
_RETRY_AFTER_SECONDS = 1.0
_TABLE_FULL_RETRY_AFTER_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request, its parsed form and the pool that serves it."""

    request: web.BaseRequest
    parsed: CallerRequest
    pool: PoolState


class AtMostOnceRunner:
    """Runs requests, and those with an idempotency key at most once."""

    def __init__(
        self,
        state: EntryState,
        dispatcher: Dispatcher,
        store: ConfigurationStore,
    ) -> None:
        settings = state.settings
        self.state = state
        self.dispatcher = dispatcher
        self.issuer = KeyIssuer(
            settings.key_secret.get_secret_value().encode(),
            state.clock,
        )
        self.claims = ClaimRegistry(
            store,
            state.clock,
            settings.key_window_seconds,
        )
        limits = KeyLimits(
            window_seconds=settings.key_window_seconds,
            max_keys=settings.key_limit,
            max_response_bytes=settings.key_answer_bytes,
        )
        self.table = KeyTable(limits, state.clock)
        self.executions: set[asyncio.Task[web.StreamResponse]] = set()

    async def run(
        self,
        incoming: IncomingRequest,
    ) -> web.StreamResponse:
        """Return the response; raises what `Dispatcher.run` raises."""
        request, parsed = incoming.request, incoming.parsed
        parsed.backend_request.headers.popall(HOP_HEADER, None)
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is None or parsed.idempotent:
            return await self._dispatch(incoming, relay_response)
        try:
            if is_issued_key(key):
                return await self._run_issued(incoming, key)
            return await self._run_claimed(incoming, key)
        except KeyReusedError as error:
            return _reject(parsed, error.code, Outcome.NOT_RUN, error.message)
        except (UnreadableKeyError, ClaimUnavailableError) as error:
            return _reject(parsed, error.code, Outcome.UNKNOWN, error.message)

    async def _dispatch(
        self,
        incoming: IncomingRequest,
        relay: Relay,
    ) -> web.StreamResponse:
        return await self.dispatcher.run(
            incoming.request,
            incoming.parsed,
            incoming.pool,
            relay,
        )

    async def _forward_to_key_owner(
        self,
        incoming: IncomingRequest,
        address: tuple[str, int],
    ) -> web.StreamResponse:
        return await forward_to_key_owner(
            self.state,
            incoming.request,
            incoming.parsed,
            address,
        )

    def outcome_before_key_lookup(self, request: web.BaseRequest) -> Outcome:
        """
        Return the outcome of a request rejected before its key lookup.

        It is unknown for a request with a key, because an earlier attempt may
        have run at another entry.
        """
        if IDEMPOTENCY_KEY_HEADER in request.headers:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def issue(self, count: int) -> list[str]:
        """Return new keys whose requests only this process runs."""
        host, port = self.state.settings.host, self.state.port
        return [self.issuer.issue(host, port) for _ in range(count)]

    async def _run_issued(
        self,
        incoming: IncomingRequest,
        text: str,
    ) -> web.StreamResponse:
        key = self.issuer.read(text)
        if not self.issuer.is_own(key):
            return await self._forward_to_key_owner(
                incoming, (key.host, key.port)
            )
        return await self._run_owned(incoming, text, key.issued_at)

    async def _run_claimed(
        self,
        incoming: IncomingRequest,
        key: str,
    ) -> web.StreamResponse:
        validate_caller_key(key)
        record = self.table.find(key, _fingerprint(incoming.parsed))
        if record is not None:
            return await self._run_owned(incoming, key, math.inf)
        this_process = ClaimOwner(
            self.state.settings.host,
            self.state.port,
            self.issuer.boot.hex(),
        )
        claim = await self.claims.claim(key, this_process)
        if claim.owner != this_process:
            address = (claim.owner.host, claim.owner.port)
            return await self._forward_to_key_owner(incoming, address)
        return await self._run_owned(incoming, key, claim.claimed_at)

    async def _run_owned(
        self,
        incoming: IncomingRequest,
        key: str,
        assigned_at: float,
    ) -> web.StreamResponse:
        """
        Run the request of a key that this process owns, or answer a repeat.

        ``assigned_at`` is when this process issued or claimed the key, in
        monotonic seconds, or infinity for a key that is known to have a
        record. Records are kept for at least the window, so a key assigned
        within the window that has no record was never started.
        """
        record = self.table.find(key, _fingerprint(incoming.parsed))
        if record is not None and record.state is not KeyState.NOT_RUN:
            return await self._respond_to_repeat(incoming.parsed, record)
        if record is None and self._is_window_over(assigned_at):
            return _reject(
                incoming.parsed,
                'key-expired',
                Outcome.UNKNOWN,
                'the key is older than its window',
            )
        return await self._start_execution(incoming, key)

    def _is_window_over(self, assigned_at: float) -> bool:
        age = self.state.clock.monotonic() - assigned_at
        return age >= self.state.settings.key_window_seconds

    async def _start_execution(
        self,
        incoming: IncomingRequest,
        key: str,
    ) -> web.StreamResponse:
        """
        Run the request in a separate task.

        The task continues when the caller disconnects, because the caller is
        expected to repeat the request with the same key.
        """
        try:
            record = self.table.begin(key, _fingerprint(incoming.parsed))
        except KeyTableFullError as error:
            return _reject(
                incoming.parsed,
                error.code,
                Outcome.NOT_RUN,
                error.message,
                _TABLE_FULL_RETRY_AFTER_SECONDS,
            )
        task = asyncio.create_task(self._execute(incoming, record))
        self.executions.add(task)
        self.state.requests_in_flight += 1
        task.add_done_callback(self._on_execution_done)
        return await asyncio.shield(task)

    def _on_execution_done(
        self, task: asyncio.Task[web.StreamResponse]
    ) -> None:
        self.executions.discard(task)
        self.state.requests_in_flight -= 1
        if not task.cancelled():
            task.exception()

    async def _execute(
        self,
        incoming: IncomingRequest,
        record: KeyRecord,
    ) -> web.StreamResponse:
        recorder = ResponseRecorder()
        state = KeyState.UNKNOWN
        try:
            response = await self._dispatch(incoming, recorder.relay)
            state = _key_state_after(recorder, response)
        finally:
            self.table.settle(record, state, recorder.stored)
        return response

    async def _respond_to_repeat(
        self,
        parsed: CallerRequest,
        record: KeyRecord,
    ) -> web.StreamResponse:
        if record.state is KeyState.IN_FLIGHT:
            await self._wait_until_settled(parsed, record)
        if record.state is KeyState.ANSWERED and record.response is not None:
            return replay(record.response, parsed.request_id)
        code, outcome = _REJECTION_BY_STATE[record.state]
        return _reject(
            parsed, code, outcome, 'see the code', _RETRY_AFTER_SECONDS
        )

    async def _wait_until_settled(
        self, parsed: CallerRequest, record: KeyRecord
    ) -> None:
        settled = asyncio.Event()
        record.on_settled.append(settled.set)
        remaining = parsed.deadline - self.state.clock.monotonic()
        try:
            async with asyncio.timeout(remaining):
                await settled.wait()
        except TimeoutError:
            return


_REJECTION_BY_STATE = MappingProxyType(
    {
        KeyState.IN_FLIGHT: ('key-in-flight', Outcome.UNKNOWN),
        KeyState.NOT_RUN: ('key-not-run', Outcome.NOT_RUN),
        KeyState.ANSWERED: ('already-run', Outcome.RUN),
        KeyState.RAN: ('already-run', Outcome.RUN),
        KeyState.UNKNOWN: ('key-unknown', Outcome.UNKNOWN),
    }
)


def validate_caller_key(key: str) -> None:
    """Raise `BadRequestError` if the key made by a caller is malformed."""
    if _CALLER_KEY_PATTERN.fullmatch(key) is None:
        raise BadRequestError(
            f'{IDEMPOTENCY_KEY_HEADER} is not 1 to 256 visible ASCII '
            'characters',
        )


def _key_state_after(
    recorder: ResponseRecorder, response: web.StreamResponse
) -> KeyState:
    if recorder.stored is not None:
        return KeyState.ANSWERED
    if recorder.response_begun:
        return KeyState.RAN
    if response.headers['Zinniaturn-Outcome'] == Outcome.NOT_RUN.value:
        return KeyState.NOT_RUN
    return KeyState.UNKNOWN


def _fingerprint(parsed: CallerRequest) -> bytes:
    forwarded = parsed.backend_request
    text = f'{forwarded.method} {forwarded.target} {forwarded.length}\n'
    return xxhash.xxh3_128(text.encode() + forwarded.body).digest()


def _reject(
    parsed: CallerRequest,
    code: str,
    outcome: Outcome,
    detail: str,
    retry_after_seconds: float | None = None,
) -> web.Response:
    return make_rejection(
        code,
        outcome,
        detail,
        parsed.request_id,
        retry_after_seconds,
    )
