"""Polling of the store."""

__all__ = ('StorePoller',)

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import FleetSnapshot
from zinniaturn.fleet.exceptions import FleetStoreError
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.poll_schedule import PollSchedule
from zinniaturn.fleet.store import FleetStore
from zinniaturn.fleet.vms import VmTable

_MIN_SLEEP_SECONDS = 0.02
# The rank may change meanwhile.
_MAX_SLEEP_SECONDS = 0.25

SnapshotListener = Callable[[FleetSnapshot], None]
FaultListener = Callable[[Exception], None]
ReplyListener = Callable[[FleetStoreError | None], None]


@dataclass(slots=True)
class StorePoller:
    """
    Reads the store whenever the fleet state is too old.

    ``on_read`` listeners are called with each snapshot. ``on_reply`` listeners
    are called after every read, with the error if it failed and ``None``
    otherwise. ``on_fault`` listeners are called with each unexpected exception,
    which is a fault of this program.
    """

    store: FleetStore
    fleet_state: FleetState
    vms: VmTable
    schedule: PollSchedule
    on_read: list[SnapshotListener] = field(default_factory=list)
    on_reply: list[ReplyListener] = field(default_factory=list)
    on_fault: list[FaultListener] = field(default_factory=list)

    async def run(self) -> None:
        """Poll the store until cancelled."""
        while True:
            await asyncio.sleep(self._seconds_until_poll())
            self.fleet_state.drop_expired_servers()
            poll_age = self.schedule.poll_age_seconds(self.vms.poll_rank())
            if self.fleet_state.age_seconds >= poll_age:
                await self._read()

    def _seconds_until_poll(self) -> float:
        poll_age = self.schedule.poll_age_seconds(self.vms.poll_rank())
        remaining = poll_age - self.fleet_state.age_seconds
        return max(_MIN_SLEEP_SECONDS, min(_MAX_SLEEP_SECONDS, remaining))

    async def _read(self) -> None:
        requested_at = self.fleet_state.clock.monotonic()
        try:
            snapshot = await self.store.read_snapshot()
            self.fleet_state.install(snapshot, requested_at)
        except FleetStoreError as error:
            await self._fail(error)
        except Exception as error:
            # What was read brings no news either, and the next read may fail
            # in the same way.
            for fault_listener in self.on_fault:
                fault_listener(error)
            await self._fail(FleetStoreError(f'unusable state: {error!r}'))
        else:
            self.schedule.failures = 0
            self._notify_reply(None)
            for listener in self.on_read:
                listener(snapshot)

    async def _fail(self, error: FleetStoreError) -> None:
        """Count a read that brought no news, and wait."""
        self._notify_reply(error)
        self.schedule.failures += 1
        await asyncio.sleep(self.schedule.backoff(self.vms.poll_rank()))

    def _notify_reply(self, error: FleetStoreError | None) -> None:
        for listener in self.on_reply:
            listener(error)
