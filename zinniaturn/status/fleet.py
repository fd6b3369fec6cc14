"""Finds the entries and reads the status of all of them."""

__all__ = ('FleetStatus', 'find_admins', 'read_fleet', 'wait_in_force')

import asyncio
import time
from collections.abc import Iterable

import aiohttp
import msgspec

from zinniaturn.membership.directory import read_directories
from zinniaturn.membership.exceptions import DirectoryError
from zinniaturn.status.client import read_status
from zinniaturn.status.exceptions import StatusError
from zinniaturn.status.models import EntryStatus, UnreachableEntry
from zinniaturn.store import ConfigurationStore, StoreError

_REQUEST_TIMEOUT = aiohttp.ClientTimeout(2)
_MAX_CONCURRENT_REQUESTS = 32
_POLL_INTERVAL_SECONDS = 0.2
_QUERIED_PEER_STATES = frozenset(('live', 'suspect', 'leaving'))


class FleetStatus(msgspec.Struct):
    """The entries that answered and those that did not."""

    entries: list[EntryStatus]
    unreachable: list[UnreachableEntry]

    def revision(self) -> int:
        """Return the highest revision that is in force at any entry."""
        return max((entry.revision for entry in self.entries), default=0)

    def entries_behind(self, revision: int) -> list[str]:
        """
        Return the names of the entries that are behind ``revision``.

        Entries that did not answer are included, by their admin address.
        """
        behind = [
            entry.name for entry in self.entries if entry.revision < revision
        ]
        return [*behind, *(entry.admin for entry in self.unreachable)]

    def entries_without_change(self) -> list[str]:
        """
        Return the names of the entries without the requested change.

        Entries that did not answer are included, by their admin address.
        """
        behind = [entry.name for entry in self.entries if not entry.has_change]
        return [*behind, *(entry.admin for entry in self.unreachable)]


async def find_admins(
    store: ConfigurationStore | None,
    named: Iterable[str],
) -> tuple[str, ...]:
    """
    Return the admin addresses of the entries.

    They are those that the operator ``named``, for use during a store outage,
    and those in the store's directories of members.
    """
    admins = dict.fromkeys(named)
    if store is not None:
        try:
            directories = await read_directories(store)
        except (StoreError, DirectoryError):
            directories = ()
        for directory in directories:
            admins.update(
                dict.fromkeys(
                    str(member.admin) for member in directory.members
                ),
            )
    return tuple(admins)


async def read_fleet(
    admins: Iterable[str],
    change_id: str = '',
) -> FleetStatus:
    """
    Return the status of these entries and, recursively, of their peers.

    With ``change_id`` each status says whether the entry has that change in
    force.
    """
    fleet = FleetStatus([], [])
    async with aiohttp.ClientSession(timeout=_REQUEST_TIMEOUT) as session:
        queried: set[str] = set()
        discovered = set(admins)
        while discovered - queried:
            batch = sorted(discovered - queried)
            queried.update(batch)
            await _read_batch(session, batch, fleet, change_id)
            discovered.update(_peers_of(fleet))
    fleet.entries.sort(key=lambda entry: entry.name)
    return fleet


async def wait_in_force(
    admins: Iterable[str],
    change_id: str,
    seconds: float,
) -> FleetStatus:
    """
    Wait until all entries have a change in force and return their status.

    Return the last status after ``seconds`` if some entries still lack it.
    """
    deadline = time.monotonic() + seconds
    admin_addresses = tuple(admins)
    while True:
        fleet = await read_fleet(admin_addresses, change_id)
        if not fleet.entries_without_change() or time.monotonic() >= deadline:
            return fleet
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)


async def _read_batch(
    session: aiohttp.ClientSession,
    admins: list[str],
    fleet: FleetStatus,
    change_id: str,
) -> None:
    limit = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)

    async def read(admin: str) -> None:
        async with limit:
            try:
                status = await read_status(session, admin, change_id)
            except StatusError as error:
                missing = UnreachableEntry(admin, error.message)
                fleet.unreachable.append(missing)
            else:
                fleet.entries.append(status)

    await asyncio.gather(*(read(admin) for admin in admins))


def _peers_of(fleet: FleetStatus) -> set[str]:
    return {
        peer.admin
        for entry in fleet.entries
        for peer in entry.peers
        if peer.state in _QUERIED_PEER_STATES
    }
