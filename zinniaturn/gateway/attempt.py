"""One attempt: sends a request to a server and checks its response."""

__all__ = ('send_attempt',)

import asyncio
from collections.abc import Callable

from zinniaturn.admission.admission import ResponseKind
from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.gateway.exceptions import (
    AttemptError,
    PlacementOutdatedError,
)
from zinniaturn.gateway.rejections import NOT_RUN_STATUSES
from zinniaturn.gateway.request_context import Placement, RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.backend import BackendConnection, Exchange
from zinniaturn.http1.connections import Address, apply_keep_alive
from zinniaturn.http1.exceptions import (
    BadMessageError,
    ConnectFailedError,
    ExchangeBrokenError,
    NoSlotError,
)
from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import Event, Phase

_CONNECT_TIMEOUT_SECONDS = 0.3
_FIRST_SERVER_ERROR = 500
_SUCCESS_STATUSES = range(200, 300)

OfferConnection = Callable[[BackendConnection], bool]
TenantFor = Callable[[RequestContext], str | None]


async def send_attempt(
    state: GatewayState,
    context: RequestContext,
    placement: Placement,
    tenant_for: TenantFor,
    offer_connection: OfferConnection,
) -> Response:
    """
    Return the server's complete response; raises `AttemptError`.

    ``tenant_for`` is asked last before the request is sent which tenant the
    server is told; what it raises is passed on, and nothing is sent.
    ``offer_connection`` is called with the connection once the response is
    complete. If it returns true it keeps the connection, otherwise the
    connection goes to the pool. Cancelling the attempt closes the connection,
    upon which the server stops its work.
    """
    server = placement.candidate.registered.server
    address = placement.candidate.address
    request_id = state.wire_format.request_id(context.request.fields)
    connection = await _acquire_connection(
        state, address, placement, request_id
    )
    try:
        _check_placement(state, placement)
        tenant = tenant_for(context)
    except (AttemptError, RejectedError):
        state.connections.keep_idle(address, connection)
        raise
    loop = connection.loop
    now = loop.time()
    payload = state.wire_format.server_request(
        context.request,
        server.name,
        context.seconds_left(now),
        tenant,
    )
    stats = placement.candidate.stats
    stats.begin()
    try:
        response = await connection.send(
            Exchange(
                payload,
                state.wire_format.response_id_field,
                request_id,
                context.request.method == b'HEAD',
                context.request.body,
            ),
        )
    except ExchangeBrokenError as error:
        _note_broken(state, placement, loop.time() - now)
        _count_failure(state, placement, error.message, loop.time())
        raise AttemptError(
            f'{server.name}: {error.message}',
            Phase.SENT_WHOLE,
            _event_for(error),
        ) from error
    except asyncio.CancelledError:
        connection.close()
        ended_at = loop.time()
        stats.note_unfinished(
            ended_at - now, placement.expected_seconds, ended_at
        )
        raise
    finally:
        stats.end()
    state.reach.own.note_response(placement.candidate.registered.pool)
    apply_keep_alive(connection, response)
    try:
        _check_response(
            state, placement, response, loop.time() - now, loop.time()
        )
    except AttemptError:
        connection.rejections.note(request_id)
        raise
    finally:
        if not offer_connection(connection):
            state.connections.keep_idle(address, connection)
    return response


def _check_placement(state: GatewayState, placement: Placement) -> None:
    """Raise `AttemptError` if a placement must not be used any more."""
    name = placement.candidate.name
    if state.admissions.clock.monotonic() >= placement.send_before:
        raise AttemptError(
            f'{name}: the permit expired before the request was sent',
            Phase.NOT_SENT,
            Event.CONNECT_FAILED,
        )
    if placement.candidate.admission.is_cold and not placement.has_permit:
        state.counters.events['cold_before_send'] += 1
        raise PlacementOutdatedError(
            f'{name}: it became cold before the request was sent'
        )
    obstacle = _find_evacuation(state, placement)
    if obstacle:
        raise PlacementOutdatedError(f'{name}: {obstacle}')


def _find_evacuation(state: GatewayState, placement: Placement) -> str:
    """Return why a request must not be sent any more, '' if it may be."""
    if state.is_evacuated(placement.candidate):
        state.counters.events['evacuated_before_send'] += 1
        return 'its data centre was evacuated before the request was sent'
    if state.evacuations_are_in_doubt():
        state.counters.events['evacuations_in_doubt'] += 1
        return 'the evacuations have to be read first'
    return ''


