"""The platform's key-value service, behind a narrow port."""

__all__ = (
    'ConfigurationStore',
    'Entry',
    'HttpStore',
    'Lease',
    'LeaseLapsedError',
    'StoreBusyError',
    'StoreConflictError',
    'StoreError',
    'StoreUnavailableError',
)

from zinniaturn.store.exceptions import (
    LeaseLapsedError,
    StoreBusyError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from zinniaturn.store.http import HttpStore
from zinniaturn.store.port import ConfigurationStore, Entry, Lease
