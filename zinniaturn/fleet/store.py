"""
Interface to the platform's store.

Only the platform adapter knows the keys and the wire format.
"""

__all__ = ('FleetStore',)

from collections.abc import Collection
from typing import Protocol

from zinniaturn.fleet.domain import (
    FleetSnapshot,
    StoredVm,
    TablesDocument,
    VmRecord,
)
from zinniaturn.fleet.tables import FleetTables
from zinniaturn.quarantine.hold_record import HoldRecord, StoredHold


class FleetStore(Protocol):
    """
    Reads of the whole fleet, and writes of VM records and of held requests.

    Every call to the store raises `FleetStoreError` if no usable reply came.
    """

    async def read_snapshot(self) -> FleetSnapshot:
        """Return everything that the store holds, never from a stale copy."""

    async def read_evacuations(
        self, used: Collection[str]
    ) -> tuple[int, frozenset[str]]:
        """
        Return the revision and the evacuated data centres, never stale ones.

        If they are too many, those in ``used`` come first.
        """

    def decode_tables(self, document: TablesDocument) -> FleetTables:
        """Return the tables of a document; raises `BadDocumentError`."""

    async def list_vms(self) -> tuple[StoredVm, ...]:
        """Return the records of VMs, possibly from a stale copy."""

    async def register(self, record: VmRecord) -> None:
        """Write a VM's record, replacing the previous one."""

    async def unregister(self, listed: StoredVm) -> None:
        """Remove a VM's record if it hasn't changed since it was read."""

    async def write_hold(self, hold: HoldRecord) -> None:
        """Write a held request, replacing what the store has of it."""

    async def remove_hold(self, stored: StoredHold) -> None:
        """Remove a held request if it hasn't changed since it was read."""
