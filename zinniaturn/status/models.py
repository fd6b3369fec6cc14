"""Messages between the entries' admin address and operators' commands."""

__all__ = (
    'EntryStatus',
    'LeaseStatus',
    'PeerStatus',
    'TablesResponse',
    'UnreachableEntry',
)

import msgspec

from zinniaturn.configuration.head import Head


class PeerStatus(msgspec.Struct):
    """A peer as an entry sees it; ages are in seconds."""

    name: str
    data_center: str
    state: str
    heartbeat_age: float
    admin: str


class LeaseStatus(msgspec.Struct):
    """Whether an entry reports its data centre, and with what number."""

    is_held: bool
    fencing: int


class EntryStatus(msgspec.Struct):
    """
    What an entry says of itself.

    ``knowledge_age`` is in seconds since the store confirmed the revision,
    ``None`` where it never did since the start. ``has_change`` answers whether
    the change that was asked for is part of what is in force.
    """

    name: str
    data_center: str
    state: str
    is_ready: bool
    reason: str
    revision: int
    chain: str
    knowledge_age: float | None
    store_is_out: bool
    watches_store: bool
    lease: LeaseStatus
    peers: list[PeerStatus]
    admin: str = ''
    has_change: bool = False


class UnreachableEntry(msgspec.Struct):
    """An entry that did not answer."""

    admin: str
    reason: str


class TablesResponse(msgspec.Struct):
    """A head and the texts of its segments by digest."""

    head: Head
    texts: dict[str, str]
