"""
At-most-once execution of requests with an idempotency key.

A key that the system issued names the only entry process that may run its
request. A key chosen by the caller is claimed for one entry process by a
compare-and-swap in the store. Either way one process knows, from memory, the
outcome of the key's request.
"""

__all__ = (
    'ClaimOwner',
    'ClaimRegistry',
    'ClaimUnavailableError',
    'IdempotencyError',
    'IssuedKey',
    'KeyIssuer',
    'KeyRecord',
    'KeyReusedError',
    'KeyState',
    'KeyTable',
    'KeyTableFullError',
    'StoredResponse',
    'UnreadableKeyError',
)

from zinniaturn.idempotency.claims import ClaimOwner, ClaimRegistry
from zinniaturn.idempotency.exceptions import (
    ClaimUnavailableError,
    IdempotencyError,
    KeyReusedError,
    KeyTableFullError,
    UnreadableKeyError,
)
from zinniaturn.idempotency.keys import IssuedKey, KeyIssuer
from zinniaturn.idempotency.records import (
    KeyRecord,
    KeyState,
    KeyTable,
    StoredResponse,
)
