"""
What a VM needs of the platform's store.

Only the platform's adapter knows keys and wire form.
"""

__all__ = ('FleetStore',)

from typing import Protocol

from zinniaturn.fleet.domain import (
    FleetSnapshot,
    StoredVm,
    TablesDocument,
    VmRecord,
)
from zinniaturn.fleet.tables import FleetTables


class FleetStore(Protocol):
    """
    Reads of the whole fleet and writes of VMs' records.

    Every call raises `FleetStoreError` where no usable reply came.
    """

    async def read_snapshot(self) -> FleetSnapshot:
        """Return all that the store holds, never from a stale copy."""

    def decode_tables(self, document: TablesDocument) -> FleetTables:
        """Return the tables of a document; raises `BadDocumentError`."""

    async def register(self, record: VmRecord) -> None:
        """Write a VM's record in place of its former one."""

    async def unregister(self, listed: StoredVm) -> None:
        """Remove a VM's record if it is still the one that was read."""
