"""Access to the platform's key-value service through a narrow interface."""

__all__ = (
    'ConfigurationStore',
    'HttpStore',
    'Lease',
    'LeaseLapsedError',
    'StoreBusyError',
    'StoreConflictError',
    'StoreError',
    'StoreUnavailableError',
    'VersionedValue',
)

from zinniaturn.store.exceptions import (
    LeaseLapsedError,
    StoreBusyError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from zinniaturn.store.http import HttpStore
from zinniaturn.store.port import ConfigurationStore, Lease, VersionedValue
