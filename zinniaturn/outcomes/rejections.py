"""
Catalogue of the error responses that the system itself generates.

Each has a code, an HTTP status and a title. ``docs/CALLERS.md`` says how a
caller should handle each of them.
"""

__all__ = ('REJECTIONS', 'Rejection', 'rejection_for')

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class Rejection:
    """An error response that the system generates."""

    code: str
    status: HTTPStatus
    title: str


_CATALOGUE = (
    Rejection('no-route', HTTPStatus.NOT_FOUND, 'No route matches the request'),
    Rejection(
        'unknown-key',
        HTTPStatus.UNAUTHORIZED,
        'The request has no key, or one that is not valid',
    ),
    Rejection(
        'not-ready',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The entry has no tables yet',
    ),
    Rejection(
        'over-allowance',
        HTTPStatus.TOO_MANY_REQUESTS,
        "The tenant's allowance is used up",
    ),
    Rejection(
        'configuration-too-old',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The key may have been withdrawn since the configuration was read',
    ),
    Rejection(
        'no-server',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'No backend server could be reached',
    ),
    Rejection(
        'request-held',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The request has ended several servers that ran it',
    ),
    Rejection(
        'queue-full',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'Too many requests wait for the pool',
    ),
    Rejection(
        'deadline-unreachable',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The wait for a server would pass the deadline',
    ),
    Rejection(
        'server-shed',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The backend servers turned the request away',
    ),
    Rejection(
        'deadline-not-run',
        HTTPStatus.GATEWAY_TIMEOUT,
        'The deadline passed before the request was sent',
    ),
    Rejection(
        'deadline-passed',
        HTTPStatus.GATEWAY_TIMEOUT,
        'The deadline passed after the request was sent',
    ),
    Rejection(
        'connection-lost',
        HTTPStatus.BAD_GATEWAY,
        'The connection to the backend server was lost',
    ),
    Rejection(
        'bad-answer',
        HTTPStatus.BAD_GATEWAY,
        'The backend server sent a malformed answer',
    ),
    Rejection(
        'bad-request',
        HTTPStatus.BAD_REQUEST,
        'The request is malformed',
    ),
    Rejection(
        'head-too-large',
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        "The request's head is too large",
    ),
    Rejection(
        'no-tunnel',
        HTTPStatus.NOT_IMPLEMENTED,
        'The entry opens no tunnels',
    ),
    Rejection(
        'body-broken',
        HTTPStatus.BAD_REQUEST,
        "The request's body broke off or is malformed",
    ),
    Rejection(
        'too-many-connections',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The entry takes no further connection',
    ),
    Rejection(
        'draining',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The entry is being stopped',
    ),
    Rejection(
        'keys-full',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The entry keeps as many keys as it may',
    ),
    Rejection(
        'key-in-flight',
        HTTPStatus.CONFLICT,
        'The request with this key still runs',
    ),
    Rejection(
        'key-not-run',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The request with this key was not run',
    ),
    Rejection(
        'already-run',
        HTTPStatus.CONFLICT,
        'The request with this key has run; its answer is not kept',
    ),
    Rejection(
        'key-unknown',
        HTTPStatus.CONFLICT,
        'The request with this key may have run',
    ),
    Rejection(
        'key-expired',
        HTTPStatus.CONFLICT,
        'The key is older than its window',
    ),
    Rejection(
        'key-unreadable',
        HTTPStatus.CONFLICT,
        'The key was not issued by this system',
    ),
    Rejection(
        'key-elsewhere',
        HTTPStatus.CONFLICT,
        'The process that issued the key is gone',
    ),
    Rejection(
        'key-entry-unreachable',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The entry that the key belongs to cannot be reached',
    ),
    Rejection(
        'key-reused',
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'The key belongs to another request',
    ),
    Rejection(
        'claim-unavailable',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The store did not say whose the key is',
    ),
    Rejection(
        'internal',
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'The entry failed',
    ),
)

REJECTIONS: Mapping[str, Rejection] = MappingProxyType(
    {rejection.code: rejection for rejection in _CATALOGUE}
)


def rejection_for(code: str) -> Rejection:
    """Return the rejection with this code."""
    return REJECTIONS[code]
