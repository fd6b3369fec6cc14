"""Callers' requests, parsed at the border."""

__all__ = ('CallerRequest', 'parse_request')

import os
import re
from dataclasses import dataclass

from aiohttp.web import BaseRequest

from zinniaturn.clock import Clock
from zinniaturn.entry.bodies import RequestBody, expects_continue
from zinniaturn.entry.exceptions import BadRequestError
from zinniaturn.entry.idempotence import is_idempotent, read_idempotent_header
from zinniaturn.entry.targets import RequestTarget
from zinniaturn.forwarding import BackendRequest
from zinniaturn.forwarding.messages import end_to_end_headers
from zinniaturn.tables import Route

DEADLINE_HEADER = 'Zinniaturn-Deadline-Ms'
REQUEST_ID_HEADER = 'X-Request-Id'

_REPLAY_BYTES = 65_536
_MILLISECONDS = 1000
_ID_BYTES = 16
_ID_CHARACTERS = 128
_REQUEST_ID = re.compile(f'[!-~]{{1,{_ID_CHARACTERS}}}')
_DEADLINE_DIGITS = 9
_DEADLINE = re.compile(f'[0-9]{{1,{_DEADLINE_DIGITS}}}')


@dataclass(slots=True)
class CallerRequest:
    """
    A caller's request with what the system needs to know of it.

    ``deadline`` is in monotonic seconds.
    """

    request_id: str
    route: Route
    backend_request: BackendRequest
    deadline: float
    idempotent: bool
    body_stream: RequestBody | None = None

    @property
    def can_repeat(self) -> bool:
        """Return whether the body, if any, can be sent once more."""
        return self.body_stream is None or not self.body_stream.is_begun


async def parse_request(
    request: BaseRequest,
    target: RequestTarget,
    route: Route,
    clock: Clock,
) -> CallerRequest:
    """Return the request as the system sees it; raises `BadRequestError`."""
    headers = end_to_end_headers(request.headers)
    request_id = _request_id(request)
    seconds = _deadline_seconds(request, route)
    headers[REQUEST_ID_HEADER] = request_id
    headers[DEADLINE_HEADER] = str(int(seconds * _MILLISECONDS))
    headers['Host'] = target.authority
    backend_request = BackendRequest(
        request.method,
        target.origin_form,
        headers,
    )
    parsed = CallerRequest(
        request_id=request_id,
        route=route,
        backend_request=backend_request,
        deadline=clock.monotonic() + seconds,
        idempotent=is_idempotent(
            request.method,
            read_idempotent_header(request.headers),
            route,
        ),
    )
    backend_request.at_most_once = not parsed.idempotent
    if request.body_exists:
        await _attach_body(request, parsed)
    return parsed


async def _attach_body(request: BaseRequest, parsed: CallerRequest) -> None:
    backend_request = parsed.backend_request
    backend_request.length = request.content_length
    if _is_small(request):
        backend_request.body = await request.read()
        return
    parsed.body_stream = RequestBody(request)
    backend_request.stream = parsed.body_stream


def _is_small(request: BaseRequest) -> bool:
    length = request.content_length
    if length is None or expects_continue(request):
        return False
    return length <= _REPLAY_BYTES


def _request_id(request: BaseRequest) -> str:
    stated = request.headers.get(REQUEST_ID_HEADER)
    if not stated:
        return os.urandom(_ID_BYTES).hex()
    if _REQUEST_ID.fullmatch(stated) is None:
        raise BadRequestError(
            f'{REQUEST_ID_HEADER} is not 1 to {_ID_CHARACTERS} visible '
            'ASCII characters',
        )
    return stated


def _deadline_seconds(request: BaseRequest, route: Route) -> float:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return route.deadline_seconds
    if _DEADLINE.fullmatch(text) is None:
        raise BadRequestError(
            f'{DEADLINE_HEADER} is not a whole number of milliseconds up to '
            f'{_DEADLINE_DIGITS} digits long',
        )
    return int(text) / _MILLISECONDS
