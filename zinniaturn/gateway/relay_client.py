"""Passes requests on to VMs that their pools' servers respond to."""

__all__ = ('RELAY_ID_FIELD', 'RelayClient')

import asyncio
from dataclasses import dataclass

from zinniaturn.admission.admission import ResponseKind
from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.fleet.alive_vms import PeerVm
from zinniaturn.fleet.domain import VmStage
from zinniaturn.gateway.exceptions import AttemptError
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.gateway.tenant_gate import KEY_CODES
from zinniaturn.http1.backend import (
    MAX_RESPONSE_BYTES,
    BackendConnection,
    Exchange,
)
from zinniaturn.http1.connections import Address
from zinniaturn.http1.exceptions import ConnectFailedError, ExchangeBrokenError
from zinniaturn.http1.messages import Fields, Request, Response
from zinniaturn.outcomes import Event, Outcome, Phase
from zinniaturn.reach.decision import PassOn
from zinniaturn.relay.exceptions import RelayMessageError
from zinniaturn.relay.messages import (
    ENVELOPE_BYTES,
    RELAY_PATH,
    RELAY_VERSION,
    RelayRefusal,
    RelayReply,
    RelayRequest,
    ServerResponse,
    decode_reply,
    encode_request,
    refuse,
)
from zinniaturn.relay.selection import RelayVm, select_relays

RELAY_ID_FIELD = b'zinniaturn-relay'

_CONNECT_SECONDS = 0.15
# A connection that was idle for longer may have gone silent unnoticed.
_TRUSTED_IDLE_SECONDS = 1.0
_ID_BITS = 64
_ANY_ID = b''
_OK_STATUS = 200
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class RelayClient:
    """
    Passes a request on to one VM at a time, up to three.

    Only a VM that surely has not taken it is followed by another one. A lost
    reply leaves the outcome unknown.

    A tenant's request goes only to VMs that know tenants. They look its key up
    themselves; others would send the key to a server.
    """

    state: GatewayState

    async def pass_on(self, context: RequestContext, plan: PassOn) -> Response:
        """
        Return the server's response; raises `AttemptError`.

        Raises `RejectedError` if the other VM finds that the key isn't valid.
        """
        attempts_before = context.attempt_count
        refusals: list[str] = []
        for relay in self._select(context, plan):
            reply = await self._try(context, relay, attempts_before)
            if reply.refusal is None:
                return self._conclude(context, relay, reply, attempts_before)
            context.attempt_count = attempts_before
            refusals.append(f'{relay.name}: {reply.refusal.value}')
            if reply.refusal is RelayRefusal.UNREACHED:
                self.state.reach.witnesses.discard(
                    context.pool.name, relay.name
                )
        self.state.counters.events['request_turned_away'] += 1
        raise _not_run_error(
            context,
            attempts_before,
            f'no VM has taken the request: {", ".join(refusals)}',
        )

    def _select(self, context: RequestContext, plan: PassOn) -> list[RelayVm]:
        """Return some of the planned VMs that are ready and may get it."""
        peers = (self.state.vms.vms.get(name) for name in plan.vms)
        ready = [
            RelayVm(
                peer.name,
                peer.record.exchange,
                peer.record.capacity,
                peer.load,
                peer.knows_tenants,
            )
            for peer in peers
            if peer is not None
            and peer.is_alive
            and peer.stage is VmStage.READY
            and self._keeps_to_evacuations(peer)
            and (context.tenant is None or peer.knows_tenants)
        ]
        return select_relays(ready, self.state.random_source)

    def _keeps_to_evacuations(self, peer: PeerVm) -> bool:
        """Return whether a VM would not send to evacuated servers."""
        return peer.follows_evacuations or not self.state.fleet_state.evacuated

    async def _try(
        self, context: RequestContext, relay: RelayVm, attempts_before: int
    ) -> RelayReply:
        """Return a VM's reply, or a refusal if it can't be reached."""
        host, port = relay.address
        address = host, port + 1
        connection = await self._connect(address)
        if connection is None:
            return refuse(RelayRefusal.UNREACHED)
        context.passed_to.append(relay.name)
        context.first_sent_at = context.first_sent_at or connection.loop.time()
        # Until the reply, servers may have got all attempts that are left.
        context.attempt_count = max(
            attempts_before + 1, context.route.max_attempts
        )
        self.state.counters.events['request_passed_on'] += 1
        self.state.hand_over_request(context.pool.name)
        message = self._message(context, relay, attempts_before)
        response = await self._exchange(address, connection, message)
        reply = _read_reply(relay, response)
        if reply.refusal is not None:
            now = connection.loop.time()
            self.state.note_request(context.pool.name, now)
        return reply

    async def _connect(self, address: Address) -> BackendConnection | None:
        """Return a connection to a VM, ``None`` if there is none."""
        loop = asyncio.get_running_loop()
        connections = self.state.connections
        # Replies bear the number of one message, which no other one has.
        pooled = connections.take_idle(address, loop.time(), _ANY_ID)
        if pooled is not None:
            if loop.time() - pooled.last_used_at < _TRUSTED_IDLE_SECONDS:
                return pooled
            pooled.close()
        try:
            return await connections.connect(address, _CONNECT_SECONDS)
        except ConnectFailedError:
            return None

    async def _exchange(
        self,
        address: Address,
        connection: BackendConnection,
        message: RelayRequest,
    ) -> Response:
        """Return the response; a lost one leaves the outcome unknown."""
        random_id = self.state.random_source.getrandbits(_ID_BITS)
        relay_id = b'%x' % random_id
        start, rest = encode_request(message)
        head = _encode_head(address, relay_id, len(start) + len(rest))
        try:
            response = await connection.send(
                Exchange(
                    head + start,
                    RELAY_ID_FIELD,
                    relay_id,
                    body=rest,
                    most_bytes=MAX_RESPONSE_BYTES + ENVELOPE_BYTES,
                )
            )
        except ExchangeBrokenError as error:
            raise AttemptError(
                f'{address[0]}: {error.message}, after passing the request on',
                Phase.SENT_WHOLE,
                Event.CONNECTION_LOST,
            ) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        self.state.connections.release(address, connection, response)
        return response

    def _message(
        self, context: RequestContext, relay: RelayVm, attempts_before: int
    ) -> RelayRequest:
        now = asyncio.get_running_loop().time()
        request = context.request
        elapsed_seconds = context.elapsed_before + now - context.arrived_at
        return RelayRequest(
            RELAY_VERSION,
            self.state.settings.name,
            self.state.tables_revision(),
            context.pool.name,
            _milliseconds(context.seconds_left(now)),
            _milliseconds(elapsed_seconds),
            attempts_before,
            tuple(sorted(context.tried_servers)),
            request.method,
            request.target,
            tuple(self._fields_for(request, relay)),
            request.body,
        )

    def _fields_for(self, request: Request, relay: RelayVm) -> Fields:
        tables = self.state.fleet_state.tables
        return self.state.wire_format.passed_on_fields(
            request.fields,
            keeps_key=relay.knows_tenants,
            has_tenants=tables is not None and tables.tenants is not None,
        )

    def _conclude(
        self,
        context: RequestContext,
        relay: RelayVm,
        reply: RelayReply,
        attempts_before: int,
    ) -> Response:
        """Return the server's response; raises an error without one."""
        context.attempt_count = attempts_before + reply.attempts
        context.detail = reply.detail or context.detail
        if reply.response is not None:
            return self._accept(context, reply.response)
        if reply.code in KEY_CODES and relay.knows_tenants:
            context.attempt_count = attempts_before
            raise RejectedError(reply.detail, reply.code)
        if reply.outcome is Outcome.NOT_RUN:
            raise _not_run_error(
                context,
                attempts_before,
                reply.detail or reply.code,
                reply.retry_after_ms,
            )
        raise AttemptError(
            f'{relay.name}: {reply.detail or reply.code}',
            Phase.SENT_WHOLE,
            Event.CONNECTION_LOST,
        )

    def _accept(
        self, context: RequestContext, received: ServerResponse
    ) -> Response:
        """
        Return the response, and learn what the server says in it.

        The caller is told it by this VM, which is bound by it from then on.
        """
        context.server_names.append(received.server)
        context.responding_server = received.server
        response = Response(
            received.status,
            received.reason,
            list(received.fields),
            received.body,
        )
        wire_format = self.state.wire_format
        candidate = self.state.pools.get(context.pool.name, {}).get(
            received.server
        )
        if candidate is not None and wire_format.is_authentic(response):
            now = asyncio.get_running_loop().time()
            sent_at = context.first_sent_at or now
            self.state.learn(
                candidate,
                wire_format.statement(response),
                ResponseKind.REQUEST,
                now - sent_at,
            )
        return response


