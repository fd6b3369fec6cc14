"""Reading of all entries that can be found."""

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

_TIMEOUT = aiohttp.ClientTimeout(2)
_AT_ONCE = 32
_POLL_SECONDS = 0.2
_WORTH_ASKING = frozenset(('live', 'suspect', 'leaving'))


class FleetStatus(msgspec.Struct):
    """The entries that answered and those that did not."""

    entries: list[EntryStatus]
    unreachable: list[UnreachableEntry]

    def revision(self) -> int:
        """Return the highest revision that an entry has in force."""
        return max((entry.revision for entry in self.entries), default=0)

    def lagging(self, revision: int) -> list[str]:
        """Return the entries without ``revision``, as name or address."""
        behind = [
            entry.name for entry in self.entries if entry.revision < revision
        ]
        return [*behind, *(entry.admin for entry in self.unreachable)]

    def without_change(self) -> list[str]:
        """Return the entries without the change that was asked for."""
        behind = [entry.name for entry in self.entries if not entry.has_change]
        return [*behind, *(entry.admin for entry in self.unreachable)]


async def find_admins(
    store: ConfigurationStore | None,
    named: Iterable[str],
) -> tuple[str, ...]:
    """
    Return the admin addresses of the entries.

    They come from the store's directories and from those ``named`` by the
    operator, who can name some while the store is out.
    """
    found = dict.fromkeys(named)
    if store is not None:
        try:
            directories = await read_directories(store)
        except (StoreError, DirectoryError):
            directories = ()
        for directory in directories:
            found.update(
                dict.fromkeys(str(one.admin) for one in directory.members),
            )
    return tuple(found)


async def read_fleet(
    admins: Iterable[str],
    change_id: str = '',
) -> FleetStatus:
    """
    Return the status of these entries and of the peers they know.

    With ``change_id`` they say whether they have that change in force.
    """
    fleet = FleetStatus([], [])
    async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
        asked: set[str] = set()
        wanted = set(admins)
        while wanted - asked:
            batch = sorted(wanted - asked)
            asked.update(batch)
            await _read_batch(session, batch, fleet, change_id)
            wanted.update(_peers_of(fleet))
    fleet.entries.sort(key=lambda entry: entry.name)
    return fleet


async def wait_in_force(
    admins: Iterable[str],
    change_id: str,
    seconds: float,
) -> FleetStatus:
    """Return the status once all entries have the change, or in time."""
    until = time.monotonic() + seconds
    known = tuple(admins)
    while True:
        fleet = await read_fleet(known, change_id)
        if not fleet.without_change() or time.monotonic() >= until:
            return fleet
        await asyncio.sleep(_POLL_SECONDS)


async def _read_batch(
    session: aiohttp.ClientSession,
    admins: list[str],
    fleet: FleetStatus,
    change_id: str,
) -> None:
    limit = asyncio.Semaphore(_AT_ONCE)

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
        if peer.state in _WORTH_ASKING
    }
