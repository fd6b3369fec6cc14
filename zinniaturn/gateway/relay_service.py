"""
Serves the requests that other VMs pass on to this one, and the fleet's state.

Only a VM of the fleet gets an answer, from the address that it is known by; for
any other client there is nothing here. A request of another VM waits behind
those of the own callers, and is never passed on again.
"""

__all__ = ('PeerService', 'RelayService')

import asyncio
from dataclasses import dataclass
from types import MappingProxyType

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.fleet.state_exchange import StateService
from zinniaturn.fleet.tables import FleetPool, FleetRoute
from zinniaturn.gateway.dispatch import Dispatcher
from zinniaturn.gateway.relay_client import RELAY_ID_FIELD
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.request_log import decode_text
from zinniaturn.gateway.results import RequestResult
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.exchanges import CallerExchange, Reply
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Request, Response, find_field
from zinniaturn.outcomes import Outcome
from zinniaturn.relay.exceptions import RelayMessageError
from zinniaturn.relay.intake import RelayIntake, most_for_others
from zinniaturn.relay.messages import (
    ENVELOPE_BYTES,
    RELAY_PATH,
    RELAY_VERSION,
    RelayRefusal,
    RelayReply,
    RelayRequest,
    ServerResponse,
    decode_request,
    encode_reply,
    refuse,
)
from zinniaturn.tenants import Tenant

_MS_PER_SECOND = 1000
# The reply needs this long to reach the VM whose caller waits.
_HOP_SECONDS = 0.01
# Another VM may serve what was rejected for these reasons. Earlier builds would
# not understand a new refusal.
_TOO_OLD_CODE = 'configuration-too-old'
_REFUSALS_BY_CODE = MappingProxyType(
    {
        'draining': RelayRefusal.STOPPING,
        _TOO_OLD_CODE: RelayRefusal.OLDER_TABLES,
    }
)


@dataclass(slots=True)
class RelayService:
    """Serves requests of other VMs through the own dispatcher."""

    state: GatewayState
    dispatcher: Dispatcher
    intake: RelayIntake

    @classmethod
    def build(
        cls, state: GatewayState, dispatcher: Dispatcher
    ) -> 'RelayService':
        """Return a service that takes what the VM's capacity allows."""
        most = most_for_others(state.vms.own.capacity)
        return cls(state, dispatcher, RelayIntake(most))

    def handle(self, exchange: CallerExchange) -> Reply:
        """Return the reply to a request that another VM passes on."""
        try:
            message = decode_request(exchange.request.body)
        except RelayMessageError as error:
            self.state.gossip.on_peer_error(error.message)
            return Response(400, b'', [])
        if not self._is_vm(message.sender, exchange):
            self.state.gossip.on_peer_error(
                f'{exchange.peer_host} is not the address of {message.sender}'
            )
            return Response(404, b'', [])
        # The message holds its bytes as long as they are needed.
        exchange.request.body = b''
        request = _caller_request(message)
        route = self.dispatcher.find_route(request)
        refusal = self._refusal(message, route)
        if refusal is not None or route is None:
            return _respond(
                exchange, refuse(refusal or RelayRefusal.OLDER_TABLES)
            )
        try:
            tenant = self.dispatcher.tenant_gate.admit(request, route)
        except RejectedError as error:
            return _respond(exchange, _key_reply(error))
        context = self._context(message, request, route, tenant)
        return self._serve(exchange, message, context)

    def _is_vm(self, name: str, exchange: CallerExchange) -> bool:
        """Return whether a VM with this name has the client's address."""
        peer = self.state.vms.vms.get(name)
        return (
            peer is not None and peer.record.exchange[0] == exchange.peer_host
        )

    def _refusal(
        self, message: RelayRequest, route: FleetRoute | None
    ) -> RelayRefusal | None:
        """Return why the request is not taken, whatever the load."""
        gossip = self.state.gossip
        now = self.state.vms.clock.monotonic()
        if self.state.is_stopping:
            return RelayRefusal.STOPPING
        is_paused = gossip.pause_guard.is_after_pause(now)
        if is_paused or self.state.evacuations_are_in_doubt():
            return RelayRefusal.PAUSED
        is_behind = self.state.tables_revision() < message.tables_revision
        if is_behind or route is None:
            return RelayRefusal.OLDER_TABLES
        if self.state.reach.own.is_silent(message.pool):
            return RelayRefusal.UNREACHED
        return None

    def _context(
        self,
        message: RelayRequest,
        request: Request,
        route: FleetRoute,
        tenant: Tenant | None,
    ) -> RequestContext:
        tables = self.state.fleet_state.tables
        assert tables is not None
        name = message.pool
        if name not in _pool_names(route):
            name = self.dispatcher.pool_selector.select(route)
        seconds = message.left_ms / _MS_PER_SECOND - _HOP_SECONDS
        context = RequestContext(
            request,
            decode_text(self.state.wire_format.request_id(request.fields)),
            route,
            tables.pools.get(name, FleetPool(name, ())),
            request.started_at,
            request.started_at + min(route.deadline_seconds, seconds),
            bool(route.idempotent),
            tenant=tenant,
        )
        context.elapsed_before = message.elapsed_ms / _MS_PER_SECOND
        context.attempt_count = message.attempts
        context.tried_servers.update(message.tried)
        context.taken_from = message.sender
        return context

    async def _serve(
        self,
        exchange: CallerExchange,
        message: RelayRequest,
        context: RequestContext,
    ) -> Response:
        if not self.intake.admit():
            return _respond(exchange, refuse(RelayRefusal.BUSY))
        self.state.note_request(context.pool.name, context.arrived_at)
        self.state.counters.events['request_taken_for_other'] += 1
        try:
            result = await self.dispatcher.run(context)
        finally:
            self.intake.release()
        self.dispatcher.log_result(context, result)
        refusal = _late_refusal(context, result)
        if refusal is not None:
            self.state.hand_over_request(context.pool.name)
            return _respond(exchange, refuse(refusal))
        attempts = max(0, context.attempt_count - message.attempts)
        return _respond(exchange, _reply(context, result, attempts))


