"""Errors of calls to the store."""

__all__ = (
    'LeaseLapsedError',
    'StoreBusyError',
    'StoreConflictError',
    'StoreError',
    'StoreUnavailableError',
)

from zinniaturn.errors import CodedError


class StoreError(CodedError):
    """The store rejected a call; nothing was changed."""

    code = 'store-refused'


class StoreConflictError(StoreError):
    """The key does not have the expected version; nothing was changed."""

    code = 'store-conflict'


class StoreUnavailableError(StoreError):
    """No reply came; a write may or may not have taken effect."""

    code = 'store-unavailable'


class StoreBusyError(StoreError):
    """The call exceeded the store's rate limit; nothing was changed."""

    code = 'store-busy'


class LeaseLapsedError(StoreError):
    """The lease of the call has expired; nothing was changed."""

    code = 'lease-lapsed'
