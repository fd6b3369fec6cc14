"""
Sends an accepted revision directly to a few entries.

The operator's command does so right after the commit. Thus the revision also
spreads if the store becomes unavailable before an entry has read it.
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

MAX_TARGETS = 3


async def find_members(store: ConfigurationStore) -> tuple[Member, ...]:
    """Return the entries listed in the store, or none if it is unavailable."""
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
    """Send a snapshot to a few random entries; return how many accepted it."""
    targets = random_source.sample(members, min(MAX_TARGETS, len(members)))

    async def offer(member: Member) -> bool:
        try:
            return await client.offer(member.peers, snapshot)
        except PeerError:
            return False

    return sum(await asyncio.gather(*(offer(member) for member in targets)))
