"""Answers of the gateway's own."""

__all__ = ('refusal',)

from http import HTTPStatus

import msgspec

from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import Outcome, refusal_for

_PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_DEFAULT_RETRY_SECONDS = 0.2


def refusal(
    code: str,
    outcome: Outcome,
    retry_after_seconds: float | None,
) -> Response:
    """
    Return an answer whose status promises no more than is known.

    A request that surely was not run is answered by 503, also where its
    deadline has passed, so that the caller may come back with it. One that may
    have run never gets a status that says otherwise.
    """
    known = refusal_for(code)
    status = known.status
    if outcome is Outcome.NOT_RUN:
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            status = HTTPStatus.SERVICE_UNAVAILABLE
    elif status in _PROMISES:
        status = HTTPStatus.BAD_GATEWAY
    fields = [(b'Content-Type', b'application/json')]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        seconds = retry_after_seconds or _DEFAULT_RETRY_SECONDS
        fields.append((b'Retry-After', b'%.3f' % seconds))
    body = msgspec.json.encode(
        {'code': code, 'title': known.title, 'outcome': outcome.value},
    )
    return Response(int(status), b'', fields, body)
