"""Runs the attempts of one request: the first, hedged requests and retries."""

__all__ = ('AttemptRunner',)

import asyncio
from dataclasses import dataclass

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.gateway.allowance_gate import AllowanceGate
from zinniaturn.gateway.attempt import send_attempt
from zinniaturn.gateway.attempt_results import (
    Attempt,
    first_response,
    record_failure,
)
from zinniaturn.gateway.crash_watch import CrashWatch
from zinniaturn.gateway.exceptions import (
    AttemptError,
    PlacementOutdatedError,
)
from zinniaturn.gateway.quarantine_gate import QuarantineGate, QuarantinePass
from zinniaturn.gateway.relay_client import RelayClient
from zinniaturn.gateway.request_context import Placement, RequestContext
from zinniaturn.gateway.scheduler import RequestScheduler
from zinniaturn.gateway.state import GatewayState
from zinniaturn.gateway.stop_gate import StopGate
from zinniaturn.gateway.tenant_gate import TenantGate
from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import (
    Event,
    Outcome,
    verdict_for,
)
from zinniaturn.placing.hedging import hedge_delay
from zinniaturn.placing.retry_after import seconds_after_shedding
from zinniaturn.reach.decision import PassOn

_HEDGE_RETRY_SECONDS = 0.1
# The caller meets another VM when it returns.
_TURNED_AWAY_RETRY_SECONDS = 0.1


