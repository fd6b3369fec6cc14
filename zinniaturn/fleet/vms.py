"""
The VMs of the fleet as this one sees them.

The store tells which there may be; whether one lives is told by its own
heartbeats.
"""

__all__ = ('PeerVm', 'VmTable', 'rank_key')

import zlib
from collections.abc import Collection
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.fleet.domain import VmRecord, VmStage

_FORGET_SECONDS = 30.0
_HEARTBEAT_SECONDS = 0.35
_HEARTBEAT_SECONDS_A_VM = 0.01
_HEARTBEATS_MISSED = 3.4
_FORMER_KEPT = 8


@dataclass(slots=True)
class PeerVm:
    """
    One VM; ``heard_at`` is minus infinity where it was never heard.

    ``load`` is the requests a second that it said to get. ``former`` are the
    incarnations before this one, whose heartbeats may still be on their way.
    """

    record: VmRecord
    stage: VmStage = VmStage.STARTING
    last_heartbeat_at: float = float('-inf')
    former_incarnations: tuple[int, ...] = ()
    load: int = 0

    def replaced_by(self, record: VmRecord) -> 'PeerVm':
        """Return the VM with another process."""
        former_incarnations = (
            *self.former_incarnations,
            self.record.incarnation,
        )
        return PeerVm(
            record, former_incarnations=former_incarnations[-_FORMER_KEPT:]
        )


@dataclass(slots=True)
class VmTable:
    """
    Known VMs by name, without this one.

    Heartbeats come the more seldom the more VMs there are, so that a VM's
    cost grows with the fleet no more than its look-ups need.
    """

    own: VmRecord
    clock: Clock
    vms: dict[str, PeerVm] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)

    def update_records(self, records: Collection[VmRecord]) -> None:
        """Take over what the store lists; forget what is long gone."""
        self.listed = {record.name for record in records}
        for record in records:
            if record.name != self.own.name and self._is_news(record):
                self.vms[record.name] = PeerVm(record)
        oldest = self.clock.monotonic() - _FORGET_SECONDS
        for name, known in list(self.vms.items()):
            if name not in self.listed and known.last_heartbeat_at < oldest:
                self.vms.pop(name)

    def _is_news(self, record: VmRecord) -> bool:
        known = self.vms.get(record.name)
        if known is None:
            return True
        return not (
            record.has_same_location(known.record) or self.is_alive(known)
        )

    def record_heartbeat(
        self,
        record: VmRecord,
        stage: VmStage,
        load: int = 0,
    ) -> bool:
        """Note a heartbeat; return whether the VM was not alive before."""
        if record.name == self.own.name:
            return False
        known = self.vms.get(record.name)
        if known is None:
            known = PeerVm(record)
            self.vms[record.name] = known
        elif record.incarnation in known.former_incarnations:
            return False
        elif record.incarnation != known.record.incarnation:
            known = known.replaced_by(record)
            self.vms[record.name] = known
        was_alive = self.is_alive(known)
        known.last_heartbeat_at = self.clock.monotonic()
        known.load = load
        if known.stage is not VmStage.STOPPING:
            known.stage = stage
        return not was_alive

    @property
    def heartbeat_seconds(self) -> float:
        """Return the time between two heartbeats of a VM."""
        return max(
            _HEARTBEAT_SECONDS, _HEARTBEAT_SECONDS_A_VM * self.max_size()
        )

    def is_alive(self, known: PeerVm) -> bool:
        """Return whether a VM was heard a moment ago."""
        silent = self.clock.monotonic() - known.last_heartbeat_at
        return silent <= self.heartbeat_seconds * _HEARTBEATS_MISSED

    def alive_vms(self) -> list[PeerVm]:
        """Return the VMs that are alive, without this one."""
        return [known for known in self.vms.values() if self.is_alive(known)]

    def serving_vms(self, own_is_ready: bool) -> list[VmRecord]:
        """
        Return the VMs that callers may connect to.

        A VM that hears none of the others can't tell which of them live, so
        it names all but those that it knows to be stopping.
        """
        alive_vms = self.alive_vms()
        serving_vms = [self.own] if own_is_ready else []
        if alive_vms or not self.vms:
            ready = [each for each in alive_vms if each.stage is VmStage.READY]
        else:
            ready = [
                each
                for each in self.vms.values()
                if each.stage is not VmStage.STOPPING
            ]
        serving_vms.extend(each.record for each in ready)
        return serving_vms

    def rank(self) -> int:
        """
        Return this VM's place among those alive, the same on all of them.

        The order follows a hash, so that it is spread over data centres.
        """
        own = rank_key(self.own.name)
        return sum(
            rank_key(each.record.name) < own
            for each in self.alive_vms()
            if each.stage is not VmStage.STOPPING
        )

    def has_quorum(self) -> bool:
        """Return whether more than half of the known VMs are alive."""
        return self._are_most(self.alive_vms())

    def peer_load(self) -> int | None:
        """
        Return the requests a second that the other living VMs get.

        Returns ``None`` where this VM hears too few of them to tell.
        """
        alive_vms = self.alive_vms()
        if not self._are_most(alive_vms):
            return None
        return sum(each.load for each in alive_vms)

    def _are_most(self, alive_vms: list[PeerVm]) -> bool:
        return len(alive_vms) * 2 >= len(self.vms)

    def last_heartbeat_of(self, name: str) -> float:
        """Return when a VM was last heard."""
        known = self.vms.get(name)
        return known.last_heartbeat_at if known else float('-inf')

    def max_size(self) -> int:
        """Return how many VMs may be alive, with this one."""
        return len(self.vms) + 1


def rank_key(name: str) -> tuple[int, str]:
    """Return a VM's place in an order that is the same on all of them."""
    return zlib.crc32(name.encode()), name
