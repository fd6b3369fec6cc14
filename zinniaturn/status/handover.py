"""
Handing an accepted revision to entries.

The operator's command does so right after the commit, so that the revision
spreads also where the store goes out before an entry has seen it.
"""

__all__ = ('find_members', 'offer_to_entries')

import asyncio
import random

from zinniaturn.configuration import Snapshot
from zinniaturn.membership.directory import read_directories
from zinniaturn.membership.domain import Member
from zinniaturn.membership.exceptions import DirectoryError
from zinniaturn.peers import PeerClient, PeerError
from zinniaturn.store import ConfigurationStore, StoreError

TARGETS = 3


async def find_members(store: ConfigurationStore) -> tuple[Member, ...]:
    """Return the entries that the store knows; none while it is out."""
    try:
        directories = await read_directories(store)
    except (StoreError, DirectoryError):
        return ()
    return tuple(
        member for directory in directories for member in directory.members
    )


async def offer_to_entries(
    client: PeerClient,
    members: tuple[Member, ...],
    snapshot: Snapshot,
    random_source: random.Random,
) -> int:
    """Offer a snapshot to a few entries; return how many took it."""
    targets = random_source.sample(members, min(TARGETS, len(members)))

    async def offer(member: Member) -> bool:
        try:
            return await client.offer(member.peers, snapshot)
        except PeerError:
            return False

    return sum(await asyncio.gather(*(offer(member) for member in targets)))
