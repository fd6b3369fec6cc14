"""
What the program needs of the platform's key-value service.

Only an adapter knows the service's wire form.
"""

__all__ = ('ConfigurationStore', 'Lease', 'VersionedValue')

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """A key's value and version; version 0 means that there is no key."""

    value: str = ''
    version: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease: its identity and its fencing number, which only grows."""

    lease_id: str
    fencing: int
    ttl_seconds: float


class ConfigurationStore(Protocol):
    """
    Compare-and-swap, leases and watches.

    Every call raises `StoreUnavailableError` where no reply came and
    `StoreError` where the service refused it.
    """

    async def read(self, key: str) -> VersionedValue:
        """Return the key's entry."""

    async def compare_and_swap(
        self,
        key: str,
        expected_version: int,
        value: str,
        lease_id: str = '',
    ) -> int:
        """
        Write where the version is as expected; return the new version.

        The key lives as long as the lease, if one is given. Raises
        `StoreConflictError` where the version differs.
        """

    async def delete(self, key: str, expected_version: int) -> None:
        """
        Remove the key where its version is as expected.

        Raises `StoreConflictError` where the version differs.
        """

    async def watch(
        self,
        key: str,
        after_version: int,
        wait_seconds: float,
    ) -> VersionedValue:
        """
        Wait until the version differs from ``after_version``.

        Returns the entry as it stands when the wait ends.
        """

    async def grant_lease(self, holder: str, ttl_seconds: float) -> Lease:
        """Return a new lease."""

    async def renew_lease(self, lease_id: str) -> None:
        """Keep a lease for another term."""

    async def release_lease(self, lease_id: str) -> None:
        """End a lease and remove its keys."""
