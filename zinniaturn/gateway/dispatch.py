"""Handles callers' requests: finds routes, runs attempts and responds."""

__all__ = ('Dispatcher',)

import asyncio

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.attempt_runner import AttemptRunner
from zinniaturn.gateway.rejections import rejection_response
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.scheduler import RequestScheduler
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.exchanges import CallerExchange, Reply
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Request, Response, find_field
from zinniaturn.outcomes import (
    Event,
    Outcome,
    Phase,
    combine_verdicts,
    verdict_for,
)
from zinniaturn.placing.elapsed_time import ElapsedTimeEstimator
from zinniaturn.placing.pool_selection import PoolSelector

_FIRST_ERROR_STATUS = 400
_NOT_READY_RETRY_SECONDS = 0.3
_MILLISECONDS_PER_SECOND = 1000


class Dispatcher:
    """Handles the requests of callers."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.attempt_runner = AttemptRunner(state, RequestScheduler(state))
        self.pool_selector = PoolSelector(state.random_source)
        self.elapsed_times = ElapsedTimeEstimator()
        self.limits = CallerLimits()

    @property
    def is_stopping(self) -> bool:
        """Return whether connections should be closed after the response."""
        return self.state.is_stopping

    def probe_leaving_servers(self) -> None:
        """Probe the servers that said they leave; call it twice a second."""
        self.attempt_runner.scheduler.search.probe_leaving()

    def handle(
        self,
        exchange: CallerExchange,
    ) -> Reply:
        """Return the response to a request, or a coroutine that returns it."""
        request = exchange.request
        tables = self.state.fleet_state.tables
        if tables is None:
            return self._reject_unrouted(
                request, 'not-ready', _NOT_READY_RETRY_SECONDS
            )
        host = find_field(request.fields, b'host') or b''
        path = request.target.partition(b'?')[0]
        route = self.state.matcher.find(
            host.decode('latin-1').partition(':')[0].lower(),
            path.decode('latin-1'),
            request.method.decode('latin-1'),
        )
        if route is None:
            return self._reject_unrouted(request, 'no-route', None)
        name = self.pool_selector.select(route)
        pool = tables.pools.get(name, FleetPool(name, ()))
        seconds = self.state.wire_format.caller_timeout_seconds(request.fields)
        limit = min(route.deadline_seconds, seconds or route.deadline_seconds)
        context = RequestContext(
            request,
            _decode(self.state.wire_format.request_id(request.fields)),
            route,
            pool,
            request.started_at,
            request.started_at + limit,
            bool(route.idempotent),
        )
        if seconds is not None:
            context.elapsed_before = self.elapsed_times.estimate(
                route.name, seconds
            )
        self.state.arrival_rate.note(request.started_at)
        self.state.retry_budget(name).note_request(request.started_at)
        return self._serve(exchange, context)

    async def _serve(
        self, exchange: CallerExchange, context: RequestContext
    ) -> Response:
        try:
            async with asyncio.timeout_at(context.deadline):
                if not context.idempotent:
                    await exchange.wait_for_turn()
                response = await self.attempt_runner.run(context)
        except TimeoutError:
            return self._time_out(context)
        except RejectedError as error:
            return self._reject(context, error)
        except asyncio.CancelledError:
            self._log(context, 'caller left', 0)
            raise
        except Exception as error:
            return self._report_internal_error(context, error)
        return self._forward_response(context, response)

    def _forward_response(
        self, context: RequestContext, response: Response
    ) -> Response:
        now = asyncio.get_running_loop().time()
        if response.status < _FIRST_ERROR_STATUS:
            self.state.counters.observe_latency(
                context.route.name, now - context.arrived_at
            )
            self._log(context, 'answered', response.status)
        else:
            self._log(context, 'failed by server', response.status)
        return self.state.wire_format.caller_response(response)

    def _report_internal_error(
        self, context: RequestContext, error: Exception
    ) -> Response:
        """Respond after an unexpected exception; the request may have run."""
        context.detail = repr(error)
        self.state.log_fault('a request', error)
        return self._respond(context, 'internal', Outcome.UNKNOWN, None)

    def _time_out(self, context: RequestContext) -> Response:
        phase = Phase.SENT_WHOLE if context.attempt_count else Phase.NOT_SENT
        context.verdict = combine_verdicts(
            context.verdict, verdict_for(phase, Event.DEADLINE_PASSED)
        )
        return self._respond(
            context, context.verdict.code, context.verdict.outcome, None
        )

    def _reject(
        self, context: RequestContext, error: RejectedError
    ) -> Response:
        verdict = context.verdict
        context.detail = context.detail or error.message
        if verdict is None:
            return self._respond(
                context,
                error.code,
                Outcome.NOT_RUN,
                error.retry_after_seconds,
            )
        seconds = error.retry_after_seconds
        return self._respond(context, verdict.code, verdict.outcome, seconds)

    def _respond(
        self,
        context: RequestContext,
        code: str,
        outcome: Outcome,
        retry_after_seconds: float | None,
    ) -> Response:
        response = rejection_response(code, outcome, retry_after_seconds)
        self._log(context, f'{code}: {outcome.value}', response.status)
        return response

    def _reject_unrouted(
        self,
        request: Request,
        code: str,
        seconds: float | None,
    ) -> Response:
        response = rejection_response(code, Outcome.NOT_RUN, seconds)
        self.state.counters.count_request('', code)
        self.state.event_log.write(
            LogEvent.REQUEST_ENDED,
            is_failure=True,
            request=_decode(self.state.wire_format.request_id(request.fields)),
            target=_decode(request.target),
            outcome=code,
            status=response.status,
            tables_revision=self._tables_revision(),
        )
        return response

    def _tables_revision(self) -> int:
        document = self.state.fleet_state.document
        return document.revision if document else 0

    def _log(self, context: RequestContext, outcome: str, status: int) -> None:
        now = asyncio.get_running_loop().time()
        self.state.counters.count_request(context.route.name, outcome)
        report = context.load_report
        self.state.event_log.write(
            LogEvent.REQUEST_ENDED,
            is_failure=outcome != 'answered',
            request=context.request_id,
            route=context.route.name,
            pool=context.pool.name,
            outcome=outcome,
            status=status,
            milliseconds=round(
                (now - context.arrived_at) * _MILLISECONDS_PER_SECOND, 1
            ),
            waited_ms=round(
                ((context.first_sent_at or now) - context.arrived_at)
                * _MILLISECONDS_PER_SECOND,
                1,
            ),
            servers=context.server_names,
            second_send=context.second_send,
            probed=context.probe_count,
            queued=context.queue_length,
            avoids_slow=context.avoids_slow_servers,
            withheld=context.withheld,
            load=report
            and [
                report.busy,
                report.queued,
                report.slots,
                report.slowness,
            ],
            expected_ms=round(
                context.expected_seconds * _MILLISECONDS_PER_SECOND, 1
            ),
            elapsed_ms=round(context.elapsed_before * _MILLISECONDS_PER_SECOND),
            limit_ms=round(
                (context.deadline - context.arrived_at)
                * _MILLISECONDS_PER_SECOND
            ),
            detail=context.detail,
            tables_revision=self._tables_revision(),
            state_age_ms=self.state.fleet_state.age_ms,
        )


def _decode(raw: bytes | None) -> str:
    return (raw or b'').decode('latin-1')
