"""Keeping up with the store: reads of its state and the VM's own record."""

__all__ = ('StorePoller', 'VmRegistration')

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.fleet.domain import FleetSnapshot, StoredVm
from zinniaturn.fleet.exceptions import FleetStoreError
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.poll_schedule import PollSchedule
from zinniaturn.fleet.store import FleetStore
from zinniaturn.fleet.vms import VmTable

_SHORTEST_SLEEP_SECONDS = 0.02
_LOST_SECONDS = 120.0

Listener = Callable[[FleetSnapshot], None]
Report = Callable[[FleetStoreError | None], None]


@dataclass(slots=True)
class StorePoller:
    """
    Reads the store whenever the state held has become too old.

    ``on_read`` is called after each read that brought a state; ``on_reply``
    is told of every reply, with the error of a failed one.
    """

    store: FleetStore
    fleet_state: FleetState
    vms: VmTable
    pacing: PollSchedule
    on_read: list[Listener] = field(default_factory=list)
    on_reply: list[Report] = field(default_factory=list)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            await asyncio.sleep(self._until_due())
            self.fleet_state.drop_expired_servers()
            due = self.pacing.poll_age_seconds(self.vms.rank())
            if self.fleet_state.age_seconds >= due:
                await self._read()

    def _until_due(self) -> float:
        due = self.pacing.poll_age_seconds(self.vms.rank())
        remaining = due - self.fleet_state.age_seconds
        return max(_SHORTEST_SLEEP_SECONDS, min(due, remaining))

    async def _read(self) -> None:
        requested_at = self.fleet_state.clock.monotonic()
        try:
            reading = await self.store.read_snapshot()
        except FleetStoreError as error:
            self._tell(error)
            self.pacing.failures += 1
            await asyncio.sleep(self.pacing.backoff())
            return
        self.pacing.failures = 0
        self._tell(None)
        self.fleet_state.install(reading, requested_at)
        for listener in self.on_read:
            listener(reading)

    def _tell(self, error: FleetStoreError | None) -> None:
        for report in self.on_reply:
            report(error)


@dataclass(slots=True)
class VmRegistration:
    """
    Keeps this VM's record in the store and takes out those of lost VMs.

    Records have no lease: they only tell where a VM may be, its heartbeats
    tell whether it lives. So a record costs one write in a VM's life, and none
    where the process before had the same addresses.
    """

    store: FleetStore
    vms: VmTable
    on_failure: Callable[[FleetStoreError], None]
    clock: Clock
    writing: 'asyncio.Task[None] | None' = None
    first_listed: dict[str, float] = field(default_factory=dict)

    def check(self, listed: Sequence[StoredVm]) -> None:
        """Compare what the store lists with what should be there."""
        own = self.vms.own
        found = [each.record for each in listed if each.record.name == own.name]
        if not found or not own.has_same_location(found[0]):
            self._write(self.store.register(own))
            return
        for each in self._lost(listed):
            self._write(self.store.unregister(each))
            return

    def _write(self, call: Coroutine[None, None, None]) -> None:
        if self.writing is None:
            self.writing = asyncio.ensure_future(self._complete(call))
        else:
            call.close()

    async def _complete(self, call: Coroutine[None, None, None]) -> None:
        """Await a write; the next reading shows whether it took effect."""
        try:
            await call
        except FleetStoreError as error:
            self.on_failure(error)
        finally:
            self.writing = None

    def _lost(self, listed: Sequence[StoredVm]) -> list[StoredVm]:
        """Return records of VMs that nobody heard for a long time."""
        now = self.clock.monotonic()
        names = {each.record.name for each in listed}
        self.first_listed = {
            name: self.first_listed.get(name, now) for name in names
        }
        if self.vms.rank() or not self.vms.has_quorum():
            return []
        oldest = now - _LOST_SECONDS
        return [
            each
            for each in listed
            if each.record.name != self.vms.own.name
            and self.first_listed[each.record.name] < oldest
            and self.vms.last_heartbeat_of(each.record.name) < oldest
        ]
