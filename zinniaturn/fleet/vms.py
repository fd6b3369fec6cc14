"""
Membership table of the fleet's VMs.

Every VM numbers the changes of its own stage and load by a version. VMs pass
these on to each other, and a VM that stops responding is declared dead by
whoever notices it. The highest version wins, and at the same version the
declaration of death does. A VM that learns that it was declared dead refutes it
with a higher version; so does a process that was restarted with a lower version
than its predecessor's, whatever its clock says.
"""

__all__ = (
    'VmTable',
    'cut_off_vms',
    'list_statuses',
    'outdated_vms',
    'serving_vms',
)

import zlib
from collections.abc import Collection
from dataclasses import dataclass, field, replace

from zinniaturn.clock import Clock
from zinniaturn.fleet.alive_vms import AliveVms, PeerVm
from zinniaturn.fleet.domain import VmRecord, VmStage, VmStatus

_FORGET_AFTER_SECONDS = 30.0
_CUT_OFF_AFTER_SECONDS = 1.5


@dataclass(slots=True)
class VmTable:
    """
    Known VMs by name, without this one.

    Sums over the VMs that are alive are kept up to date, so that neither a
    request nor a change costs more in a larger fleet. ``change_count`` grows
    with each change but those of loads.
    """

    own: VmRecord
    clock: Clock
    own_status: VmStatus = field(init=False)
    vms: dict[str, PeerVm] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)
    listed_size: int = 0
    last_heard_at: float = float('-inf')
    change_count: int = 0
    alive: AliveVms = field(init=False)

    def __post_init__(self) -> None:
        """Begin with a version above those of earlier processes."""
        self.own_status = VmStatus(
            self.own.name, max(1, int(self.clock.wall())), VmStage.STARTING
        )
        self.alive = AliveVms(self.own.name)

    def update_records(self, records: Collection[VmRecord]) -> None:
        """Add the VMs that the store lists; forget long silent ones."""
        self.listed = {record.name for record in records}
        self.listed_size = max(
            len(records), *(record.fleet_size for record in records), 0
        )
        for record in records:
            if record.name != self.own.name and self._is_new(record):
                self.vms[record.name] = PeerVm(record)
                self.change_count += 1
        self._forget_silent()

    def set_own(
        self,
        stage: VmStage,
        load: int,
        cut_off: int = 0,
        *,
        is_outdated: bool = False,
    ) -> bool:
        """Set this VM's own status; return whether it changed."""
        own = self.own_status
        changed = replace(
            own,
            stage=stage,
            load=load,
            cut_off=cut_off,
            is_outdated=is_outdated,
        )
        if changed == own:
            return False
        if own.stage is not stage:
            self.alive.ready.discard(own.name)
            if stage is VmStage.READY:
                self.alive.ready.add(own.name)
        is_same = (own.cut_off, own.is_outdated) == (cut_off, is_outdated)
        self.change_count += not is_same
        self.own_status = replace(changed, version=own.version + 1)
        return True

    def apply(self, status: VmStatus) -> bool:
        """Apply a status; return whether it was news worth passing on."""
        if status.name == self.own.name:
            return self._refute(status)
        peer = self.vms.get(status.name)
        if peer is None:
            if status.record is None or status.stage is VmStage.DEAD:
                return False
            peer = PeerVm(status.record)
            self.vms[status.name] = peer
        if not status.supersedes(peer.version, peer.stage):
            return False
        record = status.record or peer.record
        is_same = (
            status.stage is peer.stage
            and record == peer.record
            and status.cut_off == peer.cut_off
            and status.is_outdated == peer.is_outdated
        )
        self.change_count += not (is_same and peer.version)
        self.alive.discard(peer)
        peer.version = status.version
        peer.stage = status.stage
        peer.load = status.load
        peer.cut_off = status.cut_off
        peer.is_outdated = status.is_outdated
        peer.record = record
        peer.changed_at = self.clock.monotonic()
        self.alive.add(peer)
        return True

    def note_heard(self, name: str, version: int) -> PeerVm | None:
        """Record a message that a VM itself has sent; return the VM."""
        now = self.clock.monotonic()
        self.last_heard_at = now
        peer = self.vms.get(name)
        if peer is not None:
            peer.heard_at = now
            peer.own_version = version
        return peer

    def declare_dead(self, name: str) -> bool:
        """Declare a VM dead; return whether it was alive before."""
        peer = self.vms.get(name)
        if peer is None or not peer.is_alive:
            return False
        return self.apply(replace(peer.status(), stage=VmStage.DEAD, load=0))

    def status_of(self, name: str) -> VmStatus | None:
        """Return the status of one VM, or ``None`` if it has none yet."""
        if name == self.own.name:
            return self.own_status
        peer = self.vms.get(name)
        return peer.status() if peer is not None and peer.version else None

    def alive_vms(self) -> list[PeerVm]:
        """Return the VMs that are alive, without this one."""
        return self.alive.peers

    def silent_vms(self) -> list[PeerVm]:
        """Return the VMs that are not known to be alive."""
        return [peer for peer in self.vms.values() if not peer.is_alive]

    def rank(self) -> int:
        """
        Return this VM's rank among the alive VMs, the same on all of them.

        VMs are ordered by a hash, which mixes the data centres.
        """
        return self.alive.rank

    def poll_rank(self) -> int:
        """Return this VM's rank for polls; it is 0 while it is cut off."""
        return 0 if self._is_cut_off() else self.rank()

    def checksum(self) -> int:
        """Return a checksum of which VMs are alive, with this one."""
        return self.alive.checksum ^ zlib.crc32(self.own.name.encode())

    def has_quorum(self) -> bool:
        """
        Return whether at least half of the other known VMs are alive.

        A VM that is cut off from all others has none, as what it knows of them
        no longer changes.
        """
        if self.vms and self._is_cut_off():
            return False
        return len(self.alive_vms()) * 2 >= len(self.vms)

    def peer_load(self) -> int | None:
        """
        Return the request rate per second of the other alive VMs.

        Returns ``None`` without a quorum, as the sum would miss too many VMs.
        """
        return self.alive.load if self.has_quorum() else None

    def last_seen_at(self, name: str) -> float:
        """Return when a VM was last known to be alive."""
        peer = self.vms.get(name)
        if peer is None:
            return float('-inf')
        if peer.is_alive:
            return self.clock.monotonic()
        return max(peer.heard_at, peer.changed_at)

    def max_size(self) -> int:
        """Return the number of VMs that may be alive, with this one."""
        return max(len(self.vms) + 1, self.listed_size)

    def _is_new(self, record: VmRecord) -> bool:
        peer = self.vms.get(record.name)
        if peer is None:
            return True
        return not (peer.record == record or peer.is_alive)

    def _refute(self, status: VmStatus) -> bool:
        """Raise the own version above a status that another process made."""
        own = self.own_status
        if not status.supersedes(own.version, own.stage):
            return False
        self.own_status = replace(own, version=status.version + 1)
        return True

    def _is_cut_off(self) -> bool:
        silent_seconds = self.clock.monotonic() - self.last_heard_at
        return silent_seconds > _CUT_OFF_AFTER_SECONDS

    def _forget_silent(self) -> None:
        oldest = self.clock.monotonic() - _FORGET_AFTER_SECONDS
        for name, peer in list(self.vms.items()):
            if name in self.listed or peer.is_alive:
                continue
            if max(peer.heard_at, peer.changed_at) < oldest:
                self.vms.pop(name)
                self.change_count += 1


