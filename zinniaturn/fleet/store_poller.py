"""Polling of the store."""

__all__ = ('EvacuationsPoller', 'StorePoller')

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import FleetSnapshot
from zinniaturn.fleet.evacuations import EvacuationsNews
from zinniaturn.fleet.exceptions import FleetStoreError
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.poll_schedule import PollSchedule
from zinniaturn.fleet.store import FleetStore
from zinniaturn.fleet.vms import VmTable

_MIN_SLEEP_SECONDS = 0.02
# The rank may change meanwhile.
_MAX_SLEEP_SECONDS = 0.25
# A proof reaches other VMs later than what confirms their states.
_PROOF_LAG_SECONDS = 0.7
# What follows leaves time within the bound for one read that gets no reply.
_EVACUATIONS_SHARE_OF_BOUND = 0.5
_EVACUATIONS_JITTER_SHARE = 0.15

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
    read_at: float = float('-inf')

    async def run(self) -> None:
        """Poll the store until cancelled."""
        while True:
            await asyncio.sleep(self._seconds_until_poll())
            self.fleet_state.drop_expired()
            if self.is_due():
                await self._read()

    def is_due(self) -> bool:
        """Return whether the state is so old that this VM should read."""
        return self._remaining_seconds() <= 0

    def install(self, snapshot: FleetSnapshot, requested_at: float) -> None:
        """Install what a read has brought that began at ``requested_at``."""
        self.fleet_state.install(snapshot, requested_at)
        if snapshot.revision != self.fleet_state.revision:
            # An older copy, or newer tables came meanwhile from another VM.
            return
        proof = self.fleet_state.proof
        if snapshot.document is None:
            proof.is_missing = True
        else:
            proof.prove(snapshot.document.revision, requested_at)

    def _seconds_until_poll(self) -> float:
        remaining = self._remaining_seconds()
        return max(_MIN_SLEEP_SECONDS, min(_MAX_SLEEP_SECONDS, remaining))

    def _remaining_seconds(self) -> float:
        """
        Return the seconds until this VM should read.

        The tables' proof counts too where tenants are configured, as VMs of
        earlier builds pass none on.
        """
        fleet_state = self.fleet_state
        rank = self.vms.poll_rank()
        poll_age = self.schedule.poll_age_seconds(rank)
        remaining = poll_age - fleet_state.age_seconds
        tables = fleet_state.tables
        if tables is None or tables.tenants is None:
            return remaining
        if not fleet_state.proof.is_possible:
            return remaining
        since_read = fleet_state.clock.monotonic() - self.read_at
        proof_age = min(fleet_state.proof.age_seconds, since_read)
        return min(remaining, self.schedule.proof_age_seconds(rank) - proof_age)

    async def _read(self) -> None:
        requested_at = self.fleet_state.clock.monotonic()
        self.read_at = requested_at
        try:
            snapshot = await self.store.read_snapshot()
            self.install(snapshot, requested_at)
        except FleetStoreError as error:
            self.fleet_state.evacuations.unread_at = requested_at
            await self._fail(error)
        except Exception as error:
            # What was read brings no news either, and the next read may fail
            # in the same way.
            self.fleet_state.evacuations.unread_at = requested_at
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


@dataclass(slots=True)
class EvacuationsPoller:
    """
    Reads the evacuated data centres alone, in one call, if they are too old.

    The store's polls and the other VMs usually keep them current. They don't
    where the first VMs by rank are of a build that tells nothing of
    evacuations, after a pause, or where the whole state takes long to read. So
    a VM of any rank reads them once they are older than half of their bound.
    ``on_news`` is called after a read, ``on_failure`` with the error of one.
    """

    store: FleetStore
    fleet_state: FleetState
    vms: VmTable
    random_source: random.Random
    on_news: Callable[[], None]
    on_failure: Callable[[FleetStoreError], None]
    schedule: PollSchedule = field(init=False)

    def __post_init__(self) -> None:
        """Begin without failures."""
        self.schedule = PollSchedule(self.random_source)

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            seconds = self.seconds_left()
            await asyncio.sleep(
                max(_MIN_SLEEP_SECONDS, min(_MAX_SLEEP_SECONDS, seconds))
            )
            if self.seconds_left() <= 0:
                await self._read()

    def seconds_left(self) -> float:
        """Return the seconds until a read is due."""
        evacuations = self.fleet_state.evacuations
        # The first state tells them, unless a VM of an older build has sent it.
        if not evacuations.is_followed or self.fleet_state.document is None:
            return _MAX_SLEEP_SECONDS
        jitter = self.random_source.uniform(0, _EVACUATIONS_JITTER_SHARE)
        latest_age = evacuations.bound_seconds * (
            _EVACUATIONS_SHARE_OF_BOUND + jitter
        )
        return latest_age - evacuations.age_seconds

    async def _read(self) -> None:
        requested_at = self.fleet_state.clock.monotonic()
        used = {
            registered.server.data_center
            for registered in self.fleet_state.servers.values()
        }
        try:
            revision, names = await self.store.read_evacuations(used)
        except FleetStoreError as error:
            self.fleet_state.evacuations.unread_at = requested_at
            self.on_failure(error)
            self.schedule.failures += 1
            await asyncio.sleep(self.schedule.backoff(self.vms.poll_rank()))
            return
        self.schedule.failures = 0
        self.fleet_state.install_evacuations(
            EvacuationsNews(names, revision, requested_at)
        )
        self.on_news()
