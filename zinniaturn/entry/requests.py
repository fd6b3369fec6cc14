"""Callers' requests, parsed at the border."""

__all__ = ('CallerRequest', 'parse_request')

import uuid
from dataclasses import dataclass

from aiohttp.web import BaseRequest

from zinniaturn.clock import Clock
from zinniaturn.entry.exceptions import EntryError
from zinniaturn.forwarding import BackendRequest
from zinniaturn.forwarding.messages import end_to_end_headers
from zinniaturn.tables import Route

DEADLINE_HEADER = 'Zinniaturn-Deadline-Ms'
IDEMPOTENT_HEADER = 'Zinniaturn-Idempotent'
REQUEST_ID_HEADER = 'X-Request-Id'

_IDEMPOTENT_METHODS = frozenset(
    (
        'DELETE',
        'GET',
        'HEAD',
        'OPTIONS',
        'PUT',
        'TRACE',
    )
)
_REPLAY_BYTES = 65_536
_MILLISECONDS = 1000


@dataclass(slots=True)
class CallerRequest:
    """
    A caller's request with what the system needs to know of it.

    ``deadline`` is in monotonic seconds. ``can_repeat`` is false once the
    body can be read no second time.
    """

    request_id: str
    route: Route
    backend_request: BackendRequest
    deadline: float
    idempotent: bool
    can_repeat: bool


async def parse_request(
    request: BaseRequest,
    route: Route,
    clock: Clock,
) -> CallerRequest:
    """Return the request as the system sees it; raises `EntryError`."""
    headers = end_to_end_headers(request.headers)
    request_id = headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
    headers[REQUEST_ID_HEADER] = request_id
    seconds = _deadline_seconds(request, route)
    headers[DEADLINE_HEADER] = str(int(seconds * _MILLISECONDS))
    backend_request = BackendRequest(request.method, request.path_qs, headers)
    length = request.content_length
    can_repeat = True
    if request.body_exists:
        if length is not None and length <= _REPLAY_BYTES:
            backend_request.body = await request.read()
            backend_request.length = length
        else:
            backend_request.stream = request.content.iter_any()
            backend_request.length = length
            can_repeat = False
    idempotent = _is_idempotent(request, route)
    backend_request.once = not idempotent
    return CallerRequest(
        request_id=request_id,
        route=route,
        backend_request=backend_request,
        deadline=clock.monotonic() + seconds,
        idempotent=idempotent,
        can_repeat=can_repeat,
    )


def _deadline_seconds(request: BaseRequest, route: Route) -> float:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return route.deadline_seconds
    if not text.isdecimal():
        raise EntryError(
            f'{DEADLINE_HEADER} is not a whole number of milliseconds',
            'bad-request',
        )
    return int(text) / _MILLISECONDS


def _is_idempotent(request: BaseRequest, route: Route) -> bool:
    stated = request.headers.get(IDEMPOTENT_HEADER)
    if stated is not None:
        return stated.strip().lower() == 'true'
    if route.idempotent is not None:
        return route.idempotent
    return request.method in _IDEMPOTENT_METHODS