def list_statuses(vms: VmTable) -> list[VmStatus]:
    """Return the status of every VM with its record, the own one first."""
    return [
        replace(vms.own_status, record=vms.own),
        *(
            replace(peer.status(), record=peer.record)
            for peer in vms.vms.values()
            if peer.version
        ),
    ]


def serving_vms(vms: VmTable, own_is_ready: bool) -> list[VmRecord]:
    """
    Return the VMs that callers may connect to.

    A VM that knows no other VM to be alive can't tell which of them are, so it
    returns all but those known to be stopping.
    """
    serving = [vms.own] if own_is_ready else []
    alive = vms.alive_vms()
    if alive or not vms.vms:
        ready = [peer for peer in alive if peer.stage is VmStage.READY]
    else:
        ready = [
            peer
            for peer in vms.vms.values()
            if peer.stage is not VmStage.STOPPING
        ]
    serving.extend(peer.record for peer in ready)
    return serving


def outdated_vms(vms: VmTable) -> set[str]:
    """Return the VMs, this one too, that may soon serve no tenants."""
    names = {peer.name for peer in vms.alive_vms() if peer.is_outdated}
    if vms.own_status.is_outdated:
        names.add(vms.own.name)
    return names


def cut_off_vms(vms: VmTable) -> set[str]:
    """Return the VMs, this one too, that have lost their path to some pool."""
    names = {peer.name for peer in vms.alive_vms() if peer.cut_off}
    if vms.own_status.cut_off:
        names.add(vms.own.name)
    return names