async def _acquire_connection(
    state: GatewayState,
    address: Address,
    placement: Placement,
    request_id: bytes | None,
) -> BackendConnection:
    """Return a connection that may carry the request; may open one."""
    offered = placement.connection
    if offered is not None:
        if offered.rejections.allow(request_id):
            return offered
        state.connections.keep_idle(address, offered)
    loop = asyncio.get_running_loop()
    pooled = state.connections.take_idle(address, loop.time(), request_id)
    if pooled is not None:
        return pooled
    pool, name = placement.candidate.registered.pool, placement.candidate.name
    tried_at = state.reach.own.note_tried(pool, name)
    try:
        connection = await state.connections.connect(
            address, _CONNECT_TIMEOUT_SECONDS
        )
    except NoSlotError as error:
        # Says nothing of the server.
        raise AttemptError(
            error.message, Phase.NOT_SENT, Event.CONNECT_FAILED
        ) from error
    except ConnectFailedError as error:
        state.reach.own.note_unconnected(pool, name, tried_at)
        _count_failure(state, placement, error.message, loop.time())
        raise AttemptError(
            error.message,
            Phase.NOT_SENT,
            Event.CONNECT_FAILED,
        ) from error
    state.reach.own.note_connected(pool)
    return connection


def _note_broken(
    state: GatewayState, placement: Placement, elapsed_seconds: float
) -> None:
    """Record that a connection broke before a response was complete."""
    state.reach.own.note_failed(
        placement.candidate.registered.pool,
        placement.candidate.name,
        state.reach.clock.monotonic() - elapsed_seconds,
    )


def _check_response(
    state: GatewayState,
    placement: Placement,
    response: Response,
    elapsed_seconds: float,
    now: float,
) -> None:
    """
    Update the server's statistics from a response.

    Raises `AttemptError` for a misdirected request, one that did not run, a
    success that is unsigned or encoded, a 5xx response, and a status that would
    tell the caller that the request was not run. The error holds the 5xx
    response, in case no further attempt is made.
    """
    wire_format = state.wire_format
    stats = placement.candidate.stats
    name = placement.candidate.name
    statement = wire_format.statement(response)
    if statement.load is not None:
        stats.note_report(statement.load, now)
    if wire_format.is_misdirected(response):
        stats.is_replaced = True
        raise AttemptError(
            f'{name}: another server has its address',
            Phase.SENT_WHOLE,
            Event.SERVER_SHED,
        )
    if wire_format.is_not_run(response):
        state.learn(
            placement.candidate,
            statement,
            ResponseKind.REJECTION,
            elapsed_seconds,
        )
        raise AttemptError(
            f'{name} did not take the request',
            Phase.SENT_WHOLE,
            Event.SERVER_SHED,
        )
    if response.status in NOT_RUN_STATUSES:
        state.learn(
            placement.candidate,
            statement,
            ResponseKind.REJECTION,
            elapsed_seconds,
        )
        _count_failure(state, placement, f'status {response.status}', now)
        raise AttemptError(
            f'{name} answered {response.status} but may have run the request',
            Phase.SENT_WHOLE,
            Event.BAD_ANSWER,
        )
    is_authentic = wire_format.is_authentic(response)
    if is_authentic:
        state.learn(
            placement.candidate,
            statement,
            ResponseKind.REQUEST,
            elapsed_seconds,
        )
    if response.status in _SUCCESS_STATUSES and not is_authentic:
        _count_failure(state, placement, 'no genuine answer', now)
        raise AttemptError(
            f'{name}: the answer is not genuine',
            Phase.SENT_WHOLE,
            Event.BAD_ANSWER,
        )
    if response.status >= _FIRST_SERVER_ERROR:
        _count_failure(state, placement, f'status {response.status}', now)
        raise AttemptError(
            f'{name} answered {response.status}',
            Phase.SENT_WHOLE,
            Event.BAD_ANSWER,
            response,
        )
    expected = (
        placement.expected_seconds
        if placement.is_estimate_settled
        else elapsed_seconds
    )
    stats.note_success(elapsed_seconds, expected, now)


def _count_failure(
    state: GatewayState,
    placement: Placement,
    reason: str,
    now: float,
) -> None:
    state.counters.events['server_failure'] += 1
    if placement.candidate.stats.note_failure(now):
        state.log_ejection(placement.candidate, reason, now)


def _event_for(error: ExchangeBrokenError) -> Event:
    if isinstance(error, BadMessageError):
        return Event.BAD_ANSWER
    return Event.CONNECTION_LOST
