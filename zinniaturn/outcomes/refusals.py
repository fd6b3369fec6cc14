"""
Catalogue of the error responses that the system itself generates.

Each has a code, an HTTP status and a title. ``docs/CALLERS.md`` says how a
caller should handle each of them.
"""

__all__ = ('REFUSALS', 'Refusal', 'refusal_for')

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error response that the system generates."""

    code: str
    status: HTTPStatus
    title: str


_CATALOGUE = (
    Refusal('no-route', HTTPStatus.NOT_FOUND, 'No route matches the request'),
    Refusal(
        'not-ready',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The entry has no tables yet',
    ),
    Refusal(
        'no-server',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'No backend server could be reached',
    ),
    Refusal(
        'queue-full',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'Too many requests wait for the pool',
    ),
    Refusal(
        'deadline-unreachable',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The wait for a server would pass the deadline',
    ),
    Refusal(
        'server-shed',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The backend servers turned the request away',
    ),
    Refusal(
        'deadline-not-run',
        HTTPStatus.GATEWAY_TIMEOUT,
        'The deadline passed before the request was sent',
    ),
    Refusal(
        'deadline-passed',
        HTTPStatus.GATEWAY_TIMEOUT,
        'The deadline passed after the request was sent',
    ),
    Refusal(
        'connection-lost',
        HTTPStatus.BAD_GATEWAY,
        'The connection to the backend server was lost',
    ),
    Refusal(
        'bad-answer',
        HTTPStatus.BAD_GATEWAY,
        'The backend server sent a malformed answer',
    ),
    Refusal(
        'bad-request',
        HTTPStatus.BAD_REQUEST,
        'The request is malformed',
    ),
    Refusal(
        'head-too-large',
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        "The request's head is too large",
    ),
    Refusal(
        'no-tunnel',
        HTTPStatus.NOT_IMPLEMENTED,
        'The entry opens no tunnels',
    ),
    Refusal(
        'body-broken',
        HTTPStatus.BAD_REQUEST,
        "The request's body broke off or is malformed",
    ),
    Refusal(
        'too-many-connections',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The entry takes no further connection',
    ),
    Refusal(
        'draining',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The entry is being stopped',
    ),
    Refusal(
        'keys-full',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The entry keeps as many keys as it may',
    ),
    Refusal(
        'key-in-flight',
        HTTPStatus.CONFLICT,
        'The request with this key still runs',
    ),
    Refusal(
        'key-not-run',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The request with this key was not run',
    ),
    Refusal(
        'already-run',
        HTTPStatus.CONFLICT,
        'The request with this key has run; its answer is not kept',
    ),
    Refusal(
        'key-unknown',
        HTTPStatus.CONFLICT,
        'The request with this key may have run',
    ),
    Refusal(
        'key-expired',
        HTTPStatus.CONFLICT,
        'The key is older than its window',
    ),
    Refusal(
        'key-unreadable',
        HTTPStatus.CONFLICT,
        'The key was not issued by this system',
    ),
    Refusal(
        'key-elsewhere',
        HTTPStatus.CONFLICT,
        'The process that issued the key is gone',
    ),
    Refusal(
        'key-entry-unreachable',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The entry that the key belongs to cannot be reached',
    ),
    Refusal(
        'key-reused',
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'The key belongs to another request',
    ),
    Refusal(
        'claim-unavailable',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The store did not say whose the key is',
    ),
    Refusal(
        'internal',
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'The entry failed',
    ),
)

REFUSALS: Mapping[str, Refusal] = MappingProxyType(
    {refusal.code: refusal for refusal in _CATALOGUE}
)


def refusal_for(code: str) -> Refusal:
    """Return the refusal with this code."""
    return REFUSALS[code]
