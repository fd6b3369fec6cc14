"""Synchronization with the store: polling it and keeping the VM's record."""

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

_MIN_SLEEP_SECONDS = 0.02
_DEAD_VM_SECONDS = 120.0

SnapshotListener = Callable[[FleetSnapshot], None]
ReplyListener = Callable[[FleetStoreError | None], None]


@dataclass(slots=True)
class StorePoller:
    """
    Reads the store whenever the fleet state is too old.

    ``on_read`` listeners are called with each snapshot. ``on_reply`` listeners
    are called after every read, with the error if it failed and ``None``
    otherwise.
    """

    store: FleetStore
    fleet_state: FleetState
    vms: VmTable
    schedule: PollSchedule
    on_read: list[SnapshotListener] = field(default_factory=list)
    on_reply: list[ReplyListener] = field(default_factory=list)

    async def run(self) -> None:
        """Poll the store until cancelled."""
        while True:
            await asyncio.sleep(self._seconds_until_poll())
            self.fleet_state.drop_expired_servers()
            poll_age = self.schedule.poll_age_seconds(self.vms.rank())
            if self.fleet_state.age_seconds >= poll_age:
                await self._read()

    def _seconds_until_poll(self) -> float:
        poll_age = self.schedule.poll_age_seconds(self.vms.rank())
        remaining = poll_age - self.fleet_state.age_seconds
        return max(_MIN_SLEEP_SECONDS, min(poll_age, remaining))

    async def _read(self) -> None:
        requested_at = self.fleet_state.clock.monotonic()
        try:
            snapshot = await self.store.read_snapshot()
        except FleetStoreError as error:
            self._notify_reply(error)
            self.schedule.failures += 1
            await asyncio.sleep(self.schedule.backoff())
            return
        self.schedule.failures = 0
        self._notify_reply(None)
        self.fleet_state.install(snapshot, requested_at)
        for listener in self.on_read:
            listener(snapshot)

    def _notify_reply(self, error: FleetStoreError | None) -> None:
        for listener in self.on_reply:
            listener(error)


@dataclass(slots=True)
class VmRegistration:
    """
    Keeps this VM's record in the store and removes records of dead VMs.

    Records have no lease: they only list the VMs that may exist, and
    heartbeats tell which of them are alive. A record therefore costs one write
    in the life of a VM, and none if the previous process of the VM had the
    same addresses.
    """

    store: FleetStore
    vms: VmTable
    on_failure: Callable[[FleetStoreError], None]
    clock: Clock
    write_task: 'asyncio.Task[None] | None' = None
    first_listed_at: dict[str, float] = field(default_factory=dict)

    def reconcile(self, listed: Sequence[StoredVm]) -> None:
        """Start the write that the listed records call for, if any."""
        own = self.vms.own
        found = [
            stored.record for stored in listed if stored.record.name == own.name
        ]
        if not found or not own.has_same_location(found[0]):
            self._start_write(self.store.register(own))
            return
        for dead in self._dead_records(listed):
            self._start_write(self.store.unregister(dead))
            return

    def _start_write(self, call: Coroutine[None, None, None]) -> None:
        if self.write_task is None:
            self.write_task = asyncio.ensure_future(self._await_write(call))
        else:
            call.close()

    async def _await_write(self, call: Coroutine[None, None, None]) -> None:
        """Await a write; the next snapshot shows whether it took effect."""
        try:
            await call
        except FleetStoreError as error:
            self.on_failure(error)
        finally:
            self.write_task = None

    def _dead_records(self, listed: Sequence[StoredVm]) -> list[StoredVm]:
        """
        Return the records of VMs without a heartbeat for a long time.

        The list is empty on all VMs but the first by rank, and on that one
        while it has no quorum.
        """
        now = self.clock.monotonic()
        names = {stored.record.name for stored in listed}
        self.first_listed_at = {
            name: self.first_listed_at.get(name, now) for name in names
        }
        if self.vms.rank() or not self.vms.has_quorum():
            return []
        oldest = now - _DEAD_VM_SECONDS
        return [
            stored
            for stored in listed
            if stored.record.name != self.vms.own.name
            and self.first_listed_at[stored.record.name] < oldest
            and self.vms.last_heartbeat_of(stored.record.name) < oldest
        ]
