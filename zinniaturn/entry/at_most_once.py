"""
Requests that run at most once, by their idempotency keys.

Each key has one process that may run it: the issuer of an issued key, or the
claimer of a caller's own key. Any other entry passes the request on to that
process, and says *unknown* where it cannot be reached: an earlier attempt may
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
from zinniaturn.entry.answers import make_refusal, relay_answer
from zinniaturn.entry.dispatch import Dispatcher, Relay
from zinniaturn.entry.exceptions import BadRequestError
from zinniaturn.entry.key_forwarding import HOP_HEADER, forward_to_key_owner
from zinniaturn.entry.requests import CallerRequest
from zinniaturn.entry.state import EntryState
from zinniaturn.entry.stored_answers import AnswerRecorder, replay
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

_KEY = re.compile('[!-~]{1,256}')
_RETRY_SECONDS = 1.0
_FULL_RETRY_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request as it came, as it was parsed, and its pool."""

    request: web.BaseRequest
    parsed: CallerRequest
    pool: PoolState


class AtMostOnceRunner:
    """Runs requests; those with a key at most once."""

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
            keys=settings.key_limit,
            response_bytes=settings.key_answer_bytes,
        )
        self.table = KeyTable(limits, state.clock)
        self.running: set[asyncio.Task[web.StreamResponse]] = set()

    async def run(
        self,
        incoming: IncomingRequest,
    ) -> web.StreamResponse:
        """Return the answer; raises as `Dispatcher.run` does."""
        request, parsed = incoming.request, incoming.parsed
        parsed.backend_request.headers.popall(HOP_HEADER, None)
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is None or parsed.idempotent:
            return await self._dispatch(incoming, relay_answer)
        try:
            if is_issued_key(key):
                return await self._run_issued(incoming, key)
            return await self._run_claimed(incoming, key)
        except KeyReusedError as error:
            return _refuse(parsed, error.code, Outcome.NOT_RUN, error.message)
        except (UnreadableKeyError, ClaimUnavailableError) as error:
            return _refuse(parsed, error.code, Outcome.UNKNOWN, error.message)

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

    def refused_outcome(self, request: web.BaseRequest) -> Outcome:
        """
        Return what is known of a request that is refused before its key.

        An earlier attempt of a request with a key may have run elsewhere.
        """
        if IDEMPOTENCY_KEY_HEADER in request.headers:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def issue(self, count: int) -> list[str]:
        """Return new keys that this process alone will run."""
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
        return await self._run_own(incoming, text, key.issued_at)

    async def _run_claimed(
        self,
        incoming: IncomingRequest,
        key: str,
    ) -> web.StreamResponse:
        check_key(key)
        record = self.table.find(key, _fingerprint(incoming.parsed))
        if record is not None:
            return await self._run_own(incoming, key, math.inf)
        own = ClaimOwner(
            self.state.settings.host,
            self.state.port,
            self.issuer.boot.hex(),
        )
        claim = await self.claims.claim(key, own)
        if claim.owner != own:
            address = (claim.owner.host, claim.owner.port)
            return await self._forward_to_key_owner(incoming, address)
        return await self._run_own(incoming, key, claim.claimed_at)

    async def _run_own(
        self,
        incoming: IncomingRequest,
        key: str,
        given_at: float,
    ) -> web.StreamResponse:
        """
        Run a key of this process, or tell what became of it.

        A key that was given to this process within the window and has no
        record was never begun: records are kept for the window at least.
        """
        record = self.table.find(key, _fingerprint(incoming.parsed))
        if record is not None and record.state is not KeyState.NOT_RUN:
            return await self._repeat(incoming.parsed, record)
        if record is None and self._is_expired(given_at):
            return _refuse(
                incoming.parsed,
                'key-expired',
                Outcome.UNKNOWN,
                'the key is older than its window',
            )
        return await self._begin(incoming, key)

    def _is_expired(self, given_at: float) -> bool:
        age = self.state.clock.monotonic() - given_at
        return age >= self.state.settings.key_window_seconds

    async def _begin(
        self,
        incoming: IncomingRequest,
        key: str,
    ) -> web.StreamResponse:
        """
        Run the request in a task of its own.

        It goes on when its caller goes away: the caller will ask again with
        the same key.
        """
        try:
            record = self.table.begin(key, _fingerprint(incoming.parsed))
        except KeyTableFullError as error:
            return _refuse(
                incoming.parsed,
                error.code,
                Outcome.NOT_RUN,
                error.message,
                _FULL_RETRY_SECONDS,
            )
        task = asyncio.create_task(self._execute(incoming, record))
        self.running.add(task)
        self.state.requests_in_flight += 1
        task.add_done_callback(self._end)
        return await asyncio.shield(task)

    def _end(self, task: asyncio.Task[web.StreamResponse]) -> None:
        self.running.discard(task)
        self.state.requests_in_flight -= 1
        if not task.cancelled():
            task.exception()

    async def _execute(
        self,
        incoming: IncomingRequest,
        record: KeyRecord,
    ) -> web.StreamResponse:
        keeper = AnswerRecorder()
        state = KeyState.UNKNOWN
        try:
            response = await self._dispatch(incoming, keeper.relay)
            state = _state_after(keeper, response)
        finally:
            self.table.settle(record, state, keeper.kept)
        return response

    async def _repeat(
        self,
        parsed: CallerRequest,
        record: KeyRecord,
    ) -> web.StreamResponse:
        if record.state is KeyState.IN_FLIGHT:
            await self._wait(parsed, record)
        if record.state is KeyState.ANSWERED and record.response is not None:
            return replay(record.response, parsed.request_id)
        code, outcome = _TOLD[record.state]
        return _refuse(parsed, code, outcome, 'see the code', _RETRY_SECONDS)

    async def _wait(self, parsed: CallerRequest, record: KeyRecord) -> None:
        settled = asyncio.Event()
        record.on_settled.append(settled.set)
        remaining = parsed.deadline - self.state.clock.monotonic()
        try:
            async with asyncio.timeout(remaining):
                await settled.wait()
        except TimeoutError:
            return


