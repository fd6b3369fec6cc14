"""Parses and validates callers' requests."""

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

_MAX_REPLAYABLE_BODY_BYTES = 65_536
_MILLISECONDS_PER_SECOND = 1000
_REQUEST_ID_BYTES = 16
_MAX_REQUEST_ID_CHARACTERS = 128
_REQUEST_ID_PATTERN = re.compile(f'[!-~]{{1,{_MAX_REQUEST_ID_CHARACTERS}}}')
_MAX_DEADLINE_DIGITS = 9
_DEADLINE_PATTERN = re.compile(f'[0-9]{{1,{_MAX_DEADLINE_DIGITS}}}')


@dataclass(slots=True)
class CallerRequest:
    """
    A caller's request with its route, deadline and idempotence.

    ``deadline`` is a point in time in monotonic seconds.
    """

    request_id: str
    route: Route
    backend_request: BackendRequest
    deadline: float
    idempotent: bool
    body_stream: RequestBody | None = None

    @property
    def can_resend(self) -> bool:
        """Return whether the body, if any, can be sent to another server."""
        return self.body_stream is None or not self.body_stream.is_started


async def parse_request(
    request: BaseRequest,
    target: RequestTarget,
    route: Route,
    clock: Clock,
) -> CallerRequest:
    """Return the parsed request; raises `BadRequestError` if malformed."""
    headers = end_to_end_headers(request.headers)
    request_id = _request_id(request)
    seconds = _deadline_seconds(request, route)
    headers[REQUEST_ID_HEADER] = request_id
    headers[DEADLINE_HEADER] = str(int(seconds * _MILLISECONDS_PER_SECOND))
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
    if _is_replayable(request):
        backend_request.body = await request.read()
        return
    parsed.body_stream = RequestBody(request)
    backend_request.stream = parsed.body_stream


def _is_replayable(request: BaseRequest) -> bool:
    length = request.content_length
    if length is None or expects_continue(request):
        return False
    return length <= _MAX_REPLAYABLE_BODY_BYTES


def _request_id(request: BaseRequest) -> str:
    header = request.headers.get(REQUEST_ID_HEADER)
    if not header:
        return os.urandom(_REQUEST_ID_BYTES).hex()
    if _REQUEST_ID_PATTERN.fullmatch(header) is None:
        raise BadRequestError(
            f'{REQUEST_ID_HEADER} is not 1 to {_MAX_REQUEST_ID_CHARACTERS} '
            'visible ASCII characters',
        )
    return header


def _deadline_seconds(request: BaseRequest, route: Route) -> float:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return route.deadline_seconds
    if _DEADLINE_PATTERN.fullmatch(text) is None:
        raise BadRequestError(
            f'{DEADLINE_HEADER} is not a whole number of milliseconds up to '
            f'{_MAX_DEADLINE_DIGITS} digits long',
        )
    return int(text) / _MILLISECONDS_PER_SECOND
