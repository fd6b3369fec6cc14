"""
Reads the lease directories and writes that of the entry's own data centre.

The entries of a data centre know each other from heartbeats; only one of them,
the reporter, writes their directory to the store. So the store has one lease
per data centre, with one write in flight, however many entries there are.
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
REPORTER_CANDIDATES = 2

_RENEW_INTERVAL_SECONDS = 4.0
_STEP_INTERVAL_SECONDS = 1.0
_ACQUIRE_INTERVAL_SECONDS = 3.0
_READ_INTERVAL_SECONDS = 10.0
_MAX_READS_WITHOUT_PAUSE = 20
_REPORTER_ROLE = 'report'


@dataclass
class Reporter:
    """
    Reads all directories and, if this entry is the reporter, writes its own.

    ``run`` never returns; ``refresh_members`` may be called before it.
    """

    store: ConfigurationStore
    table: MemberTable
    lease_keeper: LeaseKeeper
    random_source: random.Random
    fencing_gate: FencingGate = field(default_factory=FencingGate)
    written_names: tuple[str, ...] = ()
    directory_version: int = 0
    renew_at: float = 0
    read_at: float = 0
    acquire_at: float = 0
    reads_without_pause: int = 0

    async def run(self) -> None:
        """Keep the members and the directory up to date."""
        while True:
            with contextlib.suppress(StoreError, MembershipError):
                await self.step()
            pause = _STEP_INTERVAL_SECONDS * (
                0.75 + self.random_source.random() / 2
            )
            await asyncio.sleep(pause)

    async def step(self) -> None:
        """Do what is due: read, renew, write or try to become the reporter."""
        now = self.lease_keeper.clock.monotonic()
        if now >= self.read_at:
            self.read_at = now + self._read_interval()
            await self.refresh_members()
        if self.lease_keeper.is_held():
            await self._update_directory(now)
        elif now >= self.acquire_at and self._is_candidate():
            self.acquire_at = now + _ACQUIRE_INTERVAL_SECONDS * (
                0.5 + self.random_source.random()
            )
            await self._become_reporter(now)

    async def refresh_members(self) -> None:
        """
        Read all directories and add their members to the table.

        A directory with an outdated fencing token is ignored.
        """
        directories = await read_directories(self.store)
        leased_names: set[str] = set()
        for directory in directories:
            if not self.fencing_gate.admit(
                directory.data_center, directory.fencing
            ):
                continue
            for member in directory.members:
                leased_names.add(member.name)
                self.table.update_member(member)
        self.table.leased_names = frozenset(leased_names)

    async def stop(self) -> None:
        """Release the lease."""
        await self.lease_keeper.release()

    def _read_interval(self) -> float:
        # Without known members, read at each step, up to a limit.
        if (
            not self.table.known
            and self.reads_without_pause < _MAX_READS_WITHOUT_PAUSE
        ):
            self.reads_without_pause += 1
            return 0
        self.reads_without_pause = 0
        return _READ_INTERVAL_SECONDS * (0.5 + self.random_source.random())

    def _is_candidate(self) -> bool:
        others = [member.name for member in self._local_members()]
        return not self.table.me.heartbeat.leaving and is_selected(
            f'{_REPORTER_ROLE} {self.table.me.data_center}',
            self.table.me.name,
            others,
            REPORTER_CANDIDATES,
        )

    def _local_members(self) -> list[Member]:
        return [
            member
            for member in self.table.members_in(
                MemberState.LIVE,
                MemberState.LEAVING,
            )
            if member.data_center == self.table.me.data_center
        ]

    async def _become_reporter(self, now: float) -> None:
        stored = await self._read_directory()
        current = decode_directory(stored)
        if current is not None:
            return
        await add_data_center(self.store, self.table.me.data_center)
        lease = await self.lease_keeper.acquire()
        self.renew_at = now + _RENEW_INTERVAL_SECONDS
        self.directory_version = stored.version
        try:
            await self._write()
        except StoreConflictError:
            await self.lease_keeper.release()
            return
        log_event(LogEvent.REPORTER_STARTED, fencing=lease.fencing)

    async def _update_directory(self, now: float) -> None:
        try:
            if now >= self.renew_at:
                self.renew_at = now + _RENEW_INTERVAL_SECONDS
                await self.lease_keeper.renew()
            if self._member_names() != self.written_names:
                await self._write()
        except StoreConflictError:
            log_event(LogEvent.REPORTER_ENDED)
            await self.lease_keeper.release()

    async def _write(self) -> None:
        names = self._member_names()
        lease = self.lease_keeper.check()
        me = self.table.me
        directory = Directory(
            data_center=me.data_center,
            reporter=me.name,
            fencing=lease.fencing,
            members=(me, *self._local_members()),
        )
        self.directory_version = await self.store.compare_and_swap(
            directory_key(me.data_center),
            self.directory_version,
            encode_directory(directory),
            lease.lease_id,
        )
        self.written_names = names

    def _member_names(self) -> tuple[str, ...]:
        me = self.table.me
        return tuple(
            f'{member.name} {member.heartbeat.incarnation}'
            for member in (me, *self._local_members())
        )

    async def _read_directory(self) -> VersionedValue:
        return await self.store.read(directory_key(self.table.me.data_center))