_TOLD = MappingProxyType(
    {
        KeyState.IN_FLIGHT: ('key-in-flight', Outcome.UNKNOWN),
        KeyState.NOT_RUN: ('key-not-run', Outcome.NOT_RUN),
        KeyState.ANSWERED: ('already-run', Outcome.RUN),
        KeyState.RAN: ('already-run', Outcome.RUN),
        KeyState.UNKNOWN: ('key-unknown', Outcome.UNKNOWN),
    }
)


def check_key(key: str) -> None:
    """Raise `BadRequestError` where a caller's own key is no usable one."""
    if _KEY.fullmatch(key) is None:
        raise BadRequestError(
            f'{IDEMPOTENCY_KEY_HEADER} is not 1 to 256 visible ASCII '
            'characters',
        )


def _state_after(
    keeper: AnswerRecorder, response: web.StreamResponse
) -> KeyState:
    if keeper.kept is not None:
        return KeyState.ANSWERED
    if keeper.has_answered:
        return KeyState.RAN
    if response.headers['Zinniaturn-Outcome'] == Outcome.NOT_RUN.value:
        return KeyState.NOT_RUN
    return KeyState.UNKNOWN


def _fingerprint(parsed: CallerRequest) -> bytes:
    sent = parsed.backend_request
    text = f'{sent.method} {sent.target} {sent.length}\n'
    return xxhash.xxh3_128(text.encode() + sent.body).digest()


def _refuse(
    parsed: CallerRequest,
    code: str,
    outcome: Outcome,
    detail: str,
    retry_after_seconds: float | None = None,
) -> web.Response:
    return make_refusal(
        code,
        outcome,
        detail,
        parsed.request_id,
        retry_after_seconds,
    )
