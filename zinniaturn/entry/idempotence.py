"""
Decides whether a request is idempotent, so that it may run twice.

The operator can set a flag on a route and the caller a header on a request.
"Not idempotent" from either takes precedence. Without both, the HTTP method
decides.
"""

__all__ = ('IDEMPOTENT_HEADER', 'is_idempotent', 'read_idempotent_header')

from collections.abc import Mapping
from types import MappingProxyType

from zinniaturn.entry.exceptions import BadRequestError
from zinniaturn.tables import Route

IDEMPOTENT_HEADER = 'Zinniaturn-Idempotent'

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
_BOOLEAN_VALUES = MappingProxyType({'true': True, 'false': False})


def read_idempotent_header(headers: Mapping[str, str]) -> bool | None:
    """
    Return the caller's flag, or ``None`` if the header is absent.

    Raises `BadRequestError` if the value is neither true nor false.
    """
    header = headers.get(IDEMPOTENT_HEADER)
    if header is None:
        return None
    flag = _BOOLEAN_VALUES.get(header.strip().lower())
    if flag is None:
        raise BadRequestError(f'{IDEMPOTENT_HEADER} is not true or false')
    return flag


def is_idempotent(method: str, caller_flag: bool | None, route: Route) -> bool:
    """
    Return whether a request with this flag of the caller may run twice.

    >>> is_idempotent(
    ...     'GET', True, Route('postings', 'ledger', idempotent=False)
    ... )
    False
    """
    flags = (caller_flag, route.idempotent)
    if False in flags:
        return False
    return True in flags or method in _IDEMPOTENT_METHODS
