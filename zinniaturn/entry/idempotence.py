"""
Whether a request may run twice.

The operator marks routes and the caller marks requests. A mark as
non-idempotent by either of them holds; without marks the method decides.
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
_FLAGS = MappingProxyType({'true': True, 'false': False})


def read_idempotent_header(headers: Mapping[str, str]) -> bool | None:
    """
    Return the caller's mark, ``None`` where there is none.

    Raises `BadRequestError` for a mark that is neither true nor false.
    """
    stated = headers.get(IDEMPOTENT_HEADER)
    if stated is None:
        return None
    flag = _FLAGS.get(stated.strip().lower())
    if flag is None:
        raise BadRequestError(f'{IDEMPOTENT_HEADER} is not true or false')
    return flag


def is_idempotent(method: str, mark: bool | None, route: Route) -> bool:
    """
    Return whether a request with this mark may run twice.

    >>> is_idempotent(
    ...     'GET', True, Route('postings', 'ledger', idempotent=False)
    ... )
    False
    """
    marks = (mark, route.idempotent)
    if False in marks:
        return False
    return True in marks or method in _IDEMPOTENT_METHODS
