"""Runs one request against its pool: attempts, retries and rejections."""

__all__ = ('Dispatcher',)

from collections.abc import Awaitable, Callable

from aiohttp import web

from zinniaturn.choosing import PoolState, RejectedError
from zinniaturn.entry.attempts import AttemptRunner
from zinniaturn.entry.requests import CallerRequest
from zinniaturn.entry.responses import make_rejection, relay_response
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
        relay: Relay = relay_response,
    ) -> web.StreamResponse:
        """
        Return what ``relay`` returns for the backend server's response.

        Failed attempts are retried as the outcome table and the retry budget
        allow. Raises `ExchangeError` if a response broke off after its head.
        """
        attempts = AttemptRunner(self.state, parsed, pool)
        verdict: Verdict | None = None
        while True:
            try:
                return await self._attempt(request, attempts, relay)
            except RejectedError as error:
                return self._reject_unserved(parsed, error, verdict)
            except ExchangeError as error:
                verdict = combine_verdicts(verdict, _verdict(error))
                self._record_attempt_end(attempts, error, verdict)
                if not _may_retry(verdict, attempts):
                    return self._reject_after_failure(attempts, verdict, error)

    async def _attempt(
        self,
        request: web.BaseRequest,
        attempts: AttemptRunner,
        relay: Relay,
    ) -> web.StreamResponse:
        attempt = await attempts.run()
        try:
            response = await relay(request, attempt.response)
        except ExchangeError:
            self._count_cut_response(attempts.pool.pool.name)
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

    def _count_cut_response(self, pool: str) -> None:
        self.state.metrics.cut_responses.inc({'pool': pool})
        if self.state.lifecycle.is_stopping():
            self.state.metrics.requests_cut_while_stopping.inc({'pool': pool})

    def _record_attempt_end(
        self,
        attempts: AttemptRunner,
        error: ExchangeError,
        verdict: Verdict,
    ) -> None:
        self.state.recorder.record(
            RequestEnded(
                attempts.parsed.request_id,
                attempts.pool.pool.name,
                error.phase.name.lower(),
                error.event.value,
                verdict.outcome.value,
                error.message,
            ),
        )

    def _record_rejection(
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

    def _reject_after_failure(
        self,
        attempts: AttemptRunner,
        verdict: Verdict,
        error: ExchangeError,
    ) -> web.Response:
        pool = attempts.pool
        self.state.metrics.count(pool.pool.name, verdict.outcome.value)
        self._record_rejection(
            attempts.parsed,
            verdict.code,
            verdict.outcome,
            error.message,
        )
        rejection = make_rejection(
            verdict.code,
            verdict.outcome,
            error.message,
            attempts.parsed.request_id,
            pool.retry_after(),
        )
        if error.event is Event.REQUEST_BROKEN:
            rejection.force_close()
        return rejection

    def _reject_unserved(
        self,
        parsed: CallerRequest,
        error: RejectedError,
        verdict: Verdict | None,
    ) -> web.Response:
        """
        Return the rejection of a request that found no server.

        The outcome of earlier attempts takes precedence if one of them may
        have run.
        """
        outcome, code = Outcome.NOT_RUN, error.code
        if verdict is not None and verdict.outcome is not Outcome.NOT_RUN:
            outcome, code = verdict.outcome, verdict.code
        self.state.metrics.count(parsed.route.pool, outcome.value)
        self._record_rejection(parsed, code, outcome, error.message)
        return make_rejection(
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


def _may_retry(verdict: Verdict, attempts: AttemptRunner) -> bool:
    parsed = attempts.parsed
    allowed = (
        verdict.retry_idempotent
        if parsed.idempotent
        else verdict.retry_non_idempotent
    )
    if not allowed or not parsed.can_resend:
        return False
    if attempts.sent_count >= _MAX_ATTEMPTS:
        return False
    return attempts.pool.retry_budget.try_withdraw()
