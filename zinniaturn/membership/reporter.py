"""
The reporter of a data centre: the one entry that writes leases.

The entries of a data centre know each other by heartbeats; only their reporter
tells the store. So the store sees one lease a data centre, with one write in
flight, however many entries there are.
"""

__all__ = ('Reporter',)

import asyncio
import contextlib
import random
from dataclasses import dataclass, field

from zinniaturn.events import LogEvent, log_event
from zinniaturn.membership.directory import (
    Directory,
    add_data_center,
    decode_directory,
    directory_key,
    encode_directory,
    read_directories,
)
from zinniaturn.membership.domain import Member
from zinniaturn.membership.exceptions import MembershipError
from zinniaturn.membership.failure_detector import MemberState
from zinniaturn.membership.leases import FencingGate, LeaseKeeper
from zinniaturn.membership.ranking import is_selected
from zinniaturn.membership.table import MemberTable
from zinniaturn.store import (
    ConfigurationStore,
    StoreConflictError,
    StoreError,
    VersionedValue,
)

LEASE_TTL_SECONDS = 12.0
CANDIDATES = 2

_RENEW_SECONDS = 4.0
_ROUND_SECONDS = 1.0
_TRY_SECONDS = 3.0
_READ_SECONDS = 10.0
_LONELY_ROUNDS = 20
_DUTY = 'report'


@dataclass
class Reporter:
    """
    Reads the directories and, where it falls to this entry, writes its own.

    ``run`` goes on for ever; ``refresh_members`` can be called before.
    """

    store: ConfigurationStore
    table: MemberTable
    lease_keeper: LeaseKeeper
    random_source: random.Random
    gate: FencingGate = field(default_factory=FencingGate)
    written: tuple[str, ...] = ()
    version: int = 0
    renew_at: float = 0
    read_at: float = 0
    try_at: float = 0
    lonely_rounds: int = 0

    async def run(self) -> None:
        """Keep the directory up to date."""
        while True:
            with contextlib.suppress(StoreError, MembershipError):
                await self.step()
            pause = _ROUND_SECONDS * (0.75 + self.random_source.random() / 2)
            await asyncio.sleep(pause)

    async def step(self) -> None:
        """Do what is due: read, take over, renew or write."""
        now = self.lease_keeper.clock.monotonic()
        if now >= self.read_at:
            self.read_at = now + self._read_pause()
            await self.refresh_members()
        if self.lease_keeper.is_held():
            await self._report(now)
        elif now >= self.try_at and self._is_candidate():
            self.try_at = now + _TRY_SECONDS * (
                0.5 + self.random_source.random()
            )
            await self._take_over(now)

    async def refresh_members(self) -> None:
        """Read the directories and learn their members."""
        directories = await read_directories(self.store)
        leased_names: set[str] = set()
        for directory in directories:
            if not self.gate.admit(directory.data_center, directory.fencing):
                continue
            for member in directory.members:
                leased_names.add(member.name)
                self.table.update_member(member)
        self.table.leased_names = frozenset(leased_names)

    async def stop(self) -> None:
        """Give the duty up."""
        await self.lease_keeper.release()

    def _read_pause(self) -> float:
        # An entry that knows nobody looks often, but not for ever.
        if not self.table.known and self.lonely_rounds < _LONELY_ROUNDS:
            self.lonely_rounds += 1
            return 0
        self.lonely_rounds = 0
        return _READ_SECONDS * (0.5 + self.random_source.random())

    def _is_candidate(self) -> bool:
        others = [member.name for member in self._live_here()]
        return not self.table.me.heartbeat.leaving and is_selected(
            f'{_DUTY} {self.table.me.data_center}',
            self.table.me.name,
            others,
            CANDIDATES,
        )

    def _live_here(self) -> list[Member]:
        return [
            member
            for member in self.table.members_in(
                MemberState.LIVE,
                MemberState.LEAVING,
            )
            if member.data_center == self.table.me.data_center
        ]

    async def _take_over(self, now: float) -> None:
        entry = await self._read_own()
        current = decode_directory(entry)
        if current is not None:
            return
        await add_data_center(self.store, self.table.me.data_center)
        lease = await self.lease_keeper.acquire()
        self.renew_at = now + _RENEW_SECONDS
        self.version = entry.version
        try:
            await self._write()
        except StoreConflictError:
            await self.lease_keeper.release()
            return
        log_event(LogEvent.REPORTER_STARTED, fencing=lease.fencing)

    async def _report(self, now: float) -> None:
        try:
            if now >= self.renew_at:
                self.renew_at = now + _RENEW_SECONDS
                await self.lease_keeper.renew()
            if self._names() != self.written:
                await self._write()
        except StoreConflictError:
            log_event(LogEvent.REPORTER_ENDED)
            await self.lease_keeper.release()

    async def _write(self) -> None:
        names = self._names()
        lease = self.lease_keeper.check()
        me = self.table.me
        directory = Directory(
            data_center=me.data_center,
            reporter=me.name,
            fencing=lease.fencing,
            members=(me, *self._live_here()),
        )
        self.version = await self.store.compare_and_swap(
            directory_key(me.data_center),
            self.version,
            encode_directory(directory),
            lease.lease_id,
        )
        self.written = names

    def _names(self) -> tuple[str, ...]:
        me = self.table.me
        return tuple(
            f'{member.name} {member.heartbeat.incarnation}'
            for member in (me, *self._live_here())
        )

    async def _read_own(self) -> VersionedValue:
        return await self.store.read(directory_key(self.table.me.data_center))
