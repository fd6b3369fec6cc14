"""Forwards a request to the entry process that owns its idempotency key."""

__all__ = ('HOP_HEADER', 'forward_to_key_owner')

import asyncio

from aiohttp import web

from zinniaturn.entry.requests import DEADLINE_HEADER, CallerRequest
from zinniaturn.entry.responses import make_rejection, relay_response
from zinniaturn.entry.state import EntryState
from zinniaturn.forwarding import BackendResponse, ExchangeError, exchange
from zinniaturn.outcomes import Event, Outcome, Phase

HOP_HEADER = 'Zinniaturn-Hop'

_MAX_ATTEMPTS = 2
_MILLISECONDS_PER_SECOND = 1000
_RETRY_AFTER_SECONDS = 1.0

Address = tuple[str, int]


async def forward_to_key_owner(
    state: EntryState,
    request: web.BaseRequest,
    parsed: CallerRequest,
    address: Address,
) -> web.StreamResponse:
    """
    Return the response of the entry at ``address``.

    A request is forwarded only once, which the hop header marks. The other
    entry runs it at most once, so it is safe to send it again after a lost
    connection. Raises `ExchangeError` if the response broke off.
    """
    if HOP_HEADER in request.headers:
        return _reject(parsed, 'key-elsewhere', 'the entry did not issue it')
    parsed.backend_request.headers[HOP_HEADER] = state.settings.name
    try:
        backend_response = await _exchange_with_owner(state, parsed, address)
    except ExchangeError as error:
        if error.phase >= Phase.ANSWER_BEGUN:
            raise
        return _reject(parsed, 'key-entry-unreachable', error.message)
    return await relay_response(request, backend_response)


async def _exchange_with_owner(
    state: EntryState,
    parsed: CallerRequest,
    address: Address,
) -> BackendResponse:
    for attempt in range(1, _MAX_ATTEMPTS + 1):
        remaining = parsed.deadline - state.clock.monotonic()
        headers = parsed.backend_request.headers
        headers[DEADLINE_HEADER] = str(
            max(0, int(remaining * _MILLISECONDS_PER_SECOND))
        )
        try:
            return await exchange(
                state.connections,
                address,
                parsed.backend_request,
                asyncio.get_running_loop().time() + remaining,
            )
        except ExchangeError as error:
            is_last = attempt == _MAX_ATTEMPTS or not parsed.can_resend
            if is_last or error.event is not Event.CONNECTION_LOST:
                raise
    raise AssertionError('unreachable: the last try returns or raises')


def _reject(parsed: CallerRequest, code: str, detail: str) -> web.Response:
    return make_rejection(
        code,
        Outcome.UNKNOWN,
        detail,
        parsed.request_id,
        _RETRY_AFTER_SECONDS,
    )
