"""One request against its pool: choosing, trying, trying again."""

__all__ = ('Dispatcher',)

import asyncio
import itertools

from aiohttp import web

from zinniaturn.choosing import (
    Completion,
    PoolState,
    RefusedError,
    ServerState,
)
from zinniaturn.entry.answers import make_refusal, relay_answer
from zinniaturn.entry.load_reports import is_shed, read_load
from zinniaturn.entry.requests import CallerRequest
from zinniaturn.entry.state import EntryState
from zinniaturn.forwarding import Answer, ExchangeError, exchange
from zinniaturn.outcomes import Event, Outcome, Phase, Verdict, combine, decide

_MAX_ATTEMPTS = 3
_ERROR_STATUS = 500


class Dispatcher:
    """Runs requests against the pools of an entry."""

    def __init__(self, state: EntryState) -> None:
        self.state = state

    async def run(
        self,
        request: web.BaseRequest,
        parsed: CallerRequest,
    ) -> web.StreamResponse:
        """Return the answer to the caller; raises where it was cut short."""
        pool = self.state.pools[parsed.route.pool]
        tried: set[str] = set()
        known: Verdict | None = None
        for attempt in itertools.count(1):
            try:
                server = pool.acquire(tried)
            except RefusedError as error:
                return self._refuse(parsed, error, known)
            tried.add(server.server.name)
            try:
                return await self._attempt(request, parsed, pool, server)
            except ExchangeError as error:
                if error.phase >= Phase.ANSWER_BEGUN:
                    raise
                known = combine(known, decide(error.phase, error.event))
                if not _may_retry(known, parsed, attempt):
                    return self._give_up(parsed, known, error)
        raise AssertionError('unreachable: the attempts are bounded')

    async def _attempt(
        self,
        request: web.BaseRequest,
        parsed: CallerRequest,
        pool: PoolState,
        server: ServerState,
    ) -> web.StreamResponse:
        started = self.state.clock.monotonic()
        completion = Completion(succeeded=False, latency_seconds=0)
        try:
            answer = await self._exchange(parsed, server)
            completion = Completion(
                succeeded=answer.message.code < _ERROR_STATUS,
                latency_seconds=self.state.clock.monotonic() - started,
                report=read_load(answer.message.headers),
            )
            response = await relay_answer(request, answer)
        finally:
            pool.release(server, completion)
        self.state.metrics.count(pool.pool.name, 'answered')
        return response

    async def _exchange(
        self,
        parsed: CallerRequest,
        server: ServerState,
    ) -> Answer:
        loop = asyncio.get_running_loop()
        remaining = parsed.deadline - self.state.clock.monotonic()
        answer = await exchange(
            self.state.connections,
            (server.server.host, server.server.port),
            parsed.backend_request,
            loop.time() + remaining,
        )
        if is_shed(answer.message):
            answer.discard()
            raise ExchangeError(
                f'{server.server.name} shed the request',
                answer.sent,
                Event.SERVER_SHED,
            )
        return answer

    def _give_up(
        self,
        parsed: CallerRequest,
        verdict: Verdict,
        error: ExchangeError,
    ) -> web.Response:
        self.state.metrics.count(parsed.route.pool, verdict.outcome.value)
        return make_refusal(
            verdict.code,
            verdict.outcome,
            error.message,
            parsed.request_id,
            retry_after_seconds=1,
        )

    def _refuse(
        self,
        parsed: CallerRequest,
        error: RefusedError,
        known: Verdict | None,
    ) -> web.Response:
        """Refuse, saying what is known of the tries that came before."""
        outcome, code = Outcome.NOT_RUN, error.code
        if known is not None and known.outcome is not Outcome.NOT_RUN:
            outcome, code = known.outcome, known.code
        self.state.metrics.count(parsed.route.pool, outcome.value)
        return make_refusal(
            code,
            outcome,
            error.message,
            parsed.request_id,
            error.retry_after_seconds,
        )


def _may_retry(verdict: Verdict, parsed: CallerRequest, attempts: int) -> bool:
    if attempts >= _MAX_ATTEMPTS or not parsed.can_repeat:
        return False
    if parsed.idempotent:
        return verdict.retry_idempotent
    return verdict.retry_non_idempotent
