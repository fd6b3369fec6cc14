"""Handles callers' requests: finds routes, runs attempts and responds."""

__all__ = ('Dispatcher',)

import asyncio

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.fleet.tables import FleetPool, FleetRoute, FleetTables
from zinniaturn.gateway.allowance_gate import AllowanceGate
from zinniaturn.gateway.attempt_runner import AttemptRunner
from zinniaturn.gateway.crash_watch import CrashWatch
from zinniaturn.gateway.quarantine_gate import QuarantineGate
from zinniaturn.gateway.rejections import rejection_response
from zinniaturn.gateway.relay_client import RelayClient
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.request_log import RequestLog, decode_text
from zinniaturn.gateway.results import RequestResult
from zinniaturn.gateway.scheduler import RequestScheduler
from zinniaturn.gateway.start_gate import StartGate
from zinniaturn.gateway.state import GatewayState
from zinniaturn.gateway.stop_gate import StopGate
from zinniaturn.gateway.tenant_gate import KEY_CODES, TenantGate
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
# In route timeouts. A caller that waits for longer than the others must not let
# their first attempts look like later ones for long.
_LONGEST_COUNTED_TIMEOUT = 4


class Dispatcher:
    """Handles the requests of callers."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        scheduler = RequestScheduler(state)
        self.start_gate = StartGate(state)
        state.fleet_state.observers.append(self.start_gate.note_change)
        self.stop_gate = StopGate(state, scheduler.retry_after_jitter)
        self.crash_watch = CrashWatch(state)
        self.tenant_gate = TenantGate(state, scheduler.retry_after_jitter)
        self.attempt_runner = AttemptRunner(
            state,
            scheduler,
            RelayClient(state),
            self.crash_watch,
            QuarantineGate(state, scheduler.retry_after_jitter),
            self.stop_gate,
            self.tenant_gate,
            AllowanceGate(state, scheduler.service_times),
        )
        self.pool_selector = PoolSelector(state.random_source)
        self.elapsed_times = ElapsedTimeEstimator()
        self.limits = CallerLimits()
        self.log = RequestLog(state)

    @property
    def is_stopping(self) -> bool:
        """Return whether connections should be closed after the response."""
        return self.state.is_stopping

    def probe_leaving_servers(self) -> None:
        """Probe the servers that said they leave; call it twice a second."""
        self.attempt_runner.scheduler.search.probe_leaving()

    def begin_stop(self) -> None:
        """Reject the waiting requests that may outlast the process."""
        self.stop_gate.reject_waiting(
            self.attempt_runner.scheduler.queues.values()
        )

    def handle(
        self,
        exchange: CallerExchange,
    ) -> Reply:
        """Return the response to a request, or a coroutine that returns it."""
        tables = self.state.fleet_state.tables
        if tables is not None:
            return self._handle_by(tables, exchange)
        request = exchange.request
        seconds = self.start_gate.seconds_left(
            self.state.wire_format.caller_timeout_seconds(request.fields)
        )
        if seconds:
            return self._handle_after_start(exchange, seconds)
        return self._reject_unready(request)

    async def _handle_after_start(
        self, exchange: CallerExchange, seconds: float
    ) -> Response:
        """Return the response to a request that came before any tables."""
        await self.start_gate.wait(seconds)
        tables = self.state.fleet_state.tables
        if tables is None:
            return self._reject_unready(exchange.request)
        reply = self._handle_by(tables, exchange)
        return reply if isinstance(reply, Response) else await reply

    def _handle_by(
        self, tables: FleetTables, exchange: CallerExchange
    ) -> Reply:
        """Return the response by some tables, or a coroutine for it."""
        request = exchange.request
        route = self.find_route(request)
        if route is None:
            return self._reject_unrouted(request, 'no-route', None)
        try:
            tenant = self.tenant_gate.admit(request, route)
        except RejectedError as error:
            return self._reject_unrouted(
                request,
                error.code,
                error.retry_after_seconds,
                route.name,
                error.message,
            )
        name = self.pool_selector.select(route)
        pool = tables.pools.get(name, FleetPool(name, ()))
        seconds = self.state.wire_format.caller_timeout_seconds(request.fields)
        limit = route.deadline_seconds
        if seconds is not None:
            limit = min(limit, seconds)
        context = RequestContext(
            request,
            decode_text(self.state.wire_format.request_id(request.fields)),
            route,
            pool,
            request.started_at,
            request.started_at + limit,
            bool(route.idempotent),
            tenant=tenant,
        )
        if seconds is not None:
            longest = route.deadline_seconds * _LONGEST_COUNTED_TIMEOUT
            context.elapsed_before = self.elapsed_times.estimate(
                route.name, min(seconds, longest)
            )
        self.state.note_request(name, request.started_at)
        return self._serve(exchange, context)

    def find_route(self, request: Request) -> FleetRoute | None:
        """Return the route of a request, ``None`` if no route matches it."""
        host = find_field(request.fields, b'host') or b''
        path = request.target.partition(b'?')[0]
        return self.state.matcher.find(
            host.decode('latin-1').partition(':')[0].lower(),
            path.decode('latin-1'),
            request.method.decode('latin-1'),
        )

    async def run(
        self, context: RequestContext, exchange: CallerExchange | None = None
    ) -> RequestResult:
        """
        Run a request's attempts within its deadline.

        A non-idempotent one waits until the earlier requests of its
        ``exchange``'s connection are answered.
        """
        try:
            async with asyncio.timeout_at(context.deadline):
                if exchange is not None and not context.idempotent:
                    await exchange.wait_for_turn()
                response = await self.attempt_runner.run(context)
        except TimeoutError:
            return self._time_out(context)
        except RejectedError as error:
            return self._reject(context, error)
        except asyncio.CancelledError:
            self.log.ended(context, 'caller left', 0)
            raise
        except Exception as error:
            return self._report_internal_error(context, error)
        return RequestResult(Outcome.RUN, response)

    def log_result(self, context: RequestContext, result: RequestResult) -> int:
        """Count and log a request's end; return the status for its caller."""
        response = result.response
        if response is None:
            outcome = f'{result.code}: {result.outcome.value}'
            status = self._rejection(result).status
            self._count_for_tenant(context, result)
        elif response.status < _FIRST_ERROR_STATUS:
            now = asyncio.get_running_loop().time()
            self.state.counters.observe_latency(
                context.route.name, now - context.arrived_at
            )
            outcome = 'answered'
            status = response.status
        else:
            outcome = 'failed by server'
            status = response.status
        try:
            self.log.ended(context, outcome, status)
        except Exception as error:
            # The caller gets its response whatever the log can hold.
            self.state.log_fault('logging a request', error)
        return status

    def _count_for_tenant(
        self, context: RequestContext, result: RequestResult
    ) -> None:
        """Count a rejection for operators who ask about the tenant."""
        if context.tenant is None or result.outcome is not Outcome.NOT_RUN:
            return
        rejections = self.state.counters.tenant_rejections
        rejections.note(context.tenant.name, result.code)

    async def _serve(
        self, exchange: CallerExchange, context: RequestContext
    ) -> Response:
        result = await self.run(context, exchange)
        self.log_result(context, result)
        if result.response is not None:
            return self.state.wire_format.caller_response(result.response)
        return self._rejection(result)

    def _rejection(self, result: RequestResult) -> Response:
        return rejection_response(
            result.code, result.outcome, result.retry_after_seconds
        )

    def _report_internal_error(
        self, context: RequestContext, error: Exception
    ) -> RequestResult:
        """Reject after an unexpected exception; the request may have run."""
        context.detail = repr(error)
        self.state.log_fault('a request', error)
        return RequestResult(Outcome.UNKNOWN, code='internal')

    def _time_out(self, context: RequestContext) -> RequestResult:
        phase = Phase.SENT_WHOLE if context.attempt_count else Phase.NOT_SENT
        verdict = combine_verdicts(
            context.verdict, verdict_for(phase, Event.DEADLINE_PASSED)
        )
        return RequestResult(verdict.outcome, code=verdict.code)

    def _reject(
        self, context: RequestContext, error: RejectedError
    ) -> RequestResult:
        verdict = context.verdict
        context.detail = context.detail or error.message
        seconds = error.retry_after_seconds
        if verdict is None or (
            verdict.outcome is Outcome.NOT_RUN and error.code in KEY_CODES
        ):
            return RequestResult(
                Outcome.NOT_RUN, code=error.code, retry_after_seconds=seconds
            )
        return RequestResult(
            verdict.outcome, code=verdict.code, retry_after_seconds=seconds
        )

    def _reject_unready(self, request: Request) -> Response:
        return self._reject_unrouted(
            request, 'not-ready', _NOT_READY_RETRY_SECONDS
        )

    def _reject_unrouted(
        self,
        request: Request,
        code: str,
        seconds: float | None,
        route: str = '',
        detail: str = '',
    ) -> Response:
        response = rejection_response(code, Outcome.NOT_RUN, seconds)
        self.log.unserved(request, code, response.status, route, detail)
        return response
