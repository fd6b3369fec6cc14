"""
Interface to the platform's key-value service.

Only the adapters that implement it know the service's wire format.
"""

__all__ = ('ConfigurationStore', 'Lease', 'VersionedValue')

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """A key's value and version; version 0 means that the key is absent."""

    value: str = ''
    version: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """
    A lease of the store.

    ``fencing`` is its fencing token, which is higher for each later lease.
    """

    lease_id: str
    fencing: int
    ttl_seconds: float


class ConfigurationStore(Protocol):
    """
    A store with compare-and-swap, leases and watches.

    Every call raises `StoreUnavailableError` if no reply came and `StoreError`
    if the service rejected it.
    """

    async def read(self, key: str) -> VersionedValue:
        """Return the key's value and version."""

    async def compare_and_swap(
        self,
        key: str,
        expected_version: int,
        value: str,
        lease_id: str = '',
    ) -> int:
        """
        Write if the key has the expected version; return the new version.

        If a lease is given, the key is deleted when the lease ends. Raises
        `StoreConflictError` if the version differs.
        """

    async def delete(self, key: str, expected_version: int) -> None:
        """
        Delete the key if it has the expected version.

        Raises `StoreConflictError` if the version differs.
        """

    async def watch(
        self,
        key: str,
        after_version: int,
        wait_seconds: float,
    ) -> VersionedValue:
        """
        Wait until the version differs from ``after_version``.

        Returns the key's value and version after ``wait_seconds`` at the
        latest, changed or not.
        """

    async def grant_lease(self, holder: str, ttl_seconds: float) -> Lease:
        """Return a new lease."""

    async def renew_lease(self, lease_id: str) -> None:
        """Renew a lease for another term."""

    async def release_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
