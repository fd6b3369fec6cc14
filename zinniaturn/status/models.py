"""The messages that entries return at their admin addresses."""

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
    """A peer as seen by an entry; ``heartbeat_age`` is in seconds."""

    name: str
    data_center: str
    state: str
    heartbeat_age: float
    admin: str


class LeaseStatus(msgspec.Struct):
    """Whether an entry holds the reporter's lease, and its fencing token."""

    is_held: bool
    fencing: int


class EntryStatus(msgspec.Struct):
    """
    The status of an entry as reported by itself.

    ``knowledge_age`` is in seconds since the store last confirmed the revision,
    or ``None`` if it has not done so since the start. ``has_change`` says
    whether the tables in force include the requested change.
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
