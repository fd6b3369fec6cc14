"""Errors of the idempotency layer."""

__all__ = (
    'ClaimUnavailableError',
    'IdempotencyError',
    'KeyReusedError',
    'KeyTableFullError',
    'UnreadableKeyError',
)

from zinniaturn.errors import CodedError


class IdempotencyError(CodedError):
    """An idempotency key cannot be used."""

    code = 'key-refused'


class UnreadableKeyError(IdempotencyError):
    """A key has the issued keys' prefix, but is malformed or forged."""

    code = 'key-unreadable'


class KeyReusedError(IdempotencyError):
    """The key was used before for a request with different content."""

    code = 'key-reused'


class KeyTableFullError(IdempotencyError):
    """The table holds its maximum of keys; the request was not run."""

    code = 'keys-full'


class ClaimUnavailableError(IdempotencyError):
    """The owner of a caller's key could not be determined from the store."""

    code = 'claim-unavailable'
