"""
The VMs of the fleet as this one sees them.

The store tells which there may be; whether one lives is told by its own
heartbeats.
"""

__all__ = ('KnownVm', 'VmTable', 'spread_order')

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
class KnownVm:
    """
    One VM; ``heard_at`` is minus infinity where it was never heard.

    ``load`` is the requests a second that it said to get. ``former`` are the
    incarnations before this one, whose heartbeats may still be on their way.
    """

    record: VmRecord
    stage: VmStage = VmStage.STARTING
    heard_at: float = float('-inf')
    former: tuple[int, ...] = ()
    load: int = 0

    def succeeded_by(self, record: VmRecord) -> 'KnownVm':
        """Return the VM with another process."""
        former = (*self.former, self.record.incarnation)
        return KnownVm(record, former=former[-_FORMER_KEPT:])


@dataclass(slots=True)
class VmTable:
    """
    Known VMs by name, without this one.

    Heartbeats come the more seldom the more VMs there are, so that a VM's
    cost grows with the fleet no more than its look-ups need.
    """

    own: VmRecord
    clock: Clock
    vms: dict[str, KnownVm] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)

    def note_records(self, records: Collection[VmRecord]) -> None:
        """Take over what the store lists; forget what is long gone."""
        self.listed = {record.name for record in records}
        for record in records:
            if record.name != self.own.name and self._is_news(record):
                self.vms[record.name] = KnownVm(record)
        oldest = self.clock.monotonic() - _FORGET_SECONDS
        for name, known in list(self.vms.items()):
            if name not in self.listed and known.heard_at < oldest:
                self.vms.pop(name)

    def _is_news(self, record: VmRecord) -> bool:
        known = self.vms.get(record.name)
        if known is None:
            return True
        return not (record.is_at(known.record) or self.is_alive(known))

    def note_heartbeat(
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
            known = KnownVm(record)
            self.vms[record.name] = known
        elif record.incarnation in known.former:
            return False
        elif record.incarnation != known.record.incarnation:
            known = known.succeeded_by(record)
            self.vms[record.name] = known
        was_alive = self.is_alive(known)
        known.heard_at = self.clock.monotonic()
        known.load = load
        if known.stage is not VmStage.STOPPING:
            known.stage = stage
        return not was_alive

    @property
    def heartbeat_seconds(self) -> float:
        """Return the time between two heartbeats of a VM."""
        return max(_HEARTBEAT_SECONDS, _HEARTBEAT_SECONDS_A_VM * self.most())

    def is_alive(self, known: KnownVm) -> bool:
        """Return whether a VM was heard a moment ago."""
        silent = self.clock.monotonic() - known.heard_at
        return silent <= self.heartbeat_seconds * _HEARTBEATS_MISSED

    def living(self) -> list[KnownVm]:
        """Return the VMs that are alive, without this one."""
        return [known for known in self.vms.values() if self.is_alive(known)]

    def fronts(self, own_is_ready: bool) -> list[VmRecord]:
        """
        Return the VMs that callers may connect to.

        A VM that hears none of the others can't tell which of them live, so
        it names all but those that it knows to be stopping.
        """
        living = self.living()
        fronts = [self.own] if own_is_ready else []
        if living or not self.vms:
            ready = [each for each in living if each.stage is VmStage.READY]
        else:
            ready = [
                each
                for each in self.vms.values()
                if each.stage is not VmStage.STOPPING
            ]
        fronts.extend(each.record for each in ready)
        return fronts

    def rank(self) -> int:
        """
        Return this VM's place among those alive, the same on all of them.

        The order follows a hash, so that it is spread over data centres.
        """
        own = spread_order(self.own.name)
        return sum(
            spread_order(each.record.name) < own
            for each in self.living()
            if each.stage is not VmStage.STOPPING
        )

    def hears_most(self) -> bool:
        """Return whether more than half of the known VMs are alive."""
        return self._are_most(self.living())

    def load_of_others(self) -> int | None:
        """
        Return the requests a second that the other living VMs get.

        Returns ``None`` where this VM hears too few of them to tell.
        """
        living = self.living()
        if not self._are_most(living):
            return None
        return sum(each.load for each in living)

    def _are_most(self, living: list[KnownVm]) -> bool:
        return len(living) * 2 >= len(self.vms)

    def silent_since(self, name: str) -> float:
        """Return when a VM was last heard."""
        known = self.vms.get(name)
        return known.heard_at if known else float('-inf')

    def most(self) -> int:
        """Return how many VMs may be alive, with this one."""
        return len(self.vms) + 1


def spread_order(name: str) -> tuple[int, str]:
    """Return a VM's place in an order that is the same on all of them."""
    return zlib.crc32(name.encode()), name
