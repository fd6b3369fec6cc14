"""Fences on a store that has lost accepted revisions."""

__all__ = ('fence_store',)

from dataclasses import replace

from zinniaturn.configuration.head import Fence, Head, encode_head
from zinniaturn.configuration.layout import HEAD_KEY, StoredHead
from zinniaturn.store import ConfigurationStore, StoreConflictError


async def fence_store(
    store: ConfigurationStore,
    stored: StoredHead,
    held: Head,
    entry: str,
) -> bool:
    """
    Mark the stored head as behind ``held``; return whether that was done.

    Where the head has moved meanwhile, nothing is done: what looked like an
    older head was an old reply. Raises the store's errors.
    """
    fenced = replace(stored.head, fence=Fence(held.position, entry))
    try:
        await store.compare_and_swap(
            HEAD_KEY,
            stored.version,
            encode_head(fenced),
        )
    except StoreConflictError:
        return False
    return True
