"""Decodes the items that the store holds, each on its own."""

__all__ = (
    'EVACUATION_PREFIX',
    'HIGHEST_REVISION',
    'HOLD_PREFIX',
    'VM_PREFIX',
    'DecodedItems',
    'StoredItem',
)

import base64
from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from zinniaturn.fleet.checks import check_record
from zinniaturn.fleet.domain import (
    RegisteredServer,
    StoredVm,
    TablesDocument,
    VmRecord,
)
from zinniaturn.fleet.evacuations import (
    MOST_EVACUATED,
    bound_names,
    check_data_center,
)
from zinniaturn.fleet.revisions import join_revision
from zinniaturn.platform.server_entries import decode_server
from zinniaturn.quarantine.hold_record import HoldRecord, StoredHold

# VMs tell each other revisions, in messages that hold no higher ones.
HIGHEST_REVISION = 2**61
EVACUATION_PREFIX = 'op/evacuate/'
VM_PREFIX = 'zinniaturn/vms/'
HOLD_PREFIX = 'zinniaturn/held/'

_CONFIG_KEY = 'op/config'
_SERVER_PREFIX = 'servers/'

_record_decoder = msgspec.json.Decoder(VmRecord)
_hold_decoder = msgspec.json.Decoder(HoldRecord)


class StoredItem(msgspec.Struct):
    """A key and its value, which is base64 text."""

    key: str
    value: str
    revision: int


@dataclass(slots=True)
class DecodedItems:
    """The store's items that were decoded, and the errors of the others."""

    era: int
    document: TablesDocument | None = None
    servers: list[RegisteredServer] = field(default_factory=list)
    vms: list[StoredVm] = field(default_factory=list)
    holds: list[StoredHold] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)
    evacuated: set[str] = field(default_factory=set)

    def add(self, item: StoredItem) -> None:
        """Decode an item by its key; raises `ValueError`."""
        if item.key.startswith(EVACUATION_PREFIX):
            # That the key exists counts, whatever its value.
            name = item.key.removeprefix(EVACUATION_PREFIX)
            self.evacuated.add(check_data_center(name))
            return
        if not 0 < item.revision <= HIGHEST_REVISION:
            raise ValueError('the revision is out of range')
        raw = base64.b64decode(item.value)
        if item.key == _CONFIG_KEY:
            revision = join_revision(self.era, item.revision)
            self.document = TablesDocument(revision, raw)
        elif item.key.startswith(_SERVER_PREFIX):
            server = item.key.removeprefix(_SERVER_PREFIX)
            self.servers.append(decode_server(server, raw))
        elif item.key.startswith(VM_PREFIX):
            self.vms.append(_decode_vm(item, raw))
        elif item.key.startswith(HOLD_PREFIX):
            self.holds.append(_decode_hold(item, raw))

    def bounded_evacuated(self, used: Collection[str] = ()) -> frozenset[str]:
        """
        Return the evacuated data centres; tell of those in excess.

        Those of the decoded servers and those in ``used`` come first.
        """
        excess = len(self.evacuated) - MOST_EVACUATED
        if excess > 0:
            self.unreadable.append(
                f'{EVACUATION_PREFIX}: {excess} names too many'
            )
        known = (registered.server.data_center for registered in self.servers)
        return bound_names(self.evacuated, {*known, *used})


def _decode_vm(item: StoredItem, raw: bytes) -> StoredVm:
    """Return the VM of an item; raises `ValueError`."""
    record = _record_decoder.decode(raw)
    check_record(record)
    if item.key != VM_PREFIX + record.name:
        raise ValueError('the value is of another VM')
    return StoredVm(record, item.revision)


def _decode_hold(item: StoredItem, raw: bytes) -> StoredHold:
    """Return the held request of an item; raises `ValueError`."""
    hold = _hold_decoder.decode(raw)
    hold.check()
    if item.key != HOLD_PREFIX + hold.key:
        raise ValueError('the value is of another key')
    return StoredHold(hold, item.revision)
