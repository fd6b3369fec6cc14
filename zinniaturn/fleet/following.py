"""Keeping up with the store: reads of its state and the VM's own lease."""

__all__ = ('Registration', 'StateReader')

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import VmRecord
from zinniaturn.fleet.exceptions import FleetStoreError, LeaseEndedError
from zinniaturn.fleet.knowledge import Knowledge
from zinniaturn.fleet.pacing import ReadPacing
from zinniaturn.fleet.port import FleetStore
from zinniaturn.fleet.vms import VmTable

_SHORTEST_SLEEP_SECONDS = 0.02
_LEASE_SECONDS = 6.0
_RENEW_SECONDS = 2.0
_RETRY_SECONDS = 0.5

Listener = Callable[[], None]
Report = Callable[[FleetStoreError | None], None]


@dataclass(slots=True)
class StateReader:
    """
    Reads the store whenever the state held has become too old.

    ``on_read`` is called after each read that brought a state; ``on_reply``
    is told of every reply, with the error of a failed one.
    """

    store: FleetStore
    knowledge: Knowledge
    vms: VmTable
    pacing: ReadPacing
    on_read: list[Listener] = field(default_factory=list)
    on_reply: list[Report] = field(default_factory=list)
    reads: int = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            await asyncio.sleep(self._until_due())
            self.knowledge.drop_lapsed()
            due = self.pacing.due_at_age(self.vms.rank())
            if self.knowledge.age_seconds >= due:
                await self._read()

    def _until_due(self) -> float:
        due = self.pacing.due_at_age(self.vms.rank())
        remaining = due - self.knowledge.age_seconds
        return max(_SHORTEST_SLEEP_SECONDS, min(due, remaining))

    async def _read(self) -> None:
        asked_at = self.knowledge.clock.monotonic()
        self.reads += 1
        try:
            reading = await self.store.read_fleet()
        except FleetStoreError as error:
            self._tell(error)
            self.pacing.failures += 1
            await asyncio.sleep(self.pacing.backoff())
            return
        self.pacing.failures = 0
        self._tell(None)
        self.vms.note_records(reading.vms)
        self.knowledge.install(reading, asked_at)
        for listener in self.on_read:
            listener()

    def _tell(self, error: FleetStoreError | None) -> None:
        for report in self.on_reply:
            report(error)


@dataclass(slots=True)
class Registration:
    """Keeps the VM's own record in the store by renewing its lease."""

    store: FleetStore
    record: VmRecord
    on_failure: Callable[[FleetStoreError], None]
    lease: int = 0

    async def run(self) -> None:
        """Register and keep the lease until cancelled."""
        while True:
            try:
                await self._keep()
            except LeaseEndedError as error:
                self.lease = 0
                self.on_failure(error)
                await asyncio.sleep(_SHORTEST_SLEEP_SECONDS)
            except FleetStoreError as error:
                self.on_failure(error)
                await asyncio.sleep(_RETRY_SECONDS)
            else:
                await asyncio.sleep(_RENEW_SECONDS)

    async def withdraw(self) -> None:
        """Remove the record; a lease that can't be ended runs out."""
        if self.lease:
            with contextlib.suppress(LeaseEndedError):
                await self.store.withdraw(self.lease)

    async def _keep(self) -> None:
        if self.lease:
            await self.store.renew(self.lease)
        else:
            self.lease = await self.store.register(self.record, _LEASE_SECONDS)
