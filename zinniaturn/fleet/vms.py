"""
The VMs of the fleet as this one sees them.

The store tells which there may be; whether one lives is told by its own
heartbeats.
"""

__all__ = ('KnownVm', 'VmTable')

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.fleet.domain import VmRecord, VmStage

_FORGET_SECONDS = 30.0


@dataclass(slots=True)
class KnownVm:
    """One VM; ``heard_at`` is minus infinity where it was never heard."""

    record: VmRecord
    stage: VmStage = VmStage.STARTING
    heard_at: float = float('-inf')
    listed_at: float = float('-inf')


@dataclass(slots=True)
class VmTable:
    """
    Known VMs by name, without this one.

    ``silence_seconds`` is how long a VM may be silent and still counts as
    alive.
    """

    own: VmRecord
    clock: Clock
    silence_seconds: float = 1.2
    vms: dict[str, KnownVm] = field(default_factory=dict)

    def note_records(self, records: Iterable[VmRecord]) -> None:
        """Take over what the store lists; forget what is long gone."""
        now = self.clock.monotonic()
        for record in records:
            if record.name != self.own.name:
                self._known(record).listed_at = now
        oldest = now - _FORGET_SECONDS
        for name, known in list(self.vms.items()):
            if max(known.heard_at, known.listed_at) < oldest:
                self.vms.pop(name)

    def note_beat(self, record: VmRecord, stage: VmStage) -> bool:
        """Note a heartbeat; return whether the VM was not alive before."""
        if record.name == self.own.name:
            return False
        current = self.vms.get(record.name)
        if current and current.record.started_ms > record.started_ms:
            return False
        known = self._known(record)
        was_alive = self.is_alive(known)
        known.heard_at = self.clock.monotonic()
        if known.stage is not VmStage.STOPPING:
            known.stage = stage
        return not was_alive

    def is_alive(self, known: KnownVm) -> bool:
        """Return whether a VM was heard a moment ago."""
        silent = self.clock.monotonic() - known.heard_at
        return silent <= self.silence_seconds

    def living(self) -> list[KnownVm]:
        """Return the VMs that are alive, without this one."""
        return [known for known in self.vms.values() if self.is_alive(known)]

    def fronts(self, own_is_ready: bool) -> list[str]:
        """
        Return the addresses that callers may connect to.

        A VM that hears none of the others can't tell which of them live, so
        it names all but those that it knows to be stopping.
        """
        living = self.living()
        fronts = [self.own.front] if own_is_ready else []
        if living or not self.vms:
            ready = [each for each in living if each.stage is VmStage.READY]
        else:
            ready = [
                each
                for each in self.vms.values()
                if each.stage is not VmStage.STOPPING
            ]
        fronts.extend(each.record.front for each in ready)
        return fronts

    def rank(self) -> int:
        """
        Return this VM's place among those alive, the same on all of them.

        The order follows a hash, so that it is spread over data centres.
        """
        own = _order(self.own.name)
        return sum(
            _order(each.record.name) < own
            for each in self.living()
            if each.stage is not VmStage.STOPPING
        )

    def most(self) -> int:
        """Return how many VMs may be alive, with this one."""
        return len(self.vms) + 1

    def _known(self, record: VmRecord) -> KnownVm:
        known = self.vms.get(record.name)
        if known is None or record.started_ms > known.record.started_ms:
            known = KnownVm(record)
            self.vms[record.name] = known
        return known


def _order(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name
