"""
What a VM needs of the platform's store.

Only the platform's adapter knows keys and wire form.
"""

__all__ = ('FleetStore',)

from typing import Protocol

from zinniaturn.fleet.domain import FleetReading, TablesDocument, VmRecord
from zinniaturn.tables.domain import Tables


class FleetStore(Protocol):
    """
    Reads of the whole fleet and a lease for the VM's own record.

    Every call raises `FleetStoreError` where no usable reply came.
    """

    async def read_fleet(self) -> FleetReading:
        """Return all that the store holds, never from a stale copy."""

    def decode_tables(self, document: TablesDocument) -> Tables:
        """Return the tables of a document; raises `BadDocumentError`."""

    async def register(self, record: VmRecord, ttl_seconds: float) -> int:
        """Write a record that lives as long as the lease that is returned."""

    async def renew(self, lease: int) -> None:
        """Keep a lease for another term; raises `LeaseEndedError`."""

    async def withdraw(self, lease: int) -> None:
        """End a lease, which removes the record."""
