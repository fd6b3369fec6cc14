"""Responses that the gateway itself gives instead of a server's."""

__all__ = ('NOT_RUN_STATUSES', 'rejection_response')

from http import HTTPStatus

import msgspec

from zinniaturn.http1.messages import Response
from zinniaturn.outcomes import Outcome, rejection_for

# Callers take these statuses to mean that the request was not run.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_STATUSES_WITH_RETRY_AFTER = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)
_DEFAULT_RETRY_AFTER_SECONDS = 0.2


def rejection_response(
    code: str,
    outcome: Outcome,
    retry_after_seconds: float | None,
) -> Response:
    """
    Return a response whose status claims no more than is known.

    A request that certainly did not run gets 503 in place of any 5xx status,
    also where its deadline has passed, so that the caller may retry it. A
    request that may have run never gets a status that callers take to mean
    that it did not run; it gets 502 instead.
    """
    rejection = rejection_for(code)
    status = rejection.status
    if outcome is Outcome.NOT_RUN:
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            status = HTTPStatus.SERVICE_UNAVAILABLE
    elif status in NOT_RUN_STATUSES:
        status = HTTPStatus.BAD_GATEWAY
    fields = [(b'Content-Type', b'application/json')]
    if status in _STATUSES_WITH_RETRY_AFTER:
        seconds = retry_after_seconds or _DEFAULT_RETRY_AFTER_SECONDS
        fields.append((b'Retry-After', b'%.3f' % seconds))
    body = msgspec.json.encode(
        {'code': code, 'title': rejection.title, 'outcome': outcome.value},
    )
    return Response(int(status), b'', fields, body)
