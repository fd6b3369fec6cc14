"""
Membership table of the fleet's VMs.

The store lists the VMs that may exist; whether one is alive is known only
from its own heartbeats.
"""

__all__ = ('PeerVm', 'VmTable', 'rank_key')

import zlib
from collections.abc import Collection
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.fleet.domain import VmRecord, VmStage

_FORGET_AFTER_SECONDS = 30.0
_MIN_HEARTBEAT_SECONDS = 0.35
_HEARTBEAT_SECONDS_PER_VM = 0.01
_ALIVE_HEARTBEAT_INTERVALS = 3.4
_MAX_FORMER_INCARNATIONS = 8


@dataclass(slots=True)
class PeerVm:
    """
    Another VM of the fleet.

    ``last_heartbeat_at`` is minus infinity before the first heartbeat.
    ``load`` is the request rate per second that the VM reported.
    ``former_incarnations`` are those of earlier processes, whose heartbeats
    may still arrive.
    """

    record: VmRecord
    stage: VmStage = VmStage.STARTING
    last_heartbeat_at: float = float('-inf')
    former_incarnations: tuple[int, ...] = ()
    load: int = 0

    def replaced_by(self, record: VmRecord) -> 'PeerVm':
        """Return the VM with a new process."""
        incarnations = (*self.former_incarnations, self.record.incarnation)
        return PeerVm(
            record,
            former_incarnations=incarnations[-_MAX_FORMER_INCARNATIONS:],
        )


@dataclass(slots=True)
class VmTable:
    """
    Known VMs by name, without this one.

    The heartbeat interval grows with the number of VMs, so that the cost of
    heartbeats per VM stays bounded in a large fleet.
    """

    own: VmRecord
    clock: Clock
    vms: dict[str, PeerVm] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)

    def update_records(self, records: Collection[VmRecord]) -> None:
        """Add the VMs that the store lists; forget long silent ones."""
        self.listed = {record.name for record in records}
        for record in records:
            if record.name != self.own.name and self._is_new(record):
                self.vms[record.name] = PeerVm(record)
        oldest = self.clock.monotonic() - _FORGET_AFTER_SECONDS
        for name, peer in list(self.vms.items()):
            if name not in self.listed and peer.last_heartbeat_at < oldest:
                self.vms.pop(name)

    def _is_new(self, record: VmRecord) -> bool:
        peer = self.vms.get(record.name)
        if peer is None:
            return True
        return not (
            record.has_same_location(peer.record) or self.is_alive(peer)
        )

    def record_heartbeat(
        self,
        record: VmRecord,
        stage: VmStage,
        load: int = 0,
    ) -> bool:
        """Record a heartbeat; return whether the VM was not alive before."""
        if record.name == self.own.name:
            return False
        peer = self.vms.get(record.name)
        if peer is None:
            peer = PeerVm(record)
            self.vms[record.name] = peer
        elif record.incarnation in peer.former_incarnations:
            return False
        elif record.incarnation != peer.record.incarnation:
            peer = peer.replaced_by(record)
            self.vms[record.name] = peer
        was_alive = self.is_alive(peer)
        peer.last_heartbeat_at = self.clock.monotonic()
        peer.load = load
        if peer.stage is not VmStage.STOPPING:
            peer.stage = stage
        return not was_alive

    @property
    def heartbeat_seconds(self) -> float:
        """Return the interval between the heartbeats of a VM."""
        return max(
            _MIN_HEARTBEAT_SECONDS,
            _HEARTBEAT_SECONDS_PER_VM * self.max_size(),
        )

    def is_alive(self, peer: PeerVm) -> bool:
        """Return whether the VM's last heartbeat is recent."""
        silent_seconds = self.clock.monotonic() - peer.last_heartbeat_at
        return (
            silent_seconds
            <= self.heartbeat_seconds * _ALIVE_HEARTBEAT_INTERVALS
        )

    def alive_vms(self) -> list[PeerVm]:
        """Return the VMs that are alive, without this one."""
        return [peer for peer in self.vms.values() if self.is_alive(peer)]

    def serving_vms(self, own_is_ready: bool) -> list[VmRecord]:
        """
        Return the VMs that callers may connect to.

        A VM without heartbeats from any other VM can't tell which of them are
        alive, so it returns all but those known to be stopping.
        """
        alive_vms = self.alive_vms()
        serving_vms = [self.own] if own_is_ready else []
        if alive_vms or not self.vms:
            ready = [peer for peer in alive_vms if peer.stage is VmStage.READY]
        else:
            ready = [
                peer
                for peer in self.vms.values()
                if peer.stage is not VmStage.STOPPING
            ]
        serving_vms.extend(peer.record for peer in ready)
        return serving_vms

    def rank(self) -> int:
        """
        Return this VM's rank among the alive VMs, the same on all of them.

        VMs are ordered by a hash, which mixes the data centres.
        """
        own_key = rank_key(self.own.name)
        return sum(
            rank_key(peer.record.name) < own_key
            for peer in self.alive_vms()
            if peer.stage is not VmStage.STOPPING
        )

    def has_quorum(self) -> bool:
        """Return whether at least half of the other known VMs are alive."""
        return self._is_quorum(self.alive_vms())

    def peer_load(self) -> int | None:
        """
        Return the request rate per second of the other alive VMs.

        Returns ``None`` without a quorum, as the sum would miss too many VMs.
        """
        alive_vms = self.alive_vms()
        if not self._is_quorum(alive_vms):
            return None
        return sum(peer.load for peer in alive_vms)

    def _is_quorum(self, alive_vms: list[PeerVm]) -> bool:
        return len(alive_vms) * 2 >= len(self.vms)

    def last_heartbeat_of(self, name: str) -> float:
        """Return the time of a VM's last heartbeat."""
        peer = self.vms.get(name)
        return peer.last_heartbeat_at if peer else float('-inf')

    def max_size(self) -> int:
        """Return the number of VMs that may be alive, with this one."""
        return len(self.vms) + 1


def rank_key(name: str) -> tuple[int, str]:
    """Return the sort key of a VM's rank, the same on all VMs."""
    return zlib.crc32(name.encode()), name
