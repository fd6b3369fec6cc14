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
    """A key cannot be used."""

    code = 'key-refused'


class UnreadableKeyError(IdempotencyError):
    """A key looks issued, but its code does not fit; it is not run."""

    code = 'key-unreadable'


class KeyReusedError(IdempotencyError):
    """The key belongs to a request with another content."""

    code = 'key-reused'


class KeyTableFullError(IdempotencyError):
    """The table holds as many keys as it may; this one was not run."""

    code = 'keys-full'


class ClaimUnavailableError(IdempotencyError):
    """The store did not say whose a caller's own key is."""

    code = 'claim-unavailable'
