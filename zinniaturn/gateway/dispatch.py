"""Callers' requests: from the route to the answer."""

__all__ = ('Dispatcher',)

import asyncio
from collections.abc import Coroutine

from zinniaturn.choosing.exceptions import RefusedError
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.attempt import send_once
from zinniaturn.gateway.exceptions import AttemptError
from zinniaturn.gateway.jobs import Job, Placement
from zinniaturn.gateway.placer import Placer
from zinniaturn.gateway.refusals import refusal
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.callers import Exchange as CallerExchange
from zinniaturn.http1.messages import Request, Response, find_field
from zinniaturn.outcomes import Event, Outcome, Phase, combine, decide
from zinniaturn.placing.elapsed import ElapsedTimes
from zinniaturn.placing.hedging import second_send_delay
from zinniaturn.placing.spreading import Spreader
from zinniaturn.tables.domain import CallerLimits, Pool

_FIRST_FAILURE = 400
_NOT_READY_SECONDS = 0.3
_MILLISECONDS = 1000


class Dispatcher:
    """Answers the requests of callers."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.placer = Placer(state)
        self.spreader = Spreader(state.source)
        self.elapsed = ElapsedTimes()
        self.limits = CallerLimits()

    @property
    def is_stopping(self) -> bool:
        """Return whether connections should be closed after their answer."""
        return self.state.is_stopping

    def handle(
        self,
        exchange: CallerExchange,
    ) -> Response | Coroutine[None, None, Response]:
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
        name = self.spreader.pool_of(route)
        pool = tables.pools.get(name, Pool(name, ()))
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
            job.elapsed = self.elapsed.elapsed(route.name, seconds)
        self.state.allowance(name).note_request(request.began_at)
        return self._serve(exchange, job)

    async def _serve(self, exchange: CallerExchange, job: Job) -> Response:
        try:
            async with asyncio.timeout_at(job.deadline):
                if not job.idempotent:
                    await exchange.wait_for_turn()
                answer = await self._run(job)
        except TimeoutError:
            return self._give_up(job, Event.DEADLINE_PASSED)
        except RefusedError as error:
            return self._refuse(job, error)
        except asyncio.CancelledError:
            self._log(job, 'caller left', 0)
            raise
        return self._pass_on(job, answer)

    async def _run(self, job: Job) -> Response:
        """Return the answer of the attempt that ends the job."""
        while True:
            placement = await self.placer.place(job)
            try:
                return await self._attempt(job, placement)
            except AttemptError as error:
                self._note(job, error)
                if not self._may_repeat(job):
                    if error.answer is not None:
                        return error.answer
                    raise RefusedError(error.message, 'given-up') from error

    async def _attempt(self, job: Job, placement: Placement) -> Response:
        first = self._start(job, placement)
        if not job.idempotent:
            return await _result(first)
        now = first.get_loop().time()
        delay = second_send_delay(
            placement.work,
            placement.expected,
            job.objective_at - now,
        )
        if delay is None:
            return await _result(first)
        try:
            await asyncio.wait((first,), timeout=delay)
            if first.done() or not self._may_hedge(job):
                return await _result(first)
            return await self._race(job, first)
        except asyncio.CancelledError:
            first.cancel()
            raise

    async def _race(
        self,
        job: Job,
        first: 'asyncio.Task[Response]',
    ) -> Response:
        """Send to a second server and return whichever answers first."""
        running = {first}
        try:
            try:
                placement = await self.placer.place(job)
            except RefusedError:
                return await _result(first)
            self.state.counters.events['second_send'] += 1
            running.add(self._start(job, placement))
            failed: AttemptError | None = None
            while running:
                done, running = await asyncio.wait(
                    running,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    try:
                        return task.result()
                    except AttemptError as error:
                        if failed is not None:
                            self._note(job, failed)
                        failed = error
            assert failed is not None
            raise failed
        finally:
            for task in running:
                task.cancel()

    def _start(
        self,
        job: Job,
        placement: Placement,
    ) -> 'asyncio.Task[Response]':
        name = placement.candidate.name
        job.tried.add(name)
        job.servers.append(name)
        job.attempts += 1
        job.report = placement.report
        job.expected = placement.expected
        return asyncio.ensure_future(self._send(job, placement))

    async def _send(self, job: Job, placement: Placement) -> Response:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        answer = await send_once(
            self.state,
            job,
            placement,
            lambda connection: self.placer.offer_freed(
                job.pool.name,
                placement,
                connection,
                loop.time(),
            ),
        )
        self.placer.work.learn(
            job.route.name,
            job.route.objective_seconds,
            loop.time() - sent_at,
            placement.expected,
        )
        return answer

    def _note(self, job: Job, error: AttemptError) -> None:
        verdict = decide(error.phase, error.event)
        job.known = combine(job.known, verdict)
        job.detail = error.message
        if verdict.outcome is Outcome.NOT_RUN:
            job.attempts -= 1

    def _may_repeat(self, job: Job) -> bool:
        assert job.known is not None
        allowed = (
            job.known.retry_idempotent
            if job.idempotent
            else job.known.outcome is Outcome.NOT_RUN
            and job.known.retry_non_idempotent
        )
        return allowed and self._may_send_again(job)

    def _may_hedge(self, job: Job) -> bool:
        waiting = self.placer.line(job.pool.name).waiting
        return not waiting and self._may_send_again(job)

    def _may_send_again(self, job: Job) -> bool:
        if job.attempts >= job.route.max_attempts:
            return False
        allowance = self.state.allowance(job.pool.name)
        now = asyncio.get_running_loop().time()
        return allowance.spend(now, self.state.vms.most())

    def _pass_on(self, job: Job, answer: Response) -> Response:
        now = asyncio.get_running_loop().time()
        if answer.status < _FIRST_FAILURE:
            self.state.counters.observe(job.route.name, now - job.arrived_at)
            self._log(job, 'answered', answer.status)
        else:
            self._log(job, 'failed by server', answer.status)
        return self.state.dialect.caller_answer(answer)

    def _give_up(self, job: Job, event: Event) -> Response:
        phase = Phase.SENT_WHOLE if job.attempts else Phase.NOT_SENT
        job.known = combine(job.known, decide(phase, event))
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
            servers=job.servers,
            asked=job.asked,
            load=report and [
                report.busy, report.queued, report.slots, report.slowness,
            ],
            expected_ms=round(job.expected * _MILLISECONDS, 1),
            elapsed_ms=round(job.elapsed * _MILLISECONDS),
            limit_ms=round((job.deadline - job.arrived_at) * _MILLISECONDS),
            detail=job.detail,
            tables_revision=self._tables_revision(),
            state_age_ms=round(
                min(1e6, self.state.knowledge.age_seconds) * _MILLISECONDS,
            ),
        )


async def _result(task: 'asyncio.Task[Response]') -> Response:
    """Return a task's result; cancelling the wait cancels the task."""
    return await task


def _text_of(raw: bytes | None) -> str:
    return (raw or b'').decode('latin-1')
