"""One request against its pool: choosing, trying, trying again."""

__all__ = ('Dispatcher',)

from collections.abc import Awaitable, Callable

from aiohttp import web

from zinniaturn.choosing import PoolState, RefusedError
from zinniaturn.entry.answers import make_refusal, relay_answer
from zinniaturn.entry.attempts import Attempts
from zinniaturn.entry.requests import CallerRequest
from zinniaturn.entry.state import EntryState
from zinniaturn.explain.decisions import RequestEnded, RequestRefused
from zinniaturn.forwarding import BackendResponse, ExchangeError
from zinniaturn.outcomes import (
    Event,
    Outcome,
    Phase,
    Verdict,
    combine_verdicts,
    verdict_for,
)

_MAX_ATTEMPTS = 3

Relay = Callable[
    [web.BaseRequest, BackendResponse], Awaitable[web.StreamResponse]
]


class Dispatcher:
    """Runs requests against the pools of an entry."""

    def __init__(self, state: EntryState) -> None:
        self.state = state

    async def run(
        self,
        request: web.BaseRequest,
        parsed: CallerRequest,
        pool: PoolState,
        relay: Relay = relay_answer,
    ) -> web.StreamResponse:
        """
        Return the answer to the caller, as ``relay`` passes it on.

        Raises `ExchangeError` where it was cut short.
        """
        attempts = Attempts(self.state, parsed, pool)
        known: Verdict | None = None
        while True:
            try:
                return await self._attempt(request, attempts, relay)
            except RefusedError as error:
                return self._refuse(parsed, error, known)
            except ExchangeError as error:
                known = combine_verdicts(known, _verdict(error))
                self._record_end(attempts, error, known)
                if not _may_retry(known, attempts):
                    return self._give_up(attempts, known, error)

    async def _attempt(
        self,
        request: web.BaseRequest,
        attempts: Attempts,
        relay: Relay,
    ) -> web.StreamResponse:
        attempt = await attempts.run()
        try:
            response = await relay(request, attempt.answer)
        except ExchangeError:
            self._count_cut(attempts.pool.pool.name)
            raise
        finally:
            attempts.finish(attempt)
        name = attempts.pool.pool.name
        self.state.metrics.count(name, 'answered')
        self.state.metrics.observe(
            name,
            self.state.clock.monotonic() - attempts.started,
        )
        return response

    def _count_cut(self, pool: str) -> None:
        self.state.metrics.cut_answers.inc({'pool': pool})
        if self.state.lifecycle.is_stopping():
            self.state.metrics.requests_cut_while_stopping.inc({'pool': pool})

    def _record_end(
        self,
        attempts: Attempts,
        error: ExchangeError,
        known: Verdict,
    ) -> None:
        self.state.recorder.record(
            RequestEnded(
                attempts.parsed.request_id,
                attempts.pool.pool.name,
                error.phase.name.lower(),
                error.event.value,
                known.outcome.value,
                error.message,
            ),
        )

    def _record_refusal(
        self,
        parsed: CallerRequest,
        code: str,
        outcome: Outcome,
        detail: str,
    ) -> None:
        self.state.recorder.record(
            RequestRefused(
                parsed.request_id,
                parsed.route.pool,
                code,
                outcome.value,
                detail,
            ),
        )

    def _give_up(
        self,
        attempts: Attempts,
        known: Verdict,
        error: ExchangeError,
    ) -> web.Response:
        pool = attempts.pool
        self.state.metrics.count(pool.pool.name, known.outcome.value)
        self._record_refusal(
            attempts.parsed,
            known.code,
            known.outcome,
            error.message,
        )
        refusal = make_refusal(
            known.code,
            known.outcome,
            error.message,
            attempts.parsed.request_id,
            pool.retry_after(),
        )
        if error.event is Event.REQUEST_BROKEN:
            refusal.force_close()
        return refusal

    def _refuse(
        self,
        parsed: CallerRequest,
        error: RefusedError,
        known: Verdict | None,
    ) -> web.Response:
        """Refuse, saying what is known of the attempts that came before."""
        outcome, code = Outcome.NOT_RUN, error.code
        if known is not None and known.outcome is not Outcome.NOT_RUN:
            outcome, code = known.outcome, known.code
        self.state.metrics.count(parsed.route.pool, outcome.value)
        self._record_refusal(parsed, code, outcome, error.message)
        return make_refusal(
            code,
            outcome,
            error.message,
            parsed.request_id,
            error.retry_after_seconds,
        )


def _verdict(error: ExchangeError) -> Verdict:
    if error.phase >= Phase.ANSWER_BEGUN:
        raise error
    return verdict_for(error.phase, error.event)


def _may_retry(verdict: Verdict, attempts: Attempts) -> bool:
    parsed = attempts.parsed
    allowed = (
        verdict.retry_idempotent
        if parsed.idempotent
        else verdict.retry_non_idempotent
    )
    if not allowed or not parsed.can_repeat:
        return False
    if attempts.sent >= _MAX_ATTEMPTS:
        return False
    return attempts.pool.retries.try_withdraw()
