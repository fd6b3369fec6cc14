"""One attempt: sending a request to a placed server and judging the answer."""

__all__ = ('send_once',)

import asyncio
from collections.abc import Callable

from zinniaturn.gateway.exceptions import AttemptError
from zinniaturn.gateway.jobs import Job, Placement
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.backend import BackendConnection, Exchange
from zinniaturn.http1.connections import Address, note_keep_alive
from zinniaturn.http1.exceptions import (
    BadMessageError,
    ConnectFailedError,
    ExchangeBrokenError,
)
from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import Event, Phase

_CONNECT_SECONDS = 0.3
_FIRST_FAILURE = 500
_SUCCESS = range(200, 300)

OnFreed = Callable[[BackendConnection], bool]


async def send_once(
    state: GatewayState,
    job: Job,
    placement: Placement,
    on_freed: OnFreed,
) -> Response:
    """
    Return the server's whole answer; raises `AttemptError`.

    ``on_freed`` gets the connection of a whole answer, and keeps it where it
    returns true. Cancelling closes the connection, so the server stops.
    """
    server = placement.candidate.registered.server
    address = placement.candidate.address
    connection = await _connection(state, address, placement)
    loop = connection.loop
    now = loop.time()
    payload = state.dialect.server_request(
        job.request,
        server.name,
        job.seconds_left(now),
    )
    stats = placement.candidate.stats
    stats.begin(now)
    try:
        answer = await connection.send(
            Exchange(
                payload,
                state.dialect.answer_id_field,
                state.dialect.request_id(job.request.fields),
                job.request.method == b'HEAD',
            ),
        )
    except ExchangeBrokenError as error:
        _note_failure(state, placement, error.message, loop.time())
        raise AttemptError(
            f'{server.name}: {error.message}',
            Phase.SENT_WHOLE,
            _event_of(error),
        ) from error
    except asyncio.CancelledError:
        connection.close()
        ended = loop.time()
        stats.note_unfinished(ended - now, placement.expected, ended)
        raise
    finally:
        stats.end()
    note_keep_alive(connection, answer)
    try:
        _judge(state, placement, answer, loop.time() - now, loop.time())
    finally:
        if not on_freed(connection):
            state.connections.keep(address, connection)
    return answer


async def _connection(
    state: GatewayState,
    address: Address,
    placement: Placement,
) -> BackendConnection:
    if placement.connection is not None:
        return placement.connection
    loop = asyncio.get_running_loop()
    kept = state.connections.take(address, loop.time())
    if kept is not None:
        return kept
    try:
        return await state.connections.connect(address, _CONNECT_SECONDS)
    except ConnectFailedError as error:
        _note_failure(state, placement, error.message, loop.time())
        raise AttemptError(
            error.message,
            Phase.NOT_SENT,
            Event.CONNECT_FAILED,
        ) from error


def _judge(
    state: GatewayState,
    placement: Placement,
    answer: Response,
    seconds: float,
    now: float,
) -> None:
    """Learn from an answer; raises `AttemptError` for no answer to pass on."""
    dialect = state.dialect
    stats = placement.candidate.stats
    name = placement.candidate.name
    report = dialect.load_report(answer)
    if report is not None:
        stats.note_report(report, now)
    if dialect.is_other_server(answer):
        stats.is_replaced = True
        raise AttemptError(
            f'{name}: another server has its address',
            Phase.SENT_WHOLE,
            Event.SERVER_SHED,
        )
    if dialect.is_not_run(answer):
        raise AttemptError(
            f'{name} did not take the request',
            Phase.SENT_WHOLE,
            Event.SERVER_SHED,
        )
    if answer.status in _SUCCESS and not dialect.is_genuine(answer):
        _note_failure(state, placement, 'no genuine answer', now)
        raise AttemptError(
            f'{name}: the answer is not genuine',
            Phase.SENT_WHOLE,
            Event.BAD_ANSWER,
        )
    if answer.status >= _FIRST_FAILURE:
        _note_failure(state, placement, f'status {answer.status}', now)
        raise AttemptError(
            f'{name} answered {answer.status}',
            Phase.SENT_WHOLE,
            Event.BAD_ANSWER,
            answer,
        )
    expected = placement.expected if placement.is_estimate_settled else seconds
    stats.note_success(seconds, expected, now)


def _note_failure(
    state: GatewayState,
    placement: Placement,
    reason: str,
    now: float,
) -> None:
    state.counters.events['server_failure'] += 1
    if placement.candidate.stats.note_failure(now):
        state.note_server_out(placement.candidate, reason, now)


def _event_of(error: ExchangeBrokenError) -> Event:
    if isinstance(error, BadMessageError):
        return Event.BAD_ANSWER
    return Event.CONNECTION_LOST
