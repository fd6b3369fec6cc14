"""Callers' requests: from the route to the answer."""

__all__ = ('Dispatcher',)

import asyncio

from zinniaturn.choosing.exceptions import RefusedError
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.attempts import AttemptRunner
from zinniaturn.gateway.jobs import Job
from zinniaturn.gateway.placer import Placer
from zinniaturn.gateway.refusals import refusal
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.exchanges import CallerExchange, Reply
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Request, Response, find_field
from zinniaturn.outcomes import Event, Outcome, Phase, combine, decide
from zinniaturn.placing.elapsed_time import ElapsedTimeEstimator
from zinniaturn.placing.pool_selection import PoolSelector

_FIRST_FAILURE = 400
_NOT_READY_SECONDS = 0.3
_MILLISECONDS = 1000


class Dispatcher:
    """Answers the requests of callers."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.attempts = AttemptRunner(state, Placer(state))
        self.spreader = PoolSelector(state.source)
        self.elapsed = ElapsedTimeEstimator()
        self.limits = CallerLimits()

    @property
    def is_stopping(self) -> bool:
        """Return whether connections should be closed after their answer."""
        return self.state.is_stopping

    def handle(
        self,
        exchange: CallerExchange,
    ) -> Reply:
        """Return the answer of a request, or a coroutine that brings it."""
        request = exchange.request
        tables = self.state.knowledge.tables
        if tables is None:
            return self._refuse_early(request, 'not-ready', _NOT_READY_SECONDS)
        host = find_field(request.fields, b'host') or b''
        path = request.target.partition(b'?')[0]
        route = self.state.matcher.find(
            host.decode('latin-1').partition(':')[0].lower(),
            path.decode('latin-1'),
            request.method.decode('latin-1'),
        )
        if route is None:
            return self._refuse_early(request, 'no-route', None)
        name = self.spreader.select(route)
        pool = tables.pools.get(name, FleetPool(name, ()))
        seconds = self.state.dialect.caller_seconds(request.fields)
        limit = min(route.deadline_seconds, seconds or route.deadline_seconds)
        job = Job(
            request,
            _text_of(self.state.dialect.request_id(request.fields)),
            route,
            pool,
            request.began_at,
            request.began_at + limit,
            bool(route.idempotent),
        )
        if seconds is not None:
            job.elapsed = self.elapsed.estimate(route.name, seconds)
        self.state.arrivals.note(request.began_at)
        self.state.allowance(name).note_request(request.began_at)
        return self._serve(exchange, job)

    async def _serve(self, exchange: CallerExchange, job: Job) -> Response:
        try:
            async with asyncio.timeout_at(job.deadline):
                if not job.idempotent:
                    await exchange.wait_for_turn()
                answer = await self.attempts.run(job)
        except TimeoutError:
            return self._give_up(job)
        except RefusedError as error:
            return self._refuse(job, error)
        except asyncio.CancelledError:
            self._log(job, 'caller left', 0)
            raise
        except Exception as error:
            return self._fail(job, error)
        return self._pass_on(job, answer)

    def _pass_on(self, job: Job, answer: Response) -> Response:
        now = asyncio.get_running_loop().time()
        if answer.status < _FIRST_FAILURE:
            self.state.counters.observe(job.route.name, now - job.arrived_at)
            self._log(job, 'answered', answer.status)
        else:
            self._log(job, 'failed by server', answer.status)
        return self.state.dialect.caller_answer(answer)

    def _fail(self, job: Job, error: Exception) -> Response:
        """Answer a request that met a fault of ours; it may have run."""
        job.detail = repr(error)
        self.state.note_fault('a request', error)
        return self._final(job, 'internal', Outcome.UNKNOWN, None)

    def _give_up(self, job: Job) -> Response:
        phase = Phase.SENT_WHOLE if job.attempts else Phase.NOT_SENT
        job.known = combine(job.known, decide(phase, Event.DEADLINE_PASSED))
        return self._final(job, job.known.code, job.known.outcome, None)

    def _refuse(self, job: Job, error: RefusedError) -> Response:
        known = job.known
        job.detail = job.detail or error.message
        if known is None:
            return self._final(
                job,
                error.code,
                Outcome.NOT_RUN,
                error.retry_after_seconds,
            )
        seconds = error.retry_after_seconds
        return self._final(job, known.code, known.outcome, seconds)

    def _final(
        self,
        job: Job,
        code: str,
        outcome: Outcome,
        retry_after_seconds: float | None,
    ) -> Response:
        answer = refusal(code, outcome, retry_after_seconds)
        self._log(job, f'{code}: {outcome.value}', answer.status)
        return answer

    def _refuse_early(
        self,
        request: Request,
        code: str,
        seconds: float | None,
    ) -> Response:
        answer = refusal(code, Outcome.NOT_RUN, seconds)
        self.state.counters.count('', code)
        self.state.journal.write(
            LogEvent.REQUEST_ENDED,
            is_failure=True,
            request=_text_of(self.state.dialect.request_id(request.fields)),
            target=_text_of(request.target),
            outcome=code,
            status=answer.status,
            tables_revision=self._tables_revision(),
        )
        return answer

    def _tables_revision(self) -> int:
        document = self.state.knowledge.document
        return document.revision if document else 0

    def _log(self, job: Job, outcome: str, status: int) -> None:
        now = asyncio.get_running_loop().time()
        self.state.counters.count(job.route.name, outcome)
        report = job.report
        self.state.journal.write(
            LogEvent.REQUEST_ENDED,
            is_failure=outcome != 'answered',
            request=job.request_id,
            route=job.route.name,
            pool=job.pool.name,
            outcome=outcome,
            status=status,
            milliseconds=round((now - job.arrived_at) * _MILLISECONDS, 1),
            waited_ms=round(
                ((job.first_sent_at or now) - job.arrived_at) * _MILLISECONDS,
                1,
            ),
            servers=job.servers,
            second_send=job.second_send,
            probed=job.probed,
            load=report
            and [
                report.busy,
                report.queued,
                report.slots,
                report.slowness,
            ],
            expected_ms=round(job.expected * _MILLISECONDS, 1),
            elapsed_ms=round(job.elapsed * _MILLISECONDS),
            limit_ms=round((job.deadline - job.arrived_at) * _MILLISECONDS),
            detail=job.detail,
            tables_revision=self._tables_revision(),
            state_age_ms=self.state.knowledge.age_ms,
        )


def _text_of(raw: bytes | None) -> str:
    return (raw or b'').decode('latin-1')
