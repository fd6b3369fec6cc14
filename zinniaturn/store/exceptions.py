"""Errors of the store's port."""

__all__ = ('StoreConflictError', 'StoreError', 'StoreUnavailableError')

from zinniaturn.errors import CodedError


class StoreError(CodedError):
    """The store refused a call; nothing was changed."""

    code = 'store-refused'


class StoreConflictError(StoreError):
    """The key does not have the expected version; nothing was changed."""

    code = 'store-conflict'


class StoreUnavailableError(StoreError):
    """No reply came; a write may or may not have taken effect."""

    code = 'store-unavailable'
