"""
The records of VMs in the store.

A VM that starts learns from the records where to find others. A few records
are enough for that, so in a large fleet most VMs never write one, and the start
of many VMs costs the store few writes. Records have no lease: they only say
where VMs may be, and the VMs tell each other which of them are alive.
"""

__all__ = ('VmRegistration', 'needs_record')

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from zinniaturn.clock import Clock
from zinniaturn.fleet.alive_vms import rank_key
from zinniaturn.fleet.domain import StoredVm
from zinniaturn.fleet.exceptions import FleetStoreError
from zinniaturn.fleet.pause_guard import PauseGuard
from zinniaturn.fleet.store import FleetStore
from zinniaturn.fleet.store_write import StoreWrite
from zinniaturn.fleet.vms import VmTable

_RECORDS = 12
_FEWEST_ALIVE_RECORDS = 4
_DEAD_VM_SECONDS = 120.0
# A write shows in the state after this time.
_WRITE_SETTLES_SECONDS = 3.0
# After running for this time a VM knows which others are alive.
_TABLE_SETTLES_SECONDS = 3.0
# The recorded fleet size is renewed when the fleet has grown by this factor.
_SIZE_GROWTH_FACTOR = 1.5


@dataclass(slots=True)
class VmRegistration:
    """
    Keeps this VM's record in the store if one is needed, and removes dead ones.

    The cost is at most one write in the life of a VM, and none if the record of
    its previous process is still right.
    """

    store: FleetStore
    vms: VmTable
    on_failure: Callable[[FleetStoreError], None]
    clock: Clock
    pause_guard: PauseGuard
    started_at: float = field(init=False)
    write: StoreWrite = field(init=False)
    first_listed_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Note the start."""
        self.started_at = self.clock.monotonic()
        self.write = StoreWrite(self.clock, self.on_failure)

    def reconcile(self, listed: Sequence[StoredVm]) -> None:
        """Start the write that the listed records call for, if any."""
        now = self.clock.monotonic()
        if not self.write.is_settled(now, _WRITE_SETTLES_SECONDS):
            return
        if self._may_register(now, listed) and needs_record(self.vms, listed):
            self.register()
            return
        for dead in self._dead_records(listed):
            self.write.start(self.store.unregister(dead))
            return

    def forget_writes(self) -> None:
        """Note that the store may have lost what was written to it."""
        self.write.forget()

    def _may_register(self, now: float, listed: Sequence[StoredVm]) -> bool:
        """
        Return whether this VM knows enough of the others to write its record.

        A VM that has just started doesn't know its rank among them yet, unless
        it is alone or its own record is there already.
        """
        paused = self.pause_guard.paused_seconds(now)
        if now - self.started_at - paused >= _TABLE_SETTLES_SECONDS:
            return True
        names = {stored.record.name for stored in listed}
        return self.vms.own.name in names or not self.vms.alive_vms()

    def register(self) -> None:
        """Start writing this VM's record."""
        size = self.vms.max_size()
        self.write.start(
            self.store.register(replace(self.vms.own, fleet_size=size))
        )

    def _dead_records(self, listed: Sequence[StoredVm]) -> list[StoredVm]:
        """
        Return the records of VMs that have been silent for a long time.

        The list is empty on all VMs but the first by rank, and on that one
        while it has no quorum or may not have heard those that are alive
        because it was paused.
        """
        now = self.clock.monotonic()
        names = {stored.record.name for stored in listed}
        self.first_listed_at = {
            name: self.first_listed_at.get(name, now) for name in names
        }
        if self.vms.rank() or not self.vms.has_quorum():
            return []
        if self.pause_guard.is_after_pause(now, _DEAD_VM_SECONDS):
            return []
        oldest = now - _DEAD_VM_SECONDS
        return [
            stored
            for stored in listed
            if stored.record.name != self.vms.own.name
            and self.first_listed_at[stored.record.name] < oldest
            and self.vms.last_seen_at(stored.record.name) < oldest
        ]


def needs_record(vms: VmTable, listed: Sequence[StoredVm]) -> bool:
    """
    Return whether this VM should write its record.

    The VMs of the lowest ranks do so while the store lists too few records, or
    too few of VMs that are alive. A listed VM does if its record is outdated;
    the first of them also if the recorded size of the fleet is.
    """
    records = {stored.record.name: stored.record for stored in listed}
    own = records.get(vms.own.name)
    if own is not None:
        return own != vms.own or _is_size_outdated(vms, own.fleet_size)
    alive = [peer.record.name for peer in vms.alive_vms()]
    missing = max(
        _RECORDS - len(records),
        _FEWEST_ALIVE_RECORDS - sum(name in records for name in alive),
    )
    if missing <= 0:
        return False
    own_key = rank_key(vms.own.name)
    ahead = sum(
        name not in records and rank_key(name) < own_key for name in alive
    )
    return ahead < missing


def _is_size_outdated(vms: VmTable, recorded: int) -> bool:
    is_outdated = vms.max_size() > vms.listed_size * _SIZE_GROWTH_FACTOR
    return is_outdated and vms.rank() == 0 and recorded < vms.max_size()