def _not_run_error(
    context: RequestContext,
    attempts_before: int,
    message: str,
    retry_after_ms: int | None = None,
) -> AttemptError:
    """Return the error of an attempt that surely was not run."""
    # Whoever handles the error takes the attempt back.
    context.attempt_count = attempts_before + 1
    return AttemptError(
        message,
        Phase.NOT_SENT,
        Event.CONNECT_FAILED,
        retry_after_seconds=(
            None if retry_after_ms is None else retry_after_ms / _MS_PER_SECOND
        ),
    )


def _read_reply(relay: RelayVm, response: Response) -> RelayReply:
    """Return a VM's reply; raises `AttemptError` if it can't be read."""
    if response.status != _OK_STATUS:
        return refuse(RelayRefusal.NOT_UNDERSTOOD)
    try:
        return decode_reply(response.body)
    except RelayMessageError as error:
        raise AttemptError(
            f'{relay.name}: {error.message}',
            Phase.SENT_WHOLE,
            Event.BAD_ANSWER,
        ) from error


def _encode_head(address: Address, relay_id: bytes, body_bytes: int) -> bytes:
    return b'\r\n'.join(
        (
            b'POST %b HTTP/1.1' % RELAY_PATH,
            b'Host: %b' % address[0].encode(),
            b'%b: %b' % (RELAY_ID_FIELD, relay_id),
            b'Content-Length: %d' % body_bytes,
            b'',
            b'',
        )
    )


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * _MS_PER_SECOND))
