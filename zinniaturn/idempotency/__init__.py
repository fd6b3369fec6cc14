"""
At most once for requests with an idempotency key.

A key that the system issued names the one entry process that may run it. A
caller's own key is claimed for one entry process by a compare-and-swap in the
store. Either way one process decides, from memory, what became of a key.
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