@dataclass(slots=True)
class PeerService:
    """Serves the connections of other VMs."""

    states: StateService
    relays: RelayService

    @property
    def limits(self) -> CallerLimits:
        """Return limits that a passed on request of any caller fits into."""
        callers = self.relays.dispatcher.limits
        own = CallerLimits()
        return CallerLimits(
            own.header_bytes,
            max(own.body_bytes, callers.body_bytes)
            + callers.header_bytes
            + ENVELOPE_BYTES,
            own.header_seconds,
            own.idle_seconds,
        )

    @property
    def is_stopping(self) -> bool:
        """Return whether connections should be closed after the response."""
        return self.relays.state.is_stopping

    def handle(self, exchange: CallerExchange) -> Reply:
        """Return the response to another VM."""
        if exchange.request.target == RELAY_PATH:
            return self.relays.handle(exchange)
        return self.states.handle(exchange)


def _caller_request(message: RelayRequest) -> Request:
    """Return the request as its caller has sent it."""
    return Request(
        message.method,
        message.target,
        list(message.fields),
        message.body,
        True,
        asyncio.get_running_loop().time(),
    )


def _late_refusal(
    context: RequestContext, result: RequestResult
) -> RelayRefusal | None:
    """Return why another VM may serve a request that was taken."""
    if result.outcome is not Outcome.NOT_RUN:
        return None
    if context.is_out_of_reach:
        return RelayRefusal.UNREACHED
    return _REFUSALS_BY_CODE.get(result.code)


def _pool_names(route: FleetRoute) -> set[str]:
    return {route.pool, *(share.pool for share in route.shares)}


def _reply(
    context: RequestContext, result: RequestResult, attempts: int
) -> RelayReply:
    response = result.response
    if response is not None:
        return RelayReply(
            RELAY_VERSION,
            result.outcome,
            attempts,
            ServerResponse(
                context.responding_server,
                response.status,
                response.reason,
                tuple(response.fields),
                response.body,
            ),
        )
    seconds = result.retry_after_seconds
    return RelayReply(
        RELAY_VERSION,
        result.outcome,
        attempts,
        code=result.code,
        detail=context.detail,
        retry_after_ms=(
            None if seconds is None else round(seconds * _MS_PER_SECOND)
        ),
    )


def _key_reply(error: RejectedError) -> RelayReply:
    """Return the reply to a request that its key doesn't allow."""
    if error.code == _TOO_OLD_CODE:
        return refuse(RelayRefusal.OLDER_TABLES)
    return RelayReply(
        RELAY_VERSION,
        Outcome.NOT_RUN,
        0,
        code=error.code,
        detail=error.message,
        retry_after_ms=round(error.retry_after_seconds * _MS_PER_SECOND),
    )


def _respond(exchange: CallerExchange, reply: RelayReply) -> Response:
    relay_id = find_field(exchange.request.fields, RELAY_ID_FIELD) or b''
    return Response(200, b'', [(RELAY_ID_FIELD, relay_id)], encode_reply(reply))