@dataclass(slots=True)
class AttemptRunner:
    """Runs a request's attempts at servers that the scheduler assigns."""

    state: GatewayState
    scheduler: RequestScheduler
    relay_client: RelayClient
    crash_watch: CrashWatch
    gate: QuarantineGate
    stop_gate: StopGate
    tenant_gate: TenantGate
    allowances: AllowanceGate

    async def run(self, context: RequestContext) -> Response:
        """
        Return the response to forward to the caller.

        Raises `RejectedError` where no server gave one. ``context.verdict``
        then says what is known of the attempts.
        """
        with QuarantinePass(self.gate, context) as quarantine_pass:
            response = None
            while response is None:
                self.stop_gate.check(context)
                self.tenant_gate.check(context)
                await quarantine_pass.obtain()
                self.gate.avoid_suspects(context)
                assignment = await self._place(context)
                if quarantine_pass.is_valid():
                    response = await self._follow(context, assignment)
                else:
                    self._give_back(context, assignment)
        return response

    async def _place(self, context: RequestContext) -> Placement | PassOn:
        """
        Return where to send a request; raises `RejectedError`.

        A request of a tenant with an allowance needs a permit for each send.
        """
        expiry = await self.allowances.obtain(context)
        try:
            assignment = await self._place_permitted(context)
        except BaseException:
            self.allowances.give_back(context, expiry)
            raise
        match assignment:
            case PassOn():
                self.allowances.give_back(context, expiry)
            case Placement():
                await self._attach_permit(context, assignment, expiry)
        return assignment

    async def _attach_permit(
        self, context: RequestContext, placement: Placement, expiry: float
    ) -> None:
        """Give a placement its permit, a new one if the wait outlasted it."""
        if expiry <= self.state.admissions.clock.monotonic():
            try:
                expiry = await self.allowances.obtain(context)
            except BaseException:
                self._give_back(context, placement)
                raise
        placement.permit_expiry = expiry
        placement.send_before = min(placement.send_before, expiry)

    async def _place_permitted(
        self, context: RequestContext
    ) -> Placement | PassOn:
        """Return where to send a request that has a permit."""
        try:
            assignment = await self.scheduler.place(context)
        except RejectedError:
            # A stop that began meanwhile may have ended the wait.
            self.stop_gate.check(context)
            raise
        try:
            self.stop_gate.check(context)
            self.tenant_gate.check(context)
        except RejectedError:
            self._give_back(context, assignment)
            raise
        return assignment

    async def _follow(
        self, context: RequestContext, assignment: Placement | PassOn
    ) -> Response | None:
        """Return a response, ``None`` if another server may be tried."""
        match assignment:
            case PassOn():
                return await self._pass_on(context, assignment)
            case Placement():
                return await self._serve_at(context, assignment)

    def _give_back(
        self, context: RequestContext, assignment: Placement | PassOn
    ) -> None:
        """Leave what an assignment that is not used holds to others."""
        if not isinstance(assignment, Placement):
            return
        self.allowances.give_back(context, assignment.permit_expiry)
        if assignment.connection:
            self.state.connections.keep_idle(
                assignment.candidate.address, assignment.connection
            )

    async def _serve_at(
        self, context: RequestContext, placement: Placement
    ) -> Response | None:
        """Return a server's response, ``None`` if another one may be tried."""
        try:
            return await self._attempt_with_hedge(context, placement)
        except AttemptError as error:
            record_failure(context, error)
            is_outdated = isinstance(error, PlacementOutdatedError)
            if is_outdated or self._may_retry(context):
                return None
            if error.response is not None:
                return error.response
            raise self._rejection(context, placement, error) from error

    async def _pass_on(self, context: RequestContext, plan: PassOn) -> Response:
        """Return the response that another VM got; raises `RejectedError`."""
        try:
            return await self.relay_client.pass_on(context, plan)
        except AttemptError as error:
            record_failure(context, error)
            seconds = error.retry_after_seconds
            if seconds is None:
                seconds = self.scheduler.retry_after_jitter.seconds(
                    _TURNED_AWAY_RETRY_SECONDS
                )
            raise RejectedError(error.message, 'no-server', seconds) from error

    def _rejection(
        self,
        context: RequestContext,
        placement: Placement,
        error: AttemptError,
    ) -> RejectedError:
        """Return the rejection after the last attempt allowed has failed."""
        now = asyncio.get_running_loop().time()
        report = placement.candidate.stats.report
        seconds = seconds_after_shedding(
            context.objective_at - now,
            placement.service_seconds,
            is_full=report is not None and report.total >= report.slots,
        )
        jitter = self.scheduler.retry_after_jitter
        return RejectedError(
            error.message, 'no-server', jitter.seconds(seconds)
        )

    async def _attempt_with_hedge(
        self, context: RequestContext, placement: Placement
    ) -> Response:
        first = self._start(context, placement)
        now = first.get_loop().time()
        delay = hedge_delay(
            placement.service_seconds,
            placement.expected_seconds,
            context.objective_at - now,
        )
        if not context.idempotent:
            return await first
        running = {first}
        latest_send_at = context.deadline - placement.service_seconds
        try:
            while not first.done() and now + delay < latest_send_at:
                await asyncio.wait(running, timeout=delay)
                if not first.done() and self._may_hedge(context):
                    await self._start_hedge(context, running)
                    break
                now += delay
                delay = _HEDGE_RETRY_SECONDS
            response = await first_response(context, running)
        finally:
            for attempt in running:
                attempt.cancel()
        if running:
            # The other attempt gives back the room for its response, before
            # this one is counted for the caller.
            await asyncio.sleep(0)
        return response

    async def _start_hedge(
        self, context: RequestContext, running: set[Attempt]
    ) -> None:
        """Send the request to a second server as well, if one is free."""
        try:
            assignment = await self._place(context)
        except RejectedError:
            return
        self.state.counters.events['second_send'] += 1
        match assignment:
            case PassOn():
                attempt = self.relay_client.pass_on(context, assignment)
                running.add(asyncio.ensure_future(attempt))
            case Placement():
                running.add(self._start(context, assignment))

    def _start(self, context: RequestContext, placement: Placement) -> Attempt:
        name = placement.candidate.name
        context.tried_servers.add(name)
        context.server_names.append(name)
        context.attempt_count += 1
        context.load_report = placement.load_report
        if context.first_sent_at is None:
            context.first_sent_at = asyncio.get_running_loop().time()
        context.expected_seconds = placement.expected_seconds
        return asyncio.ensure_future(self._send(context, placement))

    async def _send(
        self, context: RequestContext, placement: Placement
    ) -> Response:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            with self.gate.attempt(context, placement.candidate.name):
                response = await send_attempt(
                    self.state,
                    context,
                    placement,
                    self.tenant_gate.name_for_server,
                    lambda connection: self.scheduler.offer_freed_slot(
                        context.pool.name,
                        placement,
                        connection,
                        loop.time(),
                    ),
                )
        except RejectedError:
            # Nothing was sent, and no further attempt is made.
            context.attempt_count -= 1
            self.allowances.give_back(context, placement.permit_expiry)
            raise
        except AttemptError as error:
            if verdict_for(error.phase, error.event).outcome is Outcome.NOT_RUN:
                self.allowances.give_back(context, placement.permit_expiry)
            self.scheduler.costs.note_failure(placement, loop.time())
            if error.response is not None:
                context.responding_server = placement.candidate.name
                self.gate.note_completed(context)
            if error.event is Event.CONNECTION_LOST:
                await self.crash_watch.note_broken(
                    context, placement, sent_at, error.message
                )
            raise
        self.gate.note_completed(context)
        context.responding_server = placement.candidate.name
        now = loop.time()
        self.scheduler.costs.note_response(
            context, placement, response, now - sent_at, now
        )
        return response

    def _may_retry(self, context: RequestContext) -> bool:
        verdict = context.verdict
        assert verdict is not None
        if context.idempotent:
            return verdict.retry_idempotent and self._take_from_retry_budget(
                context
            )
        was_not_run = verdict.outcome is Outcome.NOT_RUN
        allowed = was_not_run and verdict.retry_non_idempotent
        return allowed and self._take_from_retry_budget(context)

    def _may_hedge(self, context: RequestContext) -> bool:
        if self.scheduler.queue(context.pool.name).waiting:
            context.second_send = 'others wait'
            return False
        is_allowed = self._take_from_retry_budget(context)
        context.second_send = 'sent' if is_allowed else 'not allowed'
        return is_allowed

    def _take_from_retry_budget(self, context: RequestContext) -> bool:
        if context.attempt_count >= context.route.max_attempts:
            return False
        if self.stop_gate.is_closed_to(context):
            return False
        if not self.gate.may_repeat(context):
            return False
        retry_budget = self.state.retry_budget(context.pool.name)
        now = asyncio.get_running_loop().time()
        return retry_budget.try_withdraw(
            now, self.state.vms.max_size(), context.priority
        )
